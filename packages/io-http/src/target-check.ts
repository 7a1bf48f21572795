/**
 * Finds out whether a target still runs after it broke a connection. A reset alone does not tell:
 * a target that forgot an idle connection or lost a response resets it like one that crashed. A
 * target that crashed refuses new connections, or closes them at once; the others keep them open.
 */
import net from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {type TargetAddress} from './target-connections.js';

export type TargetCheckOptions = {
	readonly clock: Clock;
	readonly address: TargetAddress;
	/** Milliseconds to establish the connection. */
	readonly connectTimeout: number;
};

export type TargetCheckResult = 'running' | 'down';

/** Milliseconds for which a running target keeps the connection open. */
const settleTimeMs = 50;

/** Opens a connection without a request and closes it. Never rejects. */
export async function checkTarget(options: TargetCheckOptions): Promise<TargetCheckResult> {
	const {clock, address, connectTimeout} = options;
	return new Promise(resolve => {
		const socket = net.connect({...address, noDelay: true});
		let cancelTimer = clock.after(connectTimeout, () => {
			settle('down');
		});

		function settle(result: TargetCheckResult): void {
			cancelTimer();
			socket.destroy();
			resolve(result);
		}

		socket.on('connect', () => {
			cancelTimer();
			cancelTimer = clock.after(settleTimeMs, () => {
				settle('running');
			});
		});
		// The end of the connection is noticed only while it is read.
		socket.resume();
		socket.on('error', () => undefined);
		socket.on('end', () => {
			settle('down');
		});
		socket.on('close', () => {
			settle('down');
		});
	});
}
