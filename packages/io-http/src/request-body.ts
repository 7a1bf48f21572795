/**
 * The body of a request. Its beginning is held in memory up to a limit, and a body that fits can be
 * sent again. The rest of a larger body is streamed with back-pressure, so it can be sent only
 * once.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ClientRequest} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {createChunkCollector, type ChunkCollector} from './chunk-collector.js';
import {createIdleTimer} from './idle-timer.js';
import {type ProblemCode} from './problem-response.js';

/**
 * The body is too large, the caller was silent for too long, its connection ended, or the trailers
 * are malformed.
 */
export type BodyFailure = 'too-large' | 'stalled' | 'gone' | 'malformed';

export const bodyFailureProblems: Readonly<Record<BodyFailure, ProblemCode>> = {
	'too-large': 'body-too-large',
	stalled: 'request-timeout',
	gone: 'cancelled',
	malformed: 'malformed-request',
};

export type RequestBody = {
	/** Bytes; undefined for a chunked body that is streamed. */
	readonly length: number | undefined;
	/** The whole body, if it fits in memory. */
	readonly whole: Uint8Array | undefined;
	/** Whether the body can still be sent from its start. */
	readonly isReplayable: boolean;
	/**
	 * Writes the body and ends the request. Calls `onFailure` once if the body turns out to be too
	 * large or the caller does not deliver it.
	 */
	sendTo(targetRequest: ClientRequest, onFailure: (failure: BodyFailure) => void): void;
};

export type RequestBodyOptions = {
	readonly clock: Clock;
	/** Bytes; undefined for a chunked body. */
	readonly length: number | undefined;
	/** Maximum bytes held in memory. */
	readonly maxBufferedBytes: number;
	/** Maximum bytes of the whole body. */
	readonly maxBytes: number;
	/** Maximum silence of the caller, milliseconds. */
	readonly idleTimeout: number;
	/** Called with the estimated bytes of memory that the body newly holds. */
	readonly onHeld?: (bytes: number) => void;
};

const emptyBody: RequestBody = {
	length: 0,
	whole: Buffer.alloc(0),
	isReplayable: true,
	sendTo(targetRequest) {
		targetRequest.end();
	},
};

type Listeners = {
	data(chunk: Uint8Array): void;
	end(): void;
	failure(failure: BodyFailure): void;
};

/** Listens until the body ends, a failure occurs or `stop` is called. */
function listen(source: IncomingMessage, options: RequestBodyOptions, listeners: Listeners) {
	const timer = createIdleTimer(options.clock, options.idleTimeout, () => {
		fail('stalled');
	});
	const onData = (chunk: Uint8Array) => {
		timer.touch();
		listeners.data(chunk);
	};

	const onEnd = () => {
		if (checkHeaderSyntax(source.rawTrailers) === 'valid') {
			stop();
			listeners.end();
		} else {
			fail('malformed');
		}
	};

	const onClosed = () => {
		fail('gone');
	};

	function stop(): void {
		timer.stop();
		source.off('data', onData).off('end', onEnd).off('error', onClosed).off('close', onClosed);
		source.pause();
	}

	function fail(failure: BodyFailure): void {
		stop();
		listeners.failure(failure);
	}

	source.on('data', onData).on('end', onEnd).on('error', onClosed).on('close', onClosed);
	source.resume();
	return {stop, fail, timer};
}

/** Bytes from which a chunk is sent on by itself; smaller ones are joined as they arrive. */
const minSentBytes = 1024;

/** Joins the small chunks that the parser finds in one part of the input, before they are sent. */
function createChunkSender(send: (chunk: Uint8Array) => void) {
	const pending = createChunkCollector();

	function flush(): void {
		if (pending.bytes > 0) {
			send(pending.take());
		}
	}

	return {
		flush,
		push(chunk: Uint8Array) {
			if (pending.bytes === 0 && chunk.length >= minSentBytes) {
				send(chunk);
				return;
			}

			if (pending.bytes === 0) {
				queueMicrotask(flush);
			}

			pending.push(chunk);
		},
	};
}

function createStreamedBody(
	source: IncomingMessage,
	held: ChunkCollector,
	options: RequestBodyOptions,
): RequestBody {
	let isStarted = false;
	return {
		length: options.length,
		whole: undefined,
		get isReplayable() {
			return !isStarted;
		},
		sendTo(targetRequest, onFailure) {
			isStarted = true;
			let received = held.bytes;
			targetRequest.write(held.take());

			function resume(): void {
				listening.timer.touch();
				source.resume();
			}

			const sender = createChunkSender(chunk => {
				if (!targetRequest.destroyed && !targetRequest.write(chunk)) {
					source.pause();
					listening.timer.suspend();
					// Once the response is complete, the request itself emits no 'drain' any more.
					targetRequest.socket?.once('drain', resume);
				}
			});
			const listening = listen(source, options, {
				data(chunk) {
					received += chunk.length;
					if (received > options.maxBytes) {
						listening.fail('too-large');
					} else {
						sender.push(chunk);
					}
				},
				end() {
					sender.flush();
					targetRequest.end();
				},
				failure: onFailure,
			});
			targetRequest.on('drain', resume);
			targetRequest.once('close', () => {
				listening.stop();
				// The rest is discarded, so that the next request on the caller's connection is read.
				source.resume();
			});
		},
	};
}

function createWholeBody(whole: Uint8Array): RequestBody {
	return {
		length: whole.length,
		whole,
		isReplayable: true,
		sendTo(targetRequest) {
			targetRequest.end(whole);
		},
	};
}

/**
 * Reads the beginning of the body. Resolves with a failure if the body is too large or the caller
 * does not deliver it.
 */
export async function readRequestBody(
	source: IncomingMessage,
	options: RequestBodyOptions,
): Promise<RequestBody | BodyFailure> {
	if (options.length === 0) {
		return emptyBody;
	}

	if (options.length !== undefined && options.length > options.maxBytes) {
		return 'too-large';
	}

	if (source.destroyed) {
		return 'gone';
	}

	return new Promise(resolve => {
		const held = createChunkCollector();
		const isLarge = (options.length ?? 0) > options.maxBufferedBytes;
		const listening = listen(source, options, {
			data(chunk) {
				const costBefore = held.cost;
				held.push(chunk);
				if (held.cost > costBefore) {
					options.onHeld?.(held.cost - costBefore);
				}

				if (held.bytes > options.maxBytes) {
					listening.fail('too-large');
				} else if (isLarge || held.bytes > options.maxBufferedBytes) {
					listening.stop();
					resolve(createStreamedBody(source, held, options));
				}
			},
			end() {
				resolve(createWholeBody(held.take()));
			},
			failure: resolve,
		});
	});
}
