/**
 * Passes what the platform publishes from one instance to another, so that only a few instances
 * need to read from the platform: a listener that responds to long polls, and the client for it.
 * Uses plain HTTP on the fleet's internal ports.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {formatSocketAddress, type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {isWholeNumber} from '@shallotpond/kernel/whole-number';
import {type PublishedItem, type PublishedLog} from '@shallotpond/policy-fleet/published-log';
import {callHttp, parseJsonResponse} from '@shallotpond/io-platform/http-call';
import {FleetError} from './datagram-transport.js';

export type PublishedResponse = {
	readonly kind: 'changes' | 'snapshot';
	readonly items: readonly PublishedItem[];
	readonly revision: number;
	/**
	 * Milliseconds since the responding instance was confirmed to be up to date; `neverConfirmed` if
	 * it never was.
	 */
	readonly confirmedAgo: number;
	/** Milliseconds for which the responding instance held the request. */
	readonly waited: number;
};

export type PublishedListener = {
	/** The port in use; 0 before `start`. */
	readonly port: number;
	/** Rejects with a `FleetError` if the address cannot be bound. */
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Responds to the requests that are held; called when there is something new. */
	notify(): void;
};

export type PublishedListenerOptions = {
	readonly address: SocketAddress;
	readonly clock: Clock;
	readonly log: PublishedLog;
	/** Milliseconds since this instance was confirmed to be up to date. */
	readonly confirmedAgo: () => number;
};

const path = '/published';
/** Milliseconds; the longest time for which a request is held. */
const maxWait = 10_000;
/** Milliseconds that stand for "never", because JSON has no infinity. */
const neverConfirmed = 1_000_000_000;
/** Maximum size in bytes of a response that this instance accepts from another one. */
const maxResponseSize = 67_108_864;

function isPublishedItem(value: unknown): value is PublishedItem {
	const {key, value: text, revision} = (value ?? {}) as Readonly<Record<string, unknown>>;
	return (
		typeof key === 'string' &&
		(text === undefined || typeof text === 'string') &&
		isWholeNumber(revision)
	);
}

/**
 * Checks a response of another instance. Throws a `FleetError` if a field is missing or malformed;
 * the caller then reads from another source.
 */
function toPublishedResponse(value: unknown): PublishedResponse {
	const response = (value ?? {}) as Readonly<Record<string, unknown>>;
	const {kind, items, revision, confirmedAgo, waited} = response;
	const isValid =
		(kind === 'changes' || kind === 'snapshot') &&
		Array.isArray(items) &&
		items.every(item => isPublishedItem(item)) &&
		isWholeNumber(revision) &&
		isWholeNumber(confirmedAgo) &&
		isWholeNumber(waited);
	if (!isValid) {
		throw new FleetError('malformed-response', 'the response of the member is malformed');
	}

	return {kind, items, revision, confirmedAgo, waited};
}

type HeldRequest = {complete(): void};

export function createPublishedListener(options: PublishedListenerOptions): PublishedListener {
	const {clock, log} = options;
	const held = new Set<HeldRequest>();

	function respond(response: ServerResponse, after: number | undefined, waited: number): void {
		const changes = log.since(after);
		if (changes === undefined) {
			response.writeHead(503).end();
			return;
		}

		const body: PublishedResponse = {
			...changes,
			confirmedAgo: Math.min(neverConfirmed, Math.ceil(options.confirmedAgo())),
			waited: Math.floor(waited),
		};
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(body));
	}

	function hasChanges(after: number | undefined): boolean {
		const changes = log.since(after);
		return changes !== undefined && (changes.kind === 'snapshot' || changes.items.length > 0);
	}

	/**
	 * Responds at once if there is something new; otherwise holds the request until there is, at most
	 * for the milliseconds of its `wait` parameter. If there is no snapshot even then, responds 503.
	 */
	function respondOrHold(request: IncomingMessage, response: ServerResponse): void {
		// Parsed by hand, because `URL` throws on some targets that the HTTP parser accepts.
		const [pathname, query] = (request.url ?? '/').split('?', 2);
		const parameters = new URLSearchParams(query);
		const afterText = parameters.get('after');
		const after = afterText === null ? undefined : Number(afterText);
		const wait = Math.min(Number(parameters.get('wait') ?? 0), maxWait);
		if (pathname !== path) {
			response.writeHead(404).end();
			return;
		}

		if (after !== undefined && !isWholeNumber(after)) {
			response.writeHead(400).end();
			return;
		}

		if (hasChanges(after) || !(wait > 0)) {
			respond(response, after, 0);
			return;
		}

		const startedAt = clock.monotonic();
		const heldRequest: HeldRequest = {
			complete() {
				cancel();
				held.delete(heldRequest);
				respond(response, after, clock.monotonic() - startedAt);
			},
		};
		const cancel = clock.after(wait, heldRequest.complete);
		held.add(heldRequest);
		response.once('close', () => {
			cancel();
			held.delete(heldRequest);
		});
	}

	const server = createServer(respondOrHold);
	return {
		get port() {
			return (server.address() as AddressInfo | undefined)?.port ?? 0;
		},
		async start() {
			const {host, port} = options.address;
			await new Promise<void>((resolve, reject) => {
				server.once('error', error => {
					const endpoint = formatSocketAddress(options.address);
					reject(new FleetError('bind-failed', `cannot listen on ${endpoint}`, {cause: error}));
				});
				server.listen(port, host, resolve);
			});
		},
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
		notify() {
			for (const heldRequest of held) {
				heldRequest.complete();
			}
		},
	};
}

/**
 * Reads from a member what is new. Rejects with a `PlatformError` if the call fails, is stopped, or
 * the response is too large or not JSON, and with a `FleetError` if the member responds with an
 * unexpected status code.
 */
export async function fetchPublishedChanges(options: {
	readonly member: SocketAddress;
	/** Revision that the requesting instance has; undefined before its first snapshot. */
	readonly after: number | undefined;
	/** Milliseconds for which the member may hold the request. */
	readonly wait: number;
	/** Milliseconds for the whole call. */
	readonly timeout: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
}): Promise<PublishedResponse> {
	const {member, after, wait, timeout, clock, signal} = options;
	const url = new URL(`http://${formatSocketAddress(member)}${path}`);
	url.searchParams.set('wait', String(wait));
	if (after !== undefined) {
		url.searchParams.set('after', String(after));
	}

	const response = await callHttp({url, timeout, maxResponseSize, clock, signal});
	if (response.status !== 200) {
		throw new FleetError(
			'unexpected-status',
			`the member responded with status ${response.status}`,
		);
	}

	return toPublishedResponse(parseJsonResponse(response));
}
