/**
 * Outlier ejection: evaluates the targets of a service by the outcomes of their requests, each
 * target against the others (its peers) in the same period. An ejected target gets no requests for
 * some time, then a trial with few slots. Outside a trial, an ejection needs a minimum number of
 * samples, and the confidence bound of the failure rate or latency must exceed a limit, so that
 * ordinary noise ejects no target. A problem that affects all targets alike ejects none of them.
 */
import {type AttemptOutcome, type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {
	createOutcomeWindow,
	type OutcomeWindow,
	type OutcomeWindowSummary,
} from './outcome-window.js';

/**
 * A `suspect` should be ejected, but the floor (the minimum capacity that ejections must leave)
 * keeps it in use. A target in a `trial` was ejected and gets few requests until it is judged
 * again.
 */
export type HealthState = 'healthy' | 'suspect' | 'ejected' | 'trial';
/**
 * Why a target was ejected; `incomplete` when more than half of its failures were blank or
 * truncated responses.
 */
export type EjectionReason = 'errors' | 'slow' | 'incomplete';

export type HealthChange = {
	readonly target: string;
	readonly state: HealthState;
	readonly reason?: EjectionReason;
	/** Milliseconds until the trial, for `ejected`. */
	readonly duration?: number;
};

export type TargetHealthOptions = {
	/**
	 * Called before each ejection. Returns false when the ejection would leave less capacity than the
	 * floor; the target then stays in use, as `suspect` or in its trial.
	 */
	readonly isEjectionAllowed: (target: string) => boolean;
};

export type TargetHealth = {
	/** Counts an outcome. O(1). */
	record(target: string, holder: InstanceId, outcome: AttemptOutcome, now: number): void;
	stateOf(target: string): HealthState;
	/**
	 * Evaluates all targets and returns the changes of state since the last call. At most quadratic
	 * in the known targets; call it every `evaluationInterval`.
	 */
	evaluate(now: number): HealthChange[];
	/**
	 * Ends an ejection early and begins the trial. Used when, without the target, the shard has less
	 * capacity than the floor.
	 */
	startTrial(target: string): void;
	/** Takes over an ejection from the former coordinator, for `duration` milliseconds. */
	adoptEjection(target: string, duration: number, now: number): void;
	/** Milliseconds until the trial of an ejected target, or undefined. */
	ejectedFor(target: string, now: number): number | undefined;
	/**
	 * Drops the samples, so that the evaluation of the target starts again. The number of consecutive
	 * ejections is kept, so that the next one still lasts twice as long as the last.
	 */
	clearSamples(target: string): void;
	forget(target: string): void;
	/**
	 * Whether, at the last evaluation, the service was slow as a whole or the floor prevented an
	 * ejection. Load should be shed while this is true.
	 */
	readonly isOverloaded: boolean;
};

/**
 * Maximum age of the last sample of a target for its ejection as an outlier. Trials have no such
 * limit.
 */
const maxSampleAgeMs = 2000;
/** Milliseconds between two evaluations. */
export const evaluationInterval = 250;

const minEjectionMs = 5000;
const maxEjectionMs = 300_000;
/**
 * Time since a target last became healthy after which its next ejection lasts for the minimum
 * again.
 */
const ejectionResetMs = 600_000;
/**
 * Number of outcomes below which the failures of a target are not evaluated, and of latencies below
 * which a target does not count for the baseline of the service.
 */
const minSamples = 10;
/**
 * Number of latencies below which a target is not evaluated as slow. Lower than `minSamples`,
 * because a slow target gets few requests when they go to the least loaded target.
 */
const minLatencies = 5;
/**
 * Number of standard errors by which the estimate of a latency must exceed the limit. With 15
 * targets there are some 200,000 evaluations per hour, of which none may eject a target by chance.
 */
const latencyConfidence = 4;
/**
 * Number of standard errors (z) for the lower confidence bound of a failure rate. At 3.3, five
 * failures of ten are sufficient while the peers fail rarely.
 */
const errorConfidence = 3.3;
/**
 * Failure rate that the lower confidence bound of a target must exceed. At 0.15, one in 40 targets
 * that failed half of 20 requests/s was ejected only after 3.25 s.
 */
const errorRateThreshold = 0.1;
/**
 * Multiple of the median failure rate of the peers that the lower confidence bound of a target must
 * exceed too.
 */
const peerErrorRatio = 3;
/**
 * Latency above which a target is slow, as the logarithm of its ratio to the median of the peers.
 * It must be exceeded by `latencyConfidence` standard errors.
 */
const slowLogRatio = Math.log(2);
/**
 * Latency above which a target in a trial is slow, as the logarithm of its ratio to the baseline of
 * the service. Higher than `slowLogRatio`, because a trial has too few samples for a confidence
 * bound.
 */
const trialSlowLogRatio = Math.log(4);
/**
 * Latency above which the service is slow as a whole, as the logarithm of its ratio to the
 * baseline, the average of its own past latency.
 */
const serviceSlowLogRatio = Math.log(2);
/**
 * Time constant of the exponential moving average that is the baseline of the service's latency.
 */
const baselineDecayMs = 60_000;
/** Number of successful responses after which a trial is decided by their latency. */
const requiredTrialSuccesses = 5;
/** Number of holders that must report failures for a trial to fail; see `hasFailedTrial`. */
const trialFailureThreshold = 2;
/**
 * Number of successful responses to the other holders that is necessary to attribute the failures
 * of one holder to a path fault, that is to the connection between that holder and the target.
 */
const minOtherSuccesses = 5;
/**
 * The failures of one holder are a path fault only if the failure rate of the other holders is at
 * most this fraction of that holder's failure rate.
 */
const maxOthersErrorRatio = 0.25;

type TargetRecord = {
	readonly target: string;
	/** Window of two seconds, for busy targets. */
	readonly shortWindow: OutcomeWindow;
	/** Window of thirty seconds, for targets with few requests. */
	readonly longWindow: OutcomeWindow;
	state: HealthState;
	/** Monotonic milliseconds. */
	ejectedUntil: number;
	/** Number of ejections in a row. Each doubles the time of the next; see `ejectionResetMs`. */
	consecutiveEjections: number;
	/** Monotonic milliseconds. */
	healthySince: number;
	trialSuccesses: number;
	trialFailures: number;
	/** Sum of the natural logarithms of the latencies, in milliseconds, of the trial. */
	trialLogSum: number;
	/** Monotonic milliseconds. */
	lastSampleAt: number;
};

type EvaluatedTarget = {readonly record: TargetRecord; readonly summary: OutcomeWindowSummary};
type OutcomeCounts = {readonly successes: number; readonly failures: number};

const verdicts: Readonly<Record<AttemptResult, 'good' | 'bad' | 'incomplete' | 'ignored'>> = {
	ok: 'good',
	error: 'bad',
	timeout: 'bad',
	incomplete: 'incomplete',
	'connection-failed': 'bad',
	'connection-broken': 'bad',
	// A target that sheds load reports its own state correctly and has run nothing.
	shed: 'ignored',
	misdirected: 'ignored',
	cancelled: 'ignored',
};

/** Lower bound of the Wilson interval of a proportion. */
function lowerBound(failures: number, total: number): number {
	if (failures === 0) {
		return 0;
	}

	const proportion = failures / total;
	const squared = errorConfidence * errorConfidence;
	const center = proportion + squared / (2 * total);
	const spread =
		errorConfidence *
		Math.sqrt((proportion * (1 - proportion)) / total + squared / (4 * total * total));
	return (center - spread) / (1 + squared / total);
}

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
}

