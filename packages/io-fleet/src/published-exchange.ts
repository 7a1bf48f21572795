/**
 * Passes what the platform publishes from one instance to another, so that only a few instances
 * need to read from the platform: a listener that responds to long polls, and the client for it.
 * Uses plain HTTP on the fleet's internal ports.
 */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {constants, gunzipSync, gzipSync} from 'node:zlib';
import {type Clock} from '@shallotpond/kernel/clock';
import {formatSocketAddress, type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {isWholeNumber} from '@shallotpond/kernel/whole-number';
import {
	type PublishedChanges,
	type PublishedItem,
	type PublishedLog,
} from '@shallotpond/policy-fleet/published-log';
import {compareEras, type PublishedPosition} from '@shallotpond/policy-fleet/published-position';
import {type RetainedItem, type RetainedItemsReader} from '@shallotpond/policy-fleet/retained-item';
import {callHttp, parseJsonResponse, type HttpResponse} from '@shallotpond/io-platform/http-call';
import {FleetError} from './datagram-transport.js';

export type PublishedResponse = PublishedChanges & {
	/**
	 * Milliseconds since the responding instance was confirmed to be up to date; `neverConfirmed` if
	 * it never was.
	 */
	readonly confirmedAgo: number;
	/** Milliseconds for which the responding instance held the request. */
	readonly waited: number;
	/** Present if the request asked for it. */
	readonly retained?: readonly RetainedItem[] | undefined;
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
	/** See `PublishedItemReceiver`. */
	readonly retainedItems?: (reader: RetainedItemsReader) => readonly RetainedItem[];
};

const path = '/published';
/** Milliseconds; the longest time for which a request is held. */
const maxWait = 10_000;
/** Milliseconds that stand for "never", because JSON has no infinity. */
const neverConfirmed = 1_000_000_000;
/** Maximum size in bytes of a response that this instance accepts from another one. */
const maxResponseSize = 67_108_864;
/**
 * Bytes from which a response is compressed. One instance sends each version of the configuration to
 * most of its failure domain, over a link that may carry as little as 1 MB/s.
 */
const minCompressedBytes = 2048;
const compression = {level: constants.Z_BEST_SPEED} as const;
const compressedEncoding = 'gzip';

function isPublishedItem(value: unknown): value is PublishedItem {
	const {key, value: text, revision} = (value ?? {}) as Readonly<Record<string, unknown>>;
	return (
		typeof key === 'string' &&
		(text === undefined || typeof text === 'string') &&
		isWholeNumber(revision)
	);
}

function isRetainedItem(value: unknown): value is RetainedItem {
	const {key, value: text, state, expiresIn} = (value ?? {}) as Readonly<Record<string, unknown>>;
	return (
		typeof key === 'string' &&
		typeof text === 'string' &&
		(state === 'in-force' || state === 'removed') &&
		(expiresIn === undefined || isWholeNumber(expiresIn))
	);
}

/**
 * Checks a response of another instance. Throws a `FleetError` if a field is missing or malformed;
 * the caller then reads from another source.
 */
function toPublishedResponse(value: unknown): PublishedResponse {
	const response = (value ?? {}) as Readonly<Record<string, unknown>>;
	const {kind, items, revision, era, confirmedAgo, waited, retained} = response;
	const isValid =
		(kind === 'changes' || kind === 'snapshot') &&
		Array.isArray(items) &&
		items.every(item => isPublishedItem(item)) &&
		isWholeNumber(revision) &&
		// Instances of an earlier version send no era and no retained items.
		(era === undefined || isWholeNumber(era)) &&
		(retained === undefined ||
			(Array.isArray(retained) && retained.every(item => isRetainedItem(item)))) &&
		isWholeNumber(confirmedAgo) &&
		isWholeNumber(waited);
	if (!isValid) {
		throw new FleetError('malformed-response', 'the response of the member is malformed');
	}

	return {kind, items, revision, era, confirmedAgo, waited, retained};
}

type HeldRequest = {complete(): void};

type PublishedQuery = {
	/** Undefined if the reader has no snapshot. */
	readonly after: number | undefined;
	/** Era of `after`; undefined if the reader does not know it. */
	readonly era: number | undefined;
	/**
	 * Configuration version of a reader that asks for the retained items; undefined for any other
	 * reader.
	 */
	readonly retainedAbove: number | undefined;
	/** Whether the reader decodes compressed responses; one of an earlier version does not. */
	readonly acceptsCompression: boolean;
};

function readNumber(text: string | undefined): number | undefined {
	return text === undefined || text === '' ? undefined : Number(text);
}

export function createPublishedListener(options: PublishedListenerOptions): PublishedListener {
	const {clock, log} = options;
	const held = new Set<HeldRequest>();

	function respond(response: ServerResponse, query: PublishedQuery, waited: number): void {
		const changes = log.since(query.after, query.era);
		if (changes === undefined) {
			response.writeHead(503).end();
			return;
		}

		response.setHeader('content-type', 'application/json');
		const {retainedAbove: version} = query;
		const isOfNewerEra = query.after !== undefined && compareEras(query.era, changes.era) > 0;
		const body: PublishedResponse = {
			...changes,
			confirmedAgo: Math.min(neverConfirmed, Math.ceil(options.confirmedAgo())),
			waited: Math.floor(waited),
			retained:
				version === undefined ? undefined : options.retainedItems?.({version, isOfNewerEra}),
		};
		const text = JSON.stringify(body);
		if (query.acceptsCompression && text.length >= minCompressedBytes) {
			response.setHeader('content-encoding', compressedEncoding);
			response.end(gzipSync(text, compression));
		} else {
			response.end(text);
		}
	}

	function hasChanges({after, era}: PublishedQuery): boolean {
		const changes = log.since(after, era);
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
		const eraText = parameters.get('era');
		const publishedQuery: PublishedQuery = {
			after: readNumber(parameters.get('after') ?? undefined),
			// A reader of an earlier version has no eras: its revision is taken as one of this era.
			era: eraText === null ? log.era : readNumber(eraText),
			retainedAbove: readNumber(parameters.get('retained') ?? undefined),
			acceptsCompression: request.headers['accept-encoding'] === compressedEncoding,
		};
		const wait = Math.min(Number(parameters.get('wait') ?? 0), maxWait);
		if (pathname !== path) {
			response.writeHead(404).end();
			return;
		}

		const {after, era, retainedAbove} = publishedQuery;
		const numbers = [after, era, retainedAbove];
		if (numbers.some(value => value !== undefined && !isWholeNumber(value))) {
			response.writeHead(400).end();
			return;
		}

		if (hasChanges(publishedQuery) || !(wait > 0)) {
			respond(response, publishedQuery, 0);
			return;
		}

		const startedAt = clock.monotonic();
		const heldRequest: HeldRequest = {
			complete() {
				cancel();
				held.delete(heldRequest);
				respond(response, publishedQuery, clock.monotonic() - startedAt);
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

/** Throws a `FleetError` if the body is not what its encoding says. */
function decompress(response: HttpResponse): HttpResponse {
	if (response.headers['content-encoding'] !== compressedEncoding) {
		return response;
	}

	try {
		const body = gunzipSync(response.body, {maxOutputLength: maxResponseSize});
		return {...response, body};
	} catch (error) {
		throw new FleetError('malformed-response', 'the response of the member cannot be decoded', {
			cause: error,
		});
	}
}

/**
 * Reads from a member what is new. Rejects with a `PlatformError` if the call fails, is stopped, or
 * the response is too large or not JSON, and with a `FleetError` if the member responds with an
 * unexpected status code.
 */
export async function fetchPublishedChanges(options: {
	readonly member: SocketAddress;
	/** Position of the requesting instance; undefined before its first snapshot. */
	readonly after: PublishedPosition | undefined;
	/**
	 * Configuration version of the requesting instance, to ask for the items that the member retains;
	 * undefined not to ask.
	 */
	readonly retainedAbove?: number | undefined;
	/** Milliseconds for which the member may hold the request. */
	readonly wait: number;
	/** Milliseconds for the whole call. */
	readonly timeout: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
}): Promise<PublishedResponse> {
	const {member, after, retainedAbove, wait, timeout, clock, signal} = options;
	const url = new URL(`http://${formatSocketAddress(member)}${path}`);
	url.searchParams.set('wait', String(wait));
	if (after !== undefined) {
		url.searchParams.set('after', String(after.revision));
		// An empty era says that it is unknown; readers of an earlier version send none.
		url.searchParams.set('era', String(after.era ?? ''));
	}

	if (retainedAbove !== undefined) {
		url.searchParams.set('retained', String(retainedAbove));
	}

	const headers = {'accept-encoding': compressedEncoding};
	const response = await callHttp({url, headers, timeout, maxResponseSize, clock, signal});
	if (response.status !== 200) {
		throw new FleetError(
			'unexpected-status',
			`the member responded with status ${response.status}`,
		);
	}

	return toPublishedResponse(parseJsonResponse(decompress(response)));
}
