/**
 * The owner side of the crash registry. A fingerprint that broke a connection becomes a suspect: all
 * members are told, and only one of them at a time may try it on a second target. When that breaks
 * too, it is refused everywhere for ten minutes; when it gets an answer, the suspicion ends.
 *
 * A change is answered only after every member has confirmed its notice, or after `noticeWait`. An
 * entry instance answers its caller after that, so a caller that sends the request again meets the
 * new state on every instance. This stops holding when a member cannot be reached, when the owner
 * changes while a notice is on its way, when copies are in flight at the same time before the first
 * crash is known (they and one trial reach a target each), and when more fingerprints crash within ten minutes than the tables hold.
 *
 * A notice costs one message per member, so this is for crashes, not for ordinary failures.
 */
import {dispatch, type Handlers} from '@shallotpond/kernel/handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
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
	recordOf,
	type CrashEntry,
	type CrashTable,
} from './crash-table.js';

export type CrashOwnerMessage = CrashReport | CrashQuery | CrashNoticeSeen;

export type CrashRegistryOptions = {
	readonly self: InstanceId;
	/** Shared with the crash guard of the same instance. */
	readonly table: CrashTable;
	/** Live members that get the notices; this instance is skipped. */
	readonly members: () => readonly InstanceId[];
	/** Notices on their way; beyond this bound reports are answered without waiting. */
	readonly maxPending?: number;
};

export type CrashRegistry = {
	handle(message: CrashOwnerMessage, from: InstanceId, now: number): Array<Outbound<CrashMessage>>;
	/** Answers what has waited too long for members. Must be called about every 50 ms. */
	tick(now: number): Array<Outbound<CrashMessage>>;
};

/** Milliseconds for which a fingerprint is remembered after its last crash. */
export const crashRetention = 600_000;

/** Milliseconds after which a member that does not confirm a notice is not waited for. */
export const noticeTimeout = 200;

/** Milliseconds after which a trial whose end was not reported no longer blocks others. */
export const trialTimeout = 60_000;

/** Milliseconds after which an instance asks again while another one tries the request. */
const busyRetry = 100;

type Pending = {
	readonly missing: Set<InstanceId>;
	readonly notice: CrashNotice;
	/** Sent when no member is missing any more. */
	readonly answers: Array<Outbound<CrashAnswer>>;
	readonly giveUpAt: number;
};

export function createCrashRegistry({
	self,
	table,
	members,
	maxPending: mostPending = 1024,
}: CrashRegistryOptions): CrashRegistry {
	// In order of time, because all notices wait equally long.
	const pending = new Map<number, Pending>();
	let lastNotice = 0;

	function announce(
		entry: CrashEntry,
		answer: Outbound<CrashAnswer>,
		now: number,
	): Array<Outbound<CrashMessage>> {
		table.store(entry, now);
		const others = members().filter(member => member !== self);
		if (others.length === 0 || pending.size >= mostPending) {
			return [answer];
		}

		const notice = createNotice(++lastNotice, entry, now);
		const giveUpAt = now + noticeTimeout;
		pending.set(notice.id, {missing: new Set(others), notice, answers: [answer], giveUpAt});
		return others.map(to => ({to, message: notice}));
	}

	/**
	 * Answers a message that changes nothing, but not before the members know what it found. Cost:
	 * the pending notices.
	 */
	function answerAfterNotices(answer: Outbound<CrashAnswer>): Array<Outbound<CrashMessage>> {
		const {fingerprint, id} = answer.message;
		const item = [...pending.values()].findLast(
			({notice}) => notice.record.fingerprint === fingerprint,
		);
		if (item === undefined) {
			return [answer];
		}

		const isCopy = item.answers.some(({to, message}) => to === answer.to && message.id === id);
		if (!isCopy && item.answers.length < mostPending) {
			item.answers.push(answer);
		}

		return [];
	}

	const handlers: Handlers<
		CrashOwnerMessage,
		{readonly from: InstanceId; readonly now: number},
		Array<Outbound<CrashMessage>>
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
					: [answerTo(message, from, 'busy', busyRetry)];
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
		handle: (message, from, now) => dispatch(handlers, message, {from, now}),
		tick(now) {
			const outbound: Array<Outbound<CrashMessage>> = [];
			for (const [id, {missing, notice, answers, giveUpAt}] of pending) {
				if (giveUpAt <= now) {
					pending.delete(id);
					outbound.push(...answers);
				} else {
					outbound.push(...[...missing].map(to => ({to, message: notice})));
				}
			}

			return outbound;
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
		// Copies that were in flight together on targets that died together, as when a rack fails, say
		// nothing of the request. Only a copy that was sent alone after the first crash does.
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

	// The entry of a cleared fingerprint ends at once, which also withdraws it at the members.
	return {...known, trial, until: result === 'cleared' ? now : known.until, revision};
}

function createNotice(id: number, entry: CrashEntry, now: number): CrashNotice {
	return {kind: 'crash-notice', id, record: recordOf(entry, now)};
}

function answerTo(
	{id, fingerprint}: CrashReport | CrashQuery,
	to: InstanceId,
	verdict: CrashAnswer['verdict'],
	retryAfter?: number,
): Outbound<CrashAnswer> {
	return {to, message: {kind: 'crash-answer', id, fingerprint, verdict, retryAfter}};
}
