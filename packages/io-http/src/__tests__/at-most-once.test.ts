/**
 * Guards against requests that run twice and against responses that reach the wrong caller. A
 * request runs twice if it is retried although its first attempt may have run and its method is not
 * idempotent. A response reaches the wrong caller if a connection with late or surplus bytes is
 * reused. Also guards against retries without limit.
 */
import http from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {afterEach, expect, test} from '@jest/globals';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {type StandInTargetBehaviour} from '@shallotpond/testkit/stand-in-target';
import {noopCounters} from '../http-counters.js';
import {defaultHttpLimits} from '../http-limits.js';
import {type RequestPolicy} from '../request-policy.js';
import {createParseSchedule} from '../parse-schedule.js';
import {createTargetConnections} from '../target-connections.js';
import {
	type TestResponse,
	createFixture,
	key,
	problemOf,
	send,
	sendRaw,
	waitUntil,
	type Fixture,
	type FixtureOptions,
} from './support.js';

let fixture: Fixture;

async function start(options?: FixtureOptions) {
	fixture = await createFixture(options);
	return fixture;
}

async function sendMany(count: number): Promise<readonly TestResponse[]> {
	return Promise.all(Array.from({length: count}, async () => send(fixture, {method: 'POST'})));
}

/** What the target received of a request, as it echoes it. */
async function echoOf(options: http.RequestOptions): Promise<unknown> {
	const response = await send(fixture, options);
	return JSON.parse(response.body);
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
	expect(fixture.state.internalErrors).toEqual([]);
});

const shortRoute = {
	id: 'main',
	pathPrefix: '/',
	service: 'roster',
	timeout: 1000,
	stallTimeout: 200,
};
const partialResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nabc';

/** Faults after which the request may have run, and the problem that the caller of a POST gets. */
const faults: ReadonlyArray<readonly [string, StandInTargetBehaviour, string, string]> = [
	['crashes', {kind: 'crash'}, 'connection-broken', 'may-have-run'],
	['stalls', {kind: 'stall'}, 'deadline-exceeded', 'may-have-run'],
	['sends a blank response', {kind: 'blank'}, 'incomplete-answer', 'ran'],
	[
		'cuts its response',
		{kind: 'raw', bytes: partialResponse, ends: true},
		'incomplete-answer',
		'may-have-run',
	],
	[
		'stalls in its response',
		{kind: 'raw', bytes: partialResponse},
		'incomplete-answer',
		'may-have-run',
	],
	[
		'responds with garbage',
		{kind: 'raw', bytes: 'garbage\r\n\r\n', ends: true},
		'connection-broken',
		'may-have-run',
	],
	[
		'ends without framing',
		{kind: 'raw', bytes: 'HTTP/1.1 200 OK\r\n\r\nabc', ends: true},
		'incomplete-answer',
		'ran',
	],
	[
		'gives two lengths',
		{
			kind: 'raw',
			bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
			ends: true,
		},
		'connection-broken',
		'may-have-run',
	],
	[
		'switches protocols',
		{kind: 'raw', bytes: 'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n'},
		'incomplete-answer',
		'may-have-run',
	],
];

const expectingRoute = {...shortRoute, expectation: {smallestBody: 1}};

test.each(faults)(
	'a POST whose target %s is not sent again',
	async (_name, fault, code, outcome) => {
		await start({targets: 3, routes: [expectingRoute]});
		fixture.target.setBehaviour(fault);
		const response = await send(fixture, {method: 'POST', body: 'swap'});
		expect(problemOf(response)).toEqual({code, outcome});
		expect(fixture.received()).toHaveLength(1);
	},
);

test.each(faults)(
	'a GET whose target %s gets its response from another target',
	async (_name, fault) => {
		await start({
			targets: 3,
			routes: [expectingRoute],
			listener: {limits: {attemptTimeRatio: 0.3}},
		});
		fixture.target.setBehaviour(fault);
		const response = await send(fixture, {method: 'GET'});
		expect(response).toMatchObject({status: 200, error: undefined});
		expect(fixture.received()).toHaveLength(2);
		expect(fixture.state.outcomes[1]).toMatchObject({result: 'ok', target: 't1'});
	},
);

test('a POST that was shed is sent to another target, because it did not run', async () => {
	await start();
	fixture.target.setBehaviour({kind: 'shed'});
	expect(await send(fixture, {method: 'POST', body: 'swap'})).toMatchObject({status: 200});
	expect(fixture.targets[1]!.requests[0]!.body).toBe('swap');
	expect(fixture.state.outcomes.map(({result}) => result)).toEqual(['shed', 'ok']);
});

