/**
 * Whether a request ran at a target, and how one attempt ended. The values are those of the request
 * path, which this package does not depend on.
 */

/** `not-run` is said only where it is proved. */
export type RunState = 'not-run' | 'may-have-run' | 'ran';

export type AttemptResult =
	/** A whole answer that met the expectations of the route. */
	| 'ok'
	/** A whole answer with a status of 500 or above that is not a shed answer. */
	| 'error'
	/** No head, or no further byte, in time. */
	| 'timeout'
	/** A blank or cut answer. */
	| 'incomplete'
	/** No connection; nothing was written. */
	| 'connection-failed'
	/** The connection broke after the first byte was written and before a whole answer. */
	| 'connection-broken'
	/** The target said that it did not run the request. */
	| 'shed'
	/** The caller went away, the key was withdrawn or the grant ran out. */
	| 'cancelled';

/** A request that goes no further. `retryAfter` is in milliseconds. */
export type Refusal = {
	readonly kind: 'refused';
	readonly code: string;
	readonly status: number;
	readonly detail: string;
	readonly runState: RunState;
	readonly retryAfter?: number;
};

const certainty: Readonly<Record<RunState, number>> = {'not-run': 0, 'may-have-run': 1, ran: 2};

/** The state of a request after several attempts: one that ran is not undone by one that did not. */
export function combineRunStates(first: RunState, second: RunState): RunState {
	return certainty[first] >= certainty[second] ? first : second;
}
