/**
 * Finds the caller's API key, here called the key, and removes it from the request. The key may be
 * in one of the headers that the dialect names, or in the query parameter that the route names.
 * Headers and cookies that carry or repeat the key are removed, and so is that query parameter, even
 * on a route that needs no key, so that no target learns the key. A request that repeats its key in
 * the path or in another query parameter is refused, because the key cannot be removed there.
 */
import {defaultDialect, type RequestDialect} from './request-dialect.js';

type KeyHeaders = RequestDialect['keyHeaders'];

export type CallerKeyResult =
	| {readonly kind: 'none'}
	| {readonly kind: 'found'; readonly key: string}
	/** Several different keys: choosing one by its position would charge an arbitrary workspace. */
	| {readonly kind: 'ambiguous'};

export type UrlParts = {
	readonly path: string;
	/** Without the question mark; empty where there is none. */
	readonly query: string;
};

function decodeQueryPart(part: string): string {
	try {
		return decodeURIComponent(part.replaceAll('+', ' '));
	} catch {
		return part;
	}
}

function parameterNameOf(parameter: string): string {
	const end = parameter.indexOf('=');
	return decodeQueryPart(end === -1 ? parameter : parameter.slice(0, end));
}

function parameterValueOf(parameter: string): string {
	const end = parameter.indexOf('=');
	return end === -1 ? '' : decodeQueryPart(parameter.slice(end + 1));
}

function keyFromHeader(headers: KeyHeaders, name: string, value: string): string | undefined {
	return Object.hasOwn(headers, name) ? headers[name]!(value) : undefined;
}

/**
 * Checks every header line and query parameter, also after a key was found, so that a second,
 * different key is noticed. Linear in the number of headers.
 *
 * @param rawHeaders - Alternating names and values, as in `IncomingMessage.rawHeaders`.
 * @param query - Query without the question mark.
 */
export function findCallerKey(
	rawHeaders: readonly string[],
	query: string,
	keyQueryParameter: string | undefined,
	headers: KeyHeaders = defaultDialect.keyHeaders,
): CallerKeyResult {
	const keys = new Set<string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const key = keyFromHeader(headers, rawHeaders[index]!.toLowerCase(), rawHeaders[index + 1]!);
		if (key !== undefined && key !== '') {
			keys.add(key);
		}
	}

	if (keyQueryParameter !== undefined && query !== '') {
		for (const parameter of query.split('&')) {
			if (parameterNameOf(parameter) === keyQueryParameter && parameterValueOf(parameter) !== '') {
				keys.add(parameterValueOf(parameter));
			}
		}
	}

	const [key] = keys;
	if (key === undefined) {
		return {kind: 'none'};
	}

	return keys.size === 1 ? {kind: 'found', key} : {kind: 'ambiguous'};
}

/** Removes every parameter named `keyQueryParameter`; the bytes of the others stay unchanged. */
export function removeKeyParameter(query: string, keyQueryParameter: string | undefined): string {
	if (keyQueryParameter === undefined || query === '') {
		return query;
	}

	return query
		.split('&')
		.filter(parameter => parameterNameOf(parameter) !== keyQueryParameter)
		.join('&');
}

/** Whether the text contains the key, literally or percent-encoded. */
export function containsKey(text: string, key: string): boolean {
	return text.includes(key) || (/[%+]/.test(text) && decodeQueryPart(text).includes(key));
}

function removeKeyCookies(cookies: string, key: string): string {
	return cookies
		.split(';')
		.filter(pair => !containsKey(pair, key))
		.map(pair => pair.trim())
		.join('; ');
}

/**
 * The value that a target may see, or undefined if the header must be removed. `name` is in lower
 * case, with hyphens in place of underscores.
 */
export function sanitizeHeaderValue(
	name: string,
	value: string,
	key: string | undefined,
	headers: KeyHeaders,
): string | undefined {
	if (Object.hasOwn(headers, name)) {
		return undefined;
	}

	if (key === undefined) {
		return value;
	}

	if (name === 'cookie') {
		const kept = removeKeyCookies(value, key);
		return kept === '' ? undefined : kept;
	}

	return containsKey(value, key) || name.includes(key.toLowerCase()) ? undefined : value;
}
