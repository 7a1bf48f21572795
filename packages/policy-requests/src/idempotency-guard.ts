/**
 * The entry side of idempotency keys: claims a key before its request is sent, and reports
 * afterwards whether the request ran.
 */
import {type Refusal, type RunState} from '@shallotpond/kernel/attempt-outcome';
import {dispatch, type Handlers} from '@shallotpond/kernel/handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
import {type OwnerLookup} from '@shallotpond/policy-membership/share-fraction';
import {bucketOf, digestFields} from './fingerprint.js';
import {
	type IdempotencyAnswer,
	type IdempotencyMessage,
	type IdempotencySettled,
	type IdempotencyVerdict,
} from './idempotency-messages.js';

export type IdempotencyGuardOptions = {
	readonly owner: OwnerLookup;
	/** Claims and settlements on their way; more claims are refused. */
	readonly maxPending?: number;
};

/** Unique per guard. */
export type ClaimTicket = number;

export type SettledClaim = {
	readonly ticket: ClaimTicket;
	/** With a claim, `settle` must be called once, and the request must be dispatched before
	 * `startBefore` (monotonic milliseconds) or settled as `not-run`. */
	readonly claim: {readonly kind: 'claimed'; readonly startBefore: number} | Refusal;
};

export type IdempotencyEffects = {
	readonly messages: ReadonlyArray<Outbound<IdempotencyMessage>>;
	readonly settled: readonly SettledClaim[];
};

export type IdempotencyGuard = {
	/** Claims a key. The ticket is settled by this or a later turn, at most `claimTerm` later. */
	claim(
		request: {readonly workspace: string; readonly key: string; readonly deadline: number},
		now: number,
	): IdempotencyEffects & {readonly ticket: ClaimTicket};
	/** Reports the end of a claimed request; `not-run` frees the key. Unknown tickets are ignored. */
	settle(ticket: ClaimTicket, state: RunState, now: number): IdempotencyEffects;
	handle(
		message: IdempotencyAnswer | IdempotencySettled,
		from: InstanceId,
		now: number,
	): IdempotencyEffects;
	/** Must be called about every 50 ms: resends what is lost and ends waits. */
	tick(now: number): IdempotencyEffects;
};

/** Milliseconds from the claim within which it must be answered and its request dispatched. A claim
 * used later could outlive its retention at the owner after a pause of this process. */
export const claimTimeout = 2000;

const resendAfter = 100;

/** Milliseconds for which a settlement is sent again. A lost one leaves the key at `may-have-run`. */
const settleTerm = 30_000;

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
	/** Where the claim went, when it is given up; otherwise the present owner is told. */
	readonly owner?: InstanceId;
	sentAt: number;
};

type Turn = {
	readonly now: number;
	readonly messages: Array<Outbound<IdempotencyMessage>>;
	readonly settled: SettledClaim[];
};