test('a POST that every target sheds is refused as not-run with Retry-After', async () => {
	await start();
	for (const target of fixture.targets) {
		target.setBehaviour({kind: 'shed'});
	}

	fixture.state.retries = 0;
	const response = await send(fixture, {method: 'POST'});
	expect(response).toMatchObject({status: 503, headers: {'retry-after': '1'}});
	expect(problemOf(response)).toEqual({code: 'target-shed', outcome: 'not-run'});
	expect(fixture.received()).toHaveLength(1);
});

test('a plain 503 does not prove that the request did not run, so a POST is not sent again', async () => {
	await start();
	fixture.target.setBehaviour({kind: 'answer', status: 503, headers: {'retry-after': '1'}});
	expect(await send(fixture, {method: 'POST'})).toMatchObject({status: 503});
	expect(fixture.received()).toHaveLength(1);
});

async function closedAddress(): Promise<string> {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise(resolve => {
		server.close(resolve);
	});
	return `127.0.0.1:${port}`;
}

test('a POST to a target that refuses connections is sent to another one without use of the budget', async () => {
	await start();
	const document = structuredClone(fixture.state.tables!.document);
	document.services.roster!.targets[0]!.address = await closedAddress();
	const {createLookupTables} = await import('@shallotpond/configuration/lookup-tables');
	fixture.state.tables = createLookupTables(document);
	fixture.state.retries = 0;
	// The second body is larger than the maximum held in memory.
	for (const body of ['swap', 'x'.repeat(500_000)]) {
		expect(await send(fixture, {method: 'POST', body})).toMatchObject({status: 200});
	}

	expect(fixture.received()).toHaveLength(2);
	const results = fixture.state.outcomes.map(({result}) => result);
	expect(results).toEqual(['connection-failed', 'ok', 'connection-failed', 'ok']);
});

test('a large body that has begun to flow is not sent a second time, whatever the method', async () => {
	await start({routes: [shortRoute]});
	fixture.target.setBehaviour({kind: 'crash'});
	const response = await send(fixture, {method: 'PUT', body: 'x'.repeat(500_000)});
	expect(problemOf(response)).toEqual({code: 'connection-broken', outcome: 'may-have-run'});
	expect(fixture.received()).toHaveLength(1);
});

test('a request that crashes targets reaches at most two', async () => {
	await start({targets: 4, listener: {limits: {maxAttempts: 10}}});
	for (const target of fixture.targets) {
		target.setBehaviour({kind: 'crash'});
	}

	expect(problemOf(await send(fixture)).code).toBe('connection-broken');
	expect(fixture.state.crashes).toEqual(['t0', 't1']);
	expect(fixture.received()).toHaveLength(2);
});

test('a request whose connections targets reset, but which run on, is not taken for one that crashes them', async () => {
	await start({targets: 4, listener: {limits: {maxAttempts: 4}}});
	for (const target of fixture.targets.slice(0, 3)) {
		target.setBehaviour({kind: 'reset'});
	}

	expect(await send(fixture)).toMatchObject({status: 200});
	expect(fixture.state.crashes).toEqual([]);
	expect(fixture.state.counts.get('target-checks running')).toBe(3);
});

test('a target that accepts a connection and closes it at once counts as crashed', async () => {
	await start({targets: 1});
	fixture.target.setBehaviour({kind: 'wait'});
	const sent = send(fixture, {method: 'POST'});
	await waitUntil(() => fixture.received().length === 1);
	fixture.target.refuseConnections();
	fixture.received()[0]!.socket.destroy();
	expect(problemOf(await sent).code).toBe('connection-broken');
	expect(fixture.state.crashes).toEqual(['t0']);
});

test('a request counts as run to a response only where its target has run it', async () => {
	const hasRun: boolean[] = [];
	await start({
		targets: 1,
		policy: {
			acquireAttemptPermit: async () => ({
				kind: 'allowed',
				reportCrash: async () => undefined,
				finish: value => void hasRun.push(value),
			}),
		},
	});
	fixture.target.queueBehaviours({kind: 'echo'}, {kind: 'answer', status: 500}, {kind: 'shed'});
	for (let request = 0; request < 3; request++) {
		await send(fixture, {method: 'POST'});
	}

	// The last permit is that of the second attempt, for which no target is left.
	expect(hasRun).toEqual([true, true, false, false]);
});

