/**
 * Counts events over a sliding window in steps, with memory that does not depend on their number.
 */
export type SlidingCount = {
	add(amount: number, now: number): void;
	/** Events of the last `window` milliseconds; up to one step more. */
	total(now: number): number;
};

export type SlidingCountOptions = {
	/** Milliseconds. */
	readonly window: number;
	readonly steps?: number;
};

export function createSlidingCount({window, steps = 10}: SlidingCountOptions): SlidingCount {
	const step = window / steps;
	const counts = Array.from({length: steps + 1}, () => 0);
	let current = 0;

	function advance(now: number): void {
		const target = Math.floor(now / step);
		const passed = Math.min(target - current, counts.length);
		for (let index = 1; index <= passed; index++) {
			counts[(current + index) % counts.length] = 0;
		}

		if (passed > 0) {
			current = target;
			// After a long pause every step was cleared, whatever its index.
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
