/**
 * Reads the rest of an unwanted response, so that its connection can be reused. A body that does
 * not end soon costs more than a new connection, and may never end; then the connection is
 * destroyed.
 */
import {type IncomingMessage} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';

export type ResponseDrainOptions = {
	readonly clock: Clock;
	readonly targetResponse: IncomingMessage;
	/** Destroys the connection. */
	readonly destroy: () => void;
};

/** Estimated bytes of memory; the body of an error response is a short text. */
const maxCost = 65_536;
/** Estimated bytes of the objects of one chunk, so that tiny ones count for their work. */
const chunkCost = 256;
/** Milliseconds; several times what the rest of a short text takes to arrive. */
const timeoutMs = 500;

export function drainResponse({clock, targetResponse, destroy}: ResponseDrainOptions): void {
	let cost = 0;
	const cancelTimer = clock.after(timeoutMs, destroy);
	targetResponse.on('data', (chunk: Uint8Array) => {
		cost += chunk.length + chunkCost;
		if (cost > maxCost) {
			destroy();
		}
	});
	// Without a listener, the error of a cut response would end the process; 'close' follows it.
	targetResponse.on('error', () => undefined);
	targetResponse.once('close', cancelTimer);
}
