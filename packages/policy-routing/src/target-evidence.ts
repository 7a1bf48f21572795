/**
 * What the fleet knows about the health of each target. One instance sees too few requests to tell
 * a failing target from a healthy one within seconds, so the outcomes of all instances count.
 * Failures to connect say more about the path of one instance and stay local.
 *
 * Gray failures come and go within seconds, so a target is modelled as either healthy or failing
 * and as changing between the two at random. Each outcome updates the probability that it is
 * failing (a hidden Markov model with two states). A target is thus avoided right after its first
 * failure, however well it worked before, and one without data is trusted less than one with recent
 * successes.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';

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

/** Outcomes at one target since the last report of an instance. */
export type OutcomeCounts = {
	readonly good: number;
	readonly bad: number;
	readonly busy: number;
	/** Sum of the latencies of the good outcomes, in milliseconds. */
	readonly latency: number;
};

export type TargetCondition = {
	/** Probability that the next request fails, 0 to 1. */
	readonly failureRisk: number;
	/** Recent mean latency relative to that of the service; 1 while unknown. */
	readonly slowness: number;
	/** Fraction of recent requests that the target rejected, 0 to 1. */
	readonly busyness: number;
	/** Whether this instance recently failed to connect. */
	readonly isUnreachable: boolean;
};

export type TargetEvidence = {
	/** Records an outcome that this instance observed. */
	record(target: string, service: string, outcome: ObservedOutcome, now: number): OutcomeClass;
	/** Adds outcomes that another instance reported. */
	merge(target: string, service: string, counts: OutcomeCounts, now: number): void;
	conditionOf(target: string, service: string, now: number): TargetCondition;
	/** Mean latency of the service's good outcomes, in milliseconds; undefined while unknown. */
	meanLatency(service: string, now: number): number | undefined;
	/** Outcomes that this instance observed since the last call, by target. */
	takeReport(): Map<string, {readonly service: string; readonly counts: OutcomeCounts}>;
	/** Removes targets without an outcome for a minute. */
	prune(now: number): void;
};

export type ObservedOutcome = {readonly result: AttemptResult; readonly latency: number};

/** Half-life of the counts of responses and rejections. */
const busyHalfLife = 2500;
/**
 * Failure rates in the two states of a target. A healthy one fails one or two requests in a hundred
 * without a fault; gray failures hit 40 to 100 in a hundred, last for one to seven seconds, and
 * occur about twice a minute at each target.
 */
const failureRates = {sound: 0.012, failing: 0.75} as const;
/** Transitions per millisecond. */
const changeRates = {toFailing: 1 / 35_000, toSound: 1 / 2500} as const;
const changeRate = changeRates.toFailing + changeRates.toSound;
/** Probability that a target without data is failing. */
const restingProbability = changeRates.toFailing / changeRate;
/** No outcome gives certainty, because the state may have changed since. */
const probabilityLimits = {least: 0.002, most: 0.97} as const;
/** Latency changes more slowly than failures, and single responses vary by a factor of two. */
const latencyHalfLife = 6000;
/** Good outcomes that the mean latency of the service counts for in that of a target. */
const priorLatencyWeight = 3;
/** How long a target is avoided after a first failure to connect; doubles with each further one. */
const firstPathAvoidance = 1000;
const longestPathAvoidance = 8000;
/** How long a target without outcomes is kept. */
const retention = 60_000;

type Fading = {value: number; at: number};

function fade(fading: Fading, now: number, life: number): number {
	if (now > fading.at) {
		fading.value *= 2 ** ((fading.at - now) / life);
		fading.at = now;
	}

	return fading.value;
}

function createFading(now: number): Fading {
	return {value: 0, at: now};
}

type Latency = {readonly sum: Fading; readonly count: Fading};

type Evidence = {
	/** Probability that the target is failing, as of the time `judgedAt`. */
	failing: number;
	judgedAt: number;
	/** Responses of any kind, and those that rejected the request. */
	readonly answers: Fading;
	readonly busy: Fading;
	readonly latency: Latency;
	pathFailures: number;
	avoidedUntil: number;
	heardAt: number;
};

function createLatency(now: number): Latency {
	return {sum: createFading(now), count: createFading(now)};
}

function addLatency(latency: Latency, sum: number, count: number, now: number): void {
	fade(latency.sum, now, latencyHalfLife);
	fade(latency.count, now, latencyHalfLife);
	latency.sum.value += sum;
	latency.count.value += count;
}

/** The probability now, without an outcome since the last update. */
function failingAt({failing, judgedAt}: Evidence, now: number): number {
	const kept = Math.exp(-changeRate * Math.max(0, now - judgedAt));
	return restingProbability + (failing - restingProbability) * kept;
}

function riskOf(failing: number): number {
	return failing * failureRates.failing + (1 - failing) * failureRates.sound;
}

