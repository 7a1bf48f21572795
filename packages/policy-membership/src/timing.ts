/**
 * Durations of share lending, in milliseconds. All instances must use the same values: an owner
 * that measured a longer lease than the lender would use a share that is already lent to another
 * owner.
 */

/** Between two heartbeats to the same peer. */
export const heartbeatInterval = 500;

/** A lease as its owner measures it, from when it sent the heartbeat that the lender echoed. */
export const leaseDuration = 2000;

/** Clocks of two instances differ in speed by at most this factor. */
export const maxClockSpeedRatio = 1.01;

/** A lease as its lender measures it; longer, so that the lease always ends first for the owner. */
export const lenderLeaseDuration = leaseDuration * maxClockSpeedRatio;

/** Lifetime of a slot grant without renewal. */
export const slotGrantTtl = 4000;

/** Uninterrupted lending after which no grant of an earlier owner can be in force. */
export const vestingDuration = slotGrantTtl * maxClockSpeedRatio;

/**
 * Time without contact to the configuration service or any peer after which an instance counts as
 * isolated: an API key may have been withdrawn without the instance being informed.
 */
export const isolationTimeout = 10_000;
