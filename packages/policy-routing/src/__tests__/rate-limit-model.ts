/**
 * Simulates a fleet of rate limiters that one workspace sends its requests to. Reports of what
 * instances admitted arrive late, from only a part of a partitioned fleet, or not yet after a
 * restart.
 */
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createWorkspaceRateLimiter, type RateDecision} from '../workspace-rate-limiter.js';

/** Milliseconds. The bound applies to every window of this length, as on the platform. */
export const window = 5000;
const rateBound = {window, excess: 0.25, slack: 20};
/**
 * Requests that a workspace may send in a window, and the maximum that the fleet may admit, with
 * `excess` and `slack` of the bound.
 */
export const limitOf = ({rate, burst}: {rate: number; burst: number}) =>
	(rate * window) / 1000 + burst;
export const maxAdmittedOf = (rate: {rate: number; burst: number}) => limitOf(rate) * 1.25 + 20;

export type Scenario = {
	readonly instances: number;
	/** Requests per second that the workspace sends to all instances together. */
	readonly sent: number;
	/**
	 * Requests per second until the flood begins at 10 s; by default the flood lasts the whole time.
	 */
	readonly sentBefore?: number;
	/** Milliseconds at which processes are replaced; they are down for the second before. */
	readonly restartAt?: number;
	/** Fraction of the processes that are replaced; all by default. */
	readonly restartFraction?: number;
	/** Milliseconds until the instances of other failure domains receive the report of a decision. */
	readonly delay: number;
	/**
	 * Milliseconds until the instances of the same failure domain receive the report; `delay` by
	 * default.
	 */
	readonly nearDelay?: number;
	/** Whether the instances of two failure domains cannot reach those of the other two. */
	readonly isPartitioned?: boolean;
	/** Milliseconds at which the partition begins; by default it exists from the start. */
	readonly partitionAt?: number;
	/** Number of the four failure domains that the partition separates from the others; default 2. */
	readonly partitionedDomains?: number;
	/**
	 * Fractions of the requests by rank, at simulated milliseconds; default: all requests have the
	 * default rank.
	 */
	readonly mixAt?: (now: number) => readonly number[];
	/** Milliseconds at which the flood ends, and requests per second afterwards; default: never. */
	readonly floodEnd?: number;
	readonly sentAfter?: number;
	/** Seed of the random numbers; default: 3. */
	readonly seed?: number;
	/**
	 * Milliseconds after `restartAt` for which new processes hear of nobody, because their seeds are
	 * away; default: 0.
	 */
	readonly seedsAwayFor?: number;
	/** Rate of the workspace; default: `rate`. */
	readonly limit?: typeof rate;
};

export const rate = {rate: 37, burst: 37};
const domainCount = 4;
/** Milliseconds of silence after which an instance counts as unreachable, as in the roster. */
const reachableTimeout = 2600;
/** Time for which a process is down before it is replaced. */
const downtimeMs = 1000;
/** Time until a new process knows the others and receives their reports. */
const discoveryTimeMs = 800;
/** Milliseconds after its first contact until an instance counts the fleet as known. */
const settleTimeMs = 1500;
/**
 * Milliseconds, as in a real fleet: reports arrive in their own failure domain with the next tick,
 * and in other domains after a quarter of a second and a relay.
 */
export const usualDelays = {nearDelay: 40, delay: 300};

/** A request of the workspace and its decision. */
export type ModelRequest = RateDecision & {
	/** Simulated milliseconds. */
	readonly at: number;
	/** Index of the instance. */
	readonly from: number;
	readonly rank: number | undefined;
};

function drawRank(mix: readonly number[], random: () => number): number {
	let remaining = random();
	return mix.findIndex(fraction => {
		remaining -= fraction;
		return remaining < 0;
	});
}

/**
 * Simulates 30 s. Returns all requests, the maximum number of admissions in any window, the minimum in any second
 * after the first two seconds of the flood, and the admitted fraction of all requests.
 */
