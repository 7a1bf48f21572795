/**
 * Compares the targets of a service that get requests with those that could get some, and computes
 * how many must be in use to keep the floor of the service.
 */
import {type KnownTarget} from './target-directory.js';

/** Milliseconds within which a target must have received a request to count as in use. */
export const coverageWindow = 2000;

export type Coverage = {
	readonly usable: number;
	readonly inUse: number;
	/** Usable targets that are not in use. */
	readonly unused: readonly KnownTarget[];
};

export type CoverageOptions = {
	/** Usable targets of the service in failure domains that are in service. */
	readonly targets: readonly KnownTarget[];
	readonly unusedFor: (target: KnownTarget) => number;
};

/** Linear in the targets of the service. */
export function measureCoverage({targets, unusedFor}: CoverageOptions): Coverage {
	const unused = targets.filter(target => unusedFor(target) >= coverageWindow);
	return {usable: targets.length, inUse: targets.length - unused.length, unused};
}

/** Minimum number of targets in use, for a floor between 0 and 1. */
export function floorCount(floor: number, targets: number): number {
	return Math.ceil(floor * targets);
}
