/**
 * Notices silence. `touch` only stores a time, so that a busy stream does not set a timer for each
 * chunk; the timer looks at the stored time when it fires, and is set again for the rest.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type IdleTimer = {
	/** Something happened. */
	touch(): void;
	/** Silence does not count until `touch`, for example while the other side is to blame. */
	suspend(): void;
	stop(): void;
};

/** `limit` is in milliseconds. `onSilence` is called at most once. */
export function createIdleTimer(clock: Clock, limit: number, onSilence: () => void): IdleTimer {
	let lastTouch = clock.monotonic();
	let isSuspended = false;
	let cancel = clock.after(limit, check);

	function check(): void {
		const rest = isSuspended ? limit : lastTouch + limit - clock.monotonic();
		if (rest <= 0) {
			onSilence();
			return;
		}

		cancel = clock.after(rest, check);
	}

	return {
		touch() {
			isSuspended = false;
			lastTouch = clock.monotonic();
		},
		suspend() {
			isSuspended = true;
		},
		stop() {
			cancel();
		},
	};
}
