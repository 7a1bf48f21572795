/**
 * What the fleet knows about the health of each target. One instance sees too few requests to tell
 * a failing target from a healthy one within seconds, so the outcomes of all instances count. A
 * failure to connect says more about the network path from one instance than about the target, so
 * it is not reported.
 *
 * Gray failures, in which a target fails part of its requests while its health check passes, come
 * and go within seconds. A target is therefore modelled as either healthy or failing and as
 * changing between the two at random. Each success or failure updates the probability that it is
 * failing (a hidden Markov model with two states). A target is thus avoided right after its first
 * failure, however well it worked before, and one without data is trusted less than one with recent
 * successes. Evidence is kept by incarnation, the name of one start of a target, so that a
 * restarted target has no history. Each `now` is in milliseconds of the monotonic clock.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {createDecayingValue, decay, type DecayingValue} from './decaying-value.js';

/**
 * `path` is a failure to connect, `busy` a rejection by the target; an `ignored` outcome says
 * nothing about the health of the target.
 */
export type OutcomeClass = 'good' | 'bad' | 'path' | 'busy' | 'ignored';

const outcomeClasses: Readonly<Record<AttemptResult, OutcomeClass>> = {
	ok: 'good',
	error: 'bad',
	timeout: 'bad',
	incomplete: 'bad',
	'connection-broken': 'bad',
	'connection-failed': 'path',
	shed: 'busy',
	misdirected: 'ignored',
	cancelled: 'ignored',
};

/** Numbers of outcomes at one target since the last report of an instance. */
export type OutcomeCounts = {
	readonly good: number;
	readonly bad: number;
	readonly busy: number;
	/** Attempts that were cancelled late, because another target responded first; default: 0. */
	readonly late?: number;
	/** Sum of the latencies of the good and, as estimated, the late outcomes, in milliseconds. */
	readonly latency: number;
};

export type TargetCondition = {
	/** Probability that the next request fails, 0 to 1. */
	readonly failureRisk: number;
	/** Recent mean latency relative to that of the service; 1 while unknown. */
	readonly slowness: number;
	/**
	 * Fraction of recent requests that the target rejected, 0 to 1; reduced while there are few
	 * requests.
	 */
	readonly busyness: number;
	/** Whether the target is avoided because this instance recently failed to connect to it. */
	readonly isUnreachable: boolean;
};

export type TargetEvidence = {
	/** Records an outcome that this instance observed, and returns its class. */
	record(incarnation: string, service: string, outcome: ObservedOutcome, now: number): OutcomeClass;
	/**
	 * Records that an attempt was cancelled, because another target responded first, and the latency
	 * in milliseconds that it would probably have had.
	 */
	recordLate(incarnation: string, service: string, latency: number, now: number): void;
	/** Adds outcomes that another instance reported. */
	merge(incarnation: string, service: string, counts: OutcomeCounts, now: number): void;
	conditionOf(incarnation: string, service: string, now: number): TargetCondition;
	/** Mean latency of the service's good outcomes, in milliseconds; undefined while unknown. */
	meanLatency(service: string, now: number): number | undefined;
	/** Outcomes that this instance observed since the last call, by incarnation. */
	takeOutcomeCounts(): Map<string, {readonly service: string; readonly counts: OutcomeCounts}>;
	/**
	 * Removes targets without an outcome for a minute; failures to connect do not count as outcomes.
	 */
	prune(now: number): void;
};

/** How an attempt ended, and its latency in milliseconds. */
export type ObservedOutcome = {readonly result: AttemptResult; readonly latency: number};

/** Half-life of the counts of responses and rejections. */
const busyHalfLifeMs = 2500;
/**
 * Fractions of requests that fail in the two states of a target. A healthy one fails one or two
 * requests in a hundred without a fault; gray failures hit 40 to 100 in a hundred, last for one to
 * seven seconds, and occur about twice a minute at each target.
 */
