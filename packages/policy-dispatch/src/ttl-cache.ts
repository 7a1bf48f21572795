/**
 * A map whose entries expire after a fixed time. Used for the ids of handled messages with the
 * reply to each, so that a repeated or late message gets the same reply or none.
 */
export type TtlCache<Value> = {
	add(id: string, value: Value, now: number): void;
	has(id: string, now: number): boolean;
	get(id: string, now: number): Value | undefined;
};

/** Interval between two removals of expired entries, as a fraction of the retention. */
const pruneIntervalRatio = 1 / 32;

/**
 * Keeps each entry for `retention` milliseconds. Operations cost O(1) on average; expired entries
 * are removed in batches.
 */
export function createTtlCache<Value>(retention: number): TtlCache<Value> {
	const entries = new Map<string, {readonly value: Value; readonly expiresAt: number}>();
	let nextPrune = Number.NEGATIVE_INFINITY;

	/**
	 * A `Map` keeps the places of removed entries until it is rehashed, and each iteration walks over
	 * them, so expired entries are removed in batches.
	 */
	function prune(now: number): void {
		if (now < nextPrune) {
			return;
		}

		nextPrune = now + retention * pruneIntervalRatio;
		for (const [id, {expiresAt}] of entries) {
			if (expiresAt > now) {
				break;
			}

			entries.delete(id);
		}
	}

	function find(id: string, now: number) {
		const found = entries.get(id);
		return found !== undefined && found.expiresAt > now ? found : undefined;
	}

	return {
		add(id, value, now) {
			prune(now);
			// Deleted first, because the order of insertion is the order of expiry.
			entries.delete(id);
			entries.set(id, {value, expiresAt: now + retention});
		},
		has(id, now) {
			prune(now);
			return find(id, now) !== undefined;
		},
		get(id, now) {
			prune(now);
			return find(id, now)?.value;
		},
	};
}
