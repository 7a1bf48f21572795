/**
 * Describes the platform's HTTP conventions for keys, deadlines and requests that did not run. The
 * request path of `io-http` reads them through this object, so that `io-http` contains none of the
 * platform's names.
 */
import {readTargetNotice, type RequestDialect} from '@shallotpond/io-http/request-dialect';
import {parseRetryAfter} from '@shallotpond/io-http/retry-after-header';
import {headerNames, misdirectedStatus} from './wire-names.js';

const millisecondsPerSecond = 1000;
/** Decimal places of `retry-after`; callers accept fractions of a second. */
const retryAfterDigits = 3;
const minSuccessStatus = 200;
const minRedirectStatus = 300;
/** Status code that tells the caller that the request did not run. */
const notRunStatus = 503;
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export const platformDialect: RequestDialect = {
	keyHeaders: {[headerNames.key]: value => value.trim()},
	deadlineHeader: headerNames.deadline,
	requestIdHeader: headerNames.requestId,
	workspaceHeader: headerNames.workspace,
	targetHeader: headerNames.target,
	reservedHeaders: new Set([
		headerNames.workspace,
		headerNames.target,
		headerNames.notExecuted,
		headerNames.responseSeal,
	]),
	strippedResponseHeaders: new Set(),
	addsForwardedHeaders: false,
	acceptsUnframed: true,
	notRunStatus,
	notRunStatuses,
	isGenuine({statusCode, headers}) {
		const isSuccess = statusCode! >= minSuccessStatus && statusCode! < minRedirectStatus;
		// Targets seal every successful response and never encode a body.
		return (
			!isSuccess ||
			(headers[headerNames.responseSeal] !== undefined && headers['content-encoding'] === undefined)
		);
	},
	readShed(response) {
		const isMisdirected = response.statusCode === misdirectedStatus;
		if (!isMisdirected && response.headers[headerNames.notExecuted] === undefined) {
			return undefined;
		}

		return {retryAfter: parseRetryAfter(response.headers['retry-after']), isMisdirected};
	},
	readNotice: response => readTargetNotice(response, headerNames.leaving),
	formatRetryAfter: milliseconds =>
		(Math.max(0, milliseconds) / millisecondsPerSecond).toFixed(retryAfterDigits),
};
