/**
 * Messages between the instances of a fleet. They travel as datagrams: each may be lost, repeated or
 * late, so every message stands alone and totals are sent instead of differences where a loss would
 * matter.
 */

/** One process of the fleet. */
export type Member = {
	/** IP address; the port is the same on all instances. */
	readonly address: string;
	readonly failureDomain: string;
	/** Wall-clock milliseconds of the start of the process; tells apart two processes at one address. */
	readonly startedAt: number;
};

/** Outcomes at one target since the last report of the sender. */
export type TargetReport = {
	/** Id and start of the target. */
	readonly incarnation: string;
	readonly good: number;
	readonly bad: number;
	readonly busy: number;
	/** Connections that had been idle and were reset as soon as they were used. */
	readonly stale: number;
	/** Sum over the good ones, milliseconds. */
	readonly latency: number;
};

/** Numbers of requests since the sender started. */
export type WorkspaceCounts = {readonly asked: number; readonly admitted: number};

export type WorkspaceTotal = WorkspaceCounts & {
	readonly workspace: string;
	/** What the sender said last; all of its requests since then are news to the receivers. */
	readonly before: WorkspaceCounts;
};

/** Requests of the sender that are at a target now. */
export type TargetLoad = readonly [incarnation: string, requests: number];

export type ConfigurationState = {
	readonly version: number;
	/** Revision of what the platform publishes, up to which the sender knows everything. */
	readonly revision: number;
	/** Milliseconds since the version was known to be the newest; undefined while unknown. */
	readonly confirmedAgo: number | undefined;
};

/** A request that broke the connection to a target which ran it. */
export type CrashReport = {
	/** Digest of the request, the same for each of its copies. */
	readonly fingerprint: string;
	/** Id of the target. */
	readonly target: string;
};

export type Report = {
	readonly kind: 'report';
	readonly from: Member;
	/** Whether the receiver passes the report on inside its own failure domain. */
	readonly isRelayed: boolean;
	readonly configuration: ConfigurationState;
	readonly targets: readonly TargetReport[];
	/** All of the sender's, so that a lost report is made good by the next one. */
	readonly inFlight: readonly TargetLoad[];
	readonly workspaces: readonly WorkspaceTotal[];
	readonly crashes: readonly CrashReport[];
	readonly isLeaving: boolean;
};

export type RosterRequest = {readonly kind: 'roster-request'; readonly from: Member};

export type RosterAnswer = {
	readonly kind: 'roster-answer';
	readonly from: Member;
	readonly members: readonly Member[];
};

export type FleetMessage = Report | RosterRequest | RosterAnswer;

export type OutgoingMessage = {
	/** IP address of the receiver. */
	readonly to: string;
	readonly message: FleetMessage;
};
