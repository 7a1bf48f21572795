/**
 * Writes lines to a file descriptor without ever waiting for its reader. Node writes to a pipe
 * synchronously, so a reader that stops reading would stop the process; here one write is under way
 * at a time, in another thread, and what does not fit into the queue is dropped and counted.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {Writable} from 'node:stream';

type WriteBytes = (
	bytes: Uint8Array,
	done: (error: NodeJS.ErrnoException | undefined, written: number) => void,
) => void;

export type BoundedOutputOptions = {
	readonly descriptor: number;
	/** Bytes that may wait for the reader. */
	readonly maxBytes: number;
	/** Called for each line that was dropped. */
	readonly onDropped: () => void;
	/** Replaces the system call in tests. */
	readonly writeBytes?: WriteBytes;
};

export type BoundedOutput = {
	/** For loggers that write to a stream. Never signals back-pressure. */
	readonly stream: Writable;
};

function writeTo(descriptor: number): WriteBytes {
	return (bytes, done) => {
		write(descriptor, bytes, (error, written) => {
			done(error ?? undefined, written);
		});
	};
}

export function createBoundedOutput(options: BoundedOutputOptions): BoundedOutput {
	const {descriptor, maxBytes: mostBytes, onDropped, writeBytes = writeTo(descriptor)} = options;
	let waiting: Uint8Array[] = [];
	let waitingBytes = 0;
	let isWriting = false;

	function flush(bytes: Uint8Array): void {
		isWriting = true;
		writeBytes(bytes, (error, written) => {
			if (error === undefined && written < bytes.length) {
				flush(bytes.subarray(written));
				return;
			}

			isWriting = false;
			if (error?.code === 'EAGAIN') {
				// The reader is slow; the lines are kept and go out with the next one.
				waiting.unshift(bytes);
				waitingBytes += bytes.length;
				return;
			}

			flushWaiting();
		});
	}

	function flushWaiting(): void {
		if (isWriting || waiting.length === 0) {
			return;
		}

		const bytes = Buffer.concat(waiting, waitingBytes);
		waiting = [];
		waitingBytes = 0;
		flush(bytes);
	}

	const stream = new Writable({
		decodeStrings: true,
		write(chunk: Uint8Array, _encoding, done) {
			if (waitingBytes + chunk.length > mostBytes) {
				onDropped();
			} else {
				waiting.push(chunk);
				waitingBytes += chunk.length;
				flushWaiting();
			}

			done();
		},
	});
	return {stream};
}
