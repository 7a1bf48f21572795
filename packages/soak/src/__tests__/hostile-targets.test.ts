/**
 * Targets that send without end must not make a process end, hang or hold more memory than its
 * machine has. Each test starts a process with little memory and callers of a service whose target
 * answers everything so, and asks the process for responses of a sound target meanwhile.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net, {type AddressInfo, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, expect, jest, test} from '@jest/globals';
import {encodeCallerHeaders, encodeResponseHeaders} from '@shallotpond/platform/stand-in-encoding';
import {
	host,
	startInstance,
	workspaceKey,
	type InstanceUnderTest,
	type ProcessLimits,
} from './instance-under-test.js';

const limits: ProcessLimits = {heapMb: 56, memoryMb: 192, descriptors: 1024};
const callers = 60;
/** Milliseconds for which the targets send before and while ordinary requests are sent. */
const sendTime = 4000;
const minWriteBytes = 65_536;
const ordinaryRequests = 4;

jest.setTimeout(60_000);

let target: Server | undefined;
let instance: InstanceUnderTest | undefined;
let sockets: Set<Socket>;
let requests: http.ClientRequest[];

beforeEach(() => {
	sockets = new Set();
	requests = [];
});

afterEach(async () => {
	for (const request of requests) {
		request.destroy();
	}

	for (const socket of sockets) {
		socket.destroy();
	}

	target?.close();
	await instance?.stop();
	instance = undefined;
});

/** Finds the id of a request, which its response repeats in a header of the same name. */
const idHeaders = Object.entries(encodeResponseHeaders('id', 'seal'));
const [idHeader] = idHeaders.find(([, value]) => value === 'id')!;
const idPattern = new RegExp(`^${idHeader}: (.*)\\r$`, 'im');

/** Answers each request with the head, to which the id is added, and the piece without end. */
async function startTarget(head: string, piece: string): Promise<string> {
	const pieces = Buffer.from(piece.repeat(Math.ceil(minWriteBytes / piece.length)));
	target = net.createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => sockets.delete(socket));
		socket.on('data', data => {
			const id = idPattern.exec(String(data))?.[1] ?? '';
			const headers = Object.entries(encodeResponseHeaders(id, 'seal'));
			socket.write(
				head + headers.map(([name, value]) => `${name}: ${value}\r\n`).join('') + '\r\n',
			);
			const sendOn = () => {
				while (!socket.destroyed && socket.write(pieces)) {
					// Sends on until the process reads more slowly.
				}
			};

			socket.on('drain', sendOn);
			sendOn();
		});
	});
	target.listen(0, '127.0.0.1');
	await once(target, 'listening');
	return `127.0.0.1:${(target.address() as AddressInfo).port}`;
}

/** Asks for responses of the faulty target; each that ends is followed by another request. */
function call({address, port}: InstanceUnderTest, caller: number, isReading: boolean): void {
	const headers = {
		host,
		...encodeCallerHeaders({id: `faulty-${caller}`, key: workspaceKey, timeout: 2500}),
	};
	const request = http.get({host: address, port, path: '/faulty/1', agent: false, headers});
	requests[caller] = request;
	request.on('error', () => undefined);
	request.on('response', response => {
		response.on('error', () => undefined);
		if (isReading) {
			response.resume();
		}
	});
	request.once('close', () => {
		if (instance?.isRunning === true) {
			call(instance, caller, isReading);
		}
	});
}

const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n';
const eventHead = `${chunkedHead}Content-Type: text/event-stream\r\n`;

// Without bounds by cost: ended with SIGABRT (out of memory) within the time of the test.
test.each([
	['chunks of one byte', chunkedHead, '1\r\nx\r\n', true],
	['chunks of one byte that nobody reads', chunkedHead, '1\r\nx\r\n', false],
	['chunks of one byte of a failure', chunkedHead.replace('200', '500'), '1\r\nx\r\n', true],
	['events', eventHead, '9\r\ndata: a\n\n\r\n', true],
	['pieces that complete no event', eventHead, '6\r\ndata: \r\n', true],
])(
	'responses without end (%s) leave the process answering',
	async (_what, head, piece, isReading) => {
		instance = await startInstance(limits, {faultyTarget: await startTarget(head, piece)});
		for (let caller = 0; caller < callers; caller++) {
			call(instance, caller, isReading);
		}

		for (let request = 0; request < ordinaryRequests; request++) {
			await sleep(sendTime / ordinaryRequests);
			expect(await instance.servesOrdinaryRequest(1)).toBe(true);
		}

		expect(await instance.peakMemory()).toBeLessThan(limits.memoryMb);
	},
);
