/**
 * `npm run replay -- <trace> <outcomes>`: replays a trace and prints for each expected outcome
 * whether it holds, with the figure of the run. Exits with 1 if an outcome does not hold or the run
 * does not end, and with 2 for invalid input.
 */
import {readFileSync, realpathSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {parseArgs} from 'node:util';
import {evaluateOutcomes, parseOutcomes, type OutcomeResult} from './outcomes.js';
import {EndlessTurnError, ReplayError} from './replay-error.js';
import {parseTrace} from './trace-format.js';
import {traceNamesOf, runTrace, type TraceRunOptions} from './trace-run.js';

const exitCodes = {met: 0, violated: 1, invalidInput: 2} as const;
const usage = 'usage: npm run replay -- <trace.jsonl> <outcomes.json>';

function formatFigure(figure: number): string {
	return Number.isFinite(figure) ? String(Math.round(figure * 10_000) / 10_000) : 'never';
}

function formatResult({outcome, figure, isMet}: OutcomeResult): string {
	const label = outcome.counted === true ? 'counted' : isMet ? 'holds  ' : 'FAILS  ';
	return `${label} ${outcome.name}: ${formatFigure(figure)}`;
}

function readInput(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch (error) {
		throw new ReplayError('unreadable-file', (error as Error).message, {cause: error});
	}
}

function replayFiles(
	paths: readonly string[],
	print: (line: string) => void,
	options: TraceRunOptions,
): number {
	const [tracePath, outcomesPath] = paths;
	if (tracePath === undefined || outcomesPath === undefined || paths.length > 2) {
		throw new ReplayError('usage', usage);
	}

	const trace = parseTrace(readInput(tracePath), traceNamesOf);
	const outcomes = parseOutcomes(readInput(outcomesPath));
	const results = evaluateOutcomes(runTrace(trace, options), outcomes);
	for (const result of results) {
		print(formatResult(result));
	}

	return results.every(({isMet}) => isMet) ? exitCodes.met : exitCodes.violated;
}

/**
 * Returns the exit code: 0, 1 if an outcome does not hold or the run does not end, or 2 for invalid
 * input.
 */
export function replay(
	paths: readonly string[],
	print: (line: string) => void,
	options: TraceRunOptions = {},
): number {
	try {
		return replayFiles(paths, print, options);
	} catch (error) {
		if (error instanceof ReplayError) {
			print(error.message);
			return exitCodes.invalidInput;
		}

		if (error instanceof EndlessTurnError) {
			print(`FAILS   the run comes to its end: ${error.message}`);
			return exitCodes.violated;
		}

		throw error;
	}
}

function main(): void {
	let paths: string[];
	try {
		({positionals: paths} = parseArgs({allowPositionals: true}));
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n${usage}\n`);
		process.exitCode = exitCodes.invalidInput;
		return;
	}

	process.exitCode = replay(paths, line => {
		process.stdout.write(`${line}\n`);
	});
}

if (
	process.argv[1] !== undefined &&
	realpathSync(process.argv[1]) === fileURLToPath(import.meta.url)
) {
	main();
}
