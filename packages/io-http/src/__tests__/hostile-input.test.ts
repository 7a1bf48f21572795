/**
 * Guards against request smuggling and exhaustion. If proxy and target read a malformed request
 * differently, a caller can hide a second request in it or reach a route that it may not use; an
 * oversized or slow request occupies memory and connections. Such requests must reach no target.
 */
import net from 'node:net';
import process from 'node:process';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {createFixture, key, pick, send, sendRaw, waitUntil, type Fixture} from './support.js';

let fixture: Fixture;

beforeEach(async () => {
	fixture = await createFixture({
		targets: 1,
		routes: [
			{id: 'open', pathPrefix: '/', service: 'roster', open: true, largestRequestBody: 100_000},
			{id: 'admin', pathPrefix: '/admin', service: 'roster'},
		],
		listener: {limits: {headersTimeout: 300, requestTimeout: 1000, bodyIdleTimeout: 300}},
	});
});

afterEach(async () => {
	expect(fixture.received()).toHaveLength(0);
	await fixture.stop();
	expect(fixture.state.internalErrors).toEqual([]);
});

const head = 'POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n';
const bodyless = 'GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n';
const getLine = (url: string) => `GET ${url} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`;

/** Requests that two servers could read differently, or that cost too much. */
const hostileRequests: ReadonlyArray<readonly [string, string, string]> = [
	[
		'both lengths',
		`${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
		'ambiguous-framing',
	],
	['two lengths', `${head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`, 'ambiguous-framing'],
	[
		'equal lengths',
		`${head}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`,
		'ambiguous-framing',
	],
	['list of lengths', `${head}Content-Length: 3, 3\r\n\r\nabc`, 'ambiguous-framing'],
	['length with sign', `${head}Content-Length: +3\r\n\r\nabc`, 'ambiguous-framing'],
	[
		'second coding',
		`${head}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
		'ambiguous-framing',
	],
	[
		'two codings',
		`${head}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
		'ambiguous-framing',
	],
	['folded line', `${bodyless}X: a\r\n b\r\n\r\n`, 'malformed-request'],
	['folded first line', 'GET /a HTTP/1.1\r\n X: b\r\nHost: a\r\n\r\n', 'malformed-request'],
	['bare LF', 'GET /a HTTP/1.1\nHost: a\n\n', 'malformed-request'],
	['bare LF in a header', `${bodyless}X: a\nY: b\r\n\r\n`, 'malformed-request'],
	['bare CR', `${bodyless}X: a\rb\r\n\r\n`, 'malformed-request'],
	['NUL', `${bodyless}X: a\0b\r\n\r\n`, 'malformed-request'],
	['space before colon', `${bodyless}X : a\r\n\r\n`, 'malformed-request'],
	['empty header name', `${bodyless}: a\r\n\r\n`, 'malformed-request'],
	['space in a header name', `${bodyless}X y: z\r\n\r\n`, 'malformed-request'],
	['tab before colon', `${bodyless}X\t: a\r\n\r\n`, 'malformed-request'],
	[
		'unexpected expectation with a malformed name',
		`${bodyless}Expect: 200-ok\r\nX : a\r\n\r\n`,
		'malformed-request',
	],
	['header count', `${bodyless}${'X: a\r\n'.repeat(200)}\r\n`, 'headers-too-large'],
	['header bytes', `${bodyless}X: ${'a'.repeat(20_000)}\r\n\r\n`, 'headers-too-large'],
	['long URL', getLine(`/${'a'.repeat(9000)}`), 'url-too-long'],
	['bad percent-encoding', getLine('/%zz'), 'invalid-target'],
	['bad percent-encoding in the query', getLine('/a?b=%2'), 'invalid-target'],
	['overlong UTF-8', getLine('/%c0%ae%c0%ae/admin'), 'invalid-target'],
	['encoded slash', getLine('/x%2fadmin'), 'invalid-target'],
	['encoded backslash', getLine('/x%5Cadmin'), 'invalid-target'],
	['encoded NUL', getLine('/admin%00'), 'invalid-target'],
	['encoded line break', getLine('/a%0d%0aX:b'), 'invalid-target'],
	['dot segment', getLine('/x/../admin'), 'invalid-target'],
	['encoded dot segment', getLine('/x/%2e%2E/admin'), 'invalid-target'],
	['dot segment with parameter', getLine('/x/..;a/admin'), 'invalid-target'],
	['merged slashes of another route', getLine('//admin'), 'invalid-target'],
	['backslash', getLine(String.raw`/x\admin`), 'invalid-target'],
	['fragment', getLine('/a#b'), 'invalid-target'],
	['fragment in the query', getLine('/a?b#c'), 'invalid-target'],
	['absolute form', getLine('http://b/a'), 'invalid-target'],
	['asterisk form', 'OPTIONS * HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', 'invalid-target'],
	['no Host', 'GET /a HTTP/1.1\r\n\r\n', 'invalid-host'],
	['two Hosts', `${bodyless}Host: a\r\n\r\n`, 'invalid-host'],
	['Host with path', 'GET /a HTTP/1.1\r\nHost: a/admin\r\n\r\n', 'invalid-host'],
	['HTTP/1.0', 'GET /a HTTP/1.0\r\nHost: a\r\n\r\n', 'version-refused'],
	['HTTP/0.9', 'GET /a\r\n\r\n', 'version-refused'],
	['HTTP/2 preface', 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 'malformed-request'],
	[
		'upgrade',
		'GET /a HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n',
		'upgrade-refused',
	],
	['CONNECT', 'CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n', 'method-refused'],
	['TRACE', 'TRACE /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n', 'method-refused'],
	['unknown expectation', `${bodyless}Expect: 200-ok\r\n\r\n`, 'expectation-refused'],
	['declared body too large', `${head}Content-Length: 100001\r\n\r\n`, 'body-too-large'],
	['slow headers', 'GET /a HTTP/1.1\r\nHost: a\r\n', 'request-timeout'],
	['slow body', `${head}Content-Length: 5\r\n\r\nab`, 'request-timeout'],
];

test.each(hostileRequests)(
	'%s is refused, counted and not forwarded',
	async (_name, bytes, code) => {
		const response = await sendRaw(fixture, bytes);
		expect(response).toMatch(/^HTTP\/1\.1 [45]\d\d /);
		expect(response).toContain('application/problem+json');
		expect(response).toContain(`"code":"${code}","outcome":"not-run"`);
		expect(response.match(/HTTP\/1\.1 \d{3} /g)).toHaveLength(1);
		expect(fixture.state.counts.get(`refusals ${code}`)).toBe(1);
	},
);

/**
 * Bodies that turn out to be malformed after the head. The request may be in progress by then, so
 * the connection may end without a response.
 */
const brokenBodies: ReadonlyArray<readonly [string, string]> = [
	['bare LF in a chunk size', '1\na\r\n0\r\n\r\n'],
	['bad chunk size', 'zz\r\na\r\n0\r\n\r\n'],
	['chunk longer than its size', '1\r\nabc\r\n0\r\n\r\n'],
	['folded trailer', '1\r\na\r\n0\r\nX: a\r\n b\r\n\r\n'],
	['huge chunk size', 'fffffffffffffffff\r\na\r\n0\r\n\r\n'],
];

test.each(brokenBodies)('a chunked body with a %s is not forwarded', async (_name, body) => {
	const response = await sendRaw(fixture, `${head}Transfer-Encoding: chunked\r\n\r\n${body}`);
	expect(response === '' || /^HTTP\/1\.1 4\d\d /.test(response)).toBe(true);
});

test('an unknown transfer coding, which the parser finds after the head, gets one response', async () => {
	const response = await sendRaw(fixture, `${head}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`);
	expect(response).toContain('"code":"ambiguous-framing"');
	expect(response.match(/HTTP\/1\.1 \d{3} /g)).toHaveLength(1);
});

const ambiguousHeads: ReadonlyArray<readonly [string, string]> = [
	['framing', 'POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'],
	['hosts', 'GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n'],
];

test.each(ambiguousHeads)(
	'a request behind one with ambiguous %s is not run',
	async (_name, bytes) => {
		const response = await sendRaw(fixture, `${bytes}GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n`);
		expect(response.match(/HTTP\/1\.1 \d{3} /g)).toHaveLength(1);
		expect(response).toContain('connection: close');
		expect(fixture.state.admitted).toBe(0);
	},
);

test('a connection stays open after a refusal if the start of the next request is certain', async () => {
	const refused = 'GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n';
	const next = 'GET /admin HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';
	const response = await sendRaw(fixture, refused + next);
	expect(response).toMatch(/"code":"invalid-target".*"code":"missing-key"/s);
});

test('headers are counted beyond the number after which the parser would drop them', async () => {
	const localFixture = await createFixture({
		targets: 1,
		listener: {limits: {maxHeaderCount: 2050}},
	});
	const lines = 'X:\r\n'.repeat(2100);
	expect(await sendRaw(localFixture, `${bodyless}${lines}\r\n`)).toContain(
		'"code":"headers-too-large"',
	);
	await localFixture.stop();
});

test('the connection closes after a refused body that is too large to read', async () => {
	const text = 'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n';
	const response = await sendRaw(fixture, text);
	expect(response).toContain('"code":"body-too-large"');
	expect(response).toContain('connection: close');
	expect(response.match(/HTTP\/1\.1 \d{3} /g)).toHaveLength(1);
});

test('a chunked body above the limit that is being streamed ends at the target unfinished', async () => {
	const routes = [{id: 'main', pathPrefix: '/', service: 'roster', largestRequestBody: 200_000}];
	const localFixture = await createFixture({targets: 1, routes});
	const chunk = `8000\r\n${'a'.repeat(0x80_00)}\r\n`;
	const text = `POST / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const response = await sendRaw(localFixture, `${text}${chunk.repeat(8)}0\r\n\r\n`);
	expect(response).toContain('"code":"body-too-large","outcome":"may-have-run"');
	expect(localFixture.received().every(({isComplete}) => !isComplete)).toBe(true);
	await localFixture.stop();
});

test('a chunked body above the limit of its route is refused while it is read', async () => {
	const chunk = `8000\r\n${'a'.repeat(0x80_00)}\r\n`;
	const limits = {maxBufferedRequestBytes: 1_000_000};
	const localFixture = await createFixture({
		targets: 1,
		routes: [{id: 'main', pathPrefix: '/', service: 'roster', largestRequestBody: 100_000}],
		listener: {limits},
	});
	const text = `POST / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	expect(await sendRaw(localFixture, text + chunk.repeat(4))).toContain('"code":"body-too-large"');
	expect(localFixture.received()).toHaveLength(0);
	await localFixture.stop();
});

// Guards against a process that holds all requests that a caller sends ahead: they wait unparsed.
test('pipelined requests above the limit wait, and all are answered in order', async () => {
	const localFixture = await createFixture({
		targets: 1,
		listener: {limits: {maxPipelinedRequests: 4}},
	});
	const pad = 'p'.repeat(1000);
	const requests = Array.from(
		{length: 40},
		(_, index) => `GET /${index} HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nX-Pad: ${pad}\r\n\r\n`,
	);
	for (let index = 0; index < 4; index++) {
		localFixture.target.queueBehaviours({kind: 'wait'});
	}

	const response = sendRaw(localFixture, requests.join(''));
	await waitUntil(() => localFixture.received().length === 4);
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	// The heads are larger than the part that is parsed at once, so the bound is exact here.
	expect(localFixture.received()).toHaveLength(4);
	localFixture.target.releaseWaitingRequests();
	await waitUntil(() => localFixture.received().length === 40);
	const answers = await response;
	expect(answers.match(/HTTP\/1\.1 200/g)).toHaveLength(40);
	const paths = [...answers.matchAll(/"url":"\/(?<index>\d+)"/g)];
	expect(paths.map(match => Number(match.groups!.index))).toEqual([...requests.keys()]);
	expect(localFixture.state.counts.get('closed-connections memory')).toBeUndefined();
	await localFixture.stop();
});

// Guards against a count of bytes only: 2,000 chunks of 1 byte took 250 times their bytes.
test('a body in chunks of one byte reaches the target whole', async () => {
	const localFixture = await createFixture({targets: 1});
	const head = `POST / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const digits = Array.from({length: 2000}, (_, index) => String(index % 10));
	const chunks = digits.map(digit => `1\r\n${digit}\r\n`).join('');
	expect(await sendRaw(localFixture, `${head}${chunks}0\r\n\r\n`)).toContain('HTTP/1.1 200');
	expect(localFixture.received()).toMatchObject([{isComplete: true, body: digits.join('')}]);
	await localFixture.stop();
});

// Guards against unread bodies that use up the memory while the process goes on taking more.
test('of callers that leave bodies unfinished, those that hold most are closed, others are served', async () => {
	const localFixture = await createFixture({
		targets: 1,
		listener: {limits: {maxHeldBytes: 1_000_000}},
	});
	const head = `POST / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const body = `ea60\r\n${'a'.repeat(60_000)}\r\n`;
	const hostile = Array.from({length: 20}, async () => sendRaw(localFixture, head + body));
	await waitUntil(() => (localFixture.state.counts.get('closed-connections memory') ?? 0) >= 8);
	expect(await send(localFixture)).toMatchObject({status: 200});
	expect(localFixture.state.counts.get('memory-shortages')).toBeGreaterThan(0);
	await localFixture.stop();
	await Promise.all(hostile);
});

test('a malformed request behind one in progress gets no response that could be taken for the first', async () => {
	const localFixture = await createFixture({targets: 1});
	localFixture.target.setBehaviour({kind: 'wait'});
	const valid = `GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\n\r\n`;
	const response = sendRaw(localFixture, `${valid}GET / HTTP/1.1\nHost: a\n\n`);
	await waitUntil(() => localFixture.received().length === 1);
	localFixture.target.releaseWaitingRequests();
	const text = await response;
	const [head, ...others] = text.split('HTTP/1.1 ').slice(1);
	expect(head).toMatch(/^200 OK\r\n[^]*"method":"GET","url":"\/"/);
	expect(others).toEqual([]);
	await localFixture.stop();
});

/** Puts one fault at a random place of a request that is otherwise valid. */
function createMalformedRequest(random: Random): string {
	const digits = () => String(Math.floor(random() * 10_000));
	const fillers = ['Accept: */*', 'X-Note: 1', `X-Number: ${digits()}`, 'User-Agent: test'];
	const lines = Array.from({length: Math.floor(random() * 6)}, () => pick(random, fillers));
	const control = String.fromCodePoint(pick(random, [0, 1, 2, 8, 11, 12, 14, 27, 31, 127]));
	const badLines = [
		`Content-Length: ${digits()}x`,
		`Content-Length: -${digits()}`,
		`Content-Length: ${digits()},${digits()}`,
		'Content-Length: 1\r\nContent-Length: 2',
		'Content-Length: 1\r\nTransfer-Encoding: chunked',
		`Transfer-Encoding: ${pick(random, ['gzip', 'identity', 'chunked, gzip', '"chunked"', 'chunked;a=b', ',chunked'])}`,
		`X-Folded: a\r\n${pick(random, [' ', '\t'])}b`,
		`X-Bare: a${pick(random, ['\r', '\n'])}b: c`,
		`X-Control: a${control}b`,
		`X${pick(random, [' ', '(', '"', '\t', control])}Name: a`,
		': nameless',
		'no-colon',
		'Host: b',
	];
	const badUrls = [
		`/${digits()}/%${pick(random, ['zz', '0', '2', 'g1', '%%'])}`,
		`/${digits()}/${pick(random, ['..', '.', '%2e%2e', '.%2E', '%2e', '..;x'])}/admin`,
		`/${digits()}${pick(random, ['%2f', '%2F', '%5c', '%00', '%0a', '%7f'])}admin`,
		`/${pick(random, ['<', '>', '"', '{', '}', '|', '^', '`', '\\', '#', '\u00E9'])}`,
		`http://b/${digits()}`,
		`//${pick(random, ['', '/'])}admin`,
		'*',
	];
	const isUrlBad = random() < 0.4;
	const url = isUrlBad ? pick(random, badUrls) : `/${digits()}`;
	lines.splice(
		Math.floor(random() * (lines.length + 1)),
		0,
		isUrlBad ? 'X: a' : pick(random, badLines),
	);
	return `${pick(random, ['GET', 'POST', 'PUT'])} ${url} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${lines.join('\r\n')}\r\n\r\n`;
}

async function sendAll(texts: readonly string[]): Promise<string[]> {
	return Promise.all(texts.map(async text => sendRaw(fixture, text)));
}

test('none of 3,000 malformed requests is forwarded, and each is refused or closed', async () => {
	const random = createSeededRandom(Number(process.env.SHALLOTPOND_TEST_SEED ?? 20_261_204));
	const rounds = Number(process.env.SHALLOTPOND_TEST_ROUNDS ?? 60);
	for (let round = 0; round < rounds; round++) {
		const requests = Array.from({length: 50}, () => createMalformedRequest(random));
		const responses = await sendAll(requests);
		for (const [index, response] of responses.entries()) {
			const isRefused = response === '' || /^HTTP\/1\.1 (?:400|408|431|501|505) /.test(response);
			expect(isRefused ? '' : requests[index]! + response).toBe('');
		}
	}
});

test('random bytes neither stop the listener nor reach a target', async () => {
	const random = createSeededRandom(7);
	for (let round = 0; round < 10; round++) {
		const texts = Array.from({length: 50}, () =>
			String.fromCodePoint(...Array.from({length: 200}, () => Math.floor(random() * 256))),
		);
		await sendAll(texts);
	}

	expect(await send(fixture, {path: '/admin', headers: {}})).toMatchObject({status: 401});
});

test('the connection of a caller that sends nothing is closed', async () => {
	const socket = net.connect(fixture.listener.port, '127.0.0.1');
	socket.on('error', () => undefined).resume();
	await waitUntil(() => socket.destroyed);
});

test('a body that stops while it is streamed ends at the target unfinished, and is reported so', async () => {
	const localFixture = await createFixture({
		targets: 1,
		listener: {limits: {bodyIdleTimeout: 200}},
	});
	const text = `POST / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nContent-Length: 200000\r\n\r\n`;
	const response = await sendRaw(localFixture, text + 'a'.repeat(100_000));
	expect(response).toContain('"code":"request-timeout","outcome":"may-have-run"');
	expect(localFixture.received()).toMatchObject([{isComplete: false}]);
	await localFixture.stop();
});

test('connections above the limit are closed and counted', async () => {
	const localFixture = await createFixture({
		targets: 1,
		listener: {limits: {maxCallerConnections: 1}},
	});
	localFixture.target.queueBehaviours({kind: 'wait'});
	const first = send(localFixture);
	await waitUntil(() => localFixture.received().length === 1);
	const second = await send(localFixture);
	expect(second.error).toBeDefined();
	expect(localFixture.state.counts.get('closed-connections too-many')).toBe(1);
	localFixture.target.releaseWaitingRequests();
	expect(await first).toMatchObject({status: 200});
	await localFixture.stop();
});

// Guards against unfinished requests that take all places, so that ordinary callers find none.
test('when all places are taken, the oldest connection that can be spared gives up its place', async () => {
	const localFixture = await createFixture({
		targets: 1,
		hasManualClock: true,
		listener: {limits: {maxCallerConnections: 3}},
	});
	localFixture.target.queueBehaviours({kind: 'wait'});
	const busy = send(localFixture);
	await waitUntil(() => localFixture.received().length === 1);
	const unfinished = sendRaw(localFixture, 'GET / HTTP/1.1\r\nHost: a\r\n');
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	localFixture.clock.advance(1001);
	expect(await send(localFixture)).toMatchObject({status: 200});
	expect(await unfinished).toBe('');
	expect(localFixture.state.counts.get('closed-connections no-place')).toBe(1);
	localFixture.target.releaseWaitingRequests();
	expect(await busy).toMatchObject({status: 200});
	await localFixture.stop();
});