/**
 * Counts by which the target is judged. The holder with the most failures is left out if the other
 * holders have few failures at the same target, because the fault is then on the path between that
 * holder and the target.
 */
function withoutPathFault(summary: OutcomeWindowSummary): OutcomeCounts {
	let worst: OutcomeCounts = {successes: 0, failures: 0};
	for (const counts of summary.failures === 0 ? [] : summary.byHolder().values()) {
		worst = counts.failures > worst.failures ? counts : worst;
	}

	const others = {
		successes: summary.successes - worst.successes,
		failures: summary.failures - worst.failures,
	};
	const worstRate = worst.failures / Math.max(worst.successes + worst.failures, 1);
	const othersRate = others.failures / Math.max(others.successes + others.failures, 1);
	const isPathFault =
		others.successes >= minOtherSuccesses && othersRate <= worstRate * maxOthersErrorRatio;
	return isPathFault ? others : summary;
}

/**
 * A trial is decided by few responses. It fails when at least `trialFailureThreshold` holders
 * report failures, or when there are more failures than this number and every holder that reports
 * successes reports failures too.
 */
function hasFailedTrial(summary: OutcomeWindowSummary): boolean {
	const counts = summary.failures === 0 ? [] : [...summary.byHolder().values()];
	const failingHolders = counts.filter(({failures}) => failures > 0).length;
	const hasFaultlessHolder = counts.some(
		({successes, failures}) => successes > 0 && failures === 0,
	);
	return (
		failingHolders >= trialFailureThreshold ||
		(summary.failures > trialFailureThreshold && !hasFaultlessHolder)
	);
}

