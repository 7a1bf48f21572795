/**
 * Ids that were dealt with, each kept for a fixed time with the answer that was given, so that a
 * repeated or late message gets the same answer or none.
 */
export type TtlCache<Answer> = {
	add(id: string, answer: Answer, now: number): void;
	has(id: string, now: number): boolean;
	get(id: string, now: number): Answer | undefined;
};

/** Part of the retention between two removals of what has expired. */
const pruneInterval = 1 / 32;

/** `retention` in milliseconds. Operations cost O(1), with the cost of expiry spread over them. */
export function createTtlCache<Answer>(retention: number): TtlCache<Answer> {
	const answers = new Map<string, {readonly answer: Answer; readonly until: number}>();
	let nextPrune = Number.NEGATIVE_INFINITY;

	/**
	 * A map that loses its first entries keeps their places until it is rehashed, and each iteration
	 * walks over them, so expired entries are dropped in batches.
	 */
	function prune(now: number): void {
		if (now < nextPrune) {
			return;
		}

		nextPrune = now + retention * pruneInterval;
		for (const [id, {until}] of answers) {
			if (until > now) {
				break;
			}

			answers.delete(id);
		}
	}

	function find(id: string, now: number) {
		const found = answers.get(id);
		return found !== undefined && found.until > now ? found : undefined;
	}

	return {
		add(id, answer, now) {
			prune(now);
			// Deleted first, because the order of insertion is the order of expiry.
			answers.delete(id);
			answers.set(id, {answer, until: now + retention});
		},
		has(id, now) {
			prune(now);
			return find(id, now) !== undefined;
		},
		get(id, now) {
			prune(now);
			return find(id, now)?.answer;
		},
	};
}
