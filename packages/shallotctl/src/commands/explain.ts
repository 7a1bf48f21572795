/**
 * `shallotctl explain <id> <file>`: explains the outcome of a request from the logs of any number of
 * instances.
 */
import {readFile} from 'node:fs/promises';
import {Buffer} from 'node:buffer';
import {type Command, type CommandContext} from '../command.js';
import {
	parseLogLine,
	explainRequest,
	type LogLine,
	type RequestExplanation,
} from '../request-explanation.js';
import {exitCodes, ShallotctlError} from '../shallotctl-error.js';
import {formatTable, formatCell} from '../text-table.js';

/** Value of the operand `file` that selects standard input. */
const stdinOperand = '-';

async function readLog({terminal}: CommandContext, file: string): Promise<string> {
	if (file === stdinOperand) {
		return Buffer.from(await terminal.readInput()).toString('utf8');
	}

	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new ShallotctlError(
			'usage',
			[`<file>: ${file} cannot be read; must be the path of a file, or - for standard input`],
			{cause: error},
		);
	}
}

function createEventRow({message, instance, timestamp, level, ...fields}: LogLine) {
	return {timestamp, message, ...(level === 'info' ? {} : {level}), fields};
}

function formatRequest(line: LogLine): string {
	const {message, instance, timestamp, hops, level, id, ...fields} = line;
	const summary = `${timestamp} ${instance} ${message} ${Object.entries(fields)
		.map(([name, value]) => `${name}=${formatCell(value)}`)
		.join(' ')}`;
	return Array.isArray(hops)
		? `${summary}\n${formatTable(hops as Array<Record<string, unknown>>)}`
		: summary;
}

function formatExplanation({requests, cause, context, droppedLines}: RequestExplanation): string {
	return [
		...requests.map(line => formatRequest(line)),
		`\ncause: ${cause}`,
		`\nearlier state changes of the instance:\n${formatTable(context.map(line => createEventRow(line)))}`,
		...(droppedLines > 0
			? [`\n${droppedLines} log lines were dropped around that time; some may be missing above`]
			: []),
	].join('\n');
}

export const explain: Command = {
	summary: 'explain the outcome of a request from log lines; - reads them from standard input',
	operands: ['id', 'file'],
	settings: [],
	required: [],
	async run(context) {
		const [id, file] = context.operands;
		const text = await readLog(context, file!);
		const lines = text.split('\n').flatMap(line => parseLogLine(line) ?? []);
		const explanation = explainRequest(lines, id!);
		if (explanation === undefined) {
			const droppedEventCount = lines.filter(({message}) => message === 'lines-dropped').length;
			throw new ShallotctlError('refused', [
				`none of ${lines.length} log lines has the request id ${id}; ${droppedEventCount} of them report dropped lines`,
			]);
		}

		const {settings, terminal} = context;
		terminal.print(settings.json ? JSON.stringify(explanation) : formatExplanation(explanation));
		return exitCodes.ok;
	},
};
