/**
 * Guards against incomplete or mixed responses that look complete to the caller. They come about
 * when a target cuts or stalls a response or sends a blank one, or when a download is resumed with
 * bytes of another version. The caller must get the whole response or see an error.
 */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage} from 'node:http';
import {afterEach, expect, test} from '@jest/globals';
import {readFilePiece, type StandInTargetBehaviour} from '@shallotpond/testkit/stand-in-target';
import {defaultDialect} from '../request-dialect.js';
import {
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
	fixture = await createFixture({targets: 3, ...options});
	return fixture;
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
	expect(fixture.state.internalErrors).toEqual([]);
});

const route = {id: 'main', pathPrefix: '/', service: 'roster', timeout: 5000, stallTimeout: 200};
/** Bytes of the file that targets send. */
const size = 500_000;
/** What a caller sees when its connection was reset. */
const resetError = 'read ECONNRESET';
/**
 * A reset that overtakes bytes in transit looks to the caller like a cut, so any error is accepted.
 */
const anyError: unknown = expect.any(String);
const file: StandInTargetBehaviour = {kind: 'file', size};

type Download = {
	readonly bytes: number;
	readonly isExact: boolean;
	readonly error: string | undefined;
};

/**
 * Reads a response and compares each byte with the file. `onData` gets the number of bytes read so
 * far.
 */
async function download(
	onData?: (bytes: number, response: IncomingMessage) => void,
): Promise<Download> {
	return new Promise(resolve => {
		const request = http.get({
			host: '127.0.0.1',
			port: fixture.listener.port,
			agent: false,
			headers: {'x-api-key': key},
		});
		let bytes = 0;
		let isExact = true;
		request.on('error', error => {
			resolve({bytes, isExact, error: error.message});
		});
		request.on('response', response => {
			response.on('data', (chunk: Uint8Array) => {
				for (let index = 0; index < chunk.length;) {
					const expected = readFilePiece(bytes + index, chunk.length - index);
					const part = chunk.subarray(index, index + expected.length);
					isExact &&= Buffer.compare(expected, part) === 0;
					index += expected.length;
				}

				bytes += chunk.length;
				onData?.(bytes, response);
			});
			response.on('error', error => {
				resolve({bytes, isExact, error: error.message});
			});
			response.on('end', () => {
				resolve({bytes, isExact, error: undefined});
			});
		});
	});
}

const completeDownload: Download = {bytes: size, isExact: true, error: undefined};
const stops = [
	['stalls', 'stall'],
	['is cut', 'cut'],
] as const;

test.each(stops)(
	'a download that %s resumes at another target, byte for byte',
	async (_name, stopWith) => {
		await start({routes: [route]});
		fixture.targets[0]!.setBehaviour({kind: 'file', size, stopAfter: 200_000, stopWith});
		fixture.targets[1]!.setBehaviour({kind: 'file', size, stopAfter: 100_000, stopWith});
		fixture.targets[2]!.setBehaviour(file);
		expect(await download()).toEqual(completeDownload);
		const ranges = fixture
			.received()
			.map(({rawHeaders}) => rawHeaders[rawHeaders.indexOf('range') + 1]);
		expect(ranges.slice(1)).toEqual(['bytes=200000-', 'bytes=300000-']);
		expect(fixture.state.counts.get('resumes')).toBe(2);
	},
);

test.each(stops)(
	'a chunked download that %s resumes at another target',
	async (_name, stopWith) => {
		await start({routes: [route]});
		fixture.targets[0]!.setBehaviour({
			kind: 'file',
			size,
			stopAfter: 200_000,
			stopWith,
			isChunked: true,
		});
		fixture.targets[1]!.setBehaviour({kind: 'file', size, isChunked: true});
		expect(await download()).toEqual(completeDownload);
	},
);

/** A partial response whose length agrees with its range. */
function createPartialContent(
	first: number,
	last: number,
	total: number,
	etag = '"file"',
): StandInTargetBehaviour {
	const length = last + 1 - first;
	const headers = {
		etag,
		'content-range': `bytes ${first}-${last}/${total}`,
		'content-length': String(length),
	};
	return {kind: 'answer', status: 206, headers, body: 'x'.repeat(length)};
}

