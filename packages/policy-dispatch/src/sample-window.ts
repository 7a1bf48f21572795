/**
 * Outcomes of one target over a sliding time window, in buckets, with the holders that reported
 * them.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

export type HolderCounts = {good: number; bad: number};

export type WindowSummary = {
	readonly good: number;
	readonly bad: number;
	/** Part of `bad`: blank or truncated answers. */
	readonly incomplete: number;
	/** Number of latencies, and mean and standard deviation of their natural logarithms. */
	readonly latencies: number;
	readonly logMean: number;
	readonly logDeviation: number;
	/** Summed on demand, because it is needed only where there are failures. */
	byHolder(): ReadonlyMap<InstanceId, HolderCounts>;
};

export type SampleWindow = {
	addSuccess(holder: InstanceId, latency: number, now: number): void;
	addFailure(holder: InstanceId, isIncomplete: boolean, now: number): void;
	/** Costs O(buckets); its `byHolder` also the holders that reported in each. */
	summarize(now: number): WindowSummary;
	clear(): void;
};

type Bucket = {
	readonly index: number;
	bad: number;
	incomplete: number;
	latencies: number;
	logSum: number;
	logSquares: number;
	readonly byHolder: Map<InstanceId, HolderCounts>;
};

/** Covers `buckets` buckets of `bucketLength` milliseconds each, the current one included. */
export function createSampleWindow(bucketLength: number, buckets: number): SampleWindow {
	let kept: Bucket[] = [];

	function prune(now: number): number {
		const index = Math.floor(now / bucketLength);
		while (kept.length > 0 && kept[0]!.index <= index - buckets) {
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
				bad: 0,
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

	function countsOf(counts: Map<InstanceId, HolderCounts>, holder: InstanceId): HolderCounts {
		let found = counts.get(holder);
		if (found === undefined) {
			found = {good: 0, bad: 0};
			counts.set(holder, found);
		}

		return found;
	}

	function sumByHolder(buckets: readonly Bucket[]): Map<InstanceId, HolderCounts> {
		const sums = new Map<InstanceId, HolderCounts>();
		for (const bucket of buckets) {
			for (const [holder, counts] of bucket.byHolder) {
				const total = countsOf(sums, holder);
				total.good += counts.good;
				total.bad += counts.bad;
			}
		}

		return sums;
	}

	return {
		addSuccess(holder, latency, now) {
			const bucket = currentBucket(now);
			// Below a tenth of a millisecond the clock of the holder measures nothing.
			const logarithm = Math.log(Math.max(latency, 0.1));
			bucket.latencies++;
			bucket.logSum += logarithm;
			bucket.logSquares += logarithm * logarithm;
			countsOf(bucket.byHolder, holder).good++;
		},
		addFailure(holder, isIncomplete, now) {
			const bucket = currentBucket(now);
			bucket.bad++;
			bucket.incomplete += isIncomplete ? 1 : 0;
			countsOf(bucket.byHolder, holder).bad++;
		},
		summarize(now) {
			prune(now);
			const sums = {bad: 0, incomplete: 0, latencies: 0, logSum: 0, logSquares: 0};
			for (const bucket of kept) {
				sums.bad += bucket.bad;
				sums.incomplete += bucket.incomplete;
				sums.latencies += bucket.latencies;
				sums.logSum += bucket.logSum;
				sums.logSquares += bucket.logSquares;
			}

			const {bad, incomplete, latencies} = sums;
			const logMean = latencies === 0 ? 0 : sums.logSum / latencies;
			const variance = latencies === 0 ? 0 : sums.logSquares / latencies - logMean * logMean;
			const logDeviation = Math.sqrt(Math.max(variance, 0));
			const buckets = kept;
			// Every good answer has a latency.
			return {
				good: latencies,
				bad,
				incomplete,
				latencies,
				logMean,
				logDeviation,
				byHolder: () => sumByHolder(buckets),
			};
		},
		clear() {
			kept = [];
		},
	};
}
