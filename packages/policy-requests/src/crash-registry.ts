/**
 * The owner's side of the crash registry, which keeps a request that crashes the process that runs
 * it (a query of death) from reaching one target after another. A request is identified by its
 * fingerprint, a digest; the owner of a fingerprint is the instance to which its bucket belongs. A
 * fingerprint that broke a connection becomes a suspect: all members are notified, and only one of
 * them at a time may try it on a second target (a trial). If that connection breaks too, the
 * fingerprint is refused everywhere for ten minutes; if the trial gets a response, the suspicion
 * ends.
 *
 * A report or query that changes the record is answered only after every member has confirmed the
 * notice of the change, or after `noticeTimeout`. The instance that received the request responds
 * to its caller only after this answer (or after the `reportTimeout` of its guard), so a caller
 * that sends the request again sees the new state on every instance. This guarantee does not hold
 * when a member cannot be reached, when the owner changes while a notice is in transit, when copies
 * are in flight at the same time before the first crash is known (each of them and one trial may
 * reach a target), when `maxPending` is exceeded, and when more fingerprints crash within ten
 * minutes than the tables hold.
 *
 * A notice costs one message per member, so the registry is meant for crashes, not for ordinary
 * failures.
 */
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {
	type CrashAnswer,
	type CrashMessage,
	type CrashNotice,
	type CrashNoticeSeen,
	type CrashQuery,
	type CrashReport,
} from './crash-messages.js';
import {
	isBlocked,
	maxCrashedTargets,
	toCrashRecord,
	type CrashEntry,
	type CrashTable,
} from './crash-table.js';

export type CrashOwnerMessage = CrashReport | CrashQuery | CrashNoticeSeen;

export type CrashRegistryOptions = {
	readonly self: InstanceId;
	/** Shared with the crash guard of the same instance. */
	readonly table: CrashTable;
	/** Members of the fleet that receive the notices; this instance is skipped. */
	readonly members: () => readonly InstanceId[];
	/**
	 * Maximum changes whose notices are not yet confirmed; 1024 by default. Beyond it, a change is
	 * stored and answered at once, and the members are not notified of it.
	 */
	readonly maxPending?: number;
};

export type CrashRegistry = {
	handle(
		message: CrashOwnerMessage,
		from: InstanceId,
		now: number,
	): Array<OutboundMessage<CrashMessage>>;
	/** Resends unconfirmed notices and ends expired waits. Must be called about every 50 ms. */
	tick(now: number): Array<OutboundMessage<CrashMessage>>;
};

/** Milliseconds for which a fingerprint is remembered after its last crash. */
export const crashRetention = 600_000;

/** Milliseconds for which an answer waits for members to confirm a notice. */
export const noticeTimeout = 200;

/** Milliseconds after which a trial whose end was not reported no longer prevents the next one. */
export const trialTimeout = 60_000;

/**
 * `retryAfter` of a `busy` answer, in milliseconds. The crash guard repeats the query at its own
 * interval.
 */
const busyRetryMs = 100;

type PendingNotice = {
	/** Members that have not confirmed the notice. */
	readonly missing: Set<InstanceId>;
	readonly notice: CrashNotice;
	/** Sent once all members have confirmed the notice, or at `giveUpAt`. */
	readonly answers: Array<OutboundMessage<CrashAnswer>>;
	readonly giveUpAt: number;
};

