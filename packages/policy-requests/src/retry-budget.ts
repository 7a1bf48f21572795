/**
 * Bounds the extra load of retries and hedges by a token bucket that is filled by the requests from
 * callers and not by time. In any window of time, the retries and hedges of an instance number at
 * most `percent` percent of the requests that it received from callers in that window, plus
 * `reserve`. Each instance keeps its own budget, so the percentage holds for the fleet without
 * messages, with one reserve per instance.
 */

export type RetryBudget = {
	/** Counts a request from a caller. */
	countRequest(): void;
	/** Takes one retry or hedge from the budget; returns false when none is left. */
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
 * Tokens that one retry or hedge costs; each request from a caller adds `percent` tokens. Because
 * both are whole numbers, no rounding errors accumulate that would make the bound inexact.
 */
const tokensPerRetry = 100;

/** The budget starts empty, so that a restart gives no extra retries. */
export function createRetryBudget({
	percent = 10,
	reserve = 10,
}: RetryBudgetOptions = {}): RetryBudget {
	const maxTokens = reserve * tokensPerRetry;
	let tokens = 0;

	function add(amount: number): void {
		tokens = Math.min(maxTokens, tokens + amount);
	}

	return {
		countRequest() {
			add(percent);
		},
		take() {
			if (tokens < tokensPerRetry) {
				return false;
			}

			tokens -= tokensPerRetry;
			return true;
		},
		refund() {
			add(tokensPerRetry);
		},
	};
}
