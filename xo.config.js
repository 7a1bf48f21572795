/** Formatting is checked by Prettier with XO's style; XO checks the rest. */
const config = [
	{ignores: ['**/dist/**', 'reports/**', 'coverage/**']},
	{
		prettier: 'compat',
		rules: {
			// Packages of the workspace import each other by subpath, which the resolver of these rules does not know.
			'import-x/no-extraneous-dependencies': 'off',
			// Order matters where the code awaits in a loop: services start and stop one by one.
			'no-await-in-loop': 'off',
			'n/no-extraneous-import': 'off',
			// `void promise` marks a promise that is not awaited on purpose.
			'no-void': ['error', {allowAsStatement: true}],
			// `clock.every(interval, callback)` looks like the method of arrays to these rules.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
		},
	},
	{
		// Rules that need types fail on the few JavaScript files, which are in no TypeScript project.
		files: ['**/*.ts'],
		rules: {
			// Names of attributes, headers and message kinds that need quotes follow their own standards.
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
			// The order of members follows the order in which a reader needs them.
			'@typescript-eslint/member-ordering': 'off',
		},
	},
	{
		// The adapter spells the fields of the wire as the platform does.
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
			// Callbacks in tests record events with `void list.push(…)`.
			'no-void': 'off',
			// Headers and environment variables have names of their own.
			'@typescript-eslint/naming-convention': 'off',
			'no-await-in-loop': 'off',
		},
	},
];

export default config;