function evaluateErrors(
	evaluated: EvaluatedTarget,
	all: readonly EvaluatedTarget[],
): EjectionReason | undefined {
	const {summary} = evaluated;
	// Almost all evaluations end here, before any comparison with the peers.
	if (lowerBound(summary.failures, summary.successes + summary.failures) <= errorRateThreshold) {
		return undefined;
	}

	const own = withoutPathFault(summary);
	const total = own.successes + own.failures;
	if (total < minSamples) {
		return undefined;
	}

	const peerRates = all
		.filter(peer => peer !== evaluated && peer.summary.successes + peer.summary.failures > 0)
		.map(({summary: {successes, failures}}) => failures / (successes + failures));
	const peerRate = peerRates.length === 0 ? 0 : median(peerRates);
	if (lowerBound(own.failures, total) <= Math.max(errorRateThreshold, peerErrorRatio * peerRate)) {
		return undefined;
	}

	return summary.incomplete * 2 > summary.failures ? 'incomplete' : 'errors';
}

function evaluateLatency(
	evaluated: EvaluatedTarget,
	all: readonly EvaluatedTarget[],
): EjectionReason | undefined {
	const {summary} = evaluated;
	const isPeer = (peer: EvaluatedTarget) =>
		peer !== evaluated && peer.summary.latencyCount >= minLatencies;
	const isFaster = (peer: EvaluatedTarget) =>
		isPeer(peer) && summary.latencyLogMean - peer.summary.latencyLogMean > slowLogRatio;
	// Almost all evaluations end here: the target is not much slower than any one of its peers, so it
	// cannot be much slower than their median.
	if (summary.latencyCount < minLatencies || !all.some(peer => isFaster(peer))) {
		return undefined;
	}

	const compared = all.filter(peer => isPeer(peer));
	const excess = summary.latencyLogMean - median(compared.map(peer => peer.summary.latencyLogMean));
	const peerDeviation = median(compared.map(peer => peer.summary.latencyLogDeviation));
	// A few samples may have a small deviation by chance, so the larger of the target's deviation and
	// the median of its peers is used.
	const deviation = Math.max(summary.latencyLogDeviation, peerDeviation);
	const peerSamples = compared.reduce((sum, peer) => sum + peer.summary.latencyCount, 0);
	// For many normally distributed samples, the variance of the median is π / 2 times that of the
	// mean.
	const standardError = deviation * Math.sqrt(1 / summary.latencyCount + Math.PI / 2 / peerSamples);
	return excess - latencyConfidence * standardError > slowLogRatio ? 'slow' : undefined;
}

