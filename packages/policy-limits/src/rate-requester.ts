/**
 * The entry side of workspace rates: takes a token for each request, from grants of the owner or,
 * while the resource is lent to no one, from this instance's own share.
 *
 * Memory grows with the workspaces that had requests here in the last `forgetAfter`, and the cost of
 * `tick` with those that have requests, grants or asks at hand.
 */
import {dispatch, type Handlers} from '@shallotpond/kernel/handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
import {type OwnerLookup, type Resource} from '@shallotpond/policy-membership/share-fraction';
import {createDemand, type Demand} from './demand.js';
import {createOwnShareBucket, type OwnShareBucket} from './own-share-bucket.js';
import {type OwnerBoundTokenMessage, type RequesterBoundTokenMessage} from './token-messages.js';
import {tokenGrantTtl, rateResource, type LimitsLookup} from './workspace-limits.js';

export type RateRequesterOptions = {
	readonly owner: OwnerLookup;
	/** Part of a resource, 0 to 1, that this instance may use itself while it lends it to no one:
	 * 1/D, or 0 during the first lease after the start of the process. */
	readonly ownShare: (resource: Resource, now: number) => number;
	readonly limits: LimitsLookup;
	/** `fleet.minorityFraction`, 0 to 1. */
	readonly minorityFraction: () => number;
};

/** Number of a waiting request, unique per requester. */
export type WaitingId = number;

export type Admission =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'wait'; readonly request: WaitingId}
	/** `retryAfter` in milliseconds. The request did not run. */
	| {readonly kind: 'refused'; readonly retryAfter: number};

export type SettledRequest = {
	readonly request: WaitingId;
	readonly admission: Exclude<Admission, {readonly kind: 'wait'}>;
};

export type RateEffects = {
	/** Requests that waited and now have an answer, in order of arrival per workspace. */
	readonly settled: readonly SettledRequest[];
	readonly messages: ReadonlyArray<Outbound<OwnerBoundTokenMessage>>;
};

export type RateRequester = {
	/** Asks for one token. A request that waits is settled by a later turn within `longestWait`. */
	admit(workspace: string, now: number): RateEffects & {readonly admission: Admission};
	handle(message: RequesterBoundTokenMessage, from: InstanceId, now: number): RateEffects;
	/** Must be called about every 10 ms while requests wait, and at least every 50 ms otherwise. */
	tick(now: number): RateEffects;
	/** Forgets a waiting request whose caller went away. Cost: the requests waiting for the workspace. */
	cancel(workspace: string, request: WaitingId): void;
	readonly waiting: number;
};

/** Milliseconds for which a request waits for a token. */
export const tokenWaitTimeout = 250;

/** Milliseconds after which an unanswered ask is sent again with the same id. */
const resendAfter = 30;

/** Milliseconds of recent demand that one ask covers. */
const demandPerAsk = 50;

/** Milliseconds after which unused tokens of a grant are returned. */
const returnAfter = 60;

/** Bounds the memory for waiting requests; more are refused at once. */
const mostWaiting = 10_000;

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
	/** The term of the grant is counted from here, whichever copy of the ask is answered. */
	readonly askedAt: number;
	sentAt: number;
	isRefused: boolean;
};

type Entry = {
	readonly workspace: string;
	readonly demand: Demand;
	readonly ownShare: OwnShareBucket;
	readonly waiting: Array<{readonly request: WaitingId; readonly since: number}>;
	readonly grants: Grant[];
	/** Asks without a grant whose term has not ended. */
	readonly asks: Map<number, Ask>;
	latest: Ask | undefined;
	retryAt: number;
	lastRequestAt: number;
	usesOwnShare: boolean;
};

type Turn = {
	readonly now: number;
	readonly settled: SettledRequest[];
	readonly messages: Array<Outbound<OwnerBoundTokenMessage>>;
};

