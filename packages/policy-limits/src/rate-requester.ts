/**
 * The requester's side of workspace rates, on the instance that received the request: takes a token
 * for each request, from grants of the owner or, while this instance lends its share of the rate to
 * no one, from its own share.
 *
 * Memory is linear in the workspaces that had requests here in the last four seconds: every two
 * seconds, `tick` removes those without a request for two seconds. Between these removals, the cost
 * of `tick` is linear in the workspaces that have waiting requests, grants or asks here, or for
 * which this instance uses its own share.
 */
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type OwnerLookup, type ResourceName} from '@shallotpond/policy-membership/share-fraction';
import {createDemandMeter, type DemandMeter} from './demand-meter.js';
import {createOwnShareBucket, type OwnShareBucket} from './own-share-bucket.js';
import {type TokenOwnerMessage, type TokenRequesterMessage} from './token-messages.js';
import {tokenGrantTtl, rateResource, type RateLimitLookup} from './workspace-rate-limit.js';

export type RateRequesterOptions = {
	readonly ownerOf: OwnerLookup;
	/**
	 * Part of a resource, 0 to 1, that this instance may use itself while it lends its share to no one:
	 * 1 / `fleet.maxInstances`, or 0 for the duration of a lease after the start of the process.
	 */
	readonly ownShare: (resource: ResourceName, now: number) => number;
	readonly limits: RateLimitLookup;
	/** `fleet.minorityFraction`, 0 to 1. */
	readonly minorityFraction: () => number;
};

/** Number of a waiting request, unique per requester. */
export type WaitingRequestId = number;

export type AdmissionDecision =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'wait'; readonly request: WaitingRequestId}
	/** `retryAfter` in milliseconds. The request did not run. */
	| {readonly kind: 'refused'; readonly retryAfter: number};

export type SettledRequest = {
	readonly request: WaitingRequestId;
	readonly admission: Exclude<AdmissionDecision, {readonly kind: 'wait'}>;
};

export type RateEffects = {
	/** Waiting requests that are now decided, in order of arrival per workspace. */
	readonly settled: readonly SettledRequest[];
	readonly messages: ReadonlyArray<OutboundMessage<TokenOwnerMessage>>;
};

export type RateRequester = {
	/**
	 * Requests one token. A waiting request is settled by a later call of `admit`, `handle` or `tick`;
	 * the first `tick` after `tokenWaitTimeout` settles it at the latest.
	 */
	admit(workspace: string, now: number): RateEffects & {readonly admission: AdmissionDecision};
	handle(message: TokenRequesterMessage, from: InstanceId, now: number): RateEffects;
	/** Must be called about every 10 ms while requests wait, and at least every 50 ms otherwise. */
	tick(now: number): RateEffects;
	/**
	 * Removes a waiting request whose caller has disconnected. Linear in the requests that wait for
	 * the workspace.
	 */
	cancel(workspace: string, request: WaitingRequestId): void;
	readonly waitingCount: number;
};

/** Milliseconds for which a request waits for a token before it is refused. */
export const tokenWaitTimeout = 250;

/** Milliseconds after which an unanswered ask is sent again with the same id. */
const resendAfter = 30;

/** An ask requests at least the tokens for this many milliseconds of recent demand. */
const demandPerAsk = 50;

/** Milliseconds after the ask at which unused tokens of its grant are returned. */
const returnAfter = 60;

/**
 * Maximum waiting requests of all workspaces, to bound memory; further requests are refused at
 * once.
 */
const maxWaiting = 10_000;

/** Milliseconds without a request after which the state of a workspace is forgotten. */
const forgetAfter = 2000;

type Grant = {
	readonly id: number;
	readonly owner: InstanceId;
	readonly askedAt: number;
	readonly expiresAt: number;
	readonly count: number;
	readonly report: boolean;
	used: number;
};

type Ask = {
	readonly id: number;
	readonly owner: InstanceId;
	readonly count: number;
	/**
	 * Monotonic milliseconds from which the lifetime of the grant is counted, whichever copy of the
	 * ask is answered.
	 */
	readonly askedAt: number;
	sentAt: number;
	isRefused: boolean;
};

type Entry = {
	readonly workspace: string;
	readonly demand: DemandMeter;
	readonly ownShare: OwnShareBucket;
	readonly waiting: Array<{readonly request: WaitingRequestId; readonly since: number}>;
	readonly grants: Grant[];
	/** By id: unexpired asks without a grant. */
	readonly asks: Map<number, Ask>;
	latestAsk: Ask | undefined;
	/**
	 * Monotonic milliseconds until which an owner that has refused the latest ask is not asked again.
	 * The expiry of the refused ask ends this wait early.
	 */
	retryAt: number;
	lastRequestAt: number;
	usesOwnShare: boolean;
};