export function createCrashRegistry({
	self,
	table,
	members,
	maxPending = 1024,
}: CrashRegistryOptions): CrashRegistry {
	// In order of announcement, so the last notice of a fingerprint has its latest record.
	const pending = new Map<number, PendingNotice>();
	let lastNoticeId = 0;

	function announce(
		entry: CrashEntry,
		answer: OutboundMessage<CrashAnswer>,
		now: number,
	): Array<OutboundMessage<CrashMessage>> {
		table.store(entry, now);
		const others = members().filter(member => member !== self);
		if (others.length === 0 || pending.size >= maxPending) {
			return [answer];
		}

		const notice = createNotice(++lastNoticeId, entry, now);
		const giveUpAt = now + noticeTimeout;
		pending.set(notice.id, {missing: new Set(others), notice, answers: [answer], giveUpAt});
		return others.map(to => ({to, message: notice}));
	}

	/**
	 * Returns the answer to a message that does not change the record. While notices of the
	 * fingerprint are unconfirmed, returns nothing and keeps the answer until the latest notice is
	 * confirmed or times out. Linear in the pending notices.
	 */
	function answerAfterNotices(
		answer: OutboundMessage<CrashAnswer>,
	): Array<OutboundMessage<CrashMessage>> {
		const {fingerprint, id} = answer.message;
		const latestPending = [...pending.values()].findLast(
			({notice}) => notice.record.fingerprint === fingerprint,
		);
		if (latestPending === undefined) {
			return [answer];
		}

		const isCopy = latestPending.answers.some(
			({to, message}) => to === answer.to && message.id === id,
		);
		if (!isCopy && latestPending.answers.length < maxPending) {
			latestPending.answers.push(answer);
		}

		return [];
	}

	const handlers: MessageHandlers<
		CrashOwnerMessage,
		{readonly from: InstanceId; readonly now: number},
		Array<OutboundMessage<CrashMessage>>
	> = {
		'crash-report'(message, {from, now}) {
			const answer = answerTo(message, from, 'recorded');
			const entry = entryAfter(message, {known: table.lookUp(message.fingerprint, now), from, now});
			return entry === undefined ? answerAfterNotices(answer) : announce(entry, answer, now);
		},
		'crash-query'(message, {from, now}) {
			const known = table.lookUp(message.fingerprint, now);
			if (known === undefined) {
				return [answerTo(message, from, 'allowed')];
			}

			if (isBlocked(known)) {
				return [answerTo(message, from, 'blocked', known.until - now)];
			}

			const {trial} = known;
			if (trial !== undefined && trial.until > now) {
				const isCopy = trial.holder === from && trial.id === message.id;
				return isCopy
					? answerAfterNotices(answerTo(message, from, 'allowed'))
					: [answerTo(message, from, 'busy', busyRetryMs)];
			}

			const entry = {
				...known,
				trial: {holder: from, id: message.id, until: now + trialTimeout},
				revision: known.revision + 1,
			};
			return announce(entry, answerTo(message, from, 'allowed'), now);
		},
		'crash-notice-seen'(message, {from}) {
			const found = pending.get(message.id);
			found?.missing.delete(from);
			if (found?.missing.size !== 0) {
				return [];
			}

			pending.delete(message.id);
			return found.answers;
		},
	};

	return {
		handle: (message, from, now) => dispatchMessage(handlers, message, {from, now}),
		tick(now) {
			const messages: Array<OutboundMessage<CrashMessage>> = [];
			for (const [id, {missing, notice, answers, giveUpAt}] of pending) {
				if (giveUpAt <= now) {
					pending.delete(id);
					messages.push(...answers);
				} else {
					messages.push(...[...missing].map(to => ({to, message: notice})));
				}
			}

			return messages;
		},
	};
}

/** The entry that follows from a report; undefined when the report changes nothing. */
function entryAfter(
	{fingerprint, target, result, trial: trialId}: CrashReport,
	{
		known,
		from,
		now,
	}: {
		readonly known: CrashEntry | undefined;
		readonly from: InstanceId;
		readonly now: number;
	},
): CrashEntry | undefined {
	const isTrial = known?.trial?.holder === from && known.trial.id === trialId;
	const trial = isTrial ? undefined : known?.trial;
	const revision = (known?.revision ?? 0) + 1;
	if (result === 'crashed' && target !== undefined) {
		// A second crash counts only if it ended the trial. Copies that are not trials may have been in
		// flight together on targets that failed together, as when a rack fails, which is no evidence
		// against the request; only the trial was sent alone after the first crash.
		const isEvidence = known === undefined || known.targets.length === 0 || isTrial;
		if (!isEvidence) {
			return undefined;
		}

		const targets = [...new Set([...(known?.targets ?? []), target])].slice(0, maxCrashedTargets);
		const isKnown = targets.length === known?.targets.length && !isTrial;
		return isKnown
			? undefined
			: {fingerprint, targets, trial, until: now + crashRetention, revision};
	}

	if (known === undefined || !isTrial || isBlocked(known)) {
		return undefined;
	}

	// The entry of a cleared fingerprint expires at once; the notice of this change deletes it at the
	// members too.
	return {...known, trial, until: result === 'cleared' ? now : known.until, revision};
}

function createNotice(id: number, entry: CrashEntry, now: number): CrashNotice {
	return {kind: 'crash-notice', id, record: toCrashRecord(entry, now)};
}

function answerTo(
	{id, fingerprint}: CrashReport | CrashQuery,
	to: InstanceId,
	verdict: CrashAnswer['verdict'],
	retryAfter?: number,
): OutboundMessage<CrashAnswer> {
	return {to, message: {kind: 'crash-answer', id, fingerprint, verdict, retryAfter}};
}
