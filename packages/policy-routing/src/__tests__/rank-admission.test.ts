/**
 * Guards against refusing urgent requests of a workspace above its rate as often as its other
 * requests, and against the ways in which preferring them can go wrong: admitting more than the
 * rate when the estimated mix of ranks is wrong at all instances, starving a rank, and refusing
 * requests after the flood. Each load is decided with and without ranks.
 */
import {describe, expect, test} from '@jest/globals';
import {createRankAdmission, distributeByRank} from '../rank-admission.js';
import {limitOf, maxAdmittedOf, simulate, usualDelays, type Scenario} from './rate-limit-model.js';

/** Requests per second; a large workspace of a fleet of about a hundred instances. */
const limit = {rate: 80, burst: 80};
/** Reports are 400 ms late. The flood lasts from 10 s to 20 s. */
const flood = {
	limit,
	sentBefore: 0.6 * limit.rate,
	sentAfter: 0.6 * limit.rate,
	floodEnd: 20_000,
	delay: 400,
};
const seeds = [1, 2, 3];
/** Three ranks, the first of which has a fifth of the requests. */
const usualMix = () => [0.2, 0.4, 0.4];
/** Number of requests that the ranks may add in any window: a tenth of the limit. */
const maxSaved = 0.1 * limitOf(limit);
/** All requests have the default rank. */
const withoutRanks = {mixAt: () => [0, 0, 0, 0, 0, 0, 0, 0, 0, 1]};

/** Plays the scenario with each seed. */
function play(scenario: Scenario) {
	const results = seeds.map(seed => simulate({...scenario, seed}));
	const requests = results.flatMap(result => result.requests);
	return {
		requests,
		/** Mean over the seeds of the maximum number of admissions in any window. */
		maxPerWindow: results.reduce((sum, result) => sum + result.maxPerWindow, 0) / results.length,
		/** Fraction of the requests of a rank, or of all, that were admitted in a span. */
		admittedRatio(rank: number | undefined, start: number, end: number): number {
			const relevant = requests.filter(
				request =>
					request.at >= start && request.at < end && (rank === undefined || request.rank === rank),
			);
			return relevant.filter(({isAdmitted}) => isAdmitted).length / relevant.length;
		},
	};
}

