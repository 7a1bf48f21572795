/**
 * Simulated callers with persistent connections. Like callers behind the platform's load balancer,
 * each keeps using the same instance until the process there has ended, or until the caller
 * reconnects, which it does at random.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {drawWeighted, type Random} from '@shallotpond/kernel/random';
import {encodeCallerHeaders, readResponseSeal} from '@shallotpond/platform/stand-in-encoding';
import {type Observations} from './observations.js';
import {sealOf} from './soak-target.js';

export type CallerRoute = {
	readonly name: string;
	readonly host: string;
	/** Path of the requests, to which the id of the request is appended. */
	readonly path: string;
	readonly isIdempotent: boolean;
	/** Proportion of the requests, relative to the weights of the other routes. */
	readonly weight: number;
};

/** Address of an instance, and the process that was running there when it was chosen. */
export type InstanceEndpoint = {
	readonly instance: number;
	readonly incarnation: number;
	readonly host: string;
	readonly port: number;
};

export type SoakCallers = {
	start(): void;
	/** Stops sending requests. Requests in flight continue. */
	stop(): void;
	/** Closes all connections. */
	close(): void;
	/** Number of requests that have no outcome yet. */
	readonly openRequests: number;
	/** Multiplies the request rate of a workspace by `factor`. */
	setFloodFactor(workspace: string, factor: number): void;
};

export type SoakCallersOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly observations: Observations;
	readonly routes: readonly CallerRoute[];
	/** Requests per second by workspace. */
	readonly rates: Readonly<Record<string, number>>;
	/** Returns the key for the next request of the workspace; the key may be a withdrawn one. */
	readonly keyOf: (workspace: string) => string;
	/** Returns an instance that the load balancer offers; undefined if there is none. */
	readonly chooseEndpoint: () => InstanceEndpoint | undefined;
	/** Whether the process at the endpoint is still the one that was chosen. */
	readonly isSameProcess: (endpoint: InstanceEndpoint) => boolean;
};

type Caller = {agent: http.Agent; endpoint: InstanceEndpoint | undefined};

const callerCount = 40;
/** Interval of the timer that sends the requests that are due, which may be none or several. */
const stepMs = 10;
/** Milliseconds from the start of a request to its deadline; sent in a header of the request. */
const timeout = 3000;
/** Probability that a caller chooses an instance anew before a request. */
const reconnectProbability = 0.1;
const millisecondsPerSecond = 1000;
const body = Buffer.from('order');

function createAgent(): http.Agent {
	return new http.Agent({keepAlive: true, maxSockets: 4});
}

export function createSoakCallers(options: SoakCallersOptions): SoakCallers {
	const {clock, random, observations} = options;
	const callers: Caller[] = Array.from({length: callerCount}, () => ({
		agent: createAgent(),
		endpoint: undefined,
	}));
	const retiredAgents: http.Agent[] = [];
	const floodFactors = new Map<string, number>();
	let cancelTimer: (() => void) | undefined;
	let openRequests = 0;
	let sentCount = 0;

	function endpointFor(caller: Caller): InstanceEndpoint | undefined {
		const {endpoint} = caller;
		if (
			endpoint !== undefined &&
			options.isSameProcess(endpoint) &&
			random() >= reconnectProbability
		) {
			return endpoint;
		}

		// The old agent stays open, because requests may still be in flight on its connections.
		retiredAgents.push(caller.agent);
		caller.agent = createAgent();
		caller.endpoint = options.chooseEndpoint();
		return caller.endpoint;
	}

	function pickRoute(): CallerRoute {
		return drawWeighted(options.routes, ({weight}) => weight, random) ?? options.routes[0]!;
	}

	function send(workspace: string): void {
		const caller = callers[Math.floor(random() * callerCount)]!;
		const endpoint = endpointFor(caller);
		if (endpoint === undefined) {
			return;
		}

		const route = pickRoute();
		const id = `q${++sentCount}`;
		const key = options.keyOf(workspace);
		const {name, isIdempotent} = route;
		const {instance, incarnation, host, port} = endpoint;
		const at = clock.monotonic();
		observations.sent.set(id, {
			id,
			at,
			instance,
			incarnation,
			key,
			workspace,
			route: name,
			isIdempotent,
		});
		openRequests++;
		let isWritten = false;
		let isDone = false;

		function recordOutcome(status: number | undefined, hasValidBody: boolean): void {
			if (isDone) {
				return;
			}

			isDone = true;
			openRequests--;
			observations.outcomes.push({id, at: clock.monotonic(), status, isWritten, hasValidBody});
		}

		const request = http.request({
			host,
			port,
			agent: caller.agent,
			method: isIdempotent ? 'GET' : 'POST',
			path: `${route.path}${id}`,
			headers: {host: route.host, ...encodeCallerHeaders({id, key, timeout})},
			timeout: timeout + stepMs,
		});
		request.on('finish', () => {
			isWritten = true;
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			recordOutcome(undefined, false);
		});
		request.on('response', response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('error', () => {
				recordOutcome(undefined, false);
			});
			response.on('end', () => {
				const text = Buffer.concat(chunks).toString('latin1');
				const isValidBody =
					text.startsWith(`${id}:`) && readResponseSeal(response.headers) === sealOf(text);
				recordOutcome(response.statusCode, isValidBody);
			});
		});
		request.end(isIdempotent ? undefined : body);
	}

	function sendDueRequests(): void {
		for (const [workspace, rate] of Object.entries(options.rates)) {
			const floodFactor = floodFactors.get(workspace) ?? 1;
			for (let due = (rate * floodFactor * stepMs) / millisecondsPerSecond; due > 0; due--) {
				if (random() < due) {
					send(workspace);
				}
			}
		}
	}

	return {
		get openRequests() {
			return openRequests;
		},
		start() {
			cancelTimer = clock.every(stepMs, sendDueRequests);
		},
		stop() {
			cancelTimer?.();
		},
		close() {
			for (const agent of [...retiredAgents, ...callers.map(caller => caller.agent)]) {
				agent.destroy();
			}
		},
		setFloodFactor(workspace, factor) {
			floodFactors.set(workspace, factor);
		},
	};
}
