/**
 * Guards the limits of hedges over the whole fleet: they would exceed the operator's limit or the
 * retry budget, also in a partition or after restarts, load a service that is slow as a whole, or
 * use up what retries need. Also guards against hedges that change nothing for callers.
 */
import {describe, expect, test} from '@jest/globals';
import {hedgeWindowMs} from '@shallotpond/policy-routing/hedge-limit';
import {
	budget,
	instanceCount,
	simulateHedging,
	targetCount,
	type HedgingModelOptions,
	type HedgingModelResult,
} from './hedging-model.js';

const duration = 100_000;
/** A fault begins when the latencies are known. */
const faultAt = 30_000;
const slowFactor = 8;
/** Milliseconds; four times the usual service time. */
const slowLatency = 1200;
const slowTenth: HedgingModelOptions = {
	ratio: 0.1,
	seed: 20_261_206,
	duration,
	slowdown: (target, now) => (target < targetCount / 10 && now >= faultAt ? slowFactor : 1),
};

function countWithin(times: readonly number[], from: number, to: number): number {
	return times.filter(at => at > from && at <= to).length;
}

/**
 * Largest number of hedges in any window beyond the limit. As for retries, the requests are those of
 * the window, the one before it or the one half a window before it, whichever has most.
 */
function maxExcess({requests, hedges}: HedgingModelResult, ratio: number): number {
	const excesses = hedges.map(end => {
		const from = end - hedgeWindowMs;
		const counted = [0, hedgeWindowMs / 2, hedgeWindowMs].map(earlier =>
			countWithin(requests, from - earlier, end - earlier),
		);
		return countWithin(hedges, from, end) - ratio * Math.max(...counted);
	});
	return Math.max(...excesses);
}

/** Largest number of hedges and retries in any window beyond the retry budget of the fleet. */
function maxBudgetExcess({requests, hedges, retries}: HedgingModelResult): number {
	const repeats = [...hedges, ...retries];
	const excesses = repeats.map(end => {
		const from = end - budget.window;
		const allowed = budget.ratio * countWithin(requests, from, end) + budget.reserve;
		return countWithin(repeats, from, end) - allowed;
	});
	return Math.max(...excesses);
}

function expectWithinLimits(result: HedgingModelResult, {ratio}: HedgingModelOptions): void {
	expect(maxExcess(result, ratio)).toBeLessThanOrEqual(0);
	expect(maxBudgetExcess(result)).toBeLessThanOrEqual(0);
}

/** Latency in milliseconds that the given fraction of the requests since the fault did not exceed. */
function quantileOf({served}: HedgingModelResult, quantile: number): number {
	const latencies = served.filter(({at}) => at >= faultAt).map(({latency}) => latency);
	return latencies.sort((a, b) => a - b)[Math.ceil(latencies.length * quantile) - 1]!;
}

/** Each target in turn is slow for two seconds, so that a tenth of them always is. */
const slowInTurn: HedgingModelOptions = {
	...slowTenth,
	slowdown(target, now) {
		const firstSlow = 2 * Math.floor(now / 2000);
		const distance = (target - firstSlow + 10_000 * targetCount) % targetCount;
		return now >= faultAt && distance < targetCount / 10 ? slowFactor : 1;
	},
};

/** Few hedges are allowed, so that the limit and not the budget binds. */
const narrow: HedgingModelOptions = {...slowInTurn, ratio: 0.02};

/** Requests since the fault that took four times the usual service time. */
function countSlow({served}: HedgingModelResult): number {
	return served.filter(({at, latency}) => at >= faultAt && latency > slowLatency).length;
}

describe('hedges of a fleet', () => {
	test.each([
		['the same tenth of the targets is slow', slowTenth],
		['each tenth of the targets is slow in turn', slowInTurn],
	])('%s: few answers stay slow, within the limits', (_name, options) => {
		const hedged = simulateHedging(options);
		const plain = simulateHedging({...options, ratio: 0});
		expectWithinLimits(hedged, options);
		expect(plain.hedges).toEqual([]);
		expect(hedged.counts.get('won')).toBeGreaterThan(0.8 * hedged.hedges.length);
		expect(countSlow(hedged)).toBeLessThan(0.3 * countSlow(plain));
		expect(quantileOf(hedged, 0.9)).toBeLessThan(1.02 * quantileOf(plain, 0.9));
	});

	test('a service that is slow as a whole gets hardly any hedges', () => {
		const options = {
			...slowTenth,
			slowdown: (_target: number, now: number) => (now >= faultAt ? 4 : 1),
		};
		const hedged = simulateHedging(options);
		expectWithinLimits(hedged, options);
		// Each instance needs a few late requests to notice.
		const noticedAt = faultAt + 5000;
		const requests = countWithin(hedged.requests, noticedAt, noticedAt + 15_000);
		const hedges = countWithin(hedged.hedges, noticedAt, noticedAt + 15_000);
		expect(hedges).toBeLessThan(0.01 * requests);
		expect(hedged.counts.get('hedge-service-slow')).toBeGreaterThan(0);
		const plain = simulateHedging({...options, ratio: 0});
		expect(quantileOf(hedged, 0.9)).toBeLessThan(1.05 * quantileOf(plain, 0.9));
	});

	test('a service whose slots are all in use gets no hedges', () => {
		const options = {
			...slowTenth,
			slowdown: (_target: number, now: number) => (now >= faultAt ? 10 : 1),
		};
		const hedged = simulateHedging(options);
		expectWithinLimits(hedged, options);
		// The slots fill within a few seconds.
		expect(countWithin(hedged.hedges, faultAt + 5000, duration)).toBe(0);
	});

	test('while targets fail, hedges leave the budget to the retries', () => {
		const failing: HedgingModelOptions = {
			...slowInTurn,
			failureRatio: (_target, now) => (now >= faultAt ? 0.4 : 0),
		};
		const hedged = simulateHedging(failing);
		const plain = simulateHedging({...failing, ratio: 0});
		expectWithinLimits(hedged, failing);
		expect(hedged.retries.length).toBeGreaterThan(0.95 * plain.retries.length);
		expect(hedged.served.length).toBeGreaterThan(0.99 * plain.served.length);
		expect(hedged.counts.get('hedge-budget')).toBeGreaterThan(0);
	});

	test.each([1, 2, 3, 12])('a fleet in %d parts keeps the limit of the whole fleet', parts => {
		const partOf = (instance: number) => instance % parts;
		const options: HedgingModelOptions = {
			...narrow,
			isCut: (from, to, now) => now >= faultAt && partOf(from) !== partOf(to),
		};
		const hedged = simulateHedging(options);
		expectWithinLimits(hedged, options);
		expect(hedged.counts.get('hedge-limit')).toBeGreaterThan(0);
		expect(hedged.hedges.length).toBeGreaterThan(0);
	});

	test.each([1, 4, instanceCount])('%d instances killed and replaced keep the limit', killed => {
		const killedAt = 50_000;
		const options: HedgingModelOptions = {
			...narrow,
			killedAt: instance => (instance < killed ? killedAt : undefined),
		};
		const hedged = simulateHedging(options);
		expectWithinLimits(hedged, options);
		if (killed === instanceCount) {
			// New processes know neither latencies nor what their predecessors spent.
			expect(countWithin(hedged.hedges, killedAt, killedAt + 5000)).toBe(0);
			expect(countWithin(hedged.hedges, killedAt + 5000, duration)).toBeGreaterThan(0);
		}
	});
});
