/**
 * Outlier ejection: judges the targets of a service by the real work that they do, each against its
 * peers in the same period. A verdict needs a minimum number of samples and holds with a confidence
 * bound, so ordinary noise ejects nothing, and what strikes all targets alike ejects none of them.
 */
import {type AttemptOutcome, type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {createSampleWindow, type SampleWindow, type WindowSummary} from './sample-window.js';

export type HealthState = 'healthy' | 'suspect' | 'ejected' | 'trial';
export type EjectionReason = 'errors' | 'slow' | 'incomplete';

export type HealthChange = {
	readonly target: string;
	readonly state: HealthState;
	readonly reason?: EjectionReason;
	/** Milliseconds until the trial, for `ejected`. */
	readonly duration?: number;
};

export type TargetHealthOptions = {
	/** Asked before each ejection; false keeps the target at work as `suspect`. */
	readonly isEjectionAllowed: (target: string) => boolean;
};

export type TargetHealth = {
	/** Counts an outcome. O(1). */
	record(target: string, holder: InstanceId, outcome: AttemptOutcome, now: number): void;
	stateOf(target: string): HealthState;
	/**
	 * Judges all targets and returns the changes of state. Linear in the known targets; call it
	 * every `evaluationInterval`.
	 */
	evaluate(now: number): HealthChange[];
	/** Ends an ejection early, because the floor needs the target or the target has restarted. */
	startTrial(target: string): void;
	/** Takes over an ejection from a predecessor, for `duration` milliseconds. */
	adoptEjection(target: string, duration: number, now: number): void;
	/** Milliseconds until the trial of an ejected target, or undefined. */
	ejectedFor(target: string, now: number): number | undefined;
	/** Drops the samples, after which the target is judged anew. Its ejection time stays doubled. */
	clearSamples(target: string): void;
	forget(target: string): void;
	/** The service is slow as a whole, or the floor forbade an ejection: load should be shed. */
	readonly isOverloaded: boolean;
};

/** Milliseconds for which a sample is a reason to judge its target. */
const freshness = 2000;
/** Milliseconds between two evaluations. */
export const evaluationInterval = 250;

const shortestEjection = 5000;
const longestEjection = 300_000;
/** Milliseconds of good health after which the ejection time starts from the shortest again. */
const ejectionMemory = 600_000;
/** Outcomes below which a target's failures are not judged. */
const minimumSamples = 10;
/**
 * Latencies below which a target is not judged slow. Fewer than for failures, because a slow target
 * is given little work when requests go to the least loaded.
 */
const minimumLatencies = 5;
/**
 * Standard errors that the estimate must lie beyond the limit. An hour has some 200,000 judgements
 * of 15 targets, of which none may be wrong by chance.
 */
const confidence = 4;
/** The same for failure rates. Five failures of ten are enough while the peers fail rarely. */
const errorConfidence = 3.3;
/**
 * Part of failures that a target must certainly exceed. At 0.15, one in 40 targets that failed half
 * of 20 requests/s was out only after 3.25 s.
 */
const errorLimit = 0.1;
/** Times the failure rate of the peers that a target must certainly exceed. */
const peerErrorRatio = 3;
/** Ratio to the median latency of the peers that a target must certainly exceed. */
const slowLimit = Math.log(2);
/** Ratio at which a trial counts as slow; it has too few samples for a bound. */
const trialSlowLimit = Math.log(4);
/** Ratio to the service's own past latency above which the service is slow as a whole. */
const serviceSlowLimit = Math.log(2);
/** Milliseconds in which the memory of the service's latency fades to 1/e. */
const baselineMemory = 60_000;
const trialAnswers = 5;
const trialFailures = 2;
/** Good answers of other holders that make the failures of one holder a path fault. */
const pathWitnesses = 5;
/** Part of one holder's failure rate up to which the others' rate makes it a path fault. */
const pathOthersLimit = 0.25;

type TargetRecord = {
	readonly target: string;
	/** Two seconds, for busy targets. */
	readonly short: SampleWindow;
	/** Thirty seconds, for targets with little work. */
	readonly long: SampleWindow;
	state: HealthState;
	ejectedUntil: number;
	/** Ejections in a row; the exponent of the ejection time. */
	level: number;
	healthySince: number;
	trialGood: number;
	trialBad: number;
	trialLogSum: number;
	/** Monotonic milliseconds. */
	lastSampleAt: number;
};

type Judged = {readonly record: TargetRecord; readonly summary: WindowSummary};
type Rates = {readonly good: number; readonly bad: number};

const verdicts: Readonly<Record<AttemptResult, 'good' | 'bad' | 'incomplete' | 'ignored'>> = {
	ok: 'good',
	error: 'bad',
	timeout: 'bad',
	incomplete: 'incomplete',
	'connection-failed': 'bad',
	'connection-broken': 'bad',
	// A target that sheds load tells the truth about itself and ran nothing.
	shed: 'ignored',
	misdirected: 'ignored',
	cancelled: 'ignored',
};

/** Lower end of the Wilson interval of a proportion. */
function lowerBound(bad: number, total: number): number {
	if (bad === 0) {
		return 0;
	}

	const proportion = bad / total;
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

/** Counts without the holder whose failures the other holders do not see on the same target. */
function withoutPathFault(summary: WindowSummary): Rates {
	let worst: Rates = {good: 0, bad: 0};
	for (const counts of summary.bad === 0 ? [] : summary.byHolder().values()) {
		worst = counts.bad > worst.bad ? counts : worst;
	}

	const others = {good: summary.good - worst.good, bad: summary.bad - worst.bad};
	const worstRate = worst.bad / Math.max(worst.good + worst.bad, 1);
	const othersRate = others.bad / Math.max(others.good + others.bad, 1);
	const isPathFault = others.good >= pathWitnesses && othersRate <= worstRate * pathOthersLimit;
	return isPathFault ? others : summary;
}

/** Few answers decide a trial: failures that several holders see, or that none contradicts. */
function hasFailedTrial(summary: WindowSummary): boolean {
	const counts = summary.bad === 0 ? [] : [...summary.byHolder().values()];
	const failing = counts.filter(({bad}) => bad > 0).length;
	const succeeding = counts.some(({good, bad}) => good > 0 && bad === 0);
	return failing >= trialFailures || (summary.bad > trialFailures && !succeeding);
}

function judgeErrors(judged: Judged, all: readonly Judged[]): EjectionReason | undefined {
	const {summary} = judged;
	// Almost all judgements end here, before anything is compared.
	if (lowerBound(summary.bad, summary.good + summary.bad) <= errorLimit) {
		return undefined;
	}

	const own = withoutPathFault(summary);
	const total = own.good + own.bad;
	if (total < minimumSamples) {
		return undefined;
	}

	const peerRates = all
		.filter(peer => peer !== judged && peer.summary.good + peer.summary.bad > 0)
		.map(({summary: {good, bad}}) => bad / (good + bad));
	const peerRate = peerRates.length === 0 ? 0 : median(peerRates);
	if (lowerBound(own.bad, total) <= Math.max(errorLimit, peerErrorRatio * peerRate)) {
		return undefined;
	}

	return summary.incomplete * 2 > summary.bad ? 'incomplete' : 'errors';
}

function judgeLatency(judged: Judged, all: readonly Judged[]): EjectionReason | undefined {
	const {summary} = judged;
	const isPeer = (peer: Judged) => peer !== judged && peer.summary.latencies >= minimumLatencies;
	const isFaster = (peer: Judged) =>
		isPeer(peer) && summary.logMean - peer.summary.logMean > slowLimit;
	// Almost all judgements end here: a target is not slow if it is not much slower than any peer.
	if (summary.latencies < minimumLatencies || !all.some(peer => isFaster(peer))) {
		return undefined;
	}

	const compared = all.filter(peer => isPeer(peer));
	const excess = summary.logMean - median(compared.map(peer => peer.summary.logMean));
	const peerDeviation = median(compared.map(peer => peer.summary.logDeviation));
	// A few samples may have a small deviation by chance, so the larger of the two is used.
	const deviation = Math.max(summary.logDeviation, peerDeviation);
	const peerSamples = compared.reduce((sum, peer) => sum + peer.summary.latencies, 0);
	const standardError = deviation * Math.sqrt(1 / summary.latencies + Math.PI / 2 / peerSamples);
	return excess - confidence * standardError > slowLimit ? 'slow' : undefined;
}

export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
	const records = new Map<string, TargetRecord>();
	let changes: HealthChange[] = [];
	let baseline: number | undefined;
	let baselineAt = 0;
	let isServiceSlow = false;
	let isEjectionBlocked = false;

	function recordOf(target: string): TargetRecord {
		let record = records.get(target);
		if (record === undefined) {
			record = {
				target,
				short: createSampleWindow(250, 8),
				long: createSampleWindow(5000, 6),
				state: 'healthy',
				ejectedUntil: 0,
				level: 0,
				healthySince: 0,
				trialGood: 0,
				trialBad: 0,
				trialLogSum: 0,
				lastSampleAt: Number.NEGATIVE_INFINITY,
			};
			records.set(target, record);
		}

		return record;
	}

	function clearWindows(record: TargetRecord): void {
		record.short.clear();
		record.long.clear();
		record.trialGood = 0;
		record.trialBad = 0;
		record.trialLogSum = 0;
	}

	function change(record: TargetRecord, state: HealthState, details?: Partial<HealthChange>): void {
		if (record.state !== state) {
			record.state = state;
			changes.push({target: record.target, state, ...details});
		}
	}

	function eject(record: TargetRecord, reason: EjectionReason, now: number): void {
		if (!options.isEjectionAllowed(record.target)) {
			isEjectionBlocked = true;
			// In a trial the target has few slots already, so it stays there.
			if (record.state !== 'trial') {
				change(record, 'suspect', {reason});
			}

			return;
		}

		const duration = Math.min(shortestEjection * 2 ** record.level, longestEjection);
		record.level++;
		record.ejectedUntil = now + duration;
		clearWindows(record);
		change(record, 'ejected', {reason, duration});
	}

	function becomeHealthy(record: TargetRecord, now: number): void {
		record.healthySince = now;
		clearWindows(record);
		change(record, 'healthy');
	}

	function beginTrial(record: TargetRecord): void {
		clearWindows(record);
		change(record, 'trial');
	}

	function judgeTrial(record: TargetRecord, now: number): void {
		if (hasFailedTrial(record.long.summarize(now))) {
			eject(record, 'errors', now);
		} else if (record.trialGood >= trialAnswers) {
			const logMean = record.trialLogSum / record.trialGood;
			const isSlow = baseline !== undefined && logMean - baseline > trialSlowLimit;
			if (isSlow && !isServiceSlow) {
				eject(record, 'slow', now);
			} else {
				becomeHealthy(record, now);
			}
		}

		// Blocked by the floor: the next answers decide anew.
		if (record.state === 'trial' && record.trialGood + record.trialBad >= 2 * trialAnswers) {
			clearWindows(record);
		}
	}

	/** Compares the service with its own past, which a slowdown of all targets does not hide in. */
	function updateBaseline(judged: readonly Judged[], now: number): void {
		const means = judged
			.filter(({summary}) => summary.latencies >= minimumSamples)
			.map(({summary}) => summary.logMean);
		if (means.length === 0) {
			return;
		}

		const present = median(means);
		baseline ??= present;
		isServiceSlow = means.length > 1 && present - baseline > serviceSlowLimit;
		baseline += (present - baseline) * Math.min(1, (now - baselineAt) / baselineMemory);
		baselineAt = now;
	}

	function judgeWork(judged: Judged, all: readonly Judged[], now: number): boolean {
		// Samples of the long window stay for 30 s. A target that had no work since must not be ejected
		// for them, when its peers change or the floor allows it again: it may have recovered.
		if (now - judged.record.lastSampleAt > freshness) {
			return false;
		}

		const reason =
			judgeErrors(judged, all) ?? (isServiceSlow ? undefined : judgeLatency(judged, all));
		if (reason !== undefined) {
			eject(judged.record, reason, now);
		}

		return reason !== undefined;
	}

	/**
	 * At most quadratic in the known targets of a service, which are some tens per coordinator; four
	 * times a second.
	 */
	function judgeAtWork(now: number): void {
		const atWork = [...records.values()].filter(
			({state}) => state === 'healthy' || state === 'suspect',
		);
		const short = atWork.map(record => ({record, summary: record.short.summarize(now)}));
		const long = atWork.map(record => ({record, summary: record.long.summarize(now)}));
		updateBaseline(short, now);
		for (const [index, judged] of short.entries()) {
			const {record} = judged;
			const isUnhealthy = judgeWork(judged, short, now) || judgeWork(long[index]!, long, now);
			if (!isUnhealthy && record.state === 'suspect') {
				becomeHealthy(record, now);
			}

			if (record.level > 0 && now - record.healthySince > ejectionMemory) {
				record.level = 0;
			}
		}
	}

	return {
		record(target, holder, outcome, now) {
			const verdict = verdicts[outcome.result];
			const record = recordOf(target);
			// Answers of requests that were sent before the ejection say nothing new.
			if (verdict === 'ignored' || record.state === 'ejected') {
				return;
			}

			record.lastSampleAt = now;
			if (verdict === 'good') {
				record.short.addSuccess(holder, outcome.latency, now);
				record.long.addSuccess(holder, outcome.latency, now);
				record.trialGood++;
				record.trialLogSum += Math.log(Math.max(outcome.latency, 0.1));
			} else {
				record.short.addFailure(holder, verdict === 'incomplete', now);
				record.long.addFailure(holder, verdict === 'incomplete', now);
				record.trialBad++;
			}
		},
		stateOf: target => records.get(target)?.state ?? 'healthy',
		evaluate(now) {
			isEjectionBlocked = false;
			for (const record of records.values()) {
				if (record.state === 'ejected' && now >= record.ejectedUntil) {
					beginTrial(record);
				} else if (record.state === 'trial') {
					judgeTrial(record, now);
				}
			}

			judgeAtWork(now);
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
			record.ejectedUntil = now + Math.min(duration, longestEjection);
			record.level = Math.max(record.level, 1);
			change(record, 'ejected', {duration});
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