describe('one workspace at several times its rate', () => {
	test.each([
		[3.5, 40],
		[3.5, 98],
		[10, 40],
		[10, 98],
	])(
		'at %d times its rate over %d instances, urgent requests go first and no rank is starved',
		(times, instances) => {
			const load = {...flood, sent: times * limit.rate, instances};
			const ranked = play({...load, mixAt: usualMix});
			const unranked = play({...load, ...withoutRanks});
			const before = unranked.admittedRatio(undefined, 10_000, 20_000);
			const [urgent, usual, least] = [0, 1, 2].map(rank =>
				ranked.admittedRatio(rank, 10_000, 20_000),
			) as [number, number, number];
			expect(urgent).toBeGreaterThan(1.5 * before);
			expect(urgent).toBeGreaterThan(1.5 * usual);
			expect(usual).toBeGreaterThan(0.95 * least);
			expect(least).toBeGreaterThan(before / 4);
			const total = ranked.admittedRatio(undefined, 10_000, 20_000);
			expect(Math.abs(total / before - 1)).toBeLessThan(0.05);
			expect(ranked.maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(limit));
		},
	);

	test.each<[string, (now: number) => readonly number[]]>([
		['the urgent rank alone', () => [1, 0, 0]],
		[
			'a mix that becomes urgent during the flood',
			now => (now < 15_000 ? [0, 0.1, 0.9] : [1, 0, 0]),
		],
		['a mix that becomes less urgent', now => (now < 15_000 ? [0.9, 0.1, 0] : [0, 0.1, 0.9])],
		[
			'an urgent flood after a load that is not urgent',
			now => (now < 10_000 ? [0, 0.1, 0.9] : [1, 0, 0]),
		],
	])('%s: a wrong estimate at all instances does not raise the admitted total', (_, mixAt) => {
		for (const [times, instances] of [
			[3.5, 98],
			[10, 40],
		] as const) {
			const load = {...flood, sent: times * limit.rate, instances};
			const ranked = play({...load, mixAt});
			const unranked = play({...load, ...withoutRanks});
			expect(ranked.maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(limit));
			expect(ranked.maxPerWindow).toBeLessThanOrEqual(unranked.maxPerWindow + maxSaved);
			const total = ranked.admittedRatio(undefined, 10_000, 20_000);
			const before = unranked.admittedRatio(undefined, 10_000, 20_000);
			expect(Math.abs(total / before - 1)).toBeLessThan(0.05);
		}
	});

	test.each([1, 2])(
		'a partition of %i of 4 domains admits at most the saved requests more with ranks',
		partitionedDomains => {
			const partition = {isPartitioned: true, partitionAt: 15_000, partitionedDomains};
			const load = {...flood, sent: 8 * limit.rate, instances: 36, ...partition, ...usualDelays};
			const ranked = play({...load, mixAt: usualMix});
			const unranked = play({...load, ...withoutRanks});
			expect(ranked.maxPerWindow).toBeLessThanOrEqual(unranked.maxPerWindow + maxSaved);
		},
	);

	test('a restart of all processes during the flood stays below the bound', () => {
		const load = {...flood, sent: 5 * limit.rate, instances: 36, ...usualDelays};
		const {maxPerWindow} = play({...load, restartAt: 14_000, mixAt: usualMix});
		expect(maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(limit));
	});

	test('after the flood every request is admitted, and refused callers do not return together', () => {
		const load = {...flood, sent: 3.5 * limit.rate, instances: 98, mixAt: usualMix};
		const {requests, admittedRatio} = play(load);
		expect(admittedRatio(undefined, 22_000, 30_000)).toBe(1);
		const returns = requests
			.filter(({isAdmitted}) => !isAdmitted)
			.map(({at, retryAfter}) => ({at: at + retryAfter, retryAfter}));
		// One second, and four times the jitter of 300 ms.
		expect(Math.max(...returns.map(({retryAfter}) => retryAfter))).toBeLessThanOrEqual(2200);
		const sentPerInterval = 0.1 * load.sent * seeds.length;
		for (let start = 20_000; start < 23_000; start += 100) {
			const count = returns.filter(({at}) => at >= start && at < start + 100).length;
			expect(count).toBeLessThan(sentPerInterval);
		}
	});

	test('requests of a single rank are decided exactly as without ranks', () => {
		const load = {...flood, sent: 3.5 * limit.rate, instances: 40};
		const decisions = [[1], [0, 0, 0, 1], [0, 0, 0, 0, 0, 0, 0, 0, 0, 1]].map(mix =>
			simulate({...load, mixAt: () => mix}).requests.map(({rank, ...decision}) => decision),
		);
		expect(decisions[1]).toEqual(decisions[0]);
		expect(decisions[2]).toEqual(decisions[0]);
	});
});

describe('distribution of the admitted ratio over ranks', () => {
	test.each([
		[0.28, [0.2, 0.4, 0.4]],
		[0.1, [0.5, 0.2, 0.3]],
		[0.7, [0.1, 0, 0.9]],
	])(
		'of %d over %j admits the ratio, urgent first, a quarter of it at least',
		(ratio, fractions) => {
			const probabilities = distributeByRank(ratio, fractions);
			const total = fractions.reduce((sum, part, rank) => sum + part * probabilities[rank]!, 0);
			expect(total).toBeCloseTo(ratio, 10);
			const present = probabilities.filter((_, rank) => fractions[rank]! > 0);
			expect(Math.max(...present)).toBeLessThanOrEqual(1);
			expect(Math.min(...present)).toBeGreaterThanOrEqual(ratio / 4);
			// A rank gets more than its quarter only if every more urgent rank is admitted whole.
			for (const [index, probability] of present.entries()) {
				const isGuaranteeOnly = probability < ratio / 4 + Number.EPSILON;
				expect(isGuaranteeOnly || present.slice(0, index).every(urgent => urgent > 1 - 1e-9)).toBe(
					true,
				);
			}
		},
	);

	test('an urgent request uses only what less urgent ones gave up before', () => {
		const admission = createRankAdmission();
		const decide = (rank: number, now: number) => {
			admission.countRequest('w', rank, now);
			return admission.decide({workspace: 'w', rank, ratio: 0.3, maxSaved: 0.4}, now);
		};

		decide(2, 0);
		decide(0, 10);
		let saved = 0;
		for (let now = 20; now < 2000; now += 10) {
			const {savedChange} = decide(now % 50 === 0 ? 0 : 2, now);
			saved += savedChange;
			expect(saved).toBeLessThanOrEqual(0.4 + Number.EPSILON * 1000);
		}

		expect(saved).toBeGreaterThan(-0.4);
	});
});
