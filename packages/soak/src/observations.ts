/**
 * Record of a soak run: what callers and targets observed, and which changes and faults occurred.
 * All times are monotonic milliseconds of one clock.
 */

export type SentRequest = {
	readonly id: string;
	readonly at: number;
	/** Process to which the request was sent: index in the fleet, and number of its start. */
	readonly instance: number;
	readonly incarnation: number;
	readonly key: string;
	readonly workspace: string;
	readonly route: string;
	readonly isIdempotent: boolean;
};

/** How a request ended for its caller. */
export type CallerOutcome = {
	readonly id: string;
	readonly at: number;
	/** Status of the response; undefined if the connection ended without one. */
	readonly status: number | undefined;
	/** Whether the caller had written the whole request by the time `at`. */
	readonly isWritten: boolean;
	/** Whether the response body was complete, unmodified and meant for this request. */
	readonly hasValidBody: boolean;
};

/** A request that began to run at a target. */
export type TargetRun = {
	readonly id: string;
	readonly at: number;
	readonly target: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly workspace: string | undefined;
	/** Whether the request that reached the target contained the key of the caller. */
	readonly hasKey: boolean;
};

/** A period in which time bounds do not apply to an instance, or to any instance. */
export type Disturbance = {
	/** Undefined for all instances. */
	readonly instance: number | undefined;
	readonly from: number;
	readonly until: number;
};

/** A change to the deployment that the store acknowledged. */
export type DeploymentChange =
	| {readonly kind: 'route-moved'; readonly at: number; readonly route: string; service: string}
	| {readonly kind: 'key-withdrawn'; readonly at: number; readonly key: string}
	| {readonly kind: 'target-leaving'; readonly at: number; readonly target: string}
	| {readonly kind: 'target-cold'; readonly at: number; readonly target: string; until: number}
	| {readonly kind: 'domain-out'; readonly at: number; readonly domain: string; until: number};

/** A SIGTERM to a process. */
export type PlannedStop = {
	readonly instance: number;
	readonly incarnation: number;
	readonly at: number;
};

export type Observations = {
	readonly sent: Map<string, SentRequest>;
	readonly outcomes: CallerOutcome[];
	readonly runs: TargetRun[];
	readonly disturbances: Disturbance[];
	readonly changes: DeploymentChange[];
	readonly stops: PlannedStop[];
};

export function createObservations(): Observations {
	return {
		sent: new Map(),
		outcomes: [],
		runs: [],
		disturbances: [],
		changes: [],
		stops: [],
	};
}
