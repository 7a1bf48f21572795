/**
 * Limits the hedges of a service to a fraction of its requests, which the operator sets. Each
 * instance applies the fraction to the requests that it took itself: in the window that ends with a
 * hedge, it has sent at most `ratio` times as many hedges as it counted requests. The limit
 * therefore holds for the sum over any instances, whether or not they reach each other.
 *
 * A new process does not know what its predecessor sent within the window. At most `maxSaved` hedges
 * can therefore be saved, and a new process begins with as many less than none: what its predecessor
 * sent beyond the fraction of its last requests is then made up for by the requests of the
 * successor. Each `now` is in milliseconds of the monotonic clock.
 *
 * Load pattern: services of 50 to 200 requests a second over 40 to 100 instances, so an instance
 * earns a hedge only every few seconds. The window is long, because a tenth of the requests of ten
 * seconds would often be less than one hedge.
 */
import {createSlidingWindowCounter, type SlidingWindowCounter} from './sliding-window-counter.js';

export type HedgeLimit = {
	/** Counts a request of a caller. */
	countRequest(service: string, now: number): void;
	/** Whether one more hedge stays within the limit. */
	isOpen(service: string, now: number): boolean;
	countHedge(service: string, now: number): void;
};

export type HedgeLimitOptions = {
	/** Hedges per request, 0 to 1. */
	readonly ratio: number;
	/** Whether another process may have served at this instance before. */
	readonly hasPredecessor: boolean;
};

/** Milliseconds. */
export const hedgeWindowMs = 60_000;
const steps = 30;
/** Hedges that can be saved; a request is often late together with another one. */
const maxSaved = 2;
/**
 * A counter covers up to one step more than its window. Requests must not be counted for longer than
 * `hedgeWindowMs`, and hedges not for less.
 */
const requestWindowMs = (hedgeWindowMs * steps) / (steps + 1);

type Usage = {
	readonly requests: SlidingWindowCounter;
	readonly hedges: SlidingWindowCounter;
	/** Hedges that can be sent at once; negative while a new process makes up for its predecessor. */
	saved: number;
};

export function createHedgeLimit({ratio, hasPredecessor}: HedgeLimitOptions): HedgeLimit {
	const usages = new Map<string, Usage>();

	function usageOf(service: string): Usage {
		let usage = usages.get(service);
		if (usage === undefined) {
			usage = {
				requests: createSlidingWindowCounter({window: requestWindowMs, steps}),
				hedges: createSlidingWindowCounter({window: hedgeWindowMs, steps}),
				saved: hasPredecessor ? -maxSaved : 0,
			};
			usages.set(service, usage);
		}

		return usage;
	}

	return {
		countRequest(service, now) {
			const usage = usageOf(service);
			usage.requests.add(1, now);
			usage.saved = Math.min(maxSaved, usage.saved + ratio);
		},
		isOpen(service, now) {
			const {requests, hedges, saved} = usageOf(service);
			return saved >= 1 && hedges.total(now) + 1 <= ratio * requests.total(now);
		},
		countHedge(service, now) {
			const usage = usageOf(service);
			usage.hedges.add(1, now);
			usage.saved--;
		},
	};
}
