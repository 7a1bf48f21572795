/**
 * Command line of the soak: `npm run soak -- --seed 7`, or several seeds one after the other. Exits
 * with status 1 if a promise was broken or a process ended unexpectedly. The settings files and
 * logs of such a run are kept.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {numberSetting} from '@shallotpond/kernel/setting-kinds';
import {formatSettingsHelp, parseSettings, SettingsError} from '@shallotpond/kernel/settings';
import {runSoak, type SoakReport} from './soak-run.js';

const environmentPrefix = 'SHALLOTPOND_SOAK';
const settings = {
	seed: numberSetting(
		{min: 0, max: 4_294_967_295, unit: 'number'},
		{description: 'First seed', default: '1'},
	),
	seeds: numberSetting(
		{min: 1, max: 10_000, unit: 'number'},
		{description: 'Number of seeds, one after the other', default: '1'},
	),
	seconds: numberSetting(
		{min: 5, max: 3600, unit: 'seconds'},
		{description: 'Time for which callers send requests', default: '15'},
	),
	instances: numberSetting(
		{min: 2, max: 100, unit: 'number'},
		{description: 'Number of instances, each a process of the program', default: '12'},
	),
} as const;
const millisecondsPerSecond = 1000;
const exitCodes = {ok: 0, broken: 1, usage: 2} as const;
const program = path.join(import.meta.dirname, '..', '..', 'platform', 'dist', 'main.js');

/** Formats a report as a summary line followed by a line for each violation. */
function describeReport(report: SoakReport): string {
	const {seed, sent, served, statuses, faults, unexpectedExits, violations} = report;
	const lines = [
		`seed ${seed}: ${sent} requests, ${served} served, by status ${JSON.stringify(statuses)}, ${faults} faults, ${unexpectedExits} ends of their own, ${violations.length} promises broken`,
		...violations.map(({promise, detail}) => `  ${promise}: ${detail}`),
	];
	return `${lines.join('\n')}\n`;
}

/** Runs one seed and prints its report. Returns whether the run passed. */
async function runSeed(seed: number, duration: number, instances: number): Promise<boolean> {
	const directory = await mkdtemp(path.join(tmpdir(), `shallotpond-soak-${seed}-`));
	const faults: string[] = [];
	const report = await runSoak({
		clock: createSystemClock(),
		seed,
		duration,
		instances,
		program,
		directory,
		onFault({kind, at, duration: length, choice}) {
			faults.push(`  ${Math.round(at)} ${kind} ${Math.round(length)} ms, ${choice.toFixed(3)}`);
		},
	});
	process.stdout.write(describeReport(report));
	const hasPassed = report.violations.length === 0 && report.unexpectedExits === 0;
	if (hasPassed) {
		await rm(directory, {recursive: true});
	} else {
		process.stdout.write(`${faults.join('\n')}\n  logs: ${directory}\n`);
	}

	return hasPassed;
}

async function main(): Promise<number> {
	const commandLine = process.argv.slice(2);
	if (commandLine.includes('--help')) {
		process.stdout.write(
			`Usage: npm run soak -- [flags]\n\n${formatSettingsHelp(settings, environmentPrefix)}\n`,
		);
		return exitCodes.ok;
	}

	try {
		const {values} = parseSettings({
			table: settings,
			environmentPrefix,
			commandLine,
			environment: process.env,
		});
		let failedSeeds = 0;
		for (let index = 0; index < values.seeds; index++) {
			const duration = values.seconds * millisecondsPerSecond;
			const hasPassed = await runSeed(values.seed + index, duration, values.instances);
			failedSeeds += hasPassed ? 0 : 1;
		}

		return failedSeeds === 0 ? exitCodes.ok : exitCodes.broken;
	} catch (error) {
		if (error instanceof SettingsError) {
			process.stderr.write(`${error.message}\n`);
			return exitCodes.usage;
		}

		throw error;
	}
}

// `process.exit` skips the closing of handles, for one of which Node.js 20 sometimes waits without end
// (in `Environment::CleanupHandles`).
// eslint-disable-next-line unicorn/no-process-exit
process.exit(await main());