test('retries end with the budget', async () => {
	await start();
	fixture.target.setBehaviour({kind: 'crash'});
	fixture.state.retries = 0;
	expect(problemOf(await send(fixture))).toEqual({
		code: 'connection-broken',
		outcome: 'may-have-run',
	});
	expect(fixture.received()).toHaveLength(1);
});

test('a refusal after an attempt that may have run does not claim that nothing ran', async () => {
	await start({targets: 1});
	fixture.target.setBehaviour({kind: 'crash'});
	expect(problemOf(await send(fixture))).toEqual({code: 'no-target', outcome: 'may-have-run'});
});

test('a late response reaches no caller, and its connection is not reused', async () => {
	await start({targets: 1, routes: [shortRoute]});
	fixture.target.queueBehaviours({kind: 'wait'});
	expect(problemOf(await send(fixture, {method: 'POST', path: '/late'})).outcome).toBe(
		'may-have-run',
	);
	fixture.target.releaseWaitingRequests();
	const response = await send(fixture, {method: 'POST', path: '/next'});
	expect(JSON.parse(response.body)).toMatchObject({url: '/next'});
	const [late, next] = fixture.received();
	expect(next!.socket).not.toBe(late!.socket);
});

test('a second response to one request reaches no caller, and its connection is not reused', async () => {
	await start({targets: 1});
	const ownResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown';
	const foreignResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother';
	fixture.target.queueBehaviours({kind: 'raw', bytes: ownResponse});
	expect(await send(fixture, {path: '/1'})).toMatchObject({body: 'own'});
	fixture.received()[0]!.socket.write(foreignResponse);
	await waitUntil(() => fixture.state.counts.get('unexpected-bytes') === 1);
	expect(await echoOf({path: '/2'})).toMatchObject({url: '/2'});
	fixture.target.queueBehaviours({kind: 'raw', bytes: ownResponse + foreignResponse});
	await send(fixture, {path: '/3'});
	expect(await echoOf({path: '/4'})).toMatchObject({url: '/4'});
});

test('a good connection is reused, and no more idle ones stay open than the idle limit allows', async () => {
	await start({targets: 1, service: {slots: 4, connections: 5}});
	await send(fixture);
	await send(fixture);
	expect(fixture.target.connections).toBe(1);
	await Promise.all(Array.from({length: 4}, async () => send(fixture)));
	await waitUntil(() => fixture.target.openConnections === 1);
});

test('a target at its connection limit gets no further connection', async () => {
	await start({targets: 1, service: {slots: 2, connections: 2}});
	fixture.target.queueBehaviours({kind: 'wait'}, {kind: 'wait'});
	const responses = [send(fixture), send(fixture), send(fixture)];
	expect(problemOf(await Promise.race(responses))).toEqual({code: 'no-target', outcome: 'not-run'});
	await waitUntil(() => fixture.received().length === 2);
	fixture.target.releaseWaitingRequests();
	await Promise.all(responses);
	expect(fixture.target.connections).toBe(2);
	expect(await send(fixture, {method: 'HEAD'})).toMatchObject({status: 200});
});

test('a caller that disconnects cancels its request at the target', async () => {
	await start({targets: 1});
	fixture.target.setBehaviour({kind: 'stall'});
	const request = http.get({
		port: fixture.listener.port,
		host: '127.0.0.1',
		agent: false,
		headers: {'x-api-key': key},
	});
	request.on('error', () => undefined);
	await waitUntil(() => fixture.received().length === 1);
	request.destroy();
	await waitUntil(() => fixture.received()[0]!.isAborted && fixture.state.outcomes.length === 1);
	expect(fixture.state.outcomes[0]!.result).toBe('cancelled');
	expect(fixture.listener.activeRequests).toBe(0);
});

test('an idempotency key is claimed for a POST only, and settled with the outcome', async () => {
	const settled: string[] = [];
	await start({
		policy: {
			claimIdempotencyKey: async request => ({
				kind: 'claimed',
				startBefore: Number.POSITIVE_INFINITY,
				settle: state => void settled.push(`${request.key} ${state}`),
			}),
		},
	});
	const headers = {'x-api-key': key, 'idempotency-key': 'swap-1'};
	await send(fixture, {headers});
	await send(fixture, {method: 'POST', headers});
	fixture.target.queueBehaviours({kind: 'crash'});
	await send(fixture, {method: 'POST', headers});
	await fixture.target.start();
	fixture.target.queueBehaviours({kind: 'shed'});
	fixture.targets[1]!.queueBehaviours({kind: 'shed'});
	await send(fixture, {method: 'POST', headers});
	expect(settled).toEqual(['swap-1 ran', 'swap-1 may-have-run', 'swap-1 not-run']);
});

