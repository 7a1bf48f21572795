/**
 * The number of bytes of a body that are parsed at once. What a byte costs is in the hands of its
 * sender, so it follows from the time that the last part took.
 */
export type PartSize = {
	readonly bytes: number;
	/** Records a part and the milliseconds that it took to parse. */
	record(bytes: number, duration: number): void;
	/** To be called before the first part of another body. */
	reset(): void;
};

export type PartSizeOptions = {
	/** Bytes of the first part. */
	readonly firstBytes: number;
};

const minBytes = 1024;
const maxBytes = 16_384;
/** Milliseconds that the next part may take, if it is like the last one. */
const partMs = 1;
/** Shortest duration of a part that is told from none, milliseconds. */
const minMeasuredMs = 0.01;

export function createPartSize({firstBytes}: PartSizeOptions): PartSize {
	let size = firstBytes;
	return {
		get bytes() {
			return size;
		},
		record(bytes, duration) {
			const fitting = Math.floor((bytes * partMs) / Math.max(duration, minMeasuredMs));
			size = Math.min(maxBytes, Math.max(minBytes, fitting));
		},
		reset() {
			size = firstBytes;
		},
	};
}
