/**
 * What a command is, and what it gets to do its work.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type SettingName, type Settings} from './settings.js';
import {type ExitCode} from './shallotctl-error.js';

export type Terminal = {
	/** Writes one line, or several lines in one text. */
	print(text: string): void;
	printError(text: string): void;
	/** The whole of standard input. */
	readInput(): Promise<Uint8Array>;
	/** Its timers keep the process alive. */
	readonly clock: Clock;
};

export type CommandContext = {
	/** As many as the command has operands. */
	readonly operands: readonly string[];
	readonly settings: Settings;
	readonly terminal: Terminal;
};

export type Command = {
	readonly summary: string;
	/** Names of the operands in order, for example `['file']`. */
	readonly operands: readonly string[];
	/** Settings that it takes besides `json`, `help` and `version`. */
	readonly settings: readonly SettingName[];
	readonly required: readonly SettingName[];
	/** True when arguments may hold a secret by mistake and must not appear in messages. */
	readonly isInputSecret?: boolean;
	/** Resolves with the exit code. Rejects with a `ShallotctlError`. */
	run(context: CommandContext): Promise<ExitCode>;
};
