/**
 * The configuration of the fleet under test: three failure domains, a service for short requests, a
 * service for long ones, and a service with a single slot, in which requests queue.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {type CountingTarget} from './counting-target.js';

export const failureDomains = ['north', 'south', 'east'] as const;

/** Requests that one target bears at once, by service. */
export const slots = {work: 4, files: 8, narrow: 1} as const;

export const keys = {
	steady: 'steady-key-6f2a',
	greedy: 'greedy-key-91cd',
	withdrawn: 'members-key-old-77',
	kept: 'members-key-new-78',
} as const;

/** Rates are requests per second over the whole fleet. */
export const workspaceLimits = {
	steady: {rate: 400, burst: 100},
	greedy: {rate: 30, burst: 10},
	members: {rate: 200, burst: 100},
} as const;

export type FleetTargets = Readonly<Record<keyof typeof slots, readonly CountingTarget[]>>;

function describeTargets(targets: readonly CountingTarget[]) {
	return targets.map(({id, address, failureDomain}) => ({id, address, failureDomain}));
}

export function createFleetDocument(
	targets: FleetTargets,
	maxInstances: number,
): ConfigurationDocument {
	const services = {
		work: {coldSlots: 1, warmUpAnswers: 5, warmUpStep: 100, shardSize: 2},
		// Long requests are too few to warm their targets up.
		files: {coldSlots: slots.files, shardSize: 1},
		narrow: {shardSize: 1},
	} as const;
	return parseDocument({
		version: 1,
		fleet: {maxInstances},
		failureDomains: Object.fromEntries(failureDomains.map(name => [name, {}])),
		services: Object.fromEntries(
			(['work', 'files', 'narrow'] as const).map(name => [
				name,
				{...services[name], slots: slots[name], targets: describeTargets(targets[name])},
			]),
		),
		routes: [
			{id: 'work', pathPrefix: '/work', service: 'work'},
			{id: 'files', pathPrefix: '/files', service: 'files', timeout: 30_000},
			{id: 'narrow', pathPrefix: '/narrow', service: 'narrow', timeout: 30_000},
		],
		workspaces: {
			steady: {...workspaceLimits.steady, keyDigests: [digestKey(keys.steady)]},
			greedy: {...workspaceLimits.greedy, keyDigests: [digestKey(keys.greedy)]},
			members: {
				...workspaceLimits.members,
				keyDigests: [digestKey(keys.withdrawn), digestKey(keys.kept)],
			},
		},
	});
}
