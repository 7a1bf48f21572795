/**
 * Claims idempotency keys on the instance that received the request: asks the owner of the key's
 * bucket for the key before the request is sent, and reports to the owner afterwards whether the
 * request ran.
 */
import {type Refusal, type RunState} from '@shallotpond/kernel/attempt-outcome';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type OwnerLookup} from '@shallotpond/policy-membership/share-fraction';
import {digestBucketOf, digestFields} from './fingerprint.js';
import {
	type IdempotencyAnswer,
	type IdempotencyMessage,
	type IdempotencySettled,
	type IdempotencyVerdict,
} from './idempotency-messages.js';

export type IdempotencyGuardOptions = {
	readonly ownerOf: OwnerLookup;
	/** Maximum pending claims and settlements, 4096 by default; further claims are refused. */
	readonly maxPending?: number;
};

/** Identifies a claim at this guard. */
export type ClaimTicket = number;

export type SettledClaim = {
	readonly ticket: ClaimTicket;
	/**
	 * After `claimed`, the request must be dispatched before `startBefore` (monotonic milliseconds)
	 * or not at all, and `settle` must be called once, with `not-run` if it was not dispatched.
	 */
	readonly claim: {readonly kind: 'claimed'; readonly startBefore: number} | Refusal;
};

export type IdempotencyEffects = {
	readonly messages: ReadonlyArray<OutboundMessage<IdempotencyMessage>>;
	readonly settled: readonly SettledClaim[];
};

export type IdempotencyGuard = {
	/**
	 * Claims a key. The ticket is settled by this or a later call, at the latest by the first `tick`
	 * after `claimTimeout` or the deadline.
	 */
	claim(
		request: {readonly workspace: string; readonly key: string; readonly deadline: number},
		now: number,
	): IdempotencyEffects & {readonly ticket: ClaimTicket};
	/**
	 * Reports the end of a claimed request; `not-run` frees the key at once, unless the owner of the
	 * key has changed since the claim. Unknown tickets are ignored.
	 */
	settle(ticket: ClaimTicket, state: RunState, now: number): IdempotencyEffects;
	handle(
		message: IdempotencyAnswer | IdempotencySettled,
		from: InstanceId,
		now: number,
	): IdempotencyEffects;
	/** Must be called about every 50 ms: resends unanswered messages and ends waits. */
	tick(now: number): IdempotencyEffects;
};

/**
 * Milliseconds from the claim within which it must be answered and its request dispatched. If this
 * process paused and dispatched the request later, the owner could already have forgotten the key.
 */
export const claimTimeout = 2000;

/** Milliseconds after which an unanswered message is sent again. */
const resendAfter = 100;

/**
 * Milliseconds for which an unconfirmed settlement is resent. If all copies are lost, the owner
 * refuses the key with `may-have-run` until its retention ends.
 */
const settlementTtl = 30_000;

type Claim = {
	readonly digest: string;
	readonly owner: InstanceId;
	readonly giveUpAt: number;
	readonly startBefore: number;
	sentAt: number;
};

type Settlement = {
	readonly digest: string;
	readonly state: RunState;
	readonly giveUpAt: number;
	/**
	 * For an abandoned claim, the owner to which the claim was sent. Other settlements go to the
	 * owner at the time of sending.
	 */
	readonly owner?: InstanceId;
	sentAt: number;
};

type CallContext = {
	readonly now: number;
	readonly messages: Array<OutboundMessage<IdempotencyMessage>>;
	readonly settled: SettledClaim[];
};