const wholeRange = {etag: '"file"', 'content-range': `bytes 200000-${size - 1}/${size}`};

/** Responses that do not prove that they continue the beginning of the download. */
const wrongParts: ReadonlyArray<readonly [string, StandInTargetBehaviour]> = [
	['another tag', createPartialContent(200_000, size - 1, size, '"other"')],
	['a weak tag', createPartialContent(200_000, size - 1, size, 'W/"file"')],
	['another first byte', createPartialContent(200_001, size - 1, size)],
	['another last byte', createPartialContent(200_000, size - 2, size)],
	['another size', createPartialContent(200_000, size, size + 1)],
	[
		'a length that differs from its range',
		{
			kind: 'answer',
			status: 206,
			headers: {...wholeRange, 'content-length': '7'},
			body: 'x'.repeat(7),
		},
	],
	['no range', {kind: 'file', size, wrongRange: 'none'}],
	['status 200', {kind: 'file', size, etag: '"other"'}],
	['an error', {kind: 'answer', status: 500, body: 'x'}],
];

test.each(wrongParts)(
	'a continuation with %s is not appended; the response ends with a reset',
	async (_name, wrong) => {
		await start({routes: [route], targets: 2});
		fixture.targets[0]!.setBehaviour({kind: 'file', size, stopAfter: 200_000, stopWith: 'stall'});
		fixture.targets[1]!.setBehaviour(wrong);
		const result = await download();
		expect(result).toMatchObject({bytes: 200_000, isExact: true, error: resetError});
	},
);

test.each([7, 300_001])(
	'a chunked continuation of %d bytes instead of 300,000 does not complete a response',
	async length => {
		await start({routes: [route], targets: 2});
		fixture.targets[0]!.setBehaviour({
			kind: 'file',
			size,
			stopAfter: 200_000,
			stopWith: 'stall',
			isChunked: true,
		});
		fixture.targets[1]!.setBehaviour({
			kind: 'answer',
			status: 206,
			headers: wholeRange,
			body: 'x'.repeat(length),
		});
		const result = await download();
		expect(result.error).toEqual(anyError);
		expect(result.bytes).toBeLessThanOrEqual(size);
	},
);

const unsafeDownloads: ReadonlyArray<readonly [string, StandInTargetBehaviour]> = [
	['a weak tag', {kind: 'file', size, etag: 'W/"file"', stopAfter: 200_000, stopWith: 'stall'}],
	['an empty tag', {kind: 'file', size, etag: '', stopAfter: 200_000, stopWith: 'stall'}],
	[
		'a weak tag and chunks',
		{kind: 'file', size, etag: 'W/"file"', stopAfter: 200_000, stopWith: 'cut', isChunked: true},
	],
];

test.each(unsafeDownloads)(
	'a cut download with %s ends with a reset, never cleanly',
	async (_name, cut) => {
		await start({routes: [route]});
		fixture.targets[0]!.setBehaviour(cut);
		expect(await download()).toMatchObject({bytes: 200_000, isExact: true, error: resetError});
		expect(fixture.received()).toHaveLength(1);
		expect(fixture.state.counts.get('reset-answers incomplete-answer')).toBe(1);
	},
);

test('the cut response to a POST ends with a reset and is not resumed, even with a strong tag', async () => {
	await start({routes: [route]});
	fixture.target.setBehaviour({kind: 'file', size, stopAfter: 200_000, stopWith: 'cut'});
	const response = await send(fixture, {method: 'POST'});
	expect(response).toMatchObject({error: anyError});
	expect(fixture.received()).toHaveLength(1);
});

test('a download resumes no more often than the maximum of attempts allows', async () => {
	await start({targets: 4, routes: [route]});
	for (const target of fixture.targets) {
		target.setBehaviour({kind: 'file', size, stopAfter: 100_000, stopWith: 'cut'});
	}

	expect(await download()).toMatchObject({isExact: true, error: anyError});
	expect(fixture.received()).toHaveLength(3);
});

