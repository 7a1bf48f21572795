/**
 * A timer that fires after a time without activity. `touch` only stores the time, so that a busy
 * stream does not set a timer for each chunk; when the timer fires, it checks the stored time and
 * is set again for the remainder.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type IdleTimer = {
	/** Records activity. */
	touch(): void;
	/**
	 * Stops counting until `touch`, for example while a sender is silent because its receiver is
	 * slow.
	 */
	suspend(): void;
	stop(): void;
};

/** `timeout` is in milliseconds. `onIdle` is called at most once. */
export function createIdleTimer(clock: Clock, timeout: number, onIdle: () => void): IdleTimer {
	let lastActivity = clock.monotonic();
	let isSuspended = false;
	let cancel = clock.after(timeout, check);

	function check(): void {
		const remaining = isSuspended ? timeout : lastActivity + timeout - clock.monotonic();
		if (remaining <= 0) {
			onIdle();
			return;
		}

		cancel = clock.after(remaining, check);
	}

	return {
		touch() {
			isSuspended = false;
			lastActivity = clock.monotonic();
		},
		suspend() {
			isSuspended = true;
		},
		stop() {
			cancel();
		},
	};
}
