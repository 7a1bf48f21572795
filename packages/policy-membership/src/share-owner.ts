/**
 * The owner's side of share lending: computes from the leases of all lenders which fraction of a
 * resource is lent to this instance.
 *
 * A lender counts for a resource while its lease is in force and this instance is the rendezvous
 * winner of the resource in every view that the lender announces. Once a lender has counted without
 * interruption for the vesting duration, the lender is vested: no grant of an earlier owner can be
 * in force any more.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type ShareHandover, type VestedLender} from './heartbeat.js';
import {type View, type ViewDigest} from './rendezvous.js';
import {type ResourceName, type ShareFraction, type ShareFractionLookup} from './share-fraction.js';
import {slotGrantTtl, vestingDuration} from './timing.js';

export type ShareOwner = {
	/**
	 * Records the lease until `until` (monotonic milliseconds, local clock) that follows from the
	 * lender's latest heartbeat. If `views` is empty or `until` has passed, the lease ends.
	 */
	recordLease(lender: InstanceId, until: number, views: readonly ViewDigest[], now: number): void;
	forget(lender: InstanceId): void;
	/**
	 * Takes over the vested lenders of an instance that is leaving. `echoSentAt` is when this instance
	 * sent the heartbeat with the sequence `message.echo`, in monotonic milliseconds.
	 */
	acceptHandover(message: ShareHandover, echoSentAt: number): void;
	/**
	 * The lenders to pass on in a handover: those whose lease has been in force for the vesting
	 * duration. The views of each lender show the receiver for which resources the lender is vested.
	 */
	vestedLenders(now: number): readonly VestedLender[];
	/** Gives up all shares permanently: from now on, every fraction is 0. */
	relinquish(): void;
	/**
	 * Discards the cached fractions. Must be called when `viewOf` starts to return a view for a
	 * digest for which it returned `undefined` before.
	 */
	invalidateFractions(): void;
	/** Digests of the views that `viewOf` must still return, because leases or handovers name them. */
	referencedViews(): Iterable<ViewDigest>;
	/**
	 * Removes cached fractions that have not been looked up for five minutes, and data of leases and
	 * handovers that is no longer needed. Runs at most once a minute; other calls do nothing.
	 */
	prune(now: number): void;
	/**
	 * Results are cached. The first look-up of a resource after a change of leases, handovers, views
	 * or `maxInstances`, or after a lease in the result has ended or vested, is linear in the lenders
	 * and in the distinct sets of views; others are one map access.
	 */
	readonly shareFractionOf: ShareFractionLookup;
};

export type ShareOwnerOptions = {
	readonly self: InstanceId;
	/** `fleet.maxInstances`, the upper bound on instances that run at once. */
	readonly maxInstances: () => number;
	readonly viewOf: (digest: ViewDigest) => View | undefined;
};

/** A time during which a lender announced one set of views. */
type Period = {
	/** The digests of `views` joined into one string, for comparisons. */
	readonly key: string;
	readonly views: readonly ViewDigest[];
	/** Monotonic milliseconds. */
	readonly since: number;
};

type Lease = {
	readonly lender: InstanceId;
	/** Monotonic milliseconds. */
	until: number;
	/**
	 * Oldest first, never empty. They follow one another directly: a lease that has ended starts
	 * again with a single period.
	 */
	periods: Period[];
};

/** A vested lender that a leaving instance (`from`) has handed over to this one. */
type Transfer = {
	readonly from: InstanceId;
	readonly successorView: ViewDigest;
	readonly views: readonly ViewDigest[];
	/**
	 * Monotonic milliseconds. The transfer applies only if the lender has started to lend the
	 * resource to this instance by this time: before a later start, another owner may have issued
	 * grants.
	 */
	readonly startLimit: number;
};

type CachedFraction = {
	/** Differs from the current generation if leases, handovers or views have changed since. */
	readonly generation: number;
	/** The `maxInstances` for which the fraction was computed. */
	readonly bound: number;
	/** Monotonic milliseconds at which the first lease in the result ends or vests. */
	readonly validUntil: number;
	/** Monotonic milliseconds of the last look-up, at which the fraction was valid. */
	checkedAt: number;
	readonly fraction: ShareFraction;
};

