/**
 * Guards against a fleet that goes back with the store when it returns from an older copy: a
 * withdrawn configuration in force again, an evacuation that ends, a draining target that gets
 * requests, and an instance that stays with the state of the earlier era. Runs the clients, the
 * exchange between instances and the decisions over loopback sockets.
 */
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createCurrentConfiguration} from '@shallotpond/gateway/current-configuration';
import {
	createPublishedStateService,
	type PublishedStateService,
	type StoreReader,
} from '@shallotpond/gateway/published-state-service';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {noopEventLog as log} from '@shallotpond/observability/event-log';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createFleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {
	createTargetDirectory,
	type ListedTarget,
} from '@shallotpond/policy-routing/target-directory';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {createPublishedItemReceiver} from '../published-item-receiver.js';
import {encodeTarget, storeKeyOf} from '../stand-in-encoding.js';
import {createStandInStore, type StandInStore} from '../stand-in-store.js';
import {createStoreClient} from '../store-client.js';

const clock = createSystemClock();
const target: ListedTarget = {
	id: 'i-1',
	startTime: 100,
	service: 'swaps',
	address: '10.0.0.1:80',
	failureDomain: 'south',
	slots: 4,
	state: 'ready',
	coldFor: 0,
};
const configurationOf = (version: number) => ({version: `r${version}`, routes: [], services: []});
const cleanUps: Array<() => Promise<void>> = [];
let store: StandInStore;
let port: number;

beforeEach(async () => {
	store = createStandInStore({clock});
	await store.start();
	port = await reservePorts();
});

afterEach(async () => {
	for (const cleanUp of cleanUps.splice(0)) {
		await cleanUp();
	}

	await store.stop();
});

/** An instance without requests and datagrams; `isCut` says whether it is cut off from the store. */
async function startInstance(address: string, seeds: string[], isCut = () => false) {
	const configuration = createCurrentConfiguration({
		clock,
		log,
		revocationLimit: 5000,
		onDomainReturned: () => undefined,
	});
	const directory = createTargetDirectory();
	const self = {address, failureDomain: 'north', startedAt: 1};
	const roster = createFleetRoster({self});
	const client = createStoreClient({
		address: () => ({host: '127.0.0.1', port: store.port}),
		clock,
		countCall: () => undefined,
		onMalformedEntries: () => undefined,
		onMalformedEra: () => undefined,
	});
	const reader: StoreReader = {
		async readAll(signal) {
			if (isCut()) {
				throw new Error('cut off');
			}

			return client.readAll(signal);
		},
		async watch(revision, wait, signal) {
			if (isCut()) {
				throw new Error('cut off');
			}

			return client.watch(revision, wait, signal);
		},
	};
	const service: PublishedStateService = createPublishedStateService({
		clock,
		random: Math.random,
		log,
		metrics: createMetrics(),
		self: address,
		failureDomain: self.failureDomain,
		port,
		roster,
		seeds: () => seeds,
		store: reader,
		receiver: {
			...createPublishedItemReceiver({
				clock,
				log,
				failureDomains: ['north', 'south'],
				floor: 0.7,
				configuration,
				directory,
				onCallerIdleTimeout: () => undefined,
			}),
			confirm: configuration.confirm,
			confirmedAgo: configuration.confirmedAgo,
			configurationVersion: () => configuration.version,
		},
	});
	await service.start?.();
	cleanUps.push(async () => service.stop?.());
	return {self, roster, service, configuration, directory};
}

type Instance = Awaited<ReturnType<typeof startInstance>>;

/** Takes the place of the datagrams from one instance to another. */
function report(from: Instance, to: Instance): void {
	const {version} = from.configuration;
	const {era, revision} = from.service;
	const confirmedAgo = from.configuration.confirmedAgo();
	to.roster.recordMessageFrom(from.self, clock.monotonic());
	to.service.recordMemberState({version, era, revision, confirmedAgo}, from.self);
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise<void>(resolve => {
			clock.after(10, resolve);
		});
	}
}

function expectNothingReverted({configuration, directory}: Instance): void {
	expect(configuration.version).toBe(12);
	expect(configuration.tables!.isDomainActive('north')).toBe(false);
	expect(directory.usable('swaps', clock.monotonic())).toEqual([]);
}

test('a fleet whose store comes back from an older copy follows it and keeps what it knows', async () => {
	store.write(storeKeyOf.configuration, configurationOf(10));
	store.write(storeKeyOf.target(target.id), encodeTarget(target, 1));
	const copy = store.copy();
	store.write(storeKeyOf.configuration, configurationOf(12));
	store.write(storeKeyOf.evacuation('north'), {});
	store.write(storeKeyOf.target(target.id), encodeTarget({...target, state: 'leaving'}, 2));

	const first = await startInstance('127.0.0.1', []);
	let isCut = false;
	const second = await startInstance('127.0.0.2', [], () => isCut);
	await waitUntil(() => first.service.revision > 0 && second.service.revision > 0);
	isCut = true;
	store.restore(copy);

	// The second instance still has the older era, and must not push the first one back.
	const stopReports = clock.every(50, () => {
		report(first, second);
		report(second, first);
	});
	await waitUntil(() => first.service.era === 2 && second.service.era === 2);
	expect(first.service.revision).toBe(copy.revision);
	expectNothingReverted(first);
	expectNothingReverted(second);

	// The store has only the older copy, but a member knows more.
	const third = await startInstance('127.0.0.3', ['127.0.0.1']);
	await waitUntil(() => !third.configuration.isUncertain());
	expectNothingReverted(third);

	// Without a member that it can ask, it goes by the older copy until it hears of one.
	const fourth = await startInstance('127.0.0.4', []);
	await waitUntil(() => !fourth.configuration.isUncertain());
	expect(fourth.configuration.version).toBe(10);
	report(first, fourth);
	await waitUntil(() => fourth.configuration.version === 12);
	expectNothingReverted(fourth);

	store.write(storeKeyOf.configuration, configurationOf(14));
	const instances = [first, second, third, fourth];
	await waitUntil(() => instances.every(({configuration}) => configuration.version === 14));
	stopReports();
});
