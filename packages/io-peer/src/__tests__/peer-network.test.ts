import {createServer, connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, expect, test} from '@jest/globals';
import {createSystemClock, type Clock} from '@shallotpond/kernel/clock';
import {createInstanceId, type InstanceId} from '@shallotpond/kernel/instance-id';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createSteerableClock} from '@shallotpond/testkit/steerable-clock';
import {WebSocket} from 'ws';
import {createPeerNetwork, type PeerNetwork} from '../peer-network.js';

type Node = {
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

async function createNode(
	incarnation: string,
	secret = 'secret',
	clock: Clock = createSystemClock(),
): Promise<Node> {
	const received: Node['received'] = [];
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

const addressOfNode = (node: Node) => node.network.self.split('#')[0]!;

/** Polls a condition; the verdict depends on the condition, not on how long it took. */
async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

describe('peer network', () => {
	test('messages arrive in order with the identity that the sender proved', async () => {
		const [a, b] = [await createNode('a'), await createNode('b')];
		a.network.setPeers([addressOfNode(b)]);
		await until(() => a.network.connectedPeers().length === 1);
		for (let sequence = 0; sequence < 100; sequence++) {
			expect(a.network.send(b.network.self, {kind: 'heartbeat', sequence})).toBe(true);
		}

		await until(() => b.received.length === 100);
		expect(b.received.map(({message}) => (message as {sequence: number}).sequence)).toEqual(
			Array.from({length: 100}, (_, index) => index),
		);
		expect(new Set(b.received.map(({from}) => from))).toEqual(new Set([a.network.self]));
	});

	test('a stranger without the secret can neither send a message nor learn one', async () => {
		const [a, stranger] = [await createNode('a'), await createNode('x', 'guess')];
		stranger.network.setPeers([addressOfNode(a)]);
		a.network.setPeers([addressOfNode(stranger)]);
		await until(() => (a.counts.get('peer-handshakes-refused') ?? 0) >= 2);
		expect(stranger.network.connectedPeers()).toEqual([]);
		expect(a.network.connectedPeers()).toEqual([]);
		expect(a.network.send(stranger.network.self, {kind: 'heartbeat'})).toBe(false);

		// A frame in place of the proof closes the connection unread.
		const socket = new WebSocket(`ws://${addressOfNode(a)}/`);
		await new Promise(resolve => {
			socket.once('message', resolve);
		});
		socket.send(Uint8Array.of(0x91, 0x01));
		await new Promise(resolve => {
			socket.once('close', resolve);
		});
		expect(a.received).toEqual([]);
	});

	test('a message for an earlier process on an address does not reach its successor', async () => {
		const [a, b] = [await createNode('a'), await createNode('b')];
		a.network.setPeers([addressOfNode(b)]);
		await until(() => a.network.connectedPeers().length === 1);
		expect(a.network.send(createInstanceId(addressOfNode(b), 'older'), {kind: 'x'})).toBe(false);
		expect(a.counts.get('peer-messages-dropped')).toBe(1);
	});

	test('a connection that has gone silent is replaced by a new one that works', async () => {
		const clock = createSteerableClock();
		const [a, b] = [await createNode('a', 'secret', clock), await createNode('b')];
		const [host, port] = addressOfNode(b).split(':') as [string, string];
		// A relay whose first connection goes silent once it has passed the handshake.
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

			client.on('data', data => {
				if (!isSilent) {
					upstream.write(data);
				}
			});
			upstream.on('data', data => {
				client.write(data);
				isSilent ||= isFirst && data.includes('confirmation');
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
		await until(() => a.network.connectedPeers().length === 1);
		clock.advance(1000);
		expect(a.counts.get('peer-connections-replaced')).toBeUndefined();
		clock.advance(1000);
		await until(() => (a.counts.get('peer-connections-replaced') ?? 0) >= 1);
		await until(() => a.network.connectedPeers().length === 1);
		expect(connections).toBe(2);
	});
});
