/**
 * The interface of share lending for other packages. Every resource has `fleet.maxInstances` equal
 * shares, one per instance. Each instance lends its share under a short lease to the instance that
 * it considers the owner of the resource. What an owner may do, for example how many tokens or
 * slots it may grant, follows from the fraction of the shares that is lent to it (see
 * authority.ts).
 *
 * Other packages receive these functions as options, so that they can be used and tested without a
 * membership.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/**
 * Name of what is lent, for example the rate of a workspace (`rate:beach`), a shard, which is a
 * group of targets of a service (`shard:roster/0`), or a bucket of idempotency keys
 * (`idempotency:17`).
 */
export type ResourceName = string;

/** The part of a resource, 0 to 1, that has been lent to this instance. */
export type ShareFraction = {
	/**
	 * Number of instances that lend the resource to this one now, divided by `fleet.maxInstances`. This
	 * instance counts too if it lends the resource to itself.
	 */
	readonly current: number;
	/**
	 * Like `current`, but counts a lender only once no grant of an earlier owner can cover its share:
	 * after it has lent the resource to this instance for `vestingDuration` without interruption, or
	 * earlier if an owner in a planned stop has handed the lender over to this instance.
	 */
	readonly vested: number;
	/** Monotonic milliseconds since which `current` has been above one half without interruption. */
	readonly majoritySince: number | undefined;
};

export type ShareFractionLookup = (resource: ResourceName, now: number) => ShareFraction;

/**
 * The instance to which this one lends its share of the resource; `undefined` while it lends the
 * share to none: for `lenderLeaseDuration` after this instance starts, and while the resource
 * changes its owner.
 */
export type OwnerLookup = (resource: ResourceName, now: number) => InstanceId | undefined;
