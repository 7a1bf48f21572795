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

const resultFile = path.join(
	mkdtempSync(path.join(tmpdir(), 'shallotpond-tests-')),
	'results.json',
);

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

const jest = spawnSync(
	process.execPath,
	[
		'--experimental-vm-modules',
		'--no-warnings',
		path.join('node_modules', 'jest', 'bin', 'jest.js'),
		'--json',
		`--outputFile=${resultFile}`,
		...process.argv.slice(2),
	],
	{stdio: ['ignore', 'ignore', 'inherit']},
);
const results = JSON.parse(readFileSync(resultFile, 'utf8'));
const knownFailures = readKnownFailures();
const tests = results.testResults.flatMap(suite => suite.assertionResults);
const failed = tests.filter(test => test.status === 'failed').map(test => test.fullName);
const unexpected = failed.filter(name => !knownFailures.has(name));
const knownFailed = failed.filter(name => knownFailures.has(name));
const knownPassed = tests.filter(
	test => test.status === 'passed' && knownFailures.has(test.fullName),
);
// A suite that could not be loaded is reported as failed, but without a failed test.
const brokenSuites = results.testResults.filter(
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
const isCrashed =
	jest.signal !== null || (jest.status !== 0 && failed.length + brokenSuites.length === 0);
process.exitCode =
	unexpected.length + brokenSuites.length > 0 || isCrashed || passedCount === 0 ? 1 : 0;
