/**
 * Messages between the holders of slots and the coordinators that grant them. Every message may be
 * lost, duplicated, delayed or reordered: asks and grants carry ids (`id` identifies the ask,
 * `grant` the grant), and a receiver that has handled an id before repeats its reply or ignores the
 * message. Times are durations, because the monotonic clocks of two instances have different
 * origins.
 */
import {type AttemptOutcome} from '@shallotpond/kernel/attempt-outcome';
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** Why a request got no slot. For each of these reasons the request has not run. */
export type SlotRefusalReason =
	/**
	 * The request excludes all usable targets of the shard, or the configuration of the holder does
	 * not have the service.
	 */
	| 'no-capacity'
	| 'queue-full'
	/** The deadline has passed, or the expected wait in the queue is longer than the time left. */
	| 'deadline'
	/** The instance that was asked does not coordinate this shard, or no instance could be asked. */
	| 'not-coordinator'
	/**
	 * The shard has no usable target, or its queue has reached the shorter limit that applies while
	 * the service is overloaded.
	 */
	| 'service-unhealthy';

export type SlotAsk = {
	readonly kind: 'slot-ask';
	/** Unique across all instances and over time. */
	readonly id: string;
	/** Number of this message among the repetitions of the ask; 0 for the first. */
	readonly attempt: number;
	readonly service: string;
	readonly shard: number;
	readonly workspace: string;
	/**
	 * Milliseconds until the deadline, counted by the coordinator from the arrival of the message.
	 */
	readonly timeLeft: number;
	readonly excludeTargets: readonly string[];
	/** Failure domains to avoid while another one has a usable target with a free slot. */
	readonly avoidFailureDomains: readonly string[];
};

/** The ask waits in the queue. Also tells the holder that the coordinator is reachable. */
export type SlotQueued = {
	readonly kind: 'slot-queued';
	readonly id: string;
	readonly queueLength: number;
};

export type SlotGrantMessage = {
	readonly kind: 'slot-grant';
	readonly id: string;
	/**
	 * `attempt` of the latest `SlotAsk` of this `id` that the coordinator had received when it issued
	 * the grant. The holder counts the lifetime of the grant from the time at which it sent that
	 * `SlotAsk`.
	 */
	readonly attempt: number;
	readonly grant: string;
	readonly target: string;
	/** Lifetime of the grant without renewal. Milliseconds. */
	readonly term: number;
	/** Number of slots that the target was allowed by its warm-up when the grant was issued. */
	readonly warmSlots: number;
	/**
	 * Whether the holder may keep the connection open after the response, for
	 * `idleConnectionTimeout`.
	 */
	readonly keepConnection: boolean;
	readonly queueLength: number;
};

export type SlotRefusal = {
	readonly kind: 'slot-refusal';
	readonly id: string;
	readonly reason: SlotRefusalReason;
	/** Milliseconds after which the caller may retry. */
	readonly retryAfter: number;
	readonly runState: 'not-run';
	readonly queueLength: number;
};

export type SlotRelease = {
	readonly kind: 'slot-release';
	readonly grant: string;
	readonly holder: InstanceId;
	readonly service: string;
	readonly target: string;
	/** Absent when the grant was not used. */
	readonly outcome?: AttemptOutcome;
};

export type SlotCancel = {
	readonly kind: 'slot-cancel';
	readonly id: string;
	readonly service: string;
	readonly shard: number;
};

/** A grant that a holder reports in order to renew it. */
export type ReportedGrant = {
	readonly grant: string;
	readonly service: string;
	readonly target: string;
	readonly workspace: string;
	/**
	 * `warmSlots` of the grant message. While the request that uses the grant is running, the target
	 * cannot have restarted, so the target is still warm enough for this number of slots.
	 */
	readonly warmSlots: number;
};

export type SlotRenew = {
	readonly kind: 'slot-renew';
	/**
	 * Increases with each renewal message of the holder. The reply repeats it, so that the holder can
	 * count the new lifetime of the grants from the time at which it sent the renewal.
	 */
	readonly sequence: number;
	readonly holdings: readonly ReportedGrant[];
};

export type SlotRenewed = {
	readonly kind: 'slot-renewed';
	readonly sequence: number;
	readonly renewed: readonly string[];
	readonly refused: readonly string[];
};

/** State of a shard, sent by a coordinator in a planned stop to the next coordinator. */
export type SlotHandover = {
	readonly kind: 'slot-handover';
	readonly service: string;
	readonly shard: number;
	readonly grants: ReadonlyArray<ReportedGrant & {readonly holder: InstanceId}>;
	readonly targets: ReadonlyArray<{
		readonly target: string;
		readonly warmSlots: number;
		readonly generation?: string;
		/** Milliseconds until the next trial, for an ejected target. */
		readonly ejectedFor?: number;
	}>;
};

export type SlotMessage =
	| SlotAsk
	| SlotQueued
	| SlotGrantMessage
	| SlotRefusal
	| SlotRelease
	| SlotCancel
	| SlotRenew
	| SlotRenewed
	| SlotHandover;

/** Messages that a coordinator receives. */
export type SlotCoordinatorMessage = SlotAsk | SlotRelease | SlotCancel | SlotRenew | SlotHandover;

/** Messages that a holder receives. */
export type SlotHolderMessage = SlotQueued | SlotGrantMessage | SlotRefusal | SlotRenewed;
