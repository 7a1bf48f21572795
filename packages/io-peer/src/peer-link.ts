/**
 * The outgoing connection to one peer. Messages of the same turn of the event loop leave in one
 * frame. A connection on which nothing is confirmed for a while is replaced, because something
 * between the two ends may have lost track of it while new connections work.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {WebSocket, type ClientOptions} from 'ws';
import {createFrameEncoder, type FrameEncoder} from './frame-codec.js';
import {createNonce, createProof, isProofValid, type HandshakeMessage} from './handshake.js';
import {type PeerTls} from './peer-network.js';

/** Shorter than the lease of 2,000 ms, so that a new connection can still save the lease. */
const confirmationTimeout = 1500;
const shortestRedial = 100;
const longestRedial = 2000;
/** A peer that does not read gets no more than this; heartbeats that queue up are worthless. */
const largestBacklog = 8_388_608;

export type PeerLinkOptions = {
	readonly self: InstanceId;
	/** `ip:port` of the peer. */
	readonly address: string;
	readonly secret: string;
	readonly tls?: PeerTls;
	readonly clock: Clock;
	readonly random: Random;
	readonly onBytesSent: (count: number) => void;
	readonly onReplace: () => void;
};

export type PeerLink = {
	/** The identity that the peer has proved, once connected. */
	readonly peer: InstanceId | undefined;
	/** Queues a message. False when there is no connection, or its backlog is full. */
	send(message: unknown): boolean;
	/** Notes that the peer has confirmed something that was sent on this connection. */
	recordConfirmation(): void;
	/** Replaces the connection when nothing was confirmed for 1,500 ms. */
	replaceIfUnconfirmed(): void;
	close(): void;
};

export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {self, address, secret, tls, clock, random} = options;
	let socket: WebSocket | undefined;
	let peer: InstanceId | undefined;
	let encode: FrameEncoder = createFrameEncoder();
	let batch: unknown[] = [];
	let confirmedAt = 0;
	let redialDelay = shortestRedial;
	let isClosed = false;

	function scheduleDial(): void {
		const delay = redialDelay * (0.5 + random());
		redialDelay = Math.min(redialDelay * 2, longestRedial);
		clock.after(delay, dial);
	}

	function drop(): void {
		const old = socket;
		socket = undefined;
		peer = undefined;
		batch = [];
		old?.terminate();
	}

	function dial(): void {
		if (isClosed || socket !== undefined) {
			return;
		}

		const current = new WebSocket(`${tls === undefined ? 'ws' : 'wss'}://${address}/`, {
			perMessageDeflate: false,
			handshakeTimeout: confirmationTimeout,
			...(tls && tlsOptions(tls)),
		});
		socket = current;
		confirmedAt = clock.monotonic();
		let expected: Parameters<typeof isProofValid>[1] | undefined;

		current.on('message', (data, isBinary) => {
			if (peer !== undefined || isBinary) {
				current.terminate();
				return;
			}

			const message = parseHandshakeMessage(data);
			if (message?.kind === 'challenge' && expected === undefined) {
				const nonce = createNonce();
				const input = {
					listenerNonce: message.nonce,
					dialerNonce: nonce,
					listenerId: message.id,
					dialerId: self,
				};
				expected = {...input, role: 'listener'};
				const proof = createProof(secret, {...input, role: 'dialer'});
				current.send(JSON.stringify({kind: 'answer', nonce, id: self, proof}));
			} else if (message?.kind === 'confirmation' && expected !== undefined) {
				if (!isProofValid(secret, expected, message.proof)) {
					current.terminate();
					return;
				}

				peer = expected.listenerId;
				encode = createFrameEncoder();
				confirmedAt = clock.monotonic();
				redialDelay = shortestRedial;
			} else {
				current.terminate();
			}
		});
		current.on('error', () => {
			// A close event follows, which schedules the next attempt.
		});
		current.on('close', () => {
			if (socket === current) {
				drop();
			}

			if (!isClosed && socket === undefined) {
				scheduleDial();
			}
		});
	}

	function flush(): void {
		const messages = batch;
		batch = [];
		if (messages.length === 0 || socket?.readyState !== WebSocket.OPEN || peer === undefined) {
			return;
		}

		const frame = encode(messages);
		options.onBytesSent(frame.byteLength);
		socket.send(frame, {binary: true});
	}

	dial();

	return {
		get peer() {
			return peer;
		},
		send(message) {
			if (peer === undefined || socket === undefined || socket.bufferedAmount > largestBacklog) {
				return false;
			}

			if (batch.length === 0) {
				setImmediate(flush);
			}

			batch.push(message);
			return true;
		},
		recordConfirmation() {
			confirmedAt = clock.monotonic();
		},
		replaceIfUnconfirmed() {
			if (socket !== undefined && clock.monotonic() - confirmedAt > confirmationTimeout) {
				options.onReplace();
				drop();
				// Without delay, because only a new connection tells a dead peer from a dead connection.
				dial();
			}
		},
		close() {
			isClosed = true;
			flush();
			socket?.close();
		},
	};
}

/**
 * The authority signs certificates of this fleet only, and processes reach each other by IP number,
 * so the certificate need not name the address.
 */
function tlsOptions(tls: PeerTls): ClientOptions {
	return {
		cert: tls.certificate,
		key: tls.key,
		ca: tls.authority,
		// Node's TLS expects undefined for a match; the types of ws say boolean.
		checkServerIdentity: () => undefined as unknown as boolean,
	};
}

/** Undefined for anything but a handshake message. */
export function parseHandshakeMessage(data: unknown): HandshakeMessage | undefined {
	try {
		const value: unknown = JSON.parse(String(data));
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		const {kind, nonce, id, proof} = value as Record<string, unknown>;
		const isChallenge = kind === 'challenge' && typeof nonce === 'string' && typeof id === 'string';
		const isAnswer =
			kind === 'answer' &&
			typeof nonce === 'string' &&
			typeof id === 'string' &&
			typeof proof === 'string';
		const isConfirmation = kind === 'confirmation' && typeof proof === 'string';
		return isChallenge || isAnswer || isConfirmation ? (value as HandshakeMessage) : undefined;
	} catch {
		return undefined;
	}
}
