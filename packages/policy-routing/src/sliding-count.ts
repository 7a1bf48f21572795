/**
 * Counts events in a sliding window that moves in steps. The memory use does not depend on the
 * number of events.
 */
export type SlidingCount = {
	add(amount: number, now: number): void;
	/** Events of the last `window` milliseconds, or of up to one step more. */
	total(now: number): number;
};

export type SlidingCountOptions = {
	/** Milliseconds. */
	readonly window: number;
	/** Number of steps in a window. */
	readonly steps?: number;
};

export function createSlidingCount({window, steps = 10}: SlidingCountOptions): SlidingCount {
	const step = window / steps;
	const counts = Array.from({length: steps + 1}, () => 0);
	let current = 0;

	function advance(now: number): void {
		const newest = Math.floor(now / step);
		const passed = Math.min(newest - current, counts.length);
		for (let index = 1; index <= passed; index++) {
			counts[(current + index) % counts.length] = 0;
		}

		if (passed > 0) {
			current = newest;
			// After a pause longer than the window no step counts any more, whatever its index.
			if (passed === counts.length) {
				counts.fill(0);
			}
		}
	}

	return {
		add(amount, now) {
			advance(now);
			counts[current % counts.length]! += amount;
		},
		total(now) {
			advance(now);
			return counts.reduce((sum, count) => sum + count, 0);
		},
	};
}
