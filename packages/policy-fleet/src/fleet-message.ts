/**
 * Messages between the instances of a fleet. They travel as datagrams, each of which may be lost,
 * duplicated or delayed. Every message can therefore be understood without the others, and totals
 * are sent instead of differences where a loss would matter.
 */

/** One process of the fleet. */
export type Member = {
	/** IP address; the port is the same on all instances. */
	readonly address: string;
	readonly failureDomain: string;
	/**
	 * Start of the process, wall-clock milliseconds; distinguishes successive processes at one
	 * address.
	 */
	readonly startedAt: number;
};

/**
 * Numbers of outcomes at one target since the sender's previous report: requests that the target
 * served (`good`), that failed there (`bad`) and that the target rejected (`busy`).
 */
export type TargetReport = {
	/** Id and start time of the target. */
	readonly incarnation: string;
	readonly good: number;
	readonly bad: number;
	readonly busy: number;
	/** Idle connections that were reset as soon as they were reused. */
	readonly stale: number;
	/** Attempts for which no connection could be established. */
	readonly unreached: number;
	/** Attempts that were cancelled late, because a hedge got a response first; default: 0. */
	readonly late?: number;
	/** Sum of the latencies of the good and, as estimated, the late outcomes, in milliseconds. */
	readonly latency: number;
};

/** Numbers of requests since the sender started: those received, and those admitted. */
export type WorkspaceUsage = {readonly asked: number; readonly admitted: number};

export type WorkspaceUsageTotal = WorkspaceUsage & {
	readonly workspace: string;
	/**
	 * The counts in the sender's previous report with this workspace; requests since then are new to
	 * the receivers.
	 */
	readonly before: WorkspaceUsage;
};

/** Requests of the sender that are in flight at a target. */
export type TargetLoad = readonly [incarnation: string, requests: number];

export type ConfigurationState = {
	/** Version of the current configuration of the sender. */
	readonly version: number;
	/** Revision up to which the sender has everything that the platform publishes. */
	readonly revision: number;
	/** Era of the revision; undefined if unknown or if the sender is of an earlier version. */
	readonly era?: number | undefined;
	/**
	 * Milliseconds since the version was last confirmed to be the newest; undefined or a very large
	 * number if it never was.
	 */
	readonly confirmedAgo: number | undefined;
};

/** A request that may have crashed its target: the target crashed while it ran the request. */
export type TargetCrash = {
	/** Digest of the request, the same for each of its copies. */
	readonly fingerprint: string;
	/** Id of the target. */
	readonly target: string;
};

export type FleetReport = {
	readonly kind: 'report';
	readonly from: Member;
	/** Whether the receiver relays the report inside its own failure domain. */
	readonly isRelayed: boolean;
	readonly configuration: ConfigurationState;
	readonly targets: readonly TargetReport[];
	/**
	 * All requests in flight of the sender, so that the next report compensates for a lost one. Empty
	 * in reports to other failure domains.
	 */
	readonly inFlight: readonly TargetLoad[];
	/** The totals that changed since the previous report. */
	readonly workspaces: readonly WorkspaceUsageTotal[];
	/** Crashes that the sender observed in the last few seconds, also those of earlier reports. */
	readonly crashes: readonly TargetCrash[];
	/** Whether the sender is stopping. */
	readonly isLeaving: boolean;
	/**
	 * Incarnations of targets that told the sender in the last few seconds that they are leaving,
	 * also those of earlier reports.
	 */
	readonly leavingTargets: readonly string[];
	/**
	 * Fingerprints of requests that broke connections and to which a target has responded to the
	 * sender in the last few seconds, also those of earlier reports.
	 */
	readonly clearedRequests: readonly string[];
	/**
	 * Fingerprints of requests that the sender refused in the last few seconds because targets crashed
	 * at them; a receiver that has one of them run reports it as cleared. Default: none.
	 */
	readonly refusedRequests?: readonly string[];
};

/** A request that broke connections at several targets, as the sender remembers it. */
export type SuspectRequest = {
	readonly fingerprint: string;
	/** Ids of targets. */
	readonly targets: readonly string[];
	/** Milliseconds for which the sender will still remember it. */
	readonly expiresIn: number;
};

/** Asks for the requests that crash targets, which a new instance cannot know. */
export type SuspectsRequest = {readonly kind: 'suspects-request'; readonly from: Member};

export type SuspectsAnswer = {
	readonly kind: 'suspects-answer';
	readonly from: Member;
	/** Whether the sender has been told by other members itself, or has run for long enough. */
	readonly isInformed: boolean;
	/** Number of this message among those that make up the answer, from 0. */
	readonly part: number;
	readonly parts: number;
	readonly suspects: readonly SuspectRequest[];
};

export type RosterRequest = {readonly kind: 'roster-request'; readonly from: Member};

export type RosterAnswer = {
	readonly kind: 'roster-answer';
	readonly from: Member;
	readonly members: readonly Member[];
};

export type FleetMessage =
	FleetReport | RosterRequest | RosterAnswer | SuspectsRequest | SuspectsAnswer;

export type OutboundFleetMessage = {
	/** IP address of the receiver. */
	readonly to: string;
	readonly message: FleetMessage;
};
