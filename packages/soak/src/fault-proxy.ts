/**
 * TCP proxy on loopback that injects network faults: it delays, resets or silences connections, or
 * forwards bytes in one direction only.
 */
import net, {type AddressInfo, type Socket} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';

export type FaultProxyMode =
	/** Bytes are forwarded in both directions. */
	| 'pass'
	/** Bytes are delayed in both directions. */
	| 'delay'
	/** New and open connections are reset. */
	| 'reset'
	/** Bytes are dropped in both directions, and the connections stay open. */
	| 'silence'
	/** Requests are forwarded, responses are dropped. */
	| 'one-way';

export type FaultProxy = {
	/** Port on 127.0.0.1 on which the proxy listens; available after `start`. */
	readonly port: number;
	start(): Promise<void>;
	stop(): Promise<void>;
	setMode(mode: FaultProxyMode): void;
	/** Silences the connections that are open now. New connections work. */
	silenceOpenConnections(): void;
};

const addedDelayMs = 150;

type Direction = 'request' | 'response';
type Delivery = 'immediate' | 'delayed' | 'dropped';

const deliveries: Readonly<Record<FaultProxyMode, Readonly<Record<Direction, Delivery>>>> = {
	pass: {request: 'immediate', response: 'immediate'},
	delay: {request: 'delayed', response: 'delayed'},
	reset: {request: 'dropped', response: 'dropped'},
	silence: {request: 'dropped', response: 'dropped'},
	'one-way': {request: 'immediate', response: 'dropped'},
};

type Connection = {readonly client: Socket; readonly upstream: Socket; isSilent: boolean};

export function createFaultProxy(options: {
	readonly clock: Clock;
	/** Port on 127.0.0.1 to which connections are forwarded. */
	readonly destination: () => number;
}): FaultProxy {
	let mode: FaultProxyMode = 'pass';
	const connections = new Set<Connection>();
	/**
	 * All open sockets. When one side of a silenced connection closes, the socket of the other side
	 * stays open and is listed only here.
	 */
	const sockets = new Set<Socket>();

	function forward(connection: Connection, bytes: Uint8Array, direction: Direction): void {
		const delivery = connection.isSilent ? 'dropped' : deliveries[mode][direction];
		const to = direction === 'request' ? connection.upstream : connection.client;
		if (delivery === 'immediate') {
			to.write(bytes);
		} else if (delivery === 'delayed') {
			options.clock.after(addedDelayMs, () => {
				to.write(bytes);
			});
		}
	}

	/**
	 * Closes the other side of a connection, unless the connection or the whole proxy is silenced.
	 */
	function propagateClose(connection: Connection, other: Socket, isBroken: boolean): void {
		connections.delete(connection);
		const isHidden = connection.isSilent || mode === 'silence';
		if (isHidden) {
			return;
		}

		if (isBroken) {
			other.resetAndDestroy();
		} else {
			other.end();
		}
	}

	function accept(client: Socket): void {
		if (mode === 'reset') {
			client.resetAndDestroy();
			return;
		}

		const upstream = net.connect(options.destination(), '127.0.0.1');
		const connection: Connection = {client, upstream, isSilent: false};
		connections.add(connection);
		for (const [from, to, direction] of [
			[client, upstream, 'request'],
			[upstream, client, 'response'],
		] as const) {
			sockets.add(from);
			from.setNoDelay(true);
			from.on('data', bytes => {
				forward(connection, bytes, direction);
			});
			from.on('error', () => undefined);
			from.on('close', isBroken => {
				sockets.delete(from);
				propagateClose(connection, to, isBroken);
			});
		}
	}

	const server = net.createServer(accept);

	function resetAll(): void {
		connections.clear();
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}
	}

	return {
		get port() {
			return (server.address() as AddressInfo).port;
		},
		async start() {
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
		},
		async stop() {
			resetAll();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
		setMode(next) {
			mode = next;
			if (next === 'reset') {
				resetAll();
			}
		},
		silenceOpenConnections() {
			for (const connection of connections) {
				connection.isSilent = true;
			}
		},
	};
}
