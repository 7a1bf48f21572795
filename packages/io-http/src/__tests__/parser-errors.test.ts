/**
 * Guards against results that depend on whether Node's parser or the proxy's own check refuses a
 * malformed response, and against malformed responses that count as crashes of their targets.
 */
import net from 'node:net';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createFixture, key, problemOf, send, waitUntil, type Fixture} from './support.js';

let fixture: Fixture;

beforeEach(async () => {
	fixture = await createFixture({
		targets: 1,
		routes: [{id: 'main', pathPrefix: '/', service: 'roster', timeout: 2000, attempts: 1}],
	});
});

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.internalErrors).toEqual([]);
	expect(fixture.state.openGrants).toBe(0);
});

const head = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n';
const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';

const malformedHeads: ReadonlyArray<readonly [string, string]> = [
	['space before colon', `${head}X : a\r\n\r\nok`],
	['empty header name', `${head}: a\r\n\r\nok`],
	['NUL in a value', `${head}X: a\0b\r\n\r\nok`],
	['folded line', `${head}X: a\r\n b\r\n\r\nok`],
	['line without a colon', `${head}X\r\n\r\nok`],
	['two lengths', `${head}Content-Length: 3\r\n\r\nok`],
	['status of two digits', 'HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok'],
	['status of four digits', 'HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok'],
	['another protocol', 'SSH-2.0-x\r\n\r\n'],
	['more header bytes than allowed', `${head}X: ${'a'.repeat(40_000)}\r\n\r\nok`],
	['malformed interim response', `HTTP/1.1 103 Hints\r\nX : a\r\n\r\n${head}\r\nok`],
];

test.each(malformedHeads)(
	'a response with %s does not count as a crash of its target',
	async (_name, bytes) => {
		fixture.target.setBehaviour({kind: 'raw', bytes, ends: true});
		const response = await send(fixture, {method: 'POST', body: 'a'});
		expect(response).toMatchObject({status: 502, error: undefined});
		expect(problemOf(response).outcome).toBe('may-have-run');
		expect(fixture.state.outcomes).toMatchObject([{result: 'incomplete'}]);
		expect(fixture.state.crashes).toEqual([]);
	},
);

test.each(['X : a', ': a', 'X y: a'])(
	'the caller gets the same problem for the header line %j from every parser',
	async line => {
		fixture.target.setBehaviour({kind: 'raw', bytes: `${head}${line}\r\n\r\nok`, ends: true});
		expect(problemOf(await send(fixture))).toEqual({
			code: 'incomplete-answer',
			outcome: 'may-have-run',
		});
	},
);

const earlyEnds: ReadonlyArray<readonly [string, string]> = [
	['before its response', ''],
	['within its status line', 'HTTP/1.1 20'],
	['within a header name', `${head}X`],
	['within a header value', `${head}X: a`],
	['before the empty line', head],
];

test.each(earlyEnds)(
	'a connection that ends %s still counts as a crash of the target',
	async (_name, bytes) => {
		fixture.target.setBehaviour({kind: 'raw', bytes, ends: true, crashes: true});
		expect(problemOf(await send(fixture)).code).toBe('connection-broken');
		expect(fixture.state.outcomes).toMatchObject([{result: 'connection-broken'}]);
		expect(fixture.state.crashes).toEqual(['t0']);
	},
);

test.each(earlyEnds)(
	'a connection that is reset %s still counts as a crash of the target',
	async (_name, bytes) => {
		fixture.target.setBehaviour({kind: 'raw', bytes, crashes: true});
		const sent = send(fixture);
		await waitUntil(() => fixture.received()[0]?.isComplete === true);
		fixture.received()[0]!.socket.resetAndDestroy();
		expect(problemOf(await sent).code).toBe('connection-broken');
		expect(fixture.state.outcomes).toMatchObject([{result: 'connection-broken'}]);
		expect(fixture.state.crashes).toEqual(['t0']);
	},
);

const lateFaults: ReadonlyArray<readonly [string, string]> = [
	['the trailer "X : a"', '0\r\nX : a\r\n\r\n'],
	['the trailer ": a"', '0\r\n: a\r\n\r\n'],
	['the trailer "X y: a"', '0\r\nX y: a\r\n\r\n'],
	['a folded trailer', '0\r\nX: a\r\n b\r\n\r\n'],
	['a trailer without a colon', '0\r\nX\r\n\r\n'],
	['a malformed chunk size', 'zz\r\nok\r\n0\r\n\r\n'],
	['a chunk that is longer than its size', '1\r\nok\r\n0\r\n\r\n'],
	['a bare line feed', '2\nok\r\n0\r\n\r\n'],
];

test.each(lateFaults)(
	'a response of which the caller has a part does not look complete if %s follows',
	async (_name, bytes) => {
		fixture.target.setBehaviour({kind: 'raw', bytes: `${chunkedHead}\r\n2\r\nok\r\n`});
		let received = '';
		const sent = send(fixture, {
			onData(text) {
				received += text;
			},
		});
		await waitUntil(() => received === 'ok');
		fixture.received()[0]!.socket.end(bytes, 'latin1');
		const {error} = await sent;
		expect(error).toBeDefined();
		expect(fixture.state.outcomes).toMatchObject([{result: 'incomplete'}]);
		expect(fixture.state.crashes).toEqual([]);
	},
);

test.each(lateFaults)(
	'a response with %s is not taken for a complete one if all of it arrives at once',
	async (_name, bytes) => {
		const whole = `${chunkedHead}\r\n2\r\nok\r\n${bytes}`;
		fixture.target.setBehaviour({kind: 'raw', bytes: whole, ends: true});
		const {status, error} = await send(fixture);
		expect(error !== undefined || status === 502).toBe(true);
		expect(fixture.state.outcomes).toMatchObject([{result: 'incomplete'}]);
	},
);

test.each(['X : a', ': a', 'X y: a', 'X: a\r\n b'])(
	'a request whose body is streamed does not look complete to its target if its trailer is %j',
	async trailer => {
		// More than is held in memory.
		const bodyBytes = 100_000;
		const caller = net.connect(fixture.listener.port, '127.0.0.1');
		const closed = new Promise(resolve => {
			caller.on('error', () => undefined).on('close', resolve);
		});
		caller.resume();
		caller.write(
			`POST /a HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`,
		);
		caller.write(`${bodyBytes.toString(16)}\r\n${'a'.repeat(bodyBytes)}\r\n`);
		await waitUntil(() => fixture.received()[0]?.body.length === bodyBytes);
		caller.write(`0\r\n${trailer}\r\n\r\n`);
		await closed;
		await waitUntil(() => fixture.received()[0]!.isAborted);
		expect(fixture.received()).toMatchObject([{isComplete: false}]);
	},
);
