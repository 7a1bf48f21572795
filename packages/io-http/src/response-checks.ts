/**
 * Checks of the head of a target's response: whether its framing shows where the body ends, whether
 * it meets the expectations of the route, and whether it continues an interrupted download.
 */
import {type IncomingMessage} from 'node:http';
import {type RouteDefinition} from '@shallotpond/configuration/document-schema';
import {headerValuesOf} from './request-checks.js';

/** Status codes whose body represents the resource, which a route can expect to be complete. */
const representationStatuses: ReadonlySet<number> = new Set([200, 203]);

export function hasBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/** RFC 9110, section 15: a status code below 100 or above 599 is invalid. */
export function hasFinalStatus({statusCode = 0}: IncomingMessage): boolean {
	return statusCode >= 200 && statusCode <= 599;
}

/**
 * Whether the framing marks the end of the body. If a body ends with the connection, a complete one
 * cannot be told from an aborted one, so such a body is refused unless `acceptsUnframed` is set.
 */
export function isFramed(
	method: string,
	response: IncomingMessage,
	acceptsUnframed = false,
): boolean {
	if (!/^1\.[01]$/.test(response.httpVersion)) {
		return false;
	}

	const lengths = headerValuesOf(response.rawHeaders, 'content-length');
	const encodings = headerValuesOf(response.rawHeaders, 'transfer-encoding');
	if (!hasBody(method, response.statusCode!)) {
		return lengths.length < 2;
	}

	if (encodings.length === 0 && lengths.length === 0) {
		return acceptsUnframed;
	}

	if (encodings.length === 0) {
		return lengths.length === 1 && /^\d{1,15}$/.test(lengths[0]!);
	}

	return (
		lengths.length === 0 && encodings.length === 1 && encodings[0]!.toLowerCase() === 'chunked'
	);
}

/** Bytes; undefined where the response declares no length. */
export function contentLengthOf(response: IncomingMessage): number | undefined {
	const length = response.headers['content-length'];
	return length === undefined ? undefined : Number(length);
}

/** Whether only the end of the connection marks the end of the body. */
export function endsWithConnection(method: string, response: IncomingMessage): boolean {
	const {headers} = response;
	const isUnframed =
		headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
	return isUnframed && hasBody(method, response.statusCode!);
}

/** The head of the response as text, up to and including its empty line. */
export function formatResponseHead(response: IncomingMessage): string {
	const {httpVersion, statusCode, statusMessage, rawHeaders} = response;
	const lines = [`HTTP/${httpVersion} ${statusCode} ${statusMessage}`];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		lines.push(`${rawHeaders[index]}: ${rawHeaders[index + 1]}`);
	}

	return [...lines, '', ''].join('\r\n');
}

/**
 * Whether the response belongs to the request that `requestId` identifies; true where the dialect
 * or the request has no identifier.
 */
export function isResponseToRequest(
	response: IncomingMessage,
	header: string | undefined,
	requestId: string | undefined,
): boolean {
	return header === undefined || requestId === undefined || response.headers[header] === requestId;
}

/** Minimum bytes of a complete body; 0 where the route's expectation does not apply. */
export function minBodyBytesOf(route: RouteDefinition, method: string, status: number): number {
	const {smallestBody} = route.expectation;
	const isEmptyGet = status === 204 && method === 'GET';
	const isChecked = isEmptyGet || (method !== 'HEAD' && representationStatuses.has(status));
	return isChecked ? smallestBody : 0;
}

/**
 * Whether the media type is one that the route expects; true if the route expects none, or for a
 * status code other than 200 and 203.
 */
export function hasExpectedType(route: RouteDefinition, response: IncomingMessage): boolean {
	const {contentTypes} = route.expectation;
	if (contentTypes.length === 0 || !representationStatuses.has(response.statusCode!)) {
		return true;
	}

	const mediaType = (response.headers['content-type'] ?? '').split(';', 1)[0]!.trim().toLowerCase();
	return contentTypes.includes(mediaType);
}

export type ResumableDownload = {
	/** Strong entity tag. */
	readonly etag: string;
	/** Bytes of the complete body; undefined while unknown. */
	readonly total: number | undefined;
};

/**
 * What is needed to resume this response at another target; undefined where a resume is unsafe.
 * Only a strong entity tag guarantees equal bytes. A request with a `Range` of its own is not
 * resumed.
 */
export function readResumableDownload(
	method: string,
	requestHeaders: readonly string[],
	response: IncomingMessage,
): ResumableDownload | undefined {
	const {etag} = response.headers;
	const isStrong = etag !== undefined && /^"[!#-~\u0080-\u00FF]*"$/.test(etag);
	const isRangeRequest = headerValuesOf(requestHeaders, 'range').length > 0;
	if (method !== 'GET' || response.statusCode !== 200 || !isStrong || isRangeRequest) {
		return undefined;
	}

	return {etag, total: contentLengthOf(response)};
}

/**
 * Number of remaining bytes, if a 206 response continues the download exactly at byte `received`;
 * otherwise undefined.
 */
export function readRemainingBytes(
	response: IncomingMessage,
	download: ResumableDownload,
	received: number,
): number | undefined {
	const range = /^bytes (?<first>\d{1,15})-(?<last>\d{1,15})\/(?<total>\d{1,15})$/.exec(
		response.headers['content-range'] ?? '',
	)?.groups;
	if (
		response.statusCode !== 206 ||
		response.headers.etag !== download.etag ||
		range === undefined
	) {
		return undefined;
	}

	const first = Number(range.first);
	const last = Number(range.last);
	const total = Number(range.total);
	const length = contentLengthOf(response);
	const isRemainder =
		first === received &&
		last === total - 1 &&
		total === (download.total ?? total) &&
		(length === undefined || length === total - first);
	return isRemainder ? total - first : undefined;
}

/** Whether the response is a stream of events, each of which is due at its caller at once. */
export function isEventStream({headers}: IncomingMessage): boolean {
	return /^text\/event-stream(?:;|$)/i.test(headers['content-type'] ?? '');
}
