/**
 * Messages of the membership task.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type ViewDigest} from './rendezvous.js';

/** Filled and read by another package; membership only carries it. */
export type Holding = unknown;

export type ViewMembers = {
	readonly digest: ViewDigest;
	readonly members: readonly InstanceId[];
};

export type ConfigurationReport = {
	/** 0 while no document has been adopted. */
	readonly version: number;
	readonly digest: string;
	/** Milliseconds since the configuration service was last known to serve no higher version. */
	readonly confirmedAgo: number;
};

export type Heartbeat = {
	readonly kind: 'heartbeat';
	readonly from: InstanceId;
	/**
	 * The process that is addressed, or its bare address while its incarnation is unknown. A process
	 * ignores what is meant for an earlier one, whose sequence numbers mean something else.
	 */
	readonly to: InstanceId;
	/** Counts up from 1 in each process; 0 when `to` is a bare address. */
	readonly sequence: number;
	/** Highest sequence heard from the addressed process, 0 for none. A new echo is a new lease. */
	readonly echo: number;
	/** The sender's live views; empty while it may not lend. */
	readonly views: readonly ViewDigest[];
	/** Members of those live views that the receiver is not known to have. */
	readonly viewMembers?: readonly ViewMembers[];
	/** Digests in the receiver's last heartbeat that the sender cannot resolve. */
	readonly unknownViews?: readonly ViewDigest[];
	readonly configuration: ConfigurationReport;
	/** The sender stops as planned and has given up every share that was lent to it. */
	readonly leaving: boolean;
	readonly holdings?: readonly Holding[];
};

/** A lender that has lent for a term, with the live views it announced in that term. */
export type VestedLender = {
	readonly lender: InstanceId;
	readonly views: readonly ViewDigest[];
};

/**
 * From an instance that leaves to its successors. It covers the resources that the sender owned
 * in the views of a lender and that the receiver wins in the successor view.
 */
export type Handover = {
	readonly kind: 'handover';
	readonly from: InstanceId;
	readonly to: InstanceId;
	/** Highest sequence heard from the receiver when the sender gave up its shares. */
	readonly echo: number;
	readonly successorView: ViewDigest;
	readonly lenders: readonly VestedLender[];
	/** Members of every view that the message names. */
	readonly viewMembers: readonly ViewMembers[];
};

export type MembershipMessage = Heartbeat | Handover;
