/**
 * Selects the targets at which a request may be hedged. A hedge is extra work, so it goes only to a
 * target that is warm, trusted, at least as fast as most and has a free slot, and none is sent while
 * the service as a whole has little room.
 *
 * Load pattern: one target in ten is slow while the others have free slots. If the whole service is
 * slow or full, hedges would only add to its queues.
 */
import {type KnownTarget} from './target-directory.js';
import {type TargetCondition} from './target-evidence.js';

export type HedgeTargetState = {
	readonly target: KnownTarget;
	readonly condition: TargetCondition;
	/** Requests that are known to be at the target. */
	readonly load: number;
};

/** Failure risk of a target above which it is suspected; as at the selection of a target. */
const maxFailureRisk = 0.3;
/** Mean latency of a target relative to that of its service. */
const maxSlowness = 1.3;
/** Fraction of recent requests that a target rejected above which it counts as rejecting. */
const maxBusyness = 0.05;
/** Fraction of the targets of a service that may be rejecting. */
const maxRejectingTargets = 0.1;
/** Fraction of the slots of a service that may be in use. */
const maxSlotsInUse = 0.7;

function isRejecting({condition}: HedgeTargetState): boolean {
	return condition.busyness > maxBusyness;
}

function mayServeHedge(state: HedgeTargetState, now: number): boolean {
	const {target, condition, load} = state;
	return (
		target.coldUntil <= now &&
		!condition.isUnreachable &&
		condition.failureRisk <= maxFailureRisk &&
		condition.slowness <= maxSlowness &&
		!isRejecting(state) &&
		load < target.slots
	);
}

/** Cold targets bear few requests, so their slots do not count as room. */
function hasRoom(states: readonly HedgeTargetState[], now: number): boolean {
	const warm = states.filter(({target}) => target.coldUntil <= now);
	const rejecting = states.filter(state => isRejecting(state)).length;
	const slots = warm.reduce((sum, {target}) => sum + target.slots, 0);
	const load = warm.reduce((sum, state) => sum + state.load, 0);
	return rejecting <= states.length * maxRejectingTargets && load < slots * maxSlotsInUse;
}

/**
 * Returns the targets, of those that are usable at all, at which a request may be hedged; empty if
 * the service has no room. Linear in the targets of the service.
 */
export function selectHedgeTargets(
	states: readonly HedgeTargetState[],
	now: number,
): KnownTarget[] {
	return hasRoom(states, now)
		? states.filter(state => mayServeHedge(state, now)).map(({target}) => target)
		: [];
}
