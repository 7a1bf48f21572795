/**
 * Messages of the idempotency registry. The `id` of a claim is unique among the claims of its
 * sender and identifies the claim in its answer and settlement; a handover has an id of its own,
 * chosen by the instance that asks for it. Every message may be lost, duplicated, delayed or
 * reordered.
 */
import {type RunState} from '@shallotpond/kernel/attempt-outcome';

export type IdempotencyClaim = {
	readonly kind: 'idempotency-claim';
	readonly id: number;
	/** Digest of workspace and key. */
	readonly digest: string;
};

export type IdempotencyVerdict =
	| {readonly kind: 'claimed'}
	/**
	 * The key was claimed before, and the earlier request ran (`ran`), or is running or may have run
	 * (`may-have-run`).
	 */
	| {readonly kind: 'duplicate'; readonly state: 'ran' | 'may-have-run'}
	/** Nothing was claimed. `retryAfter` in milliseconds. */
	| {
			readonly kind: 'refused';
			readonly reason: 'no-majority' | 'unknown-key' | 'full';
			readonly retryAfter: number;
	  };

export type IdempotencyAnswer = {
	readonly kind: 'idempotency-answer';
	readonly id: number;
	readonly verdict: IdempotencyVerdict;
};

export type IdempotencySettle = {
	readonly kind: 'idempotency-settle';
	readonly id: number;
	readonly digest: string;
	/** `not-run` frees the key at once, unless the owner of the key has changed since the claim. */
	readonly state: RunState;
};

export type IdempotencySettled = {readonly kind: 'idempotency-settled'; readonly id: number};

/** Asks the owner of a bucket to hand its records over to the sender. */
export type IdempotencyHandoverAsk = {
	readonly kind: 'idempotency-handover-ask';
	readonly id: number;
	readonly bucket: number;
};

export type IdempotencyRecord = {
	readonly digest: string;
	readonly holder: string;
	readonly id: number;
	readonly state: RunState | 'running';
	/** Milliseconds until the record expires. */
	readonly remaining: number;
};

export type IdempotencyHandover = {
	readonly kind: 'idempotency-handover';
	readonly id: number;
	readonly bucket: number;
	/** Milliseconds for which the sender has known of every claim in the bucket. */
	readonly knownFor: number;
	readonly records: readonly IdempotencyRecord[];
};

export type IdempotencyMessage =
	| IdempotencyClaim
	| IdempotencyAnswer
	| IdempotencySettle
	| IdempotencySettled
	| IdempotencyHandoverAsk
	| IdempotencyHandover;
