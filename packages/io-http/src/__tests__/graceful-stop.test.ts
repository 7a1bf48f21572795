/**
 * Guards against requests that are lost while an instance stops: those in progress, those in the
 * queue, and those sent on an idle connection at the moment at which the instance closes it. Also
 * guards against a stop that one slow request delays without limit.
 */
import http from 'node:http';
import {afterEach, expect, test} from '@jest/globals';
import {defaultDialect} from '../request-dialect.js';
import {
	connectCaller,
	createFixture,
	key,
	problemOf,
	send,
	waitUntil,
	type Fixture,
	type FixtureOptions,
} from './support.js';

let fixture: Fixture;

async function start(options?: FixtureOptions) {
	fixture = await createFixture({targets: 1, ...options});
	return fixture;
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
	expect(fixture.state.internalErrors).toEqual([]);
});

const requestLine = `GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\n\r\n`;

/** A keep-alive caller that sends its next request when the test calls `sendRequest`. */
function connectKeepAliveCaller() {
	const caller = connectCaller(fixture);
	return Object.assign(caller, {sendRequest: () => caller.write(requestLine)});
}

const countResponses = (text: string) => text.match(/HTTP\/1\.1 200 /g)?.length ?? 0;

test('a leaving instance still serves requests, and closes each connection after the response', async () => {
	await start();
	const caller = connectKeepAliveCaller();
	caller.sendRequest();
	await waitUntil(() => countResponses(caller.text) === 1);
	expect(caller.text.toLowerCase()).not.toContain('connection: close');
	fixture.listener.beginLeaving();
	expect(await send(fixture)).toMatchObject({status: 200, headers: {connection: 'close'}});
	const refused = await send(fixture, {headers: {}});
	expect(refused).toMatchObject({status: 401, headers: {connection: 'close'}});
	caller.sendRequest();
	await waitUntil(() => caller.isClosed);
	expect(countResponses(caller.text)).toBe(2);
	expect(caller.text.toLowerCase()).toContain('connection: close');
	await fixture.listener.stop();
});

test('a stop finishes a long download, a queued request and keep-alive callers', async () => {
	let openSlot: (() => void) | undefined;
	await start({listener: {limits: {keepAliveTimeout: 2000}}});
	const {acquireSlot} = fixture.policy;
	const idle = connectKeepAliveCaller();
	idle.sendRequest();
	await waitUntil(() => countResponses(idle.text) === 1);

	const size = 50_000_000;
	fixture.target.queueBehaviours({kind: 'file', size});
	let bytes = 0;
	let isComplete = false;
	http.get(
		{host: '127.0.0.1', port: fixture.listener.port, agent: false, headers: {'x-api-key': key}},
		response => {
			response.on('data', (chunk: Uint8Array) => {
				bytes += chunk.length;
			});
			response.on('end', () => {
				isComplete = bytes === size;
			});
			response.pause();
			setTimeout(() => response.resume(), 50);
		},
	);
	await waitUntil(() => fixture.received().length === 2);
	Object.assign(fixture.policy, {
		async acquireSlot(request: Parameters<typeof acquireSlot>[0]) {
			await new Promise<void>(resolve => {
				openSlot = resolve;
			});
			return acquireSlot(request);
		},
	});
	const queued = send(fixture);
	await waitUntil(() => openSlot !== undefined);
	Object.assign(fixture.policy, {acquireSlot});

	let isStopped = false;
	const stop = async () => {
		await fixture.listener.stop();
		isStopped = true;
	};

	const stopped = stop();
	// This request is sent on an idle connection after the stop began.
	idle.sendRequest();
	await waitUntil(() => idle.isClosed);
	expect(countResponses(idle.text)).toBe(2);
	await waitUntil(() => isComplete);
	expect(isStopped).toBe(false);
	openSlot!();
	expect(await queued).toMatchObject({status: 200, error: undefined});
	await stopped;
	expect(await send(fixture)).toMatchObject({error: expect.stringContaining('ECONNREFUSED')});
});

test('a stop ends at its limit, however long a request takes', async () => {
	await start({hasManualClock: true, listener: {limits: {stopTimeout: 1000}}});
	fixture.target.setBehaviour({kind: 'stall'});
	const response = send(fixture);
	await waitUntil(() => fixture.received().length === 1);
	const stopped = fixture.listener.stop();
	fixture.clock.advance(1000);
	await stopped;
	expect(problemOf(await response)).toEqual({code: 'cancelled', outcome: 'may-have-run'});
	expect(fixture.state.outcomes).toMatchObject([{result: 'cancelled'}]);
});

