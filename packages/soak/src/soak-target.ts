/**
 * A stand-in target that keeps the platform's protocol, notes every request that it runs, and can be
 * told to fail in the ways that targets fail. It is reached through a fault proxy.
 */
import {createHash} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {
	responseHeaders,
	notExecutedHeaders,
	readTargetHeaders,
} from '@shallotpond/platform/stand-in-wire';
import {type ListedTarget} from '@shallotpond/policy-routing/target-directory';
import {createFaultProxy, type FaultProxy} from './fault-proxy.js';
import {type Observations} from './observations.js';

export type TargetTrouble =
	/** Fails most requests at once. */
	| 'gray'
	| 'slow'
	/** Runs requests and never answers. */
	| 'mute'
	/** Resets connections that were idle, when they are used again. */
	| 'forgets';

export type ServiceProfile = {
	readonly name: string;
	/** Milliseconds that a request takes. */
	readonly work: number;
	/** Bytes of an answer. */
	readonly answerBytes: number;
};

export type SoakTarget = {
	readonly id: string;
	readonly proxy: FaultProxy;
	readonly service: string;
	readonly failureDomain: string;
	/** As the platform lists it. */
	listed(state: ListedTarget['state']): ListedTarget;
	setTrouble(trouble: TargetTrouble | undefined): void;
	start(): Promise<void>;
	/** Breaks off everything. */
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
/** Requests that may wait for a slot; further ones are turned away. */
const queueLength = 16;
const grayShare = 0.6;
const slowFactor = 6;
const forgetAfter = 300;
const statuses = {ok: 200, misdirected: 421, failed: 500, busy: 503} as const;

/** Proves that a body is whole and this target's own. */
export function sealOf(body: string): string {
	return createHash('sha1').update(body).digest('hex');
}

export function createSoakTarget(options: SoakTargetOptions): SoakTarget {
	const {clock, random, observations, id, profile, failureDomain} = options;
	const startTime = clock.wall().getTime();
	const startedAt = clock.monotonic();
	const lastUse = new WeakMap<Socket, number>();
	const queue: Array<() => void> = [];
	let busySlots = 0;
	let trouble: TargetTrouble | undefined;

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

	function run(request: IncomingMessage, response: ServerResponse): void {
		const read = readTargetHeaders(request.headers);
		busySlots++;
		observations.runs.push({
			id: read.id ?? 'without id',
			at: clock.monotonic(),
			target: id,
			service: profile.name,
			failureDomain,
			workspace: read.workspace,
			hasKey: read.hasKey,
		});
		if (trouble === 'mute') {
			response.once('close', release);
			return;
		}

		const isFailing = trouble === 'gray' && random() < grayShare;
		const work = isFailing ? 1 : profile.work * (trouble === 'slow' ? slowFactor : 1);
		clock.after(work, () => {
			const status = isFailing ? statuses.failed : statuses.ok;
			const body = `${read.id}:${'x'.repeat(isFailing ? 0 : profile.answerBytes)}`;
			response.writeHead(status, {
				...responseHeaders(read.id ?? '', sealOf(body)),
				'content-length': body.length,
			});
			response.end(body);
			lastUse.set(request.socket, clock.monotonic());
			release();
		});
	}

	function receive(request: IncomingMessage, response: ServerResponse): void {
		const idleSince = lastUse.get(request.socket);
		const wasIdle = idleSince !== undefined && clock.monotonic() - idleSince > forgetAfter;
		if (trouble === 'forgets' && wasIdle) {
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
				run(request, response);
			} else if (queue.length < queueLength) {
				queue.push(() => {
					run(request, response);
				});
			} else {
				response.writeHead(statuses.busy, notExecutedHeaders);
				response.end();
			}
		});
	}

	const server = http.createServer(receive);

	return {
		id,
		proxy,
		service: profile.name,
		failureDomain,
		listed: state => ({
			id,
			startTime,
			service: profile.name,
			address: `127.0.0.1:${proxy.port}`,
			failureDomain,
			slots: slotsPerTarget,
			state,
			coldFor: Math.max(0, Math.round(options.coldFor - (clock.monotonic() - startedAt))),
		}),
		setTrouble(next) {
			trouble = next;
		},
		async start() {
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			await proxy.start();
		},
		async crash() {
			// What had not begun never begins.
			queue.length = 0;
			server.closeAllConnections();
			server.close();
			await proxy.stop();
		},
	};
}
