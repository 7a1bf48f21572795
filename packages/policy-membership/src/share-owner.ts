/**
 * The owner's side of share lending: determines which lenders count for a resource, and for how
 * long.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Handover, type VestedLender} from './heartbeat.js';
import {type View, type ViewDigest} from './rendezvous.js';
import {type Resource, type ShareFraction, type ShareFractionLookup} from './share-fraction.js';
import {slotGrantTtl, vestingDuration} from './timing.js';

export type ShareOwner = {
	/**
	 * Records a lease until `until` (monotonic milliseconds, local clock) from the lender's latest
	 * heartbeat. An empty list of views or an end in the past ends the lease.
	 */
	recordLease(lender: InstanceId, until: number, views: readonly ViewDigest[], now: number): void;
	forget(lender: InstanceId): void;
	/**
	 * Takes over the vested lenders of a predecessor. `echoSentAt` is when the heartbeat that the
	 * message echoes was sent, in monotonic milliseconds of the local clock.
	 */
	acceptHandover(message: Handover, echoSentAt: number): void;
	/** Lenders that have lent for the vesting duration, to be sent in a handover. */
	vestedLenders(now: number): readonly VestedLender[];
	/** Gives up all shares permanently. */
	relinquish(): void;
	/** Must be called when an unknown view has become known. */
	invalidate(): void;
	/** Digests that leases and transfers refer to; their views must stay known. */
	referencedViews(): Iterable<ViewDigest>;
	/**
	 * Removes cached resources that have not been looked up for five minutes, and lease periods and
	 * transfers that are no longer needed.
	 */
	sweep(now: number): void;
	/**
	 * After a change of leases, the first look-up of a resource is linear in the lenders and in the
	 * distinct sets of views; further ones are one map access.
	 */
	readonly fraction: ShareFractionLookup;
};

export type ShareOwnerOptions = {
	readonly self: InstanceId;
	/** D, the upper bound on instances that run at once. */
	readonly maxInstances: () => number;
	readonly viewOf: (digest: ViewDigest) => View | undefined;
};

type Period = {
	/** The digests joined into one string, to compare sets. */
	readonly key: string;
	readonly views: readonly ViewDigest[];
	readonly since: number;
};

type Lease = {
	readonly lender: InstanceId;
	until: number;
	/** Periods of uninterrupted lending, oldest first; never empty. */
	periods: Period[];
};

type Transfer = {
	readonly from: InstanceId;
	readonly successorView: ViewDigest;
	readonly views: readonly ViewDigest[];
	/** Monotonic milliseconds. Leases that started later may have passed through another owner. */
	readonly startLimit: number;
};

type Entry = {
	readonly generation: number;
	/** The `maxInstances` for which the fraction was computed. */
	readonly bound: number;
	readonly validUntil: number;
	/** The last time at which the fraction was known to be valid. */
	checkedAt: number;
	readonly fraction: ShareFraction;
};

type Evaluation = {
	readonly resource: Resource;
	/** Results by set of views; most lenders announce the same set. */
	readonly wins: Map<string, boolean>;
};

/** Periods per lease. Cutting a longer history only makes a lender vest later. */
const maxPeriods = 16;
/**
 * Milliseconds after which periods are dropped together with their views. Longer than any use of
 * `majoritySince`, of which the longest is the 120 s for which idempotency keys are remembered.
 */
const periodRetentionMs = 180_000;
const sweepIntervalMs = 60_000;
const entryTtlMs = 300_000;
const noShare: ShareFraction = {current: 0, vested: 0, majoritySince: undefined};

