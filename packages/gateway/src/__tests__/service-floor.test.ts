/**
 * Guards against a load that narrows to a few of the healthy targets of a service. After a fault,
 * all instances avoid the targets that failed, were slow or rejected requests; without requests
 * nothing shows that these have recovered, while the others gain trust with each success.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {simulateFleet, type TargetsInUseSample, type ModelTarget} from './fleet-model.js';

const failureDomains = ['north', 'south', 'hall', 'port'];
/** Requests that must not run twice, at the rate of a normal day. */
const swaps = {failureDomains, instancesPerDomain: 2, rate: 61, isIdempotent: false} as const;
const floor = 0.7;
/** Simulated time after which the estimates are stable. */
const settlingTimeMs = 10_000;
const minuteMs = 60_000;
/**
 * Time after a failure of the target itself, as opposed to an external fault, from which it counts
 * as healthy again.
 */
const recoveryMs = 2000;

type Episode = {readonly from: number; readonly to: number; readonly failureRatio: number};

function createTarget(
	id: string,
	failureDomain: string,
	values: {
		readonly episodes: readonly Episode[];
		readonly serviceTime: number;
		readonly random: () => number;
		readonly slowdown?: number;
	},
): ModelTarget {
	const {episodes, serviceTime, random, slowdown = 1} = values;
	return {
		id,
		failureDomain,
		respond(now) {
			const episode = episodes.find(({from, to}) => from <= now && now < to);
			const latency = serviceTime * (0.7 + 0.6 * random());
			const isFailing = episode !== undefined && random() < episode.failureRatio;
			return {
				result: isFailing ? 'error' : 'ok',
				latency: episode === undefined ? latency : latency * slowdown,
			};
		},
		isHealthy: now => !episodes.some(({from, to}) => from <= now && now < to + recoveryMs),
	};
}

/** Episodes of 1.5 s in which 85% of the requests fail, every half minute on average. */
function drawEpisodes(random: () => number, duration: number): Episode[] {
	const episodes: Episode[] = [];
	for (let at = 0; ;) {
		at -= Math.log(1 - random()) * 30_000;
		if (at > duration) {
			return episodes;
		}

		episodes.push({from: at, to: at + 1500, failureRatio: 0.85});
		at += 1500;
	}
}

/** Fraction of the samples in which fewer healthy targets were in use than the floor requires. */
function narrowFraction(
	samples: readonly TargetsInUseSample[],
	from = settlingTimeMs,
	to = Infinity,
): number {
	const settledSamples = samples.filter(({at}) => at > from && at < to);
	const narrow = settledSamples.filter(({healthy, inUse}) => inUse < floor * healthy);
	return narrow.length / settledSamples.length;
}

type TargetSet = {
	readonly count: number;
	readonly seed: number;
	readonly episodesOf: (index: number, random: () => number) => readonly Episode[];
	/** Milliseconds. */
	readonly serviceTime?: number;
	/** Factor by which the service time grows in an episode. */
	readonly slowdown?: number;
};

function createTargets({
	count,
	seed,
	episodesOf,
	serviceTime = 260,
	slowdown,
}: TargetSet): ModelTarget[] {
	const random = createSeededRandom(seed);
	return Array.from({length: count}, (_, index) =>
		createTarget(`t${index}`, failureDomains[index % failureDomains.length]!, {
			episodes: episodesOf(index, random),
			serviceTime,
			random,
			slowdown,
		}),
	);
}

describe('floor of a service', () => {
	test.each([1, 2, 3])(
		'targets that fail briefly from time to time get requests again soon after, seed %i',
		seed => {
			const {samples} = simulateFleet({
				...swaps,
				targets: createTargets({
					count: 15,
					seed,
					episodesOf: (_, random) => drawEpisodes(random, 3 * minuteMs),
				}),
				duration: 3 * minuteMs,
				seed,
			});
			expect(narrowFraction(samples)).toBe(0);
		},
	);

	test.each([1, 2, 3])(
		'simultaneous failures of many targets do not narrow the load to the others, seed %i',
		seed => {
			const from = 20_000;
			const {samples} = simulateFleet({
				...swaps,
				targets: createTargets({
					count: 15,
					seed,
					episodesOf: index => (index < 9 ? [{from, to: from + 1000, failureRatio: 0.9}] : []),
				}),
				duration: minuteMs,
				seed,
			});
			// The floor applies once the targets have counted as healthy for another two seconds.
			expect(narrowFraction(samples, from + 1000 + recoveryMs + 2000)).toBe(0);
		},
	);

	test('targets that were slow get requests again when they have recovered', () => {
		const from = 20_000;
		const {samples} = simulateFleet({
			...swaps,
			targets: createTargets({
				count: 8,
				seed: 4,
				episodesOf: index => (index < 4 ? [{from, to: from + 6000, failureRatio: 0}] : []),
				serviceTime: 110,
				slowdown: 6,
			}),
			rate: 16,
			isIdempotent: true,
			duration: minuteMs,
			seed: 4,
		});
		// Targets that were hit by an external fault, as here, count as healthy again after 6 s.
		expect(narrowFraction(samples, from + 6000 + 6000 + 2000)).toBe(0);
	});

	test('targets that briefly rejected requests get requests again', () => {
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
			isHealthy: now => index >= 9 || now < from || now >= from + 1000 + recoveryMs,
		}));
		const {samples} = simulateFleet({
			...swaps,
			targets,
			duration: minuteMs,
			seed: 6,
		});
		expect(narrowFraction(samples, from + 1000 + recoveryMs + 2000)).toBe(0);
	});

	test('large responses come from other failure domains when those have no instance left', () => {
		const {samples} = simulateFleet({
			failureDomains,
			instanceDomains: ['north', 'south'],
			instancesPerDomain: 4,
			targets: createTargets({count: 8, seed: 7, episodesOf: () => [], serviceTime: 210}),
			rate: 25,
			isIdempotent: true,
			isDownload: true,
			duration: minuteMs,
			seed: 7,
		});
		expect(narrowFraction(samples)).toBe(0);
	});

	test('a target that fails every request is tried only every few seconds', () => {
		const duration = 2 * minuteMs;
		const {attempts} = simulateFleet({
			...swaps,
			targets: createTargets({
				count: 15,
				seed: 5,
				episodesOf: index => (index === 0 ? [{from: 0, to: duration, failureRatio: 1}] : []),
			}),
			duration,
			seed: 5,
		});
		const failed = attempts.filter(({target, at}) => target === 't0' && at > settlingTimeMs);
		// A healthy target gets 4 requests per second.
		expect(failed.length).toBeLessThan((duration - settlingTimeMs) / 2000);
	});
});
