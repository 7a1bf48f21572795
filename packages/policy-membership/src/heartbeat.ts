/**
 * Messages between the memberships of two instances. Heartbeats show that an instance is alive and
 * lend its shares; handovers transfer shares during a planned stop.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type ViewDigest} from './rendezvous.js';

/**
 * An entry that the caller of `createMembership` sends in heartbeats. Its content is opaque to this
 * package.
 */
export type HeartbeatHolding = unknown;

/**
 * The members of a view, sent so that a receiver that knows only the digest of the view can compute
 * which member wins a resource in it (see rendezvous.ts).
 */
export type ViewMembers = {
	readonly digest: ViewDigest;
	readonly members: readonly InstanceId[];
};

/** The configuration that an instance has adopted. */
export type ConfigurationReport = {
	/** 0 while no document has been adopted. */
	readonly version: number;
	readonly digest: string;
	/**
	 * Milliseconds since the configuration service was last known to have no higher version;
	 * `Infinity` if that was never known for this version.
	 */
	readonly confirmedAgo: number;
};

export type Heartbeat = {
	readonly kind: 'heartbeat';
	readonly from: InstanceId;
	/**
	 * The addressed process, or a bare address when it is unknown which process runs there. A process
	 * ignores messages to an earlier process at its address, because the sequence numbers in them
	 * refer to heartbeats of that earlier process.
	 */
	readonly to: InstanceId;
	/** Increases from 1 in each process; 0 when `to` is a bare address. */
	readonly sequence: number;
	/**
	 * Highest sequence received from the addressed process, 0 for none. A higher echo renews the
	 * lease of that process on the sender's shares, counted from when that process sent the echoed
	 * heartbeat.
	 */
	readonly echo: number;
	/**
	 * The sender's live views: it lends its share of a resource only to an instance that is the winner
	 * in every one of them (see share-lender.ts). Empty while it may not lend.
	 */
	readonly views: readonly ViewDigest[];
	/** The live views, each with its members, that the receiver may not know yet. */
	readonly viewMembers?: readonly ViewMembers[];
	/**
	 * Digests of the views in the receiver's last heartbeat whose members the sender does not know.
	 */
	readonly unknownViews?: readonly ViewDigest[];
	readonly configuration: ConfigurationReport;
	/** The sender is in a planned stop and has given up every share that was lent to it. */
	readonly leaving: boolean;
	readonly holdings?: readonly HeartbeatHolding[];
};

/**
 * A lender whose lease to the sender of the handover has been in force for `vestingDuration`, with
 * the views that the lender announced in that time.
 */
export type VestedLender = {
	readonly lender: InstanceId;
	readonly views: readonly ViewDigest[];
};

/**
 * Sent by an instance in a planned stop to the members that remain. For each lender, it hands over
 * the resources that the sender wins in all views listed for that lender and that the receiver wins
 * in the successor view.
 */
export type ShareHandover = {
	readonly kind: 'handover';
	readonly from: InstanceId;
	readonly to: InstanceId;
	/**
	 * Highest heartbeat sequence that the sender had received from the receiver when the sender gave
	 * up its shares, 0 for none.
	 */
	readonly echo: number;
	/** Digest of the view that the sender leaves behind: all its members except the sender. */
	readonly successorView: ViewDigest;
	readonly lenders: readonly VestedLender[];
	/** Members of the views that the message names, as far as the sender knows them. */
	readonly viewMembers: readonly ViewMembers[];
};

export type MembershipMessage = Heartbeat | ShareHandover;
