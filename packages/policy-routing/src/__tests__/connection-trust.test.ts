/** Targets that drop idle connections, as opposed to targets that crashed and restarted. */
import {describe, expect, test} from '@jest/globals';
import {createConnectionTrust} from '../connection-trust.js';

const stale = (target: string, failureDomain: string, service = 'orders') => ({
	service,
	target,
	failureDomain,
});

describe('idle connections', () => {
	test('stale connections at several targets in two domains make the service distrusted', () => {
		const trust = createConnectionTrust();
		trust.noteStale(stale('t-1', 'north'), 0);
		trust.noteStale(stale('t-2', 'south'), 100);
		expect(trust.longestIdle('orders', 100)).toBeUndefined();
		trust.noteStale(stale('t-3', 'south'), 200);
		expect(trust.longestIdle('orders', 200)).toBeLessThan(320);
		expect(trust.longestIdle('prices', 200)).toBeUndefined();
		expect(trust.longestIdle('orders', 10_000)).toBeUndefined();
	});

	test('stale connections of a recovering domain, or of one target that restarts often, do not', () => {
		const trust = createConnectionTrust();
		for (let index = 0; index < 10; index++) {
			trust.noteStale(stale(`t-${index}`, 'north'), index);
			trust.noteStale(stale('t-1', 'north'), index);
		}

		expect(trust.isDoubted('orders', 20)).toBe(false);
	});

	test('stale connections spread over an hour do not add up', () => {
		const trust = createConnectionTrust();
		for (let index = 0; index < 20; index++) {
			trust.noteStale(stale(`t-${index}`, index % 2 === 0 ? 'north' : 'south'), index * 180_000);
		}

		expect(trust.isDoubted('orders', 19 * 180_000)).toBe(false);
	});
});
