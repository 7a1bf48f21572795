/**
 * Outcomes of requests and of attempts at targets, shared by the request path and the policies.
 */

/** Whether a request ran at a target. `not-run` is reported only when it is certain. */
export type RunState = 'not-run' | 'may-have-run' | 'ran';

/** The error with which a request ends, in place of the response of a target. */
export type Refusal = {
	readonly kind: 'refused';
	/** Stable code in kebab case, for example `rate-exceeded`. */
	readonly code: string;
	/** HTTP status of the response to the caller. */
	readonly status: number;
	readonly detail: string;
	readonly runState: RunState;
	/** Milliseconds after which the caller may retry. */
	readonly retryAfter?: number;
	/** Values on which the decision was based, for logs and traces. */
	readonly basis?: Readonly<Record<string, number>>;
};

/** How one attempt at a target ended. */
export type AttemptResult =
	/** A complete response that met the expectations of the route. */
	| 'ok'
	/** A response with a status of 500 or above, unless the target shed the request. */
	| 'error'
	/** The response head, or the next byte of the body, did not arrive in time. */
	| 'timeout'
	/** A response that was empty, truncated or otherwise unusable, for example of a wrong type. */
	| 'incomplete'
	/** No connection was established; nothing was written. */
	| 'connection-failed'
	/** The connection broke after the first byte was written and before a response head arrived. */
	| 'connection-broken'
	/** The target reported that it did not run the request. */
	| 'shed'
	/** Another process responds at the address of the target; the request did not run. */
	| 'misdirected'
	/**
	 * Ended for a reason outside the target, for example because the caller disconnected, the API key
	 * was withdrawn or the slot grant expired. Says nothing about the health of the target.
	 */
	| 'cancelled';

export type AttemptOutcome = {
	readonly result: AttemptResult;
	/** Milliseconds from dispatch to the response head, or to the failure. */
	readonly latency: number;
	/** Milliseconds for which the attempt occupied its slot. */
	readonly slotTime: number;
	/**
	 * Milliseconds for which the connection had been idle before an attempt that failed; undefined
	 * for a new connection.
	 */
	readonly idleBefore?: number;
	/** Whether the attempt was cancelled because another attempt of the request got a response first. */
	readonly hasLostRace?: boolean;
	/** Identifies the run of the target process, where the target reports it; changes on restart. */
	readonly generation?: string;
};

/** What a target said about itself in the head of a response. */
export type TargetNotice = {
	/** Whether this process of the target is stopping and must get no further requests. */
	readonly isLeaving: boolean;
	/**
	 * Milliseconds for which the target wants no request from this instance; undefined if it did not
	 * ask for a pause.
	 */
	readonly holdOff: number | undefined;
};

const runStateRanks: Readonly<Record<RunState, number>> = {'not-run': 0, 'may-have-run': 1, ran: 2};

/**
 * Returns the state of a request after several attempts. An attempt that ran, or may have run,
 * outweighs one that did not run.
 */
export function combineRunStates(first: RunState, second: RunState): RunState {
	return runStateRanks[first] >= runStateRanks[second] ? first : second;
}
