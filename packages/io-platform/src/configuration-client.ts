/**
 * Reads and watches the configuration service. A few instances watch by long poll; all others poll
 * at long intervals, because they learn of new versions from their peers. Only a complete document
 * of a higher version is passed on.
 *
 * Protocol: `GET /v1/configuration` returns the document, or a manifest of its parts, with `ETag:
 * "<version>"`; with `?after=<version>&wait=<seconds>` it returns when a higher version exists, or
 * 304 when the wait ends; `GET /v1/configuration/values/<digest>` returns one part.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {
	checkPart,
	isManifest,
	joinDocument,
	parseManifest,
} from '@shallotpond/configuration/document-manifest';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {backOffDelay} from './back-off.js';
import {createCallBudget, maxBurst} from './call-budget.js';
import {createCallLoop, type CallLoopStatus} from './call-loop.js';
import {callHttp, parseJsonResponse, type HttpResponse} from './http-call.js';
import {PlatformError, toPlatformError} from './platform-error.js';

/**
 * Bytes; 1 MiB, the larger of the two common meanings of 1 MB, so that no valid value is rejected.
 */
const maxValueSize = 1_048_576;
const defaultCallsPerSecond = 1;
const defaultReadTimeoutMs = 5000;
const defaultWatchWaitMs = 10_000;
const defaultPollIntervalMs = 60_000;
/**
 * Milliseconds. Short enough that the recovery of the service is noticed well within the time
 * allowed to distribute a change of the configuration.
 */
const backOff = {initialDelay: 200, maxDelay: 5000};

export type ConfigurationClientMode = 'watch' | 'poll';

export type ConfigurationVersion = {
	readonly version: number;
	readonly digest: string;
};

export type ConfigurationClientOptions = {
	/** For example `http://10.0.0.2:8300`. */
	readonly url: string;
	readonly clock: Clock;
	readonly random: Random;
	/**
	 * The current version of the instance, from any source; undefined before the first one is
	 * adopted.
	 */
	readonly current: () => ConfigurationVersion | undefined;
	/** Called with each document of a higher version than the current one, and with its digest. */
	readonly onDocument: (document: ConfigurationDocument, digest: string) => void;
	/** Called when the service has responded that it has no higher version. */
	readonly onUnchanged?: () => void;
	/** Called with the error of each failed call. */
	readonly onFailure?: (error: PlatformError) => void;
	/** Default `poll`. */
	readonly mode?: ConfigurationClientMode;
	/** Sustained calls per second, at most `maxCallsPerSecond`; default 1. */
	readonly callsPerSecond?: number;
	/** Calls that may begin at once; at most `maxBurst`, which is the default. */
	readonly burst?: number;
	/** Timeout of a read, and of a watch in addition to its wait. Milliseconds; default 5,000. */
	readonly readTimeout?: number;
	/**
	 * Time for which a watch waits for a higher version. Milliseconds, in whole seconds; default
	 * 10,000.
	 */
	readonly watchWait?: number;
	/**
	 * Mean interval between two polls; each is drawn from 50% to 150% of it. Milliseconds; default
	 * 60,000.
	 */
	readonly pollInterval?: number;
};

export type ConfigurationClientStatus = {
	/** Number of calls made, including those for parts; a waiting watch is one call. */
	readonly calls: number;
} & CallLoopStatus;

export type ConfigurationClient = {
	start(): void;
	/** Ends the current call; resolves when the loop of calls has ended. */
	stop(): Promise<void>;
	/**
	 * Sets the mode. If no call is in progress, also makes the next call now, within the call budget.
	 */
	setMode(mode: ConfigurationClientMode): void;
	/**
	 * Polls now instead of after the interval, within the call budget. Does nothing during a call.
	 */
	refresh(): void;
	/**
	 * `lastContact` does not advance on a response that is older than the current version: a service
	 * that is known to be stale does not show whether a key was withdrawn.
	 */
	readonly status: ConfigurationClientStatus;
};

/**
 * Returns the version in the `ETag`; undefined if there is none. Throws a `PlatformError` if the
 * `ETag` is not a version in quotes.
 */
function readVersionTag(response: HttpResponse): number | undefined {
	const {etag} = response.headers;
	if (etag === undefined) {
		return undefined;
	}

	const digits = /^"(\d{1,15})"$/.exec(etag)?.[1];
	if (digits === undefined) {
		throw new PlatformError('malformed-answer', 'the ETag is not a version in quotes');
	}

	return Number(digits);
}

