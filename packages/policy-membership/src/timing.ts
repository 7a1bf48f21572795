/**
 * The times of share lending, in milliseconds. All instances must use the same values, because
 * the lender's and the owner's counts of a lease only fit together then.
 */

/** Between two heartbeats to the same peer. */
export const heartbeatInterval = 500;

/** A lease as its owner counts it, from when it sent the heartbeat that the lender echoed. */
export const leaseDuration = 2000;

/** Clocks of two instances differ in speed by at most this factor. */
export const driftMargin = 1.01;

/** A lease as its lender counts it, so that the owner's count always ends first. */
export const lenderLeaseDuration = leaseDuration * driftMargin;

/** Longest life of a slot grant without renewal. */
export const slotGrantTtl = 4000;

/** Uninterrupted lending after which no grant of an earlier owner can be in force. */
export const vestingDuration = slotGrantTtl * driftMargin;

/** Without contact for this long an instance cannot know whether a key was withdrawn. */
export const isolationTimeout = 10_000;
