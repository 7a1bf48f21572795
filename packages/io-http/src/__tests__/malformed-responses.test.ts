/**
 * Guards against responses of targets whose bytes two parsers read differently. A caller must never
 * get such a response as if it were the target's whole response, and it must not count as an error
 * of the proxy. The bytes are sent raw, so that the verdict does not depend on the parser.
 */
import process from 'node:process';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {createFixture, key, pick, send, sendRaw, waitUntil, type Fixture} from './support.js';

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

const malformedResponses: ReadonlyArray<readonly [string, string]> = [
	['space before colon', `${head}X : a\r\n\r\nok`],
	['empty header name', `${head}: a\r\n\r\nok`],
	['space in a header name', `${head}X y: a\r\n\r\nok`],
	['tab before colon', `${head}X\t: a\r\n\r\nok`],
	['near miss of a length', `${head}Content-Length : 9\r\n\r\nok`],
	['near miss of a coding', `${head}Transfer-Encoding : chunked\r\n\r\nok`],
	['NUL in a value', `${head}X: a\0b\r\n\r\nok`],
	['escape character in a value', `${head}X: a\u001Bb\r\n\r\nok`],
	['bare CR in a value', `${head}X: a\rb\r\n\r\nok`],
	['bare LF', 'HTTP/1.1 200 OK\nContent-Length: 2\n\nok'],
	['folded line', `${head}X: a\r\n b\r\n\r\nok`],
	['line without a colon', `${head}X\r\n\r\nok`],
	['two lengths', `${head}Content-Length: 3\r\n\r\nok`],
	['equal lengths', `${head}Content-Length: 2\r\n\r\nok`],
	['length with sign', 'HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok'],
	['list of lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok'],
	['both lengths', `${chunkedHead}Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n`],
	['second coding', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n'],
	['unknown coding', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n'],
	['bad chunk size', `${chunkedHead}\r\nzz\r\nok\r\n0\r\n\r\n`],
	['chunk longer than its size', `${chunkedHead}\r\n1\r\nok\r\n0\r\n\r\n`],
	['bare LF after a chunk size', `${chunkedHead}\r\n2\nok\r\n0\r\n\r\n`],
	['huge chunk size', `${chunkedHead}\r\nfffffffffffffffff\r\nok\r\n0\r\n\r\n`],
	['folded trailer', `${chunkedHead}\r\n2\r\nok\r\n0\r\nX: a\r\n b\r\n\r\n`],
	['status of two digits', 'HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok'],
	['status of four digits', 'HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok'],
	['another version', 'HTTP/3.7 200 OK\r\nContent-Length: 2\r\n\r\nok'],
	['another protocol', 'SSH-2.0-x\r\n\r\n'],
	['malformed interim response', `HTTP/1.1 103 Hints\r\nX : a\r\n\r\n${head}\r\nok`],
];

test.each(malformedResponses)(
	'a response with %s reaches no caller as complete and is no internal error',
	async (_name, bytes) => {
		fixture.target.setBehaviour({kind: 'raw', bytes, ends: true});
		const response = await sendRaw(
			fixture,
			`GET /a HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nConnection: close\r\n\r\n`,
		);
		expect(response).not.toMatch(/^HTTP\/1\.1 2/);
		expect(response === '' || /^HTTP\/1\.1 50[24] /.test(response)).toBe(true);
		expect(response).not.toContain('"not-run"');
	},
);

test.each(['X : a', ': a', 'X y: a'])(
	'a response that has begun does not look complete if its trailer is %j',
	async trailer => {
		fixture.target.setBehaviour({kind: 'raw', bytes: `${chunkedHead}\r\n2\r\nok\r\n`});
		let received = '';
		const sent = send(fixture, {
			onData(text) {
				received += text;
			},
		});
		await waitUntil(() => received === 'ok');
		fixture.received()[0]!.socket.end(`0\r\n${trailer}\r\n\r\n`);
		const {error} = await sent;
		expect(error).toBeDefined();
		expect(fixture.state.outcomes).toMatchObject([{result: 'incomplete'}]);
	},
);

test('a request that is not idempotent is sent once if its response is malformed', async () => {
	fixture.target.setBehaviour({kind: 'raw', bytes: `${head}X : a\r\n\r\nok`, ends: true});
	const response = await send(fixture, {method: 'POST', body: 'a'});
	expect(response.body).toContain('"may-have-run"');
	expect(fixture.received()).toHaveLength(1);
});

test('an idempotent request gets the response of another target instead of a malformed one', async () => {
	const localFixture = await createFixture({targets: 2});
	localFixture.target.setBehaviour({kind: 'raw', bytes: `${head}X : a\r\n\r\nok`, ends: true});
	expect(await send(localFixture)).toMatchObject({status: 200});
	expect(localFixture.state.outcomes.map(({result}) => result)).toEqual(['incomplete', 'ok']);
	await localFixture.stop();
});

test('chunk extensions of either side are dropped, and the body stays the same', async () => {
	const bytes = `${chunkedHead}\r\n2;a=b\r\nok\r\n0;c\r\n\r\n`;
	fixture.target.setBehaviour({kind: 'raw', bytes, ends: true});
	const text = `POST /a HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const response = await sendRaw(fixture, `${text}2;x=y\r\nhi\r\n0\r\n\r\n`);
	expect(response).toMatch(/\r\n\r\n2\r\nok\r\n0\r\n\r\n$/);
	expect(fixture.received()[0]).toMatchObject({body: 'hi', isComplete: true});
});

test('a malformed trailer of a request ends it unforwarded', async () => {
	const text = `POST /a HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const response = await sendRaw(fixture, `${text}1\r\na\r\n0\r\nX : b\r\n\r\n`);
	expect(
		response === '' || response.includes('"code":"malformed-request","outcome":"not-run"'),
	).toBe(true);
	expect(fixture.received()).toHaveLength(0);
});

/** Puts one fault at a random place of a response that is otherwise valid. */
function createMalformedResponse(random: Random): string {
	const digits = () => String(Math.floor(random() * 10_000));
	const fillers = ['X-Note: 1', `X-Number: ${digits()}`, 'Server: test', 'Cache-Control: no-store'];
	const lines = Array.from({length: Math.floor(random() * 6)}, () => pick(random, fillers));
	const control = String.fromCodePoint(pick(random, [0, 1, 2, 8, 11, 12, 14, 27, 31, 127]));
	const faults = [
		`Content-Length: ${digits()}x`,
		`Content-Length: -${digits()}`,
		'Content-Length: 2',
		'Content-Length : 5',
		'Transfer-Encoding: chunked',
		`Transfer-Encoding${pick(random, [' ', '\t'])}: chunked`,
		`Transfer-Encoding: ${pick(random, ['gzip', 'identity', 'chunked, gzip', '"chunked"'])}`,
		`X-Folded: a\r\n${pick(random, [' ', '\t'])}b`,
		`X-Bare: a${pick(random, ['\r', '\n'])}b: c`,
		`X-Control: a${control}b`,
		`X${pick(random, [' ', '(', '"', '\t', control])}Name: a`,
		': nameless',
		'no-colon',
	];
	lines.splice(Math.floor(random() * (lines.length + 1)), 0, pick(random, faults));
	return `HTTP/1.1 200 OK\r\nContent-Length: 2\r\n${lines.join('\r\n')}\r\n\r\nok`;
}

async function sendRepeatedly(request: string, count: number): Promise<string[]> {
	return Promise.all(Array.from({length: count}, async () => sendRaw(fixture, request)));
}

test('none of 3,000 malformed responses is forwarded as a success', async () => {
	const random = createSeededRandom(Number(process.env.SHALLOTPOND_TEST_SEED ?? 20_261_205));
	const rounds = Number(process.env.SHALLOTPOND_TEST_ROUNDS ?? 60);
	const request = `GET /a HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\nConnection: close\r\n\r\n`;
	for (let round = 0; round < rounds; round++) {
		const texts = Array.from({length: 50}, () => createMalformedResponse(random));
		fixture.target.queueBehaviours(
			...texts.map(bytes => ({kind: 'raw', bytes, ends: true}) as const),
		);
		const responses = await sendRepeatedly(request, texts.length);
		for (const response of responses) {
			expect(response === '' || /^HTTP\/1\.1 50[24] /.test(response) ? '' : response).toBe('');
		}
	}
});
