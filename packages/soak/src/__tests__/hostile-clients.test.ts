/**
 * Clients that the project does not control must not make a process end, hang or hold more memory
 * than its machine has. Each test starts a process with little memory and a crowd that leaves its
 * requests unfinished or its responses unread, and checks only what does not depend on the speed of
 * the machine. The crowds and the bounds were fixed on the code without the memory account; each
 * test says what that code did.
 */
import net, {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, expect, jest, test} from '@jest/globals';
import {encodeCallerHeaders} from '@shallotpond/platform/stand-in-encoding';
import {
	host,
	startInstance,
	workspaceKey,
	type InstanceUnderTest,
	type ProcessLimits,
} from './instance-under-test.js';

/** Milliseconds without progress of any connection after which the crowd has sent all it can. */
const quietTime = 1000;
const maxQuietChecks = 8;
/** Rounds in which the whole crowd connects; the connections of earlier rounds stay open. */
const rounds = 3;

const limits: ProcessLimits = {heapMb: 56, memoryMb: 192, descriptors: 1024};

// Long enough for the rounds of a crowd whose requests are served all the while.
jest.setTimeout(180_000);

let instance: InstanceUnderTest | undefined;
let sockets: Socket[];

beforeEach(() => {
	sockets = [];
});

afterEach(async () => {
	for (const socket of sockets) {
		socket.destroy();
	}

	await instance?.stop();
	instance = undefined;
});

function headOf(lines: Readonly<Record<string, string>>): string {
	return Object.entries(lines)
		.map(([name, value]) => `${name}: ${value}\r\n`)
		.join('');
}

function callerHead(id: string): string {
	return headOf({host, ...encodeCallerHeaders({id, key: workspaceKey, timeout: 20_000})});
}

function chunkedRequest(id: string, chunks: string): string {
	return `POST /bookings/1 HTTP/1.1\r\n${callerHead(id)}transfer-encoding: chunked\r\n\r\n${chunks}`;
}

function chunk(size: number): string {
	return `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
}

/** Connects, sends the text, reads nothing and stays open. */
function connect({address, port}: InstanceUnderTest, text: string): void {
	const socket = net.connect({host: address, port});
	socket.on('error', () => undefined);
	socket.pause();
	socket.write(text, 'latin1');
	sockets.push(socket);
}

/** Connects, sends the head, and then the part again and again until the socket is destroyed. */
function connectWithoutEnd({address, port}: InstanceUnderTest, head: string, part: string): void {
	const socket = net.connect({host: address, port});
	const send = () => {
		while (!socket.destroyed && socket.write(part, 'latin1')) {
			// Sends on until the process reads more slowly.
		}
	};

	socket.on('error', () => undefined);
	socket.pause();
	socket.write(head, 'latin1');
	socket.on('drain', send);
	socket.once('connect', send);
	sockets.push(socket);
}

function sentBytes(): number {
	return sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0);
}

async function waitUntilQuiet(): Promise<void> {
	let before = -1;
	for (let check = 0; check < maxQuietChecks && before !== sentBytes(); check++) {
		before = sentBytes();
		await sleep(quietTime);
	}
}

async function expectSoundness(processLimits: ProcessLimits, servesOthers: boolean): Promise<void> {
	const {isRunning} = instance!;
	expect({isRunning, servesOthers}).toEqual({isRunning: true, servesOthers: true});
	expect(await instance!.peakMemory()).toBeLessThan(processLimits.memoryMb);
	expect(await instance!.openDescriptors()).toBeLessThan(processLimits.descriptors);
}

/** Lets a crowd connect to a new process and checks the process while the crowd stays connected. */
async function withstandCrowd(
	count: number,
	textOf: (client: number) => string,
	processLimits = limits,
): Promise<void> {
	instance = await startInstance(processLimits);
	for (let round = 0; round < rounds; round++) {
		for (let client = 0; client < count; client++) {
			connect(instance, textOf(round * count + client));
		}

		await waitUntilQuiet();
	}

	await expectSoundness(processLimits, await instance.servesOrdinaryRequest());
}

// Without the account: ended with SIGABRT (out of memory) after 3.6 MB of chunks.
test('bodies in tiny chunks that stop just short of their end leave the process sound', async () => {
	const body = chunk(1).repeat(20_000);
	await withstandCrowd(10, client => chunkedRequest(`tiny-${client}`, body));
});

// Without shared parsing time: no ordinary request was answered while the crowd sent.
test('bodies in tiny chunks that go on without end leave the process answering', async () => {
	instance = await startInstance(limits);
	const part = chunk(1).repeat(10_000);
	for (let client = 0; client < 48; client++) {
		connectWithoutEnd(instance, chunkedRequest(`endless-${client}`, ''), part);
	}

	await sleep(quietTime);
	await expectSoundness(limits, await instance.servesOrdinaryRequest(4));
});

// Without the account: held 144 MB. The process lived, because these bytes are outside its heap.
test('bodies in large chunks that stop just short of their end leave the process sound', async () => {
	const body = chunk(62_000);
	await withstandCrowd(300, client => chunkedRequest(`large-${client}`, body), {
		...limits,
		memoryMb: 128,
	});
});

// Without the account: ended with SIGABRT (out of memory).
test('requests sent ahead with unread responses, each with a new id, leave the process sound', async () => {
	await withstandCrowd(60, client =>
		Array.from(
			{length: 400},
			(_, index) => `GET /lookups/1 HTTP/1.1\r\n${callerHead(`ahead-${client}-${index}`)}\r\n`,
		).join(''),
	);
});

// Without the account: unharmed, with a peak of 131 MB; the connections were closed.
test('requests sent ahead with unread responses, each with a new key, leave the process sound', async () => {
	await withstandCrowd(60, client =>
		Array.from({length: 400}, (_, index) => {
			const id = `key-${client}-${index}`;
			const head = headOf({host, ...encodeCallerHeaders({id, key: id, timeout: 20_000})});
			return `GET /lookups/1 HTTP/1.1\r\n${head}\r\n`;
		}).join(''),
	);
});

// Without the account: unharmed, with a peak of 114 MB; the first refusal closed each connection.
test('requests sent ahead without any header leave the process sound', async () => {
	await withstandCrowd(60, () => 'GET /lookups/1 HTTP/1.1\r\n\r\n'.repeat(3000));
});

// Without the account: ended with SIGABRT (out of memory).
test('requests sent ahead without an id and a deadline leave the process sound', async () => {
	const headers = encodeCallerHeaders({id: '', key: workspaceKey, timeout: 0});
	const keyHeader = Object.entries(headers).filter(([, value]) => value === workspaceKey);
	const head = headOf({host, ...Object.fromEntries(keyHeader)});
	await withstandCrowd(60, () => `GET /lookups/1 HTTP/1.1\r\n${head}\r\n`.repeat(400));
});

// Without a limit from the settings: 1,226 descriptors were open.
test('connections that never send a whole head leave descriptors free', async () => {
	await withstandCrowd(400, () => 'GET /lookups/1 HTTP/1.1\r\n');
});
