/**
 * Selects the headers that are forwarded. A target gets the caller's headers except hop-by-hop
 * headers, the dialect's key, deadline and reserved headers, and any other header or cookie that
 * contains the caller's key; the proxy adds headers of its own. If the proxy adds headers about the
 * client (such as `Forwarded`), it drops those of an untrusted caller. A caller gets the headers of
 * the target's response without hop-by-hop headers and without those that only the proxy reads.
 */
import {sanitizeHeaderValue} from './caller-key.js';
import {type RequestDialect} from './request-dialect.js';

/**
 * Request headers that are not forwarded: hop-by-hop headers, and the headers for framing and host,
 * which the proxy writes itself.
 */
const connectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'expect',
	'host',
	'content-length',
	'keep-alive',
	'proxy-authenticate',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'http2-settings',
]);

/** Request headers in which a proxy describes its client. */
const clientHeaders: ReadonlySet<string> = new Set([
	'forwarded',
	'x-forwarded-for',
	'x-forwarded-host',
	'x-forwarded-port',
	'x-forwarded-proto',
	'x-real-ip',
]);

/** Hop-by-hop headers of a response, which are not forwarded to the caller. */
const responseConnectionHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
]);

export type ClientDescription = {
	/** Address of the caller's end of the connection. */
	readonly address: string;
	readonly protocol: 'http' | 'https';
	/** The `Host` header as received. */
	readonly host: string;
	/** Whether the caller's own headers about its client are trusted. */
	readonly isTrusted: boolean;
};

/** Names in the `Connection` headers, in lower case. */
function readConnectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
	const names = new Set<string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === 'connection') {
			for (const name of rawHeaders[index + 1]!.split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	return names;
}

function formatForwarded(client: ClientDescription): string {
	const address = client.address.includes(':') ? `"[${client.address}]"` : client.address;
	return `for=${address};host="${client.host}";proto=${client.protocol}`;
}

/**
 * Adds the proxy's headers about the client. `Forwarded` and `X-Forwarded-For` are appended to the
 * values from a trusted forwarder; its `X-Forwarded-Host` and `X-Forwarded-Proto` are kept, and its
 * other headers about the client are dropped.
 */
function appendClientHeaders(
	headers: string[],
	trusted: Map<string, string>,
	client: ClientDescription,
) {
	const trustedPrefixOf = (name: string) => (trusted.has(name) ? `${trusted.get(name)!}, ` : '');
	headers.push(
		'forwarded',
		trustedPrefixOf('forwarded') + formatForwarded(client),
		'x-forwarded-for',
		trustedPrefixOf('x-forwarded-for') + client.address,
		'x-forwarded-host',
		trusted.get('x-forwarded-host') ?? client.host,
		'x-forwarded-proto',
		trusted.get('x-forwarded-proto') ?? client.protocol,
	);
}

/**
 * Returns alternating names and values, without framing and deadline headers, which differ between
 * attempts. A name with underscores is checked as if it had hyphens, because many target frameworks
 * treat the two forms alike. Linear in the number of headers.
 */
export function createTargetHeaders(
	rawHeaders: readonly string[],
	key: string | undefined,
	client: ClientDescription,
	dialect: RequestDialect,
): string[] {
	const connectionOptions = readConnectionOptions(rawHeaders);
	const headers: string[] = ['host', client.host];
	const trusted = new Map<string, string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const originalName = rawHeaders[index]!;
		const lowerName = originalName.toLowerCase();
		const name = lowerName.replaceAll('_', '-');
		const value = sanitizeHeaderValue(name, rawHeaders[index + 1]!, key, dialect.keyHeaders);
		const isDropped =
			connectionHeaders.has(name) ||
			name === dialect.deadlineHeader ||
			dialect.reservedHeaders.has(name);
		if (value === undefined || isDropped || connectionOptions.has(lowerName)) {
			continue;
		}

		if (!dialect.addsForwardedHeaders || !clientHeaders.has(name)) {
			headers.push(originalName, value);
		} else if (client.isTrusted) {
			trusted.set(name, trusted.has(name) ? `${trusted.get(name)!}, ${value}` : value);
		}
	}

	if (dialect.addsForwardedHeaders) {
		appendClientHeaders(headers, trusted, client);
	}

	return headers;
}

/** The headers of a target's response that the caller gets, as alternating names and values. */
export function createCallerHeaders(
	rawHeaders: readonly string[],
	dialect: RequestDialect,
): string[] {
	const connectionOptions = readConnectionOptions(rawHeaders);
	const headers: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const isStripped =
			responseConnectionHeaders.has(name) || dialect.strippedResponseHeaders.has(name);
		if (!isStripped && !connectionOptions.has(name)) {
			headers.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return headers;
}
