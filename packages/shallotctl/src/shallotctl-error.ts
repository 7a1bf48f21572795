/**
 * Errors that end a command with a message and an exit code, never with a stack trace.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export const exitCodes = {ok: 0, refused: 1, usage: 2, unreachable: 3} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
export type ShallotctlErrorCode = Exclude<keyof typeof exitCodes, 'ok'>;

export class ShallotctlError extends ShallotpondError {
	readonly problems: readonly string[];
	readonly exitCode: ExitCode;

	constructor(code: ShallotctlErrorCode, problems: readonly string[], options?: ErrorOptions) {
		super(code, problems.join('\n'), options);
		this.problems = problems;
		this.exitCode = exitCodes[code];
	}
}
