/**
 * Passes what arrives on a socket to Node's HTTP parser in small parts, and only while the gate is
 * open. Node itself gives the parser all that one read returns, 64 KiB, and creates an object for
 * each head and each chunk in it; thousands of them can exist before any of them is handled. What
 * is kept back here is at most what one read returns, because the socket is read no further then.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';

export type ReadGateOptions = {
	/** Whether the next part may be passed on. */
	readonly isOpen: () => boolean;
	/** Whether the connection is about to close, so that nothing more is parsed. */
	readonly isDiscarding: () => boolean;
	/** Maximum bytes of the next part. */
	readonly partBytes: () => number;
	/** Called with each change of the number of bytes kept back. */
	readonly onHeldChange: (bytes: number) => void;
	/** Called after each part, with the milliseconds that it took to parse. */
	readonly onParsed: (bytes: number, duration: number) => void;
	readonly clock: Pick<Clock, 'monotonic'>;
};

export type ReadGate = {
	/** To be called when the gate may have opened. */
	update(): void;
	/** To be called when another parser listens for the data, which must then be timed anew. */
	attach(): void;
};

/** Whether the parser is within the body of the message and nobody reads it at the moment. */
export function isBodyUnread(message: IncomingMessage | undefined): boolean {
	return message !== undefined && !message.complete && message.readableFlowing !== true;
}

/** To be called after Node's HTTP server or client has taken over the socket. */
export function createReadGate(socket: Socket, options: ReadGateOptions): ReadGate {
	const {isOpen, isDiscarding} = options;
	const pushToStream = socket.push.bind(socket);
	const requestRead = socket._read.bind(socket);
	/** What the stream has not received yet. */
	let rest: Uint8Array | undefined;
	let hasEnded = false;
	let isReadWanted = false;
	let isPassing = false;
	/** Bytes that the stream has received and not yet delivered to the parser. */
	let unparsedBytes = 0;

	/** A part is passed on only after the last one was parsed, so that its duration is known. */
	const mayPass = () => unparsedBytes === 0 && isOpen();

	function passToStream(part: Uint8Array): boolean {
		unparsedBytes += part.length;
		return pushToStream(part);
	}

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
			} else if (mayPass()) {
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
			pushToStream(null);
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

	function update(): void {
		if (!socket.destroyed && (rest !== undefined || isReadWanted || hasEnded)) {
			pass();
		}
	}

	// Node's sockets deliver what they have read through `push` and are asked for more by `_read`.
	socket.push = (chunk: unknown) => {
		if (!(chunk instanceof Uint8Array)) {
			// Null marks the end of the stream.
			hasEnded = true;
		} else if (rest === undefined && chunk.length <= options.partBytes() && mayPass()) {
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

	// The parser runs in a listener for the data. A stream may deliver a part later than it got it, so
	// the time is taken by listeners before and after that one. With another listener, Node also no
	// longer reads the data within the parser.
	let parsingSince = 0;
	function beginPart(): void {
		parsingSince = options.clock.monotonic();
	}

	function endPart(part: Uint8Array): void {
		unparsedBytes -= part.length;
		options.onParsed(part.length, options.clock.monotonic() - parsingSince);
		update();
	}

	socket.prependListener('data', beginPart);
	socket.on('data', endPart);
	return {
		update,
		attach() {
			socket.off('data', endPart);
			socket.on('data', endPart);
		},
	};
}