test('a target that went out of service while the request waited does not get it', async () => {
	await start();
	const document = structuredClone(fixture.state.tables!.document);
	document.failureDomains.a!.state = 'out';
	const {createLookupTables} = await import('@shallotpond/configuration/lookup-tables');
	fixture.state.tables = createLookupTables(document);
	expect(await send(fixture)).toMatchObject({status: 200});
	expect(fixture.target.requests).toHaveLength(0);
});

test.each([0, 1])(
	'a slow GET is sent to another target as often as the budget of %d allows',
	async retries => {
		await start({routes: [shortRoute], hasManualClock: true});
		fixture.state.retries = retries;
		fixture.target.queueBehaviours({kind: 'wait'});
		const response = send(fixture);
		await waitUntil(() => fixture.received().length === 1);
		// Half of the request's time is over; without a retry, the first attempt continues.
		fixture.clock.advance(600);
		if (retries === 0) {
			fixture.target.releaseWaitingRequests();
		}

		expect(await response).toMatchObject({status: 200});
		expect(fixture.targets[1]!.requests).toHaveLength(retries);
	},
);

test('a slow POST gets all of its time, because it may not be sent to another target', async () => {
	await start({routes: [shortRoute], hasManualClock: true});
	fixture.target.queueBehaviours({kind: 'wait'});
	const response = send(fixture, {method: 'POST'});
	await waitUntil(() => fixture.received().length === 1);
	fixture.clock.advance(900);
	fixture.target.releaseWaitingRequests();
	expect(await response).toMatchObject({status: 200});
});

test('a grant that expires ends its request, and a POST is not sent again', async () => {
	await start();
	const controller = new AbortController();
	const {acquireSlot} = fixture.policy;
	Object.assign(fixture.policy, {
		async acquireSlot(request: Parameters<typeof acquireSlot>[0]) {
			const grant = await acquireSlot(request);
			return {...grant, signal: controller.signal};
		},
	});
	fixture.target.setBehaviour({kind: 'stall'});
	const response = send(fixture, {method: 'POST'});
	await waitUntil(() => fixture.received().length === 1);
	controller.abort();
	expect(problemOf(await response)).toEqual({code: 'cancelled', outcome: 'may-have-run'});
	expect(fixture.received()).toHaveLength(1);
});

test('with a claim or a grant that expired during a pause, no byte is written to a target', async () => {
	await start();
	const policy = fixture.policy as {
		claimIdempotencyKey: RequestPolicy['claimIdempotencyKey'];
		acquireSlot: RequestPolicy['acquireSlot'];
	};
	const settled: string[] = [];
	policy.claimIdempotencyKey = async () => ({
		kind: 'claimed',
		startBefore: 0,
		settle: state => void settled.push(state),
	});
	const headers = {'x-api-key': key, 'idempotency-key': 'late'};
	const late = await send(fixture, {method: 'POST', headers});
	expect(problemOf(late).outcome).toBe('not-run');
	expect(settled).toEqual(['not-run']);

	const {acquireSlot} = policy;
	let isFirst = true;
	policy.acquireSlot = async request => {
		const grant = await acquireSlot(request);
		if (grant.kind === 'refused') {
			return grant;
		}

		// The first grant is in force at the first check, and no longer when the first byte is to be
		// written.
		let checks = isFirst ? 0 : Number.NEGATIVE_INFINITY;
		isFirst = false;
		return {...grant, isInForce: () => ++checks < 2};
	};

	expect(fixture.received()).toHaveLength(0);
	const retried = await send(fixture, {method: 'POST', headers: {'x-api-key': key}});
	expect(retried.status).toBe(200);
	expect(fixture.state.outcomes.map(({result}) => result).slice(-2)).toEqual(['cancelled', 'ok']);
	expect(fixture.received()).toHaveLength(1);
});

const silences: ReadonlyArray<readonly [string, StandInTargetBehaviour]> = [
	['before its response', {kind: 'stall'}],
	['in its response', {kind: 'raw', bytes: partialResponse}],
];

test.each(silences)(
	'idle connections to a target that went silent %s are not reused',
	async (_name, silence) => {
		await start({
			targets: 1,
			routes: [shortRoute],
			service: {slots: 4, connections: 300},
			listener: {limits: {targetIdleTimeout: 3_600_000}},
		});
		fixture.target.queueBehaviours({kind: 'wait'}, {kind: 'wait'});
		const responses = [send(fixture), send(fixture)];
		await waitUntil(() => fixture.received().length === 2);
		fixture.target.releaseWaitingRequests();
		await Promise.all(responses);
		expect(fixture.target.openConnections).toBe(2);
		fixture.target.queueBehaviours(silence);
		expect(problemOf(await send(fixture, {method: 'POST'})).outcome).toBe('may-have-run');
		await waitUntil(() => fixture.target.openConnections === 0);
	},
);

