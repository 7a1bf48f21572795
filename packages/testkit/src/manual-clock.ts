/**
 * Clock for tests whose time advances only when a test advances it. Each simulated process has its
 * own clock, so that a test can pause a process, resume it late, or make its clock run fast.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type ManualClock = {
	/**
	 * Advances the time, multiplied by `speed`, and runs the timers that are due, in order of time.
	 */
	advance(milliseconds: number): void;
	/** Holds back all timers until `resume`, while time still advances. */
	pause(): void;
	/** Runs the overdue timers. */
	resume(): void;
	readonly isPaused: boolean;
} & Clock;

type Timer = {
	due: number;
	readonly interval: number | undefined;
	readonly callback: () => void;
	readonly order: number;
};

export type ManualClockOptions = {
	/** Initial value of `monotonic`, milliseconds; 0 by default. */
	readonly start?: number;
	/** Initial value of `wall`; the Unix epoch by default. */
	readonly wallStart?: Date;
	/** Speed of this clock relative to the time of the test; 1.001 is 0.1% fast. 1 by default. */
	readonly speed?: number;
};

export function createManualClock(options: ManualClockOptions = {}): ManualClock {
	const {start = 0, wallStart = new Date(0), speed = 1} = options;
	const timers = new Set<Timer>();
	let now = start;
	let isPaused = false;
	let order = 0;

	function schedule(delay: number, interval: number | undefined, callback: () => void) {
		const timer: Timer = {due: now + delay, interval, callback, order: order++};
		timers.add(timer);
		return () => {
			timers.delete(timer);
		};
	}

	/**
	 * Returns the first timer that is due by `limit`. Linear in the number of timers, of which tests
	 * have few.
	 */
	function findNextDue(limit: number): Timer | undefined {
		let earliest: Timer | undefined;
		for (const timer of timers) {
			const isEarlier =
				earliest === undefined ||
				timer.due < earliest.due ||
				(timer.due === earliest.due && timer.order < earliest.order);
			if (timer.due <= limit && isEarlier) {
				earliest = timer;
			}
		}

		return earliest;
	}

	// A callback may pause the clock, which the linter cannot detect.
	/* eslint-disable no-unmodified-loop-condition */
	function runDue(limit: number): void {
		for (
			let timer = findNextDue(limit);
			timer !== undefined && !isPaused;
			timer = findNextDue(limit)
		) {
			now = Math.max(now, timer.due);
			if (timer.interval === undefined) {
				timers.delete(timer);
			} else {
				// Does not make up for all ticks that were missed during a pause: the overdue tick runs,
				// and at most one more at the time of `resume`.
				timer.due = Math.max(timer.due + timer.interval, now);
			}

			timer.callback();
		}
	}

	/* eslint-enable no-unmodified-loop-condition */

	return {
		monotonic: () => now,
		wall: () => new Date(wallStart.getTime() + now - start),
		after: (delay, callback) => schedule(delay, undefined, callback),
		every: (interval, callback) => schedule(interval, interval, callback),
		advance(milliseconds) {
			const limit = now + milliseconds * speed;
			if (!isPaused) {
				runDue(limit);
			}

			now = limit;
		},
		pause() {
			isPaused = true;
		},
		resume() {
			isPaused = false;
			runDue(now);
		},
		get isPaused() {
			return isPaused;
		},
	};
}
