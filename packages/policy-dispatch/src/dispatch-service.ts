/**
 * What dispatch needs to know of a service. The service definitions of the configuration document
 * have this shape, so they can be passed in unchanged.
 */

export type DispatchTarget = {
	readonly id: string;
	readonly failureDomain: string;
};

export type DispatchService = {
	readonly targets: readonly DispatchTarget[];
	/** Requests that one warm target bears at once. */
	readonly slots: number;
	/** Connections that one target bears, over all instances. */
	readonly connections: number;
	/** Requests that a cold target bears at once. */
	readonly coldSlots: number;
	/** Good answers that a target gives before it gets one more slot. */
	readonly warmUpAnswers: number;
	/** Milliseconds, the shortest time between two steps of the warm-up. */
	readonly warmUpStep: number;
	/** Part of the slots that ejections must leave, 0 to 1. */
	readonly floor: number;
	/** Targets in one shard. */
	readonly shardSize: number;
};

/** Service definitions by name. */
export type DispatchServices = ReadonlyMap<string, DispatchService>;

/** Whether operators or the platform allow new work on a target. */
export type TargetAvailability = 'available' | 'domain-out' | 'leaving';

export type AvailabilityLookup = (service: string, target: DispatchTarget) => TargetAvailability;

/** Largest difference in speed of two clocks that the terms allow for. */
export const maxClockDrift = 0.01;
