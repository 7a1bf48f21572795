/**
 * The owner's side of workspace rates: grants tokens to the requesters. A requester asks the
 * instance to which it lends its share of the rate. How much an owner may grant does not depend on
 * who asks, only on its authority: the part of the rate and burst that follows from the shares that
 * are lent to it.
 *
 * Why admitted <= rate x time + burst holds over all owners: let G be the lifetime of a grant as
 * the owner measures it. An owner grants only while its tokens and outstanding grants fit into the
 * capacity that it had at every moment of the last G. Whatever can still be used at a time t
 * therefore fits into the capacities of all owners at t - G, whose sum is at most the burst. What
 * is added after t is at most rate x authority per owner, and the authorities sum to at most 1.
 */
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {
	type ShareFraction,
	type ShareFractionLookup,
} from '@shallotpond/policy-membership/share-fraction';
import {createTokenAskQueue, type TokenAskQueue} from './token-ask-queue.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import {
	type TokenOwnerMessage,
	type TokenRequesterMessage,
	type TokenAsk,
	type TokenReturn,
} from './token-messages.js';
import {
	tokenGrantTtl,
	ownerTokenGrantTtl,
	rateResource,
	minAuthoritySince,
	tokenCapacity,
	type RateLimitLookup,
	type WorkspaceRateLimit,
} from './workspace-rate-limit.js';

export type RateOwnerOptions = {
	readonly shareFractionOf: ShareFractionLookup;
	readonly limits: RateLimitLookup;
	/** `fleet.minorityFraction`, 0 to 1. All instances must use the same value. */
	readonly minorityFraction: () => number;
};

export type RateOwner = {
	/**
	 * Handles one message. The returned messages may be for other requesters too. An ask for a
	 * workspace without limits is refused. An ask for which no token is free is queued.
	 */
	handle(
		message: TokenOwnerMessage,
		from: InstanceId,
		now: number,
	): Array<OutboundMessage<TokenRequesterMessage>>;
	/**
	 * Serves asks that wait for tokens. Must be called about every 5 ms. Linear in the workspaces
	 * with queued asks.
	 */
	tick(now: number): Array<OutboundMessage<TokenRequesterMessage>>;
};

/** Milliseconds after which an ask for a workspace without limits may be repeated. */
const unknownWorkspaceRetryMs = 50;

type Grant = {
	readonly count: number;
	readonly expiresAt: number;
	readonly answer: OutboundMessage<TokenRequesterMessage>;
	used: number;
	returned: number;
};

type Account = {
	readonly bucket: TokenBucket;
	/**
	 * By requester and id of the ask. All grants have the same lifetime, so the oldest entry expires
	 * first.
	 */
	readonly grants: Map<string, Grant>;
	readonly queue: TokenAskQueue;
	updatedAt: number;
	capacity: number;
};

type MessageContext = {
	readonly from: InstanceId;
	readonly now: number;
};

export function createRateOwner(options: RateOwnerOptions): RateOwner {
	// At most one per workspace that was configured since the start. Accounts are kept when their
	// workspace is removed, because a workspace that is added again must not find a full bucket.
	const accounts = new Map<string, Account>();
	const queuedWorkspaces = new Set<string>();

	function refresh(workspace: string, limits: WorkspaceRateLimit, now: number): Account {
		const fraction = options.shareFractionOf(rateResource(workspace), now);
		const account = accounts.get(workspace) ?? createAccount(fraction);
		accounts.set(workspace, account);
		refill({account, limits, fraction, minorityFraction: options.minorityFraction(), now});
		return account;
	}

	/** Grants queued asks, oldest request first, until the tokens are used up. */
	function serve(
		workspace: string,
		account: Account,
		now: number,
	): Array<OutboundMessage<TokenRequesterMessage>> {
		const answers: Array<OutboundMessage<TokenRequesterMessage>> = [];
		let queued = account.queue.first(now);
		while (queued !== undefined) {
			const count = account.bucket.grant(Math.max(1, Math.floor(queued.ask.count)));
			if (count === 0) {
				break;
			}

			account.queue.removeFirst();
			answers.push(recordGrant(account, {message: queued.ask, from: queued.from, count, now}));
			queued = account.queue.first(now);
		}

		if (queued === undefined) {
			queuedWorkspaces.delete(workspace);
		} else {
			queuedWorkspaces.add(workspace);
		}

		return answers;
	}

	const handlers: MessageHandlers<
		TokenOwnerMessage,
		MessageContext,
		Array<OutboundMessage<TokenRequesterMessage>>
	> = {
		'token-ask'(message, {from, now}) {
			const limits = options.limits(message.workspace);
			if (limits === undefined) {
				return [createRefusal(message, from, unknownWorkspaceRetryMs)];
			}

			const account = refresh(message.workspace, limits, now);
			const known = account.grants.get(grantKey(from, message.id));
			if (known !== undefined) {
				return [known.answer];
			}

			account.queue.add(message, from, now);
			return serve(message.workspace, account, now);
		},
		'token-return'(message, {from, now}) {
			const limits = options.limits(message.workspace);
			if (limits === undefined || !accounts.has(message.workspace)) {
				return [];
			}

			const account = refresh(message.workspace, limits, now);
			settleGrant(account, message, from);
			return serve(message.workspace, account, now);
		},
	};

	return {
		handle: (message, from, now) => dispatchMessage(handlers, message, {from, now}),
		tick(now) {
			return [...queuedWorkspaces].flatMap(workspace => {
				const limits = options.limits(workspace);
				if (limits === undefined) {
					queuedWorkspaces.delete(workspace);
					return [];
				}

				return serve(workspace, refresh(workspace, limits, now), now);
			});
		},
	};
}

