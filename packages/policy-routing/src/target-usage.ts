/**
 * When the fleet last sent a request to each target, as this instance knows it from its own requests
 * and from reports. Shows a load that has narrowed to a few targets: without it a target that is left
 * out because it failed looks the same as one that is left out because nobody asks it.
 */
import {type KnownTarget} from './target-directory.js';

export type TargetUsage = {
	/** A request of any instance is at the target, or was there until now. */
	recordUse(incarnation: string, now: number): void;
	/** Milliseconds since the last request; counted from its listing for a target that got none. */
	unusedFor(target: KnownTarget, now: number): number;
	/** Forgets targets that have got nothing for a minute. */
	prune(now: number): void;
};

/** Milliseconds; above any time for which the choice tells unused targets apart. */
const retention = 60_000;

export function createTargetUsage(): TargetUsage {
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
				if (now - at > retention) {
					usedAt.delete(incarnation);
				}
			}
		},
	};
}
