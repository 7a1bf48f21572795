/**
 * Guards against a faulty target whose additional bytes behind a complete response cut the part of
 * the body that still waits for a slow caller: the caller would take the rest for the whole.
 */
import http from 'node:http';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createFixture, key, send, type Fixture} from './support.js';

let fixture: Fixture;

beforeEach(async () => {
	fixture = await createFixture({targets: 1});
});

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
	expect(fixture.state.internalErrors).toEqual([]);
});

const body = 'season handbook '.repeat(40_000);
const pieces = body.match(/.{8000}/g)!;
const chunks = pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`).join('');
const responses = {
	chunked: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`,
	'of declared length': `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
} as const;
const additions = {
	'bytes that are no response': 'bytes that belong to no request\r\n',
	'a second response': 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain',
	'the beginning of a second response': 'HTTP/1.1 20',
} as const;
const nextResponse = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown';

/** Downloads like a caller that reads nothing for the first 60 ms. */
async function downloadSlowly(): Promise<string> {
	return new Promise((resolve, reject) => {
		const {port} = fixture.listener;
		const headers = {'x-api-key': key};
		http.get({host: '127.0.0.1', port, agent: false, headers}, response => {
			let text = '';
			response.setEncoding('latin1');
			response.pause();
			response.on('data', piece => {
				text += String(piece);
			});
			response.on('end', () => {
				resolve(text);
			});
			response.on('error', reject);
			setTimeout(() => response.resume(), 60);
		});
	});
}

const cases = Object.keys(responses).flatMap(framing =>
	Object.keys(additions).map(addition => [framing, addition] as const),
);

test.each(cases)('a body %s that is followed by %s arrives whole', async (framing, addition) => {
	const response = responses[framing as keyof typeof responses];
	const bytes = response + additions[addition as keyof typeof additions];
	fixture.target.queueBehaviours({kind: 'raw', bytes});
	const received = await downloadSlowly();
	expect(received.length).toBe(body.length);
	expect(received).toBe(body);
	expect(fixture.state.outcomes).toMatchObject([{result: 'ok'}]);
	fixture.target.queueBehaviours({kind: 'raw', bytes: nextResponse});
	expect(await send(fixture)).toMatchObject({status: 200, body: 'own'});
});
