/**
 * Guards against targets that learn the key of a caller. A request may carry the key in several
 * headers or in the query, and copies of it in cookies, trailers and other headers.
 */
import {Buffer} from 'node:buffer';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {containsKey, findCallerKey, removeKeyParameter} from '../caller-key.js';
import {createFixture, key, otherKey, problemOf, send, sendRaw, type Fixture} from './support.js';

let fixture: Fixture;

beforeEach(async () => {
	fixture = await createFixture({
		targets: 1,
		routes: [
			{id: 'main', pathPrefix: '/', service: 'roster', keyQueryParameter: 'apikey'},
			{id: 'open', pathPrefix: '/open', service: 'roster', open: true},
		],
	});
});

afterEach(async () => {
	// Headers of the stand-in are Latin-1 as received, so a search finds the key in any of them.
	expect(fixture.target.receivedText().toLowerCase()).not.toContain(key);
	await fixture.stop();
});

const encodedKey = [...key].map(char => `%${char.codePointAt(0)!.toString(16)}`).join('');

/** The places in which a target could see the key of the caller. */
const carriers: ReadonlyArray<readonly [string, string, string]> = [
	['bearer', '/a', `Authorization: Bearer ${key}`],
	['bearer in capitals', '/a', `AUTHORIZATION: BEARER ${key}`],
	['key header', '/a', `X-Api-Key: ${key}`],
	['duplicate key headers', '/a', `X-Api-Key: ${key}\r\nX-Api-Key: ${key}`],
	['both headers', '/a', `X-Api-Key: ${key}\r\nAuthorization: Bearer ${key}`],
	['proxy authorization', '/a', `X-Api-Key: ${key}\r\nProxy-Authorization: Bearer ${key}`],
	['query parameter', `/a?b=1&apikey=${key}&c=2`, 'X: y'],
	['repeated query parameter', `/a?apikey=${key}&apikey=${key}`, 'X: y'],
	['encoded query parameter', `/a?%61pikey=${encodedKey}`, 'X: y'],
	['cookie', '/a', `X-Api-Key: ${key}\r\nCookie: a=1; k=${key}; b=2`],
	['encoded cookie', '/a', `X-Api-Key: ${key}\r\nCookie: k=${encodedKey}`],
	['referer', '/a', `X-Api-Key: ${key}\r\nReferer: http://b/?apikey=${key}`],
	['encoded header value', '/a', `X-Api-Key: ${key}\r\nX-From: ${encodedKey}`],
	['custom header', '/a', `X-Api-Key: ${key}\r\nX-Custom: a ${key} b`],
	['header name', '/a', `X-Api-Key: ${key}\r\nX-${key}: 1`],
	['header with underscores', '/a', `X-Api-Key: ${key}\r\nX_Api_Key: ${key}`],
	['forwarded header', '/a', `X-Api-Key: ${key}\r\nX-Forwarded-For: ${key}`],
	['deadline header', '/a', `X-Api-Key: ${key}\r\nX-Request-Deadline: ${key}`],
	['trace header', '/a', `X-Api-Key: ${key}\r\nTraceparent: ${key}`],
	['key on an open route', '/open', `X-Api-Key: ${key}\r\nX-Copy: ${key}`],
];

test.each(carriers)('no target sees the key in a %s', async (_name, url, headers) => {
	const response = await sendRaw(
		fixture,
		`GET ${url} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n${headers}\r\n\r\n`,
	);
	expect(response).toMatch(/^HTTP\/1\.1 200 /);
	expect(fixture.received()).toHaveLength(1);
});

test('no target sees the key in trailers, nor any trailer', async () => {
	const response = await sendRaw(
		fixture,
		`POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Api-Key: ${key}\r\nTrailer: X-Api-Key\r\n` +
			`Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Api-Key: ${key}\r\nX-Copy: ${key}\r\n\r\n`,
	);
	expect(response).toMatch(/^HTTP\/1\.1 200 /);
	expect(fixture.received()[0]).toMatchObject({body: 'a', rawTrailers: []});
});

test('trailers of a body that is streamed are not forwarded either', async () => {
	const chunk = `8000\r\n${'a'.repeat(0x80_00)}\r\n`;
	const response = await sendRaw(
		fixture,
		`POST /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Api-Key: ${key}\r\n` +
			`Transfer-Encoding: chunked\r\n\r\n${chunk.repeat(8)}0\r\nX-Api-Key: ${key}\r\n\r\n`,
	);
	expect(response).toMatch(/^HTTP\/1\.1 200 /);
	expect(fixture.received()[0]).toMatchObject({rawTrailers: [], isComplete: true});
	expect(fixture.received()[0]!.body).toHaveLength(8 * 0x80_00);
});

