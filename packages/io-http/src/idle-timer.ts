/**
 * A timer that fires after a time without activity. `touch` only stores the time, so that a busy
 * stream does not set a timer for each chunk; when the timer fires, it checks the stored time and
 * is set again for the remainder.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type IdleTimer = {
	/** Records activity. */
	touch(): void;
	/** Stops counting until `touch`, for example while the other side causes the silence. */
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
