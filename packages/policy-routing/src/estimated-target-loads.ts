/**
 * Estimates how many requests the whole fleet has at each target. Other failure domains do not
 * report their requests in flight, and in a large domain such reports are hundreds of milliseconds
 * old, while a request may take less. The outcomes of requests are reported by all instances, and by
 * Little's law the mean number of requests in progress is the sum of the latencies of all requests
 * that end in a span of time, divided by that span.
 *
 * Answers a load in which many instances, each with few requests, prefer the same targets: those
 * with the latest successes. Their queues grow while others idle, although every instance sees only
 * its own one or two requests there. Each `now` is in milliseconds of the monotonic clock.
 */
import {createDecayingValue, decay, type DecayingValue} from './decaying-value.js';

export type EstimatedTargetLoads = {
	/** Adds the sum of the latencies, in milliseconds, of requests that ended at the target. */
	add(incarnation: string, latency: number, now: number): void;
	/** Estimated mean number of requests in progress at the target in the last second or two. */
	requestsAt(incarnation: string, now: number): number;
	/** Removes targets without requests for a while. */
	prune(now: number): void;
};

/**
 * Half-life of the weight of an ended request. It is longer than the interval of reports from other
 * failure domains (750 ms at most), so that the estimate does not swing with their arrival.
 */
const halfLifeMs = 1000;
/** The sum of weights of a steady flow is the flow per millisecond times this span. */
const meanAgeMs = halfLifeMs / Math.LN2;
/** Number of requests below which the estimate of a target is as good as zero. */
const minRequests = 0.001;

export function createEstimatedTargetLoads(): EstimatedTargetLoads {
	const latencies = new Map<string, DecayingValue>();

	function requestsOf(latency: DecayingValue, now: number): number {
		return decay(latency, now, halfLifeMs) / meanAgeMs;
	}

	return {
		add(incarnation, latency, now) {
			let known = latencies.get(incarnation);
			if (known === undefined) {
				known = createDecayingValue(now);
				latencies.set(incarnation, known);
			}

			decay(known, now, halfLifeMs);
			known.value += latency;
		},
		requestsAt(incarnation, now) {
			const latency = latencies.get(incarnation);
			return latency === undefined ? 0 : requestsOf(latency, now);
		},
		prune(now) {
			for (const [incarnation, latency] of latencies) {
				if (requestsOf(latency, now) < minRequests) {
					latencies.delete(incarnation);
				}
			}
		},
	};
}