function rejectStale(version: number | undefined, current: ConfigurationVersion | undefined): void {
	if (version !== undefined && current !== undefined && version < current.version) {
		throw new PlatformError(
			'stale-answer',
			`the service responded with version ${version}, but version ${current.version} is current`,
		);
	}
}

/** Throws a `PlatformError` (`invalid-options`) if an option is out of range. */
export function createConfigurationClient(
	options: ConfigurationClientOptions,
): ConfigurationClient {
	const {
		clock,
		random,
		callsPerSecond = defaultCallsPerSecond,
		burst = maxBurst,
		readTimeout = defaultReadTimeoutMs,
		watchWait = defaultWatchWaitMs,
		pollInterval = defaultPollIntervalMs,
	} = options;
	const budget = createCallBudget({clock, callsPerSecond, burst});
	let {mode = 'poll'} = options;
	let calls = 0;

	async function get(path: string, timeout: number, signal: AbortSignal): Promise<HttpResponse> {
		await budget.take(signal);
		calls++;
		const url = new URL(path, options.url);
		const response = await callHttp({url, timeout, maxResponseSize: maxValueSize, clock, signal});
		if (response.status !== 200 && response.status !== 304) {
			throw new PlatformError(
				'unexpected-status',
				`the service responded with status ${response.status}`,
			);
		}

		return response;
	}

	async function readParts(value: unknown, signal: AbortSignal): Promise<ConfigurationDocument> {
		const manifest = parseManifest(value);
		const parts: Uint8Array[] = [];
		for (const [index, {digest}] of manifest.parts.entries()) {
			const response = await get(`/v1/configuration/values/${digest}`, readTimeout, signal);
			checkPart(manifest, index, response.body);
			parts.push(response.body);
		}

		return joinDocument(manifest, parts);
	}

	/**
	 * Reads the document of a response; errors of the configuration layer become a `PlatformError`.
	 */
	async function readDocument(
		response: HttpResponse,
		signal: AbortSignal,
	): Promise<ConfigurationDocument> {
		const value = parseJsonResponse(response);
		try {
			return isManifest(value) ? await readParts(value, signal) : parseDocument(value);
		} catch (error) {
			throw toPlatformError(error, 'malformed-answer');
		}
	}

	function accept(document: ConfigurationDocument): void {
		const current = options.current();
		rejectStale(document.version, current);
		const digest = digestDocument(document);
		if (document.version === current?.version) {
			if (digest !== current.digest) {
				throw new PlatformError(
					'conflicting-answer',
					`the service has another document with version ${document.version}`,
				);
			}

			options.onUnchanged?.();
			return;
		}

		try {
			options.onDocument(document, digest);
		} catch (error) {
			throw toPlatformError(error, 'handler-failed');
		}
	}

	async function call(signal: AbortSignal): Promise<void> {
		const current = options.current();
		const wait = mode === 'watch' && current !== undefined ? watchWait : 0;
		const query =
			current === undefined ? '' : `?after=${current.version}&wait=${Math.floor(wait / 1000)}`;
		const response = await get(`/v1/configuration${query}`, readTimeout + wait, signal);
		const version = readVersionTag(response);
		rejectStale(version, current);
		if (response.status === 304) {
			options.onUnchanged?.();
			return;
		}

		const document = await readDocument(response, signal);
		if (version !== undefined && version !== document.version) {
			throw new PlatformError(
				'malformed-answer',
				`the ETag has version ${version}, but the document has version ${document.version}`,
			);
		}

		accept(document);
	}

	function delayAfter(failures: number): number {
		// An instance that polls also learns of versions from its peers, so it keeps its interval while
		// the service fails. An instance that watches or has no document yet retries after a back-off.
		const isUrgent = mode === 'watch' || options.current() === undefined;
		if (!isUrgent) {
			return pollInterval * (0.5 + random());
		}

		return failures === 0 ? 0 : backOffDelay(failures, {random, ...backOff});
	}

	const loop = createCallLoop({
		clock,
		call,
		delayAfter,
		onFailure: error => options.onFailure?.(error),
	});

	return {
		start: loop.start,
		stop: loop.stop,
		setMode(next) {
			mode = next;
			loop.wake();
		},
		refresh: loop.wake,
		get status() {
			return {...loop.status, calls};
		},
	};
}
