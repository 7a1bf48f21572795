/**
 * Connections to targets. Node's agents keep idle connections by address; this module adds the
 * checks that make reuse safe and the limits for each target.
 */
import http from 'node:http';
import https from 'node:https';
import {type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {
	type ServiceDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type Clock} from '@shallotpond/kernel/clock';
import {type HttpCounters} from './http-counters.js';
import {type HttpLimits} from './http-limits.js';
import {type ParseSchedule} from './parse-schedule.js';
import {createTargetReader, type TargetReader} from './target-reader.js';

export type TargetTls = {
	/**
	 * PEM of the authorities that sign the targets' certificates; default: those that Node trusts.
	 */
	readonly authorities?: string;
	/** Whether the certificates of targets are verified; default true. */
	readonly isVerified?: boolean;
};

export type TargetConnectionsOptions = {
	readonly clock: Clock;
	readonly limits: HttpLimits;
	readonly counters: HttpCounters;
	/** Shares the time for parsing responses. */
	readonly parseSchedule: ParseSchedule;
	readonly tls?: TargetTls;
};

export type TargetAddress = {readonly host: string; readonly port: number};

export type ConnectionReservation = {
	/**
	 * Registers the connection that the request uses; to be called when Node has given it to the
	 * request.
	 */
	use(socket: Socket, requestId: string | undefined): UsedConnection;
	/** Releases the reservation if no connection was used; otherwise does nothing. */
	cancel(): void;
};

export type UsedConnection = {
	/** Ids of the latest earlier requests on the connection. */
	readonly earlierRequestIds: readonly string[];
	/** To be called when the head of the response has been parsed. */
	beginResponse(response: http.IncomingMessage): void;
};

export type TargetConnections = {
	/**
	 * Agent for the target, and the options that every request to it needs. Returns a new object, to
	 * which the options of one request can be added without another copy.
	 */
	optionsFor(target: TargetDefinition, service: ServiceDefinition): http.RequestOptions;
	/**
	 * Reserves a connection for one more request. Undefined if the connections to the target that are
	 * in use or reserved have reached the service's `connections`; idle ones do not count, because
	 * requests reuse them. `idleLimit` is the number of idle connections that may stay open.
	 */
	reserve(
		target: TargetDefinition,
		service: ServiceDefinition,
		idleLimit: number,
	): ConnectionReservation | undefined;
	/**
	 * Milliseconds for which the connection was idle before its current request; undefined for a new
	 * connection.
	 */
	idleBefore(socket: Socket): number | undefined;
	/**
	 * Closes the idle connections to the target, for example after an attempt at it timed out; with
	 * `idleFor`, only those that have been idle for at least that many milliseconds.
	 */
	discardIdle(target: TargetDefinition, idleFor?: number): void;
	/** Connections to the target, idle and in use. */
	count(target: TargetDefinition): number;
	close(): void;
};

/** Splits `ip:port` and `[ip]:port`. */
export function parseTargetAddress(address: string): TargetAddress {
	const end = address.lastIndexOf(':');
	const host = address.slice(0, end);
	return {
		host: host.startsWith('[') ? host.slice(1, -1) : host,
		port: Number(address.slice(end + 1)),
	};
}

/**
 * Maximum idle connections from one instance to one target. Of the service's `connections`, `slots`
 * may be in use across the fleet; each instance may keep an equal part of the rest idle. 0 means
 * that each request opens a connection.
 */
export function idleConnectionLimit(service: ServiceDefinition, maxInstances: number): number {
	return Math.max(0, Math.floor((service.connections - service.slots) / maxInstances));
}

type Registration = {readonly address: string; readonly idleLimit: number};

/** Maximum number of earlier requests on a connection to which a late response may belong. */
const maxEarlierRequests = 8;
const noIds: readonly string[] = [];

export function createTargetConnections(options: TargetConnectionsOptions): TargetConnections {
	const {clock, limits, counters, tls = {}} = options;
	const registrations = new WeakMap<Duplex, Registration>();
	const socketsByAddress = new Map<string, Set<Socket>>();
	/** Requests to each address that have reserved a connection but have none yet. */
	const pendingByAddress = new Map<string, number>();
	const idleByAddress = new Map<string, Set<Duplex>>();
	/** Monotonic milliseconds at which a connection became idle. */
	const idleSince = new WeakMap<Duplex, number>();
	/** Milliseconds for which a connection had been idle when it was last reused. */
	const idleTimes = new WeakMap<Duplex, number>();
	/** Ids of the latest requests on a connection, the newest last. */
	const requestIds = new WeakMap<Duplex, readonly string[]>();
	const readers = new WeakMap<Duplex, TargetReader>();

	function addRequestId(socket: Socket, requestId: string | undefined): readonly string[] {
		const earlier = requestIds.get(socket) ?? noIds;
		if (requestId !== undefined) {
			requestIds.set(socket, [...earlier.slice(1 - maxEarlierRequests), requestId]);
		}

		return earlier;
	}

	function setIdle(socket: Duplex, isIdle: boolean): void {
		const {address} = registrations.get(socket)!;
		const idle = idleByAddress.get(address);
		if (isIdle) {
			if (idle === undefined) {
				idleByAddress.set(address, new Set([socket]));
			} else {
				idle.add(socket);
			}
		} else if (idle !== undefined) {
			idle.delete(socket);
			if (idle.size === 0) {
				idleByAddress.delete(address);
			}
		}
	}

	/** Bytes on an idle connection belong to no request; the next request must not read them. */
	function destroyOnUnexpectedBytes(this: Duplex): void {
		counters.increment('unexpected-bytes');
		this.destroy();
	}

	function mayKeep(socket: Duplex): boolean {
		const registration = registrations.get(socket);
		const unreadBytes = socket.readableLength + (readers.get(socket)?.unparsedBytes ?? 0);
		if (registration === undefined || socket.destroyed || unreadBytes > 0) {
			return false;
		}

		return (idleByAddress.get(registration.address)?.size ?? 0) < registration.idleLimit;
	}

	function markIdle(socket: Duplex): void {
		setIdle(socket, true);
		idleSince.set(socket, clock.monotonic());
		socket.on('data', destroyOnUnexpectedBytes);
	}

	function markUsed(socket: Duplex): void {
		setIdle(socket, false);
		idleTimes.set(socket, clock.monotonic() - (idleSince.get(socket) ?? 0));
		socket.off('data', destroyOnUnexpectedBytes);
	}

	class TargetAgent extends http.Agent {
		override keepSocketAlive(socket: Duplex): boolean {
			const keepByDefault: (socket: Duplex) => unknown = super.keepSocketAlive;
			const isKept = mayKeep(socket) && keepByDefault.call(this, socket) !== false;
			if (!isKept) {
				return false;
			}

			markIdle(socket);
			return true;
		}

		override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
			markUsed(socket);
			super.reuseSocket(socket, request);
		}
	}

	class SecureTargetAgent extends https.Agent {
		override keepSocketAlive(socket: Duplex): boolean {
			const keepByDefault: (socket: Duplex) => unknown = super.keepSocketAlive;
			const isKept = mayKeep(socket) && keepByDefault.call(this, socket) !== false;
			if (!isKept) {
				return false;
			}

			markIdle(socket);
			return true;
		}

		override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
			markUsed(socket);
			super.reuseSocket(socket, request);
		}
	}

	function addPending(address: string, change: number): void {
		const pending = (pendingByAddress.get(address) ?? 0) + change;
		if (pending === 0) {
			pendingByAddress.delete(address);
		} else {
			pendingByAddress.set(address, pending);
		}
	}

	function readerOf(socket: Socket): TargetReader {
		let reader = readers.get(socket);
		if (reader === undefined) {
			reader = createTargetReader(socket, {clock, parseSchedule: options.parseSchedule});
			readers.set(socket, reader);
		}

		return reader;
	}

	function register(socket: Socket, registration: Registration): void {
		const {address} = registration;
		const isKnown = registrations.has(socket);
		registrations.set(socket, registration);
		if (isKnown) {
			return;
		}

		const sockets = socketsByAddress.get(address) ?? new Set();
		socketsByAddress.set(address, sockets.add(socket));
		socket.once('close', () => {
			setIdle(socket, false);
			sockets.delete(socket);
			if (sockets.size === 0 && socketsByAddress.get(address) === sockets) {
				socketsByAddress.delete(address);
			}
		});
	}

	const agentOptions: http.AgentOptions = {
		keepAlive: true,
		// The most recently used connection is the least likely to have been closed by the target.
		scheduling: 'lifo',
		timeout: limits.targetIdleTimeout,
	};
	const plainAgent = new TargetAgent(agentOptions);
	const secureAgent = new SecureTargetAgent({
		...agentOptions,
		ca: tls.authorities,
		rejectUnauthorized: tls.isVerified ?? true,
	});

	return {
		optionsFor(target, service) {
			const {host, port} = parseTargetAddress(target.address);
			const maxHeaderSize = limits.maxResponseHeaderBytes;
			if (!service.tls) {
				return {host, port, agent: plainAgent, maxHeaderSize};
			}

			// Without an empty `servername`, Node would verify the certificate against the Host header,
			// which the caller chooses.
			const secure: https.RequestOptions = {servername: '', protocol: 'https:'};
			return {host, port, agent: secureAgent, maxHeaderSize, ...secure};
		},
		reserve(target, service, idleLimit) {
			const {address} = target;
			const pending = pendingByAddress.get(address) ?? 0;
			const idle = idleByAddress.get(address)?.size ?? 0;
			const open = socketsByAddress.get(address)?.size ?? 0;
			if (open - idle + pending >= service.connections) {
				return undefined;
			}

			let isPending = true;
			addPending(address, 1);
			function settle(): void {
				if (isPending) {
					isPending = false;
					addPending(address, -1);
				}
			}

			return {
				use(socket, requestId) {
					settle();
					register(socket, {address, idleLimit});
					const reader = readerOf(socket);
					reader.beginRequest();
					return {
						earlierRequestIds: addRequestId(socket, requestId),
						beginResponse: reader.beginResponse,
					};
				},
				cancel: settle,
			};
		},
		idleBefore: socket => idleTimes.get(socket),
		discardIdle(target, idleFor = 0) {
			const latestIdleSince = clock.monotonic() - idleFor;
			for (const socket of idleByAddress.get(target.address) ?? []) {
				if (idleSince.get(socket)! <= latestIdleSince) {
					socket.destroy();
				}
			}
		},
		count: target => socketsByAddress.get(target.address)?.size ?? 0,
		close() {
			plainAgent.destroy();
			secureAgent.destroy();
		},
	};
}
