/**
 * A stand-in for a client: one request on a connection of its own, with the standard HTTP client of
 * Node.js. It reports what any client sees: the status, the headers, the bytes and how it ended.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import http from 'node:http';

export function newRequestId() {
	return randomBytes(8).toString('hex');
}

export function digestOf(bytes) {
	return createHash('sha1').update(bytes).digest('hex');
}

/**
 * Resolves with `status`, `headers`, `body` and `ending`: `complete` (the answer ended as HTTP/1.1
 * says), `cut` (the connection ended within the answer), `none` (it ended without an answer) or
 * `timeout`.
 */
export async function callOnce({
	host,
	port,
	path,
	method = 'GET',
	headers = {},
	body,
	timeout,
	onData,
}) {
	return new Promise(resolve => {
		const chunks = [];
		let response;
		let isSettled = false;
		const request = http.request({host, port, path, method, headers, agent: false});
		const timer = setTimeout(() => {
			settle('timeout');
		}, timeout);

		function settle(ending, error) {
			if (isSettled) {
				return;
			}

			isSettled = true;
			clearTimeout(timer);
			resolve({
				status: response?.statusCode,
				headers: response?.headers ?? {},
				body: Buffer.concat(chunks),
				ending,
				error,
			});
			request.destroy();
		}

		request.on('response', received => {
			response = received;
			response.on('data', chunk => {
				chunks.push(chunk);
				onData?.(chunk, response);
			});
			response.on('end', () => {
				settle(response.complete ? 'complete' : 'cut');
			});
			response.on('error', error => {
				settle('cut', error.code);
			});
			response.on('close', () => {
				settle('cut');
			});
		});
		request.on('error', error => {
			settle(response === undefined ? 'none' : 'cut', error.code);
		});
		request.on('close', () => {
			// The rest of an answer may still wait to be read.
			if (response === undefined) {
				settle('none');
			}
		});
		request.end(body);
	});
}

/** Headers of a request as clients of the platform send them. */
export function clientHeaders({id, host, key, timeout}) {
	return {
		Host: host,
		'X-Shallotpond-Request-Id': id,
		'X-Shallotpond-Deadline-Ms': String(timeout),
		...(key !== undefined && {'X-Shallotpond-Credential': key}),
	};
}
