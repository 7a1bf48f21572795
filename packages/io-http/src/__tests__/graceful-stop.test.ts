/**
 * Guards against requests that are lost while an instance stops: those in progress, those in the
 * queue, and those sent on an idle connection at the moment at which the instance closes it. Also
 * guards against a stop that one slow request delays without limit.
 */
import http from 'node:http';
import net from 'node:net';
import {afterEach, expect, test} from '@jest/globals';
import {
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
function connectCaller() {
	const socket = net.connect(fixture.listener.port, '127.0.0.1');
	const caller = {text: '', isClosed: false, sendRequest: () => socket.write(requestLine)};
	socket.setEncoding('latin1');
	socket.on('data', chunk => {
		caller.text += String(chunk);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		caller.isClosed = true;
	});
	return caller;
}

const countResponses = (text: string) => text.match(/HTTP\/1\.1 200 /g)?.length ?? 0;

test('a leaving instance still serves requests, and closes each connection after the response', async () => {
	await start();
	const caller = connectCaller();
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
	const idle = connectCaller();
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

test('a port that is in use makes start fail, with the address in the message', async () => {
	await start();
	const {port} = fixture.listener;
	await expect(createFixture({listener: {port}})).rejects.toThrow(
		`cannot listen on 127.0.0.1:${port}`,
	);
	await fixture.listener.stop();
});
