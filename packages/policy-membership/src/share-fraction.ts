/**
 * The interface of share lending for other packages. They receive these functions as options, so
 * that they can be used and tested without a membership.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** For example `rate:beach`, `shard:roster/0` or `idempotency:17`. */
export type Resource = string;

/** The part of a resource, 0 to 1, that has been lent to this instance. */
export type ShareFraction = {
	/**
	 * Number of instances that lend the resource to this one now, divided by `fleet.maxInstances`. This
	 * instance counts too if it lends the resource to itself.
	 */
	readonly current: number;
	/**
	 * Like `current`, but counts only lenders whose share no grant of an earlier owner can cover:
	 * those that have lent without interruption for `vestingDuration`, or that an owner in a planned
	 * stop has handed over.
	 */
	readonly vested: number;
	/** Monotonic milliseconds since which `current` has been above one half without interruption. */
	readonly majoritySince: number | undefined;
};

export type ShareFractionLookup = (resource: Resource, now: number) => ShareFraction;

/**
 * The instance to which this one lends its share of the resource; `undefined` while it lends the
 * share to none: for one lease after the start and while the resource changes its owner.
 */
export type OwnerLookup = (resource: Resource, now: number) => InstanceId | undefined;
