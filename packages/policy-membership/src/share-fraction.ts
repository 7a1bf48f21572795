/**
 * The interface of share lending for other packages. They receive these functions as options, so
 * that they can be used and tested without a membership.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** For example `rate:beach`, `shard:roster/0` or `idempotency:17`. */
export type Resource = string;

/** The part of a resource, 0 to 1, that has been lent to this instance. */
export type ShareFraction = {
	/** Lenders with a lease in force, including this instance, divided by `fleet.maxInstances` (D). */
	readonly current: number;
	/**
	 * The same, but only lenders that have lent without interruption for the lifetime of a slot
	 * grant.
	 */
	readonly vested: number;
	/** Monotonic milliseconds since which `current` has been above one half without interruption. */
	readonly majoritySince: number | undefined;
};

export type ShareFractionLookup = (resource: Resource, now: number) => ShareFraction;

/** The instance to which this one lends its share of the resource; `undefined` during a change. */
export type OwnerLookup = (resource: Resource, now: number) => InstanceId | undefined;
