/**
 * A token bucket whose rate and capacity may change between two uses. Granted tokens count against
 * the capacity until they are settled, so free and granted tokens together never exceed it, except
 * for grants made before the capacity fell.
 */

export type TokenBucket = {
	/** Free tokens, including a fraction of a token; only whole ones can be granted. */
	readonly tokens: number;
	/** Granted tokens that may still be used. */
	readonly outstanding: number;
	/** Adds `refill` tokens, then drops those that exceed `limit` minus the outstanding tokens. */
	update(refill: number, limit: number): void;
	/** Grants at most `count` whole tokens; returns how many, 0 when there are none. */
	grant(count: number): number;
	/**
	 * Ends the grant of `count` outstanding tokens. If `isReturned`, they can be granted again;
	 * otherwise they were used or have expired, and are gone.
	 */
	settle(count: number, isReturned: boolean): void;
};

/** Tolerance for rounding errors of fractional refills, in tokens. */
const tolerance = 1e-9;

export function createTokenBucket(): TokenBucket {
	let tokens = 0;
	let outstanding = 0;
	let limit = 0;

	function clip(): void {
		tokens = Math.max(0, Math.min(tokens, limit - outstanding));
	}

	return {
		get tokens() {
			return tokens;
		},
		get outstanding() {
			return outstanding;
		},
		update(refill, newLimit) {
			tokens += refill;
			limit = newLimit;
			clip();
		},
		grant(count) {
			const granted = Math.min(count, Math.floor(tokens + tolerance));
			tokens = Math.max(0, tokens - granted);
			outstanding += granted;
			return granted;
		},
		settle(count, isReturned) {
			outstanding -= count;
			if (isReturned) {
				tokens += count;
				clip();
			}
		},
	};
}
