/**
 * Checks of the head of a target's answer: framing that proves where the body ends, the
 * expectations of the route, shed answers, and the parts of a resumed download.
 */
import {type IncomingMessage} from 'node:http';
import {type RouteDefinition} from '@shallotpond/configuration/document-schema';
import {headerValuesOf} from './request-checks.js';

/** Statuses whose body is a representation of the resource, which a route can expect to be whole. */
const representationStatuses: ReadonlySet<number> = new Set([200, 203]);

export function hasBody(method: string, status: number): boolean {
	return method !== 'HEAD' && status !== 204 && status !== 304;
}

/**
 * Whether the framing tells the end of the body. A body that ends with the connection looks the
 * same when its sender gives up on it, so it is refused unless `acceptsUnframed` is set.
 */
export function isFramed(
	method: string,
	answer: IncomingMessage,
	acceptsUnframed = false,
): boolean {
	if (!/^1\.[01]$/.test(answer.httpVersion)) {
		return false;
	}

	const lengths = headerValuesOf(answer.rawHeaders, 'content-length');
	const encodings = headerValuesOf(answer.rawHeaders, 'transfer-encoding');
	if (!hasBody(method, answer.statusCode!)) {
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

/** Bytes; undefined where the body is chunked. */
export function contentLengthOf(answer: IncomingMessage): number | undefined {
	const length = answer.headers['content-length'];
	return length === undefined ? undefined : Number(length);
}

/** Whether only the end of the connection tells the end of the body. */
export function endsWithConnection(method: string, answer: IncomingMessage): boolean {
	const {headers} = answer;
	const isFree =
		headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
	return isFree && hasBody(method, answer.statusCode!);
}

/** Whether the answer belongs to the request that `requestId` names, as far as it says so. */
export function isResponseToRequest(
	answer: IncomingMessage,
	header: string | undefined,
	requestId: string | undefined,
): boolean {
	return header === undefined || requestId === undefined || answer.headers[header] === requestId;
}

/** Bytes that a complete answer must have. */
export function minBodyBytesOf(route: RouteDefinition, method: string, status: number): number {
	const {smallestBody} = route.expectation;
	const isEmptyPreview = status === 204 && method === 'GET';
	const isChecked = isEmptyPreview || (method !== 'HEAD' && representationStatuses.has(status));
	return isChecked ? smallestBody : 0;
}

/** Whether the media type of a successful answer is one that the route expects. */
export function hasExpectedType(route: RouteDefinition, answer: IncomingMessage): boolean {
	const {contentTypes} = route.expectation;
	if (contentTypes.length === 0 || !representationStatuses.has(answer.statusCode!)) {
		return true;
	}

	const mediaType = (answer.headers['content-type'] ?? '').split(';', 1)[0]!.trim().toLowerCase();
	return contentTypes.includes(mediaType);
}

export type ResumableDownload = {
	/** Strong entity tag. */
	readonly etag: string;
	/** Bytes of the whole; undefined while unknown. */
	readonly total: number | undefined;
};

/**
 * What is needed to continue this answer elsewhere; undefined where that is not safe. Only a strong
 * tag promises equal bytes. The caller's own ranges and conditions are left alone.
 */
export function readResumableDownload(
	method: string,
	headers: readonly string[],
	answer: IncomingMessage,
): ResumableDownload | undefined {
	const {etag} = answer.headers;
	const isStrong = etag !== undefined && /^"[!#-~\u0080-\u00FF]*"$/.test(etag);
	const isPartial = headerValuesOf(headers, 'range').length > 0;
	if (method !== 'GET' || answer.statusCode !== 200 || !isStrong || isPartial) {
		return undefined;
	}

	return {etag, total: contentLengthOf(answer)};
}

/**
 * Bytes of the rest, where a 206 answer continues the download at exactly the byte `received`;
 * undefined where it does not.
 */
export function readRemainingBytes(
	answer: IncomingMessage,
	download: ResumableDownload,
	received: number,
): number | undefined {
	const range = /^bytes (?<first>\d{1,15})-(?<last>\d{1,15})\/(?<total>\d{1,15})$/.exec(
		answer.headers['content-range'] ?? '',
	)?.groups;
	if (answer.statusCode !== 206 || answer.headers.etag !== download.etag || range === undefined) {
		return undefined;
	}

	const first = Number(range.first);
	const last = Number(range.last);
	const total = Number(range.total);
	const length = contentLengthOf(answer);
	const isRest =
		first === received &&
		last === total - 1 &&
		total === (download.total ?? total) &&
		(length === undefined || length === total - first);
	return isRest ? total - first : undefined;
}
