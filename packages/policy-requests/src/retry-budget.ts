/**
 * Bounds the extra load of retries and hedges. In every window of time, retries and hedges are at
 * most `percent` of the requests of callers in it, plus `reserve`. Each instance keeps its own
 * budget, so the bound holds for the fleet without messages.
 */

export type RetryBudget = {
	/** Counts a request from a caller. */
	countRequest(): void;
	/** Takes one retry or hedge; false when the budget is used up. */
	take(): boolean;
	/** Refunds a retry or hedge that was taken and not sent. */
	refund(): void;
};

export type RetryBudgetOptions = {
	/** Whole percent of the requests of callers. */
	readonly percent?: number;
	/** Maximum unused retries that accumulate. */
	readonly reserve?: number;
};

/** Credits that one retry costs. Whole numbers keep the bound free of rounding. */
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
