/**
 * The command line of the daemon.
 */
import process from 'node:process';
import {readFileSync} from 'node:fs';
import {describeSettings, parseSettings, SettingsError} from '@shallotpond/kernel/settings';
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';
import {runDaemon} from './daemon.js';
import {daemonSettings, environmentPrefix} from './daemon-settings.js';
import {runDemo} from './demo.js';

const exitCodes = {ok: 0, failed: 1, usage: 2} as const;

const usage = `Usage: shallotpond [flags]        run one entry instance
       shallotpond demo           run two instances with stand-ins on 127.0.0.1:8080 and :8081

Flags (each is also an environment variable):
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

/** Runs the program and returns its exit code. Resolves when the daemon has stopped. */
export async function run(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string | undefined>>,
	output: Output,
): Promise<number> {
	try {
		const input = {table: daemonSettings, environmentPrefix, commandLine, environment};
		// Help must be had even when another setting is wrong.
		if (commandLine.includes('--help')) {
			output.write(`${usage}${describeSettings(daemonSettings, environmentPrefix)}\n`);
			return exitCodes.ok;
		}

		if (commandLine.includes('--version')) {
			output.write(`${readVersion()}\n`);
			return exitCodes.ok;
		}

		const {values, positionals} = parseSettings(input);
		const [name = 'daemon', ...rest] = positionals;
		if (!Object.hasOwn(commands, name) || rest.length > 0) {
			throw new SettingsError([
				`${positionals.join(' ')}: is not a command; must be demo or nothing`,
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

/** The message with those of its causes, without stack traces. */
function describeError(error: Error): string {
	const {cause} = error;
	return cause instanceof Error ? `${error.message}: ${describeError(cause)}` : error.message;
}

export async function runProgram(): Promise<void> {
	process.exitCode = await run(process.argv.slice(2), process.env, {
		write(text) {
			process.stdout.write(text);
		},
		writeError(text) {
			process.stderr.write(text);
		},
	});
}
