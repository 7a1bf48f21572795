/** Counts events in sliding windows, for checks of limits that apply to every window. */

/**
 * Largest number of events within any span of `window` milliseconds, the end excluded. `times` are in
 * ascending order.
 */
export function countMaxInWindow(times: readonly number[], window: number): number {
	let max = 0;
	let first = 0;
	for (const [index, at] of times.entries()) {
		while (at - times[first]! >= window) {
			first++;
		}

		max = Math.max(max, index - first + 1);
	}

	return max;
}
