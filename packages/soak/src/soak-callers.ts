/**
 * Callers with connections that they keep: each stays with its instance until that process is gone
 * or closes the connection, as callers behind the platform's balancer do.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {drawWeighted, type Random} from '@shallotpond/kernel/random';
import {callerHeaders, readSeal} from '@shallotpond/platform/stand-in-wire';
import {type Observations} from './observations.js';
import {sealOf} from './soak-target.js';

export type CallerRoute = {
	readonly name: string;
	readonly host: string;
	/** Path of a request. */
	readonly path: string;
	readonly isRepeatable: boolean;
	/** Share of the requests. */
	readonly weight: number;
};

export type Entrance = {
	readonly instance: number;
	readonly incarnation: number;
	readonly host: string;
	readonly port: number;
};

export type SoakCallers = {
	start(): void;
	/** Sends nothing more. */
	stop(): void;
	/** Closes all connections. */
	close(): void;
	/** Requests that have no outcome yet. */
	readonly open: number;
	/** Times the usual number of requests of a workspace. */
	setFlood(workspace: string, factor: number): void;
};

export type SoakCallersOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly observations: Observations;
	readonly routes: readonly CallerRoute[];
	/** Requests per second by workspace. */
	readonly rates: Readonly<Record<string, number>>;
	/** A key of the workspace. */
	readonly keyOf: (workspace: string) => string;
	/** An instance that the balancer offers; undefined while there is none. */
	readonly choose: () => Entrance | undefined;
	/** Whether the process at the entrance is still the same. */
	readonly isThere: (entrance: Entrance) => boolean;
};

type Caller = {agent: http.Agent; entrance: Entrance | undefined};

const callerCount = 40;
/** Milliseconds. */
const step = 10;
const timeout = 3000;
/** Chance that a caller opens a new connection at another instance. */
const moveChance = 0.1;
const millisecondsPerSecond = 1000;
const body = Buffer.from('order');

function createAgent(): http.Agent {
	return new http.Agent({keepAlive: true, maxSockets: 4});
}

export function createSoakCallers(options: SoakCallersOptions): SoakCallers {
	const {clock, random, observations} = options;
	const callers: Caller[] = Array.from({length: callerCount}, () => ({
		agent: createAgent(),
		entrance: undefined,
	}));
	const leftAgents: http.Agent[] = [];
	const floods = new Map<string, number>();
	let cancelSteps: (() => void) | undefined;
	let open = 0;
	let count = 0;

	function entranceOf(caller: Caller): Entrance | undefined {
		const {entrance} = caller;
		if (entrance !== undefined && options.isThere(entrance) && random() >= moveChance) {
			return entrance;
		}

		// Requests may still be open on the old connections.
		leftAgents.push(caller.agent);
		caller.agent = createAgent();
		caller.entrance = options.choose();
		return caller.entrance;
	}

	function pickRoute(): CallerRoute {
		return drawWeighted(options.routes, ({weight}) => weight, random) ?? options.routes[0]!;
	}

	function send(workspace: string): void {
		const caller = callers[Math.floor(random() * callerCount)]!;
		const entrance = entranceOf(caller);
		if (entrance === undefined) {
			return;
		}

		const route = pickRoute();
		const id = `q${++count}`;
		const key = options.keyOf(workspace);
		const {name, isRepeatable} = route;
		const {instance, incarnation, host, port} = entrance;
		const at = clock.monotonic();
		observations.sent.set(id, {
			id,
			at,
			instance,
			incarnation,
			key,
			workspace,
			route: name,
			isRepeatable,
		});
		open++;
		let wasWritten = false;
		let isDone = false;

		function end(status: number | undefined, isGenuine: boolean): void {
			if (isDone) {
				return;
			}

			isDone = true;
			open--;
			observations.outcomes.push({id, at: clock.monotonic(), status, wasWritten, isGenuine});
		}

		const request = http.request({
			host,
			port,
			agent: caller.agent,
			method: isRepeatable ? 'GET' : 'POST',
			path: `${route.path}${id}`,
			headers: {host: route.host, ...callerHeaders({id, key, timeout})},
			timeout: timeout + step,
		});
		request.on('finish', () => {
			wasWritten = true;
		});
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			end(undefined, false);
		});
		request.on('response', answer => {
			const chunks: Uint8Array[] = [];
			answer.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			answer.on('error', () => {
				end(undefined, false);
			});
			answer.on('end', () => {
				const text = Buffer.concat(chunks).toString('latin1');
				const isOwn = text.startsWith(`${id}:`) && readSeal(answer.headers) === sealOf(text);
				end(answer.statusCode, isOwn);
			});
		});
		request.end(isRepeatable ? undefined : body);
	}

	function sendStep(): void {
		for (const [workspace, rate] of Object.entries(options.rates)) {
			const flood = floods.get(workspace) ?? 1;
			for (let due = (rate * flood * step) / millisecondsPerSecond; due > 0; due--) {
				if (random() < due) {
					send(workspace);
				}
			}
		}
	}

	return {
		get open() {
			return open;
		},
		start() {
			cancelSteps = clock.every(step, sendStep);
		},
		stop() {
			cancelSteps?.();
		},
		close() {
			for (const agent of [...leftAgents, ...callers.map(caller => caller.agent)]) {
				agent.destroy();
			}
		},
		setFlood(workspace, factor) {
			floods.set(workspace, factor);
		},
	};
}
