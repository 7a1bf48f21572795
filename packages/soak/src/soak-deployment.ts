/**
 * The deployment that the soak simulates: bounds of the platform, services, routes and callers.
 */
import {type PlatformBounds} from '@shallotpond/platform/stand-in-encoding';
import {type PromiseBounds} from './promise-checks.js';
import {type CallerRoute} from './soak-callers.js';
import {type ServiceProfile} from './soak-target.js';

/** Values from the platform's documentation. Durations are in milliseconds. */
export const platformBounds: PlatformBounds = {
	revocationLimit: 5000,
	stopLimit: 6000,
	retryBudget: {ratio: 0.2, reserve: 58, window: 10_000},
	rateBound: {window: 5000, excess: 0.25, slack: 20},
	coldBound: {excess: 1.5, slack: 5},
};
/**
 * Time after its start for which a replacement of a target is cold: it must not get more than
 * `coldRate` then. The first targets start warm.
 */
export const coldSeconds = 3;
/** Maximum rate of a cold target, requests per second. */
export const coldRate = 10;
/** The workspace that has a rate limit and whose callers exceed it during a flood. */
export const floodedWorkspace = 'moss';
export const promiseBounds: PromiseBounds = {
	stableWindow: 3000,
	maxConfigurationDelay: 2000,
	maxLeavingDelay: 2000,
	maxWithdrawalDelay: platformBounds.revocationLimit!,
	maxEvacuationDelay: 5000,
	reversionTolerance: 250,
	stopTimeout: platformBounds.stopLimit,
	transitTolerance: 200,
	rateWindow: platformBounds.rateBound.window,
	rateExcess: platformBounds.rateBound.excess,
	rateSlack: platformBounds.rateBound.slack,
	coldRate: coldRate * platformBounds.coldBound.excess + platformBounds.coldBound.slack,
	rates: {[floodedWorkspace]: {rate: 20, burst: 20}},
};
export const failureDomains = ['north', 'south'] as const;
export const serviceProfiles: readonly ServiceProfile[] = [
	{name: 'orders', serviceTime: 40, responseBytes: 200},
	{name: 'pages-a', serviceTime: 25, responseBytes: 500},
	{name: 'pages-b', serviceTime: 25, responseBytes: 500},
	{name: 'packs', serviceTime: 60, responseBytes: 60_000},
];
export const targetsPerService = 4;
const host = 'soak.example';
export const callerRoutes: readonly CallerRoute[] = [
	{name: 'orders', host, path: '/orders/', isIdempotent: false, weight: 5},
	{name: 'pages', host, path: '/pages/', isIdempotent: true, weight: 4},
	{name: 'packs', host, path: '/packs/', isIdempotent: true, weight: 1},
];
/** Requests per second of each workspace, per instance of the fleet. */
export const ratesPerInstance = {reed: 7, [floodedWorkspace]: 1} as const;
/** Factor by which a flood raises the request rate of its workspace. */
export const floodFactor = 8;

/** Returns the item at a relative position in [0, 1). */
export function pickAtFraction<Item>(items: readonly Item[], fraction: number): Item {
	return items[Math.floor(fraction * items.length)]!;
}