test('2,000 malformed responses neither stop the listener nor reach callers as valid ones', async () => {
	const random = createSeededRandom(20_261_205);
	await start({targets: 1, routes: [shortRoute]});
	fixture.state.retries = 0;
	const faultsOf = (body: string): readonly string[] => [
		`HTTP/1.1 099 Low\r\nContent-Length: 3\r\n\r\n${body}`,
		`HTTP/1.1 2000 High\r\nContent-Length: 3\r\n\r\n${body}`,
		`HTTP/2.0 200 OK\r\nContent-Length: 3\r\n\r\n${body}`,
		`HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n${body}`,
		`HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n${body}`,
		`HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n${body}`,
		`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n${body}\r\n`,
		`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n${body}\r\nzz\r\n`,
		`HTTP/1.1 200 OK\r\nX: a\u0001b\r\nContent-Length: 3\r\n\r\n${body}`,
		`HTTP/1.1 200 OK\r\nX: ${'a'.repeat(40_000)}\r\nContent-Length: 3\r\n\r\n${body}`,
		`HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 3\r\n\r\n${body}`,
		'\r\n',
		'',
	];
	for (let round = 0; round < 40; round++) {
		const all = faultsOf('abc');
		const texts = Array.from({length: 50}, () => all[Math.floor(random() * all.length)]!);
		fixture.target.queueBehaviours(
			...texts.map(bytes => ({kind: 'raw' as const, bytes, ends: true})),
		);
		const responses = await sendMany(texts.length);
		const clean = responses.filter(({status, error}) => status < 500 && error === undefined);
		expect(clean).toEqual([]);
	}

	expect(await echoOf({path: '/after'})).toMatchObject({url: '/after'});
});

test('a reason phrase with control characters does not stop the listener', async () => {
	await start();
	fixture.target.queueBehaviours({
		kind: 'raw',
		bytes: 'HTTP/1.1 200 O\u0001K\r\nContent-Length: 3\r\n\r\nabc',
		ends: true,
	});
	const response = await send(fixture, {method: 'POST'});
	expect([200, 502]).toContain(response.status);
	expect(await send(fixture)).toMatchObject({status: 200});
});

test('a response with more headers than the parser keeps by default is complete', async () => {
	await start({targets: 1});
	const head = `HTTP/1.1 200 OK\r\n${'X: a\r\n'.repeat(2100)}Content-Length: 3\r\n\r\n`;
	fixture.target.queueBehaviours({kind: 'raw', bytes: `${head}abc`, ends: true});
	const text = await sendRaw(
		fixture,
		`GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nConnection: close\r\n\r\n`,
	);
	expect(text).toMatch(/^HTTP\/1\.1 200 /);
	expect(text).toMatch(/\r\n\r\nabc$/);
});

test('a retry avoids the target and the failure domain that were tried', async () => {
	const seen: Array<readonly string[]> = [];
	await start();
	const {acquireSlot} = fixture.policy;
	Object.assign(fixture.policy, {
		async acquireSlot(request: Parameters<typeof acquireSlot>[0]) {
			seen.push([...request.excludedTargets, ...request.avoidedFailureDomains]);
			return acquireSlot(request);
		},
	});
	fixture.target.setBehaviour({kind: 'crash'});
	expect(await send(fixture)).toMatchObject({status: 200});
	expect(seen).toEqual([[], ['t0', 'a']]);
});

test('reserved connections that are not open yet count towards the limit of their target', async () => {
	await start({targets: 1});
	const connections = createTargetConnections({
		clock: createSystemClock(),
		limits: defaultHttpLimits,
		counters: noopCounters,
		parseSchedule: createParseSchedule({
			clock: createSystemClock(),
			afterPoll: setImmediate,
			onDelay: () => undefined,
		}),
	});
	const {document} = fixture.state.tables!;
	const service = {...document.services.roster!, connections: 2};
	const [target] = service.targets;
	const reserve = () => connections.reserve(target!, service, 1);
	const first = reserve();
	expect(reserve()).toBeDefined();
	expect(reserve()).toBeUndefined();
	first!.cancel();
	first!.cancel();
	expect(reserve()).toBeDefined();
	expect(reserve()).toBeUndefined();
});
