/**
 * The rate of each workspace, kept by every instance on its own view of the whole fleet. Each
 * instance runs the bucket of the whole workspace and takes from it what it admits itself and what
 * the others report. The bucket is filled as fast as the bound on every span of `window` allows for
 * long, so that a workspace which sends too much is served evenly.
 *
 * Answers the load pattern in which one workspace sends many times its rate through all instances at
 * once. Reports are late, so an instance does not admit whatever finds a token: it estimates how much
 * the whole fleet is asked for and admits the part that lets the bucket become empty without going
 * below. An instance that hears a part of the fleet uses that part of the bound.
 */
import {type Random} from '@shallotpond/kernel/random';
import {createSlidingCount, type SlidingCount} from './sliding-count.js';

export type WorkspaceRate = {
	/** Requests per second over the whole fleet. */
	readonly rate: number;
	readonly burst: number;
};

export type RateDecision = {
	readonly isAdmitted: boolean;
	/** Tokens of the whole workspace, as this instance knows them. */
	readonly tokens: number;
	/** Milliseconds until a request is likely to be admitted. */
	readonly retryAfter: number;
};

export type WorkspaceRateLimiter = {
	admit(workspace: string, rate: WorkspaceRate, now: number): RateDecision;
	/** What other instances were asked for and admitted since they last said so. */
	recordUsage(workspace: string, usage: WorkspaceUsage, now: number): void;
	/** What this instance was asked for and admitted since it started, by workspace. */
	readonly totals: ReadonlyMap<string, WorkspaceUsage>;
};

/** Numbers of requests. */
export type WorkspaceUsage = {readonly asked: number; readonly admitted: number};

export type RateBound = {
	/** Milliseconds; in every such span at most `rate` times its length plus `burst` are admitted. */
	readonly window: number;
	/** Part of the bound by which the whole fleet may exceed it. */
	readonly excess: number;
	/** Requests by which it may be exceeded besides. */
	readonly slack: number;
};

export type WorkspaceRateLimiterOptions = {
	readonly bound: RateBound;
	/** Monotonic milliseconds of the start of this instance. */
	readonly startedAt: number;
	/** Part of the fleet that this instance hears, itself included, 0 to 1. */
	readonly reachableRatio: () => number;
	/** Instances that are heard, this one included. */
	readonly fleetSize: () => number;
	readonly random: Random;
};

/**
 * Parts of a fleet that do not hear each other may together use this much of the bound; the rest of
 * the excess covers late reports.
 */
const separationFactor = 1.1;
/** Size of the bucket in parts of the bound; what it holds comes on top of the steady flow. */
const bucketShare = 0.15;
/** The same for the debt that late reports may leave. */
const deepestDebt = 0.5;
/** Milliseconds until an instance knows what the others admitted. */
const reportDelay = 400;
/** Milliseconds in which the tokens are used up. With less than e times the delay they are overdrawn. */
const approachTime = Math.E * reportDelay;
/** Milliseconds over which the demand is measured. */
const demandSpan = 500;
/** Own requests vary by chance; the demand of the fleet is at least what is left of them after this. */
const ownDeviations = 1.5;
/** Milliseconds over which refused callers are spread, so that they do not return together. */
const returnSpan = 300;
/** Requests per millisecond; bounds the time after which a caller of a tiny workspace is told to return. */
const leastFlow = 0.001;
/**
 * Milliseconds after the start in which an instance may not know the others yet. It would take the
 * demand of the fleet for its own, so until then it keeps to an equal part of the flow.
 */
const meetingTime = 2000;
/** Instances that the flow is divided by while fewer are known. */
const assumedInstances = 32;
/** Requests that a new instance may admit in `demandSpan` however small its part is. */
const leastAdmitted = 1;
const millisecondsPerSecond = 1000;

type Usage = {
	tokens: number;
	/** Monotonic milliseconds of the last refill. */
	at: number;
	/** Asked of all instances that were heard, and of this one. */
	readonly asked: SlidingCount;
	readonly ownAsked: SlidingCount;
	readonly ownAdmitted: SlidingCount;
};

export function createWorkspaceRateLimiter(
	options: WorkspaceRateLimiterOptions,
): WorkspaceRateLimiter {
	const {bound, random, startedAt} = options;
	const usages = new Map<string, Usage>();
	const totals = new Map<string, WorkspaceUsage>();

	function usageOf(workspace: string): Usage {
		let usage = usages.get(workspace);
		if (usage === undefined) {
			usage = {
				// An earlier process may have emptied the bucket just before this one started.
				tokens: 0,
				at: startedAt,
				asked: createSlidingCount({window: demandSpan}),
				ownAsked: createSlidingCount({window: demandSpan}),
				ownAdmitted: createSlidingCount({window: demandSpan}),
			};
			usages.set(workspace, usage);
		}

		return usage;
	}

	/** Fills the bucket and returns its flow in requests per millisecond. */
	function refill(usage: Usage, rate: WorkspaceRate, now: number): number {
		const share = Math.min(1, options.reachableRatio() * separationFactor);
		const limit = ((rate.rate * bound.window) / millisecondsPerSecond + rate.burst) * share;
		const flow = limit / bound.window;
		const tokens = Math.max(usage.tokens, -limit * deepestDebt) + (now - usage.at) * flow;
		usage.tokens = Math.min(Math.max(1, limit * bucketShare), tokens);
		usage.at = now;
		return flow;
	}

	/** Requests per millisecond of the whole fleet, as far as it is known. */
	function demandOf(usage: Usage, now: number): number {
		const own = usage.ownAsked.total(now);
		const surelyOwn = own - ownDeviations * Math.sqrt(own);
		return Math.max(usage.asked.total(now), surelyOwn * options.fleetSize()) / demandSpan;
	}

	/** Whether a new instance has used its part of the flow. */
	function isPartUsed(usage: Usage, flow: number, now: number): boolean {
		if (now - startedAt >= meetingTime) {
			return false;
		}

		const part = (flow * demandSpan) / Math.max(assumedInstances, options.fleetSize());
		return usage.ownAdmitted.total(now) >= Math.max(leastAdmitted, part);
	}

	function countOwn(workspace: string, usage: Usage, admitted: number, now: number): void {
		usage.asked.add(1, now);
		usage.ownAsked.add(1, now);
		usage.ownAdmitted.add(admitted, now);
		const total = totals.get(workspace);
		totals.set(workspace, {
			asked: (total?.asked ?? 0) + 1,
			admitted: (total?.admitted ?? 0) + admitted,
		});
	}

	return {
		admit(workspace, rate, now) {
			const usage = usageOf(workspace);
			const refillFlow = refill(usage, rate, now);
			const flow = refillFlow + usage.tokens / approachTime;
			const isAdmitted =
				flow > 0 && !isPartUsed(usage, refillFlow, now) && random() * demandOf(usage, now) < flow;
			usage.tokens -= Number(isAdmitted);
			countOwn(workspace, usage, Number(isAdmitted), now);
			const retryAfter = 1 / Math.max(refillFlow, leastFlow) + random() * returnSpan;
			return {isAdmitted, tokens: usage.tokens, retryAfter};
		},
		recordUsage(workspace, {asked, admitted}, now) {
			const usage = usageOf(workspace);
			usage.asked.add(asked, now);
			usage.tokens -= admitted;
		},
		totals,
	};
}
