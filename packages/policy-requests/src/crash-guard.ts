/**
 * The entry side of the crash registry. Ordinary requests are checked against a local table and cost
 * no message; only a fingerprint under suspicion is asked about. A request that broke a connection is
 * held back, both its answer to the caller and its retry, until the report has been recorded.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
import {type OwnerLookup} from '@shallotpond/policy-membership/share-fraction';
import {
	type CrashAnswer,
	type CrashMessage,
	type CrashNotice,
	type CrashReport,
} from './crash-messages.js';
import {crashRetention} from './crash-registry.js';
import {createCrashTable, isBlocked, maxCrashedTargets, type CrashTable} from './crash-table.js';
import {bucketOf} from './fingerprint.js';

export type CrashGuardOptions = {
	readonly owner: OwnerLookup;
	readonly table: CrashTable;
	/** Checks and reports at hand; more checks are refused and more reports are not held back. */
	readonly maxPending?: number;
};

/** Unique per guard. */
export type CrashTicket = number;

export type CrashCheck =
	/** With a trial, `finish` must be called with its ticket once the attempt has ended. */
	| {readonly kind: 'allowed'; readonly trial?: CrashTicket}
	| {readonly kind: 'wait'; readonly ticket: CrashTicket}
	| Refusal;

export type CrashEffects = {
	readonly messages: ReadonlyArray<Outbound<CrashMessage>>;
	/** Checks that waited; a `recorded` ticket is a report whose request may go on. */
	readonly settled: ReadonlyArray<{
		readonly ticket: CrashTicket;
		readonly check: Exclude<CrashCheck, {readonly kind: 'wait'}> | {readonly kind: 'recorded'};
	}>;
};

export type CrashGuard = {
	/** While false, `check` allows every fingerprint, so that none needs to be computed. */
	readonly hasSuspects: boolean;
	/** Must be called before each attempt, also before a retry. A wait ends by `deadline`. */
	check(
		fingerprint: string,
		deadline: number,
		now: number,
	): CrashEffects & {readonly check: CrashCheck};
	/**
	 * Reports that the connection to `target` broke before an answer. The request is held back until
	 * the returned ticket is settled, at most `reportWait`. `trial` is the ticket of its check.
	 */
	reportCrash(
		report: {
			readonly fingerprint: string;
			readonly target: string;
			readonly trial?: CrashTicket;
		},
		now: number,
	): CrashEffects & {readonly ticket: CrashTicket};
	/** Ends a trial that did not break its connection. `hasAnswer` clears the suspicion. */
	endTrial(trial: CrashTicket, hasAnswer: boolean, now: number): CrashEffects;
	handle(message: CrashAnswer | CrashNotice, from: InstanceId, now: number): CrashEffects;
	/** Must be called about every 50 ms: resends what is lost and ends waits. */
	tick(now: number): CrashEffects;
};

/** Milliseconds for which a request is held back while its crash is being reported. */
export const reportTimeout = 500;

/** Milliseconds after which an unanswered message is sent again. */
const resendAfter = 100;

/** Milliseconds for which a report is sent again when no owner answers. */
const reportTerm = 30_000;

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

type Turn = {
	readonly now: number;
	readonly messages: Array<Outbound<CrashMessage>>;
	readonly settled: Array<CrashEffects['settled'][number]>;
};

