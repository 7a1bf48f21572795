/**
 * Limits the request rate of each workspace. Every instance keeps the token bucket of the whole
 * workspace and subtracts the requests that it admits itself and those that the other instances
 * report as admitted. The bound is the number of requests that the fleet may admit in any span of
 * `window` milliseconds: `rate` times the span plus `burst`. The bucket is refilled evenly at the
 * rate that uses up the bound, so that a workspace above its rate is served evenly.
 *
 * Guards against one workspace that sends many times its rate through all instances at once.
 * Reports arrive late, so an instance does not admit every request that finds a token: it estimates
 * the demand on the whole fleet and admits the fraction that lets the bucket become empty without
 * being overdrawn. An instance that receives reports from only a part of the fleet uses the same
 * part of the bound, multiplied by `partitionFactor`. Which requests of a workspace above its rate
 * are admitted depends on the priority of their routes, see `rank-admission.ts`. Each `now` is in
 * milliseconds of the monotonic clock.
 */
import {type Random} from '@shallotpond/kernel/random';
import {createRankAdmission, leastUrgentRank, type RankDecision} from './rank-admission.js';
import {createSlidingWindowCounter, type SlidingWindowCounter} from './sliding-window-counter.js';

export type WorkspaceRateLimit = {
	/** Requests per second over the whole fleet. */
	readonly rate: number;
	/** Requests that may be admitted in each window in addition to the rate. */
	readonly burst: number;
};

export type RateDecision = {
	readonly isAdmitted: boolean;
	/**
	 * Tokens left in the bucket of the whole workspace after this request; negative if it is
	 * overdrawn. Admissions that other instances have not reported yet are not subtracted.
	 */
	readonly tokens: number;
	/**
	 * Milliseconds after which the caller should retry: the time to refill one token, plus jitter,
	 * both longer for a rank that gets a smaller part of the tokens, up to four times as long.
	 */
	readonly retryAfter: number;
	/** Probability with which a request of this rank is admitted now, 0 to 1. */
	readonly probability: number;
};

export type WorkspaceRateLimiter = {
	/**
	 * Decides on one request. `rank` is that of its route, from 0, the most urgent, to
	 * `leastUrgentRank`, the default.
	 */
	admit(workspace: string, rate: WorkspaceRateLimit, now: number, rank?: number): RateDecision;
	/** Records what other instances received and admitted since their last report. */
	recordUsage(workspace: string, usage: WorkspaceUsage, now: number): void;
	/** What this instance received and admitted since it started, by workspace. */
	readonly totals: ReadonlyMap<string, WorkspaceUsage>;
};

/** Numbers of requests: those received, and those of them that were admitted. */
export type WorkspaceUsage = {readonly asked: number; readonly admitted: number};

export type RateBound = {
	/**
	 * Milliseconds of the span in which at most `rate` times its length plus `burst` are admitted.
	 */
	readonly window: number;
	/** Fraction of the bound by which the whole fleet may exceed it. */
	readonly excess: number;
	/** Number of requests by which the bound may be exceeded in addition. */
	readonly slack: number;
};

export type WorkspaceRateLimiterOptions = {
	readonly bound: RateBound;
	/** Monotonic milliseconds of the start of this instance. */
	readonly startedAt: number;
	/** Fraction of the fleet whose reports this instance receives, including itself, 0 to 1. */
	readonly reachableRatio: () => number;
	/** Number of instances whose reports are received, including this one. */
	readonly fleetSize: () => number;
	/**
	 * Whether this instance knows the others, whose reports it receives then: none of them, the first
	 * ones, or the whole fleet.
	 */
	readonly fleetKnowledge: () => 'none' | 'partial' | 'whole';
	/** Number of instances that there may be while the whole fleet is not known. */
	readonly maxFleetSize: () => number;
	readonly random: Random;
};

/**
 * Parts of a fleet that cannot reach each other may together use this multiple of the bound; the
 * rest of `RateBound.excess` covers late reports.
 */
const partitionFactor = 1.1;
/** Size of the bucket, as a fraction of the bound; its tokens come on top of the refill. */
const bucketFraction = 0.15;
/** Maximum debt of the bucket after late reports, as a fraction of the bound. */
const maxDebtFraction = 0.5;
/** Time until the reports of what other instances admitted have arrived. */
const reportDelayMs = 400;
/**
 * Time constant with which stored tokens are used up. If it were below e times the report delay,
 * late reports would let the bucket be overdrawn.
 */
