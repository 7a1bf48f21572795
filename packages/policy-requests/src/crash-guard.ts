/**
 * Checks attempts against the crash registry, on the instance that received the request. Most
 * requests are checked against a local table and cost no message. If the fingerprint of a request
 * is suspected (it broke the connection to one target before), the guard asks the owner of the
 * fingerprint, that is the instance to which its bucket belongs. When a request breaks a
 * connection, its response to the caller and its retry are held back until the owner has recorded
 * the report, but at most for `reportTimeout`.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type OwnerLookup} from '@shallotpond/policy-membership/share-fraction';
import {
	type CrashAnswer,
	type CrashMessage,
	type CrashNotice,
	type CrashReport,
} from './crash-messages.js';
import {crashRetention} from './crash-registry.js';
import {createCrashTable, isBlocked, maxCrashedTargets, type CrashTable} from './crash-table.js';
import {digestBucketOf} from './fingerprint.js';

export type CrashGuardOptions = {
	readonly ownerOf: OwnerLookup;
	readonly table: CrashTable;
	/**
	 * Maximum pending checks and reports; 1024 by default. Beyond it, checks of suspected
	 * fingerprints are refused, and reports are sent only once and hold no request back.
	 */
	readonly maxPending?: number;
};

/** Identifies a check or report at this guard. */
export type CrashTicket = number;

export type CrashCheck =
	/**
	 * `trial` is present when the owner has allowed the attempt. The end of the attempt must then be
	 * reported with this ticket: by `reportCrash` if the connection broke, otherwise by `endTrial`.
	 */
	| {readonly kind: 'allowed'; readonly trial?: CrashTicket}
	| {readonly kind: 'wait'; readonly ticket: CrashTicket}
	| Refusal;

export type CrashEffects = {
	readonly messages: ReadonlyArray<OutboundMessage<CrashMessage>>;
	/**
	 * Waits that have ended: a decided check, or `recorded` for a report whose request is no longer
	 * held back because the owner has recorded the report, `reportTimeout` has passed or `maxPending`
	 * is reached.
	 */
	readonly settled: ReadonlyArray<{
		readonly ticket: CrashTicket;
		readonly check: Exclude<CrashCheck, {readonly kind: 'wait'}> | {readonly kind: 'recorded'};
	}>;
};

export type CrashGuard = {
	/** While false, `check` allows every fingerprint, so the caller need not compute one. */
	readonly hasSuspects: boolean;
	/**
	 * Must be called before each attempt, including retries. A wait ends at the latest at the first
	 * `tick` after `deadline` (monotonic milliseconds).
	 */
	check(
		fingerprint: string,
		deadline: number,
		now: number,
	): CrashEffects & {readonly check: CrashCheck};
	/**
	 * Reports that the connection to `target` broke before a response. The request must be held back
	 * until the returned ticket is settled, which takes at most `reportTimeout`. `trial` is the
	 * ticket that `check` returned if the attempt was a trial.
	 */
	reportCrash(
		report: {
			readonly fingerprint: string;
			readonly target: string;
			readonly trial?: CrashTicket;
		},
		now: number,
	): CrashEffects & {readonly ticket: CrashTicket};
	/**
	 * Reports the end of a trial that did not break its connection. If the trial got a response, the
	 * owner ends the suspicion; otherwise it allows the next trial.
	 */
	endTrial(trial: CrashTicket, hasResponse: boolean, now: number): CrashEffects;
	handle(message: CrashAnswer | CrashNotice, from: InstanceId, now: number): CrashEffects;
	/** Must be called about every 50 ms: resends unanswered messages and ends waits. */
	tick(now: number): CrashEffects;
};

/** Milliseconds for which a request is held back while its crash is being reported. */
export const reportTimeout = 500;

/** Milliseconds after which an unanswered message is sent again. */
const resendAfter = 100;

/** Milliseconds for which a report is resent while no owner has answered it. */
const reportTtl = 30_000;

type Query = {
	readonly kind: 'query';
	readonly fingerprint: string;
	readonly deadline: number;
	sentAt: number;
};

