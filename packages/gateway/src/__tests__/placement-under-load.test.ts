/**
 * Guards against work that goes to other failure domains without need, because the load of targets
 * there is not reported and they look idle, and against the opposite: work that waits in a domain
 * with too few targets while others have free slots.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {simulateFleet, type ModelTarget} from './fleet-model.js';

const failureDomains = ['north', 'east', 'south', 'west'];
/** As in the fleet model. */
const slots = 4;
const meanWorkMs = 250;
const objectiveMs = 1200;
const instancesPerDomain = 16;
/** Milliseconds in which the load spreads from a fleet that knows nothing of its targets. */
const settlingMs = 2000;

type Arrival = {
	readonly at: number;
	/** Milliseconds until the response. */
	readonly latency: number;
	readonly isFromOtherDomain: boolean;
};

type TargetOptions = {
	readonly failureDomain: string;
	readonly random: () => number;
	readonly arrivals: Arrival[];
};

/**
 * A target that runs as many requests at once as it has slots and queues the others. Requests take
 * an exponentially distributed time.
 */
function createQueueingTarget(id: string, options: TargetOptions): ModelTarget {
	const {failureDomain, random, arrivals} = options;
	const freeAt = Array.from({length: slots}, () => 0);
	return {
		id,
		failureDomain,
		respond(now, from) {
			const slot = freeAt.indexOf(Math.min(...freeAt));
			const end = Math.max(now, freeAt[slot]!) - Math.log(1 - random()) * meanWorkMs;
			freeAt[slot] = end;
			const latency = end - now;
			arrivals.push({at: now, latency, isFromOtherDomain: !from.startsWith(failureDomain)});
			return {result: 'ok', latency};
		},
		isHealthy: () => true,
	};
}

/** Replays a steady load; `targetCounts` are the targets of each failure domain. */
function replay(options: {
	readonly targetCounts: readonly number[];
	/** Fraction of all slots that are in use if no request waits. */
	readonly utilization: number;
	readonly seed: number;
}): Arrival[] {
	const random = createSeededRandom(options.seed + 1);
	const arrivals: Arrival[] = [];
	const targets = options.targetCounts.flatMap((count, domain) =>
		Array.from({length: count}, (_, index) =>
			createQueueingTarget(`swaps-${domain}-${index}`, {
				failureDomain: failureDomains[domain]!,
				random,
				arrivals,
			}),
		),
	);
	simulateFleet({
		failureDomains,
		instancesPerDomain,
		targets,
		rate: ((targets.length * slots * 1000) / meanWorkMs) * options.utilization,
		isIdempotent: false,
		duration: 7000,
		seed: options.seed,
	});
	return arrivals.filter(({at}) => at >= settlingMs);
}

function fractionOf(arrivals: readonly Arrival[], matches: (arrival: Arrival) => boolean): number {
	return arrivals.filter(arrival => matches(arrival)).length / arrivals.length;
}

/** Of the work itself, 0.8% takes longer than the objective. */
function lateFractionOf(arrivals: readonly Arrival[]): number {
	return fractionOf(arrivals, ({latency}) => latency > objectiveMs);
}

describe('placement in a large fleet', () => {
	test('half of the slots in use: work stays in its failure domain and does not wait', () => {
		const arrivals = replay({targetCounts: [13, 13, 13, 13], utilization: 0.5, seed: 1});
		expect(fractionOf(arrivals, ({isFromOtherDomain}) => isFromOtherDomain)).toBeLessThan(0.25);
		expect(lateFractionOf(arrivals)).toBeLessThan(0.02);
	});

	test('a domain with a third of the targets that its callers need uses those of others', () => {
		const arrivals = replay({targetCounts: [4, 16, 16, 16], utilization: 0.45, seed: 2});
		expect(lateFractionOf(arrivals)).toBeLessThan(0.03);
	});
});
