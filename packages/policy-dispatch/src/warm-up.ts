/**
 * Slow start of a target: from `coldSlots` up to `slots`, one slot at a time, each after a number of
 * good answers and a minimum time.
 */

export type WarmUpOptions = {
	readonly slots: number;
	readonly coldSlots: number;
	/** Good answers for each step. */
	readonly warmUpAnswers: number;
	/** Milliseconds, the shortest time for each step. */
	readonly warmUpStep: number;
};

export type WarmUp = {
	/** Requests that the target bears at once for now. */
	readonly allowed: number;
	readonly isWarm: boolean;
	/** Back to `coldSlots`. */
	restart(now: number): void;
	/** Counts a good answer. */
	recordSuccess(now: number): void;
	/** Takes over what a predecessor or an open grant says; never lowers. */
	raise(allowed: number, now: number): void;
};

export function createWarmUp(options: WarmUpOptions, now: number): WarmUp {
	const {slots, warmUpAnswers, warmUpStep} = options;
	const coldSlots = Math.min(options.coldSlots, slots);
	let allowed = coldSlots;
	let good = 0;
	let lastStep = now;

	function startStep(next: number, time: number): void {
		allowed = next;
		good = 0;
		lastStep = time;
	}

	return {
		get allowed() {
			return allowed;
		},
		get isWarm() {
			return allowed >= slots;
		},
		restart(time) {
			startStep(coldSlots, time);
		},
		recordSuccess(time) {
			good++;
			if (allowed < slots && good >= warmUpAnswers && time - lastStep >= warmUpStep) {
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
