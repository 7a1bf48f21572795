/**
 * Decides when to hedge a request, that is to send a second copy of an idempotent request although
 * the first has not failed: once the first takes longer than the 95th percentile of the recent
 * latencies of its service. Hedges and retries share a budget.
 */
import {type RetryBudget} from './retry-budget.js';
import {isIdempotent} from './retry-policy.js';

export type HedgeCandidate = {
	readonly service: string;
	readonly method: string;
	readonly idempotentMethods: readonly string[];
	/** Monotonic milliseconds at which the first attempt was dispatched. */
	readonly startedAt: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Whether the caller has received a part of a response, or the body cannot be sent again. */
	readonly isCommitted: boolean;
};

export type HedgePolicyOptions = {
	readonly budget: RetryBudget;
	/**
	 * Maximum services whose latencies are kept; 512 by default. Beyond it, the service whose last
	 * recorded latency is the oldest is dropped.
	 */
	readonly maxServices?: number;
};

export type HedgePolicy = {
	/** Records the latency, in milliseconds, of an attempt that ended with `ok`. */
	record(service: string, latency: number): void;
	/**
	 * Milliseconds after dispatch at which to call `decide`. Undefined when the method is not
	 * idempotent or the service has too few samples.
	 */
	delay(
		request: Omit<HedgeCandidate, 'startedAt' | 'deadline' | 'isCommitted'>,
	): number | undefined;
	/**
	 * Returns `wait` before the delay has passed. Takes one hedge from the budget when, and only
	 * when, it returns `hedge`.
	 */
	decide(request: HedgeCandidate, now: number): 'hedge' | 'wait' | 'no-hedge';
};

/** Number of latencies kept per service. */
const windowSize = 256;

/** Minimum number of samples for the percentile; with fewer, no request is hedged. */
const minSamples = 40;

/**
 * Samples after which the percentile is computed again, so that most requests do not pay for the
 * sorting.
 */
const samplesPerRefresh = 32;

/**
 * Minimum delay of a hedge in milliseconds. With a shorter delay, requests that are only waiting
 * for a timer would be hedged.
 */
const minDelayMs = 2;

type LatencyWindow = {
	/** Ring buffer of latencies in milliseconds. */
	readonly samples: Float64Array;
	/** Number of latencies recorded so far, including those that were overwritten. */
	count: number;
	/** 95th percentile in milliseconds, at least `minDelayMs`; undefined with too few samples. */
	percentile: number | undefined;
};

export function createHedgePolicy({budget, maxServices = 512}: HedgePolicyOptions): HedgePolicy {
	const windows = new Map<string, LatencyWindow>();

	function delay(request: Pick<HedgeCandidate, 'service' | 'method' | 'idempotentMethods'>) {
		return isIdempotent(request) ? windows.get(request.service)?.percentile : undefined;
	}

	function windowOf(service: string): LatencyWindow {
		const window = windows.get(service) ?? {
			samples: new Float64Array(windowSize),
			count: 0,
			percentile: undefined,
		};
		// Reinsertion keeps the map in the order of the last recorded latency.
		windows.delete(service);
		windows.set(service, window);
		if (windows.size > maxServices) {
			windows.delete(windows.keys().next().value!);
		}

		return window;
	}

	return {
		delay,
		record(service, latency) {
			const window = windowOf(service);
			window.samples[window.count % windowSize] = latency;
			window.count++;
			const isDue = window.percentile === undefined || window.count % samplesPerRefresh === 0;
			if (isDue && window.count >= minSamples) {
				window.percentile = Math.max(minDelayMs, percentile95(window));
			}
		},
		decide(request, now) {
			const wait = delay(request);
			if (wait === undefined || request.isCommitted) {
				return 'no-hedge';
			}

			if (now < request.startedAt + wait) {
				return 'wait';
			}

			// A hedge that would probably end after the deadline only adds load.
			const isTooLate = now + wait > request.deadline;
			return !isTooLate && budget.take() ? 'hedge' : 'no-hedge';
		},
	};
}

function percentile95({samples, count}: LatencyWindow): number {
	const sorted = samples.slice(0, Math.min(count, windowSize)).sort();
	return sorted[Math.ceil(sorted.length * 0.95) - 1]!;
}
