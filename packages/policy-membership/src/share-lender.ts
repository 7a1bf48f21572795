/**
 * The lender's side of share lending: decides to which owner this instance lends its share of a
 * resource.
 *
 * Each change of the membership view starts an epoch. A lease covers an epoch once its borrower has
 * received a heartbeat that announces the epoch. An epoch is live until every lease that can be in
 * force covers the next epoch. Heartbeats list the views of all live epochs, and an instance counts
 * the share only if it is the rendezvous winner of the resource in every one of them. Two leases
 * that are in force at once therefore cover a common epoch, and only the winner in that epoch can
 * count the share. Leases of instances that keep all their resources in the next epoch are not
 * waited for, because they cannot be in conflict.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type View} from './rendezvous.js';
import {type OwnerLookup} from './share-fraction.js';
import {lenderLeaseDuration} from './timing.js';

/** What the lender needs to know about a peer that may hold leases. */
export type Borrower = {
	/**
	 * When the peer's heartbeat with the highest sequence was received, in monotonic milliseconds of
	 * the local clock.
	 */
	readonly heardAt: number;
	/** Highest sequence of this instance that the peer has echoed, 0 for none. */
	readonly confirmedSequence: number;
	/** The peer has given up all shares that were lent to it, permanently. */
	readonly hasRelinquished: boolean;
};

export type ShareLender = {
	/**
	 * Sets the current view and drops epochs that are no longer needed; does nothing until one
	 * `lenderLeaseDuration` after the start. `nextSequence` is the sequence of the next heartbeat of
	 * this instance. Returns whether the live views changed. Linear in the members during a change,
	 * constant otherwise.
	 */
	update(view: View, nextSequence: number, now: number): boolean;
	/**
	 * The views of the live epochs, oldest first, without duplicates. Empty until one
	 * `lenderLeaseDuration` after the start, because an earlier process at this address may have lent
	 * the same share.
	 */
	liveViews(): readonly View[];
	readonly ownerOf: OwnerLookup;
};

export type ShareLenderOptions = {
	readonly self: InstanceId;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	readonly borrower: (instance: InstanceId) => Borrower | undefined;
};

type Epoch = {
	readonly view: View;
	/** Sequence of the first heartbeat that announces this epoch. */
	readonly announcedBy: number;
	/**
	 * By member of the view of the preceding epoch: the latest time at which a lease of the member
	 * that does not cover this epoch can end, in monotonic milliseconds.
	 */
	readonly olderLeases: ReadonlyMap<InstanceId, number>;
};

function isSubset(inner: View, outer: View): boolean {
	return inner.members.every(member => outer.has(member));
}

export function createShareLender(options: ShareLenderOptions): ShareLender {
	const {self, borrower} = options;
	/**
	 * Monotonic milliseconds from which this instance lends: leases of an earlier process at this
	 * address, which may have crashed just before the start, have then ended.
	 */
	const lendsFrom = options.startedAt + lenderLeaseDuration;
	let epochs: Epoch[] = [];
	let live: readonly View[] = [];

	function leaseEnds(view: View): Map<InstanceId, number> {
		const ends = new Map<InstanceId, number>();
		for (const member of view.members) {
			const heardAt = member === self ? undefined : borrower(member)?.heardAt;
			if (heardAt !== undefined) {
				// The member counts its lease from when it sent the heartbeat that this instance echoes,
				// and a repeated echo does not extend the lease. Counted from when this instance received
				// that heartbeat, which is later, the lease does not end too early.
				ends.set(member, heardAt + lenderLeaseDuration);
			}
		}

		return ends;
	}

	/**
	 * Whether `older` must stay live: whether a member may still hold a lease that does not cover
	 * `newer`, and may lose resources in `newer` that it had won in `older`.
	 */
	function isNeeded(older: Epoch, newer: Epoch, now: number): boolean {
		// If members are only removed, the remaining ones keep every resource that they had won.
		const isReduced = isSubset(newer.view, older.view);
		for (const [member, end] of newer.olderLeases) {
			const peer = borrower(member);
			const hasEnded = now >= end || peer?.hasRelinquished === true;
			const hasConfirmed = peer !== undefined && peer.confirmedSequence >= newer.announcedBy;
			const isUnaffected = isReduced && newer.view.has(member);
			if (!hasEnded && !hasConfirmed && !isUnaffected) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Drops the latest epoch if `view` replaces it before a heartbeat has announced it: many peers
	 * can join between two heartbeats, and only the last of these views needs an epoch. If it is the
	 * only epoch, it stays, because leases may rely on it although no heartbeat has announced it.
	 */
	function dropUnannounced(view: View, nextSequence: number): void {
		const latest = epochs.at(-1);
		const isUnannounced = epochs.length > 1 && latest!.announcedBy === nextSequence;
		if (isUnannounced && latest!.view.digest !== view.digest) {
			epochs = epochs.slice(0, -1);
		}
	}

	function refreshLive(): boolean {
		const before = live;
		live = [...new Map(epochs.map(({view}) => [view.digest, view])).values()];
		return (
			before.length !== live.length ||
			before.some((view, index) => view.digest !== live[index]!.digest)
		);
	}

	return {
		update(view, nextSequence, now) {
			if (now < lendsFrom) {
				return false;
			}

			dropUnannounced(view, nextSequence);
			const latest = epochs.at(-1);
			const isNew = latest?.view.digest !== view.digest;
			if (!isNew && epochs.length === 1) {
				return refreshLive();
			}

			if (isNew) {
				epochs.push({
					view,
					announcedBy: nextSequence,
					olderLeases: latest === undefined ? new Map() : leaseEnds(latest.view),
				});
			}

			while (epochs.length > 1 && !isNeeded(epochs[0]!, epochs[1]!, now)) {
				epochs = epochs.slice(1);
			}

			return refreshLive();
		},
		liveViews: () => live,
		ownerOf(resource) {
			const owner = live[0]?.winner(resource);
			return live.every(view => view.winner(resource) === owner) ? owner : undefined;
		},
	};
}
