/**
 * A stand-in for a server of a service, as the page PROTOCOL describes it: it refuses requests for
 * another instance with 421, echoes the id, seals its answers and works on `slots` requests at once.
 */
/* eslint-disable camelcase -- fields have the platform's names */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {digestOf} from './client.js';

export const slots = 4;

/**
 * `work` gets the request, its body, the response and the answer headers, and answers. `onRun` is
 * called when work begins.
 */
export async function createServer(run, {id, service, zone, work, onRun, bufferBodies = true}) {
	const born = Date.now();
	let sequence = 1;
	let busy = 0;
	const queue = [];

	function begin(job) {
		busy++;
		job(() => {
			busy--;
			queue.shift()?.();
		});
	}

	async function serve(request, response) {
		const requestId = request.headers['x-shallotpond-request-id'];
		const wanted = request.headers['x-shallotpond-target-instance'];
		if (wanted !== undefined && wanted !== id) {
			response.writeHead(421, {'X-Shallotpond-Instance-Id': id, 'Content-Length': 0}).end();
			return;
		}

		const chunks = [];
		if (bufferBodies) {
			for await (const chunk of request) {
				chunks.push(chunk);
			}
		}

		const body = Buffer.concat(chunks);
		const job = release => {
			run.record('server-run', {server: id, service, request: requestId, path: request.url});
			onRun?.({id, requestId, at: run.now(), tenant: request.headers['x-shallotpond-tenant']});
			response.once('close', release);
			work({request, response, body, requestId});
		};

		if (busy < slots) {
			begin(job);
		} else {
			queue.push(() => {
				begin(job);
			});
		}
	}

	const server = http.createServer({keepAliveTimeout: 10_000}, async (request, response) => {
		try {
			await serve(request, response);
		} catch {
			// The connection broke while the body arrived.
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	run.atEnd(() => {
		server.closeAllConnections();
		server.close();
	});
	return {
		id,
		service,
		zone,
		key: `servers/${id}`,
		address: `127.0.0.1:${server.address().port}`,
		/** The entry of the server in the store. */
		entry(state = 'ready') {
			return {
				address: this.address,
				born,
				info: {service, version: 'v1', zone, slots},
				status: {state, sequence: sequence++, cold_remaining_ms: 0},
			};
		},
		/** Ends all connections and stops listening. */
		leave() {
			server.closeAllConnections();
			server.close();
		},
	};
}

/** The headers of an answer with this whole body. */
export function answerHeaders(requestId, body) {
	return {
		'X-Shallotpond-Request-Id': requestId,
		'X-Shallotpond-Response-Seal': digestOf(body),
	};
}

/** The configuration that the operator writes to `op/config`. */
export function configurationOf({version, routes, services, tenants}) {
	return {
		version: `r${version}`,
		routes: routes.map(route => ({
			target_latency_ms: 1200,
			priority: 1,
			max_attempts: 2,
			public: false,
			...route,
		})),
		services: services.map(name => ({
			name,
			health_path: '/health',
			max_connections: 330,
			protocol: 'h1',
			tls: false,
			cold_s: 3,
			cold_per_s: 10,
		})),
		limits: {
			header_bytes: 16_384,
			body_bytes: 67_108_864,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000,
		},
		tenants,
	};
}
