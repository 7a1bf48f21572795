/**
 * The owner's side of idempotency keys. Keys are divided into buckets. The majority owner of a
 * bucket, that is the instance to which more than half of its shares are lent, remembers every key
 * in memory for the retention time after its claim.
 *
 * Why no key is claimed twice within its retention, unless the first request has not run: only a
 * majority owner accepts claims, there is at most one majority owner at a time, and an owner that
 * has had the majority for less than the retention refuses keys that it does not know. After a
 * handover, the successor need not refuse unknown keys: the predecessor gives its records to one
 * successor and accepts no further claims in that bucket until it has lost the majority and gained
 * it again.
 */
import {type RunState} from '@shallotpond/kernel/attempt-outcome';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type ShareFractionLookup} from '@shallotpond/policy-membership/share-fraction';
import {digestBucketOf} from './fingerprint.js';
import {
	type IdempotencyClaim,
	type IdempotencyHandover,
	type IdempotencyHandoverAsk,
	type IdempotencyMessage,
	type IdempotencySettle,
	type IdempotencyVerdict,
} from './idempotency-messages.js';

export type IdempotencyOwnerMessage =
	IdempotencyClaim | IdempotencySettle | IdempotencyHandoverAsk | IdempotencyHandover;

export type IdempotencyRegistryOptions = {
	readonly shareFractionOf: ShareFractionLookup;
	/**
	 * What a new owner does with a key that it does not know; `refuse` by default. `accept` gives up
	 * the guarantee that no key is claimed twice.
	 */
	readonly whenUnknown?: () => 'refuse' | 'accept';
	/**
	 * Milliseconds for which a key is remembered after its claim; `idempotencyRetention` by default.
	 * Requests must end within this time. A longer retention applies only to keys that are claimed
	 * after the change.
	 */
	readonly retention?: () => number;
	/** Maximum keys over all buckets, 100,000 by default; further keys are refused with `full`. */
	readonly maxRecords?: number;
};

export type IdempotencyRegistry = {
	handle(
		message: IdempotencyOwnerMessage,
		from: InstanceId,
		now: number,
	): Array<OutboundMessage<IdempotencyMessage>>;
	/**
	 * Asks the predecessor, that is the present majority owner, to hand a bucket over. Must be called
	 * before this instance gains the majority.
	 */
	requestHandover(
		bucket: number,
		predecessor: InstanceId,
		now: number,
	): Array<OutboundMessage<IdempotencyMessage>>;
	readonly size: number;
};

/** Default retention of a key, in milliseconds. */
export const idempotencyRetention = 120_000;

/**
 * Milliseconds from the ask within which the handover must arrive and this instance must gain the
 * majority. Far below the retention, so an instance that owns the bucket between the predecessor
 * and this instance has not been the majority owner long enough to accept a key that it does not
 * know.
 */
export const handoverTimeout = 10_000;

/** Maximum ratio of the clock speeds of two instances, which may differ by 1%. */
const maxClockSpeedRatio = 1.01;

const noMajorityRetryMs = 1000;
const fullRetryMs = 5000;

/** Maximum expired keys that one claim removes, so that expiry costs little per request. */
const maxExpiriesPerClaim = 4;

type KeyRecord = {
	/** The instance that claimed the key. */
	holder: InstanceId;
	/** Id of the claim, unique among the claims of the holder. */
	id: number;
	state: RunState | 'running';
	/** Monotonic milliseconds at which the record expires. */
	until: number;
	/**
	 * The tenure (see `tenureOf`) in which the key was claimed at this owner. Undefined for records
	 * from a handover or from a settlement without a known claim.
	 */
	tenure: number | undefined;
};

type Bucket = {
	/**
	 * In order of insertion. This is the order of expiry except after a handover or a change of the
	 * retention; then an expired record may be removed late, but it is no longer used.
	 */
	readonly records: Map<string, KeyRecord>;
	/** Tenure in which the bucket was handed over; no claims are accepted in the rest of it. */
	closedTenure?: number;
	successor?: InstanceId;
	/** The latest ask for a handover, until it is answered. */
	ask?: {readonly id: number; readonly predecessor: InstanceId; readonly askedAt: number};
	/**
	 * The handover that was received, and the tenure to which it applies once that tenure has begun.
	 */
	imported?: {readonly askedAt: number; readonly knownSince: number; tenure?: number};
};

type Context = {
	readonly from: InstanceId;
	readonly now: number;
};