const drainTimeMs = Math.E * reportDelayMs;
/** Time over which the demand is measured. */
const demandWindowMs = 500;
/**
 * The number of requests at one instance varies at random. The demand on the fleet is assumed to be
 * at least the instance's own requests minus this many standard deviations, multiplied by the
 * number of instances.
 */
const demandDeviations = 1.5;
/** Maximum jitter of the retry delay, so that refused callers do not all retry at once. */
const retryJitterMs = 300;
/**
 * Requests per millisecond; limits the retry delay of a workspace with a tiny rate, or of a rank
 * that gets few tokens, to one second plus jitter.
 */
const minRefillRate = 0.001;
/**
 * Time after the start in which an instance may not know the others yet, by what it knows of them.
 * It would mistake its own demand for that of the fleet, so during this time it is limited to an
 * equal part of the refill rate. After a first contact within a second, the others are known soon.
 */
const initialTimesMs = {none: 0, partial: 2500, whole: 2000} as const;
/** Minimum number of instances by which the refill rate is divided during that time. */
const minAssumedInstances = 32;
/**
 * Requests that a new instance may admit within `demandWindowMs`, however small its part of the
 * refill rate is.
 */
const minInitialAdmissions = 1;
/**
 * Number of admissions, as a fraction of the bound, that all instances together may take from less
 * urgent requests and give to urgent ones later, so that at most as many are added to a window. A
 * window without the begin of a flood has more than this left of `RateBound.excess`.
 */
const savedFraction = 0.1;
const millisecondsPerSecond = 1000;

type Usage = {
	tokens: number;
	/** Monotonic milliseconds of the last refill. */
	refilledAt: number;
	/** Requests received by this instance and, as reported, by the others. */
	readonly asked: SlidingWindowCounter;
	readonly ownAsked: SlidingWindowCounter;
	readonly ownAdmitted: SlidingWindowCounter;
	/** Sum of `RankDecision.savedChange` since the start of this instance. */
	saved: number;
	/** Requests that this instance has admitted since its start. */
	admitted: number;
	/** 0 to 1; drawn for the first saved admission. */
	roundingOffset: number | undefined;
	/** Bucket of the part of an instance that does not know the whole fleet. */
	readonly ownPart: {tokens: number; refilledAt: number};
};

