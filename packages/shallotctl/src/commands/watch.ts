/**
 * `shallotctl watch`: reads the status of an instance repeatedly, and prints a line after the first
 * read and whenever the summary, or the problem with the read, differs from that of the previous
 * read.
 */
import {readStatus, type InstanceStatus} from '../admin-client.js';
import {type Command, type CommandContext} from '../command.js';
import {exitCodes, ShallotctlError, type ExitCode} from '../shallotctl-error.js';
import {formatCell, type TableRow} from '../text-table.js';

type PollResult = {readonly fields: TableRow; readonly exitCode: ExitCode};

/** Counts members or targets by their `state`. */
function countStates(rows: readonly TableRow[]): Record<string, number> {
	const counts = new Map<string, number>();
	for (const {state} of rows) {
		const name = formatCell(state ?? 'unknown');
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return Object.fromEntries([...counts].sort(([left], [right]) => (left < right ? -1 : 1)));
}

function summarize({instance, version, ready, members, targets}: InstanceStatus): TableRow {
	return {
		instance,
		version,
		ready,
		members: countStates(members),
		targets: countStates(targets),
	};
}

async function pollStatus(context: CommandContext): Promise<PollResult> {
	try {
		return {fields: summarize(await readStatus(context)), exitCode: exitCodes.ok};
	} catch (error) {
		if (error instanceof ShallotctlError) {
			return {fields: {problem: error.message}, exitCode: error.exitCode};
		}

		throw error;
	}
}

function formatLine(fields: TableRow): string {
	return Object.entries(fields)
		.map(([name, value]) => `${name}=${formatCell(value)}`)
		.join(' ');
}

export const watch: Command = {
	summary: 'print a line whenever the state of an instance changes',
	operands: [],
	settings: ['admin', 'timeout', 'interval', 'count'],
	required: [],
	async run(context) {
		const {settings, terminal} = context;
		let lastLine = '';
		for (let readCount = 1; ; readCount++) {
			const {fields, exitCode} = await pollStatus(context);
			const line = settings.json ? JSON.stringify(fields) : formatLine(fields);
			if (line !== lastLine) {
				const time = terminal.clock.wall().toISOString();
				terminal.print(settings.json ? JSON.stringify({time, ...fields}) : `${time} ${line}`);
				lastLine = line;
			}

			if (readCount === settings.count) {
				return exitCode;
			}

			await new Promise<void>(resolve => {
				terminal.clock.after(settings.interval, resolve);
			});
		}
	},
};
