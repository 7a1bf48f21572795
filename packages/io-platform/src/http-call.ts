/**
 * One HTTP call with a timeout and a size limit for the response. Each call opens its own
 * connection: calls are rare, and a pooled connection may have failed without being noticed.
 */
import {Buffer} from 'node:buffer';
import {request, type IncomingHttpHeaders, type IncomingMessage} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {PlatformError, toPlatformError} from './platform-error.js';

export type HttpCall = {
	readonly url: URL;
	readonly method?: 'GET' | 'POST';
	readonly headers?: Readonly<Record<string, string>>;
	/** For the whole call, until the last byte of the response. Milliseconds. */
	readonly timeout: number;
	/** Largest accepted body. Bytes. */
	readonly maxResponseSize: number;
	readonly clock: Clock;
	readonly signal?: AbortSignal;
};

export type HttpResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

async function readBody(response: IncomingMessage, maxSize: number): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of response as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxSize) {
			throw new PlatformError('answer-too-big', `the response exceeds ${maxSize} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/**
 * Resolves with the response, whatever its status code. Rejects with a `PlatformError`: `timeout`,
 * `unreachable`, `answer-too-big`, `malformed-answer` or `stopped` (the signal was aborted).
 */
export async function callHttp(call: HttpCall): Promise<HttpResponse> {
	const {url, method = 'GET', headers = {}, timeout, maxResponseSize, clock, signal} = call;
	let cancelTimeout: () => void = () => undefined;
	try {
		return await new Promise<HttpResponse>((resolve, reject) => {
			const outgoing = request(url, {method, headers, agent: false});
			const fail = (error: unknown) => {
				reject(toPlatformError(error, 'unreachable'));
				outgoing.destroy();
			};

			const abort = () => {
				fail(new PlatformError('stopped', 'the call was stopped'));
			};

			cancelTimeout = clock.after(timeout, () => {
				fail(new PlatformError('timeout', `no complete response within ${timeout} ms`));
			});
			signal?.addEventListener('abort', abort, {once: true});
			outgoing.on('close', () => signal?.removeEventListener('abort', abort));
			outgoing.on('error', fail);
			outgoing.on('response', async response => {
				try {
					if (checkHeaderSyntax(response.rawHeaders) !== 'valid') {
						throw new PlatformError('malformed-answer', 'the head of the response is malformed');
					}

					const body = await readBody(response, maxResponseSize);
					resolve({status: response.statusCode ?? 0, headers: response.headers, body});
				} catch (error) {
					fail(error);
				}
			});
			if (signal?.aborted) {
				abort();
				return;
			}

			outgoing.end();
		});
	} finally {
		cancelTimeout();
	}
}

/** Throws a `PlatformError` (`malformed-answer`) if the body is not JSON in UTF-8. */
export function parseJsonResponse(response: HttpResponse): unknown {
	try {
		return JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(response.body));
	} catch (error) {
		throw new PlatformError('malformed-answer', 'the response is not JSON', {cause: error});
	}
}
