/**
 * Guards the retry budget of the fleet against restarts. A new process does not know which retries
 * its predecessor sent, so a fleet whose processes restart could spend its budget twice within one
 * window. Also guards against a budget that is not used.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createLocalRetryBudget, type LocalRetryBudget} from '../local-retry-budget.js';

/** Milliseconds; the budget applies to every window of this length. */
const window = 10_000;
const budget = {ratio: 0.2, reserve: 58, window};
/** Part of the ratio that is used, as in the gateway. */
const usedRatio = 0.9 * budget.ratio;
const instanceCount = 36;
const downtimeMs = 1000;
/** Time until a new process knows the others. */
const discoveryTimeMs = 500;
/** Instances that a process assumes until it knows the others, as in the gateway. */
const minAssumedInstances = 16;
const step = 10;
const duration = 50_000;

type Scenario = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	/** When the instance is killed; it is back after `downtimeMs`. */
	readonly killedAt: (instance: number) => number | undefined;
	/** Milliseconds at which targets begin and cease to reject more than half of all attempts. */
	readonly rejectsFrom: number;
	readonly rejectsUntil: number;
};

/** Simulates callers and targets; returns what arrives in every window. */
function simulate(scenario: Scenario) {
	const random = createSeededRandom(scenario.seed);
	let now = 0;
	const startedAt = Array.from({length: instanceCount}, () => Number.NEGATIVE_INFINITY);

	function createBudget(index: number): LocalRetryBudget {
		const start = now;
		const isDiscovering = () =>
			index >= 0 && startedAt[index]! === start && now - start < discoveryTimeMs;
		return createLocalRetryBudget({
			...budget,
			ratio: usedRatio,
			startedAt: startedAt[index]!,
			fleetSize: () => (isDiscovering() ? minAssumedInstances : instanceCount),
		});
	}

	const budgets = startedAt.map((_, index) => createBudget(index));
	/** Requests and retries by step. */
	const requests = Array.from({length: duration / step}, () => 0);
	const retries = Array.from({length: duration / step}, () => 0);

	function request(index: number): void {
		requests[now / step]!++;
		const killedAt = scenario.killedAt(index);
		if (killedAt !== undefined && now >= killedAt && now < killedAt + downtimeMs) {
			return;
		}

		budgets[index]!.countRequest('w', now);
		const isRejected = () =>
			now >= scenario.rejectsFrom && now < scenario.rejectsUntil && random() < 0.55;
		for (let attempts = 1; attempts < 4 && isRejected(); attempts++) {
			if (!budgets[index]!.take('w', now)) {
				return;
			}

			retries[now / step]!++;
		}
	}

	for (; now < duration; now += step) {
		for (let index = 0; index < instanceCount; index++) {
			const killedAt = scenario.killedAt(index);
			if (killedAt !== undefined && now === killedAt + downtimeMs) {
				startedAt[index] = now;
				budgets[index] = createBudget(index);
			}
		}

		const expected = (scenario.requestsPerSecond * step) / 1000;
		for (let chance = expected; chance > 0; chance--) {
			if (random() < chance) {
				request(Math.floor(random() * instanceCount));
			}
		}
	}

	const sum = (counts: readonly number[], from: number, until: number) =>
		counts
			.slice(Math.max(0, from / step), Math.max(0, until / step))
			.reduce((total, count) => total + count, 0);

	/** The largest number of retries in a window beyond what its requests allow. */
	function maxExcess(): number {
		let excess = Number.NEGATIVE_INFINITY;
		for (let from = window; from + window <= duration; from += 100) {
			const counted = Math.max(
				...[0, window / 2, window].map(earlier =>
					sum(requests, from - earlier, from - earlier + window),
				),
			);
			const allowed = budget.ratio * counted + budget.reserve;
			excess = Math.max(excess, sum(retries, from, from + window) - allowed);
		}

		return excess;
	}

	return {maxExcess, retries: (from: number, until: number) => sum(retries, from, until)};
}

describe('retry budget of processes that restart', () => {
	test.each([1, 0.6, 0.3, 0.1, 0.03])(
		'restarts of a fraction of %d of the processes do not let the fleet spend its budget twice',
		fraction => {
			for (const requestsPerSecond of [20, 70, 150]) {
				for (const killedAt of [21_000, 22_500, 24_000, 27_000]) {
					for (const seed of [1, 2, 3]) {
						const {maxExcess} = simulate({
							seed,
							requestsPerSecond,
							killedAt: index => (index < fraction * instanceCount ? killedAt : undefined),
							rejectsFrom: 20_000,
							rejectsUntil: 45_000,
						});
						expect(maxExcess()).toBeLessThanOrEqual(0);
					}
				}
			}
		},
	);

	test('processes that restart one after the other do not let the fleet spend its budget twice', () => {
		const {maxExcess} = simulate({
			seed: 2,
			requestsPerSecond: 70,
			killedAt: index => 15_000 + index * 700,
			rejectsFrom: 20_000,
			rejectsUntil: 45_000,
		});
		expect(maxExcess()).toBeLessThanOrEqual(0);
	});

	test('a busy fleet without restarts stays within its budget and uses most of it', () => {
		const {maxExcess, retries} = simulate({
			seed: 3,
			requestsPerSecond: 150,
			killedAt: () => undefined,
			rejectsFrom: 20_000,
			rejectsUntil: 45_000,
		});
		expect(maxExcess()).toBeLessThanOrEqual(0);
		expect(retries(30_000, 40_000)).toBeGreaterThan(0.8 * (0.2 * 1500 + budget.reserve));
	});

	test('a new process sends retries again within a window, and one of a fleet that starts for the first time at once', () => {
		const createFor = (startedAt: number) =>
			createLocalRetryBudget({...budget, startedAt, fleetSize: () => 16});
		const firstStart = createFor(Number.NEGATIVE_INFINITY);
		expect(firstStart.take('w', 1000)).toBe(true);
		const restarted = createFor(0);
		const taken = Array.from({length: 100}, (_, index) => restarted.take('w', index * 100));
		expect(taken.slice(0, 30)).not.toContain(true);
		expect(taken.slice(30)).toContain(true);
	});
});
