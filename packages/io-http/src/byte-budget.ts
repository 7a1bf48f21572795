/**
 * A number of bytes that several holders share, so that what all of them keep in memory is bounded.
 */
export type ByteBudget = {
	/** Takes bytes from the budget; false, and without effect, if fewer are left. */
	take(bytes: number): boolean;
	/** Gives back bytes that were taken. */
	release(bytes: number): void;
};

export function createByteBudget(max: number): ByteBudget {
	let left = max;
	return {
		take(bytes) {
			if (bytes > left) {
				return false;
			}

			left -= bytes;
			return true;
		},
		release(bytes) {
			left += bytes;
		},
	};
}
