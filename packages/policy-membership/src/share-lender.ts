/**
 * The lender's side of share lending: decides which views are live, and thereby to whom a share is
 * lent.
 *
 * Each change of the view starts an epoch. A heartbeat announces all epochs that are still live,
 * and an owner counts the lender's share only if it wins in all of them. An epoch is dropped as
 * soon as every lease that can be in force covers the next epoch, so any two leases that are in
 * force at the same time have an epoch in common, and with it the winner.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type View} from './rendezvous.js';
import {type OwnerLookup} from './share-fraction.js';
import {lenderLeaseDuration} from './timing.js';

/** What the lender needs to know about a peer that may hold leases. */
export type Borrower = {
	/** When its highest sequence was received, on the local clock. */
	readonly heardAt: number;
	/** Highest sequence of this instance that it has echoed, 0 for none. */
	readonly confirmed: number;
	/** It has given up all its shares permanently. */
	readonly hasRelinquished: boolean;
};

export type ShareLender = {
	/**
	 * Sets the current view and drops epochs that are no longer needed. `nextSequence` is the
	 * sequence of the next heartbeat. Returns whether the live views changed. Linear in the members
	 * during a change, constant otherwise.
	 */
	update(view: View, nextSequence: number, now: number): boolean;
	/** Oldest first, without duplicates; empty during the start-up wait. */
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
	/** By member of the preceding view: end of its leases that do not cover this epoch. */
	readonly olderLeases: ReadonlyMap<InstanceId, number>;
};

function isSubset(inner: View, outer: View): boolean {
	return inner.members.every(member => outer.has(member));
}

export function createShareLender(options: ShareLenderOptions): ShareLender {
	const {self, borrower} = options;
	/**
	 * Monotonic milliseconds. An earlier process at this address may have lent the same share until
	 * it crashed.
	 */
	const lendsFrom = options.startedAt + lenderLeaseDuration;
	let epochs: Epoch[] = [];
	let live: readonly View[] = [];

	function leaseEnds(view: View): Map<InstanceId, number> {
		const ends = new Map<InstanceId, number>();
		for (const member of view.members) {
			const heardAt = member === self ? undefined : borrower(member)?.heardAt;
			if (heardAt !== undefined) {
				// A sequence is echoed no earlier than it is received, and repeating the echo does not
				// extend the lease, so the lease is counted from receiving the sequence.
				ends.set(member, heardAt + lenderLeaseDuration);
			}
		}

		return ends;
	}

	/** Whether a member may still hold a lease under `older` that does not cover `newer`. */
	function isNeeded(older: Epoch, newer: Epoch, now: number): boolean {
		// Removing members leaves every resource of a remaining member with that member.
		const isReduced = isSubset(newer.view, older.view);
		for (const [member, end] of newer.olderLeases) {
			const peer = borrower(member);
			const hasEnded = now >= end || peer?.hasRelinquished === true;
			const hasConfirmed = peer !== undefined && peer.confirmed >= newer.announcedBy;
			const isUnaffected = isReduced && newer.view.has(member);
			if (!hasEnded && !hasConfirmed && !isUnaffected) {
				return true;
			}
		}

		return false;
	}

	/**
	 * Drops the latest epoch if no heartbeat has announced it: many peers can join between two
	 * heartbeats, and only the last of these views needs an epoch. A sole epoch stays, because leases
	 * may rely on it although it was not announced.
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