type CallContext = {
	readonly now: number;
	readonly settled: SettledRequest[];
	readonly messages: Array<OutboundMessage<TokenOwnerMessage>>;
};

export function createRateRequester(options: RateRequesterOptions): RateRequester {
	const entries = new Map<string, Entry>();
	/** Entries that `tick` must visit because they change with time; all others are idle. */
	const active = new Set<Entry>();
	let lastRemovalAt = Number.NEGATIVE_INFINITY;
	let lastAsk = 0;
	let lastRequest = 0;
	let waiting = 0;

	function entryOf(workspace: string, now: number): Entry {
		let entry = entries.get(workspace);
		if (entry === undefined) {
			entry = createEntry(workspace, now);
			entries.set(workspace, entry);
		}

		return entry;
	}

	/** Takes one token if one is usable now. */
	function takeToken(entry: Entry, context: CallContext): boolean {
		return takeGranted(entry, context) || takeOwn(entry, context.now);
	}

	function takeOwn(entry: Entry, now: number): boolean {
		return entry.ownShare.take(
			options.limits(entry.workspace),
			ownAuthority(entry.workspace, now),
			now,
		);
	}

	function ownAuthority(workspace: string, now: number): number {
		const resource = rateResource(workspace);
		const isUnlent = options.ownerOf(resource, now) === undefined;
		return isUnlent ? options.ownShare(resource, now) * options.minorityFraction() : 0;
	}

	/**
	 * Admits waiting requests while there are tokens, and refuses those that have waited too long.
	 */
	function settleWaiting(entry: Entry, context: CallContext): void {
		while (entry.waiting.length > 0 && takeToken(entry, context)) {
			settleFirst(entry, context, {kind: 'admitted'});
		}

		while (
			entry.waiting[0] !== undefined &&
			entry.waiting[0].since + tokenWaitTimeout <= context.now
		) {
			settleFirst(entry, context, {kind: 'refused', retryAfter: tokenWaitTimeout});
		}
	}

	function settleFirst(
		entry: Entry,
		context: CallContext,
		admission: SettledRequest['admission'],
	): void {
		const first = entry.waiting.shift()!;
		waiting--;
		context.settled.push({request: first.request, admission});
	}

	function askIfNeeded(entry: Entry, context: CallContext): void {
		const owner = options.ownerOf(rateResource(entry.workspace), context.now);
		if (entry.waiting.length === 0 || owner === undefined) {
			return;
		}

		const {latestAsk} = entry;
		if (latestAsk?.owner === owner && entry.asks.has(latestAsk.id)) {
			if (!latestAsk.isRefused) {
				sendAskIfDue(entry, latestAsk, context);
				return;
			}

			if (context.now < entry.retryAt) {
				return;
			}
		}

		const expected = Math.floor(entry.demand.rate(context.now) * demandPerAsk);
		const ask: Ask = {
			id: ++lastAsk,
			owner,
			count: Math.max(entry.waiting.length, expected),
			askedAt: context.now,
			sentAt: Number.NEGATIVE_INFINITY,
			isRefused: false,
		};
		entry.asks.set(ask.id, ask);
		entry.latestAsk = ask;
		sendAskIfDue(entry, ask, context);
	}

	/** Updates a workspace to the current time and sends the messages that are due. */
	function advance(entry: Entry, context: CallContext): void {
		expire(entry, context.now);
		const authority = ownAuthority(entry.workspace, context.now);
		entry.ownShare.observe(options.limits(entry.workspace), authority, context.now);
		entry.usesOwnShare = authority > 0;
		settleWaiting(entry, context);
		returnUnused(entry, context);
		askIfNeeded(entry, context);
		updateActive(entry);
	}

	/**
	 * Keeps idle entries out of `tick`. Visiting every workspace with recent requests took 5% of a
	 * core with 800 of them.
	 */
	function updateActive(entry: Entry): void {
		const isIdle =
			entry.waiting.length === 0 &&
			entry.grants.length === 0 &&
			entry.asks.size === 0 &&
			!entry.usesOwnShare;
		if (isIdle) {
			active.delete(entry);
		} else {
			active.add(entry);
		}
	}

	function forgetUnused(now: number): void {
		if (now - lastRemovalAt < forgetAfter) {
			return;
		}

		lastRemovalAt = now;
		for (const [workspace, entry] of entries) {
			if (entry.waiting.length === 0 && now - entry.lastRequestAt > forgetAfter) {
				entries.delete(workspace);
				active.delete(entry);
			}
		}
	}

	const handlers: MessageHandlers<
		TokenRequesterMessage,
		{readonly entry: Entry; readonly from: InstanceId; readonly now: number}
	> = {
		'token-grant'(message, {entry, from}) {
			const ask = entry.asks.get(message.id);
			if (ask?.owner === from) {
				// Only the first grant for an ask counts; copies find no ask.
				entry.asks.delete(ask.id);
				entry.grants.push({
					id: ask.id,
					owner: from,
					askedAt: ask.askedAt,
					expiresAt: ask.askedAt + Math.min(message.validFor, tokenGrantTtl),
					count: message.count,
					report: message.report,
					used: 0,
				});
			}
		},
		'token-refusal'(message, {entry, from, now}) {
			const ask = entry.asks.get(message.id);
			// The refused ask is kept, because the owner may still grant a copy of it.
			if (ask?.owner === from && !ask.isRefused) {
				ask.isRefused = true;
				entry.retryAt = now + message.retryAfter;
			}
		},
	};

	return {
		admit(workspace, now) {
			const context: CallContext = {now, settled: [], messages: []};
			if (options.limits(workspace) === undefined || waiting >= maxWaiting) {
				return {...effectsOf(context), admission: {kind: 'refused', retryAfter: tokenWaitTimeout}};
			}

			const entry = entryOf(workspace, now);
			entry.lastRequestAt = now;
			entry.demand.count(now);
			advance(entry, context);
			if (entry.waiting.length === 0 && takeToken(entry, context)) {
				return {...effectsOf(context), admission: {kind: 'admitted'}};
			}

			const request = ++lastRequest;
			entry.waiting.push({request, since: now});
			waiting++;
			active.add(entry);
			askIfNeeded(entry, context);
			return {...effectsOf(context), admission: {kind: 'wait', request}};
		},
		handle(message, from, now) {
			const context: CallContext = {now, settled: [], messages: []};
			const entry = entries.get(message.workspace);
			if (entry !== undefined) {
				dispatchMessage(handlers, message, {entry, from, now});
				advance(entry, context);
			}

			return effectsOf(context);
		},
		tick(now) {
			const context: CallContext = {now, settled: [], messages: []};
			for (const entry of active) {
				advance(entry, context);
			}

			forgetUnused(now);

			return effectsOf(context);
		},
		cancel(workspace, request) {
			const entry = entries.get(workspace);
			const index = entry?.waiting.findIndex(item => item.request === request) ?? -1;
			if (index !== -1) {
				entry!.waiting.splice(index, 1);
				waiting--;
			}
		},
		get waitingCount() {
			return waiting;
		},
	};
}

