/**
 * Tells from a late tick that the process was paused, so that whatever was decided before the
 * pause is checked again.
 */

export type PauseDetector = {
	/** Called once per interval; returns the pause in milliseconds, 0 when the tick is in time. */
	tick(now: number): number;
};

export type PauseDetectorOptions = {
	/** Milliseconds between two ticks. */
	readonly interval: number;
	/** Lateness in milliseconds that is ordinary scheduling delay. */
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
