/**
 * The command line of the daemon: runs the command that it names, and turns errors into messages
 * and exit codes.
 */
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {formatSettingsHelp, parseSettings, SettingsError} from '@shallotpond/kernel/settings';
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';
import {runDaemon} from './daemon.js';
import {daemonSettings, environmentPrefix} from './daemon-settings.js';
import {runDemo} from './demo.js';

const exitCodes = {ok: 0, failed: 1, usage: 2} as const;

const usage = `Usage: shallotpond [flags]        run one entry instance
       shallotpond demo           run two instances on 127.0.0.1:8080 and :8081 with stand-in platform and targets

Flags (each can also be set by its environment variable):
`;

type Output = {readonly write: (text: string) => void; readonly writeError: (text: string) => void};

const commands: Readonly<Record<string, typeof runDaemon>> = {
	daemon: runDaemon,
	demo: async settings => runDemo(settings),
};

function readVersion(): string {
	const text = readFileSync(new URL('../package.json', import.meta.url), 'utf8');
	return (JSON.parse(text) as {version: string}).version;
}

/** Runs the program and resolves with its exit code, once the daemon or the demo has stopped. */
export async function runCommandLine(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string | undefined>>,
	output: Output,
): Promise<number> {
	try {
		const settingsInput = {table: daemonSettings, environmentPrefix, commandLine, environment};
		// Help and version must be available even if another setting is invalid.
		if (commandLine.includes('--help')) {
			output.write(`${usage}${formatSettingsHelp(daemonSettings, environmentPrefix)}\n`);
			return exitCodes.ok;
		}

		if (commandLine.includes('--version')) {
			output.write(`${readVersion()}\n`);
			return exitCodes.ok;
		}

		const {values, positionals} = parseSettings(settingsInput);
		const [name = 'daemon', ...extraPositionals] = positionals;
		if (!Object.hasOwn(commands, name) || extraPositionals.length > 0) {
			throw new SettingsError([
				`${positionals.join(' ')}: unknown command; the only command is demo`,
			]);
		}

		await commands[name]!(values);
		return exitCodes.ok;
	} catch (error) {
		if (error instanceof ShallotpondError) {
			output.writeError(`${describeError(error)}\n`);
			return error instanceof SettingsError ? exitCodes.usage : exitCodes.failed;
		}

		throw error;
	}
}

/** The message of an error and of its causes, without stack traces. */
function describeError(error: Error): string {
	const {cause} = error;
	return cause instanceof Error ? `${error.message}: ${describeError(cause)}` : error.message;
}

/** Runs the program on the arguments and the environment of this process. */
export async function runProgram(): Promise<void> {
	process.exitCode = await runCommandLine(process.argv.slice(2), process.env, {
		write(text) {
			process.stdout.write(text);
		},
		writeError(text) {
			process.stderr.write(text);
		},
	});
}
