/**
 * Fake of the platform's configuration service and instance list for tests and demos. It listens on
 * 127.0.0.1 and can simulate lag, a return to an older version, outages and recovery.
 *
 * An operator publishes a change with `curl -X PATCH -H 'Content-Type: application/json-patch+json'
 * -H 'If-Match: "3"' --data @patch.json <url>/v1/configuration`. Only this fake accepts patches;
 * the platform's service is read-only for the fleet.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ConfigurationError} from '@shallotpond/configuration/configuration-error';
import {applyPatch} from '@shallotpond/configuration/configuration-patch';
import {toCanonicalJson} from '@shallotpond/configuration/document-digest';
import {maxPartBytes, splitDocument} from '@shallotpond/configuration/document-manifest';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {type InstanceList} from '@shallotpond/configuration/instance-list';
import {createSystemClock, type Clock} from '@shallotpond/kernel/clock';

const maxPatchBytes = 1_048_576;
/** Number of versions that are retained, with the parts to which their manifests refer. */
const retainedVersions = 8;
const maxWaitSeconds = 300;

export type ConfigurationServiceCall = 'configuration' | 'watch' | 'value' | 'instances' | 'patch';

export type StandInConfigurationServiceOptions = {
	/** Times the waits of watches and the lag. Default: the system clock. */
	readonly clock?: Clock;
	/**
	 * Size in bytes above which a document is published as a manifest, and size of its parts. Default
	 * and maximum: 1,000,000.
	 */
	readonly partSize?: number;
};

export type StandInConfigurationService = {
	/** Base URL without a trailing slash. */
	readonly url: string;
	/** The newest version, which may not be the one that is served. */
	readonly document: ConfigurationDocument;
	/** Number of calls received, by kind. A waiting watch counts once. */
	readonly calls: Readonly<Record<ConfigurationServiceCall, number>>;
	/** Number of watches that are waiting now. */
	readonly waitingWatches: number;
	/** Publishes a document. Throws a `RangeError` unless its version is above the newest version. */
	publish(document: ConfigurationDocument): void;
	/**
	 * Applies an RFC 6902 patch to the newest version, publishes the result and returns it. Throws a
	 * `ConfigurationError` as `applyPatch` does; `stale-patch` if `base` is not the newest version.
	 */
	patch(patch: unknown, base: number): ConfigurationDocument;
	/** Delays the visibility of versions that are published from now on; 0 ms at the start. */
	setLag(milliseconds: number): void;
	/** Serves this older version until `recover`. Throws a `RangeError` if it is not retained. */
	serveOldVersion(version: number): void;
	/**
	 * Starts an outage: closes all connections, and then resets new connections (`refuse`) or accepts
	 * calls without responding (`hang`).
	 */
	startOutage(how: 'refuse' | 'hang'): void;
	/** Ends `serveOldVersion` and `startOutage`. */
	recover(): void;
	/** Sets whether to serve corrupted bytes for the parts of manifests. */
	corruptValues(isCorrupt: boolean): void;
	setInstances(instances: InstanceList['instances']): void;
	setTargets(targets: InstanceList['targets']): void;
	/** Sets the state of one target, which is added if it is not listed. */
	setTarget(id: string, state: InstanceList['targets'][number]['state']): void;
	close(): Promise<void>;
};

type PublishedVersion = {
	readonly document: ConfigurationDocument;
	/** JSON of the document or of its manifest, as served. */
	readonly body: string;
	/** Parts of the document by digest; empty without a manifest. */
	readonly values: ReadonlyMap<string, Uint8Array>;
};

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
};

function encode(document: ConfigurationDocument, partSize: number): PublishedVersion {
	const body = toCanonicalJson(document);
	if (Buffer.byteLength(body) <= partSize) {
		return {document, body, values: new Map()};
	}

	const {manifest, parts} = splitDocument(document, partSize);
	const values = new Map(manifest.parts.map(({digest}, index) => [digest, parts[index]!]));
	return {document, body: JSON.stringify(manifest), values};
}

function sendJson(
	response: ServerResponse,
	status: number,
	body: unknown,
	headers: Record<string, string> = {},
): void {
	response.writeHead(status, {'content-type': 'application/json', ...headers});
	response.end(typeof body === 'string' ? body : JSON.stringify(body));
}

