/**
 * The configuration of the demo: one service with all demo targets, one route that requires an API
 * key and one that does not, and two workspaces. The API keys are public, so this document must
 * never serve real traffic.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {parseDocument} from '@shallotpond/configuration/parse-document';

/** API keys, by workspace. */
export const demoKeys = {beach: 'demo-key-beach', harbour: 'demo-key-harbour'} as const;

/** `address` is `ip:port`. */
export type DemoTarget = {readonly id: string; readonly address: string};

export function createDemoDocument(targets: readonly DemoTarget[]): ConfigurationDocument {
	return parseDocument({
		version: 1,
		fleet: {maxInstances: 2},
		failureDomains: {north: {}, south: {}},
		services: {
			echo: {
				targets: targets.map((target, index) => ({
					id: target.id,
					address: target.address,
					failureDomain: index % 2 === 0 ? 'north' : 'south',
				})),
				slots: 4,
				coldSlots: 2,
				warmUpStep: 200,
			},
		},
		routes: [
			{id: 'open', pathPrefix: '/open', service: 'echo', open: true},
			{id: 'shifts', pathPrefix: '/shifts', service: 'echo'},
		],
		workspaces: {
			beach: {rate: 50, burst: 20, keyDigests: [digestKey(demoKeys.beach)]},
			harbour: {rate: 5, burst: 5, keyDigests: [digestKey(demoKeys.harbour)]},
		},
		// After a start, all idempotency keys are refused for this time, because the instances cannot
		// know which of them were used before. The default is two minutes.
		idempotency: {retention: 1000},
	});
}