export function createCrashGuard({
	owner,
	table,
	maxPending: mostPending = 1024,
}: CrashGuardOptions): CrashGuard {
	const pending = new Map<CrashTicket, Query | Report>();
	const trials = new Map<CrashTicket, string>();
	const unrecorded = createCrashTable(mostPending);
	let last = 0;

	function send(message: CrashMessage & {readonly fingerprint: string}, turn: Turn): void {
		const to = owner(`crash:${bucketOf(message.fingerprint)}`, turn.now);
		if (to !== undefined) {
			turn.messages.push({to, message});
		}
	}

	function sendDue(ticket: CrashTicket, item: Query | Report, turn: Turn): void {
		if (turn.now - item.sentAt < resendAfter) {
			return;
		}

		item.sentAt = turn.now;
		send(
			item.kind === 'report'
				? item.message
				: {kind: 'crash-query', id: ticket, fingerprint: item.fingerprint},
			turn,
		);
	}

	function report(message: Omit<CrashReport, 'kind' | 'id'>, isHeld: boolean, turn: Turn): number {
		const ticket = ++last;
		const item: Report = {
			kind: 'report',
			message: {kind: 'crash-report', id: ticket, ...message},
			holdUntil: turn.now + reportTimeout,
			giveUpAt: turn.now + reportTerm,
			isHeld,
			sentAt: Number.NEGATIVE_INFINITY,
		};
		sendDue(ticket, item, turn);
		if (pending.size < mostPending) {
			pending.set(ticket, item);
		} else if (isHeld) {
			turn.settled.push({ticket, check: {kind: 'recorded'}});
		}

		return ticket;
	}

	/** What is known here without asking anyone. */
	function checkLocally(fingerprint: string, now: number): Refusal | 'allowed' | 'ask' {
		const known = table.lookUp(fingerprint, now) ?? unrecorded.lookUp(fingerprint, now);
		if (known === undefined) {
			return 'allowed';
		}

		return isBlocked(known) ? refuseBlocked(known.until - now) : 'ask';
	}

	/** Keeps the crash known here until an owner has recorded it. */
	function remember(fingerprint: string, target: string, now: number): void {
		const earlier = unrecorded.lookUp(fingerprint, now)?.targets ?? [];
		const targets = [...new Set([...earlier, target])].slice(0, maxCrashedTargets);
		unrecorded.store({fingerprint, targets, until: now + crashRetention, revision: 0}, now);
	}

	function settleQuery(ticket: CrashTicket, query: Query, message: CrashAnswer, turn: Turn): void {
		const {verdict, retryAfter} = message;
		const isLate = turn.now >= query.deadline;
		const local = checkLocally(query.fingerprint, turn.now);
		if (verdict === 'busy' && !isLate) {
			return;
		}

		pending.delete(ticket);
		if (verdict === 'allowed' && (isLate || typeof local === 'object')) {
			const {fingerprint} = query;
			report({fingerprint, result: 'unused', trial: ticket}, false, turn);
		}

		if (verdict === 'allowed' && !isLate && typeof local !== 'object') {
			trials.set(ticket, query.fingerprint);
			turn.settled.push({ticket, check: {kind: 'allowed', trial: ticket}});
			return;
		}

		const check =
			verdict === 'blocked'
				? refuseBlocked(retryAfter)
				: typeof local === 'object'
					? local
					: suspect;
		turn.settled.push({ticket, check});
	}

	return {
		get hasSuspects() {
			return table.size + unrecorded.size > 0;
		},
		check(fingerprint, deadline, now) {
			const turn = createTurn(now);
			const local = checkLocally(fingerprint, now);
			if (local === 'allowed') {
				return {...resultOf(turn), check: {kind: 'allowed'}};
			}

			if (local !== 'ask' || pending.size >= mostPending || now >= deadline) {
				return {...resultOf(turn), check: local === 'ask' ? suspect : local};
			}

			const ticket = ++last;
			const query: Query = {
				kind: 'query',
				fingerprint,
				deadline,
				sentAt: Number.NEGATIVE_INFINITY,
			};
			pending.set(ticket, query);
			sendDue(ticket, query, turn);
			return {...resultOf(turn), check: {kind: 'wait', ticket}};
		},
		reportCrash({fingerprint, target, trial}, now) {
			const turn = createTurn(now);
			remember(fingerprint, target, now);
			if (trial !== undefined) {
				trials.delete(trial);
			}

			const ticket = report({fingerprint, target, result: 'crashed', trial}, true, turn);
			return {...resultOf(turn), ticket};
		},
		endTrial(trial, hasAnswer, now) {
			const turn = createTurn(now);
			const fingerprint = trials.get(trial);
			trials.delete(trial);
			if (fingerprint !== undefined) {
				report({fingerprint, result: hasAnswer ? 'cleared' : 'unused', trial}, false, turn);
			}

			return resultOf(turn);
		},
		handle(message, from, now) {
			const turn = createTurn(now);
			if (message.kind === 'crash-notice') {
				table.adopt(message.record, now);
				turn.messages.push({to: from, message: {kind: 'crash-notice-seen', id: message.id}});
				return resultOf(turn);
			}

			const item = pending.get(message.id);
			if (item?.kind === 'query') {
				settleQuery(message.id, item, message, turn);
			} else if (item?.kind === 'report' && message.verdict === 'recorded') {
				pending.delete(message.id);
				unrecorded.remove(message.fingerprint);
				if (item.isHeld) {
					turn.settled.push({ticket: message.id, check: {kind: 'recorded'}});
				}
			}

			return resultOf(turn);
		},
		tick(now) {
			const turn = createTurn(now);
			for (const [ticket, item] of pending) {
				if (item.kind === 'query' && item.deadline <= now) {
					pending.delete(ticket);
					// The owner may have allowed a trial in an answer that was lost.
					const {fingerprint} = item;
					report({fingerprint, result: 'unused', trial: ticket}, false, turn);
					turn.settled.push({ticket, check: suspect});
					continue;
				}

				if (item.kind === 'report' && item.isHeld && item.holdUntil <= now) {
					item.isHeld = false;
					turn.settled.push({ticket, check: {kind: 'recorded'}});
				}

				if (item.kind === 'report' && item.giveUpAt <= now) {
					pending.delete(ticket);
					continue;
				}

				sendDue(ticket, item, turn);
			}

			return resultOf(turn);
		},
	};
}

function createTurn(now: number): Turn {
	return {now, messages: [], settled: []};
}

function resultOf({messages, settled}: Turn): CrashEffects {
	return {messages, settled};
}

function refuseBlocked(retryAfter?: number): Refusal {
	return {
		kind: 'refused',
		code: 'crashing-request',
		status: 422,
		detail: 'this request broke the connection to two targets and is refused for ten minutes',
		runState: 'not-run',
		retryAfter,
	};
}

/** Without the word of the owner a suspect is not sent, because it could reach a third target. */
const suspect: Refusal = {
	kind: 'refused',
	code: 'crash-suspect',
	status: 503,
	detail: 'this request broke the connection to a target and is being tried elsewhere',
	runState: 'not-run',
	retryAfter: 1000,
};
