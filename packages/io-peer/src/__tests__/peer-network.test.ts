/**
 * Guards against messages that reach or come from the wrong process, because a peer lacks the
 * secret or has been replaced by another process at its address, and against connections that stay
 * open while a device on the path drops their packets. Uses real sockets.
 */
import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, expect, test} from '@jest/globals';
import {createSystemClock, type Clock} from '@shallotpond/kernel/clock';
import {createInstanceId, type InstanceId} from '@shallotpond/kernel/instance-id';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {WebSocket} from 'ws';
import {createPeerNetwork, type PeerNetwork} from '../peer-network.js';

type TestInstance = {
	readonly network: PeerNetwork;
	readonly received: Array<{from: InstanceId; message: unknown}>;
	readonly counts: Map<string, number>;
};

const cleanups: Array<() => Promise<void> | void> = [];
afterEach(async () => {
	for (const cleanup of cleanups.splice(0).reverse()) {
		await cleanup();
	}
});

async function startInstance(
	incarnation: string,
	secret = 'secret',
	clock: Clock = createSystemClock(),
): Promise<TestInstance> {
	const received: TestInstance['received'] = [];
	const counts = new Map<string, number>();
	const network = createPeerNetwork({
		host: '127.0.0.1',
		port: 0,
		identify: port => createInstanceId(`127.0.0.1:${port}`, incarnation),
		secret,
		clock,
		random: createSeededRandom(1),
		onMessage: (from, message) => void received.push({from, message}),
		count: (name, amount) => void counts.set(name, (counts.get(name) ?? 0) + amount),
	});
	await network.start();
	cleanups.push(async () => network.stop());
	return {network, received, counts};
}

const peerAddressOf = (instance: TestInstance) => instance.network.self.split('#')[0]!;

/** Polls without a timeout, so that a slow machine does not fail the test; Jest limits the time. */
async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

describe('peer network', () => {
	test('messages arrive in order, with the authenticated identity of the sender', async () => {
		const [a, b] = [await startInstance('a'), await startInstance('b')];
		a.network.setPeers([peerAddressOf(b)]);
		await waitUntil(() => a.network.connectedPeers().length === 1);
		for (let sequence = 0; sequence < 100; sequence++) {
			expect(a.network.send(b.network.self, {kind: 'heartbeat', sequence})).toBe(true);
		}

		await waitUntil(() => b.received.length === 100);
		expect(b.received.map(({message}) => (message as {sequence: number}).sequence)).toEqual(
			Array.from({length: 100}, (_, index) => index),
		);
		expect(new Set(b.received.map(({from}) => from))).toEqual(new Set([a.network.self]));
	});

	test('a peer without the secret can neither send nor receive messages', async () => {
		const [a, outsider] = [await startInstance('a'), await startInstance('x', 'wrong-secret')];
		outsider.network.setPeers([peerAddressOf(a)]);
		a.network.setPeers([peerAddressOf(outsider)]);
		await waitUntil(() => (a.counts.get('peer-handshakes-refused') ?? 0) >= 2);
		expect(outsider.network.connectedPeers()).toEqual([]);
		expect(a.network.connectedPeers()).toEqual([]);
		expect(a.network.send(outsider.network.self, {kind: 'heartbeat'})).toBe(false);

		// A binary frame instead of the handshake response is not decoded and closes the connection.
		const socket = new WebSocket(`ws://${peerAddressOf(a)}/`);
		await new Promise(resolve => {
			socket.once('message', resolve);
		});
		socket.send(Uint8Array.of(0x91, 0x01));
		await new Promise(resolve => {
			socket.once('close', resolve);
		});
		expect(a.received).toEqual([]);
	});

	test('a message to an earlier process on an address does not reach its successor', async () => {
		const [a, b] = [await startInstance('a'), await startInstance('b')];
		a.network.setPeers([peerAddressOf(b)]);
		await waitUntil(() => a.network.connectedPeers().length === 1);
		expect(a.network.send(createInstanceId(peerAddressOf(b), 'earlier'), {kind: 'x'})).toBe(false);
		expect(a.counts.get('peer-messages-dropped')).toBe(1);
	});

	test('a connection whose messages are no longer confirmed is replaced by a working one', async () => {
		const clock = createManualClock();
		const [a, b] = [await startInstance('a', 'secret', clock), await startInstance('b')];
		const [host, port] = peerAddressOf(b).split(':') as [string, string];
		// On its first connection, this relay drops all data from the client after the handshake.
		let connections = 0;
		const sockets = new Set<Socket>();
		const relay = createServer(client => {
			const isFirst = ++connections === 1;
			const upstream = connect(Number(port), host);
			let isSilent = false;
			for (const socket of [client, upstream]) {
				sockets.add(socket);
				socket.on('error', () => socket.destroy());
			}

			client.on('data', bytes => {
				if (!isSilent) {
					upstream.write(bytes);
				}
			});
			upstream.on('data', bytes => {
				client.write(bytes);
				isSilent ||= isFirst && bytes.includes('confirmation');
			});
		});
		await new Promise<void>(resolve => {
			relay.listen(0, '127.0.0.1', resolve);
		});
		cleanups.push(() => {
			relay.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		});
		const relayAddress = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
		a.network.setPeers([relayAddress]);
		await waitUntil(() => a.network.connectedPeers().length === 1);
		clock.advance(1000);
		expect(a.counts.get('peer-connections-replaced')).toBeUndefined();
		clock.advance(1000);
		await waitUntil(() => (a.counts.get('peer-connections-replaced') ?? 0) >= 1);
		await waitUntil(() => a.network.connectedPeers().length === 1);
		expect(connections).toBe(2);
	});
});
