/**
 * Decides whether a request that is late is hedged, that is sent to a second target while the first
 * is still at work. Combines the operator's limit, the budget that hedges share with retries, the
 * latencies of the service, and a check that not the whole service is slow. Each `now` is in
 * milliseconds of the monotonic clock.
 *
 * Load pattern: one in ten targets slow, so that a fifth of the requests is later than nine tenths
 * of all requests were. When a service is slow as a whole, nearly all are, and no hedge would help.
 */
import {createHedgeDelays, type LatencyEstimate} from './hedge-delays.js';
import {createHedgeLimit, type HedgeLimitOptions} from './hedge-limit.js';
import {type LocalRetryBudget} from './local-retry-budget.js';
import {createSlidingWindowCounter, type SlidingWindowCounter} from './sliding-window-counter.js';

export type HedgeRequest = {
	readonly service: string;
	/** Requests of one kind have similar latencies; for example downloads of the service. */
	readonly kind: string;
};

/** Why a late request is not hedged. */
export type HedgeRefusal =
	/** Most requests of the service are late. */
	| 'hedge-service-slow'
	/** The hedge would probably end after the deadline. */
	| 'hedge-too-late'
	/** The operator's limit is reached. */
	| 'hedge-limit'
	/** The rest of the retry budget is kept for retries. */
	| 'hedge-budget'
	/** The service has no room, or no target is fit for a hedge. */
	| 'hedge-no-room';

export type HedgeDecisions = {
	/** Counts a request of a caller; the limit grows with this count. */
	countRequest(service: string, now: number): void;
	/** Records the latency of an attempt in milliseconds, as `HedgeDelays` does. */
	recordLatency(request: HedgeRequest, latency: number, now: number): void;
	/** Records for how many milliseconds an attempt waited in vain, as `HedgeDelays` does. */
	recordGivenUp(request: HedgeRequest, elapsed: number, now: number): void;
	/**
	 * Milliseconds after dispatch at which to decide; undefined if there is no basis for it. Must be
	 * called once for each first attempt that could be hedged.
	 */
	delay(request: HedgeRequest, now: number): number | undefined;
	/** Must be called once for each request that is late. `deadline` is in monotonic milliseconds. */
	checkLate(request: HedgeRequest, deadline: number, now: number): HedgeRefusal | undefined;
	/** Takes one hedge from the limit and from the budget, or neither. */
	take(service: string, now: number): HedgeRefusal | undefined;
};

export type HedgeDecisionsOptions = HedgeLimitOptions & {
	readonly retryBudget: Pick<LocalRetryBudget, 'takeSpare'>;
};

/** Milliseconds over which late requests are compared with all. */
const lateWindowMs = 10_000;
/** A service is slow if more than this fraction of its requests is late, and two more. */
const maxLateRatio = 0.25;
const minLateRequests = 2;

type Lateness = {readonly all: SlidingWindowCounter; readonly late: SlidingWindowCounter};

export function createHedgeDecisions(options: HedgeDecisionsOptions): HedgeDecisions {
	const delays = createHedgeDelays();
	const limit = createHedgeLimit(options);
	const latenesses = new Map<string, Lateness>();

	function latenessOf(service: string): Lateness {
		let lateness = latenesses.get(service);
		if (lateness === undefined) {
			lateness = {
				all: createSlidingWindowCounter({window: lateWindowMs}),
				late: createSlidingWindowCounter({window: lateWindowMs}),
			};
			latenesses.set(service, lateness);
		}

		return lateness;
	}

	function nameOf({service, kind}: HedgeRequest): string {
		return `${service} ${kind}`;
	}

	function estimateOf(request: HedgeRequest, now: number): LatencyEstimate | undefined {
		return delays.estimateOf(nameOf(request), now);
	}

	function isServiceSlow(service: string, now: number): boolean {
		const {all, late} = latenessOf(service);
		return late.total(now) > minLateRequests + maxLateRatio * all.total(now);
	}

	return {
		countRequest: limit.countRequest,
		recordLatency(request, latency, now) {
			delays.record(nameOf(request), latency, now);
		},
		recordGivenUp(request, elapsed, now) {
			delays.recordGivenUp(nameOf(request), elapsed, now);
		},
		delay(request, now) {
			const estimate = estimateOf(request, now);
			if (estimate !== undefined) {
				latenessOf(request.service).all.add(1, now);
			}

			return estimate?.delay;
		},
		checkLate(request, deadline, now) {
			const {service} = request;
			latenessOf(service).late.add(1, now);
			if (isServiceSlow(service, now)) {
				return 'hedge-service-slow';
			}

			const estimate = estimateOf(request, now);
			return estimate === undefined || now + estimate.median > deadline
				? 'hedge-too-late'
				: undefined;
		},
		take(service, now) {
			if (!limit.isOpen(service, now)) {
				return 'hedge-limit';
			}

			if (!options.retryBudget.takeSpare(service, now)) {
				return 'hedge-budget';
			}

			limit.countHedge(service, now);
			return undefined;
		},
	};
}
