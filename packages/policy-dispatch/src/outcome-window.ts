/**
 * Outcomes of the requests to one target over a sliding time window. They are counted by time
 * buckets and by holder, the instance that sent the request, so that a fault between one holder and
 * the target can be told from a fault of the target.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

export type HolderOutcomeCounts = {successes: number; failures: number};

export type OutcomeWindowSummary = {
	readonly successes: number;
	readonly failures: number;
	/** Number of the failures that were blank or truncated responses. */
	readonly incomplete: number;
	/** Number of latencies, and mean and standard deviation of their natural logarithms. */
	readonly latencyCount: number;
	readonly latencyLogMean: number;
	readonly latencyLogDeviation: number;
	/**
	 * Sums the counts by holder. Computed on demand, because it is needed only when there are
	 * failures.
	 */
	byHolder(): ReadonlyMap<InstanceId, HolderOutcomeCounts>;
};

export type OutcomeWindow = {
	/** `latency` in milliseconds. */
	addSuccess(holder: InstanceId, latency: number, now: number): void;
	addFailure(holder: InstanceId, isIncomplete: boolean, now: number): void;
	/**
	 * Costs O(buckets). `byHolder` of the result is linear in the buckets and the holders in each of
	 * them.
	 */
	summarize(now: number): OutcomeWindowSummary;
	clear(): void;
};

type Bucket = {
	readonly index: number;
	failures: number;
	incomplete: number;
	latencies: number;
	logSum: number;
	logSquares: number;
	readonly byHolder: Map<InstanceId, HolderOutcomeCounts>;
};

/** Covers `bucketCount` buckets of `bucketLength` milliseconds each, the current one included. */
export function createOutcomeWindow(bucketLength: number, bucketCount: number): OutcomeWindow {
	let kept: Bucket[] = [];

	function prune(now: number): number {
		const index = Math.floor(now / bucketLength);
		while (kept.length > 0 && kept[0]!.index <= index - bucketCount) {
			kept.shift();
		}

		return index;
	}

	function currentBucket(now: number): Bucket {
		const index = prune(now);
		let bucket = kept.at(-1);
		if (bucket === undefined || bucket.index < index) {
			bucket = {
				index,
				failures: 0,
				incomplete: 0,
				latencies: 0,
				logSum: 0,
				logSquares: 0,
				byHolder: new Map(),
			};
			kept.push(bucket);
		}

		return bucket;
	}

	function countsOf(
		counts: Map<InstanceId, HolderOutcomeCounts>,
		holder: InstanceId,
	): HolderOutcomeCounts {
		let found = counts.get(holder);
		if (found === undefined) {
			found = {successes: 0, failures: 0};
			counts.set(holder, found);
		}

		return found;
	}

	function sumByHolder(buckets: readonly Bucket[]): Map<InstanceId, HolderOutcomeCounts> {
		const sums = new Map<InstanceId, HolderOutcomeCounts>();
		for (const bucket of buckets) {
			for (const [holder, counts] of bucket.byHolder) {
				const total = countsOf(sums, holder);
				total.successes += counts.successes;
				total.failures += counts.failures;
			}
		}

		return sums;
	}

	return {
		addSuccess(holder, latency, now) {
			const bucket = currentBucket(now);
			// Below a tenth of a millisecond the clock of the holder is too coarse for a measurement.
			const logarithm = Math.log(Math.max(latency, 0.1));
			bucket.latencies++;
			bucket.logSum += logarithm;
			bucket.logSquares += logarithm * logarithm;
			countsOf(bucket.byHolder, holder).successes++;
		},
		addFailure(holder, isIncomplete, now) {
			const bucket = currentBucket(now);
			bucket.failures++;
			bucket.incomplete += isIncomplete ? 1 : 0;
			countsOf(bucket.byHolder, holder).failures++;
		},
		summarize(now) {
			prune(now);
			const sums = {failures: 0, incomplete: 0, latencies: 0, logSum: 0, logSquares: 0};
			for (const bucket of kept) {
				sums.failures += bucket.failures;
				sums.incomplete += bucket.incomplete;
				sums.latencies += bucket.latencies;
				sums.logSum += bucket.logSum;
				sums.logSquares += bucket.logSquares;
			}

			const {failures, incomplete, latencies} = sums;
			const logMean = latencies === 0 ? 0 : sums.logSum / latencies;
			const variance = latencies === 0 ? 0 : sums.logSquares / latencies - logMean * logMean;
			const logDeviation = Math.sqrt(Math.max(variance, 0));
			const buckets = kept;
			// Every success has a latency, so there are as many successes as latencies.
			return {
				successes: latencies,
				failures,
				incomplete,
				latencyCount: latencies,
				latencyLogMean: logMean,
				latencyLogDeviation: logDeviation,
				byHolder: () => sumByHolder(buckets),
			};
		},
		clear() {
			kept = [];
		},
	};
}
