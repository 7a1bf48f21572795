/**
 * Guards against hedges that are sent too early: on too few or too old latencies, or on a quantile
 * that falls because the slow attempts are cancelled and so never counted.
 */
import {describe, expect, test} from '@jest/globals';
import {createHedgeDelays, type HedgeDelays} from '../hedge-delays.js';

function recordMany(delays: HedgeDelays, latencies: readonly number[], now: number): void {
	for (const latency of latencies) {
		delays.record('lookups', latency, now);
	}
}

/** 100 latencies of which a fifth is ten times the others. */
const mixed = Array.from({length: 100}, (_, index) => (index % 5 === 0 ? 1000 : 100));

describe('delay of a hedge', () => {
	test('is a high quantile of the latencies', () => {
		const delays = createHedgeDelays();
		recordMany(delays, mixed, 0);
		const estimate = delays.estimateOf('lookups', 0)!;
		expect(estimate.delay).toBeGreaterThan(950);
		expect(estimate.delay).toBeLessThan(1050);
		expect(estimate.median).toBeCloseTo(100, -1);
	});

	test('is never so short that a hedge cannot be faster', () => {
		const delays = createHedgeDelays();
		recordMany(
			delays,
			Array.from({length: 100}, () => 200),
			0,
		);
		expect(delays.estimateOf('lookups', 0)!.delay).toBeGreaterThanOrEqual(290);
	});

	test('is unknown for few latencies, for another kind and for latencies of long ago', () => {
		const delays = createHedgeDelays();
		recordMany(delays, mixed.slice(0, 19), 0);
		expect(delays.estimateOf('lookups', 0)).toBeUndefined();
		recordMany(delays, mixed, 0);
		expect(delays.estimateOf('downloads', 0)).toBeUndefined();
		expect(delays.estimateOf('lookups', 59_000)).toBeDefined();
		expect(delays.estimateOf('lookups', 61_000)).toBeUndefined();
	});

	test('does not fall when attempts are given up, and short ones do not count', () => {
		const delays = createHedgeDelays();
		recordMany(delays, mixed, 0);
		for (let index = 0; index < 400; index++) {
			if (index % 5 === 0) {
				delays.recordGivenUp('lookups', 1100, 0);
			} else {
				delays.record('lookups', 100, 0);
				delays.recordGivenUp('lookups', 50, 0);
			}
		}

		expect(delays.estimateOf('lookups', 0)!.delay).toBeGreaterThan(950);
	});
});
