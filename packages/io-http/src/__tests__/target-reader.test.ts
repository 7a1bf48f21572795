/**
 * Guards against responses whose chunks are parsed although nobody reads them, and against a crowd of
 * tiny chunks that is parsed in one go: each chunk takes a hundred times the memory of its bytes.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http, {type IncomingMessage} from 'node:http';
import net, {type AddressInfo, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createParseSchedule} from '../parse-schedule.js';
import {createTargetReader, type TargetReader} from '../target-reader.js';
import {waitUntil} from './support.js';

const clock = createSystemClock();
const chunkCount = 50_000;
const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
/** Bytes that are parsed before the time of a part is known, and the bytes of a chunk. */
const firstPartBytes = 4096;
const chunkBytes = 6;

let server: Server;
let agent: http.Agent;
let readers: Map<Socket, TargetReader>;

beforeEach(async () => {
	readers = new Map();
	agent = new http.Agent({keepAlive: true, maxSockets: 1});
	server = net.createServer(socket => {
		socket.on('error', () => undefined);
		socket.on('data', () => {
			socket.write(Buffer.from(head + '1\r\nx\r\n'.repeat(chunkCount) + '0\r\n\r\n'));
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});

afterEach(() => {
	agent.destroy();
	server.close();
});

const parseSchedule = createParseSchedule({
	clock,
	afterPoll: setImmediate,
	onDelay: () => undefined,
});

async function request(): Promise<IncomingMessage> {
	return new Promise((resolve, reject) => {
		const {port} = server.address() as AddressInfo;
		const sent = http.get({host: '127.0.0.1', port, agent});
		let reader: TargetReader | undefined;
		sent.on('error', reject);
		sent.on('socket', socket => {
			reader = readers.get(socket) ?? createTargetReader(socket, {clock, parseSchedule});
			readers.set(socket, reader);
			reader.beginRequest();
		});
		sent.on('response', response => {
			reader!.beginResponse(response);
			resolve(response);
		});
	});
}

async function readWhole(response: IncomingMessage): Promise<number> {
	let bytes = 0;
	response.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
	});
	await once(response, 'end');
	return bytes;
}

test('of a response that nobody reads, no more than the first part is parsed', async () => {
	const response = await request();
	await sleep(100);
	expect(response.readableLength).toBeLessThanOrEqual(firstPartBytes / chunkBytes);
	const [reader] = readers.values();
	expect(reader!.unparsedBytes).toBeGreaterThan(0);
	response.destroy();
});

test('a response that is paused is parsed no further until it is resumed', async () => {
	const response = await request();
	let bytes = 0;
	response.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes === 1000) {
			response.pause();
		}
	});
	await waitUntil(() => response.isPaused());
	await sleep(100);
	expect(response.readableLength).toBeLessThan(firstPartBytes);
	response.resume();
	await once(response, 'end');
	expect(bytes).toBe(chunkCount);
});

test('responses on a connection that is used again arrive whole', async () => {
	for (let round = 0; round < 3; round++) {
		expect(await readWhole(await request())).toBe(chunkCount);
	}

	expect(readers.size).toBe(1);
});
