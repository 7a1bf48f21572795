/**
 * Passes what arrives on a caller's socket to Node's HTTP parser in small parts, and only while the
 * gate is open. Node itself gives the parser all that one read returns, 64 KiB, and creates a
 * request for each head in it; thousands of them can exist before any of them is answered. What is
 * kept back here is at most what one read returns, because the socket is read no further then.
 */
import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';

export type ReadGateOptions = {
	/** Whether the next part may be passed on. */
	readonly isOpen: () => boolean;
	/** Whether the connection is about to close, so that nothing more is parsed. */
	readonly isDiscarding: () => boolean;
	/** Maximum bytes of the next part. */
	readonly partBytes: () => number;
	/** Called with each change of the number of bytes kept back. */
	readonly onHeldChange: (bytes: number) => void;
};

export type ReadGate = {
	/** To be called when the gate may have opened. */
	update(): void;
};

/** To be called after Node's HTTP server has taken over the socket. */
export function createReadGate(socket: Socket, options: ReadGateOptions): ReadGate {
	const {isOpen, isDiscarding} = options;
	const passToStream = socket.push.bind(socket);
	const requestRead = socket._read.bind(socket);
	/** What the stream has not received yet. */
	let rest: Uint8Array | undefined;
	let hasEnded = false;
	let isReadWanted = false;
	let isPassing = false;

	function takePart(): Uint8Array {
		const all = rest!;
		const size = options.partBytes();
		const part = all.subarray(0, size);
		rest = all.length > size ? all.subarray(size) : undefined;
		options.onHeldChange(-part.length);
		return part;
	}

	function discard(): void {
		if (rest !== undefined) {
			options.onHeldChange(-rest.length);
			rest = undefined;
		}
	}

	/** Returns whether the socket should be read on. */
	function passParts(): boolean {
		let isAccepted = true;
		while (rest !== undefined && isAccepted && !socket.destroyed) {
			if (isDiscarding()) {
				discard();
			} else if (isOpen()) {
				isAccepted = passToStream(takePart());
			} else {
				break;
			}
		}

		if (rest !== undefined) {
			return false;
		}

		if (hasEnded) {
			hasEnded = false;
			passToStream(null);
			return false;
		}

		// Also while the gate is closed, so that the end of the connection is noticed.
		return isAccepted;
	}

	function pass(): boolean {
		if (isPassing) {
			return false;
		}

		isPassing = true;
		const isReadable = passParts();
		isPassing = false;
		if (isReadable && isReadWanted) {
			isReadWanted = false;
			requestRead(0);
		}

		return isReadable;
	}

	// Node's sockets deliver what they have read through `push` and are asked for more by `_read`.
	socket.push = (chunk: unknown) => {
		if (!(chunk instanceof Uint8Array)) {
			// Null marks the end of the stream.
			hasEnded = true;
		} else if (rest === undefined && chunk.length <= options.partBytes() && isOpen()) {
			// Most requests arrive alone and whole.
			return passToStream(chunk);
		} else if (!isDiscarding()) {
			rest = rest === undefined ? chunk : Buffer.concat([rest, chunk]);
			options.onHeldChange(chunk.length);
		}

		return pass();
	};

	socket._read = size => {
		if (rest === undefined && !hasEnded) {
			requestRead(size);
			return;
		}

		isReadWanted = true;
		pass();
	};

	// Once it has had another listener for the data, Node no longer reads them within the parser.
	const detach = () => undefined;
	socket.on('data', detach).off('data', detach);
	return {
		update() {
			if (!socket.destroyed && (rest !== undefined || isReadWanted || hasEnded)) {
				pass();
			}
		},
	};
}
