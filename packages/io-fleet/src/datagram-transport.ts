/**
 * Owns the UDP socket for messages between instances. Datagrams need no connections, which could
 * fail without being noticed, and the next report makes up for a lost datagram.
 */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import {
	type FleetMessage,
	type OutboundFleetMessage,
} from '@shallotpond/policy-fleet/fleet-message';
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';
import {decodeFleetMessages, encodeFleetMessage} from './fleet-codec.js';

export class FleetError extends ShallotpondError {}

export type DatagramCounter = 'datagrams-sent' | 'datagram-bytes-sent' | 'datagrams-refused';

export type DatagramTransportOptions = {
	/** IP address. */
	readonly address: string;
	/** UDP port, the same on all instances. */
	readonly port: number;
	readonly onMessage: (message: FleetMessage) => void;
	readonly count: (counter: DatagramCounter, amount: number) => void;
	/** Called for an error of the open socket, or of `onMessage`. */
	readonly onError: (error: unknown) => void;
};

export type DatagramTransport = {
	/** Rejects with a `FleetError` if the address cannot be bound. */
	start(): Promise<void>;
	stop(): Promise<void>;
	/**
	 * Sends the messages. Messages to the same member share datagrams, because the cost of an
	 * instance depends on the number of datagrams.
	 */
	send(outgoing: readonly OutboundFleetMessage[]): void;
};

/**
 * Messages share a datagram only up to this size, so that it fits into one packet at the smallest
 * common MTU. A larger message is sent in a datagram of its own.
 */
const maxDatagramBytes = 1400;

/**
 * Returns the datagrams by receiver, each as a list of encoded messages. A message to several
 * receivers is encoded once.
 */
function packDatagrams(outgoing: readonly OutboundFleetMessage[]): Map<string, Uint8Array[][]> {
	const encoded = new Map<FleetMessage, Uint8Array>();
	const datagrams = new Map<string, Uint8Array[][]>();
	const lengths = new Map<string, number>();
	for (const {to, message} of outgoing) {
		const bytes = encoded.get(message) ?? encodeFleetMessage(message);
		encoded.set(message, bytes);
		const forReceiver = datagrams.get(to) ?? [];
		datagrams.set(to, forReceiver);
		const length = (lengths.get(to) ?? 0) + bytes.length;
		if (forReceiver.length === 0 || length > maxDatagramBytes) {
			forReceiver.push([bytes]);
			lengths.set(to, bytes.length);
		} else {
			forReceiver.at(-1)!.push(bytes);
			lengths.set(to, length);
		}
	}

	return datagrams;
}

export function createDatagramTransport(options: DatagramTransportOptions): DatagramTransport {
	let socket: Socket | undefined;

	function receive(bytes: Uint8Array): void {
		const messages = decodeFleetMessages(bytes, () => {
			options.count('datagrams-refused', 1);
		});
		for (const message of messages) {
			try {
				options.onMessage(message);
			} catch (error) {
				// An exception here would end the process and with it the requests in progress.
				options.onError(error);
			}
		}
	}

	return {
		async start() {
			const opened = createSocket('udp4');
			await new Promise<void>((resolve, reject) => {
				opened.once('error', error => {
					const endpoint = `${options.address}:${options.port}`;
					reject(new FleetError('bind-failed', `cannot bind ${endpoint}`, {cause: error}));
				});
				opened.bind(options.port, options.address, resolve);
			});
			opened.removeAllListeners('error');
			opened.on('error', options.onError);
			opened.on('message', receive);
			socket = opened;
		},
		async stop() {
			const closing = socket;
			socket = undefined;
			if (closing !== undefined) {
				await new Promise<void>(resolve => {
					closing.close(resolve);
				});
			}
		},
		send(outgoing) {
			for (const [to, datagrams] of packDatagrams(outgoing)) {
				for (const parts of datagrams) {
					const bytes = parts.length === 1 ? parts[0]! : Buffer.concat(parts);
					// Errors are ignored: a member that cannot be reached is detected by its silence.
					socket?.send(bytes, options.port, to, () => undefined);
					options.count('datagrams-sent', 1);
					options.count('datagram-bytes-sent', bytes.length);
				}
			}
		},
	};
}