test('a stopping instance refuses requests that may outlive it, and completes those it has taken', async () => {
	await start({hasManualClock: true});
	fixture.target.setBehaviour({kind: 'wait'});
	const taken = send(fixture, {method: 'POST', body: 'swap'});
	await waitUntil(() => fixture.received().length === 1);
	const caller = connectKeepAliveCaller();
	caller.write(`POST / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nContent-Length: 4\r\n\r\nsw`);
	await waitUntil(() => fixture.state.admitted === 2);
	fixture.listener.beginLeaving();
	// The route's timeout is 5 s.
	fixture.listener.refuseBeyond(fixture.clock.monotonic() + 2500);
	const refusals = [await send(fixture), await send(fixture, {method: 'POST', body: 'swap'})];
	for (const refusal of refusals) {
		expect(refusal).toMatchObject({status: 503, headers: {connection: 'close'}});
		expect(refusal.headers['retry-after']).toBeDefined();
		expect(problemOf(refusal)).toEqual({code: 'stopping', outcome: 'not-run'});
	}

	caller.write('ap');
	await waitUntil(() => caller.text.includes('"stopping"'));
	expect(fixture.received()).toHaveLength(1);
	const headers = {'x-api-key': key, 'x-request-deadline': '2000'};
	const short = send(fixture, {headers});
	await waitUntil(() => fixture.received().length === 2);
	fixture.target.releaseWaitingRequests();
	expect(await taken).toMatchObject({status: 200});
	expect(await short).toMatchObject({status: 200});
	await fixture.listener.stop();
});

test('closing idle connections cuts no response that is still being written', async () => {
	const size = 8_000_000;
	// A response without a length is held until its end and then written in one piece.
	const dialect = {...defaultDialect, acceptsUnframed: true};
	await start({
		hasManualClock: true,
		listener: {dialect, limits: {maxHeldResponseBytes: 2 * size}},
	});
	const idle = connectKeepAliveCaller();
	idle.sendRequest();
	await waitUntil(() => countResponses(idle.text) === 1);
	const body = 'handbook'.repeat(size / 8);
	fixture.target.queueBehaviours({
		kind: 'raw',
		bytes: `HTTP/1.1 200 OK\r\n\r\n${body}`,
		ends: true,
	});
	let bytes = 0;
	let ending: string | undefined;
	http.get(
		{host: '127.0.0.1', port: fixture.listener.port, agent: false, headers: {'x-api-key': key}},
		response => {
			response.on('data', (chunk: Uint8Array) => {
				bytes += chunk.length;
			});
			response.on('end', () => {
				ending = 'whole';
			});
			response.on('error', ({message}) => {
				ending = message;
			});
			response.pause();
			setTimeout(() => {
				fixture.listener.closeIdle();
				response.resume();
			}, 50);
		},
	);
	await waitUntil(() => ending !== undefined);
	expect(ending).toBe('whole');
	expect(bytes).toBe(size);
	expect(idle.isClosed).toBe(true);
	await fixture.listener.stop();
});

test('at the end of a stop, a request in progress gets an answer and a part of a response is reset', async () => {
	await start();
	fixture.target.queueBehaviours({kind: 'stall'}, {kind: 'file', size: 50_000, stopAfter: 20_000});
	const stalled = send(fixture, {method: 'POST', body: 'swap'});
	await waitUntil(() => fixture.received().length === 1);
	const caller = connectKeepAliveCaller();
	caller.sendRequest();
	await waitUntil(() => countResponses(caller.text) === 1);
	fixture.listener.stopListening();
	await fixture.listener.abandonRequests();
	expect(problemOf(await stalled)).toEqual({code: 'cancelled', outcome: 'may-have-run'});
	await waitUntil(() => caller.isClosed);
	expect(caller.text.length).toBeLessThan(50_000);
	expect(await send(fixture)).toMatchObject({error: expect.stringContaining('ECONNREFUSED')});
});

test('a port that is in use makes start fail, with the address in the message', async () => {
	await start();
	const {port} = fixture.listener;
	await expect(createFixture({listener: {port}})).rejects.toThrow(
		`cannot listen on 127.0.0.1:${port}`,
	);
	await fixture.listener.stop();
});
