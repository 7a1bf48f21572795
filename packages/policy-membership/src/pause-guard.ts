/**
 * Detects from a late tick that the process was paused, so that decisions made before the pause can
 * be checked again.
 */

export type PauseGuard = {
	/** Called once per interval; returns the pause in milliseconds, 0 when the tick is on time. */
	tick(now: number): number;
};

export type PauseGuardOptions = {
	/** Milliseconds between two ticks. */
	readonly interval: number;
	/** Milliseconds of lateness that count as ordinary scheduling delay. */
	readonly tolerance: number;
};

export function createPauseGuard({interval, tolerance}: PauseGuardOptions): PauseGuard {
	let lastTick: number | undefined;
	return {
		tick(now) {
			const lateness = lastTick === undefined ? 0 : now - lastTick - interval;
			lastTick = now;
			return lateness > tolerance ? lateness : 0;
		},
	};
}
