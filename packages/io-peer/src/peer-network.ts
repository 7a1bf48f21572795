/**
 * Connections between instances. Each instance sends on connections that it dials and receives on
 * connections that it accepts, so that a cut in one direction shows as such. Delivery is not
 * guaranteed and nothing is sent again; the policies are built for lost messages.
 */
import {createServer as createHttpServer, type Server} from 'node:http';
import {createServer as createHttpsServer} from 'node:https';
import {type AddressInfo} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {addressOf, type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {WebSocketServer, type WebSocket} from 'ws';
import {createFrameDecoder} from './frame-codec.js';
import {createNonce, createProof, isProofValid} from './handshake.js';
import {PeerError} from './peer-error.js';
import {createPeerLink, parseHandshakeMessage, type PeerLink} from './peer-link.js';

/** PEM texts. Both sides present a certificate that `authority` has signed. */
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
	/** 0 takes a free port. */
	readonly port: number;
	/** Identity by the port that was bound. */
	readonly identify: (port: number) => InstanceId;
	/** Shared by all instances of the fleet; never sent. */
	readonly secret: string;
	readonly tls?: PeerTls;
	readonly clock: Clock;
	readonly random: Random;
	readonly onMessage: (from: InstanceId, message: unknown) => void;
	readonly count: (counter: PeerNetworkCounter, amount: number) => void;
};

export type PeerNetwork = {
	/** Listens. Throws a `PeerError` with code `listen-failed`. */
	start(): Promise<void>;
	/** Sends what is queued and closes all connections. */
	stop(): Promise<void>;
	/** Known after `start`. */
	readonly self: InstanceId;
	/** Sets the addresses to keep connections to. */
	setPeers(addresses: readonly string[]): void;
	/** Peers with a proved connection from this instance. */
	connectedPeers(): readonly InstanceId[];
	/**
	 * `to` may be a bare address. False when the message was dropped at once, for want of a
	 * connection to that process.
	 */
	send(to: InstanceId, message: unknown): boolean;
	/** Notes that the peer has confirmed a message of ours. */
	recordConfirmation(from: InstanceId): void;
};

/** A whole configuration document with room to spare. */
const largestFrame = 67_108_864;
const checkInterval = 250;
const handshakeTimeout = 2000;

export function createPeerNetwork(options: PeerNetworkOptions): PeerNetwork {
	const {clock, random, secret, tls, count} = options;
	const links = new Map<string, PeerLink>();
	const inbound = new Set<WebSocket>();
	let self: InstanceId = '';
	let server: Server | undefined;
	let cancelCheck: (() => void) | undefined;

	function accept(socket: WebSocket): void {
		const nonce = createNonce();
		const decode = createFrameDecoder();
		let from: InstanceId | undefined;
		inbound.add(socket);
		const cancelTimeout = clock.after(handshakeTimeout, () => {
			refuse();
		});

		function refuse(): void {
			count('peer-handshakes-refused', 1);
			socket.terminate();
		}

		function finishHandshake(data: unknown): void {
			const answer = parseHandshakeMessage(data);
			if (answer?.kind !== 'answer') {
				refuse();
				return;
			}

			const input = {
				listenerNonce: nonce,
				dialerNonce: answer.nonce,
				listenerId: self,
				dialerId: answer.id,
			};
			if (!isProofValid(secret, {...input, role: 'dialer'}, answer.proof)) {
				refuse();
				return;
			}

			from = answer.id;
			cancelTimeout();
			const proof = createProof(secret, {...input, role: 'listener'});
			socket.send(JSON.stringify({kind: 'confirmation', proof}));
		}

		socket.on('message', (data, isBinary) => {
			if (from === undefined) {
				finishHandshake(data);
				return;
			}

			if (!isBinary || !(data instanceof Uint8Array)) {
				count('peer-frames-refused', 1);
				socket.terminate();
				return;
			}

			count('peer-bytes-received', data.byteLength);
			receive(socket, from, decode, data);
		});
		socket.on('error', () => {
			socket.terminate();
		});
		socket.on('close', () => {
			cancelTimeout();
			inbound.delete(socket);
		});
		socket.send(JSON.stringify({kind: 'challenge', nonce, id: self}));
	}

	function receive(
		socket: WebSocket,
		from: InstanceId,
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
			options.onMessage(from, message);
		}
	}

	async function listen(): Promise<void> {
		const created =
			tls === undefined
				? createHttpServer()
				: (createHttpsServer({
						cert: tls.certificate,
						key: tls.key,
						ca: tls.authority,
						requestCert: true,
						rejectUnauthorized: true,
					}) as unknown as Server);
		server = created;
		const sockets = new WebSocketServer({
			server: created,
			perMessageDeflate: false,
			maxPayload: largestFrame,
		});
		sockets.on('connection', accept);
		sockets.on('error', () => undefined);
		await new Promise<void>((resolve, reject) => {
			created.once('error', error => {
				const place = `${options.host}:${options.port}`;
				reject(new PeerError('listen-failed', `cannot listen on ${place}`, {cause: error}));
			});
			created.listen(options.port, options.host, resolve);
		});
		self = options.identify((created.address() as AddressInfo).port);
	}

	return {
		async start() {
			await listen();
			cancelCheck = clock.every(checkInterval, () => {
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
			for (const socket of inbound) {
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
			const wanted = new Set(addresses);
			wanted.delete(addressOf(self));
			for (const [address, link] of links) {
				if (!wanted.has(address)) {
					link.close();
					links.delete(address);
				}
			}

			for (const address of wanted) {
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
			// A message for an earlier process on the same address must not reach its successor. A bare
			// address reaches whatever process is there.
			const isAddressed = to === addressOf(to) || link?.peer === to;
			const isSent = link !== undefined && isAddressed && link.send(message);
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
