/**
 * The part of the fleet's retry budget that one instance may use without coordination. Each service
 * has a budget of its own: in every window the fleet may send up to `ratio` times the service's
 * requests plus `reserve` as retries. Each instance applies the same ratio to its own requests and
 * uses an equal part of the reserve, so the limit holds for the whole fleet, also while instances
 * cannot reach each other.
 *
 * A new process does not know what its predecessor has spent within the window. The budget is
 * therefore refilled evenly, only a part of it can be saved, and a new process sends no retries for
 * as long as that part takes to be refilled. A process that spent what it could before it was killed
 * and its successor then stay within one budget together, also when all instances restart at once.
 * Each `now` is in milliseconds of the monotonic clock.
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
	/**
	 * Monotonic milliseconds of the start of this instance; negative infinity if no process can have
	 * run before it.
	 */
	readonly startedAt: number;
};

export type LocalRetryBudget = {
	/** Counts a request of a caller, which increases the number of retries that are allowed. */
	countRequest(service: string, now: number): void;
	/** Takes one retry; false if this instance has used up its part of the service's budget. */
	take(service: string, now: number): boolean;
	/**
	 * Takes one from what retries can spare, for a hedge: at least half of the budget of the window,
	 * and half of what can be saved, must be left over.
	 */
	takeSpare(service: string, now: number): boolean;
};

/**
 * Part of the budget of a window that can be spent at once. A larger part replaces more responses at
 * the beginning of an incident; a smaller one lets a new process send retries sooner.
 */
const burstFraction = 0.5;
/** Retries that can be saved however small the budget is, because a request may need two. */
const minBurst = 2;
/** Part of the budget, and of what can be saved of it, that only retries can use. */
const retriesOnlyFraction = 0.5;
/**
 * A counter's window is longer than `window` by up to one step. For requests the steps are short:
 * one of a tenth of the window would use up the margin of a busy service.
 */
const requestSteps = 50;
/**
 * Windows after which a budget of one retry or more has been refilled in any case; bounds the time
 * since the last refill, which is infinite at the first start of a fleet.
 */
const maxRefillWindows = 10;
/** Minimum milliseconds over which a new process extrapolates its requests to a whole window. */
const minObservationMs = 1000;

type Usage = {
	readonly requests: SlidingWindowCounter;
	readonly retries: SlidingWindowCounter;
	/**
	 * Retries that can be sent at once; negative while a new process waits, undefined before the
	 * first refill.
	 */
	saved: number | undefined;
	/** Monotonic milliseconds of the last refill. */
	refilledAt: number;
};

export function createLocalRetryBudget(options: LocalRetryBudgetOptions): LocalRetryBudget {
	const {startedAt, window} = options;
	const usages = new Map<string, Usage>();

	function usageOf(service: string): Usage {
		let usage = usages.get(service);
		if (usage === undefined) {
			usage = {
				requests: createSlidingWindowCounter({window, steps: requestSteps}),
				retries: createSlidingWindowCounter({window}),
				saved: undefined,
				refilledAt: startedAt,
			};
			usages.set(service, usage);
		}

		return usage;
	}

	/** This instance's part of the budget of one window. */
	function budgetOf({requests}: Usage, now: number): number {
		const observedMs = Math.min(window, Math.max(minObservationMs, now - startedAt));
		const requestsPerWindow = (requests.total(now) / observedMs) * window;
		return options.ratio * requestsPerWindow + options.reserve / Math.max(1, options.fleetSize());
	}

	function maxSavedOf(budget: number): number {
		return Math.max(minBurst, budget * burstFraction);
	}

	/** Returns the number of retries that can be sent at once. */
	function refill(usage: Usage, budget: number, now: number): number {
		const maxSaved = maxSavedOf(budget);
		// An earlier process may have spent as much just before this one started.
		const before = usage.saved ?? -Math.min(maxSaved, budget);
		const elapsed = Math.min(maxRefillWindows * window, now - usage.refilledAt);
		usage.saved = Math.min(maxSaved, before + (elapsed / window) * budget);
		usage.refilledAt = now;
		return usage.saved;
	}

	/** Takes one if the given fraction of the budget is left over. */
	function takeBeyond(keptFraction: number, service: string, now: number): boolean {
		const usage = usageOf(service);
		const budget = budgetOf(usage, now);
		const saved = refill(usage, budget, now);
		const isSpent =
			saved < 1 + keptFraction * maxSavedOf(budget) ||
			usage.retries.total(now) + 1 > budget * (1 - keptFraction);
		if (isSpent) {
			return false;
		}

		usage.saved = saved - 1;
		usage.retries.add(1, now);
		return true;
	}

	return {
		countRequest(service, now) {
			usageOf(service).requests.add(1, now);
		},
		take: (service, now) => takeBeyond(0, service, now),
		takeSpare: (service, now) => takeBeyond(retriesOnlyFraction, service, now),
	};
}
