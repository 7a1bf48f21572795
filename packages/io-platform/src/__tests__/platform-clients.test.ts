/**
 * Guards against an instance that adopts an invalid or older configuration, stops reading after a
 * failure, or floods the platform with calls. This can come about when a service lags, fails,
 * recovers, responds at once to every call or returns invalid responses.
 */
import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {afterEach, describe, expect, test} from '@jest/globals';
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {type InstanceList} from '@shallotpond/configuration/instance-list';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createStandInConfigurationService} from '@shallotpond/testkit/stand-in-configuration-service';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {createCallBudget} from '../call-budget.js';
import {
	createConfigurationClient,
	type ConfigurationClientOptions,
	type ConfigurationVersion,
} from '../configuration-client.js';
import {createInstanceListClient} from '../instance-list-client.js';
import {type PlatformError} from '../platform-error.js';

const firstDocument = parseDocument({
	version: 1,
	fleet: {maxInstances: 4},
	failureDomains: {north: {}},
	services: {
		roster: {targets: [{id: 'r1', address: '127.0.0.1:9001', failureDomain: 'north'}], slots: 4},
	},
	routes: [{id: 'all', pathPrefix: '/', service: 'roster'}],
	workspaces: {beach: {rate: 10, burst: 5, keyDigests: []}},
});
const raiseRate = [{op: 'replace', path: '/workspaces/beach/rate', value: 20}];
let ending = new AbortController();
const cleanups: Array<() => Promise<void>> = [];

afterEach(async () => {
	ending.abort();
	ending = new AbortController();
	for (const close of cleanups.splice(0)) {
		await close();
	}
});

/** Waits for events of real sockets; the time limit of jest ends a wait that never succeeds. */
async function until(condition: () => boolean): Promise<void> {
	const {signal} = ending;
	while (!condition()) {
		signal.throwIfAborted();
		await nextTurn();
	}
}

function createClient(url: string, options: Partial<ConfigurationClientOptions> = {}) {
	const clock = createManualClock();
	const documents: ConfigurationDocument[] = [];
	const errors: PlatformError[] = [];
	let current: ConfigurationVersion | undefined;
	const client = createConfigurationClient({
		url,
		clock,
		random: createSeededRandom(1),
		current: () => current,
		onDocument(document, digest) {
			documents.push(document);
			current = {version: document.version, digest};
		},
		onFailure: error => void errors.push(error),
		mode: 'watch',
		...options,
	});
	cleanups.push(async () => client.stop());
	return {client, clock, documents, errors};
}

async function setUp(
	options: Partial<ConfigurationClientOptions> = {},
	partSize: number | undefined = undefined,
) {
	const serviceClock = createManualClock();
	const service = await createStandInConfigurationService(firstDocument, {
		clock: serviceClock,
		partSize,
	});
	cleanups.push(async () => service.close());
	return {service, serviceClock, ...createClient(service.url, options)};
}

