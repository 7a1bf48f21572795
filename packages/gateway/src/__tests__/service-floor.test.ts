/** A service whose load narrows to a few of its sound targets, in the patterns that do it. */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {simulateFleet, type CoverageSample, type ModelTarget} from './fleet-model.js';

const failureDomains = ['north', 'south', 'hall', 'port'];
/** Requests of a service that run once only, at the rate of a usual day. */
const swaps = {failureDomains, instancesPerDomain: 2, rate: 61, isIdempotent: false} as const;
const floor = 0.7;
/** Milliseconds of simulated time after which beliefs have settled. */
const settled = 10_000;
const minute = 60_000;
/** Milliseconds after a failure of its own from which a target counts as sound again. */
const recovery = 2000;

type Episode = {readonly from: number; readonly to: number; readonly share: number};

function createTarget(
	id: string,
	failureDomain: string,
	values: {
		readonly episodes: readonly Episode[];
		readonly work: number;
		readonly random: () => number;
		readonly slowdown?: number;
	},
): ModelTarget {
	const {episodes, work, random, slowdown = 1} = values;
	return {
		id,
		failureDomain,
		respond(now) {
			const episode = episodes.find(({from, to}) => from <= now && now < to);
			const latency = work * (0.7 + 0.6 * random());
			const isFailing = episode !== undefined && random() < episode.share;
			return {
				result: isFailing ? 'error' : 'ok',
				latency: episode === undefined ? latency : latency * slowdown,
			};
		},
		isHealthy: now => !episodes.some(({from, to}) => from <= now && now < to + recovery),
	};
}

/** Fails 0.85 of its work for 1.5 s, every half minute on average. */
function drawNoise(random: () => number, length: number): Episode[] {
	const episodes: Episode[] = [];
	for (let at = 0; ;) {
		at -= Math.log(1 - random()) * 30_000;
		if (at > length) {
			return episodes;
		}

		episodes.push({from: at, to: at + 1500, share: 0.85});
		at += 1500;
	}
}

/** Part of the samples in which fewer sound targets were in use than the floor asks for. */
function narrowShare(samples: readonly CoverageSample[], from = settled, to = Infinity): number {
	const settledSamples = samples.filter(({at}) => at > from && at < to);
	const narrow = settledSamples.filter(({healthy: sound, inUse}) => inUse < floor * sound);
	return narrow.length / settledSamples.length;
}

type TargetSet = {
	readonly count: number;
	readonly seed: number;
	readonly episodesOf: (index: number, random: () => number) => readonly Episode[];
	/** Milliseconds. */
	readonly work?: number;
	/** How many times as long the work takes in an episode. */
	readonly slowdown?: number;
};

function createTargets({count, seed, episodesOf, work = 260, slowdown}: TargetSet): ModelTarget[] {
	const random = createSeededRandom(seed);
	return Array.from({length: count}, (_, index) =>
		createTarget(`t${index}`, failureDomains[index % failureDomains.length]!, {
			episodes: episodesOf(index, random),
			work,
			random,
			slowdown,
		}),
	);
}

describe('floor of a service', () => {
	test.each([1, 2, 3])(
		'targets that fail for a moment now and then are asked again soon after, seed %i',
		seed => {
			const {samples} = simulateFleet({
				...swaps,
				targets: createTargets({
					count: 15,
					seed,
					episodesOf: (_, random) => drawNoise(random, 3 * minute),
				}),
				duration: 3 * minute,
				seed,
			});
			expect(narrowShare(samples)).toBe(0);
		},
	);

	test.each([1, 2, 3])(
		'failures of many targets at one moment do not narrow the load to the others, seed %i',
		seed => {
			const from = 20_000;
			const {samples} = simulateFleet({
				...swaps,
				targets: createTargets({
					count: 15,
					seed,
					episodesOf: index => (index < 9 ? [{from, to: from + 1000, share: 0.9}] : []),
				}),
				duration: minute,
				seed,
			});
			// The rule looks at two seconds in which the targets are sound again.
			expect(narrowShare(samples, from + 1000 + recovery + 2000)).toBe(0);
		},
	);

	test('targets that were slow get requests again when they have recovered', () => {
		const from = 20_000;
		const {samples} = simulateFleet({
			...swaps,
			targets: createTargets({
				count: 8,
				seed: 4,
				episodesOf: index => (index < 4 ? [{from, to: from + 6000, share: 0}] : []),
				work: 110,
				slowdown: 6,
			}),
			rate: 16,
			isIdempotent: true,
			duration: minute,
			seed: 4,
		});
		// Targets that a fault from outside has hit count again after 6 s.
		expect(narrowShare(samples, from + 6000 + 6000 + 2000)).toBe(0);
	});

	test('targets that turned requests away for a moment get requests again', () => {
		const from = 20_000;
		const isBusy = (now: number) => from <= now && now < from + 1000;
		const random = createSeededRandom(6);
		const targets = Array.from({length: 15}, (_, index): ModelTarget => ({
			id: `t${index}`,
			failureDomain: failureDomains[index % failureDomains.length]!,
			respond: now =>
				index < 9 && isBusy(now)
					? {result: 'shed', latency: 20}
					: {result: 'ok', latency: 260 * (0.7 + 0.6 * random())},
			isHealthy: now => index >= 9 || now < from || now >= from + 1000 + recovery,
		}));
		const {samples} = simulateFleet({
			...swaps,
			targets,
			duration: minute,
			seed: 6,
		});
		expect(narrowShare(samples, from + 1000 + recovery + 2000)).toBe(0);
	});

	test('large answers come from other failure domains when those have no instance left', () => {
		const {samples} = simulateFleet({
			failureDomains,
			instanceDomains: ['north', 'south'],
			instancesPerDomain: 4,
			targets: createTargets({count: 8, seed: 7, episodesOf: () => [], work: 210}),
			rate: 25,
			isIdempotent: true,
			isDownload: true,
			duration: minute,
			seed: 7,
		});
		expect(narrowShare(samples)).toBe(0);
	});

	test('a target that fails everything is tried every few seconds only', () => {
		const length = 2 * minute;
		const {attempts} = simulateFleet({
			...swaps,
			targets: createTargets({
				count: 15,
				seed: 5,
				episodesOf: index => (index === 0 ? [{from: 0, to: length, share: 1}] : []),
			}),
			duration: length,
			seed: 5,
		});
		const failed = attempts.filter(({target, at}) => target === 't0' && at > settled);
		// A sound one gets 4 a second.
		expect(failed.length).toBeLessThan((length - settled) / 2000);
	});
});