type Report = {
	readonly kind: 'report';
	readonly message: CrashReport;
	readonly holdUntil: number;
	readonly giveUpAt: number;
	isHeld: boolean;
	sentAt: number;
};

type CallContext = {
	readonly now: number;
	readonly messages: Array<OutboundMessage<CrashMessage>>;
	readonly settled: Array<CrashEffects['settled'][number]>;
};

export function createCrashGuard({
	ownerOf,
	table,
	maxPending = 1024,
}: CrashGuardOptions): CrashGuard {
	const pending = new Map<CrashTicket, Query | Report>();
	/** Fingerprints of the trials that this instance runs, by ticket. */
	const trials = new Map<CrashTicket, string>();
	/** Crashes that no owner has recorded yet. */
	const unrecorded = createCrashTable(maxPending);
	let lastTicket = 0;

	function send(
		message: CrashMessage & {readonly fingerprint: string},
		context: CallContext,
	): void {
		const to = ownerOf(`crash:${digestBucketOf(message.fingerprint)}`, context.now);
		if (to !== undefined) {
			context.messages.push({to, message});
		}
	}

	function sendIfDue(ticket: CrashTicket, item: Query | Report, context: CallContext): void {
		if (context.now - item.sentAt < resendAfter) {
			return;
		}

		item.sentAt = context.now;
		send(
			item.kind === 'report'
				? item.message
				: {kind: 'crash-query', id: ticket, fingerprint: item.fingerprint},
			context,
		);
	}

	function report(
		message: Omit<CrashReport, 'kind' | 'id'>,
		isHeld: boolean,
		context: CallContext,
	): number {
		const ticket = ++lastTicket;
		const item: Report = {
			kind: 'report',
			message: {kind: 'crash-report', id: ticket, ...message},
			holdUntil: context.now + reportTimeout,
			giveUpAt: context.now + reportTtl,
			isHeld,
			sentAt: Number.NEGATIVE_INFINITY,
		};
		sendIfDue(ticket, item, context);
		if (pending.size < maxPending) {
			pending.set(ticket, item);
		} else if (isHeld) {
			context.settled.push({ticket, check: {kind: 'recorded'}});
		}

		return ticket;
	}

	/** Decides from the local tables; `ask` means that the owner must decide. */
	function checkLocally(fingerprint: string, now: number): Refusal | 'allowed' | 'ask' {
		const known = table.lookUp(fingerprint, now) ?? unrecorded.lookUp(fingerprint, now);
		if (known === undefined) {
			return 'allowed';
		}

		return isBlocked(known) ? createBlockedRefusal(known.until - now) : 'ask';
	}

	/** Keeps the crash in a local table until an owner has recorded it. */
	function recordLocally(fingerprint: string, target: string, now: number): void {
		const earlier = unrecorded.lookUp(fingerprint, now)?.targets ?? [];
		const targets = [...new Set([...earlier, target])].slice(0, maxCrashedTargets);
		unrecorded.store({fingerprint, targets, until: now + crashRetention, revision: 0}, now);
	}

	function settleQuery(
		ticket: CrashTicket,
		query: Query,
		message: CrashAnswer,
		context: CallContext,
	): void {
		const {verdict, retryAfter} = message;
		const isLate = context.now >= query.deadline;
		const local = checkLocally(query.fingerprint, context.now);
		if (verdict === 'busy' && !isLate) {
			// The query stays pending, and `tick` sends it again.
			return;
		}

		pending.delete(ticket);
		if (verdict === 'allowed' && (isLate || typeof local === 'object')) {
			// The trial will not run, which is reported so that the owner can allow another one.
			const {fingerprint} = query;
			report({fingerprint, result: 'unused', trial: ticket}, false, context);
		}

		if (verdict === 'allowed' && !isLate && typeof local !== 'object') {
			trials.set(ticket, query.fingerprint);
			context.settled.push({ticket, check: {kind: 'allowed', trial: ticket}});
			return;
		}

		const check =
			verdict === 'blocked'
				? createBlockedRefusal(retryAfter)
				: typeof local === 'object'
					? local
					: suspectRefusal;
		context.settled.push({ticket, check});
	}

	return {
		get hasSuspects() {
			return table.size + unrecorded.size > 0;
		},
		check(fingerprint, deadline, now) {
			const context = createContext(now);
			const local = checkLocally(fingerprint, now);
			if (local === 'allowed') {
				return {...effectsOf(context), check: {kind: 'allowed'}};
			}

			if (local !== 'ask' || pending.size >= maxPending || now >= deadline) {
				return {...effectsOf(context), check: local === 'ask' ? suspectRefusal : local};
			}

			const ticket = ++lastTicket;
			const query: Query = {
				kind: 'query',
				fingerprint,
				deadline,
				sentAt: Number.NEGATIVE_INFINITY,
			};
			pending.set(ticket, query);
			sendIfDue(ticket, query, context);
			return {...effectsOf(context), check: {kind: 'wait', ticket}};
		},
		reportCrash({fingerprint, target, trial}, now) {
			const context = createContext(now);
			recordLocally(fingerprint, target, now);
			if (trial !== undefined) {
				trials.delete(trial);
			}

			const ticket = report({fingerprint, target, result: 'crashed', trial}, true, context);
			return {...effectsOf(context), ticket};
		},
		endTrial(trial, hasResponse, now) {
			const context = createContext(now);
			const fingerprint = trials.get(trial);
			trials.delete(trial);
			if (fingerprint !== undefined) {
				report({fingerprint, result: hasResponse ? 'cleared' : 'unused', trial}, false, context);
			}

			return effectsOf(context);
		},
		handle(message, from, now) {
			const context = createContext(now);
			if (message.kind === 'crash-notice') {
				table.adopt(message.record, now);
				context.messages.push({to: from, message: {kind: 'crash-notice-seen', id: message.id}});
				return effectsOf(context);
			}

			const item = pending.get(message.id);
			if (item?.kind === 'query') {
				settleQuery(message.id, item, message, context);
			} else if (item?.kind === 'report' && message.verdict === 'recorded') {
				pending.delete(message.id);
				unrecorded.remove(message.fingerprint);
				if (item.isHeld) {
					context.settled.push({ticket: message.id, check: {kind: 'recorded'}});
				}
			}

			return effectsOf(context);
		},
		tick(now) {
			const context = createContext(now);
			for (const [ticket, item] of pending) {
				if (item.kind === 'query' && item.deadline <= now) {
					pending.delete(ticket);
					// The owner may have allowed a trial in an answer that was lost.
					const {fingerprint} = item;
					report({fingerprint, result: 'unused', trial: ticket}, false, context);
					context.settled.push({ticket, check: suspectRefusal});
					continue;
				}

				if (item.kind === 'report' && item.isHeld && item.holdUntil <= now) {
					item.isHeld = false;
					context.settled.push({ticket, check: {kind: 'recorded'}});
				}

				if (item.kind === 'report' && item.giveUpAt <= now) {
					pending.delete(ticket);
					continue;
				}

				sendIfDue(ticket, item, context);
			}

			return effectsOf(context);
		},
	};
}

function createContext(now: number): CallContext {
	return {now, messages: [], settled: []};
}

function effectsOf({messages, settled}: CallContext): CrashEffects {
	return {messages, settled};
}

function createBlockedRefusal(retryAfter?: number): Refusal {
	return {
		kind: 'refused',
		code: 'crashing-request',
		status: 422,
		detail: 'this request broke the connection to two targets and is refused for ten minutes',
		runState: 'not-run',
		retryAfter,
	};
}

/**
 * A suspected request is not sent without permission of the owner, because, together with a trial
 * on another instance, it could reach a third target.
 */
const suspectRefusal: Refusal = {
	kind: 'refused',
	code: 'crash-suspect',
	status: 503,
	detail: 'this request broke the connection to a target and is being tried elsewhere',
	runState: 'not-run',
	retryAfter: 1000,
};
