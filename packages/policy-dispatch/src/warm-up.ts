/**
 * Slow start of a target: raises its slots from `coldSlots` to `slots`, one at a time, each after a
 * number of successful responses and a minimum time.
 */

export type WarmUpOptions = {
	readonly slots: number;
	readonly coldSlots: number;
	/** Number of successful responses for each step. */
	readonly warmUpAnswers: number;
	/** Minimum time for each step. Milliseconds. */
	readonly warmUpStep: number;
};

export type WarmUp = {
	/** Number of concurrent requests that the target may get at present. */
	readonly allowedSlots: number;
	readonly isWarm: boolean;
	/** Resets the target to `coldSlots`. */
	restart(now: number): void;
	/** Counts a successful response. */
	recordSuccess(now: number): void;
	/**
	 * Raises the slots to the number that a former coordinator or an open grant reports, at most to
	 * `slots`; never lowers them.
	 */
	raise(allowed: number, now: number): void;
};

export function createWarmUp(options: WarmUpOptions, now: number): WarmUp {
	const {slots, warmUpAnswers, warmUpStep} = options;
	const coldSlots = Math.min(options.coldSlots, slots);
	let allowed = coldSlots;
	let successes = 0;
	let lastStepAt = now;

	function startStep(next: number, time: number): void {
		allowed = next;
		successes = 0;
		lastStepAt = time;
	}

	return {
		get allowedSlots() {
			return allowed;
		},
		get isWarm() {
			return allowed >= slots;
		},
		restart(time) {
			startStep(coldSlots, time);
		},
		recordSuccess(time) {
			successes++;
			if (allowed < slots && successes >= warmUpAnswers && time - lastStepAt >= warmUpStep) {
				startStep(allowed + 1, time);
			}
		},
		raise(next, time) {
			if (next > allowed) {
				startStep(Math.min(next, slots), time);
			}
		},
	};
}
