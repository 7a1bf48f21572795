/**
 * The deployment that the soak plays: terms of the platform, services, routes and callers.
 */
import {type PlatformTerms} from '@shallotpond/platform/stand-in-wire';
import {type Bounds} from './promise-checks.js';
import {type CallerRoute} from './soak-callers.js';
import {type ServiceProfile} from './soak-target.js';

/** As the pages of the platform state them. Milliseconds. */
export const terms: PlatformTerms = {
	revocationLimit: 5000,
	stopLimit: 6000,
	retryBudget: {ratio: 0.2, reserve: 58, window: 10_000},
	rateBound: {window: 5000, excess: 0.25, slack: 20},
};
export const coldSeconds = 3;
/** Requests per second that a cold target bears. */
export const coldRate = 10;
export const floodedWorkspace = 'moss';
export const bounds: Bounds = {
	stableWindow: 3000,
	configuration: 2000,
	leaving: 2000,
	withdrawal: terms.revocationLimit!,
	evacuation: 5000,
	revert: 250,
	grace: terms.stopLimit,
	loss: 200,
	rateWindow: terms.rateBound.window,
	rateExcess: terms.rateBound.excess,
	rateSlack: terms.rateBound.slack,
	coldRate: coldRate * 1.5 + 5,
	rates: {[floodedWorkspace]: {rate: 20, burst: 20}},
};
export const failureDomains = ['north', 'south'] as const;
export const profiles: readonly ServiceProfile[] = [
	{name: 'orders', work: 40, answerBytes: 200},
	{name: 'pages-a', work: 25, answerBytes: 500},
	{name: 'pages-b', work: 25, answerBytes: 500},
	{name: 'packs', work: 60, answerBytes: 60_000},
];
export const targetsPerService = 4;
const host = 'soak.example';
export const routes: readonly CallerRoute[] = [
	{name: 'orders', host, path: '/orders/', isRepeatable: false, weight: 5},
	{name: 'pages', host, path: '/pages/', isRepeatable: true, weight: 4},
	{name: 'packs', host, path: '/packs/', isRepeatable: true, weight: 1},
];
/** Requests per second by workspace, for each instance. */
export const ratesPerInstance = {reed: 7, [floodedWorkspace]: 1} as const;
export const floodFactor = 8;

/** The item at a place between 0 and 1. */
export function pick<Item>(items: readonly Item[], choice: number): Item {
	return items[Math.floor(choice * items.length)]!;
}
