/**
 * The outgoing connection to one peer. Messages queued in the same iteration of the event loop are
 * sent in one frame. If the peer confirms no message within a timeout, the connection is replaced:
 * a network device on the path may drop the packets of an open connection while new ones work.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {WebSocket, type ClientOptions} from 'ws';
import {createFrameEncoder, type FrameEncoder} from './frame-codec.js';
import {createNonce, createProof, isProofValid, type HandshakeMessage} from './handshake.js';
import {type PeerTls} from './peer-network.js';

/** Shorter than a lease (2,000 ms), so that a new connection can renew the lease in time. */
const confirmationTimeoutMs = 1500;
/**
 * Exponential back-off between attempts to connect: the delay doubles after each attempt up to the
 * maximum. Jitter changes each delay by up to 50% either way.
 */
const minRedialDelayMs = 100;
const maxRedialDelayMs = 2000;
/**
 * Unsent bytes beyond which new messages to the peer are dropped. A peer that reads so slowly would
 * get its heartbeats too late to use them.
 */
const maxBufferedBytes = 8_388_608;

export type PeerLinkOptions = {
	readonly self: InstanceId;
	/** `ip:port` of the peer. */
	readonly address: string;
	readonly secret: string;
	readonly tls?: PeerTls;
	readonly clock: Clock;
	readonly random: Random;
	/** Called with the size of each frame that is sent, in bytes. */
	readonly onBytesSent: (count: number) => void;
	/** Called when a connection on which the peer confirms nothing is about to be replaced. */
	readonly onReplace: () => void;
};

export type PeerLink = {
	/** Authenticated identity of the peer; undefined while not connected. */
	readonly peer: InstanceId | undefined;
	/** Queues a message. Returns false if there is no connection or its send buffer is full. */
	send(message: unknown): boolean;
	/** Records that the peer has confirmed a message sent on this connection. */
	recordConfirmation(): void;
	/**
	 * Replaces the connection if the peer has confirmed no message for 1,500 ms, or if it has taken
	 * as long to establish.
	 */
	replaceIfUnconfirmed(): void;
	/** Sends queued messages, then closes the connection for good. */
	close(): void;
};

export function createPeerLink(options: PeerLinkOptions): PeerLink {
	const {self, address, secret, tls, clock, random} = options;
	let socket: WebSocket | undefined;
	let peer: InstanceId | undefined;
	let encode: FrameEncoder = createFrameEncoder();
	let batch: unknown[] = [];
	let confirmedAt = 0;
	let redialDelay = minRedialDelayMs;
	let isClosed = false;

	function scheduleDial(): void {
		const delay = redialDelay * (0.5 + random());
		redialDelay = Math.min(redialDelay * 2, maxRedialDelayMs);
		clock.after(delay, dial);
	}

	function dropConnection(): void {
		const previousSocket = socket;
		socket = undefined;
		peer = undefined;
		batch = [];
		previousSocket?.terminate();
	}

	function dial(): void {
		if (isClosed || socket !== undefined) {
			return;
		}

		const dialedSocket = new WebSocket(`${tls === undefined ? 'ws' : 'wss'}://${address}/`, {
			perMessageDeflate: false,
			handshakeTimeout: confirmationTimeoutMs,
			...(tls && tlsOptions(tls)),
		});
		socket = dialedSocket;
		confirmedAt = clock.monotonic();
		let listenerProofInput: Parameters<typeof isProofValid>[1] | undefined;

		dialedSocket.on('upgrade', ({rawHeaders}) => {
			if (checkHeaderSyntax(rawHeaders) !== 'valid') {
				dialedSocket.terminate();
			}
		});
		dialedSocket.on('message', (rawMessage, isBinary) => {
			if (peer !== undefined || isBinary) {
				dialedSocket.terminate();
				return;
			}

			const message = parseHandshakeMessage(rawMessage);
			if (message?.kind === 'challenge' && listenerProofInput === undefined) {
				const nonce = createNonce();
				const proofInput = {
					listenerNonce: message.nonce,
					dialerNonce: nonce,
					listenerId: message.id,
					dialerId: self,
				};
				listenerProofInput = {...proofInput, role: 'listener'};
				const proof = createProof(secret, {...proofInput, role: 'dialer'});
				dialedSocket.send(JSON.stringify({kind: 'answer', nonce, id: self, proof}));
			} else if (message?.kind === 'confirmation' && listenerProofInput !== undefined) {
				if (!isProofValid(secret, listenerProofInput, message.proof)) {
					dialedSocket.terminate();
					return;
				}

				peer = listenerProofInput.listenerId;
				encode = createFrameEncoder();
				confirmedAt = clock.monotonic();
				redialDelay = minRedialDelayMs;
			} else {
				dialedSocket.terminate();
			}
		});
		dialedSocket.on('error', () => {
			// A close event follows, which schedules the next attempt.
		});
		dialedSocket.on('close', () => {
			if (socket === dialedSocket) {
				dropConnection();
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
			if (peer === undefined || socket === undefined || socket.bufferedAmount > maxBufferedBytes) {
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
			if (socket !== undefined && clock.monotonic() - confirmedAt > confirmationTimeoutMs) {
				options.onReplace();
				dropConnection();
				// No back-off: only a new connection shows whether the peer or the connection has failed.
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
 * Skips the host name check: the certificate authority signs certificates of this fleet only, and
 * instances connect to IP addresses, which the certificates need not contain.
 */
function tlsOptions(tls: PeerTls): ClientOptions {
	return {
		cert: tls.certificate,
		key: tls.key,
		ca: tls.authority,
		// Node's TLS module expects undefined for a match, but the types of ws declare a boolean.
		checkServerIdentity: () => undefined as unknown as boolean,
	};
}

/** Returns undefined if `rawMessage` is not a handshake message in JSON. */
export function parseHandshakeMessage(rawMessage: unknown): HandshakeMessage | undefined {
	try {
		const value: unknown = JSON.parse(String(rawMessage));
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		const {kind, nonce, id, proof} = value as Record<string, unknown>;
		const isChallenge = kind === 'challenge' && typeof nonce === 'string' && typeof id === 'string';
		const isChallengeResponse =
			kind === 'answer' &&
			typeof nonce === 'string' &&
			typeof id === 'string' &&
			typeof proof === 'string';
		const isConfirmation = kind === 'confirmation' && typeof proof === 'string';
		return isChallenge || isChallengeResponse || isConfirmation
			? (value as HandshakeMessage)
			: undefined;
	} catch {
		return undefined;
	}
}
