/**
 * Bounds the extra load of retries and hedges. In every window of time, an instance sends at most
 * `percent` percent of the number of requests from callers in it, plus `reserve`, as retries and
 * hedges. Each instance keeps its own budget, so the percentage holds for the fleet without
 * messages, with one reserve per instance.
 */

export type RetryBudget = {
	/** Counts a request from a caller. */
	countRequest(): void;
	/** Takes one retry or hedge; false when the budget is used up. */
	take(): boolean;
	/** Restores one retry or hedge that was taken from the budget and not sent. */
	refund(): void;
};

export type RetryBudgetOptions = {
	/**
	 * Retries and hedges as a percentage of the requests from callers; a whole number, 10 by default.
	 */
	readonly percent?: number;
	/** Maximum number of unused retries and hedges that accumulate; 10 by default. */
	readonly reserve?: number;
};

/**
 * Credits that one retry or hedge costs; each request from a caller adds `percent` credits. Because
 * both are whole numbers, no rounding errors accumulate that would make the bound inexact.
 */
const creditsPerRetry = 100;

/** The budget starts empty, so that a restart gives no extra retries. */
export function createRetryBudget({
	percent = 10,
	reserve = 10,
}: RetryBudgetOptions = {}): RetryBudget {
	const maxCredits = reserve * creditsPerRetry;
	let credits = 0;

	function add(amount: number): void {
		credits = Math.min(maxCredits, credits + amount);
	}

	return {
		countRequest() {
			add(percent);
		},
		take() {
			if (credits < creditsPerRetry) {
				return false;
			}

			credits -= creditsPerRetry;
			return true;
		},
		refund() {
			add(creditsPerRetry);
		},
	};
}
