/**
 * When a caller whose request did not run should send it again. Answers the load pattern in which
 * targets turn away a part of what comes, so that another try soon is likely to be served: the time
 * is short enough for an answer within the route's objective, and drawn at random, because callers
 * that were refused together would otherwise return together.
 */
import {type Random} from '@shallotpond/kernel/random';

/** Parts of the route's objective after which callers return. */
const earliest = 0.12;
const latest = 0.35;

/** Milliseconds; `objective` is the latency that the route aims at. */
export function drawRetryAfter(objective: number, random: Random): number {
	return objective * (earliest + random() * (latest - earliest));
}
