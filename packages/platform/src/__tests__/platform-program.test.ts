/**
 * Guards against a program that starts with a hedge ratio that cannot be meant: the operator would
 * believe that late requests are hedged up to it.
 */
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, describe, expect, test} from '@jest/globals';
import {runPlatformProgram} from '../platform-program.js';
import {settingsFile} from './settings-file.js';

describe('--hedge-ratio', () => {
	let directory: string;

	beforeEach(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'shallotpond-'));
		await writeFile(path.join(directory, 'node.json'), JSON.stringify(settingsFile));
	});

	afterEach(async () => {
		await rm(directory, {recursive: true});
	});

	test.each([
		['many', 'must be a number from 0 to 1'],
		['-0.1', 'must be a number from 0 to 1'],
		['1.5', 'must be a number from 0 to 1'],
		['', 'must be a number from 0 to 1'],
		// The retry ratio of the platform in the settings file is 0.2.
		['0.3', 'must be a number from 0 to 0.2'],
	])('%p ends the start with exit code 2 and names what is allowed', async (value, allowed) => {
		for (const [flags, environment] of [
			[[`--hedge-ratio=${value}`], {}],
			[[], {SHALLOTPOND_HEDGE_RATIO: value}],
		] as const) {
			const errors: string[] = [];
			const code = await runPlatformProgram(
				[`--config=${path.join(directory, 'node.json')}`, ...flags],
				environment,
				{write: () => undefined, writeError: text => void errors.push(text)},
			);
			expect(code).toBe(2);
			expect(errors.join('')).toContain('--hedge-ratio');
			expect(errors.join('')).toContain(value);
			expect(errors.join('')).toContain(allowed);
			expect(errors.join('')).not.toContain('    at ');
		}
	});
});
