/**
 * Guards against requests that are lost because healthy targets dropped the idle connections on
 * which they were sent. Targets that crashed, and a failure domain that recovers, leave stale
 * connections too; these must not limit the reuse of all connections of the service.
 */
import {describe, expect, test} from '@jest/globals';
import {createConnectionReusePolicy} from '../connection-reuse-policy.js';

const stale = (target: string, failureDomain: string, service = 'orders') => ({
	service,
	target,
	failureDomain,
});

describe('idle connections', () => {
	test('stale connections at several targets in two domains limit the reuse for their service', () => {
		const policy = createConnectionReusePolicy();
		policy.recordStale(stale('t-1', 'north'), 0);
		policy.recordStale(stale('t-2', 'south'), 100);
		expect(policy.maxIdleTime('orders', 100)).toBeUndefined();
		policy.recordStale(stale('t-3', 'south'), 200);
		expect(policy.maxIdleTime('orders', 200)).toBeLessThan(320);
		expect(policy.maxIdleTime('prices', 200)).toBeUndefined();
		expect(policy.maxIdleTime('orders', 10_000)).toBeUndefined();
	});

	test('stale connections of a recovering domain, or of one target that restarts often, do not limit reuse', () => {
		const policy = createConnectionReusePolicy();
		for (let index = 0; index < 10; index++) {
			policy.recordStale(stale(`t-${index}`, 'north'), index);
			policy.recordStale(stale('t-1', 'north'), index);
		}

		expect(policy.isReuseLimited('orders', 20)).toBe(false);
	});

	test('stale connections spread over an hour do not add up', () => {
		const policy = createConnectionReusePolicy();
		for (let index = 0; index < 20; index++) {
			policy.recordStale(stale(`t-${index}`, index % 2 === 0 ? 'north' : 'south'), index * 180_000);
		}

		expect(policy.isReuseLimited('orders', 19 * 180_000)).toBe(false);
	});
});
