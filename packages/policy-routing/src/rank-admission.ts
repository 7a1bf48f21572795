/**
 * Decides which requests of a workspace above its rate are admitted, by the priority of their
 * routes (rank 0 is the most urgent). The rate limiter computes the ratio of the requests that may
 * be admitted; this module distributes it over the ranks: each rank keeps a quarter of the ratio,
 * and the rest goes to the most urgent rank until all of its requests are admitted, then to the
 * next.
 *
 * Answers one workspace that sends several times its rate, with urgent and less urgent requests.
 * Without ranks, its urgent requests are refused as often as the others.
 *
 * The fractions of the ranks are estimated from the requests of one instance and may be wrong, at
 * all instances at once. Admissions are therefore only moved between requests: an urgent request
 * gets no more above the ratio than less urgent requests of the same instance and workspace gave up
 * before. What was given up counts as admitted until it is used, and is limited, so whatever the
 * estimates are, the fleet admits no more than without ranks since the begin of a flood, and at most
 * the limits of all instances more in any shorter span. Each `now` is in milliseconds of the
 * monotonic clock.
 */

/** Rank of routes without a priority, and of those with a greater number. */
export const leastUrgentRank = 9;

export type RankDecision = {
	/** Probability with which the request is to be admitted, 0 to 1. */
	readonly probability: number;
	/** `probability` as a multiple of the ratio of the workspace; exactly 1 if ranks do not matter. */
	readonly factor: number;
	/**
	 * Number of admissions, a fraction of one, that this decision saves; negative if it uses saved
	 * ones. Saved admissions are to be counted as admitted, and those that expire stay counted.
	 */
	readonly savedChange: number;
};

export type RankAdmissionRequest = {
	readonly workspace: string;
	readonly rank: number;
	/** Ratio of the requests of the workspace that may be admitted, above 0; infinite without demand. */
	readonly ratio: number;
	/** Maximum number of admissions that this instance may give up and grant later. */
	readonly maxSaved: number;
};

export type RankAdmission = {
	/** Counts a request of a workspace, whether or not it is admitted. */
	countRequest(workspace: string, rank: number, now: number): void;
	/**
	 * Returns the probability for the request that was counted last. Takes time linear in the number
	 * of ranks.
	 */
	decide(request: RankAdmissionRequest, now: number): RankDecision;
};

/** Fraction of `ratio` that each rank keeps, so that no rank is starved. */
const guaranteedFraction = 0.25;
/**
 * Time constant with which counted requests are forgotten. An instance of a large fleet sees one or
 * two requests of a workspace per second.
 */
const countMemoryMs = 10_000;
/**
 * Number of requests of a workspace that weigh as much as the mix of all workspaces, which is used
 * while few requests of the workspace are known.
 */
const priorRequests = 8;
/** Milliseconds without a request above the rate after which saved admissions expire. */
const savedTtlMs = 5000;
/**
 * Multiple of the mean ratio above which saved admissions expire. The ratio doubles at once when a
 * partition hides half of the demand; each part then admits too much until it notices, and should
 * not use what it saved in addition.
 */
const maxRatioRise = 1.4;
/** Time constant of the mean ratio. */
const ratioMemoryMs = 2000;

type RankCounts = {
	readonly byRank: number[];
	total: number;
	countedAt: number;
};

type WorkspaceState = {
	readonly counts: RankCounts;
	/** Admissions that were given up, less those that were granted above the ratio. */
	saved: number;
	/** When the latest request above the rate was decided; 0 before the first. */
	decidedAt: number;
	/** Mean ratio of the last requests above the rate; undefined before the first. */
	meanRatio: number | undefined;
};

/** The rank of a route. */
export function rankOf({priority}: {readonly priority?: number}): number {
	return Math.min(priority ?? leastUrgentRank, leastUrgentRank);
}

function createCounts(now: number): RankCounts {
	return {
		byRank: Array.from({length: leastUrgentRank + 1}, () => 0),
		total: 0,
		countedAt: now,
	};
}

function count(counts: RankCounts, rank: number, now: number): void {
	const remainder = Math.exp((counts.countedAt - now) / countMemoryMs);
	for (const [index, amount] of counts.byRank.entries()) {
		counts.byRank[index] = amount * remainder;
	}

	counts.byRank[rank]! += 1;
	counts.total = counts.total * remainder + 1;
	counts.countedAt = now;
}

/**
 * Distributes `ratio` over the ranks. Returns the probability of each rank; the sum of the
 * probabilities, weighted with the fractions, is `ratio`. `fractions` of the requests are indexed
 * by rank.
 */
export function distributeByRank(ratio: number, fractions: readonly number[]): number[] {
	const guaranteed = ratio * guaranteedFraction;
	let remaining = ratio - guaranteed;
	return fractions.map(fraction => {
		const extra = fraction > 0 ? Math.min(1 - guaranteed, Math.max(0, remaining) / fraction) : 0;
		remaining -= extra * fraction;
		return guaranteed + extra;
	});
}

export function createRankAdmission(): RankAdmission {
	const states = new Map<string, WorkspaceState>();
	let allCounts: RankCounts | undefined;

	function stateOf(workspace: string, now: number): WorkspaceState {
		let state = states.get(workspace);
		if (state === undefined) {
			state = {counts: createCounts(now), saved: 0, decidedAt: 0, meanRatio: undefined};
			states.set(workspace, state);
		}

		return state;
	}

	/** Estimated fractions of the ranks in the requests of a workspace; their sum is 1. */
	function fractionsOf({byRank, total}: RankCounts): number[] {
		const all = allCounts!;
		return byRank.map(
			(amount, rank) =>
				(amount + (priorRequests * all.byRank[rank]!) / all.total) / (total + priorRequests),
		);
	}

	/** Limits the distance of `target` from `ratio` to what can be granted or saved. */
	function limitBySaved(
		target: number,
		{ratio, maxSaved}: RankAdmissionRequest,
		saved: number,
	): number {
		return target > ratio
			? Math.min(target, ratio + saved)
			: Math.max(target, ratio - Math.max(0, maxSaved - saved));
	}

	/** Updates the mean ratio, and returns whether admissions saved earlier may no longer be used. */
	function hasSavedExpired(state: WorkspaceState, ratio: number, now: number): boolean {
		const elapsed = now - state.decidedAt;
		const {meanRatio = ratio} = state;
		state.meanRatio = ratio + (meanRatio - ratio) * Math.exp(-elapsed / ratioMemoryMs);
		state.decidedAt = now;
		return ratio >= 1 || ratio > maxRatioRise * meanRatio || elapsed > savedTtlMs;
	}

	return {
		countRequest(workspace, rank, now) {
			allCounts ??= createCounts(now);
			count(allCounts, rank, now);
			count(stateOf(workspace, now).counts, rank, now);
		},
		decide(request, now) {
			const {workspace, rank, ratio} = request;
			const state = stateOf(workspace, now);
			// Requests of a single rank are decided as if there were no ranks, without rounding errors.
			const isSingleRank = allCounts!.byRank[rank] === allCounts!.total;
			if (isSingleRank || hasSavedExpired(state, Math.min(1, ratio), now)) {
				state.saved = 0;
			}

			if (ratio >= 1 || isSingleRank) {
				return {probability: Math.min(1, ratio), factor: 1, savedChange: 0};
			}

			const target = distributeByRank(ratio, fractionsOf(state.counts))[rank]!;
			const probability = limitBySaved(target, request, state.saved);
			state.saved += ratio - probability;
			return {probability, factor: probability / ratio, savedChange: ratio - probability};
		},
	};
}
