/**
 * Measures the recent demand of a workspace at this instance as an exponential moving average, in
 * constant memory.
 */

export type DemandMeter = {
	/** Counts one request. */
	count(now: number): void;
	/** Requests per millisecond. */
	rate(now: number): number;
};

/** Time in which earlier demand decays by a factor of e. */
const timeConstantMs = 500;

export function createDemandMeter(): DemandMeter {
	let average = 0;
	let updatedAt = 0;

	function decay(now: number): void {
		average *= Math.exp(-Math.max(0, now - updatedAt) / timeConstantMs);
		updatedAt = now;
	}

	return {
		count(now) {
			decay(now);
			average += 1 / timeConstantMs;
		},
		rate(now) {
			decay(now);
			return average;
		},
	};
}
