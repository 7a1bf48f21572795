/**
 * Guards against responses without an end: a target that keeps sending in any part of a response
 * would occupy its slot, its connection and memory for ever, because the proxy sees no silence.
 */
import http from 'node:http';
import {afterEach, expect, test} from '@jest/globals';
import {defaultHttpLimits} from '../http-limits.js';
import {
	connectCaller,
	createFixture,
	key,
	send,
	waitUntil,
	type Fixture,
	type FixtureOptions,
} from './support.js';

let fixture: Fixture;

const timeout = 1000;
const route = {
	id: 'main',
	pathPrefix: '/',
	service: 'roster',
	timeout,
	stallTimeout: timeout,
	answerTimeout: timeout,
};

async function start(options?: FixtureOptions): Promise<void> {
	fixture = await createFixture({targets: 2, routes: [route], ...options});
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
	expect(fixture.state.internalErrors).toEqual([]);
});

const chunk = '4000\r\n' + 'x'.repeat(16_384) + '\r\n';
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

test.each([
	['header lines', 'HTTP/1.1 200 OK\r\n', 'X-More: more\r\n'],
	['one header line', 'HTTP/1.1 200 OK\r\nX-Long: ', 'x'],
	['a status line', 'HTTP/1.1 200 ', 'x'],
	['bytes that are no response', '', '\u0000\u0001garbage'],
	['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'],
	['interim responses with 100 Continue', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
])('a head that never ends (%s) is abandoned and replaced', async (_what, head, piece) => {
	await start();
	fixture.target.queueBehaviours({kind: 'endless', head, piece});
	const response = await send(fixture);
	expect(response.status).toBe(200);
	await waitUntil(() => fixture.target.openConnections === 0);
	expect(fixture.state.outcomes[0]!.result).not.toBe('ok');
	// The attempt is abandoned because of the bytes that arrived, not because of a timeout.
	expect(fixture.clock.monotonic()).toBeLessThan(timeout * defaultHttpLimits.attemptTimeRatio);
});

/**
 * Sends a request that may run only once, and drops the bytes of its response. Resolves with
 * whether the caller takes the response for complete.
 */
async function isReceivedComplete(): Promise<boolean> {
	return new Promise(resolve => {
		const request = http.request({
			host: '127.0.0.1',
			port: fixture.listener.port,
			method: 'POST',
			agent: false,
			headers: {'x-api-key': key},
		});
		request.on('error', () => {
			resolve(false);
		});
		request.on('response', response => {
			response.resume();
			response.on('error', () => undefined);
			response.on('close', () => {
				resolve(response.statusCode === 200 && response.complete);
			});
		});
		request.end();
	});
}

test.each([
	['in chunks', chunkedHead, chunk],
	['without a length', 'HTTP/1.1 200 OK\r\n\r\n', 'x'],
	['with a huge length', 'HTTP/1.1 200 OK\r\nContent-Length: 900000000000000\r\n\r\n', 'x'],
	['in the extension of a chunk', chunkedHead + '5;', 'x'],
	['in the trailers', chunkedHead + chunk + '0\r\n', 'X-More: more\r\n'],
])('a body that never ends (%s) is cut, and never looks complete', async (_what, head, piece) => {
	await start();
	fixture.target.setBehaviour({kind: 'endless', head, piece});
	expect(await isReceivedComplete()).toBe(false);
	await waitUntil(() => fixture.target.openConnections === 0);
	expect(fixture.state.outcomes[0]!.result).not.toBe('ok');
});

test('the body of a server error that another attempt replaces is not read without end', async () => {
	await start();
	fixture.target.queueBehaviours({
		kind: 'endless',
		head: 'HTTP/1.1 500 Broken\r\nTransfer-Encoding: chunked\r\n\r\n',
		piece: chunk,
	});
	const response = await send(fixture);
	expect(response.status).toBe(200);
	await waitUntil(() => fixture.target.openConnections === 0);
});

test('the connection of a server error with a short body is reused', async () => {
	await start({targets: 2});
	fixture.target.queueBehaviours({kind: 'answer', status: 500, body: 'broken'});
	const first = await send(fixture);
	expect(first.status).toBe(200);
	await waitUntil(() => fixture.state.openGrants === 0);
	const second = await send(fixture);
	expect(second.status).toBe(200);
	expect(fixture.target.connections).toBe(1);
});

test.each([
	['a response without a body', 'HTTP/1.1 204 No Content\r\n\r\n'],
	['a complete response', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'],
])('bytes after %s reach no caller and close the connection', async (_what, head) => {
	await start();
	fixture.target.queueBehaviours({kind: 'endless', head, piece: 'HTTP/1.1 200 OK\r\n\r\nother'});
	const first = await send(fixture);
	expect(first.body).toBe(first.status === 204 ? '' : 'ok');
	await waitUntil(() => fixture.target.openConnections === 0);
});

test('a caller that reads slowly does not keep an endless response beyond its deadline', async () => {
	await start();
	fixture.target.setBehaviour({kind: 'endless', head: chunkedHead, piece: chunk});
	const request = http.get({
		host: '127.0.0.1',
		port: fixture.listener.port,
		agent: false,
		headers: {'x-api-key': key},
	});
	request.on('error', () => undefined);
	request.on('response', response => {
		response.on('error', () => undefined);
		response.pause();
	});
	await waitUntil(() => fixture.target.connections > 0);
	await waitUntil(() => fixture.target.openConnections === 0);
	request.destroy();
});

test('bodies that many targets do not end are not all held in memory', async () => {
	const size = 1_000_000;
	await start({
		routes: [{...route, timeout: 5000, stallTimeout: 5000, answerTimeout: 5000, attempts: 1}],
		service: {slots: 20},
		listener: {limits: {maxHeldResponseBytes: size, maxTotalHeldResponseBytes: 1_500_000}},
	});
	fixture.target.setBehaviour({kind: 'file', size, stopAfter: 600_000});
	let begun = 0;
	const requests = Array.from({length: 8}, () => {
		const request = http.get({
			host: '127.0.0.1',
			port: fixture.listener.port,
			agent: false,
			headers: {'x-api-key': key},
		});
		request.on('error', () => undefined);
		request.on('response', response => {
			begun += Number(response.statusCode === 200);
			response.on('error', () => undefined);
			response.resume();
		});
		return request;
	});
	// At most two bodies fit into what may be held; the others must have been passed on.
	await waitUntil(() => begun >= 6);
	for (const request of requests) {
		request.destroy();
	}

	await waitUntil(() => fixture.state.openGrants === 0);
	// What was held is free again.
	fixture.target.setBehaviour({kind: 'answer', body: 'x'.repeat(900_000)});
	expect(await send(fixture)).toMatchObject({status: 200});
});

// Each chunk was written by itself, and took a hundred times its bytes while the caller read nothing.
test('tiny chunks that arrive together are written to the caller together', async () => {
	await start();
	const chunks = '1\r\nx\r\n'.repeat(500);
	fixture.target.queueBehaviours({kind: 'raw', bytes: `${chunkedHead}${chunks}0\r\n\r\n`});
	const caller = connectCaller(fixture);
	caller.write(`GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\n\r\n`);
	await waitUntil(() => caller.text.endsWith('0\r\n\r\n'));
	const [, body] = caller.text.split(/\r\n\r\n(?=[\da-f])/);
	const sizes = [...body!.matchAll(/^(?<size>[\da-f]+)\r$/gm)].map(({groups}) =>
		Number.parseInt(groups!.size!, 16),
	);
	expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(500);
	expect(sizes.length).toBeLessThan(10);
	caller.socket.destroy();
});

test('a small event reaches the caller at once, although the stream goes on', async () => {
	await start();
	const head =
		'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
	fixture.target.queueBehaviours({kind: 'raw', bytes: `${head}9\r\ndata: a\n\n\r\n`});
	const caller = connectCaller(fixture);
	caller.write(`GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\n\r\n`);
	await waitUntil(() => caller.text.includes('data: a'));
	fixture.received()[0]!.socket.write('9\r\ndata: b\n\n\r\n');
	await waitUntil(() => caller.text.includes('data: b'));
	caller.socket.destroy();
	await waitUntil(() => fixture.state.openGrants === 0);
});
