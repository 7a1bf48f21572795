/**
 * Decides when an instance ticks between its regular ticks, because it has something to report.
 * Every member of a failure domain receives the reports of all others in it, so in a large domain
 * updates are collected for longer.
 *
 * Answers a target of a large domain that begins to fail: it responds quickly and so attracts
 * requests until the members hear of it. The first failure after a quiet time is reported at once,
 * further ones are collected. Also answers a storm in which every member observes failures all the
 * time: the interval between two such reports is that of collected updates. Each `now` is in
 * milliseconds of the monotonic clock.
 */

/** A failure that was observed or is to be relayed, or a change of the load on targets. */
export type UpdateKind = 'failure' | 'load';

export type TickSchedule = {
	/**
	 * Records an update. Returns the monotonic milliseconds at which to tick, or undefined if a tick
	 * that comes early enough is already requested; an earlier time replaces that of the last request.
	 */
	requestTick(kind: UpdateKind, now: number): number | undefined;
	/** Must be called at each tick, also at regular ones. */
	recordTick(now: number): void;
};

export type TickScheduleOptions = {
	/** Number of other members of this failure domain. */
	readonly sameDomainMembers: () => number;
};

/**
 * Milliseconds for which updates are collected, to be sent with one tick; a request takes several
 * times as long.
 */
const updateDelay = 20;
/** Additional milliseconds for each other member of this failure domain above eight. */
const updateDelayPerMember = 6;
const membersWithoutExtraDelay = 8;

/** Milliseconds for which a domain with that many other members collects updates. */
export function collectionTime(sameDomainMembers: number): number {
	return (
		updateDelay + Math.max(0, sameDomainMembers - membersWithoutExtraDelay) * updateDelayPerMember
	);
}

export function createTickSchedule({sameDomainMembers}: TickScheduleOptions): TickSchedule {
	let requestedAt = Number.POSITIVE_INFINITY;
	let isFailurePending = false;
	let failuresSentAt = Number.NEGATIVE_INFINITY;

	const dueTimes: Readonly<Record<UpdateKind, (now: number) => number>> = {
		failure: now =>
			Math.max(now + updateDelay, failuresSentAt + collectionTime(sameDomainMembers())),
		load: now => now + collectionTime(sameDomainMembers()),
	};

	return {
		requestTick(kind, now) {
			isFailurePending ||= kind === 'failure';
			const dueAt = dueTimes[kind](now);
			if (dueAt >= requestedAt) {
				return undefined;
			}

			requestedAt = dueAt;
			return dueAt;
		},
		recordTick(now) {
			if (isFailurePending) {
				failuresSentAt = now;
			}

			isFailurePending = false;
			requestedAt = Number.POSITIVE_INFINITY;
		},
	};
}
