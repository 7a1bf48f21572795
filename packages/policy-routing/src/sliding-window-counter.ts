/**
 * Counts events in a sliding window that moves in steps. The memory use does not depend on the
 * number of events. Each `now` is in milliseconds of the monotonic clock.
 */
export type SlidingWindowCounter = {
	add(amount: number, now: number): void;
	/** Events of the last `window` milliseconds, or of up to one step more. */
	total(now: number): number;
};

export type SlidingWindowCounterOptions = {
	/** Milliseconds. */
	readonly window: number;
	/** Number of steps in a window; default: 10. */
	readonly steps?: number;
};

export function createSlidingWindowCounter({
	window,
	steps = 10,
}: SlidingWindowCounterOptions): SlidingWindowCounter {
	const stepLength = window / steps;
	const counts = Array.from({length: steps + 1}, () => 0);
	/** Steps are numbered from time 0; step n is counted at index n modulo the length of `counts`. */
	let newestStep = 0;

	function advance(now: number): void {
		const currentStep = Math.floor(now / stepLength);
		const passedSteps = Math.min(currentStep - newestStep, counts.length);
		for (let index = 1; index <= passedSteps; index++) {
			counts[(newestStep + index) % counts.length] = 0;
		}

		if (passedSteps > 0) {
			newestStep = currentStep;
			// After a pause longer than the window, every count is out of date.
			if (passedSteps === counts.length) {
				counts.fill(0);
			}
		}
	}

	return {
		add(amount, now) {
			advance(now);
			counts[newestStep % counts.length]! += amount;
		},
		total(now) {
			advance(now);
			return counts.reduce((sum, count) => sum + count, 0);
		},
	};
}
