/**
 * The interface of a command and the context that it runs in.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type SettingName, type Settings} from './settings.js';
import {type ExitCode} from './shallotctl-error.js';

export type Terminal = {
	/** Writes a text of one or more lines to standard output. */
	print(text: string): void;
	/** Writes a text of one or more lines to standard error. */
	printError(text: string): void;
	/** Resolves with all of standard input. */
	readInput(): Promise<Uint8Array>;
	/** Unlike those of the system clock, its timers keep the process alive. */
	readonly clock: Clock;
};

export type CommandContext = {
	/** One value for each name in `Command.operands`. */
	readonly operands: readonly string[];
	readonly settings: Settings;
	readonly terminal: Terminal;
};

export type Command = {
	readonly summary: string;
	/** Names of the operands in order, for example `['file']`. */
	readonly operands: readonly string[];
	/** Accepted settings besides `json`, `help` and `version`. */
	readonly settings: readonly SettingName[];
	/** Settings that must be given. */
	readonly required: readonly SettingName[];
	/** True if arguments may contain a secret by mistake, so that messages must not repeat them. */
	readonly isInputSecret?: boolean;
	/** Resolves with the exit code. Rejects with a `ShallotctlError`. */
	run(context: CommandContext): Promise<ExitCode>;
};
