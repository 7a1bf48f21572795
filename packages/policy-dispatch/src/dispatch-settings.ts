/**
 * The settings of a service that dispatch uses. The service definitions of the configuration
 * document have this shape, so they can be passed in unchanged.
 */

export type DispatchTarget = {
	readonly id: string;
	readonly failureDomain: string;
};

export type DispatchSettings = {
	readonly targets: readonly DispatchTarget[];
	/** Maximum number of concurrent requests of one warm target. */
	readonly slots: number;
	/**
	 * Limit on the connections of one target, over all instances. Their number stays below it.
	 */
	readonly connections: number;
	/** Maximum number of concurrent requests of a cold target, that is before its warm-up. */
	readonly coldSlots: number;
	/** Number of successful responses that a target needs for each further slot of its warm-up. */
	readonly warmUpAnswers: number;
	/** Minimum time between two steps of the warm-up, each of one slot. Milliseconds. */
	readonly warmUpStep: number;
	/** Fraction of the slots that ejections must leave, 0 to 1. */
	readonly floor: number;
	/** Minimum number of targets in one shard. */
	readonly shardSize: number;
};

/** Service definitions by name. */
export type DispatchSettingsByService = ReadonlyMap<string, DispatchSettings>;

/**
 * Whether operators or the platform allow new requests on a target: not while its failure domain is
 * out of service (`domain-out`) or while it is being removed (`leaving`).
 */
export type TargetAvailability = 'available' | 'domain-out' | 'leaving';

export type AvailabilityLookup = (service: string, target: DispatchTarget) => TargetAvailability;

/**
 * Maximum deviation of the speed of one clock, as a fraction. The lifetimes of grants allow for two
 * clocks that deviate by this much in opposite directions.
 */
export const maxClockDrift = 0.01;