function effectsOf({settled, messages}: CallContext): RateEffects {
	return {settled, messages};
}

function createEntry(workspace: string, now: number): Entry {
	return {
		workspace,
		demand: createDemandMeter(),
		ownShare: createOwnShareBucket(),
		waiting: [],
		grants: [],
		asks: new Map(),
		latestAsk: undefined,
		retryAt: now,
		lastRequestAt: now,
		usesOwnShare: false,
	};
}

/**
 * Removes expired grants and asks. Runs before each use of a grant, so that a process that resumes
 * late uses no expired token.
 */
function expire(entry: Entry, now: number): void {
	for (let index = entry.grants.length - 1; index >= 0; index--) {
		if (entry.grants[index]!.expiresAt <= now) {
			entry.grants.splice(index, 1);
		}
	}

	for (const ask of entry.asks.values()) {
		if (ask.askedAt + tokenGrantTtl <= now) {
			entry.asks.delete(ask.id);
		}
	}
}

function takeGranted(entry: Entry, context: CallContext): boolean {
	const grant = entry.grants[0];
	if (grant === undefined) {
		return false;
	}

	grant.used++;
	if (grant.used === grant.count) {
		entry.grants.shift();
		if (grant.report) {
			report(entry, grant, context);
		}
	}

	return true;
}

function returnUnused(entry: Entry, context: CallContext): void {
	for (let index = entry.grants.length - 1; index >= 0; index--) {
		const grant = entry.grants[index]!;
		if (grant.askedAt + returnAfter <= context.now) {
			entry.grants.splice(index, 1);
			report(entry, grant, context);
		}
	}
}

/** Tells the owner that a grant is no longer in use, and returns its unused tokens. */
function report(entry: Entry, grant: Grant, context: CallContext): void {
	context.messages.push({
		to: grant.owner,
		message: {
			kind: 'token-return',
			id: grant.id,
			workspace: entry.workspace,
			used: grant.used,
			returned: grant.count - grant.used,
		},
	});
}

function sendAskIfDue(entry: Entry, ask: Ask, context: CallContext): void {
	if (context.now - ask.sentAt < resendAfter) {
		return;
	}

	ask.sentAt = context.now;
	context.messages.push({
		to: ask.owner,
		message: {
			kind: 'token-ask',
			id: ask.id,
			workspace: entry.workspace,
			count: ask.count,
			waited: context.now - (entry.waiting[0]?.since ?? context.now),
		},
	});
}
