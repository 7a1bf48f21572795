/**
 * Time as an interface, so that every decision can be replayed with a steerable clock.
 */

export type Clock = {
	/**
	 * Milliseconds since an arbitrary origin. Never goes back, and includes time during which the
	 * process was stopped.
	 */
	monotonic(): number;
	wall(): Date;
	/** Calls back once after `delay` milliseconds; the returned function cancels. */
	after(delay: number, callback: () => void): () => void;
	/** Calls back every `interval` milliseconds; the returned function cancels. */
	every(interval: number, callback: () => void): () => void;
};

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