export function simulate(scenario: Scenario) {
	const random = createSeededRandom(scenario.seed ?? 3);
	const {partitionAt = Number.NEGATIVE_INFINITY, partitionedDomains = 2} = scenario;
	const {restartAt = Number.POSITIVE_INFINITY} = scenario;
	const {seedsAwayFor = 0} = scenario;
	const {mixAt, limit = rate, floodEnd = Number.POSITIVE_INFINITY} = scenario;
	let clockNow = 0;
	const partitionOf = (index: number) =>
		scenario.isPartitioned === true && clockNow >= partitionAt
			? Number(index % domainCount < partitionedDomains)
			: 0;
	const reachableRatioOf = (index: number) => {
		if (scenario.isPartitioned !== true || clockNow < partitionAt + reachableTimeout) {
			return 1;
		}

		const separated = partitionedDomains / domainCount;
		return index % domainCount < partitionedDomains ? separated : 1 - separated;
	};

	const contactTimeOf = (startedAt: number) =>
		startedAt === restartAt ? startedAt + seedsAwayFor : startedAt;
	const fleetKnowledgeOf = (contactAt: number) => {
		if (clockNow < contactAt) {
			return 'none';
		}

		return clockNow < contactAt + settleTimeMs ? 'partial' : 'whole';
	};

	const createInstance = (startedAt: number, index: number) => {
		const contactAt = contactTimeOf(startedAt);
		return createWorkspaceRateLimiter({
			bound: rateBound,
			startedAt,
			reachableRatio: () => (clockNow < contactAt ? 1 : reachableRatioOf(index)),
			fleetSize: () =>
				clockNow < contactAt + discoveryTimeMs ? 1 : scenario.instances * reachableRatioOf(index),
			fleetKnowledge: () => fleetKnowledgeOf(contactAt),
			maxFleetSize: () => scenario.instances * 2,
			random,
		});
	};

	const instances = Array.from({length: scenario.instances}, (_, index) =>
		createInstance(-window, index),
	);
	const isRestarted = (index: number) =>
		index < scenario.instances * (scenario.restartFraction ?? 1);
	const decisions: Array<{at: number; from: number; isAdmitted: boolean}> = [];
	const admissions: Array<{at: number; from: number}> = [];
	/** Number of decisions reported within their failure domain, and to the other domains. */
	const reported = {near: 0, far: 0};

	function report(scope: 'near' | 'far', delay: number, now: number): void {
		for (; reported[scope] < decisions.length; reported[scope]++) {
			const {at, from, isAdmitted} = decisions[reported[scope]]!;
			if (at + delay > now) {
				return;
			}

			const usage = {asked: 1, admitted: Number(isAdmitted)};
			for (const [index, instance] of instances.entries()) {
				const isNear = index % domainCount === from % domainCount;
				const knownFrom = contactTimeOf(restartAt) + discoveryTimeMs;
				const hasDiscoveredFleet = !isRestarted(index) || now < restartAt || now >= knownFrom;
				const receivesReport =
					hasDiscoveredFleet &&
					isNear === (scope === 'near') &&
					partitionOf(index) === partitionOf(from);
				if (index !== from && receivesReport) {
					instance.recordUsage('w', usage, now);
				}
			}
		}
	}

	const requests: ModelRequest[] = [];
	let sent = 0;
	const step = 10;
	for (let now = 0; now < 30_000; now += step) {
		clockNow = now;
		if (now === restartAt) {
			for (const index of instances.keys()) {
				instances[index] = isRestarted(index) ? createInstance(now, index) : instances[index]!;
			}
		}

		const floodRate = now < floodEnd ? scenario.sent : (scenario.sentAfter ?? scenario.sent);
		const sendRate = now < 10_000 ? (scenario.sentBefore ?? scenario.sent) : floodRate;
		for (
			let expectedRequests = (sendRate * step) / 1000;
			expectedRequests > 0;
			expectedRequests--
		) {
			if (random() >= expectedRequests) {
				continue;
			}

			const from = Math.floor(random() * scenario.instances);
			if (isRestarted(from) && now < restartAt && now >= restartAt - downtimeMs) {
				continue;
			}

			sent++;
			const rank = mixAt === undefined ? undefined : drawRank(mixAt(now), random);
			const decision = instances[from]!.admit('w', limit, now, rank);
			const {isAdmitted} = decision;
			requests.push({...decision, at: now, from, rank});
			decisions.push({at: now, from, isAdmitted});
			if (isAdmitted) {
				admissions.push({at: now, from});
			}
		}

		report('near', scenario.nearDelay ?? scenario.delay, now);
		report('far', scenario.delay, now);
	}

	let maxPerWindow = 0;
	for (const [index, {at}] of admissions.entries()) {
		let end = index;
		while (end < admissions.length && admissions[end]!.at < at + window) {
			end++;
		}

		maxPerWindow = Math.max(maxPerWindow, end - index);
	}

	let minPerSecond = Number.POSITIVE_INFINITY;
	for (let second = 12_000; second < 30_000; second += 1000) {
		const count = admissions.filter(({at}) => at >= second && at < second + 1000).length;
		minPerSecond = Math.min(minPerSecond, count);
	}

	return {maxPerWindow, minPerSecond, admittedFraction: admissions.length / sent, requests};
}
