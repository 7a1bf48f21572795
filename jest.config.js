const config = {
	roots: ['<rootDir>/packages'],
	testMatch: ['**/src/**/__tests__/**/*.test.ts'],
	extensionsToTreatAsEsm: ['.ts'],
	transform: {
		'^.+\\.ts$': [
			'@swc/jest',
			{jsc: {parser: {syntax: 'typescript'}, target: 'es2022'}, module: {type: 'es6'}},
		],
	},
	moduleNameMapper: {
		'^@shallotpond/([a-z-]+)/(.+)$': '<rootDir>/packages/$1/src/$2.ts',
		'^(\\.{1,2}/.*)\\.js$': '$1',
	},
	modulePathIgnorePatterns: ['<rootDir>/packages/[^/]+/dist'],
	testTimeout: 60_000,
};

export default config;