const failureRates = {healthy: 0.012, failing: 0.75} as const;
/** Changes per millisecond from one of the two states of a target to the other. */
const transitionRates = {toFailing: 1 / 35_000, toHealthy: 1 / 2500} as const;
const totalTransitionRate = transitionRates.toFailing + transitionRates.toHealthy;
/** Probability that a target without data is failing. */
const stationaryProbability = transitionRates.toFailing / totalTransitionRate;
/**
 * Bounds of the probability that a target is failing. No outcome gives certainty, because the state
 * of the target may have changed since.
 */
const probabilityLimits = {min: 0.002, max: 0.97} as const;
/**
 * Half-life of the weight of a latency in an exponentially weighted mean. Latency changes more
 * slowly than the failure rate, and single responses vary by a factor of two.
 */
const latencyHalfLifeMs = 6000;
/**
 * Weight of the service's mean latency in the mean latency of a target, as a number of good
 * outcomes.
 */
const priorLatencyWeight = 3;
/**
 * Exponential back-off after failures to connect: the target is avoided for the minimum time after
 * the first failure, and for twice as long after each further one, up to the maximum. A success
 * resets the count of failures.
 */
const minPathAvoidanceMs = 1000;
const maxPathAvoidanceMs = 8000;
/** How long a target without outcomes is kept. */
const retentionMs = 60_000;

type Latency = {readonly sum: DecayingValue; readonly count: DecayingValue};

type Evidence = {
	/** Probability that the target is in the failing state, as of the time `estimatedAt`. */
	failingProbability: number;
	estimatedAt: number;
	/** Responses of any kind, and those that rejected the request. */
	readonly responses: DecayingValue;
	readonly busy: DecayingValue;
	readonly latency: Latency;
	pathFailures: number;
	avoidedUntil: number;
	updatedAt: number;
};

function createLatency(now: number): Latency {
	return {sum: createDecayingValue(now), count: createDecayingValue(now)};
}

function addLatency(latency: Latency, sum: number, count: number, now: number): void {
	decay(latency.sum, now, latencyHalfLifeMs);
	decay(latency.count, now, latencyHalfLifeMs);
	latency.sum.value += sum;
	latency.count.value += count;
}

/** Probability that the target is failing at `now`, without an outcome since `estimatedAt`. */
function failingProbabilityAt({failingProbability, estimatedAt}: Evidence, now: number): number {
	const decayFactor = Math.exp(-totalTransitionRate * Math.max(0, now - estimatedAt));
	return stationaryProbability + (failingProbability - stationaryProbability) * decayFactor;
}

/** Probability that a request fails, from the probability that its target is failing. */
function riskOf(probability: number): number {
	return probability * failureRates.failing + (1 - probability) * failureRates.healthy;
}

/** Applies Bayes' rule to a number of good and bad outcomes. */
function updateProbability(failingProbability: number, good: number, bad: number): number {
	const {healthy, failing: gray} = failureRates;
	const likelihood = (gray / healthy) ** bad * ((1 - gray) / (1 - healthy)) ** good;
	const odds = (failingProbability / (1 - failingProbability)) * likelihood;
	const {min, max} = probabilityLimits;
	return Math.min(max, Math.max(min, odds / (1 + odds)));
}

