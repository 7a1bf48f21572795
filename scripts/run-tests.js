/**
 * Runs all tests and tolerates exactly the failures that are listed in KNOWN-RED.txt. Each entry of
 * the file is a block with a line `test: <full name>`, the name of the test as Jest reports it. Known
 * failures are printed. Listed tests that pass are printed too and must be removed from the file.
 * Exits with code 1 if another test fails, a suite cannot be loaded, no test passes, or Jest itself
 * fails.
 *
 * Usage: `node scripts/run-tests.js [Jest options]`
 */
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

const resultFolder = mkdtempSync(path.join(tmpdir(), 'shallotpond-tests-'));
/**
 * Tests whose results depend on the memory that the machine has to spare. They run after all
 * others, one at a time.
 */
const separateTests = 'soak/src/__tests__/hostile-';
const jestArguments = process.argv.slice(2);
const runs =
	jestArguments.length > 0
		? [jestArguments]
		: [[`--testPathIgnorePatterns=${separateTests}`], ['--runInBand', separateTests]];

function readKnownFailures() {
	try {
		const text = readFileSync('KNOWN-RED.txt', 'utf8');
		return new Set([...text.matchAll(/^test: (.+)$/gm)].map(([, name]) => name.trim()));
	} catch (error) {
		if (error.code === 'ENOENT') {
			return new Set();
		}

		throw error;
	}
}

function runJest(options, index) {
	const resultFile = path.join(resultFolder, `results-${index}.json`);
	const {status, signal} = spawnSync(
		process.execPath,
		[
			'--experimental-vm-modules',
			'--no-warnings',
			path.join('node_modules', 'jest', 'bin', 'jest.js'),
			'--json',
			`--outputFile=${resultFile}`,
			...options,
		],
		{stdio: ['ignore', 'ignore', 'inherit']},
	);
	const {testResults} = JSON.parse(readFileSync(resultFile, 'utf8'));
	const hasFailure = testResults.some(suite => suite.status === 'failed');
	return {testResults, isCrashed: signal !== null || (status !== 0 && !hasFailure)};
}

const jestResults = runs.map((options, index) => runJest(options, index));
const testResults = jestResults.flatMap(result => result.testResults);
const knownFailures = readKnownFailures();
const tests = testResults.flatMap(suite => suite.assertionResults);
const failed = tests.filter(test => test.status === 'failed').map(test => test.fullName);
const unexpected = failed.filter(name => !knownFailures.has(name));
const knownFailed = failed.filter(name => knownFailures.has(name));
const knownPassed = tests.filter(
	test => test.status === 'passed' && knownFailures.has(test.fullName),
);
// A suite that could not be loaded is reported as failed, but without a failed test.
const brokenSuites = testResults.filter(
	suite =>
		suite.status === 'failed' && suite.assertionResults.every(test => test.status !== 'failed'),
);

for (const name of knownFailed) {
	console.log(`known failure (KNOWN-RED.txt): ${name}`);
}

for (const test of knownPassed) {
	console.log(`listed in KNOWN-RED.txt but passes now: ${test.fullName}`);
}

for (const name of unexpected) {
	console.log(`failed: ${name}`);
}

for (const suite of brokenSuites) {
	console.log(`could not be run: ${suite.name}\n${suite.message}`);
}

const passedCount = tests.filter(test => test.status === 'passed').length;
console.log(`${passedCount} passed, ${unexpected.length + brokenSuites.length} failed`);
const isCrashed = jestResults.some(result => result.isCrashed);
process.exitCode =
	unexpected.length + brokenSuites.length > 0 || isCrashed || passedCount === 0 ? 1 : 0;
