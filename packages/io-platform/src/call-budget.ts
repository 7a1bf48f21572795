/**
 * Limits the rate of the calls of one client, so that it cannot flood the platform in whatever
 * state the client or the platform is. In any period of t seconds at most
 * `burst + callsPerSecond * t` calls begin.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {PlatformError} from './platform-error.js';
import {sleep} from './sleep.js';

/**
 * Hard cap that no option may exceed. The configuration service handles 2,000 reads/s, more than
 * the 1,600 calls/s of 800 instances at the cap.
 */
export const maxCallsPerSecond = 2;
/**
 * Hard cap of the burst. Enough to read a manifest and the largest number of parts that it may list
 * without a delay.
 */
export const maxBurst = 65;

export type CallBudgetOptions = {
	readonly clock: Clock;
	readonly callsPerSecond: number;
	readonly burst: number;
};

export type CallBudget = {
	/** Resolves when a call may begin; rejects only when the signal is aborted. */
	take(signal: AbortSignal): Promise<void>;
};

/** Throws a `PlatformError` (`invalid-options`) if an option is out of range. */
export function createCallBudget({clock, callsPerSecond, burst}: CallBudgetOptions): CallBudget {
	const isRateValid = callsPerSecond > 0 && callsPerSecond <= maxCallsPerSecond;
	if (!isRateValid || !(burst >= 1 && burst <= maxBurst)) {
		throw new PlatformError(
			'invalid-options',
			`callsPerSecond must be above 0 and at most ${maxCallsPerSecond}, and burst 1 to ${maxBurst}`,
		);
	}

	let tokens = burst;
	let filledAt = clock.monotonic();

	function refill(): void {
		const now = clock.monotonic();
		tokens = Math.min(burst, tokens + ((now - filledAt) / 1000) * callsPerSecond);
		filledAt = now;
	}

	return {
		async take(signal) {
			refill();
			while (tokens < 1) {
				await sleep(clock, Math.ceil(((1 - tokens) / callsPerSecond) * 1000), signal);
				refill();
			}

			tokens -= 1;
		},
	};
}
