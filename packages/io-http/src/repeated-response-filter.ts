/**
 * Separates the body of a response that ends with its connection from further responses behind it.
 * No framing shows where such a body ends, so a target that writes its response a second time makes
 * the copy look like a part of the body. The head of the copy is recognized by the request id that
 * targets repeat. The bytes before it are known to be the whole body only if the copy has the same
 * body.
 */
import {Buffer} from 'node:buffer';
import {createHash, type Hash} from 'node:crypto';

export type RepeatedResponseFilterOptions = {
	/** Name of the header that repeats the id of the request. */
	readonly idHeader: string;
	/** Id of the request to which the body belongs. */
	readonly requestId: string;
	/** Ids of earlier requests on the connection, to which a late response may belong as well. */
	readonly earlierRequestIds: readonly string[];
	/** Head of the response as text, up to and including its empty line. */
	readonly head: string;
	/** Maximum bytes of a head. */
	readonly maxHeadBytes: number;
};

export type BodyContent =
	/** No head of a further response was found. */
	| 'single'
	/** Each further response repeats the body, which proves that the body is whole. */
	| 'repeated'
	/** A further response differs or was cut, so it is unknown whether the body is whole. */
	| 'mixed';

export type RepeatedResponseFilter = {
	/**
	 * Takes the next bytes from the connection and returns the bytes that certainly belong to the
	 * body. The beginning of a possible head is kept back.
	 */
	push(chunk: Uint8Array): Uint8Array;
	/** Called when the connection has ended; returns the remaining bytes of the body. */
	end(): {readonly rest: Uint8Array; readonly content: BodyContent};
};

/** A head in a buffer: offsets of its first byte and of the first byte behind it. */
type HeadRange = {readonly start: number; readonly end: number; readonly id: string};

/** Bytes with the search methods of a buffer. */
type Bytes = ReturnType<typeof Buffer.alloc>;

type Digest = {readonly hash: Hash; bytes: number};

const lineBreak = '\r\n';
const headEnd = '\r\n\r\n';
const protocolName = 'HTTP/1.';
/** At least this much of a head at the end of a body is taken for one that was cut. */
const minCutHead = 'HTTP/1.1 ';
const statusLinePattern = /^HTTP\/1\.[01] [1-5]\d\d(?: |$)/;
const headerLinePattern = /^[!#$%&'*+\-.^_`|~\w]+[\t ]*:/;
const noBytes = Buffer.alloc(0);

/** Offset of a status line at the end of the line; it may follow the body without a line break. */
function findStatusLine(line: string): number | undefined {
	const offset = line.lastIndexOf(protocolName);
	return offset !== -1 && statusLinePattern.test(line.slice(offset)) ? offset : undefined;
}

export function createRepeatedResponseFilter(
	options: RepeatedResponseFilterOptions,
): RepeatedResponseFilter {
	const {requestId, maxHeadBytes} = options;
	const ids = [requestId, ...options.earlierRequestIds];
	const idHeader = options.idHeader.toLowerCase();
	const body: Digest = {hash: createHash('sha256'), bytes: 0};
	/** Body of the further response in progress; undefined before its head. */
	let copy: Digest | undefined;
	let bodyDigest: string | undefined;
	let isMixed = false;
	let pending: Bytes = noBytes;

	/** The id that the header line repeats; undefined for other lines. */
	function readId(line: string): string | undefined {
		const colon = line.indexOf(':');
		return line.slice(0, colon).trim().toLowerCase() === idHeader
			? ids.find(id => id === line.slice(colon + 1).trim())
			: undefined;
	}

	/** Finds a head with one of the ids in text that ends where the head ends, before its empty line. */
	function findHeadAtEnd(text: string): {readonly offset: number; readonly id: string} | undefined {
		let id: string | undefined;
		let lineEnd = text.length;
		for (;;) {
			const lineStart = text.lastIndexOf(lineBreak, lineEnd - lineBreak.length) + lineBreak.length;
			const isFirst = lineStart < lineBreak.length;
			const line = text.slice(isFirst ? 0 : lineStart, lineEnd);
			const offset = findStatusLine(line);
			if (offset !== undefined) {
				return id === undefined ? undefined : {offset: lineEnd - line.length + offset, id};
			}

			if (isFirst || !headerLinePattern.test(line)) {
				return undefined;
			}

			id ??= readId(line);
			lineEnd = lineStart - lineBreak.length;
		}
	}

	/** The first complete head with one of the ids. Linear in the number of bytes. */
	function findHead(bytes: Bytes): HeadRange | undefined {
		let blockStart = 0;
		let end = bytes.indexOf(headEnd, 0, 'latin1');
		while (end !== -1) {
			const start = Math.max(blockStart, end - maxHeadBytes);
			const head = findHeadAtEnd(bytes.toString('latin1', start, end));
			if (head !== undefined) {
				return {start: start + head.offset, end: end + headEnd.length, id: head.id};
			}

			blockStart = end + headEnd.length;
			end = bytes.indexOf(headEnd, blockStart, 'latin1');
		}

		return undefined;
	}

	/** Offset from which the bytes may be the beginning of a head that is not complete yet. */
	function findPossibleHead(bytes: Bytes): number {
		const named = bytes.indexOf(protocolName, Math.max(0, bytes.length - maxHeadBytes), 'latin1');
		if (named !== -1) {
			return named;
		}

		for (let length = Math.min(protocolName.length - 1, bytes.length); length > 0; length--) {
			if (protocolName.startsWith(bytes.toString('latin1', bytes.length - length))) {
				return bytes.length - length;
			}
		}

		return bytes.length;
	}

	/** Whether the bytes end within a copy of the head of this response. */
	function endsWithinHead(bytes: Bytes): boolean {
		const text = bytes.toString('latin1', Math.max(0, bytes.length - maxHeadBytes));
		for (
			let offset = text.indexOf(minCutHead);
			offset !== -1;
			offset = text.indexOf(minCutHead, offset + 1)
		) {
			if (options.head.startsWith(text.slice(offset))) {
				return true;
			}
		}

		return false;
	}

	/** Adds the bytes to the response in progress; returns them if they belong to the body. */
	function take(bytes: Bytes): Bytes {
		const digest = copy ?? body;
		digest.hash.update(bytes);
		digest.bytes += bytes.length;
		return copy === undefined ? bytes : noBytes;
	}

	function finishCopy(): void {
		if (copy === undefined) {
			return;
		}

		bodyDigest ??= body.hash.digest('hex');
		if (copy.bytes !== body.bytes || copy.hash.digest('hex') !== bodyDigest) {
			isMixed = true;
		}
	}

	function beginCopy(id: string): void {
		finishCopy();
		// A late response to an earlier request says nothing about this body.
		isMixed ||= id !== requestId;
		copy = {hash: createHash('sha256'), bytes: 0};
	}

	return {
		push(chunk) {
			pending = pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([pending, chunk]);
			const released: Bytes[] = [];
			for (let head = findHead(pending); head !== undefined; head = findHead(pending)) {
				released.push(take(pending.subarray(0, head.start)));
				beginCopy(head.id);
				pending = pending.subarray(head.end);
			}

			const end = findPossibleHead(pending);
			released.push(take(pending.subarray(0, end)));
			pending = pending.subarray(end);
			return released.length === 1 ? released[0]! : Buffer.concat(released);
		},
		end() {
			isMixed ||= endsWithinHead(pending);
			const rest = take(pending);
			finishCopy();
			if (isMixed) {
				return {rest, content: 'mixed'};
			}

			return {rest, content: copy === undefined ? 'single' : 'repeated'};
		},
	};
}
