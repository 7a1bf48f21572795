/**
 * Guards against retries and hedges that multiply the load of a failing service, and against a
 * second run of a request that may run only once.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createHedgePolicy} from '../hedge-policy.js';
import {createRetryBudget} from '../retry-budget.js';
import {createRetryPolicy, type FailedAttempt} from '../retry-policy.js';

const attempt: FailedAttempt = {
	method: 'POST',
	idempotentMethods: ['GET'],
	result: 'timeout',
	isWritten: true,
	runState: 'not-run',
	isCommitted: false,
	attempts: 1,
	deadline: 1000,
};

function decide(change: Partial<FailedAttempt>, isFunded = true, now = 0): string {
	const budget = createRetryBudget();
	const requests = isFunded ? 10 : 0;
	for (let count = 0; count < requests; count++) {
		budget.countRequest();
	}

	const {action, runState, reason} = createRetryPolicy({budget}).decide(
		{...attempt, ...change},
		now,
	);
	return [action, runState, ...(reason === undefined ? [] : [reason])].join(' ');
}

describe('retry budget', () => {
	test('retries in every window are at most 10% of its requests plus the reserve', () => {
		fc.assert(
			fc.property(fc.array(fc.boolean(), {maxLength: 500, size: 'max'}), events => {
				const budget = createRetryBudget({reserve: 3});
				// The largest excess of any window that ends at the present event, in hundredths of a retry:
				// each retry adds 100 and each request subtracts 10 (Kadane's algorithm).
				let excess = 0;
				let largest = 0;
				for (const isRequest of events.flatMap(event =>
					event ? [event, event, event] : [event],
				)) {
					if (isRequest) {
						budget.countRequest();
						excess = Math.max(0, excess - 10);
					} else if (budget.take()) {
						excess += 100;
						largest = Math.max(largest, excess);
					}
				}

				expect(largest).toBeLessThanOrEqual(300);
			}),
			{seed: 20_261_204, numRuns: 300},
		);
	});

	test('a new budget gives no retry, so that restarts add no load', () => {
		const budget = createRetryBudget();
		expect(budget.take()).toBe(false);
		for (let count = 0; count < 10; count++) {
			budget.countRequest();
		}

		expect([budget.take(), budget.take()]).toEqual([true, false]);
	});
});

describe('retry policy', () => {
	test('a request that may run only once is retried only when it provably did not run', () => {
		const results: Record<AttemptResult, string> = {
			ok: 'give-up ran final',
			error: 'give-up ran may-have-run',
			timeout: 'give-up may-have-run may-have-run',
			incomplete: 'give-up may-have-run may-have-run',
			'connection-failed': 'retry not-run',
			'connection-broken': 'give-up may-have-run may-have-run',
			shed: 'retry not-run',
			misdirected: 'retry not-run',
			cancelled: 'give-up may-have-run final',
		};
		for (const [result, expected] of Object.entries(results)) {
			expect(decide({result: result as AttemptResult})).toBe(expected);
		}

		expect(decide({result: 'connection-broken', isWritten: false})).toBe('retry not-run');
		expect(decide({result: 'shed', runState: 'may-have-run'})).toBe(
			'give-up may-have-run may-have-run',
		);
	});

	test('an idempotent request is retried within attempts, deadline and budget, and never after a part of its response', () => {
		const idempotent = {method: 'GET'};
		expect(decide(idempotent)).toBe('retry may-have-run');
		expect(decide({...idempotent, isCommitted: true})).toBe('give-up may-have-run committed');
		expect(decide({...idempotent, attempts: 3})).toBe('give-up may-have-run attempts');
		expect(decide(idempotent, true, 995)).toBe('give-up may-have-run deadline');
		expect(decide(idempotent, false)).toBe('give-up may-have-run budget');
		expect(decide({...idempotent, runState: 'ran', result: 'shed'})).toBe('retry ran');
	});
});

describe('hedge policy', () => {
	const request = {service: 's', method: 'GET', idempotentMethods: ['GET']};
	const timing = {startedAt: 0, deadline: 1000, isCommitted: false};

	function createFilled(requests: number) {
		const budget = createRetryBudget();
		for (let count = 0; count < requests; count++) {
			budget.countRequest();
		}

		const policy = createHedgePolicy({budget, maxServices: 2});
		for (let latency = 1; latency <= 100; latency++) {
			policy.record('s', latency);
		}

		return policy;
	}

	test('a hedge is sent after the 95th percentile, from the budget, and only for idempotent requests', () => {
		const policy = createFilled(10);
		const delay = policy.delay(request)!;
		expect(delay).toBeGreaterThanOrEqual(90);
		expect(delay).toBeLessThanOrEqual(96);
		const hedge = {...request, ...timing};
		expect(policy.decide(hedge, delay - 1)).toBe('wait');
		expect(policy.decide({...hedge, method: 'POST'}, 500)).toBe('no-hedge');
		expect(policy.decide({...hedge, isCommitted: true}, 500)).toBe('no-hedge');
		expect(policy.decide(hedge, 990)).toBe('no-hedge');
		expect(policy.decide(hedge, delay)).toBe('hedge');
		expect(policy.decide(hedge, delay)).toBe('no-hedge');
	});

	test('few samples give no hedge, old ones are forgotten, and the number of services is bounded', () => {
		const policy = createFilled(10);
		for (let count = 0; count < 39; count++) {
			policy.record('few', 5);
		}

		expect(policy.delay({...request, service: 'few'})).toBeUndefined();
		for (let count = 0; count < 256; count++) {
			policy.record('s', 5);
		}

		expect(policy.delay(request)).toBe(5);
		policy.record('t', 1);
		policy.record('u', 1);
		expect(policy.delay(request)).toBeUndefined();
	});
});