test('credential headers are removed in every form, also where they do not contain the key', async () => {
	const hidden = Buffer.from(`reed:${key}`).toString('base64');
	await send(fixture, {
		headers: {
			'x-api-key': key,
			authorization: `Basic ${hidden}`,
			'proxy-authorization': `Basic ${hidden}`,
			...Object.fromEntries([['x_api_key', hidden]]),
		},
	});
	expect(fixture.target.receivedText()).not.toContain(hidden);
	expect(fixture.received()).toHaveLength(1);
});

test('a key in the path or in another parameter is refused, since it cannot be removed', async () => {
	for (const path of [`/a/${key}`, `/a?b=${key}`, `/a?b=${encodedKey}`]) {
		expect(problemOf(await send(fixture, {path}))).toEqual({
			code: 'misplaced-key',
			outcome: 'not-run',
		});
	}

	expect(fixture.received()).toHaveLength(0);
});

test('two different keys are refused, because the order of headers must not decide who is charged', async () => {
	const pairs = [
		{headers: {'x-api-key': key, authorization: `Bearer ${otherKey}`}},
		{headers: {'x-api-key': [key, otherKey]}},
		{headers: {'x-api-key': key}, path: `/?apikey=${otherKey}`},
		{path: `/?apikey=${key}&apikey=${otherKey}`},
	];
	for (const options of pairs) {
		expect(problemOf(await send(fixture, options)).code).toBe('ambiguous-key');
	}

	expect(fixture.received()).toHaveLength(0);
});

test('parameters, cookies and headers that do not contain the key are forwarded unchanged', async () => {
	await send(fixture, {
		path: `/a?b=%20x&apikey=${key}&c=+`,
		headers: {cookie: `a=1; k=${key}; b=2`, 'x-note': 'kept'},
	});
	const {url, rawHeaders} = fixture.received()[0]!;
	expect(url).toBe('/a?b=%20x&c=+');
	expect(rawHeaders).toEqual(expect.arrayContaining(['cookie', 'a=1; b=2', 'x-note', 'kept']));
});

test('hop-by-hop headers and forged client headers are removed, and the deadline is forwarded', async () => {
	await sendRaw(
		fixture,
		[
			'GET /a HTTP/1.1',
			'Host: card.example:81',
			'Connection: close, X-Hop',
			`X-Api-Key: ${key}`,
			'X-Hop: 1',
			'Keep-Alive: timeout=9',
			'TE: trailers',
			'Proxy-Connection: keep-alive',
			'Forwarded: for=9.9.9.9',
			'X-Forwarded-For: 9.9.9.9',
			'X_Forwarded_For: 9.9.9.9',
			'X-Real-IP: 9.9.9.9',
			'X-Request-Deadline: 700',
			'',
			'',
		].join('\r\n'),
	);
	const {rawHeaders} = fixture.received()[0]!;
	const headers = new Map<string, string>();
	for (let index = 0; index < rawHeaders.length; index += 2) {
		headers.set(rawHeaders[index]!.toLowerCase(), rawHeaders[index + 1]!);
	}

	expect(Object.fromEntries(headers)).toEqual({
		host: 'card.example:81',
		forwarded: 'for=127.0.0.1;host="card.example:81";proto=http',
		'x-forwarded-for': '127.0.0.1',
		'x-forwarded-host': 'card.example:81',
		'x-forwarded-proto': 'http',
		'x-request-deadline': expect.stringMatching(/^[1-6]?\d?\d$|^700$/),
		connection: 'keep-alive',
	});
});

test('the client headers of a trusted forwarder are kept', async () => {
	const localFixture = await createFixture({
		targets: 1,
		listener: {isTrustedForwarder: address => address === '127.0.0.1'},
	});
	await send(localFixture, {
		headers: {'x-api-key': key, 'x-forwarded-for': '9.9.9.9', 'x-forwarded-proto': 'https'},
	});
	expect(localFixture.received()[0]!.rawHeaders).toEqual(
		expect.arrayContaining(['x-forwarded-for', '9.9.9.9, 127.0.0.1', 'x-forwarded-proto', 'https']),
	);
	await localFixture.stop();
});

test('the key is found in each form, and the parameter is removed under each spelling', () => {
	expect(findCallerKey(['Authorization', `bearer  ${key} `], '', undefined)).toEqual({
		kind: 'found',
		key,
	});
	expect(findCallerKey(['Authorization', 'Basic abc'], '', undefined)).toEqual({kind: 'none'});
	expect(findCallerKey([], `apikey=${key}`, undefined)).toEqual({kind: 'none'});
	expect(removeKeyParameter(`apikey&a=1&%61pikey=2&apike+y=3`, 'apikey')).toBe('a=1&apike+y=3');
	expect(containsKey('100%', 'secret')).toBe(false);
});
