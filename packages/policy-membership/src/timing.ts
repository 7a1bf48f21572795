/**
 * Durations of share lending, in milliseconds. All instances must use the same values: an owner
 * with a longer lease than its lender would use a share that the lender has already lent to another
 * owner.
 */

/** Time between two heartbeats to the same peer. */
export const heartbeatInterval = 500;

/**
 * Lease as the owner measures it: the lender's share stops counting for the owner this long after
 * the owner sent the latest heartbeat that the lender has echoed.
 */
export const leaseDuration = 2000;

/** Clocks of two instances differ in speed by at most this factor. */
export const maxClockSpeedRatio = 1.01;

/**
 * Lease as the lender measures it, from when it received the owner's latest heartbeat. Longer than
 * `leaseDuration`, so that the lease always ends first for the owner.
 */
export const lenderLeaseDuration = leaseDuration * maxClockSpeedRatio;

/** Lifetime of a slot grant without renewal. */
export const slotGrantTtl = 4000;

/**
 * Once a share has been lent to one owner for this long without interruption, no slot grant that an
 * earlier owner issued can be in force.
 */
export const vestingDuration = slotGrantTtl * maxClockSpeedRatio;

/**
 * Time without contact to the configuration service or any peer after which an instance counts as
 * isolated: an API key may have been withdrawn without the instance being informed.
 */
export const isolationTimeout = 10_000;