/** Starts a server that gives the same response to every call. */
async function serveFixed(status: number, body: string, etag?: string): Promise<string> {
	const server: Server = createServer((_request, response) => {
		response.writeHead(status, etag === undefined ? {} : {etag}).end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	cleanups.push(async () => {
		server.closeAllConnections();
		server.close();
		await once(server, 'close');
	});
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

describe('configuration client', () => {
	test('a patch ends a waiting watch, which counts as one call, so that changes are distributed at once', async () => {
		const {service, client, documents} = await setUp();
		client.start();
		await until(() => service.waitingWatches === 1);
		service.patch(raiseRate, 1);
		await until(() => documents.length === 2 && service.waitingWatches === 1);
		expect(documents.map(document => document.version)).toEqual([1, 2]);
		expect(documents[1]!.workspaces.beach!.rate).toBe(20);
		expect(service.calls).toMatchObject({configuration: 1, watch: 2});
	});

	test('a delayed version reaches the watch as soon as it becomes visible', async () => {
		const {service, serviceClock, client, documents} = await setUp();
		client.start();
		service.setLag(3000);
		await until(() => service.waitingWatches === 1);
		service.patch(raiseRate, 1);
		serviceClock.advance(2999);
		expect(service.waitingWatches).toBe(1);
		serviceClock.advance(1);
		await until(() => documents.length === 2);
	});

	test.each(['refuse', 'hang'] as const)(
		'hours of unavailability (%s) neither end the loop of calls nor flood the service when it recovers',
		async outageKind => {
			const {service, client, clock, documents, errors} = await setUp();
			client.start();
			await until(() => service.waitingWatches === 1);
			service.startOutage(outageKind);
			service.patch(raiseRate, 1);
			const callsBefore = client.status.calls;
			for (let count = 1; clock.monotonic() < 3 * 3_600_000; count++) {
				await until(() => errors.length >= count);
				clock.advance(120_000);
				await until(() => client.status.calls >= callsBefore + count);
				if (outageKind === 'hang') {
					clock.advance(120_000);
				}
			}

			expect(new Set(errors.map(error => error.code))).toEqual(
				new Set(outageKind === 'hang' ? ['unreachable', 'timeout'] : ['unreachable']),
			);
			service.recover();
			const failures = errors.length;
			for (let tries = 0; documents.length < 2 && tries < 100_000; tries++) {
				clock.advance(10);
				await nextTurn();
			}

			expect(documents.at(-1)?.version).toBe(2);
			expect(errors.length - failures).toBeLessThanOrEqual(2);
			expect(client.status.consecutiveFailures).toBe(0);
		},
	);

	test('a stale service never reverts an instance to a lower version', async () => {
		const {service, client, clock, documents, errors} = await setUp({mode: 'poll'});
		service.patch(raiseRate, 1);
		client.start();
		await until(() => documents.length === 1 && client.status.lastContact !== undefined);
		service.serveOldVersion(1);
		const contact = client.status.lastContact;
		clock.advance(120_000);
		await until(() => errors.length === 1);
		expect(errors[0]!.code).toBe('stale-answer');
		expect(errors[0]!.message).toMatch(/version 1.*version 2/);
		expect(client.status.lastContact).toBe(contact);
		expect(documents).toHaveLength(1);
	});

	test('a manifest with a corrupt part is rejected as a whole and read again', async () => {
		const {service, client, clock, documents, errors} = await setUp({}, 100);
		service.corruptValues(true);
		client.start();
		await until(() => errors.length === 1);
		expect(errors[0]!.message).toContain('manifest.parts[0]');
		expect(documents).toEqual([]);
		service.corruptValues(false);
		clock.advance(5000);
		await until(() => documents.length === 1);
		expect(digestDocument(documents[0])).toBe(digestDocument(firstDocument));
		expect(service.calls.value).toBeGreaterThan(5);
	});

	test('a service that responds to every watch at once is not flooded', async () => {
		const url = await serveFixed(304, '', '"1"');
		const current = () => ({version: 1, digest: 'd'});
		const {client, clock} = createClient(url, {current, burst: 5, callsPerSecond: 1});
		client.start();
		await until(() => client.status.calls === 5);
		// A client without a limit would make hundreds of calls in these turns of the event loop.
		for (let turn = 0; turn < 1000; turn++) {
			await nextTurn();
		}

		expect(client.status.calls).toBe(5);
		clock.advance(1000);
		await until(() => client.status.calls === 6);
	});

	test('in any period, no more calls begin than the burst and the rate allow', async () => {
		const clock = createManualClock();
		const budget = createCallBudget({clock, callsPerSecond: 2, burst: 5});
		const {signal} = new AbortController();
		let begun = 0;
		const take = async () => {
			await budget.take(signal);
			begun++;
		};

		const takes = Array.from({length: 25}, take);
		for (let halfSeconds = 0; halfSeconds <= 20; halfSeconds++) {
			await nextTurn();
			expect(begun).toBe(5 + halfSeconds);
			clock.advance(500);
		}

		await Promise.all(takes);
		for (const invalidOption of [{callsPerSecond: 3}, {callsPerSecond: 0}, {burst: 66}]) {
			expect(() =>
				createCallBudget({clock, callsPerSecond: 1, burst: 1, ...invalidOption}),
			).toThrow('callsPerSecond must be above 0 and at most 2, and burst 1 to 65');
		}
	});

	test.each([
		['not JSON', 200, '{', undefined, 'malformed-answer'],
		['not a document', 200, '{"version":1}', undefined, 'malformed-answer'],
		['too big', 200, ' '.repeat(1_048_577), undefined, 'answer-too-big'],
		['an error', 503, '', undefined, 'unexpected-status'],
		['an ETag of another version', 200, JSON.stringify(firstDocument), '"7"', 'malformed-answer'],
		['a malformed ETag', 200, JSON.stringify(firstDocument), 'W/"x"', 'malformed-answer'],
	] as const)('an invalid response (%s) is rejected', async (...example) => {
		const [, status, body, etag, code] = example;
		const {client, documents, errors} = createClient(await serveFixed(status, body, etag));
		client.start();
		await until(() => errors.length === 1);
		expect(errors[0]!.code).toBe(code);
		expect(documents).toEqual([]);
	});

	test('another document with the current version is rejected, and failing callbacks do not end the loop of calls', async () => {
		const url = await serveFixed(200, JSON.stringify(firstDocument), '"1"');
		let calls = 0;
		const {client, clock} = createClient(url, {
			current: () => ({version: 1, digest: 'other'}),
			onFailure(error) {
				calls++;
				expect(error.code).toBe('conflicting-answer');
				throw new Error('broken log');
			},
		});
		client.start();
		await until(() => calls === 1);
		clock.advance(5000);
		await until(() => calls === 2);
	});
});

describe('instance list client', () => {
	test('a leaving target is noticed at the next poll, and an unchanged list is not sent again', async () => {
		const {service} = await setUp();
		const clock = createManualClock();
		const lists: InstanceList[] = [];
		const errors: PlatformError[] = [];
		const client = createInstanceListClient({
			url: service.url,
			clock,
			random: createSeededRandom(2),
			onList: list => void lists.push(list),
			onFailure: error => void errors.push(error),
		});
		cleanups.push(async () => client.stop());
		service.setInstances([{address: '127.0.0.1:7400', failureDomain: 'north', state: 'live'}]);
		service.setTargets([{id: 'r1', state: 'live'}]);
		const poll = async (count: number) => {
			const seen = service.calls.instances;
			clock.advance(2500);
			await until(() => service.calls.instances > seen && lists.length + errors.length >= count);
		};

		client.start();
		await until(() => lists.length === 1 && client.status.lastContact === 0);
		await poll(1);
		await until(() => client.status.lastContact === 2500);
		service.setTarget('r1', 'leaving');
		await poll(2);
		expect(lists.map(list => list.targets[0]!.state)).toEqual(['live', 'leaving']);
		await until(() => client.status.lastContact === 5000);
		service.startOutage('refuse');
		clock.advance(2500);
		await until(() => errors.length === 1);
		expect(lists).toHaveLength(2);
	});
});

describe('stand-in configuration service', () => {
	test('if two operators patch the same version, the second is rejected with both version numbers', async () => {
		const {service} = await setUp();
		const send = async (base: string, body: string, type = 'application/json-patch+json') => {
			const response = await fetch(`${service.url}/v1/configuration`, {
				method: 'PATCH',
				headers: {'content-type': type, 'if-match': base},
				body,
			});
			return {status: response.status, body: (await response.json()) as Record<string, unknown>};
		};

		const patch = JSON.stringify(raiseRate);
		expect(await send('"1"', patch)).toEqual({status: 200, body: {version: 2}});
		const stale = await send('"1"', patch);
		expect(stale.status).toBe(412);
		expect(stale.body).toMatchObject({base: 1, current: 2});
		const removal = '[{"op":"remove","path":"/services/roster"}]';
		expect(await send('"2"', removal)).toMatchObject({
			status: 422,
			body: {problems: ['routes[0].service: "roster" is not in services']},
		});
		expect(await send('"2"', patch, 'application/json')).toMatchObject({status: 415});
		expect(await send('2', patch)).toMatchObject({status: 428});
		expect(await send('"2"', '{')).toMatchObject({status: 422});
		expect(service.document.version).toBe(2);
	});
});
