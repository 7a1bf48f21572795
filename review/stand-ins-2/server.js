/**
 * Stand-in of a back end. It checks which server a request is meant for, runs a few requests at a
 * time, queues a few more, turns others away, and answers with a seal. It notes when a request
 * arrived, has run or was cut.
 */
import {createHash} from 'node:crypto';
import http from 'node:http';

const idleCloseMs = 10_000;
/** A longer answer arrives in two parts, as over a link that is not infinitely fast. */
const partBytes = 15_000;
const partMs = 10;

export function sealOf(id, body) {
	return `3e1b.07.${createHash('sha256').update(id).update(body).digest('hex').slice(0, 16)}`;
}

/** Runs at most `slots` jobs at a time; further ones wait, at most `places` of them. */
function createSlots(slots, places) {
	const queue = [];
	let running = 0;

	function start(job) {
		running++;
		job(() => {
			running--;
			const next = queue.shift();
			if (next !== undefined) {
				start(next);
			}
		});
	}

	return {
		/** Returns whether the job is taken. `job` gets a function to call at its end. */
		take(job) {
			if (running < slots) {
				start(job);
				return true;
			}

			if (queue.length < places) {
				queue.push(job);
				return true;
			}

			return false;
		},
	};
}

/** `workOf(request)` returns the milliseconds of work and the body of the answer. */
export async function startServer({host, id, note, workOf, slots = 4, places = 16}) {
	const jobs = createSlots(slots, places);

	function run(request, response, requestId, finish) {
		if (response.destroyed) {
			finish();
			return;
		}

		note('runs', {id: requestId, server: id});
		const {work, body} = workOf(request);
		let isOver = false;

		function end(text) {
			if (!isOver) {
				isOver = true;
				clearTimeout(timer);
				note(text, {id: requestId, server: id});
				finish();
			}
		}

		const timer = setTimeout(() => {
			end('has run');
			response.writeHead(200, {
				'x-shallotpond-request-id': requestId,
				'x-shallotpond-response-seal': sealOf(requestId, body),
				'content-length': body.length,
			});
			if (body.length <= partBytes) {
				response.end(body);
				return;
			}

			response.write(body.subarray(0, partBytes));
			setTimeout(() => {
				response.end(body.subarray(partBytes));
			}, partMs);
		}, work);
		response.once('close', () => {
			end('is cut');
		});
	}

	const server = http.createServer((request, response) => {
		const requestId = request.headers['x-shallotpond-request-id'];
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		request.resume();
		request.on('end', () => {
			note('arrives', {id: requestId, server: id, path: request.url});
			const expected = request.headers['x-shallotpond-target-instance'];
			if (requestId === undefined) {
				response.writeHead(400, {'x-shallotpond-not-executed': '1'}).end();
			} else if (expected !== undefined && expected !== id) {
				response
					.writeHead(421, {
						'x-shallotpond-request-id': requestId,
						'x-shallotpond-instance-id': id,
					})
					.end();
			} else if (!jobs.take(finish => run(request, response, requestId, finish))) {
				note('is turned away', {id: requestId, server: id});
				response
					.writeHead(503, {
						'x-shallotpond-request-id': requestId,
						'x-shallotpond-not-executed': '1',
					})
					.end();
			}
		});
	});
	server.keepAliveTimeout = idleCloseMs;
	server.maxConnections = 330;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		id,
		address: `${host}:${server.address().port}`,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
