/**
 * Derives how long an attempt may take before a hedge (a second copy of the request) may be sent:
 * a quantile of the recent latencies of similar requests. Latencies are kept in two HDR histograms,
 * one of the current interval and one of the interval before, so that no latency is older than two
 * intervals. Each `now` is in milliseconds of the monotonic clock.
 *
 * Load pattern: an instance sees about two requests a second of a service, whose latencies vary by a
 * factor of two or three, and a tenth of the targets is several times slower.
 */
import {build, type Histogram} from 'hdr-histogram-js';

export type HedgeDelays = {
	/** Records the latency of an attempt in milliseconds. */
	record(kind: string, latency: number, now: number): void;
	/**
	 * Records that an attempt without a response was given up after `elapsed` milliseconds. It counts
	 * as a latency if it took longer than the delay, because without it the quantile would fall with
	 * each hedge that wins. A shorter time says nothing about the latency.
	 */
	recordGivenUp(kind: string, elapsed: number, now: number): void;
	/** Undefined while there are too few latencies, or none of the last two intervals. */
	estimateOf(kind: string, now: number): LatencyEstimate | undefined;
};

export type LatencyEstimate = {
	/** Milliseconds after which a hedge may be sent. */
	readonly delay: number;
	/** Milliseconds that the hedge itself probably takes. */
	readonly median: number;
};

/** Maximum age of a latency is twice this interval. */
const intervalMs = 30_000;
/** With fewer latencies, a percentile of 90 is often the largest of them. */
const minSamples = 20;
const hedgePercentile = 90;
const medianPercentile = 50;
/** Latencies after which the quantiles are computed again. */
const samplesPerRefresh = 8;
/**
 * Minimum delay as a multiple of the median. Where most latencies are alike, an attempt that is later
 * than nine tenths of them ends long before a hedge could.
 */
const minDelayMedians = 1.5;
/** A shorter delay would hedge requests that are only waiting for a timer. */
const minDelayMs = 2;
const maxLatencyMs = 120_000;
/** Bounds the memory: a kind takes about 15 KB. */
const maxKinds = 64;

type Latencies = {
	current: Histogram;
	previous: Histogram;
	startedAt: number;
	samplesSinceRefresh: number;
	estimate: LatencyEstimate | undefined;
};

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxLatencyMs,
		numberOfSignificantValueDigits: 2,
	});
}

/** Starts new intervals as needed; an interval without latencies ends like any other. */
function advance(latencies: Latencies, now: number): void {
	const passed = Math.floor((now - latencies.startedAt) / intervalMs);
	if (passed <= 0) {
		return;
	}

	const {current, previous} = latencies;
	previous.reset();
	if (passed === 1) {
		latencies.previous = current;
		latencies.current = previous;
	} else {
		current.reset();
	}

	latencies.startedAt += passed * intervalMs;
	refresh(latencies);
}

function refresh(latencies: Latencies): void {
	const {current, previous} = latencies;
	latencies.samplesSinceRefresh = 0;
	if (current.totalCount + previous.totalCount < minSamples) {
		latencies.estimate = undefined;
		return;
	}

	const merged = createHistogram();
	merged.add(current);
	merged.add(previous);
	const median = merged.getValueAtPercentile(medianPercentile);
	latencies.estimate = {
		delay: Math.max(
			minDelayMs,
			merged.getValueAtPercentile(hedgePercentile),
			median * minDelayMedians,
		),
		median,
	};
}

export function createHedgeDelays(): HedgeDelays {
	const kinds = new Map<string, Latencies>();

	function latenciesOf(kind: string, now: number): Latencies {
		let latencies = kinds.get(kind);
		if (latencies === undefined) {
			latencies = {
				current: createHistogram(),
				previous: createHistogram(),
				startedAt: now,
				samplesSinceRefresh: 0,
				estimate: undefined,
			};
			kinds.set(kind, latencies);
			if (kinds.size > maxKinds) {
				kinds.delete(kinds.keys().next().value!);
			}
		}

		return latencies;
	}

	function record(kind: string, latency: number, now: number): void {
		const latencies = latenciesOf(kind, now);
		advance(latencies, now);
		latencies.current.recordValue(Math.min(maxLatencyMs, Math.max(1, Math.round(latency))));
		latencies.samplesSinceRefresh++;
		if (latencies.samplesSinceRefresh >= samplesPerRefresh) {
			refresh(latencies);
		}
	}

	function estimateOf(kind: string, now: number): LatencyEstimate | undefined {
		const latencies = kinds.get(kind);
		if (latencies === undefined) {
			return undefined;
		}

		advance(latencies, now);
		return latencies.estimate;
	}

	return {
		record,
		recordGivenUp(kind, elapsed, now) {
			const delay = estimateOf(kind, now)?.delay;
			if (delay !== undefined && elapsed >= delay) {
				record(kind, elapsed, now);
			}
		},
		estimateOf,
	};
}