/** Applies Bayes' rule to a number of good and bad outcomes. */
function judge(failing: number, good: number, bad: number): number {
	const {sound, failing: gray} = failureRates;
	const likelihood = (gray / sound) ** bad * ((1 - gray) / (1 - sound)) ** good;
	const odds = (failing / (1 - failing)) * likelihood;
	const {least, most} = probabilityLimits;
	return Math.min(most, Math.max(least, odds / (1 + odds)));
}

export function createTargetEvidence(): TargetEvidence {
	const targets = new Map<string, Evidence>();
	const services = new Map<string, Latency>();
	let report = new Map<
		string,
		{service: string; counts: {-readonly [Name in keyof OutcomeCounts]: number}}
	>();

	function evidenceOf(target: string, now: number): Evidence {
		let evidence = targets.get(target);
		if (evidence === undefined) {
			evidence = {
				failing: restingProbability,
				judgedAt: now,
				answers: createFading(now),
				busy: createFading(now),
				latency: createLatency(now),
				pathFailures: 0,
				avoidedUntil: 0,
				heardAt: now,
			};
			targets.set(target, evidence);
		}

		return evidence;
	}

	function add(target: string, service: string, counts: OutcomeCounts, now: number): void {
		const evidence = evidenceOf(target, now);
		evidence.heardAt = now;
		evidence.failing = judge(failingAt(evidence, now), counts.good, counts.bad);
		evidence.judgedAt = Math.max(evidence.judgedAt, now);
		fade(evidence.answers, now, busyHalfLife);
		fade(evidence.busy, now, busyHalfLife);
		evidence.answers.value += counts.good + counts.bad + counts.busy;
		evidence.busy.value += counts.busy;

		if (counts.good > 0) {
			addLatency(evidence.latency, counts.latency, counts.good, now);
			const latency = services.get(service) ?? createLatency(now);
			services.set(service, latency);
			addLatency(latency, counts.latency, counts.good, now);
		}
	}

	function noteReport(target: string, service: string, counts: OutcomeCounts): void {
		const known = report.get(target);
		if (known === undefined) {
			report.set(target, {service, counts: {...counts}});
			return;
		}

		for (const name of ['good', 'bad', 'busy', 'latency'] as const) {
			known.counts[name] += counts[name];
		}
	}

	function notePathFailure(target: string, now: number): void {
		const evidence = evidenceOf(target, now);
		evidence.pathFailures++;
		const avoidance = firstPathAvoidance * 2 ** (evidence.pathFailures - 1);
		evidence.avoidedUntil = now + Math.min(avoidance, longestPathAvoidance);
	}

	function meanLatency(service: string, now: number): number | undefined {
		const latency = services.get(service);
		if (latency === undefined || fade(latency.count, now, latencyHalfLife) < 1) {
			return undefined;
		}

		return fade(latency.sum, now, latencyHalfLife) / latency.count.value;
	}

	function slownessOf(evidence: Evidence, service: string, now: number): number {
		const mean = meanLatency(service, now);
		if (mean === undefined || mean === 0) {
			return 1;
		}

		const count = fade(evidence.latency.count, now, latencyHalfLife) + priorLatencyWeight;
		const sum = fade(evidence.latency.sum, now, latencyHalfLife) + priorLatencyWeight * mean;
		return sum / count / mean;
	}

	return {
		record(target, service, {result, latency}, now) {
			const outcome = outcomeClasses[result];
			if (outcome === 'path') {
				notePathFailure(target, now);
			}

			if (outcome === 'good') {
				evidenceOf(target, now).pathFailures = 0;
			}

			if (outcome === 'good' || outcome === 'bad' || outcome === 'busy') {
				const counts = {
					good: Number(outcome === 'good'),
					bad: Number(outcome === 'bad'),
					busy: Number(outcome === 'busy'),
					latency: outcome === 'good' ? latency : 0,
				};
				add(target, service, counts, now);
				noteReport(target, service, counts);
			}

			return outcome;
		},
		merge: add,
		conditionOf(target, service, now) {
			const evidence = targets.get(target);
			if (evidence === undefined) {
				return {
					failureRisk: riskOf(restingProbability),
					slowness: 1,
					busyness: 0,
					isUnreachable: false,
				};
			}

			const answers = fade(evidence.answers, now, busyHalfLife);
			const busy = fade(evidence.busy, now, busyHalfLife);
			return {
				failureRisk: riskOf(failingAt(evidence, now)),
				slowness: slownessOf(evidence, service, now),
				busyness: busy / (answers + 1),
				isUnreachable: now < evidence.avoidedUntil,
			};
		},
		meanLatency,
		takeReport() {
			const taken = report;
			report = new Map();
			return taken;
		},
		prune(now) {
			for (const [target, evidence] of targets) {
				if (now - evidence.heardAt > retention) {
					targets.delete(target);
				}
			}
		},
	};
}
