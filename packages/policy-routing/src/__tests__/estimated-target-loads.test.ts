/**
 * Guards against a wrong estimate of the requests that the fleet has at a target: it must match a
 * steady flow, follow a change within seconds and not depend on how outcomes are grouped in reports.
 */
import {describe, expect, test} from '@jest/globals';
import {createEstimatedTargetLoads} from '../estimated-target-loads.js';

const target = 'roster-1@1';

/** Adds the outcomes of a steady flow as reports that arrive at an interval. */
function addFlow(
	loads: ReturnType<typeof createEstimatedTargetLoads>,
	flow: {
		readonly requestsPerSecond: number;
		readonly latency: number;
		/** Milliseconds. */
		readonly reportInterval: number;
		readonly from: number;
		readonly until: number;
	},
): void {
	const requests = (flow.requestsPerSecond * flow.reportInterval) / 1000;
	for (let now = flow.from; now < flow.until; now += flow.reportInterval) {
		loads.add(target, requests * flow.latency, now);
	}
}

describe('estimated load of a target', () => {
	test.each([20, 250, 750])('a steady flow is estimated from reports every %d ms', interval => {
		const loads = createEstimatedTargetLoads();
		addFlow(loads, {
			requestsPerSecond: 12,
			latency: 250,
			reportInterval: interval,
			from: 0,
			until: 20_000,
		});
		const estimate = loads.requestsAt(target, 20_000);
		expect(estimate).toBeGreaterThan(3 * 0.7);
		expect(estimate).toBeLessThan(3 * 1.3);
	});

	test('a target that gets no requests any more counts as idle within seconds', () => {
		const loads = createEstimatedTargetLoads();
		addFlow(loads, {
			requestsPerSecond: 40,
			latency: 250,
			reportInterval: 250,
			from: 0,
			until: 10_000,
		});
		expect(loads.requestsAt(target, 15_000)).toBeLessThan(0.5);
		loads.prune(60_000);
		expect(loads.requestsAt(target, 60_000)).toBe(0);
	});
});
