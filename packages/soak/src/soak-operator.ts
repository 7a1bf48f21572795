/**
 * Simulated operator of the deployment: writes configurations to the store, moves routes, replaces
 * keys, takes failure domains out of service, and records the changes that the store acknowledged.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {type StandInStore} from '@shallotpond/platform/stand-in-store';
import {
	encodeConfiguration,
	storeKeyOf,
	type StandInRoute,
} from '@shallotpond/platform/stand-in-encoding';
import {type Fault} from './fault-schedule.js';
import {type Observations} from './observations.js';
import {
	promiseBounds,
	coldRate,
	coldSeconds,
	failureDomains,
	floodedWorkspace,
	pickAtFraction,
	serviceProfiles,
	callerRoutes,
} from './soak-deployment.js';

export type SoakOperator = {
	/** Writes the first configuration. */
	start(): void;
	/** Moves the route `pages` to the other one of its two services. */
	moveRoute(): void;
	/** Adds a new key for the workspace `reed`, and withdraws the older ones after a delay. */
	changeKey(): void;
	/** Takes a failure domain out of service, unless another one is already out. */
	evacuateDomain(fault: Fault): void;
	/** Returns the key that a caller of the workspace uses for its next request. */
	keyOf(workspace: string): string;
};

export type SoakOperatorOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly store: StandInStore;
	readonly observations: Observations;
};

/** Time for which both the old and the new key are valid. */
const keyOverlapMs = 2500;
/**
 * Fraction of the requests of `reed` that still use its previous key, which is withdrawn except
 * before the first change of keys.
 */
const formerKeyFraction = 0.1;
/** Maximum difference of successive versions, which need not be consecutive. */
const maxVersionIncrement = 3;
const floodedKey = 'moss-key';

export function createSoakOperator(options: SoakOperatorOptions): SoakOperator {
	const {clock, random, store, observations} = options;
	const evacuatedDomains = new Set<string>();
	let version = 1;
	let pagesService = 'pages-a';
	let keyCount = 1;
	let keys: readonly string[] = ['reed-key-1'];
	let currentKey = keys[0]!;
	let formerKey = currentKey;

	function routeEntries(): StandInRoute[] {
		return callerRoutes.map(({name, host, path: prefix, isIdempotent}) => ({
			name,
			host,
			prefix,
			kind: isIdempotent ? 'safe' : 'unsafe',
			service: name === 'pages' ? pagesService : name,
			timeout: 2500,
			objective: 500,
			attempts: 2,
		}));
	}

	function writeConfiguration(): void {
		version += 1 + Math.floor(random() * maxVersionIncrement);
		const configuration = encodeConfiguration({
			version,
			routes: routeEntries(),
			services: serviceProfiles.map(({name}) => name),
			workspaces: [
				{name: 'reed', keys, rate: 0, burst: 0},
				{name: floodedWorkspace, keys: [floodedKey], ...promiseBounds.rates[floodedWorkspace]!},
			],
			coldRate,
			coldSeconds,
		});
		store.write(storeKeyOf.configuration, configuration);
	}

	function recordRouteMove(at: number): void {
		observations.changes.push({kind: 'route-moved', at, route: 'pages', service: pagesService});
	}

	return {
		start() {
			writeConfiguration();
			recordRouteMove(Number.NEGATIVE_INFINITY);
		},
		moveRoute() {
			pagesService = pagesService === 'pages-a' ? 'pages-b' : 'pages-a';
			writeConfiguration();
			recordRouteMove(clock.monotonic());
		},
		changeKey() {
			const newKey = `reed-key-${++keyCount}`;
			const oldKeys = keys;
			keys = [...oldKeys, newKey];
			writeConfiguration();
			// Every instance must accept the new key before the old ones are withdrawn.
			clock.after(keyOverlapMs, () => {
				formerKey = currentKey;
				currentKey = newKey;
				keys = keys.filter(key => !oldKeys.includes(key));
				writeConfiguration();
				for (const key of oldKeys) {
					observations.changes.push({kind: 'key-withdrawn', at: clock.monotonic(), key});
				}
			});
		},
		evacuateDomain({choice, duration}) {
			if (evacuatedDomains.size > 0) {
				return;
			}

			const domain = pickAtFraction(failureDomains, choice);
			evacuatedDomains.add(domain);
			store.write(storeKeyOf.evacuation(domain), {});
			const change = {
				kind: 'domain-out' as const,
				at: clock.monotonic(),
				domain,
				until: Number.POSITIVE_INFINITY,
			};
			observations.changes.push(change);
			clock.after(duration, () => {
				evacuatedDomains.delete(domain);
				change.until = clock.monotonic();
				store.write(storeKeyOf.evacuation(domain), undefined);
			});
		},
		keyOf(workspace) {
			if (workspace === floodedWorkspace) {
				return floodedKey;
			}

			return random() < formerKeyFraction ? formerKey : currentKey;
		},
	};
}