export function createIdempotencyRegistry({
	shareFractionOf,
	whenUnknown = () => 'refuse',
	retention = () => idempotencyRetention,
	maxRecords = 100_000,
}: IdempotencyRegistryOptions): IdempotencyRegistry {
	const buckets = new Map<number, Bucket>();
	let size = 0;
	let lastAskId = 0;

	function bucketFor(index: number): Bucket {
		const bucket = buckets.get(index) ?? {records: new Map<string, KeyRecord>()};
		buckets.set(index, bucket);
		return bucket;
	}

	/**
	 * Returns the present tenure, that is the uninterrupted period in which this owner has the
	 * majority of the bucket, identified by its start (`majoritySince`). Undefined without the
	 * majority.
	 */
	function tenureOf(index: number, now: number): number | undefined {
		const {current, majoritySince} = shareFractionOf(`idempotency:${index}`, now);
		return current > 1 / 2 ? majoritySince : undefined;
	}

	function remove({records}: Bucket, digest: string): void {
		if (records.delete(digest)) {
			size--;
		}
	}

	function put({records}: Bucket, digest: string, record: KeyRecord): void {
		size += records.has(digest) ? 0 : 1;
		records.delete(digest);
		records.set(digest, record);
	}

	function expire(bucket: Bucket, now: number, maxCount: number): void {
		let removedCount = 0;
		for (const [digest, record] of bucket.records) {
			if (record.until > now || removedCount === maxCount) {
				return;
			}

			remove(bucket, digest);
			removedCount++;
		}
	}

	/**
	 * Monotonic milliseconds since when this owner has known of every claim in the bucket. Binds a
	 * received handover to the first tenure that begins after its ask, if that tenure begins within
	 * `handoverTimeout` of the ask.
	 */
	function knownSince(bucket: Bucket, tenure: number): number {
		const {imported} = bucket;
		if (imported === undefined) {
			return tenure;
		}

		const isFirst = imported.tenure === undefined && tenure > imported.askedAt;
		if (isFirst && tenure - imported.askedAt <= handoverTimeout) {
			imported.tenure = tenure;
		}

		return imported.tenure === tenure ? Math.min(tenure, imported.knownSince) : tenure;
	}

	function claim({id, digest}: IdempotencyClaim, {from, now}: Context): IdempotencyVerdict {
		const index = digestBucketOf(digest);
		const bucket = bucketFor(index);
		const tenure = tenureOf(index, now);
		if (tenure === undefined || bucket.closedTenure === tenure) {
			return {kind: 'refused', reason: 'no-majority', retryAfter: noMajorityRetryMs};
		}

		expire(bucket, now, maxExpiriesPerClaim);
		const known = findRecord(bucket, digest, now);
		// From this time on, every key that was claimed within the retention is known here.
		const completeAt = knownSince(bucket, tenure) + retention() * maxClockSpeedRatio;
		if (known?.holder === from && known.id === id) {
			// A repetition of a granted claim. Once the claim is settled, it is not granted again.
			return known.state === 'running' ? {kind: 'claimed'} : duplicateOf(known.state);
		}

		if (known !== undefined && known.state !== 'not-run') {
			return duplicateOf(known.state);
		}

		const isFree = known?.tenure === tenure;
		if (!isFree && whenUnknown() === 'refuse' && now < completeAt) {
			return {kind: 'refused', reason: 'unknown-key', retryAfter: completeAt - now};
		}

		if (known === undefined && size >= maxRecords) {
			expireAll(now);
			if (size >= maxRecords) {
				return {kind: 'refused', reason: 'full', retryAfter: fullRetryMs};
			}
		}

		put(bucket, digest, {holder: from, id, state: 'running', until: now + retention(), tenure});
		return {kind: 'claimed'};
	}

	/** Linear in the records. Runs only while the registry is full. */
	function expireAll(now: number): void {
		for (const bucket of buckets.values()) {
			expire(bucket, now, Number.POSITIVE_INFINITY);
		}
	}

	const handlers: MessageHandlers<
		IdempotencyOwnerMessage,
		Context,
		Array<OutboundMessage<IdempotencyMessage>>
	> = {
		'idempotency-claim'(message, context) {
			const verdict = claim(message, context);
			return [{to: context.from, message: {kind: 'idempotency-answer', id: message.id, verdict}}];
		},
		'idempotency-settle'({id, digest, state}, {from, now}) {
			const index = digestBucketOf(digest);
			const bucket = bucketFor(index);
			const tenure = tenureOf(index, now);
			// Without the majority, or after a handover, the settlement belongs to another owner, to
			// which the sender resends it.
			if (tenure === undefined || bucket.closedTenure === tenure) {
				return [];
			}

			const record = findRecord(bucket, digest, now);
			if (record?.holder === from && record.id === id && record.state === 'running') {
				record.state = state;
				// `not-run` frees the key at once only within the tenure of the claim: after a later change
				// of owners, another owner may have accepted a claim of the same key.
			} else if (record === undefined && size < maxRecords) {
				// Records the state although the claim is unknown, which also prevents a late copy of the
				// claim from claiming the key again. The record has no tenure, because it does not prove
				// that the key is free.
				const until = now + retention();
				put(bucket, digest, {holder: from, id, state, until, tenure: undefined});
			}

			return [{to: from, message: {kind: 'idempotency-settled', id}}];
		},
		'idempotency-handover-ask'({id, bucket: index}, {from, now}) {
			const bucket = bucketFor(index);
			const tenure = tenureOf(index, now);
			if (tenure === undefined) {
				return [];
			}

			if (bucket.closedTenure === tenure && bucket.successor !== from) {
				return [];
			}

			const message = exportBucket(bucket, {id, index, since: knownSince(bucket, tenure), now});
			bucket.closedTenure = tenure;
			bucket.successor = from;
			return [{to: from, message}];
		},
		'idempotency-handover'({id, bucket: index, knownFor, records}, {from, now}) {
			const bucket = bucketFor(index);
			const {ask} = bucket;
			const isExpected = ask?.id === id && ask.predecessor === from;
			if (!isExpected || now - ask.askedAt > handoverTimeout) {
				return [];
			}

			bucket.ask = undefined;
			// When not all records fit, the handover is ignored, and this owner refuses unknown keys for
			// the retention, as it would without a handover.
			if (size - bucket.records.size + records.length > maxRecords) {
				return [];
			}

			importRecords(bucket, {records, askedAt: ask.askedAt, tenure: tenureOf(index, now)});
			bucket.imported = {askedAt: ask.askedAt, knownSince: now - knownFor};
			return [];
		},
	};

	/** Replaces the records of the bucket, except those that were claimed in the current tenure. */
	function importRecords(
		bucket: Bucket,
		{
			records,
			askedAt,
			tenure,
		}: {
			readonly records: IdempotencyHandover['records'];
			readonly askedAt: number;
			readonly tenure: number | undefined;
		},
	): void {
		for (const [digest, record] of bucket.records) {
			if (record.tenure === undefined || record.tenure !== tenure) {
				remove(bucket, digest);
			}
		}

		for (const {digest, holder, id, state, remaining} of records) {
			if (!bucket.records.has(digest)) {
				// The predecessor computed `remaining` after the ask was sent, and at most
				// `handoverTimeout` later. The record is kept for that timeout longer, so that it does not
				// expire too early.
				const until = askedAt + handoverTimeout + remaining;
				put(bucket, digest, {holder, id, state, until, tenure: undefined});
			}
		}
	}

	return {
		handle: (message, from, now) => dispatchMessage(handlers, message, {from, now}),
		requestHandover(index, predecessor, now) {
			const id = ++lastAskId;
			bucketFor(index).ask = {id, predecessor, askedAt: now};
			return [{to: predecessor, message: {kind: 'idempotency-handover-ask', id, bucket: index}}];
		},
		get size() {
			return size;
		},
	};
}

function findRecord(bucket: Bucket, digest: string, now: number): KeyRecord | undefined {
	const record = bucket.records.get(digest);
	return record !== undefined && record.until > now ? record : undefined;
}

function duplicateOf(state: RunState | 'running'): IdempotencyVerdict {
	return {kind: 'duplicate', state: state === 'ran' ? 'ran' : 'may-have-run'};
}

function exportBucket(
	bucket: Bucket,
	{
		id,
		index,
		since,
		now,
	}: {
		readonly id: number;
		readonly index: number;
		readonly since: number;
		readonly now: number;
	},
): IdempotencyHandover {
	const records = [...bucket.records].map(([digest, record]) => ({
		digest,
		holder: record.holder,
		id: record.id,
		state: record.state,
		remaining: record.until - now,
	}));
	return {
		kind: 'idempotency-handover',
		id,
		bucket: index,
		knownFor: now - since,
		records: records.filter(record => record.remaining > 0),
	};
}