type Evaluation = {
	readonly resource: ResourceName;
	/**
	 * By `Period.key`: whether this instance is the winner in all views of the period. Most lenders
	 * announce the same set of views.
	 */
	readonly wins: Map<string, boolean>;
};

/**
 * Periods kept per lease. Dropping earlier ones only makes lending appear shorter than it is, so that
 * lenders vest later and a majority seems to start later.
 */
const maxPeriods = 16;
/**
 * Milliseconds for which a period is kept after its end. Longer than any time that callers compare
 * with `majoritySince`; the longest is the 120 s for which idempotency keys are remembered by
 * default.
 */
const periodRetentionMs = 180_000;
const pruneIntervalMs = 60_000;
/** Milliseconds without a look-up after which a cached fraction may be removed. */
const cacheTtlMs = 300_000;
const noShare: ShareFraction = {current: 0, vested: 0, majoritySince: undefined};

export function createShareOwner(options: ShareOwnerOptions): ShareOwner {
	const {self, maxInstances, viewOf} = options;
	const leases = new Map<InstanceId, Lease>();
	const transfers = new Map<InstanceId, Transfer[]>();
	const cachedFractions = new Map<ResourceName, CachedFraction>();
	let generation = 0;
	let lastPrunedAt = 0;
	let hasRelinquished = false;

	function isWinner(instance: InstanceId, views: readonly ViewDigest[], resource: ResourceName) {
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
	 * Monotonic milliseconds since which the lender has lent the resource to this instance without
	 * interruption; `undefined` if the lender does not lend it now.
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

	function isTransferred(lender: InstanceId, resource: ResourceName, since: number): boolean {
		return (transfers.get(lender) ?? []).some(
			transfer =>
				since <= transfer.startLimit &&
				isWinner(transfer.from, transfer.views, resource) &&
				isWinner(self, [transfer.successorView], resource),
		);
	}

	/**
	 * Monotonic milliseconds since which at least `needed` lenders have lent the resource to this
	 * instance at every moment; `undefined` if fewer do so now. `starts` shows only when the present
	 * lenders started, but lenders that have stopped may have been part of an earlier majority. If at
	 * least `needed` of the present lenders already lent at the previous look-up, the majority found
	 * by that look-up has lasted, and its start is kept.
	 */
	function findMajoritySince(
		starts: number[],
		needed: number,
		previous: CachedFraction | undefined,
	) {
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
		resource: ResourceName,
		bound: number,
		now: number,
		previous: CachedFraction | undefined,
	): CachedFraction {
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
				// A handover is sent several times with the same content, so only the first is recorded.
				if (!known.some(transfer => transfer.from === message.from)) {
					const {from, successorView} = message;
					// Another owner that received the share in between could issue grants for it only once it
					// had vested, which takes at least the lifetime of a slot grant.
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
		invalidateFractions() {
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
		prune(now) {
			if (now < lastPrunedAt + pruneIntervalMs) {
				return;
			}

			lastPrunedAt = now;
			for (const lease of leases.values()) {
				forgetOldPeriods(lease, now);
			}

			for (const [resource, entry] of cachedFractions) {
				if (entry.checkedAt + cacheTtlMs < now) {
					cachedFractions.delete(resource);
				}
			}

			for (const [lender, known] of transfers) {
				// Once the vesting duration has passed since `startLimit`, every lender to which the
				// transfer could apply has vested without it.
				const kept = known.filter(({startLimit}) => now < startLimit + vestingDuration);
				if (kept.length === 0) {
					transfers.delete(lender);
				} else {
					transfers.set(lender, kept);
				}
			}
		},
		shareFractionOf(resource, now) {
			if (hasRelinquished) {
				return noShare;
			}

			const bound = maxInstances();
			const previous = cachedFractions.get(resource);
			const isCurrent = previous?.generation === generation && previous.bound === bound;
			if (isCurrent && now < previous.validUntil) {
				previous.checkedAt = now;
				return previous.fraction;
			}

			const entry = evaluate(resource, bound, now, previous);
			cachedFractions.set(resource, entry);
			return entry.fraction;
		},
	};
}
