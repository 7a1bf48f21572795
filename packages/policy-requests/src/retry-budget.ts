/**
 * Bounds the extra load of retries and hedges. Over every window, retries and hedges are at most
 * `percent` of the real requests in it, plus `reserve`. Each instance keeps its own budget, so the
 * bound holds for the fleet without messages.
 */

export type RetryBudget = {
	/** Counts a request from a caller. */
	countRequest(): void;
	/** Takes one retry or hedge; false when the budget is used up. */
	take(): boolean;
	/** Gives back a retry or hedge that was taken and not sent. */
	refund(): void;
};

export type RetryBudgetOptions = {
	/** Whole percent of the real requests. */
	readonly percent?: number;
	/** Most retries that can be saved up. */
	readonly reserve?: number;
};

/** Credits that one retry costs. Whole numbers keep the bound free of rounding. */
const cost = 100;

/** The budget starts empty, so that a restart gives no extra retries. */
export function createRetryBudget({
	percent = 10,
	reserve = 10,
}: RetryBudgetOptions = {}): RetryBudget {
	const most = reserve * cost;
	let credits = 0;

	function add(amount: number): void {
		credits = Math.min(most, credits + amount);
	}

	return {
		countRequest() {
			add(percent);
		},
		take() {
			if (credits < cost) {
				return false;
			}

			credits -= cost;
			return true;
		},
		refund() {
			add(cost);
		},
	};
}
