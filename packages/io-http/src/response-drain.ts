/**
 * Reads the rest of an answer that nobody wants, so that its connection can be used again. What does
 * not end soon costs more than a new connection, and may never end, so the connection is destroyed.
 */
import {type IncomingMessage} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';

export type DrainOptions = {
	readonly clock: Clock;
	readonly answer: IncomingMessage;
	/** Destroys the connection. */
	readonly destroy: () => void;
};

/** Bytes; the body of a failure is a short text. */
const mostBytes = 65_536;
/** Milliseconds; several times what the rest of a short text needs on its way. */
const mostTime = 500;

export function drainResponse({clock, answer, destroy}: DrainOptions): void {
	let bytes = 0;
	const cancelTimer = clock.after(mostTime, destroy);
	answer.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > mostBytes) {
			destroy();
		}
	});
	// Without a listener, the error of a cut answer would end the process; 'close' follows it.
	answer.on('error', () => undefined);
	answer.once('close', cancelTimer);
}
