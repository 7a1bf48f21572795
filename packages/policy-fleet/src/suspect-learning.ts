/**
 * Tells a new instance which requests crash targets. Reports contain a crash only for a few seconds,
 * so an instance that starts later has to ask. It asks a few members that run for longer than itself
 * until enough of them have answered, and each answer is bounded. Each `now` is in milliseconds of
 * the monotonic clock.
 */
import {type Random} from '@shallotpond/kernel/random';
import {
	type Member,
	type OutboundFleetMessage,
	type SuspectRequest,
	type SuspectsAnswer,
} from './fleet-message.js';
import {type FleetRoster} from './fleet-roster.js';

export type SuspectLearningOptions = {
	readonly self: Member;
	readonly roster: FleetRoster;
	readonly random: Random;
	/** The requests that this instance remembers. */
	readonly suspects: (now: number) => readonly SuspectRequest[];
	readonly onSuspects: (suspects: readonly SuspectRequest[], now: number) => void;
};

export type SuspectLearning = {
	/** The requests to send now. */
	tick(now: number): OutboundFleetMessage[];
	receiveAnswer(answer: SuspectsAnswer, now: number): void;
	/** The answers to a request of the member. */
	createAnswers(to: Member, now: number): OutboundFleetMessage[];
};

/** Members whose answers suffice; more than one, because the first may have missed a report. */
const requiredAnswers = 2;
/** Milliseconds between two attempts to get answers. */
const requestInterval = 400;
/**
 * Milliseconds after the start in which an instance asks. If no member can answer by then, all have
 * started at about the same time and nobody remembers.
 */
const learningPeriod = 6000;
/** Maximum number of requests in an answer, so that it fits into one packet. */
const maxSuspectsPerAnswer = 10;

export function createSuspectLearning(options: SuspectLearningOptions): SuspectLearning {
	const {self, roster, random} = options;
	/** Parts of the answers that have arrived, by address of a member that counts. */
	const receivedParts = new Map<string, Set<number>>();
	/** Addresses of the members whose answer has arrived as a whole. */
	const informants = new Set<string>();
	let startedAt: number | undefined;
	let requestedAt = Number.NEGATIVE_INFINITY;

	function isInformed(now: number): boolean {
		const isLearning = startedAt === undefined || now - startedAt < learningPeriod;
		return !isLearning || informants.size >= requiredAnswers;
	}

	/** Draws members that have not answered, from those that run for longer if there are any. */
	function chooseMembers(): Member[] {
		const others = roster.members().filter(({address}) => !informants.has(address));
		const older = others.filter(member => member.startedAt < self.startedAt);
		const candidates = older.length > 0 ? older : others;
		const chosen: Member[] = [];
		while (chosen.length < requiredAnswers && candidates.length > 0) {
			chosen.push(...candidates.splice(Math.floor(random() * candidates.length), 1));
		}

		return chosen;
	}

	return {
		tick(now) {
			startedAt ??= now;
			if (isInformed(now) || now - requestedAt < requestInterval) {
				return [];
			}

			const chosen = chooseMembers();
			if (chosen.length > 0) {
				requestedAt = now;
			}

			const message = {kind: 'suspects-request', from: self} as const;
			return chosen.map(({address}) => ({to: address, message}));
		},
		receiveAnswer(answer, now) {
			options.onSuspects(answer.suspects, now);
			if (!answer.isInformed) {
				return;
			}

			const {address} = answer.from;
			const parts = receivedParts.get(address) ?? new Set();
			receivedParts.set(address, parts.add(answer.part));
			if (parts.size >= answer.parts) {
				informants.add(address);
			}
		},
		createAnswers(to, now) {
			const suspects = options.suspects(now);
			const parts = Math.max(1, Math.ceil(suspects.length / maxSuspectsPerAnswer));
			return Array.from({length: parts}, (_, part) => ({
				to: to.address,
				message: {
					kind: 'suspects-answer',
					from: self,
					isInformed: isInformed(now),
					part,
					parts,
					suspects: suspects.slice(part * maxSuspectsPerAnswer, (part + 1) * maxSuspectsPerAnswer),
				},
			}));
		},
	};
}
