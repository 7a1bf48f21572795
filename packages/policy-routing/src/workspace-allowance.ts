/**
 * The rate of each workspace, kept by every instance on its own view of the whole fleet. Each
 * instance runs the bucket of the whole workspace and takes from it what it admits itself and what
 * the others report. Reports are late by up to half a second, so a nearly empty bucket admits only
 * a part of what comes. An instance that hears a part of the fleet uses that part of the rate.
 */
import {type Random} from '@shallotpond/kernel/random';

export type WorkspaceRate = {
	/** Requests per second over the whole fleet. */
	readonly rate: number;
	readonly burst: number;
};

export type AllowanceDecision = {
	readonly isAdmitted: boolean;
	/** Tokens of the whole workspace, as this instance knows them. */
	readonly tokens: number;
	/** Milliseconds until a request is likely to be admitted. */
	readonly retryAfter: number;
};

export type WorkspaceAllowance = {
	admit(workspace: string, rate: WorkspaceRate, now: number): AllowanceDecision;
	/** Requests that other instances admitted since they last said so. */
	noteAdmitted(workspace: string, count: number, now: number): void;
	/** Requests that this instance admitted since it started, by workspace. */
	readonly admitted: ReadonlyMap<string, number>;
};

export type WorkspaceAllowanceOptions = {
	/** Part of the fleet that this instance hears, itself included, 0 to 1. */
	readonly contact: () => number;
	readonly random: Random;
};

/**
 * Parts of a fleet that do not hear each other may use this much more than their part together; the
 * platform's bound leaves a quarter above the rate.
 */
const separationFactor = 1.25;
/** Part of the rate, in seconds, below which a bucket admits only a part of what comes. */
const reportDelay = 0.5;
/** Seconds of the rate by which late reports may overdraw a bucket. */
const deepestDebt = 1.5;
const millisecondsPerSecond = 1000;

type Bucket = {tokens: number; at: number};

export function createWorkspaceAllowance(options: WorkspaceAllowanceOptions): WorkspaceAllowance {
	const buckets = new Map<string, Bucket>();
	const admitted = new Map<string, number>();

	function refill(workspace: string, rate: WorkspaceRate, now: number): Bucket {
		const share = Math.min(1, options.contact() * separationFactor);
		const capacity = Math.max(1, rate.burst * share);
		let bucket = buckets.get(workspace);
		if (bucket === undefined) {
			bucket = {tokens: capacity, at: now};
			buckets.set(workspace, bucket);
			return bucket;
		}

		const seconds = (now - bucket.at) / millisecondsPerSecond;
		const floor = -rate.rate * deepestDebt;
		bucket.tokens = Math.max(floor, bucket.tokens) + seconds * rate.rate * share;
		bucket.tokens = Math.min(capacity, bucket.tokens);
		bucket.at = now;
		return bucket;
	}

	return {
		admit(workspace, rate, now) {
			const bucket = refill(workspace, rate, now);
			const guarded = Math.max(1, Math.min(rate.rate * reportDelay, rate.burst / 2));
			const isAdmitted = bucket.tokens > 0 && options.random() < bucket.tokens / guarded;
			if (isAdmitted) {
				bucket.tokens--;
				admitted.set(workspace, (admitted.get(workspace) ?? 0) + 1);
			}

			const missing = Math.max(0, guarded - bucket.tokens);
			const retryAfter = (missing / Math.max(rate.rate, 0.001)) * millisecondsPerSecond;
			return {isAdmitted, tokens: bucket.tokens, retryAfter};
		},
		noteAdmitted(workspace, count) {
			const bucket = buckets.get(workspace);
			if (bucket !== undefined) {
				bucket.tokens -= count;
			}
		},
		admitted,
	};
}
