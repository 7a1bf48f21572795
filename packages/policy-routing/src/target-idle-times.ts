/**
 * When the fleet last used each target, according to this instance's own requests and to the
 * reports of other instances. Used to detect that the load has narrowed to a few targets: estimates
 * of health alone do not show whether any instance still sends requests to a target. Each `now` is
 * in milliseconds of the monotonic clock.
 */
import {type KnownTarget} from './target-directory.js';

export type TargetIdleTimes = {
	/** Records that a request of any instance is at the target or has just ended there. */
	recordUse(incarnation: string, now: number): void;
	/** Milliseconds since the last request or since the target was listed, whichever is later. */
	unusedFor(target: KnownTarget, now: number): number;
	/** Removes targets without a request for a minute. */
	prune(now: number): void;
};

/** Longer than any idle time that matters for the selection of a target. */
const retentionMs = 60_000;

export function createTargetIdleTimes(): TargetIdleTimes {
	const usedAt = new Map<string, number>();
	return {
		recordUse(incarnation, now) {
			usedAt.set(incarnation, now);
		},
		unusedFor({incarnation, listedAt}, now) {
			return now - Math.max(usedAt.get(incarnation) ?? listedAt, listedAt);
		},
		prune(now) {
			for (const [incarnation, at] of usedAt) {
				if (now - at > retentionMs) {
					usedAt.delete(incarnation);
				}
			}
		},
	};
}
