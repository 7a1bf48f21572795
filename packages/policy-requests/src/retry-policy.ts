/**
 * What follows from a failed attempt: another attempt or the end, and what is truthfully known of
 * whether the request ran.
 */
import {
	type AttemptResult,
	type RunState,
	combineRunStates,
} from '@shallotpond/kernel/attempt-outcome';
import {type RetryBudget} from './retry-budget.js';

export type FailedAttempt = {
	readonly method: string;
	/** Methods of the route that may run more than once. */
	readonly idempotentMethods: readonly string[];
	readonly result: AttemptResult;
	/** Whether at least one byte of the request was written to a connection. */
	readonly isWritten: boolean;
	/** Combined state of all earlier attempts; `not-run` before the first. */
	readonly runState: RunState;
	/** Whether the caller has received a part of an answer, or the body cannot be sent again. */
	readonly isCommitted: boolean;
	/** Attempts so far, including this one and its hedges. */
	readonly attempts: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
};

export type RetryDecision = {
	readonly action: 'retry' | 'give-up';
	/** Of the whole request. When it is retried, `runState` of the next attempt. */
	readonly runState: RunState;
	/** Why there is no retry. */
	readonly reason?: 'final' | 'committed' | 'may-have-run' | 'attempts' | 'deadline' | 'budget';
};

export type RetryPolicyOptions = {
	readonly budget: RetryBudget;
	readonly maxAttempts?: number;
	/** Milliseconds before the deadline from which no attempt is started. */
	readonly minAttemptTime?: number;
};

export type RetryPolicy = {
	/** Takes one retry from the budget when, and only when, the action is `retry`. */
	decide(attempt: FailedAttempt, now: number): RetryDecision;
};

type Rule = {readonly runState: RunState; readonly mayRepeat: boolean};

/** What an attempt with at least one written byte proves. */
const rules: Readonly<Record<AttemptResult, Rule>> = {
	ok: {runState: 'ran', mayRepeat: false},
	error: {runState: 'ran', mayRepeat: true},
	timeout: {runState: 'may-have-run', mayRepeat: true},
	// Blank answers come from targets that fail real work, so they do not prove that it ran.
	incomplete: {runState: 'may-have-run', mayRepeat: true},
	'connection-failed': {runState: 'not-run', mayRepeat: true},
	'connection-broken': {runState: 'may-have-run', mayRepeat: true},
	shed: {runState: 'not-run', mayRepeat: true},
	misdirected: {runState: 'not-run', mayRepeat: true},
	cancelled: {runState: 'may-have-run', mayRepeat: false},
};

export function createRetryPolicy({
	budget,
	maxAttempts: mostAttempts = 3,
	minAttemptTime: shortestAttempt = 10,
}: RetryPolicyOptions): RetryPolicy {
	return {
		decide(attempt, now) {
			const runState = runStateAfter(attempt);
			const checks: Array<readonly [NonNullable<RetryDecision['reason']>, boolean]> = [
				['final', !rules[attempt.result].mayRepeat],
				['committed', attempt.isCommitted],
				['may-have-run', runState !== 'not-run' && !isIdempotent(attempt)],
				['attempts', attempt.attempts >= mostAttempts],
				['deadline', now + shortestAttempt > attempt.deadline],
			];
			const failed = checks.find(([, isFailed]) => isFailed);
			if (failed !== undefined) {
				return {action: 'give-up', runState, reason: failed[0]};
			}

			// Last, because a retry that is taken must also be sent.
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
