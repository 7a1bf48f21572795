/**
 * Errors of the platform clients. Errors from sockets and from the configuration layer are wrapped
 * and kept as `cause`.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export type PlatformErrorCode =
	| 'answer-too-big'
	| 'conflicting-answer'
	| 'handler-failed'
	| 'invalid-options'
	| 'malformed-answer'
	| 'malformed-settings'
	| 'stale-answer'
	| 'stopped'
	| 'timeout'
	| 'unexpected-status'
	| 'unreachable';

export class PlatformError extends ShallotpondError {
	override readonly code: PlatformErrorCode;

	constructor(code: PlatformErrorCode, message: string, options?: ErrorOptions) {
		super(code, message, options);
		this.code = code;
	}
}

/** Returns a `PlatformError` unchanged, and wraps any other error in one with this code. */
export function toPlatformError(error: unknown, code: PlatformErrorCode): PlatformError {
	if (error instanceof PlatformError) {
		return error;
	}

	const reason = error instanceof Error ? error.message : String(error);
	return new PlatformError(code, reason, {cause: error});
}
