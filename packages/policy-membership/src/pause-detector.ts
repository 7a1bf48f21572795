/**
 * Detects from a late tick that the process was paused, so that decisions made before the pause can
 * be checked again.
 */

export type PauseDetector = {
	/**
	 * Called once per interval. Returns by how many milliseconds the tick is late, or 0 within the
	 * tolerance.
	 */
	tick(now: number): number;
};

export type PauseDetectorOptions = {
	/** Milliseconds between two ticks. */
	readonly interval: number;
	/** Milliseconds of lateness that count as ordinary scheduling delay. */
	readonly tolerance: number;
};

export function createPauseDetector({interval, tolerance}: PauseDetectorOptions): PauseDetector {
	let lastTick: number | undefined;
	return {
		tick(now) {
			const lateness = lastTick === undefined ? 0 : now - lastTick - interval;
			lastTick = now;
			return lateness > tolerance ? lateness : 0;
		},
	};
}
