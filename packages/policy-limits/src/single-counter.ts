/**
 * Baseline for comparison: one elected counter per workspace that grants the whole rate without
 * regard to shares. In a partition each part elects its own counter, and each of them grants the
 * whole rate.
 */
import {createRateOwner, type RateOwner} from './rate-owner.js';
import {type LimitsLookup} from './workspace-limits.js';

/** Used with a `RateRequester` whose `owner` is the elected instance. */
export function createSingleCounter({limits}: {readonly limits: LimitsLookup}): RateOwner {
	const whole = {current: 1, vested: 1, majoritySince: Number.MIN_SAFE_INTEGER};
	return createRateOwner({fraction: () => whole, limits, minorityFraction: () => 1});
}
