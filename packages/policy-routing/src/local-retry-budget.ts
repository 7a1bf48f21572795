/**
 * The part of the fleet's retry budget that one instance may use without coordination. Each service
 * has a budget of its own: in every window the fleet may send up to `ratio` times the service's
 * requests plus `reserve` as retries. Each instance applies the same ratio to its own requests and
 * uses an equal part of the reserve, so the limit holds for the whole fleet, also while instances
 * cannot reach each other. Each `now` is in milliseconds of the monotonic clock.
 */
import {createSlidingWindowCounter, type SlidingWindowCounter} from './sliding-window-counter.js';

export type LocalRetryBudgetOptions = {
	/** Retries per request, 0 to 1. */
	readonly ratio: number;
	/**
	 * Retries that the whole fleet may send to a service in each window in addition to those that
	 * `ratio` allows.
	 */
	readonly reserve: number;
	/** Milliseconds. */
	readonly window: number;
	/**
	 * Number of instances that share the reserve. If it is below the real number, the fleet may
	 * exceed the budget.
	 */
	readonly fleetSize: () => number;
};

export type LocalRetryBudget = {
	/** Counts a request of a caller, which increases the number of retries that are allowed. */
	countRequest(service: string, now: number): void;
	/** Takes one retry; false if this instance has used up its part of the service's budget. */
	take(service: string, now: number): boolean;
};

type Usage = {readonly requests: SlidingWindowCounter; readonly retries: SlidingWindowCounter};

export function createLocalRetryBudget(options: LocalRetryBudgetOptions): LocalRetryBudget {
	const usages = new Map<string, Usage>();

	function usageOf(service: string): Usage {
		let usage = usages.get(service);
		if (usage === undefined) {
			const {window} = options;
			usage = {
				requests: createSlidingWindowCounter({window}),
				retries: createSlidingWindowCounter({window}),
			};
			usages.set(service, usage);
		}

		return usage;
	}

	return {
		countRequest(service, now) {
			usageOf(service).requests.add(1, now);
		},
		take(service, now) {
			const {requests, retries} = usageOf(service);
			const maxRetries =
				options.ratio * requests.total(now) + options.reserve / Math.max(1, options.fleetSize());
			if (retries.total(now) + 1 > maxRetries) {
				return false;
			}

			retries.add(1, now);
			return true;
		},
	};
}