function corrupt(bytes: Uint8Array): Uint8Array {
	const copy = Uint8Array.from(bytes);
	copy[0] = (copy[0] ?? 0) === 0x20 ? 0x21 : 0x20;
	return copy;
}

/** Reads a JSON body. Returns undefined if it is too large, truncated or not JSON. */
async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maxPatchBytes) {
				return undefined;
			}

			chunks.push(chunk);
		}

		return JSON.parse(Buffer.concat(chunks).toString('utf8'));
	} catch {
		return undefined;
	}
}

/** Starts the fake. Resolves when its server is listening. */
export async function createStandInConfigurationService(
	initial: ConfigurationDocument,
	options: StandInConfigurationServiceOptions = {},
): Promise<StandInConfigurationService> {
	const {clock = createSystemClock(), partSize = maxPartBytes} = options;
	const history = new Map<number, PublishedVersion>();
	const wakeUps = new Set<() => void>();
	const calls: Record<ConfigurationServiceCall, number> = {
		configuration: 0,
		watch: 0,
		value: 0,
		instances: 0,
		patch: 0,
	};
	let instanceList: InstanceList = {instances: [], targets: []};
	let instanceListRevision = 1;
	let newest = encode(initial, partSize);
	let visible = newest;
	let staleVersion: PublishedVersion | undefined;
	let outage: 'refuse' | 'hang' | undefined;
	let lag = 0;
	let isCorrupt = false;
	history.set(initial.version, newest);

	const servedVersion = () => staleVersion ?? visible;

	function wakeWatches(): void {
		for (const wakeUp of wakeUps) {
			wakeUp();
		}
	}

	function makeVisible(published: PublishedVersion): void {
		visible = published;
		wakeWatches();
	}

	function publish(document: ConfigurationDocument): void {
		if (document.version <= newest.document.version) {
			throw new RangeError(`version ${document.version} is not above ${newest.document.version}`);
		}

		newest = encode(document, partSize);
		history.set(document.version, newest);
		for (const version of [...history.keys()].slice(0, -retainedVersions)) {
			history.delete(version);
		}

		const published = newest;
		if (lag === 0) {
			makeVisible(published);
		} else {
			clock.after(lag, () => {
				// A later version may have become visible in the meantime if the lag was reduced.
				if (published.document.version > visible.document.version) {
					makeVisible(published);
				}
			});
		}
	}

	function patch(operations: unknown, base: number): ConfigurationDocument {
		const document = applyPatch({document: newest.document, base, patch: operations});
		publish(document);
		return document;
	}

	function sendServed({response}: Exchange): void {
		const {document, body} = servedVersion();
		sendJson(response, 200, body, {etag: `"${document.version}"`});
	}

	function sendUnchanged({response}: Exchange): void {
		response.writeHead(304, {etag: `"${servedVersion().document.version}"`});
		response.end();
	}

	/** Responds when a version above `after` is served, or after `wait` seconds. */
	function watch(exchange: Exchange, after: number, wait: number): void {
		const finish = (sendResponse: (exchange: Exchange) => void) => {
			wakeUps.delete(wakeUp);
			cancelWait();
			sendResponse(exchange);
		};

		const wakeUp = () => {
			if (servedVersion().document.version > after) {
				finish(sendServed);
			}
		};

		const cancelWait = clock.after(wait * 1000, () => {
			finish(sendUnchanged);
		});
		exchange.response.on('close', () => {
			wakeUps.delete(wakeUp);
			cancelWait();
		});
		wakeUps.add(wakeUp);
	}

	function handleRead(exchange: Exchange): void {
		const {url, response} = exchange;
		const after = url.searchParams.get('after');
		const isWatch = after !== null;
		calls[isWatch ? 'watch' : 'configuration']++;
		if (outage === 'hang') {
			return;
		}

		const wait = Number(url.searchParams.get('wait') ?? '0');
		if (isWatch && !(/^\d+$/.test(after) && wait >= 0 && wait <= maxWaitSeconds)) {
			sendJson(response, 400, {
				error: `after and wait must be numbers, wait at most ${maxWaitSeconds}`,
			});
			return;
		}

		if (!isWatch || servedVersion().document.version > Number(after)) {
			sendServed(exchange);
		} else if (wait === 0) {
			sendUnchanged(exchange);
		} else {
			watch(exchange, Number(after), wait);
		}
	}

	function handleValue({url, response}: Exchange): void {
		calls.value++;
		const digest = url.pathname.slice(url.pathname.lastIndexOf('/') + 1);
		const value = [...history.values()]
			.map(published => published.values.get(digest))
			.find(Boolean);
		if (outage === 'hang') {
			return;
		}

		if (value === undefined) {
			sendJson(response, 404, {error: 'no value with this digest'});
			return;
		}

		response.writeHead(200, {'content-type': 'application/octet-stream'});
		response.end(isCorrupt ? corrupt(value) : value);
	}

	function handleInstances({request, response}: Exchange): void {
		calls.instances++;
		if (outage === 'hang') {
			return;
		}

		const etag = `"${instanceListRevision}"`;
		if (request.headers['if-none-match'] === etag) {
			response.writeHead(304, {etag});
			response.end();
			return;
		}

		sendJson(response, 200, instanceList, {etag});
	}

	function sendPatchError(response: ServerResponse, error: unknown, base: number): void {
		if (!(error instanceof ConfigurationError)) {
			sendJson(response, 500, {error: 'the patch failed'});
			return;
		}

		const current = newest.document.version;
		const isStale = error.code === 'stale-patch';
		const body = {error: error.code, problems: error.problems, ...(isStale && {base, current})};
		sendJson(response, isStale ? 412 : 422, body);
	}

	async function handlePatch({request, response}: Exchange): Promise<void> {
		calls.patch++;
		if (outage === 'hang') {
			return;
		}

		const type = request.headers['content-type']?.split(';', 1)[0]?.trim();
		if (type !== 'application/json-patch+json') {
			sendJson(response, 415, {error: 'Content-Type must be application/json-patch+json'});
			return;
		}

		const base = /^"(\d{1,15})"$/.exec(request.headers['if-match'] ?? '')?.[1];
		if (base === undefined) {
			sendJson(response, 428, {error: 'If-Match must be the base version in quotes'});
			return;
		}

		const operations = await readJson(request);
		try {
			const {version} = patch(operations, Number(base));
			sendJson(response, 200, {version}, {etag: `"${version}"`});
		} catch (error) {
			sendPatchError(response, error, Number(base));
		}
	}

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const url = new URL(request.url ?? '/', 'http://127.0.0.1');
		const exchange = {request, response, url};
		const route = `${request.method} ${url.pathname}`;
		if (route === 'GET /v1/configuration') {
			handleRead(exchange);
		} else if (route === 'PATCH /v1/configuration') {
			void handlePatch(exchange);
		} else if (route.startsWith('GET /v1/configuration/values/')) {
			handleValue(exchange);
		} else if (route === 'GET /v1/instances') {
			handleInstances(exchange);
		} else {
			sendJson(response, 404, {error: 'not found'});
		}
	}

	const server = createServer(handleRequest);
	server.on('connection', socket => {
		if (outage === 'refuse') {
			socket.resetAndDestroy();
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;

	function setInstanceList(next: InstanceList): void {
		instanceList = next;
		instanceListRevision++;
	}

	return {
		url: `http://127.0.0.1:${port}`,
		get document() {
			return newest.document;
		},
		get calls() {
			return {...calls};
		},
		get waitingWatches() {
			return wakeUps.size;
		},
		publish,
		patch,
		setLag(milliseconds) {
			lag = milliseconds;
		},
		serveOldVersion(version) {
			const published = history.get(version);
			if (published === undefined) {
				throw new RangeError(`version ${version} is not retained`);
			}

			staleVersion = published;
		},
		startOutage(how) {
			outage = how;
			server.closeAllConnections();
		},
		recover() {
			outage = undefined;
			staleVersion = undefined;
			wakeWatches();
		},
		corruptValues(next) {
			isCorrupt = next;
		},
		setInstances(instances) {
			setInstanceList({...instanceList, instances});
		},
		setTargets(targets) {
			setInstanceList({...instanceList, targets});
		},
		setTarget(id, state) {
			const others = instanceList.targets.filter(target => target.id !== id);
			setInstanceList({...instanceList, targets: [...others, {id, state}]});
		},
		async close() {
			server.close();
			server.closeAllConnections();
			await once(server, 'close');
		},
	};
}
