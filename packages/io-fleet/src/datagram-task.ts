/**
 * The task that owns the datagram socket between instances. Datagrams need no connections, which
 * could go silent unnoticed, and a lost one is replaced by the next report.
 */
import {createSocket, type Socket} from 'node:dgram';
import {type FleetMessage, type OutgoingMessage} from '@shallotpond/policy-fleet/fleet-message';
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';
import {decodeFleetMessage, encodeFleetMessage} from './fleet-codec.js';

export class FleetError extends ShallotpondError {}

export type DatagramCounter = 'datagrams-sent' | 'datagram-bytes-sent' | 'datagrams-refused';

export type DatagramTaskOptions = {
	/** IP address. */
	readonly address: string;
	/** The same on all instances. */
	readonly port: number;
	readonly onMessage: (message: FleetMessage) => void;
	readonly count: (counter: DatagramCounter, amount: number) => void;
	readonly onError: (error: unknown) => void;
};

export type DatagramTask = {
	/** Throws a `FleetError` when the address cannot be bound. */
	start(): Promise<void>;
	stop(): Promise<void>;
	send(outgoing: readonly OutgoingMessage[]): void;
};

export function createDatagramTask(options: DatagramTaskOptions): DatagramTask {
	let socket: Socket | undefined;

	function receive(bytes: Uint8Array): void {
		const message = decodeFleetMessage(bytes);
		if (message === undefined) {
			options.count('datagrams-refused', 1);
		} else {
			options.onMessage(message);
		}
	}

	return {
		async start() {
			const opened = createSocket('udp4');
			await new Promise<void>((resolve, reject) => {
				opened.once('error', error => {
					const place = `${options.address}:${options.port}`;
					reject(new FleetError('bind-failed', `cannot bind ${place}`, {cause: error}));
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
			let encodedMessage: FleetMessage | undefined;
			let bytes: Uint8Array = new Uint8Array();
			for (const {to, message} of outgoing) {
				if (message !== encodedMessage) {
					encodedMessage = message;
					bytes = encodeFleetMessage(message);
				}

				// A member that cannot be reached is noticed by its silence.
				socket?.send(bytes, options.port, to, () => undefined);
				options.count('datagrams-sent', 1);
				options.count('datagram-bytes-sent', bytes.length);
			}
		},
	};
}
