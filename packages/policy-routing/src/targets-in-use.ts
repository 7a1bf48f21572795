/**
 * Compares the targets of a service that are in use with its usable targets, and computes how many
 * must be in use to keep the floor of the service: the fraction of its targets that must be in use.
 */
import {type KnownTarget} from './target-directory.js';

/**
 * A target counts as in use if it had a request of any instance, or was listed, within this time.
 */
export const inUseWindowMs = 2000;

export type TargetsInUse = {
	/** Number of usable targets. */
	readonly usable: number;
	/** Number of usable targets that are in use. */
	readonly inUse: number;
	/** The usable targets that are not in use. */
	readonly unused: readonly KnownTarget[];
};

export type TargetsInUseOptions = {
	/** Usable targets of the service in active failure domains. */
	readonly targets: readonly KnownTarget[];
	/**
	 * Milliseconds since any instance sent the target a request or since the target was listed,
	 * whichever is later.
	 */
	readonly unusedFor: (target: KnownTarget) => number;
};

/** Linear in the targets of the service. */
export function countTargetsInUse({targets, unusedFor}: TargetsInUseOptions): TargetsInUse {
	const unused = targets.filter(target => unusedFor(target) >= inUseWindowMs);
	return {usable: targets.length, inUse: targets.length - unused.length, unused};
}

/** Minimum number of targets in use, for a floor between 0 and 1. */
export function minTargetsInUse(floor: number, targetCount: number): number {
	return Math.ceil(floor * targetCount);
}