test('blank responses and unexpected types are replaced for a GET, and reported as run for a POST', async () => {
	const expectation = {smallestBody: 10, contentTypes: ['application/json']};
	await start({routes: [{...route, expectation}]});
	const unusableResponses: readonly StandInTargetBehaviour[] = [
		{kind: 'answer', headers: {'content-type': 'application/json'}, body: 'short'},
		{kind: 'answer', headers: {'content-type': 'text/html'}, body: 'a page of an error'},
		{kind: 'answer', status: 204},
	];
	for (const behaviour of unusableResponses) {
		fixture.target.setBehaviour(behaviour);
		expect(await send(fixture)).toMatchObject({status: 200, body: expect.stringContaining('GET')});
	}

	fixture.target.setBehaviour(unusableResponses[0]!);
	const response = await send(fixture, {method: 'POST'});
	expect(response.status).toBe(502);
	expect(problemOf(response)).toEqual({code: 'incomplete-answer', outcome: 'ran'});
});

test.each([4, 30_000])(
	'a body with a declared length of %i bytes is blank if the route expects more',
	async length => {
		const expectation = {smallestBody: 50_000, contentTypes: []};
		await start({routes: [{...route, expectation}]});
		const headers = {'content-length': String(length)};
		const short = {kind: 'answer', headers, body: 'a'.repeat(length)} as const;
		fixture.target.setBehaviour(short);
		fixture.targets[1]!.setBehaviour({kind: 'answer', body: 'b'.repeat(50_000)});
		expect(await send(fixture)).toMatchObject({status: 200, body: 'b'.repeat(50_000)});
		fixture.targets[1]!.setBehaviour(short);
		expect(await send(fixture, {method: 'POST'})).toMatchObject({status: 502});
	},
);

test('responses without a body, errors and ranges are not taken for blank ones', async () => {
	const expectation = {smallestBody: 10, contentTypes: ['application/json']};
	await start({routes: [{...route, expectation}]});
	const cases: ReadonlyArray<readonly [string, number]> = [
		['HEAD', 200],
		['GET', 304],
		['GET', 404],
		['GET', 206],
		['DELETE', 204],
		['POST', 201],
	];
	for (const [method, status] of cases) {
		const headers = {'content-type': 'application/json'};
		fixture.target.setBehaviour({kind: 'answer', status, headers});
		expect(await send(fixture, {method})).toMatchObject({status, error: undefined});
	}

	expect(fixture.targets[1]!.requests).toHaveLength(0);
});

test('a download for a withdrawn key is cut by a reset, and its connection is not reused', async () => {
	await start({routes: [route], hasManualClock: true});
	fixture.target.setBehaviour({kind: 'file', size, stopAfter: 200_000});
	const result = download(bytes => {
		if (bytes === 200_000) {
			fixture.withdrawKey();
			fixture.clock.advance(199);
			fixture.clock.advance(301);
		}
	});
	// The key check, every 500 ms, must end the download. The stall of the target alone would only
	// cause a resume at another target.
	expect(await result).toMatchObject({bytes: 200_000, error: resetError});
	expect(fixture.state.counts.get('reset-answers key-withdrawn')).toBe(1);
	await waitUntil(() => fixture.target.openConnections === 0);
	expect(problemOf(await send(fixture)).code).toBe('unknown-key');
});

test('a key that is withdrawn while its request waits for a slot gets no slot', async () => {
	await start();
	const {acquireSlot} = fixture.policy;
	Object.assign(fixture.policy, {
		async acquireSlot(request: Parameters<typeof acquireSlot>[0]) {
			fixture.withdrawKey();
			return acquireSlot(request);
		},
	});
	expect(problemOf(await send(fixture))).toEqual({code: 'unknown-key', outcome: 'not-run'});
	expect(fixture.received()).toHaveLength(0);
});

test('a key that is withdrawn before the head of a response ends the request', async () => {
	await start({hasManualClock: true});
	fixture.target.setBehaviour({kind: 'stall'});
	const response = send(fixture, {method: 'POST'});
	await waitUntil(() => fixture.received().length === 1);
	fixture.withdrawKey();
	fixture.clock.advance(500);
	expect(problemOf(await response)).toEqual({code: 'unknown-key', outcome: 'may-have-run'});
});

