/**
 * Messages about workspace tokens between a requester, which is the instance that received a
 * request, and the owner of `rate:<workspace>`. The requester chooses the `id` of an ask, unique
 * among the requester's asks; the other messages that concern the ask repeat this id. Every message
 * may be lost, duplicated, delayed or reordered.
 */

export type TokenAsk = {
	readonly kind: 'token-ask';
	readonly id: number;
	readonly workspace: string;
	/** Tokens wanted, at least 1. The owner may grant fewer. */
	readonly count: number;
	/** Milliseconds for which the oldest of the requests that need these tokens has waited. */
	readonly waited: number;
};

export type TokenGrant = {
	readonly kind: 'token-grant';
	readonly id: number;
	readonly workspace: string;
	readonly count: number;
	/**
	 * Milliseconds for which the tokens may be used. The requester counts them from when it first
	 * sent the ask.
	 */
	readonly validFor: number;
	/** Whether the requester must send a `token-return` as soon as all tokens are used. */
	readonly report: boolean;
};

export type TokenRefusal = {
	readonly kind: 'token-refusal';
	readonly id: number;
	readonly workspace: string;
	/**
	 * Milliseconds from receipt of the refusal until the requester may send the owner another ask for
	 * this workspace.
	 */
	readonly retryAfter: number;
};

/**
 * Reports how many tokens of a grant were used and how many are given back, as cumulative totals,
 * so that a repeated or late message changes nothing.
 */
export type TokenReturn = {
	readonly kind: 'token-return';
	readonly id: number;
	readonly workspace: string;
	readonly used: number;
	/** Tokens that the requester gave up and will not use. */
	readonly returned: number;
};

export type TokenMessage = TokenAsk | TokenGrant | TokenRefusal | TokenReturn;
export type TokenOwnerMessage = TokenAsk | TokenReturn;
export type TokenRequesterMessage = TokenGrant | TokenRefusal;
