/**
 * The settings of a service that dispatch uses. The service definitions of the configuration
 * document have this shape, so they can be passed in unchanged.
 */

export type DispatchTarget = {
	readonly id: string;
	readonly failureDomain: string;
};

export type DispatchService = {
	readonly targets: readonly DispatchTarget[];
	/** Maximum number of concurrent requests of one warm target. */
	readonly slots: number;
	/** Maximum number of connections of one target, over all instances. */
	readonly connections: number;
	/** Maximum number of concurrent requests of a cold target. */
	readonly coldSlots: number;
	/** Number of successful responses after which a target gets one more slot. */
	readonly warmUpAnswers: number;
	/** Minimum time between two steps of the warm-up. Milliseconds. */
	readonly warmUpStep: number;
	/** Fraction of the slots that ejections must leave, 0 to 1. */
	readonly floor: number;
	/** Minimum number of targets in one shard. */
	readonly shardSize: number;
};

/** Service definitions by name. */
export type DispatchServices = ReadonlyMap<string, DispatchService>;

/** Whether operators or the platform allow new requests on a target. */
export type TargetAvailability = 'available' | 'domain-out' | 'leaving';

export type AvailabilityLookup = (service: string, target: DispatchTarget) => TargetAvailability;

/** Maximum difference in speed of two clocks that the terms of grants allow for, as a fraction. */
export const maxClockDrift = 0.01;
