/**
 * Guards against requests that are lost because healthy targets dropped the idle connections on
 * which they were sent. Targets that crashed, and a failure domain that recovers, leave stale
 * connections too; these must not stop the reuse of all connections of the service.
 */
import {describe, expect, test} from '@jest/globals';
import {createConnectionReusePolicy} from '../connection-reuse-policy.js';

const stale = (target: string, failureDomain: string, service = 'orders') => ({
	service,
	target,
	failureDomain,
});

describe('idle connections', () => {
	test('stale connections at several targets in two domains make the service distrusted', () => {
		const trust = createConnectionReusePolicy();
		trust.recordStale(stale('t-1', 'north'), 0);
		trust.recordStale(stale('t-2', 'south'), 100);
		expect(trust.maxIdleTime('orders', 100)).toBeUndefined();
		trust.recordStale(stale('t-3', 'south'), 200);
		expect(trust.maxIdleTime('orders', 200)).toBeLessThan(320);
		expect(trust.maxIdleTime('prices', 200)).toBeUndefined();
		expect(trust.maxIdleTime('orders', 10_000)).toBeUndefined();
	});

	test('stale connections of a recovering domain, or of one target that restarts often, do not', () => {
		const trust = createConnectionReusePolicy();
		for (let index = 0; index < 10; index++) {
			trust.recordStale(stale(`t-${index}`, 'north'), index);
			trust.recordStale(stale('t-1', 'north'), index);
		}

		expect(trust.isReuseLimited('orders', 20)).toBe(false);
	});

	test('stale connections spread over an hour do not add up', () => {
		const trust = createConnectionReusePolicy();
		for (let index = 0; index < 20; index++) {
			trust.recordStale(stale(`t-${index}`, index % 2 === 0 ? 'north' : 'south'), index * 180_000);
		}

		expect(trust.isReuseLimited('orders', 19 * 180_000)).toBe(false);
	});
});
