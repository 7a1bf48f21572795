/**
 * Simulated target that follows the platform's protocol, records every request that it runs, and
 * can be made to fail in the ways in which targets fail. It is reached through a fault proxy.
 */
import {createHash} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {
	encodeResponseHeaders,
	notExecutedHeaders,
	readTargetHeaders,
} from '@shallotpond/platform/stand-in-encoding';
import {type ListedTarget} from '@shallotpond/policy-routing/target-directory';
import {createFaultProxy, type FaultProxy} from './fault-proxy.js';
import {type Observations} from './observations.js';

export type TargetFault =
	/** Most requests fail without delay (gray failure). */
	| 'gray'
	/** Requests take longer. */
	| 'slow'
	/** Requests run but get no response. */
	| 'mute'
	/** Idle connections are reset on their next use. */
	| 'forgets';

export type ServiceProfile = {
	readonly name: string;
	/** Milliseconds that a request takes. */
	readonly serviceTime: number;
	/** Size of the content of a response body, bytes. */
	readonly responseBytes: number;
};

export type SoakTarget = {
	readonly id: string;
	readonly proxy: FaultProxy;
	readonly service: string;
	readonly failureDomain: string;
	/** Returns the entry of the target in the platform's target directory. */
	directoryEntry(state: ListedTarget['state']): ListedTarget;
	/** Makes the target fail in the given way, or work normally if undefined. */
	setFault(fault: TargetFault | undefined): void;
	start(): Promise<void>;
	/** Stops listening and closes all connections without completing the requests in flight. */
	crash(): Promise<void>;
};

export type SoakTargetOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly observations: Observations;
	readonly id: string;
	readonly profile: ServiceProfile;
	readonly failureDomain: string;
	/** Milliseconds for which the target is cold after its start. */
	readonly coldFor: number;
};

export const slotsPerTarget = 4;
/** Maximum number of requests that wait for a slot; the target refuses more. */
const queueLength = 16;
/** Fraction of the requests that fail during a gray failure. */
const grayFailureFraction = 0.6;
const slowdownFactor = 6;
/** Idle time after which `forgets` resets a connection. */
const forgetAfterMs = 300;
const statuses = {ok: 200, misdirected: 421, failed: 500, busy: 503} as const;

/**
 * Returns the digest of a response body. Targets send it in a header, the seal, with which callers
 * verify that the body is complete and unmodified.
 */
export function sealOf(body: string): string {
	return createHash('sha1').update(body).digest('hex');
}

export function createSoakTarget(options: SoakTargetOptions): SoakTarget {
	const {clock, random, observations, id, profile, failureDomain} = options;
	const startTime = clock.wall().getTime();
	const startedAt = clock.monotonic();
	const lastUsedAt = new WeakMap<Socket, number>();
	const queue: Array<() => void> = [];
	let busySlots = 0;
	let activeFault: TargetFault | undefined;

	const proxy = createFaultProxy({
		clock,
		destination: () => (server.address() as AddressInfo | undefined)?.port ?? 0,
	});

	function release(): void {
		busySlots--;
		const next = queue.shift();
		if (next !== undefined) {
			next();
		}
	}

	function runRequest(request: IncomingMessage, response: ServerResponse): void {
		const targetHeaders = readTargetHeaders(request.headers);
		busySlots++;
		observations.runs.push({
			id: targetHeaders.id ?? 'without id',
			at: clock.monotonic(),
			target: id,
			service: profile.name,
			failureDomain,
			workspace: targetHeaders.workspace,
			hasKey: targetHeaders.hasKey,
		});
		if (activeFault === 'mute') {
			response.once('close', release);
			return;
		}

		const isFailing = activeFault === 'gray' && random() < grayFailureFraction;
		const serviceTime = isFailing
			? 1
			: profile.serviceTime * (activeFault === 'slow' ? slowdownFactor : 1);
		clock.after(serviceTime, () => {
			const status = isFailing ? statuses.failed : statuses.ok;
			const body = `${targetHeaders.id}:${'x'.repeat(isFailing ? 0 : profile.responseBytes)}`;
			response.writeHead(status, {
				...encodeResponseHeaders(targetHeaders.id ?? '', sealOf(body)),
				'content-length': body.length,
			});
			response.end(body);
			lastUsedAt.set(request.socket, clock.monotonic());
			release();
		});
	}

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const idleSince = lastUsedAt.get(request.socket);
		const hasBeenIdle = idleSince !== undefined && clock.monotonic() - idleSince > forgetAfterMs;
		if (activeFault === 'forgets' && hasBeenIdle) {
			request.socket.resetAndDestroy();
			return;
		}

		const {target} = readTargetHeaders(request.headers);
		if (target !== undefined && target !== id) {
			response.writeHead(statuses.misdirected);
			response.end();
			return;
		}

		request.resume();
		request.once('end', () => {
			if (busySlots < slotsPerTarget) {
				runRequest(request, response);
			} else if (queue.length < queueLength) {
				queue.push(() => {
					runRequest(request, response);
				});
			} else {
				response.writeHead(statuses.busy, notExecutedHeaders);
				response.end();
			}
		});
	}

	const server = http.createServer(handleRequest);

	return {
		id,
		proxy,
		service: profile.name,
		failureDomain,
		directoryEntry: state => ({
			id,
			startTime,
			service: profile.name,
			address: `127.0.0.1:${proxy.port}`,
			failureDomain,
			slots: slotsPerTarget,
			state,
			coldFor: Math.max(0, Math.round(options.coldFor - (clock.monotonic() - startedAt))),
		}),
		setFault(next) {
			activeFault = next;
		},
		async start() {
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			await proxy.start();
		},
		async crash() {
			// Requests that still wait for a slot must never run.
			queue.length = 0;
			server.closeAllConnections();
			server.close();
			await proxy.stop();
		},
	};
}
