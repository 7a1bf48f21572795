/**
 * Stand-in for a server behind the fleet. It registers itself in the store, checks in, runs a number
 * of requests at once, queues some and rejects the others, and seals its answers. What it runs is
 * reported to `onRun`.
 */
/* eslint-disable camelcase -- field names of the platform's pages */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';

const checkInMs = 1500;
const slots = 4;
const maxQueued = 16;

export function sealOf(body) {
	return createHash('sha1').update(body).digest('hex');
}

/**
 * @param options.isUnframed - Decides for each run whether its answer has no length and ends with
 * the connection.
 * @param options.workMs - Milliseconds that a run takes.
 * @param options.forgetsAfterMs - Returns the milliseconds after which a connection that rested is
 * reset at its next use; default: never.
 * @param options.coldMs - Milliseconds for which the server is cold after its start; default: 0.
 */
export function createTargetServer(options) {
	const {
		id,
		service,
		zone,
		store,
		workMs,
		onRun,
		coldMs = 0,
		isUnframed = () => false,
		forgetsAfterMs = () => Number.POSITIVE_INFINITY,
	} = options;
	const born = Date.now();
	const waiting = [];
	const lastUsedAt = new WeakMap();
	let busy = 0;
	let sequence = 0;
	let checkIn;

	function checkInNow() {
		sequence++;
		store.write(`servers/${id}`, {
			born,
			address: `127.0.0.1:${server.address().port}`,
			info: {service, zone, version: 'v1', slots},
			status: {
				state: 'ready',
				sequence,
				cold_remaining_ms: Math.max(0, born + coldMs - Date.now()),
			},
		});
	}

	function answer(request, response, body) {
		const headers = {
			'x-shallotpond-request-id': request.headers['x-shallotpond-request-id'],
			'x-shallotpond-response-seal': sealOf(body),
		};
		if (isUnframed()) {
			response.useChunkedEncodingByDefault = false;
			response.writeHead(200, {...headers, connection: 'close'});
		} else {
			response.writeHead(200, {...headers, 'content-length': Buffer.byteLength(body)});
		}

		response.end(body);
		lastUsedAt.set(request.socket, performance.now());
	}

	function run(request, response) {
		busy++;
		const {headers} = request;
		onRun({
			request: headers['x-shallotpond-request-id'],
			tenant: headers['x-shallotpond-tenant'],
			server: id,
		});
		setTimeout(() => {
			if (!response.destroyed) {
				answer(request, response, `${id}:${headers['x-shallotpond-request-id']}`);
			}

			busy--;
			waiting.shift()?.();
		}, workMs);
	}

	function reject(request, response, status) {
		response.writeHead(status, {
			'x-shallotpond-request-id': request.headers['x-shallotpond-request-id'] ?? '',
			'x-shallotpond-not-executed': '1',
			'content-length': 0,
		});
		response.end();
	}

	const server = http.createServer({keepAliveTimeout: 10_000}, (request, response) => {
		const restedFor = performance.now() - (lastUsedAt.get(request.socket) ?? performance.now());
		if (restedFor > forgetsAfterMs()) {
			request.socket.resetAndDestroy();
			return;
		}

		request.resume();
		request.once('end', () => {
			const expected = request.headers['x-shallotpond-target-instance'];
			if (expected !== undefined && expected !== id) {
				reject(request, response, 421);
			} else if (busy < slots) {
				run(request, response);
			} else if (waiting.length < maxQueued) {
				waiting.push(() => {
					if (response.destroyed) {
						waiting.shift()?.();
					} else {
						run(request, response);
					}
				});
			} else {
				reject(request, response, 503);
			}
		});
	});

	return {
		id,
		async start() {
			await new Promise(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			checkInNow();
			checkIn = setInterval(checkInNow, checkInMs);
		},
		/** Ends the server; the store drops its entry after three missed check-ins. */
		stop() {
			clearInterval(checkIn);
			setTimeout(() => {
				store.write(`servers/${id}`, undefined);
			}, 3 * checkInMs).unref();
			server.closeAllConnections();
			server.close();
		},
	};
}
