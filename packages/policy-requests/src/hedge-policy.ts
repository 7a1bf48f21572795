/**
 * When a second copy of an idempotent request is sent although the first has not failed: after the
 * recent 95th percentile of latency of its service. Hedges share the budget of retries.
 */
import {type RetryBudget} from './retry-budget.js';
import {isIdempotent} from './retry-policy.js';

export type HedgeRequest = {
	readonly service: string;
	readonly method: string;
	readonly idempotentMethods: readonly string[];
	/** Monotonic milliseconds at which the first attempt was dispatched. */
	readonly startedAt: number;
	readonly deadline: number;
	readonly isCommitted: boolean;
};

export type HedgePolicyOptions = {
	readonly budget: RetryBudget;
	/** Services whose latency is kept; the one unused for longest is forgotten. */
	readonly maxServices?: number;
};

export type HedgePolicy = {
	/** Records the latency, in milliseconds, of an attempt that ended with `ok`. */
	record(service: string, latency: number): void;
	/** Milliseconds after dispatch at which to call `decide`; undefined when no hedge is possible. */
	delay(request: Omit<HedgeRequest, 'startedAt' | 'deadline' | 'isCommitted'>): number | undefined;
	/** Takes one hedge from the budget when, and only when, it returns `hedge`. */
	decide(request: HedgeRequest, now: number): 'hedge' | 'wait' | 'no-hedge';
};

/** Latencies kept per service. */
const windowSize = 256;

/** Below this number of samples the percentile says too little. */
const fewestSamples = 40;

/** The percentile is computed anew after this many samples, which keeps sorting off most requests. */
const refreshEvery = 32;

/** Milliseconds; a shorter delay would hedge requests that are only waiting for a timer. */
const shortestDelay = 2;

type Window = {
	readonly samples: Float64Array;
	count: number;
	percentile: number | undefined;
};

export function createHedgePolicy({
	budget,
	maxServices: mostServices = 512,
}: HedgePolicyOptions): HedgePolicy {
	const windows = new Map<string, Window>();

	function delay(request: Pick<HedgeRequest, 'service' | 'method' | 'idempotentMethods'>) {
		return isIdempotent(request) ? windows.get(request.service)?.percentile : undefined;
	}

	function windowOf(service: string): Window {
		const window = windows.get(service) ?? {
			samples: new Float64Array(windowSize),
			count: 0,
			percentile: undefined,
		};
		// Reinsertion keeps the map in order of use.
		windows.delete(service);
		windows.set(service, window);
		if (windows.size > mostServices) {
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
			const isDue = window.percentile === undefined || window.count % refreshEvery === 0;
			if (isDue && window.count >= fewestSamples) {
				window.percentile = Math.max(shortestDelay, percentile95(window));
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

			// A hedge that would probably not end in time is only load.
			const isTooLate = now + wait > request.deadline;
			return !isTooLate && budget.take() ? 'hedge' : 'no-hedge';
		},
	};
}

function percentile95({samples, count}: Window): number {
	const sorted = samples.slice(0, Math.min(count, windowSize)).sort();
	return sorted[Math.ceil(sorted.length * 0.95) - 1]!;
}
