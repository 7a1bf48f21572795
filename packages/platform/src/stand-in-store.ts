/**
 * A stand-in for the platform's store in tests. It keeps items in memory under one revision
 * counter, implements the read calls of the platform's protocol and can simulate faults.
 */
import {Buffer} from 'node:buffer';
import http, {type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {headerNames, platformPaths} from './wire-names.js';

export type StoreFault =
	/** Resets every connection. */
	| 'reset'
	/** Accepts requests and never responds. */
	| 'silent'
	/** Responds with 503. */
	| 'busy'
	/** Responds 2 s late. */
	| 'slow';

export type StandInStore = {
	readonly port: number;
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Writes a value; undefined deletes the item. The write counts as acknowledged on return. */
	write(key: string, value: unknown): void;
	/** Simulates a fault from now on and closes open connections; undefined ends the fault. */
	setFault(fault: StoreFault | undefined): void;
	/**
	 * Drops the history and closes all connections, so that a watch after an earlier revision gets
	 * status 410 and its client has to read all items again.
	 */
	compact(): void;
	/** Returns a copy of the current state, for `restore`. */
	copy(): StoreCopy;
	/**
	 * Goes back to an older copy: what was written since is lost, its revisions will be given out
	 * again, the era rises and all connections are closed.
	 */
	restore(copy: StoreCopy): void;
};

export type StoreCopy = {
	readonly items: ReadonlyMap<string, Item>;
	readonly history: readonly Item[];
	readonly revision: number;
};

type Item = {readonly key: string; readonly value?: string; readonly revision: number};
type WaitingWatch = {readonly after: number; complete(): void};

/**
 * Milliseconds by which a slow store delays its responses; longer than the store client's timeout
 * for a read, 1.5 s.
 */
const slowDelay = 2000;
const statuses = {ok: 200, notFound: 404, gone: 410, busy: 503} as const;

function toWire({key, value, revision}: Item) {
	return value === undefined ? {key, revision, deleted: true} : {key, value, revision};
}

export function createStandInStore({clock}: {readonly clock: Clock}): StandInStore {
	let items = new Map<string, Item>();
	let era = 1;
	let history: Item[] = [];
	let revision = 1;
	let compactedRevision = 0;
	let fault: StoreFault | undefined;
	const waiting = new Set<WaitingWatch>();

	function send(response: ServerResponse, status: number, body: unknown): void {
		const bytes = JSON.stringify(body);
		response.writeHead(status, {
			'content-type': 'application/json',
			[headerNames.storeEra]: String(era),
		});
		response.end(bytes);
	}

	function sendRange(response: ServerResponse, query: URLSearchParams): void {
		const prefix = query.get('prefix') ?? '';
		const found = [...items.values()].filter(({key}) => key.startsWith(prefix));
		const body = {items: found.map(item => toWire(item)), has_more: false, as_of: revision};
		send(response, statuses.ok, body);
	}

	function sendChanges(response: ServerResponse, after: number): void {
		const events = history.filter(item => item.revision > after);
		send(response, statuses.ok, {events: events.map(item => toWire(item)), as_of: revision});
	}

	function watch(response: ServerResponse, query: URLSearchParams): void {
		const after = Number(query.get('after'));
		const wait = query.get('wait_ms') ?? '';
		if (!/^\d+$/.test(wait)) {
			send(response, 400, {error: 'wait_ms must be a whole number'});
			return;
		}

		if (after < compactedRevision || after > revision) {
			send(response, statuses.gone, {});
			return;
		}

		if (after < revision) {
			sendChanges(response, after);
			return;
		}

		const cancel = clock.after(Number(wait), () => {
			entry.complete();
		});
		const entry: WaitingWatch = {
			after,
			complete() {
				cancel();
				waiting.delete(entry);
				sendChanges(response, after);
			},
		};
		waiting.add(entry);
		response.once('close', () => {
			cancel();
			waiting.delete(entry);
		});
	}

	function respond(url: URL, response: ServerResponse): void {
		if (url.pathname === platformPaths.range) {
			sendRange(response, url.searchParams);
		} else if (url.pathname === platformPaths.watch) {
			watch(response, url.searchParams);
		} else {
			send(response, statuses.notFound, {});
		}
	}

	const server = http.createServer((request, response) => {
		const url = new URL(request.url ?? '/', 'http://store');
		const faultHandlers: Readonly<Record<StoreFault, () => void>> = {
			reset() {
				request.socket.resetAndDestroy();
			},
			silent() {
				// No response: only the timeout of the client ends the call.
			},
			busy() {
				send(response, statuses.busy, {});
			},
			slow() {
				clock.after(slowDelay, () => {
					respond(url, response);
				});
			},
		};
		if (fault === undefined) {
			respond(url, response);
		} else {
			faultHandlers[fault]();
		}
	});

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
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
		write(key, value) {
			revision++;
			const text = value === undefined ? undefined : JSON.stringify(value);
			const item = {
				key,
				value: text === undefined ? undefined : Buffer.from(text).toString('base64'),
				revision,
			};
			history.push(item);
			if (item.value === undefined) {
				items.delete(key);
			} else {
				items.set(key, item);
			}

			if (fault === undefined) {
				for (const entry of waiting) {
					entry.complete();
				}
			}
		},
		setFault(next) {
			fault = next;
			// Open connections are closed, so that waiting watches fail as well.
			if (next !== undefined) {
				server.closeAllConnections();
			}
		},
		compact() {
			history = [];
			compactedRevision = revision;
			server.closeAllConnections();
		},
		copy: () => ({items: new Map(items), history: [...history], revision}),
		restore(copy) {
			items = new Map(copy.items);
			history = [...copy.history];
			({revision} = copy);
			compactedRevision = Math.min(compactedRevision, revision);
			era++;
			server.closeAllConnections();
		},
	};
}
