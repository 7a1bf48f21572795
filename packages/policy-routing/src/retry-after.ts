/**
 * The delay after which a caller should retry a request that did not run. When targets reject a
 * part of the requests, an early retry is likely to be served, so the delay is short enough for a
 * response within the route's latency objective. It is random, because callers that were refused at
 * the same time would otherwise retry at the same time.
 */
import {type Random} from '@shallotpond/kernel/random';

/** Bounds of the delay, as fractions of the route's latency objective. */
const minFraction = 0.12;
const maxFraction = 0.35;

/** The delay in milliseconds; `objective` is the latency objective of the route in milliseconds. */
export function drawRetryAfter(objective: number, random: Random): number {
	return objective * (minFraction + random() * (maxFraction - minFraction));
}
