/**
 * Client of the platform's store, which publishes the configuration and the targets. Each call is
 * one HTTP request with a timeout.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {formatSocketAddress, type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {isWholeNumber} from '@shallotpond/kernel/whole-number';
import {callHttp, parseJsonResponse, type HttpResponse} from '@shallotpond/io-platform/http-call';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {type StoreReader} from '@shallotpond/gateway/published-state-service';
import {type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {headerNames, platformPaths} from './wire-names.js';

export type StoreClientOptions = {
	readonly address: () => SocketAddress;
	readonly clock: Clock;
	readonly countCall: (call: 'range' | 'watch', status: string) => void;
	/** Called with the number of entries of a response that were left out as malformed. */
	readonly onMalformedEntries: (count: number) => void;
	/** Called if the era in a response is malformed; it then counts as missing. */
	readonly onMalformedEra: () => void;
};

/** Milliseconds; the store responds in 4 ms, and in 60 times as long when it is slow. */
const readTimeout = 1500;
/** Milliseconds beyond the wait that a watch requests within which its response must arrive. */
const watchSlack = 700;
/** Bytes. */
const maxResponseSize = 4_194_304;
/** The empty prefix matches every key, so that one call follows all published items. */
const everyKeyPrefix = '';
/**
 * How often a read of all items begins anew because the store came back from an older copy between
 * two pages.
 */
const maxRestarts = 2;
const goneStatus = 410;
const okStatus = 200;

type WireItem = {
	readonly key: string;
	readonly value?: string;
	readonly revision: number;
	readonly deleted?: boolean;
};

/** Undefined if the entry has no key, no revision or a value that is not text. */
function toItem(entry: unknown): PublishedItem | undefined {
	const {key, value, revision, deleted} = (entry ?? {}) as Partial<WireItem>;
	const isValid =
		typeof key === 'string' &&
		isWholeNumber(revision) &&
		(deleted === true || typeof value === 'string');
	return isValid ? {key, value: deleted === true ? undefined : value, revision} : undefined;
}

export function createStoreClient(options: StoreClientOptions): StoreReader {
	const {clock} = options;

	async function call(
		kind: 'range' | 'watch',
		query: Readonly<Record<string, string>>,
		timeout: number,
		signal: AbortSignal,
	): Promise<HttpResponse> {
		const url = new URL(`http://${formatSocketAddress(options.address())}${platformPaths[kind]}`);
		url.search = new URLSearchParams(query).toString();
		try {
			const response = await callHttp({url, timeout, maxResponseSize, clock, signal});
			options.countCall(kind, String(response.status));
			return response;
		} catch (error) {
			options.countCall(kind, error instanceof PlatformError ? error.code : 'failed');
			throw error;
		}
	}

	function readBody(response: HttpResponse): Readonly<Record<string, unknown>> {
		if (response.status !== okStatus) {
			throw new PlatformError(
				'unexpected-status',
				`the store responded with status ${response.status}`,
			);
		}

		const body = parseJsonResponse(response);
		if (typeof body !== 'object' || body === null) {
			throw new PlatformError('malformed-answer', 'the response of the store is not an object');
		}

		return body as Readonly<Record<string, unknown>>;
	}

	/** Leaves out malformed entries, so that one of them does not hide the others. */
	function readList(value: unknown): PublishedItem[] {
		const entries = Array.isArray(value) ? (value as unknown[]) : [];
		const items = entries.map(entry => toItem(entry)).filter(item => item !== undefined);
		if (items.length < entries.length) {
			options.onMalformedEntries(entries.length - items.length);
		}

		return items;
	}

	function readRevision(body: Readonly<Record<string, unknown>>): number {
		const revision = body.as_of;
		if (!isWholeNumber(revision)) {
			throw new PlatformError('malformed-answer', 'the response of the store has no revision');
		}

		return revision;
	}

	/** Undefined if the response states no era. */
	function readEra(response: HttpResponse): number | undefined {
		const text = response.headers[headerNames.storeEra];
		if (text === undefined) {
			return undefined;
		}

		const era = typeof text === 'string' && /^\d+$/.test(text) ? Number(text) : undefined;
		if (isWholeNumber(era)) {
			return era;
		}

		options.onMalformedEra();
		return undefined;
	}

	async function readPage(after: string | undefined, signal: AbortSignal) {
		const query = {prefix: everyKeyPrefix, ...(after !== undefined && {after})};
		const response = await call('range', query, readTimeout, signal);
		const body = readBody(response);
		return {
			era: readEra(response),
			items: readList(body.items),
			hasMore: body.has_more === true,
			revision: readRevision(body),
		};
	}

	/** Returns undefined if the era changed between two pages, which then are of two histories. */
	async function readPages(signal: AbortSignal) {
		const items: PublishedItem[] = [];
		let first: {readonly revision: number; readonly era: number | undefined} | undefined;
		let after: string | undefined;
		for (let hasMore = true; hasMore;) {
			const page = await readPage(after, signal);
			// The pages are not one snapshot. A watch from the revision of the first page repeats all
			// later changes.
			first ??= {revision: page.revision, era: page.era};
			if (page.era !== undefined && first.era !== undefined && page.era !== first.era) {
				return undefined;
			}

			items.push(...page.items);
			after = page.items.at(-1)?.key;
			hasMore = page.hasMore && after !== undefined;
		}

		return {items, revision: first?.revision ?? 0, era: first?.era};
	}

	return {
		async readAll(signal) {
			for (let restarts = 0; restarts <= maxRestarts; restarts++) {
				const snapshot = await readPages(signal);
				if (snapshot !== undefined) {
					return snapshot;
				}
			}

			throw new PlatformError('malformed-answer', 'the era of the store changes while it is read');
		},
		async watch(revision, wait, signal) {
			const query = {prefix: everyKeyPrefix, after: String(revision), wait_ms: String(wait)};
			const response = await call('watch', query, wait + watchSlack, signal);
			const era = readEra(response);
			if (response.status === goneStatus) {
				return {kind: 'history-gone', era};
			}

			const body = readBody(response);
			return {kind: 'changes', items: readList(body.events), revision: readRevision(body), era};
		},
	};
}
