/**
 * Checks of a request head that Node's parser does not make, or makes only in some versions. The
 * parser runs in its strict mode and already refuses bare line feeds and folded lines.
 */
import {type IncomingMessage} from 'node:http';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {type ProblemCode} from './problem-response.js';
import {type HttpLimits} from './http-limits.js';

export type RequestHead = {
	/** Lower case, without port. */
	readonly host: string;
	/** As received; forwarded to the target. */
	readonly path: string;
	/** Decoded; used to find the route. */
	readonly decodedPath: string;
	/** Without the question mark. */
	readonly query: string;
	/** Bytes; undefined for a chunked body, 0 for none. */
	readonly bodyLength: number | undefined;
};

export type RequestHeadResult =
	{readonly kind: 'ok'; readonly head: RequestHead} | {readonly kind: 'bad'; code: ProblemCode};

const hostPattern = /^(?<name>[\w.-]+|\[[\da-f:.]+])(?::\d{1,5})?$/i;
const pathPattern = /^\/[\w\-.~!$&'()*+,;=:@%/]*$/;
/** Printable ASCII except space, quotation mark, number sign and backslash. */
const queryPattern = /^[!$-[\]-~]*$/;
/**
 * Percent-encoded slash, backslash or NUL. A target that decodes one of them would see a path other
 * than the one that was matched against the routes.
 */
const encodedSeparator = /%(?:2f|5c|00)/i;
/** `.` or `..`, also before a semicolon: some targets ignore what follows it in a segment. */
const dotSegment = /^\.{1,2}(?:;.*)?$/;
const invalidPercentEncoding = /%(?![\da-f]{2})/i;

function bad(code: ProblemCode): RequestHeadResult {
	return {kind: 'bad', code};
}

/** All values of the header `name` (lower case), in order. Linear in the number of headers. */
export function headerValuesOf(rawHeaders: readonly string[], name: string): string[] {
	const values: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const candidate = rawHeaders[index]!;
		if (candidate.length === name.length && candidate.toLowerCase() === name) {
			values.push(rawHeaders[index + 1]!);
		}
	}

	return values;
}

/**
 * Returns the decoded path; undefined if the path is malformed, or if a target could take it for
 * another path.
 */
function decodePath(path: string): string | undefined {
	if (!pathPattern.test(path) || encodedSeparator.test(path)) {
		return undefined;
	}

	try {
		const decoded = decodeURIComponent(path);
		const hasDotSegment = decoded.split('/').some(part => dotSegment.test(part));
		// eslint-disable-next-line no-control-regex -- encoded control characters are refused
		return hasDotSegment || /[\u0000-\u001F\u007F]/.test(decoded) ? undefined : decoded;
	} catch {
		return undefined;
	}
}

/** Bytes of the body; undefined for a chunked body; `bad` for ambiguous framing. */
function readBodyLength(rawHeaders: readonly string[]): number | undefined | 'bad' {
	const lengths = headerValuesOf(rawHeaders, 'content-length');
	const encodings = headerValuesOf(rawHeaders, 'transfer-encoding');
	if (lengths.length + encodings.length > 1) {
		return 'bad';
	}

	if (encodings.length === 1) {
		return encodings[0]!.toLowerCase() === 'chunked' ? undefined : 'bad';
	}

	if (lengths.length === 0) {
		return 0;
	}

	return /^\d{1,15}$/.test(lengths[0]!) ? Number(lengths[0]) : 'bad';
}

function readHost(rawHeaders: readonly string[]): string | undefined {
	const hosts = headerValuesOf(rawHeaders, 'host');
	const match = hosts.length === 1 ? hostPattern.exec(hosts[0]!) : null;
	return match?.groups?.name?.toLowerCase();
}

function checkProtocol(request: IncomingMessage, limits: HttpLimits): ProblemCode | undefined {
	if (request.httpVersion !== '1.1') {
		return 'version-refused';
	}

	if (request.headers.upgrade !== undefined) {
		return 'upgrade-refused';
	}

	if (request.method === 'TRACE' || request.method === 'CONNECT') {
		// The response to TRACE repeats the headers that the target received, which the caller could
		// mistake for its own.
		return 'method-refused';
	}

	if (request.rawHeaders.length / 2 > limits.maxHeaderCount) {
		return 'headers-too-large';
	}

	return request.url!.length > limits.maxUrlLength ? 'url-too-long' : undefined;
}

/** Checks header syntax, protocol, framing, host, path and query, in that order. */
export function checkRequestHead(request: IncomingMessage, limits: HttpLimits): RequestHeadResult {
	const syntax = checkHeaderSyntax(request.rawHeaders);
	if (syntax !== 'valid') {
		return bad(syntax === 'malformed' ? 'malformed-request' : syntax);
	}

	const protocolProblem = checkProtocol(request, limits);
	if (protocolProblem !== undefined) {
		return bad(protocolProblem);
	}

	const bodyLength = readBodyLength(request.rawHeaders);
	if (bodyLength === 'bad') {
		return bad('ambiguous-framing');
	}

	const host = readHost(request.rawHeaders);
	if (host === undefined) {
		return bad('invalid-host');
	}

	const url = request.url!;
	const queryStart = url.indexOf('?');
	const path = queryStart === -1 ? url : url.slice(0, queryStart);
	const query = queryStart === -1 ? '' : url.slice(queryStart + 1);
	const decodedPath = decodePath(path);
	if (
		decodedPath === undefined ||
		!queryPattern.test(query) ||
		invalidPercentEncoding.test(query)
	) {
		return bad('invalid-target');
	}

	return {kind: 'ok', head: {host, path, decodedPath, query, bodyLength}};
}