function grantKey(from: InstanceId, id: number): string {
	return `${from} ${id}`;
}

/**
 * A new account is filled as if it had existed since this instance got the majority of the shares;
 * without a majority it starts empty.
 */
function createAccount({majoritySince}: ShareFraction): Account {
	return {
		bucket: createTokenBucket(),
		grants: new Map(),
		queue: createTokenAskQueue(),
		updatedAt: majoritySince ?? Number.NEGATIVE_INFINITY,
		capacity: 0,
	};
}

function refill({
	account,
	limits,
	fraction,
	minorityFraction,
	now,
}: {
	readonly account: Account;
	readonly limits: WorkspaceRateLimit;
	readonly fraction: ShareFraction;
	readonly minorityFraction: number;
	readonly now: number;
}): void {
	const usableFrom = usableSince(fraction, now);
	// If this is the first call since `usableFrom`, the bucket starts empty at that time, because
	// grants that other owners made earlier could be in use until then. Otherwise the bucket is
	// refilled from the last call on, and capacity that was gained since then starts empty.
	const isMajorityNew = usableFrom !== undefined && account.updatedAt <= usableFrom;
	const fillStart = isMajorityNew ? usableFrom : account.updatedAt;
	const steadyFrom = isMajorityNew
		? fraction.majoritySince!
		: Math.min(account.updatedAt, now - ownerTokenGrantTtl);
	const {authority, isMajority} = minAuthoritySince(fraction, minorityFraction, steadyFrom, now);
	const capacity = tokenCapacity(limits.burst, authority, isMajority);
	const limit = isMajorityNew ? capacity : Math.min(account.capacity, capacity);
	if (isMajorityNew) {
		account.bucket.update(0, 0);
	}

	// Refill and expiry are applied in order of time, because an outstanding grant blocks refill
	// until it expires.
	const refillPerMs = (limits.rate * authority) / 1000;
	let filledTo = authority === 0 ? now : fillStart;
	for (const [key, grant] of account.grants) {
		if (grant.expiresAt > now) {
			break;
		}

		const elapsed = Math.max(0, grant.expiresAt - filledTo);
		account.bucket.update(refillPerMs * elapsed, limit);
		account.bucket.settle(grant.count - grant.used - grant.returned, false);
		account.grants.delete(key);
		filledTo += elapsed;
	}

	account.bucket.update(refillPerMs * Math.max(0, now - filledTo), limit);
	account.updatedAt = now;
	account.capacity = capacity;
}

/**
 * Monotonic milliseconds by which all grants had expired that other owners made before this
 * instance got the majority of the shares. `undefined` without a majority or while such grants can
 * be in use.
 */
function usableSince({majoritySince}: ShareFraction, now: number): number | undefined {
	if (majoritySince === undefined || majoritySince + ownerTokenGrantTtl > now) {
		return undefined;
	}

	return majoritySince + ownerTokenGrantTtl;
}

function recordGrant(
	account: Account,
	{
		message,
		from,
		count,
		now,
	}: {
		readonly message: TokenAsk;
		readonly from: InstanceId;
		readonly count: number;
		readonly now: number;
	},
): OutboundMessage<TokenRequesterMessage> {
	const answer = {
		to: from,
		message: {
			kind: 'token-grant',
			id: message.id,
			workspace: message.workspace,
			count,
			validFor: tokenGrantTtl,
			// A grant whose use is not reported blocks capacity until it expires. Reports are therefore
			// requested while more than a quarter of the capacity is outstanding.
			report: account.bucket.outstanding * 4 > account.capacity,
		},
	} as const;
	account.grants.set(grantKey(from, message.id), {
		count,
		expiresAt: now + ownerTokenGrantTtl,
		answer,
		used: 0,
		returned: 0,
	});
	return answer;
}

/**
 * Settled grants stay recorded until they expire, so that a late copy of the ask gets no new
 * tokens.
 */
function settleGrant(account: Account, message: TokenReturn, from: InstanceId): void {
	const grant = account.grants.get(grantKey(from, message.id));
	if (grant === undefined) {
		return;
	}

	const left = grant.count - grant.used - grant.returned;
	const used = Math.min(left, Math.max(0, message.used - grant.used));
	const returned = Math.min(left - used, Math.max(0, message.returned - grant.returned));
	grant.used += used;
	grant.returned += returned;
	account.bucket.settle(used, false);
	account.bucket.settle(returned, true);
}

function createRefusal(
	{id, workspace}: TokenAsk,
	to: InstanceId,
	retryAfter: number,
): OutboundMessage<TokenRequesterMessage> {
	return {to, message: {kind: 'token-refusal', id, workspace, retryAfter}};
}
