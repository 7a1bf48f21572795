/**
 * Writes lines to a file descriptor without waiting for its reader. Node.js writes to a pipe
 * synchronously, so a stalled reader would block the process. Here at most one write is in
 * progress, in a thread of Node's pool, and lines that do not fit into the queue are dropped and
 * counted.
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
	/** Maximum size of the queue; a line that would exceed it is dropped. */
	readonly maxQueuedBytes: number;
	/** Called for each dropped line. */
	readonly onDropped: () => void;
	/** Writes to `descriptor` by default; tests replace it. */
	readonly writeBytes?: WriteBytes;
};

export type BoundedOutput = {
	/** For loggers that write to a stream. Never signals back-pressure. */
	readonly stream: Writable;
};

function createDescriptorWriter(descriptor: number): WriteBytes {
	return (bytes, done) => {
		write(descriptor, bytes, (error, written) => {
			done(error ?? undefined, written);
		});
	};
}

export function createBoundedOutput(options: BoundedOutputOptions): BoundedOutput {
	const {
		descriptor,
		maxQueuedBytes,
		onDropped,
		writeBytes = createDescriptorWriter(descriptor),
	} = options;
	let queue: Uint8Array[] = [];
	let queuedBytes = 0;
	let isWriting = false;

	function writeChunk(bytes: Uint8Array): void {
		isWriting = true;
		writeBytes(bytes, (error, written) => {
			if (error === undefined && written < bytes.length) {
				writeChunk(bytes.subarray(written));
				return;
			}

			isWriting = false;
			if (error?.code === 'EAGAIN') {
				// The pipe is full. The lines stay queued until the next line triggers a write.
				queue.unshift(bytes);
				queuedBytes += bytes.length;
				return;
			}

			flushQueue();
		});
	}

	function flushQueue(): void {
		if (isWriting || queue.length === 0) {
			return;
		}

		const bytes = Buffer.concat(queue, queuedBytes);
		queue = [];
		queuedBytes = 0;
		writeChunk(bytes);
	}

	const stream = new Writable({
		decodeStrings: true,
		write(chunk: Uint8Array, _encoding, done) {
			if (queuedBytes + chunk.length > maxQueuedBytes) {
				onDropped();
			} else {
				queue.push(chunk);
				queuedBytes += chunk.length;
				flushQueue();
			}

			done();
		},
	});
	return {stream};
}
