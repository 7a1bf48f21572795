/**
 * Remembers what targets said about themselves in their responses: that they are leaving, or that
 * they want no request from this instance for a while. Both count before any other knowledge about
 * the target, such as an entry of the platform that does not show the stop yet, and both belong to
 * one start of the target, so that its successor is free. Each `now` is in milliseconds of the
 * monotonic clock.
 */
import {type TargetNotice} from '@shallotpond/kernel/attempt-outcome';

export type TargetNoticesOptions = {
	/** Milliseconds for which a target counts as leaving after it has said so. */
	readonly leavingRetention: number;
};

export type TargetNoticeChange = {
	/** Whether the target was not known to be leaving before. */
	readonly isNewlyLeaving: boolean;
	/** Whether no hold-off of the target was in force before. */
	readonly isNewlyHeldOff: boolean;
};

export type TargetNotices = {
	/** Records the notice of a response that this instance received. */
	record(incarnation: string, notice: TargetNotice, now: number): TargetNoticeChange;
	/** Adds targets that other instances reported as leaving. */
	mergeLeaving(incarnations: readonly string[], now: number): void;
	isLeaving(incarnation: string, now: number): boolean;
	/** Whether the target may get a request now. */
	isOpen(incarnation: string, now: number): boolean;
	/**
	 * Monotonic milliseconds at which the hold-off of the target ends; undefined if none is in force
	 * or if the target is leaving, so that waiting for its end is of no use.
	 */
	heldOffUntil(incarnation: string, now: number): number | undefined;
	/** Targets that may get no request now. Linear in the number of remembered notices. */
	closed(now: number): string[];
	/**
	 * Targets of which this instance itself learned within the last `reportWindowMs` that they are
	 * leaving, at most the newest `maxReportedTargets`. Every report to other instances contains
	 * them, because a report may be lost.
	 */
	recentlyLeaving(now: number): readonly string[];
	/** Forgets a target whose successor cannot be told apart from it. */
	forget(incarnation: string): void;
	/** Removes the notices that no longer apply. Linear in their number. */
	prune(now: number): void;
};

/**
 * Maximum milliseconds of a hold-off. A longer one would outlast most causes; the target can repeat
 * it.
 */
export const maxHoldOffMs = 300_000;
const reportWindowMs = 2500;
/** Maximum number of leaving targets in a report, so that the report fits into a datagram. */
const maxReportedTargets = 16;
/** Maximum number of remembered targets of each kind; the oldest notice is dropped. */
const maxRemembered = 20_000;

export function createTargetNotices({leavingRetention}: TargetNoticesOptions): TargetNotices {
	/** Monotonic milliseconds until which the target counts as leaving, by incarnation. */
	const leaving = new Map<string, number>();
	/** Monotonic milliseconds until which the target wants no request, by incarnation. */
	const heldOff = new Map<string, number>();
	let observedLeaving: Array<{readonly incarnation: string; readonly at: number}> = [];

	function remember(notices: Map<string, number>, incarnation: string, until: number): void {
		notices.delete(incarnation);
		notices.set(incarnation, until);
		if (notices.size > maxRemembered) {
			notices.delete(notices.keys().next().value!);
		}
	}

	function isLeaving(incarnation: string, now: number): boolean {
		return now < (leaving.get(incarnation) ?? Number.NEGATIVE_INFINITY);
	}

	function isHeldOff(incarnation: string, now: number): boolean {
		return now < (heldOff.get(incarnation) ?? Number.NEGATIVE_INFINITY);
	}

	function isOpen(incarnation: string, now: number): boolean {
		return !isLeaving(incarnation, now) && !isHeldOff(incarnation, now);
	}

	function recordLeaving(incarnation: string, now: number): boolean {
		const isNew = !isLeaving(incarnation, now);
		remember(leaving, incarnation, now + leavingRetention);
		if (isNew) {
			observedLeaving.push({incarnation, at: now});
		}

		return isNew;
	}

	/** A shorter hold-off never ends a longer one early: responses may arrive out of order. */
	function recordHoldOff(incarnation: string, holdOff: number, now: number): boolean {
		const isNew = !isHeldOff(incarnation, now);
		const until = now + Math.min(holdOff, maxHoldOffMs);
		remember(heldOff, incarnation, Math.max(until, heldOff.get(incarnation) ?? 0));
		return isNew;
	}

	return {
		record(incarnation, {isLeaving: isLeavingNow, holdOff}, now) {
			const isNewlyLeaving = isLeavingNow && recordLeaving(incarnation, now);
			const isNewlyHeldOff = holdOff !== undefined && recordHoldOff(incarnation, holdOff, now);
			return {isNewlyLeaving, isNewlyHeldOff};
		},
		mergeLeaving(incarnations, now) {
			for (const incarnation of incarnations) {
				remember(leaving, incarnation, now + leavingRetention);
			}
		},
		isLeaving,
		isOpen,
		heldOffUntil: (incarnation, now) =>
			isHeldOff(incarnation, now) && !isLeaving(incarnation, now)
				? heldOff.get(incarnation)
				: undefined,
		closed: now =>
			[...new Set([...leaving.keys(), ...heldOff.keys()])].filter(
				incarnation => !isOpen(incarnation, now),
			),
		recentlyLeaving(now) {
			observedLeaving = observedLeaving.filter(({at}) => now - at < reportWindowMs);
			return observedLeaving.slice(-maxReportedTargets).map(({incarnation}) => incarnation);
		},
		forget(incarnation) {
			leaving.delete(incarnation);
			heldOff.delete(incarnation);
		},
		prune(now) {
			for (const notices of [leaving, heldOff]) {
				for (const [incarnation, until] of notices) {
					if (now >= until) {
						notices.delete(incarnation);
					}
				}
			}
		},
	};
}
