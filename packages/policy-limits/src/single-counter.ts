/**
 * Baseline for comparison: one elected counter per workspace that grants the whole rate without
 * regard to shares. In a partition each part elects its own counter, and each of them grants the
 * whole rate.
 */
import {createRateOwner, type RateOwner} from './rate-owner.js';
import {type RateLimitLookup} from './workspace-rate-limit.js';

/** Used with a `RateRequester` whose `ownerOf` returns the elected instance. */
export function createSingleCounter({limits}: {readonly limits: RateLimitLookup}): RateOwner {
	const whole = {current: 1, vested: 1, majoritySince: Number.MIN_SAFE_INTEGER};
	return createRateOwner({shareFractionOf: () => whole, limits, minorityFraction: () => 1});
}
