/** Prettier checks the formatting, in the style of XO; XO checks everything else. */
const config = [
	{ignores: ['**/dist/**', 'reports/**', 'coverage/**']},
	{
		prettier: 'compat',
		rules: {
			// The resolver of these rules does not support the subpath exports of the packages in this repository.
			'import-x/no-extraneous-dependencies': 'off',
			// Loops await on purpose, because services must start and stop in sequence.
			'no-await-in-loop': 'off',
			'n/no-extraneous-import': 'off',
			// `void promise` marks a promise that is deliberately not awaited.
			'no-void': ['error', {allowAsStatement: true}],
			// These rules mistake `clock.every(interval, callback)` for `Array.prototype.every`.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
		},
	},
	{
		// The few JavaScript files belong to no TypeScript project, so rules that need types fail on them.
		files: ['**/*.ts'],
		rules: {
			// Quoted names, such as attributes, headers and message kinds, follow external conventions.
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: 'default',
					format: ['strictCamelCase', 'StrictPascalCase'],
					leadingUnderscore: 'allow',
				},
				{selector: 'objectLiteralProperty', modifiers: ['requiresQuotes'], format: null},
				{selector: 'import', format: null},
				{selector: 'typeProperty', modifiers: ['requiresQuotes'], format: null},
				{selector: 'objectLiteralMethod', modifiers: ['requiresQuotes'], format: null},
			],
			// Members are ordered for readability.
			'@typescript-eslint/member-ordering': 'off',
		},
	},
	{
		// The adapter uses the field names of the platform's wire format.
		files: ['packages/platform/src/**/*.ts'],
		rules: {
			'@typescript-eslint/naming-convention': [
				'error',
				{selector: 'default', format: ['strictCamelCase', 'StrictPascalCase']},
				{selector: 'import', format: null},
				{selector: 'objectLiteralProperty', format: null},
				{selector: 'typeProperty', format: null},
			],
		},
	},
	{
		files: ['packages/*/src/**/__tests__/**/*.ts'],
		languageOptions: {
			parserOptions: {
				projectService: false,
				project: ['./tsconfig.tests.json'],
				tsconfigRootDir: import.meta.dirname,
			},
		},
		rules: {
			// Callbacks in tests record events with `void list.push(…)`, which returns undefined.
			'no-void': 'off',
			// Headers and environment variables follow other naming conventions.
			'@typescript-eslint/naming-convention': 'off',
			'no-await-in-loop': 'off',
		},
	},
];

export default config;
