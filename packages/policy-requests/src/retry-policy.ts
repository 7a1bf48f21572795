/**
 * Decides whether a failed attempt is followed by a retry, and what is known about whether the
 * request ran.
 */
import {
	type AttemptResult,
	type RunState,
	combineRunStates,
} from '@shallotpond/kernel/attempt-outcome';
import {type RetryBudget} from './retry-budget.js';

export type FailedAttempt = {
	readonly method: string;
	/** Methods whose requests may run more than once on this route. */
	readonly idempotentMethods: readonly string[];
	readonly result: AttemptResult;
	/** Whether at least one byte of the request was written to a connection. */
	readonly isWritten: boolean;
	/** Combined state of all earlier attempts; `not-run` before the first. */
	readonly runState: RunState;
	/** Whether the caller has received a part of a response, or the body cannot be sent again. */
	readonly isCommitted: boolean;
	/** Attempts made, including this one and its hedges. */
	readonly attempts: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
};

export type RetryDecision = {
	readonly action: 'retry' | 'give-up';
	/**
	 * State of the whole request after this attempt. After a retry, it must be passed as the
	 * `runState` of the next `FailedAttempt`.
	 */
	readonly runState: RunState;
	/** Why there is no retry; `final` means that a request with this result is never retried. */
	readonly reason?: 'final' | 'committed' | 'may-have-run' | 'attempts' | 'deadline' | 'budget';
};

export type RetryPolicyOptions = {
	readonly budget: RetryBudget;
	/** Number of attempts, hedges included, after which there is no retry; 3 by default. */
	readonly maxAttempts?: number;
	/** Milliseconds that must remain before the deadline to start an attempt; 10 by default. */
	readonly minAttemptTime?: number;
};

export type RetryPolicy = {
	/** Takes one retry from the budget when, and only when, the action is `retry`. */
	decide(attempt: FailedAttempt, now: number): RetryDecision;
};

type Rule = {readonly runState: RunState; readonly isRetryable: boolean};

/**
 * What each result shows about the request if at least one byte of it was written, and whether the
 * result permits a retry.
 */
const rules: Readonly<Record<AttemptResult, Rule>> = {
	ok: {runState: 'ran', isRetryable: false},
	error: {runState: 'ran', isRetryable: true},
	timeout: {runState: 'may-have-run', isRetryable: true},
	// Blank responses come from targets that fail real work, so they do not prove that the request
	// ran.
	incomplete: {runState: 'may-have-run', isRetryable: true},
	'connection-failed': {runState: 'not-run', isRetryable: true},
	'connection-broken': {runState: 'may-have-run', isRetryable: true},
	shed: {runState: 'not-run', isRetryable: true},
	misdirected: {runState: 'not-run', isRetryable: true},
	cancelled: {runState: 'may-have-run', isRetryable: false},
};

export function createRetryPolicy({
	budget,
	maxAttempts = 3,
	minAttemptTime = 10,
}: RetryPolicyOptions): RetryPolicy {
	return {
		decide(attempt, now) {
			const runState = runStateAfter(attempt);
			const checks: Array<readonly [NonNullable<RetryDecision['reason']>, boolean]> = [
				['final', !rules[attempt.result].isRetryable],
				['committed', attempt.isCommitted],
				['may-have-run', runState !== 'not-run' && !isIdempotent(attempt)],
				['attempts', attempt.attempts >= maxAttempts],
				['deadline', now + minAttemptTime > attempt.deadline],
			];
			const failed = checks.find(([, isFailed]) => isFailed);
			if (failed !== undefined) {
				return {action: 'give-up', runState, reason: failed[0]};
			}

			// Taken after all other checks, so that the budget is charged only for a retry that is to be
			// sent.
			return budget.take()
				? {action: 'retry', runState}
				: {action: 'give-up', runState, reason: 'budget'};
		},
	};
}

/** Whether a request may run more than once. */
export function isIdempotent({
	method,
	idempotentMethods,
}: Pick<FailedAttempt, 'method' | 'idempotentMethods'>): boolean {
	return idempotentMethods.includes(method);
}

function runStateAfter({result, isWritten, runState}: FailedAttempt): RunState {
	const own = isWritten ? rules[result].runState : 'not-run';
	return combineRunStates(runState, own);
}