export function createTargetEvidence(): TargetEvidence {
	const targets = new Map<string, Evidence>();
	const services = new Map<string, Latency>();
	let report = new Map<
		string,
		{service: string; counts: {-readonly [Name in keyof OutcomeCounts]: number}}
	>();

	function evidenceOf(incarnation: string, now: number): Evidence {
		let evidence = targets.get(incarnation);
		if (evidence === undefined) {
			evidence = {
				failingProbability: stationaryProbability,
				estimatedAt: now,
				responses: createDecayingValue(now),
				busy: createDecayingValue(now),
				latency: createLatency(now),
				pathFailures: 0,
				avoidedUntil: 0,
				updatedAt: now,
			};
			targets.set(incarnation, evidence);
		}

		return evidence;
	}

	function add(incarnation: string, service: string, counts: OutcomeCounts, now: number): void {
		const evidence = evidenceOf(incarnation, now);
		evidence.updatedAt = now;
		evidence.failingProbability = updateProbability(
			failingProbabilityAt(evidence, now),
			counts.good,
			counts.bad,
		);
		evidence.estimatedAt = Math.max(evidence.estimatedAt, now);
		decay(evidence.responses, now, busyHalfLifeMs);
		decay(evidence.busy, now, busyHalfLifeMs);
		evidence.responses.value += counts.good + counts.bad + counts.busy;
		evidence.busy.value += counts.busy;

		const latencyCount = counts.good + (counts.late ?? 0);
		if (latencyCount > 0) {
			addLatency(evidence.latency, counts.latency, latencyCount, now);
			const latency = services.get(service) ?? createLatency(now);
			services.set(service, latency);
			addLatency(latency, counts.latency, latencyCount, now);
		}
	}

	function addToReport(incarnation: string, service: string, counts: OutcomeCounts): void {
		const known = report.get(incarnation);
		if (known === undefined) {
			report.set(incarnation, {service, counts: {...counts}});
			return;
		}

		for (const name of ['good', 'bad', 'busy', 'latency'] as const) {
			known.counts[name] += counts[name];
		}

		if (counts.late !== undefined) {
			known.counts.late = (known.counts.late ?? 0) + counts.late;
		}
	}

	function recordPathFailure(incarnation: string, now: number): void {
		const evidence = evidenceOf(incarnation, now);
		evidence.pathFailures++;
		const avoidance = minPathAvoidanceMs * 2 ** (evidence.pathFailures - 1);
		evidence.avoidedUntil = now + Math.min(avoidance, maxPathAvoidanceMs);
	}

	function meanLatency(service: string, now: number): number | undefined {
		const latency = services.get(service);
		if (latency === undefined || decay(latency.count, now, latencyHalfLifeMs) < 1) {
			return undefined;
		}

		return decay(latency.sum, now, latencyHalfLifeMs) / latency.count.value;
	}

	function slownessOf(evidence: Evidence, service: string, now: number): number {
		const mean = meanLatency(service, now);
		if (mean === undefined || mean === 0) {
			return 1;
		}

		const count = decay(evidence.latency.count, now, latencyHalfLifeMs) + priorLatencyWeight;
		const sum = decay(evidence.latency.sum, now, latencyHalfLifeMs) + priorLatencyWeight * mean;
		return sum / count / mean;
	}

	return {
		record(incarnation, service, {result, latency}, now) {
			const outcome = outcomeClasses[result];
			if (outcome === 'path') {
				recordPathFailure(incarnation, now);
			}

			if (outcome === 'good') {
				evidenceOf(incarnation, now).pathFailures = 0;
			}

			if (outcome === 'good' || outcome === 'bad' || outcome === 'busy') {
				const counts = {
					good: Number(outcome === 'good'),
					bad: Number(outcome === 'bad'),
					busy: Number(outcome === 'busy'),
					latency: outcome === 'good' ? latency : 0,
				};
				add(incarnation, service, counts, now);
				addToReport(incarnation, service, counts);
			}

			return outcome;
		},
		recordLate(incarnation, service, latency, now) {
			const counts = {good: 0, bad: 0, busy: 0, late: 1, latency};
			add(incarnation, service, counts, now);
			addToReport(incarnation, service, counts);
		},
		merge: add,
		conditionOf(incarnation, service, now) {
			const evidence = targets.get(incarnation);
			if (evidence === undefined) {
				return {
					failureRisk: riskOf(stationaryProbability),
					slowness: 1,
					busyness: 0,
					isUnreachable: false,
				};
			}

			const responses = decay(evidence.responses, now, busyHalfLifeMs);
			const busy = decay(evidence.busy, now, busyHalfLifeMs);
			return {
				failureRisk: riskOf(failingProbabilityAt(evidence, now)),
				slowness: slownessOf(evidence, service, now),
				busyness: busy / (responses + 1),
				isUnreachable: now < evidence.avoidedUntil,
			};
		},
		meanLatency,
		takeOutcomeCounts() {
			const taken = report;
			report = new Map();
			return taken;
		},
		prune(now) {
			for (const [incarnation, evidence] of targets) {
				if (now - evidence.updatedAt > retentionMs) {
					targets.delete(incarnation);
				}
			}
		},
	};
}
