/**
 * Collects the chunks of a body. Small chunks are copied into blocks, because an object for each of
 * them would take a hundred times the memory of the bytes that it carries.
 */
import {Buffer} from 'node:buffer';

export type ChunkCollector = {
	/** Bytes of the chunks. */
	readonly bytes: number;
	/** Estimated bytes of memory. */
	readonly cost: number;
	push(chunk: Uint8Array): void;
	/** Returns the collected chunks, joined, and forgets them. */
	take(): Uint8Array;
	/** Forgets the collected chunks. */
	clear(): void;
};

/** Bytes of a block; chunks of this size or more are kept as they are. */
const blockBytes = 4096;
/** Estimated bytes of the objects that hold one block or chunk. */
const objectCost = 256;

export function createChunkCollector(): ChunkCollector {
	let chunks: Uint8Array[] = [];
	let bytes = 0;
	let cost = 0;
	/** The block that is being filled, and how many of its bytes are used. */
	let block: Uint8Array | undefined;
	let used = 0;

	function closeBlock(): void {
		if (block !== undefined) {
			chunks.push(block.subarray(0, used));
			block = undefined;
		}
	}

	function append(chunk: Uint8Array): void {
		chunks.push(chunk);
		cost += chunk.length + objectCost;
	}

	function copy(chunk: Uint8Array): void {
		if (block !== undefined && used + chunk.length > blockBytes) {
			closeBlock();
		}

		if (block === undefined) {
			block = Buffer.allocUnsafeSlow(blockBytes);
			used = 0;
			cost += blockBytes + objectCost;
		}

		block.set(chunk, used);
		used += chunk.length;
	}

	function clear(): void {
		chunks = [];
		bytes = 0;
		cost = 0;
		block = undefined;
	}

	return {
		get bytes() {
			return bytes;
		},
		get cost() {
			return cost;
		},
		push(chunk) {
			// Most bodies arrive in one chunk, which need not be copied.
			if (bytes === 0 || chunk.length >= blockBytes) {
				closeBlock();
				append(chunk);
			} else {
				copy(chunk);
			}

			bytes += chunk.length;
		},
		take() {
			closeBlock();
			const joined =
				chunks.length === 1
					? Buffer.from(chunks[0]!.buffer, chunks[0]!.byteOffset, bytes)
					: Buffer.concat(chunks, bytes);
			clear();
			return joined;
		},
		clear,
	};
}
