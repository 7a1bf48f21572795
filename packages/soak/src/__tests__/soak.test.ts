/**
 * A short soak run with instances as separate processes of the real program. Guards against broken
 * promises that appear only with real processes and sockets while several faults coincide.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect, test} from '@jest/globals';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {runSoak} from '../soak-run.js';

/**
 * Seeds of the runs. A seed that breaks a promise is added here as a regression test, with the
 * cause.
 */
const seeds = [1];

test.each(seeds)('seed %d keeps every promise', async seed => {
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotpond-soak-test-'));
	const report = await runSoak({
		clock: createSystemClock(),
		seed,
		duration: 8000,
		instances: 4,
		program: path.join(import.meta.dirname, '..', '..', '..', 'platform', 'dist', 'main.js'),
		directory,
	});
	expect(report.violations).toEqual([]);
	expect(report.unexpectedExits).toBe(0);
	expect(report.served).toBeGreaterThan(0);
	await rm(directory, {recursive: true});
});