export function createRateRequester(options: RateRequesterOptions): RateRequester {
	const entries = new Map<string, Entry>();
	/** Entries that can change without a request or a message; all others rest. */
	const active = new Set<Entry>();
	let lastSweep = Number.NEGATIVE_INFINITY;
	let lastAsk = 0;
	let lastRequest = 0;
	let waiting = 0;

	function entryOf(workspace: string, now: number): Entry {
		let entry = entries.get(workspace);
		if (entry === undefined) {
			entry = openEntry(workspace, now);
			entries.set(workspace, entry);
		}

		return entry;
	}

	/** Takes one token that is usable now. */
	function takeToken(entry: Entry, turn: Turn): boolean {
		return takeGranted(entry, turn) || takeOwn(entry, turn.now);
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
		const isUnlent = options.owner(resource, now) === undefined;
		return isUnlent ? options.ownShare(resource, now) * options.minorityFraction() : 0;
	}

	function serve(entry: Entry, turn: Turn): void {
		while (entry.waiting.length > 0 && takeToken(entry, turn)) {
			settleFirst(entry, turn, {kind: 'admitted'});
		}

		while (
			entry.waiting[0] !== undefined &&
			entry.waiting[0].since + tokenWaitTimeout <= turn.now
		) {
			settleFirst(entry, turn, {kind: 'refused', retryAfter: tokenWaitTimeout});
		}
	}

	function settleFirst(entry: Entry, turn: Turn, admission: SettledRequest['admission']): void {
		const first = entry.waiting.shift()!;
		waiting--;
		turn.settled.push({request: first.request, admission});
	}

	function askIfNeeded(entry: Entry, turn: Turn): void {
		const owner = options.owner(rateResource(entry.workspace), turn.now);
		if (entry.waiting.length === 0 || owner === undefined) {
			return;
		}

		const {latest} = entry;
		if (latest?.owner === owner && entry.asks.has(latest.id)) {
			if (!latest.isRefused) {
				resend(entry, latest, turn);
				return;
			}

			if (turn.now < entry.retryAt) {
				return;
			}
		}

		const expected = Math.floor(entry.demand.rate(turn.now) * demandPerAsk);
		const ask: Ask = {
			id: ++lastAsk,
			owner,
			count: Math.max(entry.waiting.length, expected),
			askedAt: turn.now,
			sentAt: Number.NEGATIVE_INFINITY,
			isRefused: false,
		};
		entry.asks.set(ask.id, ask);
		entry.latest = ask;
		resend(entry, ask, turn);
	}

	function advance(entry: Entry, turn: Turn): void {
		expire(entry, turn.now);
		const authority = ownAuthority(entry.workspace, turn.now);
		entry.ownShare.observe(options.limits(entry.workspace), authority, turn.now);
		entry.usesOwnShare = authority > 0;
		serve(entry, turn);
		returnUnused(entry, turn);
		askIfNeeded(entry, turn);
		rest(entry);
	}

	/** A tick that visits every workspace with recent requests took 5% of a core at 800 of them. */
	function rest(entry: Entry): void {
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
		if (now - lastSweep < forgetAfter) {
			return;
		}

		lastSweep = now;
		for (const [workspace, entry] of entries) {
			if (entry.waiting.length === 0 && now - entry.lastRequestAt > forgetAfter) {
				entries.delete(workspace);
				active.delete(entry);
			}
		}
	}

	const handlers: Handlers<
		RequesterBoundTokenMessage,
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
			// The ask stays known, because a copy of it may still be granted.
			if (ask?.owner === from && !ask.isRefused) {
				ask.isRefused = true;
				entry.retryAt = now + message.retryAfter;
			}
		},
	};

	return {
		admit(workspace, now) {
			const turn: Turn = {now, settled: [], messages: []};
			if (options.limits(workspace) === undefined || waiting >= mostWaiting) {
				return {...turnOf(turn), admission: {kind: 'refused', retryAfter: tokenWaitTimeout}};
			}

			const entry = entryOf(workspace, now);
			entry.lastRequestAt = now;
			entry.demand.count(now);
			advance(entry, turn);
			if (entry.waiting.length === 0 && takeToken(entry, turn)) {
				return {...turnOf(turn), admission: {kind: 'admitted'}};
			}

			const request = ++lastRequest;
			entry.waiting.push({request, since: now});
			waiting++;
			active.add(entry);
			askIfNeeded(entry, turn);
			return {...turnOf(turn), admission: {kind: 'wait', request}};
		},
		handle(message, from, now) {
			const turn: Turn = {now, settled: [], messages: []};
			const entry = entries.get(message.workspace);
			if (entry !== undefined) {
				dispatch(handlers, message, {entry, from, now});
				advance(entry, turn);
			}

			return turnOf(turn);
		},
		tick(now) {
			const turn: Turn = {now, settled: [], messages: []};
			for (const entry of active) {
				advance(entry, turn);
			}

			forgetUnused(now);

			return turnOf(turn);
		},
		cancel(workspace, request) {
			const entry = entries.get(workspace);
			const index = entry?.waiting.findIndex(item => item.request === request) ?? -1;
			if (index !== -1) {
				entry!.waiting.splice(index, 1);
				waiting--;
			}
		},
		get waiting() {
			return waiting;
		},
	};
}

function turnOf({settled, messages}: Turn): RateEffects {
	return {settled, messages};
}

function openEntry(workspace: string, now: number): Entry {
	return {
		workspace,
		demand: createDemand(),
		ownShare: createOwnShareBucket(),
		waiting: [],
		grants: [],
		asks: new Map(),
		latest: undefined,
		retryAt: now,
		lastRequestAt: now,
		usesOwnShare: false,
	};
}

/** Checked against the clock at each use, so a process that wakes late uses no expired token. */
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

function takeGranted(entry: Entry, turn: Turn): boolean {
	const grant = entry.grants[0];
	if (grant === undefined) {
		return false;
	}

	grant.used++;
	if (grant.used === grant.count) {
		entry.grants.shift();
		if (grant.report) {
			report(entry, grant, turn);
		}
	}

	return true;
}

function returnUnused(entry: Entry, turn: Turn): void {
	for (let index = entry.grants.length - 1; index >= 0; index--) {
		const grant = entry.grants[index]!;
		if (grant.askedAt + returnAfter <= turn.now) {
			entry.grants.splice(index, 1);
			report(entry, grant, turn);
		}
	}
}

/** Ends a grant: what is not used by now is given up. */
function report(entry: Entry, grant: Grant, turn: Turn): void {
	turn.messages.push({
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

function resend(entry: Entry, ask: Ask, turn: Turn): void {
	if (turn.now - ask.sentAt < resendAfter) {
		return;
	}

	ask.sentAt = turn.now;
	turn.messages.push({
		to: ask.owner,
		message: {
			kind: 'token-ask',
			id: ask.id,
			workspace: entry.workspace,
			count: ask.count,
			waited: turn.now - (entry.waiting[0]?.since ?? turn.now),
		},
	});
}
