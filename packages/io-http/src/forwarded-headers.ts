/**
 * The headers that a target gets: the caller's without credentials, hop-by-hop headers and claims
 * about the client, plus what the proxy itself says.
 */
import {cleanHeaderValue} from './caller-key.js';
import {type RequestDialect} from './request-dialect.js';

/** Headers of one connection. Framing, host and deadline are written anew as well. */
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

const clientHeaders: ReadonlySet<string> = new Set([
	'forwarded',
	'x-forwarded-for',
	'x-forwarded-host',
	'x-forwarded-port',
	'x-forwarded-proto',
	'x-real-ip',
]);

/** Headers of the answer that end at the proxy. */
const answerConnectionHeaders: ReadonlySet<string> = new Set([
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
	/** Whether what the caller says about its own client is kept. */
	readonly isTrusted: boolean;
};

/** Names in the `Connection` headers, in lower case. */
function namedByConnection(rawHeaders: readonly string[]): ReadonlySet<string> {
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

/** Adds the proxy's own words about the client, after those of a trusted forwarder. */
function appendClientHeaders(
	headers: string[],
	kept: Map<string, string>,
	client: ClientDescription,
) {
	const before = (name: string) => (kept.has(name) ? `${kept.get(name)!}, ` : '');
	headers.push(
		'forwarded',
		before('forwarded') + formatForwarded(client),
		'x-forwarded-for',
		before('x-forwarded-for') + client.address,
		'x-forwarded-host',
		kept.get('x-forwarded-host') ?? client.host,
		'x-forwarded-proto',
		kept.get('x-forwarded-proto') ?? client.protocol,
	);
}

/**
 * Names and values by turns, without framing, deadline and trace headers, which differ between
 * tries. Names with underscores count as their form with hyphens, because many target frameworks
 * treat both alike. Linear in the number of headers.
 */
export function createTargetHeaders(
	rawHeaders: readonly string[],
	key: string | undefined,
	client: ClientDescription,
	dialect: RequestDialect,
): string[] {
	const named = namedByConnection(rawHeaders);
	const headers: string[] = ['host', client.host];
	const kept = new Map<string, string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const originalName = rawHeaders[index]!;
		const lowerName = originalName.toLowerCase();
		const name = lowerName.replaceAll('_', '-');
		const value = cleanHeaderValue(name, rawHeaders[index + 1]!, key, dialect.keyHeaders);
		const isOwn =
			connectionHeaders.has(name) ||
			name === dialect.deadlineHeader ||
			dialect.reservedHeaders.has(name);
		if (value === undefined || isOwn || named.has(lowerName)) {
			continue;
		}

		if (!dialect.addsForwardedHeaders || !clientHeaders.has(name)) {
			headers.push(originalName, value);
		} else if (client.isTrusted) {
			kept.set(name, kept.has(name) ? `${kept.get(name)!}, ${value}` : value);
		}
	}

	if (dialect.addsForwardedHeaders) {
		appendClientHeaders(headers, kept, client);
	}

	return headers;
}

/** The headers of a target's answer that the caller gets, names and values by turns. */
export function createCallerHeaders(
	rawHeaders: readonly string[],
	dialect: RequestDialect,
): string[] {
	const named = namedByConnection(rawHeaders);
	const headers: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!.toLowerCase();
		const endsHere = answerConnectionHeaders.has(name) || dialect.strippedResponseHeaders.has(name);
		if (!endsHere && !named.has(name)) {
			headers.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return headers;
}
