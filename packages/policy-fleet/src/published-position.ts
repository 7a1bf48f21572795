/**
 * Positions in the history of what the platform publishes. The store may come back from an older
 * copy. Its revisions then go back and are given out again, and its era rises, so only era and
 * revision together say which of two states is newer.
 */

export type PublishedPosition = {
	/**
	 * Rises each time the store comes back from an older copy. Undefined if unknown: the store does
	 * not state it, or an instance of an earlier version does not pass it on.
	 */
	readonly era?: number | undefined;
	/** Revision up to which everything is known. */
	readonly revision: number;
};

/** An unknown era counts as older than any known one. */
const unknownEraRank = -1;

/** Negative if the first era is older, 0 if the eras are equal. */
export function compareEras(first: number | undefined, second: number | undefined): number {
	return (first ?? unknownEraRank) - (second ?? unknownEraRank);
}

/** Negative if the first position is older, 0 if the positions are equal. */
export function comparePositions(first: PublishedPosition, second: PublishedPosition): number {
	return compareEras(first.era, second.era) || first.revision - second.revision;
}