export function createShareOwner(options: ShareOwnerOptions): ShareOwner {
	const {self, maxInstances, viewOf} = options;
	const leases = new Map<InstanceId, Lease>();
	const transfers = new Map<InstanceId, Transfer[]>();
	const entries = new Map<Resource, Entry>();
	let generation = 0;
	let lastSweep = 0;
	let hasRelinquished = false;

	function isWinner(instance: InstanceId, views: readonly ViewDigest[], resource: Resource) {
		return views.every(digest => viewOf(digest)?.winner(resource) === instance);
	}

	function winsPeriod(period: Period, {resource, wins}: Evaluation): boolean {
		let result = wins.get(period.key);
		if (result === undefined) {
			result = isWinner(self, period.views, resource);
			wins.set(period.key, result);
		}

		return result;
	}

	/**
	 * Since when the lender has lent the resource without interruption; `undefined` if it does not
	 * now.
	 */
	function lendingSince(lease: Lease, evaluation: Evaluation): number | undefined {
		let since: number | undefined;
		for (let index = lease.periods.length - 1; index >= 0; index--) {
			const period = lease.periods[index]!;
			if (!winsPeriod(period, evaluation)) {
				break;
			}

			since = period.since;
		}

		return since;
	}

	function isTransferred(lender: InstanceId, resource: Resource, since: number): boolean {
		return (transfers.get(lender) ?? []).some(
			transfer =>
				since <= transfer.startLimit &&
				isWinner(transfer.from, transfer.views, resource) &&
				isWinner(self, [transfer.successorView], resource),
		);
	}

	/**
	 * The start of the majority. The previous evaluation is used because lenders that have left since
	 * may have been part of the majority in the meantime.
	 */
	function findMajoritySince(starts: number[], needed: number, previous: Entry | undefined) {
		if (starts.length < needed) {
			return undefined;
		}

		const before = previous?.fraction.majoritySince;
		if (before !== undefined) {
			const {checkedAt} = previous!;
			const lasting = starts.filter(start => start <= checkedAt).length;
			if (lasting >= needed) {
				return before;
			}
		}

		return starts.sort((left, right) => left - right)[needed - 1];
	}

	function evaluate(
		resource: Resource,
		bound: number,
		now: number,
		previous: Entry | undefined,
	): Entry {
		const evaluation: Evaluation = {resource, wins: new Map()};
		const starts: number[] = [];
		let vested = 0;
		let validUntil = Number.POSITIVE_INFINITY;
		for (const lease of leases.values()) {
			const since = now < lease.until ? lendingSince(lease, evaluation) : undefined;
			if (since !== undefined) {
				starts.push(since);
				validUntil = Math.min(validUntil, lease.until);
				const vestsAt = since + vestingDuration;
				if (now >= vestsAt || isTransferred(lease.lender, resource, since)) {
					vested++;
				} else {
					validUntil = Math.min(validUntil, vestsAt);
				}
			}
		}

		const majoritySince = findMajoritySince(starts, Math.floor(bound / 2) + 1, previous);
		const fraction = {current: starts.length / bound, vested: vested / bound, majoritySince};
		return {generation, bound, validUntil, checkedAt: now, fraction};
	}

	function forgetOldPeriods(lease: Lease, now: number): void {
		const first = lease.periods.findLastIndex(({since}) => since + periodRetentionMs <= now);
		if (first > 0) {
			lease.periods = lease.periods.slice(first);
			generation++;
		}
	}

	function drop(lender: InstanceId): void {
		if (leases.delete(lender)) {
			generation++;
		}
	}

	return {
		recordLease(lender, until, views, now) {
			if (views.length === 0 || until <= now) {
				drop(lender);
				return;
			}

			const period = {key: views.join(' '), views, since: now};
			const lease = leases.get(lender);
			if (lease === undefined || lease.until <= now) {
				leases.set(lender, {lender, until, periods: [period]});
				generation++;
				return;
			}

			lease.until = until;
			if (lease.periods.at(-1)!.key !== period.key) {
				lease.periods = [...lease.periods, period].slice(-maxPeriods);
				generation++;
			}
		},
		forget: drop,
		acceptHandover(message, echoSentAt) {
			for (const {lender, views} of message.lenders) {
				const known = transfers.get(lender) ?? [];
				// Repeated messages carry the same echo, so the first one is kept.
				if (!known.some(transfer => transfer.from === message.from)) {
					const {from, successorView} = message;
					// Another owner can have vested, issued grants and lost the share only after the lifetime
					// of a slot grant.
					const transfer = {from, successorView, views, startLimit: echoSentAt + slotGrantTtl};
					transfers.set(lender, [...known, transfer]);
				}
			}

			generation++;
		},
		vestedLenders(now) {
			const vested: VestedLender[] = [];
			for (const {lender, until, periods} of leases.values()) {
				const start = periods.findLastIndex(({since}) => since + vestingDuration <= now);
				if (now < until && start !== -1) {
					const views = new Set(periods.slice(start).flatMap(period => period.views));
					vested.push({lender, views: [...views]});
				}
			}

			return vested;
		},
		relinquish() {
			hasRelinquished = true;
		},
		invalidate() {
			generation++;
		},
		*referencedViews() {
			for (const {periods} of leases.values()) {
				for (const {views} of periods) {
					yield* views;
				}
			}

			for (const {views, successorView} of [...transfers.values()].flat()) {
				yield successorView;
				yield* views;
			}
		},
		sweep(now) {
			if (now < lastSweep + sweepIntervalMs) {
				return;
			}

			lastSweep = now;
			for (const lease of leases.values()) {
				forgetOldPeriods(lease, now);
			}

			for (const [resource, entry] of entries) {
				if (entry.checkedAt + entryTtlMs < now) {
					entries.delete(resource);
				}
			}

			for (const [lender, known] of transfers) {
				// Once the vesting duration has passed since the limit, every lease to which the transfer
				// could apply has vested without it.
				const kept = known.filter(({startLimit}) => now < startLimit + vestingDuration);
				if (kept.length === 0) {
					transfers.delete(lender);
				} else {
					transfers.set(lender, kept);
				}
			}
		},
		fraction(resource, now) {
			if (hasRelinquished) {
				return noShare;
			}

			const bound = maxInstances();
			const previous = entries.get(resource);
			const isCurrent = previous?.generation === generation && previous.bound === bound;
			if (isCurrent && now < previous.validUntil) {
				previous.checkedAt = now;
				return previous.fraction;
			}

			const entry = evaluate(resource, bound, now, previous);
			entries.set(resource, entry);
			return entry.fraction;
		},
	};
}