export function createWorkspaceRateLimiter(
	options: WorkspaceRateLimiterOptions,
): WorkspaceRateLimiter {
	const {bound, random, startedAt} = options;
	const usages = new Map<string, Usage>();
	const totals = new Map<string, WorkspaceUsage>();
	const rankAdmission = createRankAdmission();

	function usageOf(workspace: string): Usage {
		let usage = usages.get(workspace);
		if (usage === undefined) {
			usage = {
				// An earlier process may have emptied the bucket just before this one started.
				tokens: 0,
				refilledAt: startedAt,
				asked: createSlidingWindowCounter({window: demandWindowMs}),
				ownAsked: createSlidingWindowCounter({window: demandWindowMs}),
				ownAdmitted: createSlidingWindowCounter({window: demandWindowMs}),
				saved: 0,
				admitted: 0,
				roundingOffset: undefined,
				// Instances that started together must not all begin with an admission.
				ownPart: {tokens: random(), refilledAt: startedAt},
			};
			usages.set(workspace, usage);
		}

		return usage;
	}

	/** Refills the bucket and returns the refill rate in requests per millisecond. */
	function refill(usage: Usage, rate: WorkspaceRateLimit, now: number): number {
		const usableFraction = Math.min(1, options.reachableRatio() * partitionFactor);
		const limit =
			((rate.rate * bound.window) / millisecondsPerSecond + rate.burst) * usableFraction;
		const refillRate = limit / bound.window;
		const tokens =
			Math.max(usage.tokens, -limit * maxDebtFraction) + (now - usage.refilledAt) * refillRate;
		usage.tokens = Math.min(Math.max(1, limit * bucketFraction), tokens);
		usage.refilledAt = now;
		return refillRate;
	}

	/**
	 * Demand on the whole fleet in requests per millisecond, estimated from reports and own requests.
	 */
	function demandOf(usage: Usage, now: number): number {
		const own = usage.ownAsked.total(now);
		const ownLowerBound = own - demandDeviations * Math.sqrt(own);
		return Math.max(usage.asked.total(now), ownLowerBound * options.fleetSize()) / demandWindowMs;
	}

	/**
	 * Refills the part of an instance that knows nobody, or not everybody. Instances that do not hear
	 * each other cannot know that another one left its part unused, so at most one admission is saved.
	 */
	function refillOwnPart({ownPart}: Usage, refillRate: number, now: number): void {
		const rate = refillRate / Math.max(minAssumedInstances, options.maxFleetSize());
		ownPart.tokens = Math.min(1, ownPart.tokens + (now - ownPart.refilledAt) * rate);
		ownPart.refilledAt = now;
	}

	/**
	 * Whether an instance that does not know the whole fleet has used up its part of the refill rate.
	 * It may admit more in the beginning, while the others are about to become known.
	 */
	function isInitialPartUsed(usage: Usage, refillRate: number, now: number): boolean {
		const knowledge = options.fleetKnowledge();
		if (now - startedAt >= initialTimesMs[knowledge]) {
			return knowledge !== 'whole' && usage.ownPart.tokens < 1;
		}

		const initialPart =
			(refillRate * demandWindowMs) / Math.max(minAssumedInstances, options.fleetSize());
		return usage.ownAdmitted.total(now) >= Math.max(minInitialAdmissions, initialPart);
	}

	/** Number of admissions that this instance may take from less urgent requests and give later. */
	function maxSavedOf(refillRate: number): number {
		const instances = Math.max(minAssumedInstances, options.fleetSize());
		return (refillRate * bound.window * savedFraction) / instances;
	}

	function countOwnRequest(workspace: string, usage: Usage, admitted: number, now: number): void {
		usage.asked.add(1, now);
		usage.ownAsked.add(1, now);
		usage.ownAdmitted.add(admitted, now);
		usage.admitted += admitted;
		totals.set(workspace, {
			asked: (totals.get(workspace)?.asked ?? 0) + 1,
			admitted: usage.admitted + roundSaved(usage),
		});
	}

	/**
	 * Saved admissions count as admitted at the other instances. Reports contain whole numbers, so an
	 * instance rounds at a random fraction of its own; the sum over the fleet is right on average.
	 */
	function roundSaved(usage: Usage): number {
		if (usage.saved === 0) {
			return 0;
		}

		usage.roundingOffset ??= random();
		return Math.floor(usage.saved + usage.roundingOffset);
	}

	return {
		admit(workspace, rate, now, rank = leastUrgentRank) {
			const usage = usageOf(workspace);
			const refillRate = refill(usage, rate, now);
			refillOwnPart(usage, refillRate, now);
			const admissionRate = refillRate + usage.tokens / drainTimeMs;
			rankAdmission.countRequest(workspace, rank, now);
			let decision: RankDecision = {probability: 0, factor: 1, savedChange: 0};
			let isAdmitted = false;
			if (admissionRate > 0 && !isInitialPartUsed(usage, refillRate, now)) {
				const demand = demandOf(usage, now);
				const ratio = admissionRate / demand;
				const maxSaved = maxSavedOf(refillRate);
				decision = rankAdmission.decide({workspace, rank, ratio, maxSaved}, now);
				isAdmitted = random() * demand < admissionRate * decision.factor;
			}

			usage.tokens -= Number(isAdmitted) + decision.savedChange;
			usage.ownPart.tokens -= Number(isAdmitted);
			usage.saved += decision.savedChange;
			countOwnRequest(workspace, usage, Number(isAdmitted), now);
			const {probability, factor} = decision;
			const refillTime = 1 / Math.max(refillRate, minRefillRate);
			const retryAfter =
				Math.min(refillTime / factor, 1 / minRefillRate) +
				random() * retryJitterMs * Math.max(1, 1 / factor);
			return {isAdmitted, tokens: usage.tokens, retryAfter, probability};
		},
		recordUsage(workspace, {asked, admitted}, now) {
			const usage = usageOf(workspace);
			usage.asked.add(asked, now);
			usage.tokens -= admitted;
		},
		totals,
	};
}