export function createIdempotencyGuard({
	ownerOf,
	maxPending = 4096,
}: IdempotencyGuardOptions): IdempotencyGuard {
	const claims = new Map<ClaimTicket, Claim>();
	/** Digests of the claims that were granted and are not settled yet. */
	const held = new Map<ClaimTicket, string>();
	const settlements = new Map<ClaimTicket, Settlement>();
	let lastTicket = 0;

	function bucketOwnerOf(digest: string, now: number): InstanceId | undefined {
		return ownerOf(`idempotency:${digestBucketOf(digest)}`, now);
	}

	function sendClaimIfDue(ticket: ClaimTicket, claim: Claim, context: CallContext): void {
		if (context.now - claim.sentAt >= resendAfter) {
			claim.sentAt = context.now;
			const message = {kind: 'idempotency-claim', id: ticket, digest: claim.digest} as const;
			context.messages.push({to: claim.owner, message});
		}
	}

	function sendSettlementIfDue(
		ticket: ClaimTicket,
		settlement: Settlement,
		context: CallContext,
	): void {
		const {digest, state} = settlement;
		const to = settlement.owner ?? bucketOwnerOf(digest, context.now);
		if (to !== undefined && context.now - settlement.sentAt >= resendAfter) {
			settlement.sentAt = context.now;
			context.messages.push({to, message: {kind: 'idempotency-settle', id: ticket, digest, state}});
		}
	}

	function beginSettlement(
		ticket: ClaimTicket,
		{
			digest,
			state,
			to,
		}: {readonly digest: string; readonly state: RunState; readonly to?: InstanceId},
		context: CallContext,
	): void {
		const giveUpAt = context.now + settlementTtl;
		const sentAt = Number.NEGATIVE_INFINITY;
		const settlement: Settlement = {digest, state, giveUpAt, owner: to, sentAt};
		settlements.set(ticket, settlement);
		sendSettlementIfDue(ticket, settlement, context);
	}

	/**
	 * Refuses the request and settles its claim as `not-run`, because the owner may have granted the
	 * claim.
	 */
	function abandon(ticket: ClaimTicket, {digest, owner: to}: Claim, context: CallContext): void {
		claims.delete(ticket);
		beginSettlement(ticket, {digest, state: 'not-run', to}, context);
		context.settled.push({ticket, claim: noOwnerRefusal});
	}

	const handlers: MessageHandlers<
		IdempotencyAnswer | IdempotencySettled,
		{readonly context: CallContext; readonly from: InstanceId}
	> = {
		'idempotency-answer'({id, verdict}, {context, from}) {
			const claim = claims.get(id);
			if (claim?.owner !== from) {
				return;
			}

			if (claim.giveUpAt <= context.now) {
				abandon(id, claim, context);
				return;
			}

			claims.delete(id);
			if (verdict.kind === 'claimed') {
				held.set(id, claim.digest);
				const {startBefore} = claim;
				context.settled.push({ticket: id, claim: {kind: 'claimed', startBefore}});
			} else {
				context.settled.push({ticket: id, claim: refusalFor(verdict)});
			}
		},
		'idempotency-settled'({id}) {
			settlements.delete(id);
		},
	};

	return {
		claim({workspace, key, deadline}, now) {
			const context: CallContext = {now, messages: [], settled: []};
			const ticket = ++lastTicket;
			const digest = digestFields([workspace, key]);
			const to = bucketOwnerOf(digest, now);
			if (to === undefined || claims.size + settlements.size >= maxPending) {
				context.settled.push({ticket, claim: noOwnerRefusal});
				return {...effectsOf(context), ticket};
			}

			const claim: Claim = {
				digest,
				owner: to,
				giveUpAt: Math.min(deadline, now + claimTimeout),
				startBefore: now + claimTimeout,
				sentAt: Number.NEGATIVE_INFINITY,
			};
			claims.set(ticket, claim);
			sendClaimIfDue(ticket, claim, context);
			return {...effectsOf(context), ticket};
		},
		settle(ticket, state, now) {
			const context: CallContext = {now, messages: [], settled: []};
			const digest = held.get(ticket);
			held.delete(ticket);
			if (digest !== undefined) {
				beginSettlement(ticket, {digest, state}, context);
			}

			return effectsOf(context);
		},
		handle(message, from, now) {
			const context: CallContext = {now, messages: [], settled: []};
			dispatchMessage(handlers, message, {context, from});
			return effectsOf(context);
		},
		tick(now) {
			const context: CallContext = {now, messages: [], settled: []};
			for (const [ticket, claim] of claims) {
				// When the owner changes, the claim is abandoned and not sent to the new owner, because the
				// earlier owner may have granted it.
				if (claim.giveUpAt <= now || bucketOwnerOf(claim.digest, now) !== claim.owner) {
					abandon(ticket, claim, context);
				} else {
					sendClaimIfDue(ticket, claim, context);
				}
			}

			for (const [ticket, settlement] of settlements) {
				if (settlement.giveUpAt <= now) {
					settlements.delete(ticket);
				} else {
					sendSettlementIfDue(ticket, settlement, context);
				}
			}

			return effectsOf(context);
		},
	};
}

function effectsOf({messages, settled}: CallContext): IdempotencyEffects {
	return {messages, settled};
}

const noOwnerRefusal: Refusal = {
	kind: 'refused',
	code: 'idempotency-unavailable',
	status: 503,
	detail: 'no owner of this idempotency key can be reached',
	runState: 'not-run',
	retryAfter: 1000,
};

const refusalDetails = {
	'no-majority': 'the owner of this idempotency key has no majority of the fleet',
	'unknown-key': 'the owner of this idempotency key is new and cannot know whether it was used',
	full: 'the memory for idempotency keys is full',
} as const;

function refusalFor(verdict: Exclude<IdempotencyVerdict, {readonly kind: 'claimed'}>): Refusal {
	if (verdict.kind === 'duplicate') {
		return {
			kind: 'refused',
			code: 'idempotency-key-used',
			status: 409,
			detail: 'a request with this idempotency key was received before',
			runState: verdict.state,
		};
	}

	return {
		kind: 'refused',
		code: `idempotency-${verdict.reason}`,
		status: 503,
		detail: refusalDetails[verdict.reason],
		runState: 'not-run',
		retryAfter: verdict.retryAfter,
	};
}