export function createIdempotencyGuard({
	owner,
	maxPending: mostPending = 4096,
}: IdempotencyGuardOptions): IdempotencyGuard {
	const claims = new Map<ClaimTicket, Claim>();
	/** Digests of the claims that were granted and not settled. */
	const held = new Map<ClaimTicket, string>();
	const settlements = new Map<ClaimTicket, Settlement>();
	let last = 0;

	function ownerOf(digest: string, now: number): InstanceId | undefined {
		return owner(`idempotency:${bucketOf(digest)}`, now);
	}

	function sendClaim(ticket: ClaimTicket, claim: Claim, turn: Turn): void {
		if (turn.now - claim.sentAt >= resendAfter) {
			claim.sentAt = turn.now;
			const message = {kind: 'idempotency-claim', id: ticket, digest: claim.digest} as const;
			turn.messages.push({to: claim.owner, message});
		}
	}

	function sendSettlement(ticket: ClaimTicket, settlement: Settlement, turn: Turn): void {
		const {digest, state} = settlement;
		const to = settlement.owner ?? ownerOf(digest, turn.now);
		if (to !== undefined && turn.now - settlement.sentAt >= resendAfter) {
			settlement.sentAt = turn.now;
			turn.messages.push({to, message: {kind: 'idempotency-settle', id: ticket, digest, state}});
		}
	}

	function beginSettlement(
		ticket: ClaimTicket,
		{
			digest,
			state,
			to,
		}: {readonly digest: string; readonly state: RunState; readonly to?: InstanceId},
		turn: Turn,
	): void {
		const giveUpAt = turn.now + settleTerm;
		const sentAt = Number.NEGATIVE_INFINITY;
		const settlement: Settlement = {digest, state, giveUpAt, owner: to, sentAt};
		settlements.set(ticket, settlement);
		sendSettlement(ticket, settlement, turn);
	}

	/** The owner may have claimed the key for this ticket, whose request is not sent any more. */
	function abandon(ticket: ClaimTicket, {digest, owner: to}: Claim, turn: Turn): void {
		claims.delete(ticket);
		beginSettlement(ticket, {digest, state: 'not-run', to}, turn);
		turn.settled.push({ticket, claim: noOwner});
	}

	const handlers: Handlers<
		IdempotencyAnswer | IdempotencySettled,
		{readonly turn: Turn; readonly from: InstanceId}
	> = {
		'idempotency-answer'({id, verdict}, {turn, from}) {
			const claim = claims.get(id);
			if (claim?.owner !== from) {
				return;
			}

			if (claim.giveUpAt <= turn.now) {
				abandon(id, claim, turn);
				return;
			}

			claims.delete(id);
			if (verdict.kind === 'claimed') {
				held.set(id, claim.digest);
				const {startBefore} = claim;
				turn.settled.push({ticket: id, claim: {kind: 'claimed', startBefore}});
			} else {
				turn.settled.push({ticket: id, claim: refusalFor(verdict)});
			}
		},
		'idempotency-settled'({id}) {
			settlements.delete(id);
		},
	};

	return {
		claim({workspace, key, deadline}, now) {
			const turn: Turn = {now, messages: [], settled: []};
			const ticket = ++last;
			const digest = digestFields([workspace, key]);
			const to = ownerOf(digest, now);
			if (to === undefined || claims.size + settlements.size >= mostPending) {
				turn.settled.push({ticket, claim: noOwner});
				return {...resultOf(turn), ticket};
			}

			const claim: Claim = {
				digest,
				owner: to,
				giveUpAt: Math.min(deadline, now + claimTimeout),
				startBefore: now + claimTimeout,
				sentAt: Number.NEGATIVE_INFINITY,
			};
			claims.set(ticket, claim);
			sendClaim(ticket, claim, turn);
			return {...resultOf(turn), ticket};
		},
		settle(ticket, state, now) {
			const turn: Turn = {now, messages: [], settled: []};
			const digest = held.get(ticket);
			held.delete(ticket);
			if (digest !== undefined) {
				beginSettlement(ticket, {digest, state}, turn);
			}

			return resultOf(turn);
		},
		handle(message, from, now) {
			const turn: Turn = {now, messages: [], settled: []};
			dispatch(handlers, message, {turn, from});
			return resultOf(turn);
		},
		tick(now) {
			const turn: Turn = {now, messages: [], settled: []};
			for (const [ticket, claim] of claims) {
				// A new owner is not asked for the same ticket: the earlier one may have claimed the key.
				if (claim.giveUpAt <= now || ownerOf(claim.digest, now) !== claim.owner) {
					abandon(ticket, claim, turn);
				} else {
					sendClaim(ticket, claim, turn);
				}
			}

			for (const [ticket, settlement] of settlements) {
				if (settlement.giveUpAt <= now) {
					settlements.delete(ticket);
				} else {
					sendSettlement(ticket, settlement, turn);
				}
			}

			return resultOf(turn);
		},
	};
}

function resultOf({messages, settled}: Turn): IdempotencyEffects {
	return {messages, settled};
}

const noOwner: Refusal = {
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
