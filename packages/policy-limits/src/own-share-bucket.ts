/**
 * Token bucket for the part of a workspace's rate that an instance uses itself while it lends its
 * share to no one. The bucket starts empty each time the share is no longer lent, and is then
 * unusable until the grants of the last owner have expired. It admits nothing if burst x
 * `fleet.minorityFraction` / `fleet.maxInstances` is below one token.
 */
import {createTokenBucket} from './token-bucket.js';
import {
	ownerTokenGrantTtl,
	tokenCapacity,
	type WorkspaceRateLimit,
} from './workspace-rate-limit.js';

export type OwnShareBucket = {
	/**
	 * Takes one token; returns whether there was one. `authority` is the part of the rate and burst, 0
	 * to 1, that this instance may use itself, and 0 while its share is lent. After more than
	 * `maxGapMs` milliseconds without a call of `take` or `observe`, the bucket starts empty again.
	 */
	take(limits: WorkspaceRateLimit | undefined, authority: number, now: number): boolean;
	/** Refills or empties the bucket as `take` does, without taking a token. */
	observe(limits: WorkspaceRateLimit | undefined, authority: number, now: number): void;
};

/**
 * Maximum milliseconds between two calls for which a share that is not lent at either call counts
 * as not lent in between. In less time, the share cannot have been lent and taken back: to take it
 * back, the instance must wait until the owner confirms the change or the lease ends.
 */
const maxGapMs = 100;

export function createOwnShareBucket(): OwnShareBucket {
	let bucket = createTokenBucket();
	let capacity = 0;
	let observedAt = Number.NEGATIVE_INFINITY;
	/** Monotonic milliseconds from which the bucket fills; infinite while the authority is 0. */
	let usableFrom = Number.POSITIVE_INFINITY;

	function restart(now: number, authority: number): void {
		bucket = createTokenBucket();
		capacity = 0;
		usableFrom = authority > 0 ? now + ownerTokenGrantTtl : Number.POSITIVE_INFINITY;
	}

	function observe(limits: WorkspaceRateLimit | undefined, authority: number, now: number): void {
		const isUnused = authority === 0 && usableFrom === Number.POSITIVE_INFINITY;
		if (isUnused) {
			observedAt = now;
			return;
		}

		const isUninterrupted = usableFrom < Number.POSITIVE_INFINITY && now - observedAt <= maxGapMs;
		if (!isUninterrupted || authority === 0) {
			restart(now, authority);
		}

		if (limits !== undefined && now > usableFrom) {
			const elapsed = now - Math.max(usableFrom, observedAt);
			const newCapacity = tokenCapacity(limits.burst, authority, false);
			bucket.update((limits.rate * authority * elapsed) / 1000, Math.min(capacity, newCapacity));
			capacity = newCapacity;
		}

		observedAt = now;
	}

	return {
		observe,
		take(limits, authority, now) {
			observe(limits, authority, now);
			const isTaken = bucket.grant(1) === 1;
			if (isTaken) {
				bucket.settle(1, false);
			}

			return isTaken;
		},
	};
}
