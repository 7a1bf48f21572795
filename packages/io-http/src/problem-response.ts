/**
 * Reports errors to callers as `application/problem+json` (RFC 9457) with the additional members
 * `code` and `outcome` (whether the request ran), and with `Retry-After` where a retry makes sense.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Refusal, type RunState} from '@shallotpond/kernel/attempt-outcome';
import {type RequestDialect} from './request-dialect.js';

type ProblemDefinition = {readonly status: number; readonly title: string};

/** Codes that the HTTP layer itself uses. Policies add their own through `Refusal`. */
export const problemDefinitions = {
	'malformed-request': {status: 400, title: 'The request is not well-formed HTTP/1.1'},
	'ambiguous-framing': {status: 400, title: 'The length of the body is ambiguous'},
	'invalid-target': {status: 400, title: 'The path is not acceptable'},
	'invalid-host': {status: 400, title: 'Exactly one valid Host header is needed'},
	'ambiguous-key': {status: 400, title: 'The request carries two different keys'},
	'misplaced-key': {status: 400, title: 'The key may not be part of the path or the query'},
	'missing-key': {status: 401, title: 'A key is needed'},
	'unknown-key': {status: 401, title: 'The key is not known or was withdrawn'},
	'unknown-route': {status: 404, title: 'No route matches'},
	'method-refused': {status: 405, title: 'The method is not supported'},
	'request-timeout': {status: 408, title: 'The request did not arrive in time'},
	'body-too-large': {status: 413, title: 'The request body is too large'},
	'url-too-long': {status: 414, title: 'The URL is too long'},
	'expectation-refused': {status: 417, title: 'Only Expect: 100-continue is supported'},
	'headers-too-large': {status: 431, title: 'The headers are too large or too many'},
	'upgrade-refused': {status: 501, title: 'Upgrades are not supported'},
	'incomplete-answer': {status: 502, title: 'The target gave no usable answer'},
	'target-failed': {status: 502, title: 'The target failed'},
	'target-unreachable': {status: 502, title: 'No target could be reached'},
	'connection-broken': {status: 502, title: 'The connection to the target broke'},
	'target-shed': {status: 503, title: 'The target refused the request because of its load'},
	'not-ready': {status: 503, title: 'The instance has no configuration yet'},
	overloaded: {status: 503, title: 'The instance holds too many unfinished requests'},
	stopping: {status: 503, title: 'The instance is stopping'},
	isolated: {status: 503, title: 'The instance cannot verify keys at the moment'},
	cancelled: {status: 503, title: 'The request was cancelled'},
	'internal-error': {status: 500, title: 'Internal error'},
	'deadline-exceeded': {status: 504, title: 'The deadline passed'},
	'version-refused': {status: 505, title: 'Only HTTP/1.1 is supported'},
} as const satisfies Readonly<Record<string, ProblemDefinition>>;

export type ProblemCode = keyof typeof problemDefinitions;

export type Problem = {
	readonly code: string;
	readonly status: number;
	readonly title: string;
	readonly outcome: RunState;
	/** Milliseconds. */
	readonly retryAfter?: number;
};

/** `retryAfter` is in milliseconds. */
export function createProblem(
	code: ProblemCode,
	outcome: RunState = 'not-run',
	retryAfter?: number,
): Problem {
	return {code, ...problemDefinitions[code], outcome, retryAfter};
}

export function problemFromRefusal(refusal: Refusal): Problem {
	const {code, status, detail, runState, retryAfter} = refusal;
	return {code, status, title: detail, outcome: runState, retryAfter};
}

function formatBody(problem: Problem): string {
	const {code, status, title, outcome} = problem;
	return JSON.stringify({type: 'about:blank', title, status, code, outcome});
}

/** Replaces a status code that would promise that the request did not run. */
const badGatewayStatus = 502;

/**
 * Status code of the problem in the dialect. If the request did not run, 502 and 504 become
 * `notRunStatus`. If it may have run, a code of `notRunStatuses` becomes 502.
 */
function statusOf(problem: Problem, dialect: RequestDialect): number {
	if (problem.outcome !== 'not-run' && dialect.notRunStatuses?.has(problem.status) === true) {
		return badGatewayStatus;
	}

	const isFailure = problem.status === 502 || problem.status === 504;
	return problem.outcome === 'not-run' && isFailure
		? (dialect.notRunStatus ?? problem.status)
		: problem.status;
}

/** Sends the problem as the whole response. Does nothing if a response has begun. */
export function sendProblem(
	response: ServerResponse,
	problem: Problem,
	options: {readonly mustClose: boolean; readonly dialect: RequestDialect},
): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = formatBody(problem);
	const headers: Record<string, string | number> = {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		'cache-control': 'no-store',
	};
	if (problem.retryAfter !== undefined) {
		headers['retry-after'] = options.dialect.formatRetryAfter(problem.retryAfter);
	}

	if (options.mustClose) {
		headers.connection = 'close';
	}

	response.writeHead(statusOf(problem, options.dialect), headers);
	response.end(body);
}

/** The whole response as text, for connections for which Node created no response object. */
export function formatRawProblem(problem: Problem): string {
	const body = formatBody(problem);
	return [
		`HTTP/1.1 ${problem.status} ${problem.code}`,
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		'cache-control: no-store',
		'connection: close',
		'',
		body,
	].join('\r\n');
}