export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
	const records = new Map<string, TargetRecord>();
	let changes: HealthChange[] = [];
	let baselineLogMean: number | undefined;
	let baselineAt = 0;
	let isServiceSlow = false;
	let isEjectionBlocked = false;

	function recordOf(target: string): TargetRecord {
		let record = records.get(target);
		if (record === undefined) {
			record = {
				target,
				shortWindow: createOutcomeWindow(250, 8),
				longWindow: createOutcomeWindow(5000, 6),
				state: 'healthy',
				ejectedUntil: 0,
				consecutiveEjections: 0,
				healthySince: 0,
				trialSuccesses: 0,
				trialFailures: 0,
				trialLogSum: 0,
				lastSampleAt: Number.NEGATIVE_INFINITY,
			};
			records.set(target, record);
		}

		return record;
	}

	function clearWindows(record: TargetRecord): void {
		record.shortWindow.clear();
		record.longWindow.clear();
		record.trialSuccesses = 0;
		record.trialFailures = 0;
		record.trialLogSum = 0;
	}

	function changeState(
		record: TargetRecord,
		state: HealthState,
		details?: Partial<HealthChange>,
	): void {
		if (record.state !== state) {
			record.state = state;
			changes.push({target: record.target, state, ...details});
		}
	}

	function eject(record: TargetRecord, reason: EjectionReason, now: number): void {
		if (!options.isEjectionAllowed(record.target)) {
			isEjectionBlocked = true;
			// A target in a trial already has few slots, so it stays in the trial.
			if (record.state !== 'trial') {
				changeState(record, 'suspect', {reason});
			}

			return;
		}

		const duration = Math.min(minEjectionMs * 2 ** record.consecutiveEjections, maxEjectionMs);
		record.consecutiveEjections++;
		record.ejectedUntil = now + duration;
		clearWindows(record);
		changeState(record, 'ejected', {reason, duration});
	}

	function becomeHealthy(record: TargetRecord, now: number): void {
		record.healthySince = now;
		clearWindows(record);
		changeState(record, 'healthy');
	}

	function beginTrial(record: TargetRecord): void {
		clearWindows(record);
		changeState(record, 'trial');
	}

	function evaluateTrial(record: TargetRecord, now: number): void {
		if (hasFailedTrial(record.longWindow.summarize(now))) {
			eject(record, 'errors', now);
		} else if (record.trialSuccesses >= requiredTrialSuccesses) {
			const logMean = record.trialLogSum / record.trialSuccesses;
			const isSlow = baselineLogMean !== undefined && logMean - baselineLogMean > trialSlowLogRatio;
			if (isSlow && !isServiceSlow) {
				eject(record, 'slow', now);
			} else {
				becomeHealthy(record, now);
			}
		}

		// The trial is still undecided: the floor prevented the ejection, or one holder had failures
		// while another had only successes. The next responses decide.
		if (
			record.state === 'trial' &&
			record.trialSuccesses + record.trialFailures >= 2 * requiredTrialSuccesses
		) {
			clearWindows(record);
		}
	}

	/** Compares the service with its own past, which reveals a slowdown of all targets together. */
	function updateBaseline(evaluated: readonly EvaluatedTarget[], now: number): void {
		const means = evaluated
			.filter(({summary}) => summary.latencyCount >= minSamples)
			.map(({summary}) => summary.latencyLogMean);
		if (means.length === 0) {
			return;
		}

		const currentLogMean = median(means);
		baselineLogMean ??= currentLogMean;
		isServiceSlow = means.length > 1 && currentLogMean - baselineLogMean > serviceSlowLogRatio;
		baselineLogMean +=
			(currentLogMean - baselineLogMean) * Math.min(1, (now - baselineAt) / baselineDecayMs);
		baselineAt = now;
	}

	function ejectOutlier(
		evaluated: EvaluatedTarget,
		all: readonly EvaluatedTarget[],
		now: number,
	): boolean {
		// The long window keeps samples for 30 s. A target that gets no requests must not be ejected
		// for old samples when its peers change or the floor permits its ejection: it may have
		// recovered.
		if (now - evaluated.record.lastSampleAt > maxSampleAgeMs) {
			return false;
		}

		const reason =
			evaluateErrors(evaluated, all) ??
			(isServiceSlow ? undefined : evaluateLatency(evaluated, all));
		if (reason !== undefined) {
			eject(evaluated.record, reason, now);
		}

		return reason !== undefined;
	}

	/**
	 * At most quadratic in the known targets of a service, which are some tens per coordinator;
	 * called four times a second.
	 */
	function evaluateInService(now: number): void {
		const inService = [...records.values()].filter(
			({state}) => state === 'healthy' || state === 'suspect',
		);
		const shortSummaries = inService.map(record => ({
			record,
			summary: record.shortWindow.summarize(now),
		}));
		const longSummaries = inService.map(record => ({
			record,
			summary: record.longWindow.summarize(now),
		}));
		updateBaseline(shortSummaries, now);
		for (const [index, evaluated] of shortSummaries.entries()) {
			const {record} = evaluated;
			const isUnhealthy =
				ejectOutlier(evaluated, shortSummaries, now) ||
				ejectOutlier(longSummaries[index]!, longSummaries, now);
			if (!isUnhealthy && record.state === 'suspect') {
				becomeHealthy(record, now);
			}

			if (record.consecutiveEjections > 0 && now - record.healthySince > ejectionResetMs) {
				record.consecutiveEjections = 0;
			}
		}
	}

	return {
		record(target, holder, outcome, now) {
			const verdict = verdicts[outcome.result];
			const record = recordOf(target);
			// Outcomes of requests that were sent before the ejection give no new information.
			if (verdict === 'ignored' || record.state === 'ejected') {
				return;
			}

			record.lastSampleAt = now;
			if (verdict === 'good') {
				record.shortWindow.addSuccess(holder, outcome.latency, now);
				record.longWindow.addSuccess(holder, outcome.latency, now);
				record.trialSuccesses++;
				record.trialLogSum += Math.log(Math.max(outcome.latency, 0.1));
			} else {
				record.shortWindow.addFailure(holder, verdict === 'incomplete', now);
				record.longWindow.addFailure(holder, verdict === 'incomplete', now);
				record.trialFailures++;
			}
		},
		stateOf: target => records.get(target)?.state ?? 'healthy',
		evaluate(now) {
			isEjectionBlocked = false;
			for (const record of records.values()) {
				if (record.state === 'ejected' && now >= record.ejectedUntil) {
					beginTrial(record);
				} else if (record.state === 'trial') {
					evaluateTrial(record, now);
				}
			}

			evaluateInService(now);
			const result = changes;
			changes = [];
			return result;
		},
		startTrial(target) {
			const record = recordOf(target);
			if (record.state === 'ejected') {
				beginTrial(record);
			}
		},
		adoptEjection(target, duration, now) {
			const record = recordOf(target);
			record.ejectedUntil = now + Math.min(duration, maxEjectionMs);
			record.consecutiveEjections = Math.max(record.consecutiveEjections, 1);
			changeState(record, 'ejected', {duration});
		},
		ejectedFor(target, now) {
			const record = records.get(target);
			return record?.state === 'ejected' ? Math.max(record.ejectedUntil - now, 0) : undefined;
		},
		clearSamples(target) {
			const record = records.get(target);
			if (record) {
				clearWindows(record);
			}
		},
		forget(target) {
			records.delete(target);
		},
		get isOverloaded() {
			return isServiceSlow || isEjectionBlocked;
		},
	};
}
