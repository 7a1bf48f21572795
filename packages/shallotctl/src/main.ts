/**
 * Parses and checks the settings, then runs one command. Every failure results in a message and an
 * exit code.
 */
import {readFileSync} from 'node:fs';
import {type Command, type Terminal} from './command.js';
import {commands} from './commands.js';
import {formatUsage, formatCommandHelp, formatHelp} from './help.js';
import {checkCommandSettings, parseArguments, type ParsedArguments} from './parse-arguments.js';
import {exitCodes, ShallotctlError, type ExitCode} from './shallotctl-error.js';

export type MainOptions = {
	/** Command-line arguments without the name of the program. */
	readonly args: readonly string[];
	readonly environment: Readonly<NodeJS.ProcessEnv>;
	readonly terminal: Terminal;
};

function readVersion(): string {
	const file = new URL('../package.json', import.meta.url);
	return (JSON.parse(readFileSync(file, 'utf8')) as {version: string}).version;
}

function checkOperands(name: string, command: Command, operands: readonly string[]): string[] {
	if (operands.length === command.operands.length) {
		return [];
	}

	const {length} = command.operands;
	return [
		`${name}: operands: ${operands.length} given, ${length} expected; usage: shallotctl ${formatUsage(name, command)}`,
	];
}

function findProblems(name: string, command: Command, parsed: ParsedArguments): string[] {
	const problems = [
		...parsed.flagProblems,
		...checkCommandSettings(parsed, {name, ...command}),
		...checkOperands(name, command, parsed.positionals.slice(1)),
	];
	// The arguments may contain the secret, so the message does not repeat them.
	const commandProblems =
		problems.length > 0 && command.isInputSecret
			? [`${name}: takes its input from standard input, and no operands or other settings`]
			: problems;
	return [...parsed.environmentProblems, ...commandProblems];
}

function findCommand(parsed: ParsedArguments): [string, Command] {
	const [name] = parsed.positionals;
	const command = name === undefined ? undefined : commands.get(name);
	if (name === undefined || command === undefined) {
		// If a command such as hash-key is among the arguments, the others may contain a key.
		const isSecret = parsed.positionals.some(text => commands.get(text)?.isInputSecret);
		const commandProblem =
			isSecret || name === undefined ? 'is missing' : `${JSON.stringify(name)} is not known`;
		throw new ShallotctlError('usage', [
			...parsed.environmentProblems,
			...(isSecret ? [] : parsed.flagProblems),
			`command: ${commandProblem}; must be one of ${[...commands.keys()].join(', ')}`,
		]);
	}

	return [name, command];
}

async function run({args, environment, terminal}: MainOptions): Promise<ExitCode> {
	const parsed = parseArguments(args, environment);
	const {values: settings, positionals} = parsed;
	if (settings.version) {
		terminal.print(readVersion());
		return exitCodes.ok;
	}

	if (settings.help && positionals.length === 0) {
		terminal.print(formatHelp());
		return exitCodes.ok;
	}

	const [name, command] = findCommand(parsed);
	if (settings.help) {
		terminal.print(formatCommandHelp(name, command));
		return exitCodes.ok;
	}

	const problems = findProblems(name, command, parsed);
	if (problems.length > 0) {
		throw new ShallotctlError('usage', problems);
	}

	return command.run({operands: positionals.slice(1), settings, terminal});
}

/** Resolves with the exit code and never rejects. */
export async function main(options: MainOptions): Promise<ExitCode> {
	const {terminal} = options;
	try {
		return await run(options);
	} catch (error) {
		if (error instanceof ShallotctlError) {
			for (const problem of error.problems) {
				terminal.printError(`shallotctl: ${problem}`);
			}

			return error.exitCode;
		}

		const reason = error instanceof Error ? error.message : String(error);
		terminal.printError(`shallotctl: unexpected failure: ${reason}`);
		return exitCodes.refused;
	}
}
