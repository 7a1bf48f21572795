/**
 * A clock that stands still until a test advances it. Each fake process has a clock of its own, so
 * that a test can pause one process, let it wake late, or make its clock run fast.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type SteerableClock = {
	/** Advances by milliseconds and runs the timers that fall due, in order of time. */
	advance(milliseconds: number): void;
	/** While paused, time passes but no timer runs; overdue timers run on resume. */
	pause(): void;
	resume(): void;
	readonly isPaused: boolean;
} & Clock;

type Timer = {
	due: number;
	readonly interval: number | undefined;
	readonly callback: () => void;
	readonly order: number;
};

export type SteerableClockOptions = {
	/** Milliseconds. */
	readonly start?: number;
	readonly wallStart?: Date;
	/** Speed of this clock against the test's time; 1.001 runs 0.1% fast. */
	readonly speed?: number;
};

export function createSteerableClock(options: SteerableClockOptions = {}): SteerableClock {
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

	/** Linear in the number of timers, which is small in tests. */
	function nextDue(limit: number): Timer | undefined {
		let next: Timer | undefined;
		for (const timer of timers) {
			const isEarlier =
				next === undefined ||
				timer.due < next.due ||
				(timer.due === next.due && timer.order < next.order);
			if (timer.due <= limit && isEarlier) {
				next = timer;
			}
		}

		return next;
	}

	// A callback may pause the clock, which the linter does not see.
	/* eslint-disable no-unmodified-loop-condition */
	function runDue(limit: number): void {
		for (let timer = nextDue(limit); timer !== undefined && !isPaused; timer = nextDue(limit)) {
			now = Math.max(now, timer.due);
			if (timer.interval === undefined) {
				timers.delete(timer);
			} else {
				// Like setInterval, missed ticks during a pause are not made up for.
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