test('a caller that reads nothing is reset instead of holding its slot', async () => {
	await start({listener: {limits: {callerStallTimeout: 200}}});
	fixture.target.setBehaviour({kind: 'file', size: 100_000_000});
	let paused: IncomingMessage | undefined;
	const result = download((_bytes, response) => {
		paused ??= response.pause();
	});
	await waitUntil(() => fixture.state.outcomes.length > 0);
	paused!.resume();
	expect(await result).toMatchObject({isExact: true, error: anyError});
	expect(fixture.state.outcomes[0]!.result).toBe('cancelled');
});

test('trailers and repeated headers of a response reach the caller', async () => {
	await start();
	fixture.target.setBehaviour({
		kind: 'raw',
		bytes:
			'HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: X-Hop\r\nX-Hop: 1\r\n' +
			'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 7\r\nSet-Cookie: c=3\r\n\r\n',
	});
	const text = await sendRaw(
		fixture,
		`GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nConnection: close\r\n\r\n`,
	);
	expect(text).toContain('Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n');
	expect(text).not.toContain('X-Hop');
	// Trailers that change cookies or framing are removed.
	expect(text).toMatch(/\r\n0\r\nX-Sum: 7\r\n\r\n$/);
});

test('the cut GET of a route that does not list it as idempotent is not resumed', async () => {
	await start({routes: [{...route, idempotentMethods: []}]});
	fixture.targets[0]!.setBehaviour({kind: 'file', size, stopAfter: 200_000, stopWith: 'stall'});
	expect(await download()).toMatchObject({bytes: 200_000, error: resetError});
	expect(fixture.received()).toHaveLength(1);
});

test('a slow but steady response is not taken for a stalled one', async () => {
	await start({routes: [route], hasManualClock: true});
	const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
	fixture.target.setBehaviour({kind: 'raw', bytes: `${head}1\r\nx\r\n`});
	const seen = {bytes: 0};
	const isSeen = (count: number) => () => seen.bytes === count;
	const result = download(bytes => {
		seen.bytes = bytes;
	});
	for (let count = 1; count <= 4; count++) {
		await waitUntil(isSeen(count));
		fixture.clock.advance(150);
		fixture.received()[0]!.socket.write(count < 4 ? '1\r\nx\r\n' : '0\r\n\r\n');
	}

	expect(await result).toMatchObject({bytes: 4, error: undefined});
});

test('a download whose grant expires resumes under another grant', async () => {
	await start({routes: [{...route, stallTimeout: 3_600_000}]});
	const controllers: AbortController[] = [];
	const {acquireSlot} = fixture.policy;
	Object.assign(fixture.policy, {
		async acquireSlot(request: Parameters<typeof acquireSlot>[0]) {
			const controller = new AbortController();
			controllers.push(controller);
			const grant = await acquireSlot(request);
			return {...grant, signal: controller.signal};
		},
	});
	fixture.targets[0]!.setBehaviour({kind: 'file', size, stopAfter: 200_000, stopWith: 'stall'});
	fixture.targets[1]!.setBehaviour(file);
	const result = download(bytes => {
		if (bytes === 200_000) {
			controllers[0]!.abort();
		}
	});
	expect(await result).toEqual(completeDownload);
	expect(fixture.state.outcomes.map(outcome => outcome.result)).toEqual(['cancelled', 'ok']);
});

test.each([
	['of declared length', 'HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nContent-Length: 4\r\n\r\n'],
	['in chunks', 'HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n'],
	['without a length', 'HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\n\r\n'],
])('a response %s that ends within its head is no success', async (_framing, head) => {
	await start({targets: 1, listener: {dialect: {...defaultDialect, acceptsUnframed: true}}});
	for (let length = 0; length < head.length; length++) {
		fixture.target.queueBehaviours({kind: 'raw', bytes: head.slice(0, length), ends: true});
		const response = await send(fixture, {method: 'POST', body: 'swap'});
		expect([length, response.status]).toEqual([length, 502]);
		expect(problemOf(response).outcome).toBe('may-have-run');
	}
});
