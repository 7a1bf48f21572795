/**
 * Connections between instances. Each instance sends on the connections that it opens and receives
 * on those that it accepts, so that a network failure in one direction can be told from a
 * failure in both. Delivery is not guaranteed and messages are not resent; the policies tolerate
 * lost messages.
 */
import {createServer as createHttpServer, type IncomingMessage, type Server} from 'node:http';
import {createServer as createHttpsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {addressOf, type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {WebSocketServer, type WebSocket} from 'ws';
import {createFrameDecoder} from './frame-codec.js';
import {createNonce, createProof, isProofValid} from './handshake.js';
import {PeerError} from './peer-error.js';
import {createPeerLink, parseHandshakeMessage, type PeerLink} from './peer-link.js';

/** In PEM format. Both sides present a certificate that is signed by `authority`. */
export type PeerTls = {
	readonly certificate: string;
	readonly key: string;
	readonly authority: string;
};

export type PeerNetworkCounter =
	| 'peer-bytes-sent'
	| 'peer-bytes-received'
	| 'peer-handshakes-refused'
	| 'peer-frames-refused'
	| 'peer-connections-replaced'
	| 'peer-messages-dropped';

export type PeerNetworkOptions = {
	/** Address to listen on. */
	readonly host: string;
	/** 0 selects a free port. */
	readonly port: number;
	/** Creates the identity of this instance from the port that was bound. */
	readonly identify: (port: number) => InstanceId;
	/** Shared by all instances of the fleet; never sent over the network. */
	readonly secret: string;
	readonly tls?: PeerTls;
	readonly clock: Clock;
	readonly random: Random;
	readonly onMessage: (from: InstanceId, message: unknown) => void;
	readonly count: (counter: PeerNetworkCounter, amount: number) => void;
};

export type PeerNetwork = {
	/** Starts to listen. Rejects with a `PeerError` (`listen-failed`) if the port cannot be bound. */
	start(): Promise<void>;
	/** Sends queued messages and closes all connections. */
	stop(): Promise<void>;
	/** Identity of this instance; available after `start`. */
	readonly self: InstanceId;
	/**
	 * Sets the addresses (`ip:port`) to stay connected to. Connections to other addresses are closed;
	 * the address of this instance is ignored.
	 */
	setPeers(addresses: readonly string[]): void;
	/** Peers with an authenticated connection from this instance. */
	connectedPeers(): readonly InstanceId[];
	/**
	 * Queues a message. `to` may be an address without an incarnation. Returns false if the message
	 * was dropped because there is no connection to that process or its send buffer is full.
	 */
	send(to: InstanceId, message: unknown): boolean;
	/** Records that the peer has confirmed a message from this instance. */
	recordConfirmation(from: InstanceId): void;
};

/** Leaves ample room for a frame that holds a whole configuration document. */
const maxFrameBytes = 67_108_864;
const confirmationCheckIntervalMs = 250;
const handshakeTimeoutMs = 2000;

export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
	const {clock, random, secret, tls, count} = options;
	const links = new Map<string, PeerLink>();
	const inboundSockets = new Set<WebSocket>();
	let self: InstanceId = '';
	let server: Server | undefined;
	let cancelCheck: (() => void) | undefined;

	function acceptConnection(socket: WebSocket): void {
		const nonce = createNonce();
		const decode = createFrameDecoder();
		let peer: InstanceId | undefined;
		inboundSockets.add(socket);
		const cancelTimeout = clock.after(handshakeTimeoutMs, () => {
			rejectHandshake();
		});

		function rejectHandshake(): void {
			count('peer-handshakes-refused', 1);
			socket.terminate();
		}

		function completeHandshake(rawMessage: unknown): void {
			const response = parseHandshakeMessage(rawMessage);
			if (response?.kind !== 'answer') {
				rejectHandshake();
				return;
			}

			const proofInput = {
				listenerNonce: nonce,
				dialerNonce: response.nonce,
				listenerId: self,
				dialerId: response.id,
			};
			if (!isProofValid(secret, {...proofInput, role: 'dialer'}, response.proof)) {
				rejectHandshake();
				return;
			}

			peer = response.id;
			cancelTimeout();
			const proof = createProof(secret, {...proofInput, role: 'listener'});
			socket.send(JSON.stringify({kind: 'confirmation', proof}));
		}

		socket.on('message', (rawMessage, isBinary) => {
			if (peer === undefined) {
				completeHandshake(rawMessage);
				return;
			}

			if (!isBinary || !(rawMessage instanceof Uint8Array)) {
				count('peer-frames-refused', 1);
				socket.terminate();
				return;
			}

			count('peer-bytes-received', rawMessage.byteLength);
			receiveFrame(socket, peer, decode, rawMessage);
		});
		socket.on('error', () => {
			socket.terminate();
		});
		socket.on('close', () => {
			cancelTimeout();
			inboundSockets.delete(socket);
		});
		socket.send(JSON.stringify({kind: 'challenge', nonce, id: self}));
	}

	function receiveFrame(
		socket: WebSocket,
		peer: InstanceId,
		decode: ReturnType<typeof createFrameDecoder>,
		frame: Uint8Array,
	): void {
		let messages: readonly unknown[];
		try {
			messages = decode(frame);
		} catch {
			count('peer-frames-refused', 1);
			socket.terminate();
			return;
		}

		for (const message of messages) {
			options.onMessage(peer, message);
		}
	}

	async function listen(): Promise<void> {
		const httpServer =
			tls === undefined
				? createHttpServer()
				: (createHttpsServer({
						cert: tls.certificate,
						key: tls.key,
						ca: tls.authority,
						requestCert: true,
						rejectUnauthorized: true,
					}) as unknown as Server);
		server = httpServer;
		const webSocketServer = new WebSocketServer({
			server: httpServer,
			perMessageDeflate: false,
			maxPayload: maxFrameBytes,
			verifyClient: ({req}: {req: IncomingMessage}) =>
				checkHeaderSyntax(req.rawHeaders) === 'valid',
		});
		webSocketServer.on('connection', acceptConnection);
		webSocketServer.on('error', () => undefined);
		await new Promise<void>((resolve, reject) => {
			httpServer.once('error', error => {
				const endpoint = `${options.host}:${options.port}`;
				reject(new PeerError('listen-failed', `cannot listen on ${endpoint}`, {cause: error}));
			});
			httpServer.listen(options.port, options.host, resolve);
		});
		self = options.identify((httpServer.address() as AddressInfo).port);
	}

	return {
		async start() {
			await listen();
			cancelCheck = clock.every(confirmationCheckIntervalMs, () => {
				for (const link of links.values()) {
					link.replaceIfUnconfirmed();
				}
			});
		},
		async stop() {
			cancelCheck?.();
			for (const link of links.values()) {
				link.close();
			}

			links.clear();
			for (const socket of inboundSockets) {
				socket.terminate();
			}

			await new Promise<void>(resolve => {
				if (server === undefined) {
					resolve();
				} else {
					server.close(() => {
						resolve();
					});
					server.closeAllConnections();
				}
			});
		},
		get self() {
			return self;
		},
		setPeers(addresses) {
			const wantedAddresses = new Set(addresses);
			wantedAddresses.delete(addressOf(self));
			for (const [address, link] of links) {
				if (!wantedAddresses.has(address)) {
					link.close();
					links.delete(address);
				}
			}

			for (const address of wantedAddresses) {
				if (!links.has(address)) {
					const link = createPeerLink({
						self,
						address,
						secret,
						...(tls && {tls}),
						clock,
						random,
						onBytesSent(bytes) {
							count('peer-bytes-sent', bytes);
						},
						onReplace() {
							count('peer-connections-replaced', 1);
						},
					});
					links.set(address, link);
				}
			}
		},
		connectedPeers() {
			const peers: InstanceId[] = [];
			for (const link of links.values()) {
				if (link.peer !== undefined) {
					peers.push(link.peer);
				}
			}

			return peers;
		},
		send(to, message) {
			const link = links.get(addressOf(to));
			// A message for an earlier process on an address must not reach its successor. An address
			// without an incarnation stands for whichever process listens there.
			const isCurrentProcess = to === addressOf(to) || link?.peer === to;
			const isSent = link !== undefined && isCurrentProcess && link.send(message);
			if (!isSent) {
				count('peer-messages-dropped', 1);
			}

			return isSent;
		},
		recordConfirmation(from) {
			links.get(addressOf(from))?.recordConfirmation();
		},
	};
}
