/**
 * Baseline for comparison: every instance may use a fixed equal part of each rate and burst. Such a
 * split needs no messages and keeps the limits in every partition, except bursts below one token
 * per instance. If requests arrive at the instances unevenly, some are refused although the rate is
 * not used up.
 */
import {createRateRequester, type RateRequester} from './rate-requester.js';
import {type RateLimitLookup} from './workspace-rate-limit.js';

export type StaticSplitOptions = {
	/** Number of parts, at least the number of instances. */
	readonly instances: number;
	readonly limits: RateLimitLookup;
};

/** A burst of less than one token per instance is raised to one token per instance. */
export function createStaticSplit({instances, limits}: StaticSplitOptions): RateRequester {
	return createRateRequester({
		ownerOf: () => undefined,
		ownShare: () => 1 / instances,
		minorityFraction: () => 1,
		limits(workspace) {
			const whole = limits(workspace);
			return whole && {rate: whole.rate, burst: Math.max(whole.burst, instances)};
		},
	});
}
