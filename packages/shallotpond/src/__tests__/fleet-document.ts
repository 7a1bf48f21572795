/**
 * The configuration of the fleet under test: three failure domains and three services, one for
 * short requests, one for long requests, and one with a single slot, where requests queue.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {type CountingTarget} from './counting-target.js';

export const failureDomains = ['north', 'south', 'east'] as const;

/** Maximum concurrent requests of one target, by service. */
export const slotsPerTarget = {work: 4, files: 8, narrow: 1} as const;

/** API keys. The workspace `members` has two, of which a test withdraws one. */
export const keys = {
	steady: 'steady-key-6f2a',
	greedy: 'greedy-key-91cd',
	withdrawn: 'members-key-old-77',
	kept: 'members-key-new-78',
} as const;

/** Rates in requests per second over the whole fleet. */
export const workspaceLimits = {
	steady: {rate: 400, burst: 100},
	greedy: {rate: 30, burst: 10},
	members: {rate: 200, burst: 100},
} as const;

export type FleetTargets = Readonly<Record<keyof typeof slotsPerTarget, readonly CountingTarget[]>>;

function describeTargets(targets: readonly CountingTarget[]) {
	return targets.map(({id, address, failureDomain}) => ({id, address, failureDomain}));
}

export function createFleetDocument(
	targets: FleetTargets,
	maxInstances: number,
): ConfigurationDocument {
	const services = {
		work: {coldSlots: 1, warmUpAnswers: 5, warmUpStep: 100, shardSize: 2},
		// Starts with all slots, because there are too few long requests to complete a warm-up.
		files: {coldSlots: slotsPerTarget.files, shardSize: 1},
		narrow: {shardSize: 1},
	} as const;
	return parseDocument({
		version: 1,
		fleet: {maxInstances},
		failureDomains: Object.fromEntries(failureDomains.map(name => [name, {}])),
		services: Object.fromEntries(
			(['work', 'files', 'narrow'] as const).map(name => [
				name,
				{...services[name], slots: slotsPerTarget[name], targets: describeTargets(targets[name])},
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
