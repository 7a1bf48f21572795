/**
 * A stand-in for the platform's configuration service and instance list, for tests and demos. It
 * listens on 127.0.0.1 and can be made to lag, to go stale, to go away and to come back.
 *
 * An operator publishes a change with
 * `curl -X PATCH -H 'Content-Type: application/json-patch+json' -H 'If-Match: "3"' --data @patch.json
 * <url>/v1/configuration`. Only this stand-in accepts it; the platform's service is read-only for
 * the fleet.
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

/** Bytes. */
const largestPatch = 1_048_576;
/** Older versions, and values of their manifests, are forgotten. */
const keptVersions = 8;
/** Seconds. */
const longestWait = 300;

export type StandInCall = 'configuration' | 'watch' | 'value' | 'instances' | 'patch';

export type StandInConfigurationServiceOptions = {
	/** Runs the waits of watches and the lag; default is the system clock. */
	readonly clock?: Clock;
	/** Documents above this many bytes are published as a manifest; default and at most 1,000,000. */
	readonly partSize?: number;
};

export type StandInConfigurationService = {
	/** Without a slash at the end. */
	readonly url: string;
	/** The newest version, whatever is served. */
	readonly document: ConfigurationDocument;
	/** Calls that began, by kind. A waiting watch counts once. */
	readonly calls: Readonly<Record<StandInCall, number>>;
	/** Watches that wait now. */
	readonly waitingWatches: number;
	/** Publishes a document. Throws a `RangeError` unless its version is higher than the newest. */
	publish(document: ConfigurationDocument): void;
	/**
	 * Applies an RFC 6902 patch and publishes the result, which is returned. Throws a
	 * `ConfigurationError`; `stale-patch` when `base` is not the newest version.
	 */
	patch(patch: unknown, base: number): ConfigurationDocument;
	/** Readers see a version published from now on only after this many milliseconds. */
	setLag(milliseconds: number): void;
	/** Serves this older version until `recover`. Throws a `RangeError` when it is not kept. */
	goStale(version: number): void;
	/**
	 * Ends all connections. From then on `refuse` resets each new connection, and `hang` accepts
	 * calls and never answers.
	 */
	goAway(how: 'refuse' | 'hang'): void;
	/** Ends `goStale` and `goAway`. */
	recover(): void;
	/** Serves wrong bytes for every part of a manifest while true. */
	corruptValues(isCorrupt: boolean): void;
	setInstances(instances: InstanceList['instances']): void;
	setTargets(targets: InstanceList['targets']): void;
	/** Sets the state of one target, and adds it when it is not listed. */
	setTarget(id: string, state: InstanceList['targets'][number]['state']): void;
	close(): Promise<void>;
};

type Published = {
	readonly document: ConfigurationDocument;
	/** The document or its manifest, as served. */
	readonly body: string;
	readonly values: ReadonlyMap<string, Uint8Array>;
};

type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly url: URL;
};

function encode(document: ConfigurationDocument, partSize: number): Published {
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

/** Undefined when the body is too big, is cut off or is not JSON. */
async function readJson(request: IncomingMessage): Promise<unknown> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > largestPatch) {
				return undefined;
			}

			chunks.push(chunk);
		}

		return JSON.parse(Buffer.concat(chunks).toString('utf8'));
	} catch {
		return undefined;
	}
}

/** Resolves when the server listens. */
export async function createStandInConfigurationService(
	initial: ConfigurationDocument,
	options: StandInConfigurationServiceOptions = {},
): Promise<StandInConfigurationService> {
	const {clock = createSystemClock(), partSize = maxPartBytes} = options;
	const history = new Map<number, Published>();
	const wakeUps = new Set<() => void>();
	const calls: Record<StandInCall, number> = {
		configuration: 0,
		watch: 0,
		value: 0,
		instances: 0,
		patch: 0,
	};
	let list: InstanceList = {instances: [], targets: []};
	let listRevision = 1;
	let newest = encode(initial, partSize);
	let visible = newest;
	let stale: Published | undefined;
	let away: 'refuse' | 'hang' | undefined;
	let lag = 0;
	let isCorrupt = false;
	history.set(initial.version, newest);

	const served = () => stale ?? visible;

	function wakeWatches(): void {
		for (const wakeUp of wakeUps) {
			wakeUp();
		}
	}

	function show(published: Published): void {
		visible = published;
		wakeWatches();
	}

	function publish(document: ConfigurationDocument): void {
		if (document.version <= newest.document.version) {
			throw new RangeError(`version ${document.version} is not above ${newest.document.version}`);
		}

		newest = encode(document, partSize);
		history.set(document.version, newest);
		for (const version of [...history.keys()].slice(0, -keptVersions)) {
			history.delete(version);
		}

		const published = newest;
		if (lag === 0) {
			show(published);
		} else {
			clock.after(lag, () => {
				// A later version may have been shown meanwhile if the lag was reduced.
				if (published.document.version > visible.document.version) {
					show(published);
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
		const {document, body} = served();
		sendJson(response, 200, body, {etag: `"${document.version}"`});
	}

	function sendUnchanged({response}: Exchange): void {
		response.writeHead(304, {etag: `"${served().document.version}"`});
		response.end();
	}

	/** Answers when a higher version is served, or when the wait is over. */
	function watch(exchange: Exchange, after: number, wait: number): void {
		const finish = (answer: (exchange: Exchange) => void) => {
			wakeUps.delete(wakeUp);
			cancelWait();
			answer(exchange);
		};

		const wakeUp = () => {
			if (served().document.version > after) {
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
		if (away === 'hang') {
			return;
		}

		const wait = Number(url.searchParams.get('wait') ?? '0');
		if (isWatch && !(/^\d+$/.test(after) && wait >= 0 && wait <= longestWait)) {
			sendJson(response, 400, {
				error: `after and wait must be numbers, wait at most ${longestWait}`,
			});
			return;
		}

		if (!isWatch || served().document.version > Number(after)) {
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
		if (away === 'hang') {
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
		if (away === 'hang') {
			return;
		}

		const etag = `"${listRevision}"`;
		if (request.headers['if-none-match'] === etag) {
			response.writeHead(304, {etag});
			response.end();
			return;
		}

		sendJson(response, 200, list, {etag});
	}

	function refusePatch(response: ServerResponse, error: unknown, base: number): void {
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
		if (away === 'hang') {
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
			refusePatch(response, error, Number(base));
		}
	}

	function handle(request: IncomingMessage, response: ServerResponse): void {
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

	const server = createServer(handle);
	server.on('connection', socket => {
		if (away === 'refuse') {
			socket.resetAndDestroy();
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;

	function setList(next: InstanceList): void {
		list = next;
		listRevision++;
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
		goStale(version) {
			const published = history.get(version);
			if (published === undefined) {
				throw new RangeError(`version ${version} is not kept`);
			}

			stale = published;
		},
		goAway(how) {
			away = how;
			server.closeAllConnections();
		},
		recover() {
			away = undefined;
			stale = undefined;
			wakeWatches();
		},
		corruptValues(next) {
			isCorrupt = next;
		},
		setInstances(instances) {
			setList({...list, instances});
		},
		setTargets(targets) {
			setList({...list, targets});
		},
		setTarget(id, state) {
			const others = list.targets.filter(target => target.id !== id);
			setList({...list, targets: [...others, {id, state}]});
		},
		async close() {
			server.close();
			server.closeAllConnections();
			await once(server, 'close');
		},
	};
}
