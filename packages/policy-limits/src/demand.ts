/**
 * Measures the recent local demand of a workspace as an exponentially decaying average, in constant
 * memory.
 */

export type Demand = {
	count(now: number): void;
	/** Requests per millisecond. */
	rate(now: number): number;
};

/** Milliseconds in which earlier demand decays by a factor of e. */
const memory = 500;

export function createDemand(): Demand {
	let average = 0;
	let updatedAt = 0;

	function fade(now: number): void {
		average *= Math.exp(-Math.max(0, now - updatedAt) / memory);
		updatedAt = now;
	}

	return {
		count(now) {
			fade(now);
			average += 1 / memory;
		},
		rate(now) {
			fade(now);
			return average;
		},
	};
}
