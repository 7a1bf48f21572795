/**
 * Clock interface. Time is injected, so that tests and replays can control it.
 */

export type Clock = {
	/**
	 * Milliseconds since an arbitrary origin. Never decreases, and includes time during which the
	 * process was stopped. Time for which the machine was suspended may be missing.
	 */
	monotonic(): number;
	/** Date and time of day, which may jump in either direction. */
	wall(): Date;
	/**
	 * Calls `callback` once after `delay` milliseconds. Returns a function that cancels the timer.
	 */
	after(delay: number, callback: () => void): () => void;
	/** Calls `callback` every `interval` milliseconds. Returns a function that cancels the timer. */
	every(interval: number, callback: () => void): () => void;
};

/**
 * Wall-clock time minus monotonic time, in milliseconds. It grows by the time for which the machine
 * was suspended, if the monotonic clock stood still meanwhile, and changes with each step of the
 * wall clock.
 */
export function readClockOffset(clock: Clock): number {
	return clock.wall().getTime() - clock.monotonic();
}

/** The clock of the operating system. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
	return {
		monotonic: () => performance.now(),
		wall: () => new Date(),
		after(delay, callback) {
			const timer = setTimeout(callback, delay);
			timer.unref();
			return () => {
				clearTimeout(timer);
			};
		},
		every(interval, callback) {
			const timer = setInterval(callback, interval);
			timer.unref();
			return () => {
				clearInterval(timer);
			};
		},
	};
}
