/**
 * A dialect: the header names and conventions of a deployment. Callers, proxy and targets agree on
 * how a request carries its key, its identifier and its deadline, and on how a target reports that
 * it did not run a request. The request path takes them from the dialect, so that it works with any
 * such agreement.
 */
import {type IncomingMessage} from 'node:http';
import {type TargetNotice} from '@shallotpond/kernel/attempt-outcome';
import {parseRetryAfter} from './retry-after-header.js';

/** Content of a response that proves that the target did not run the request. */
export type ShedResponse = {
	/** Milliseconds after which a retry makes sense; undefined if the response gives no time. */
	readonly retryAfter: number | undefined;
	/** Whether another target now uses the address to which the request was sent. */
	readonly isMisdirected: boolean;
};

export type RequestDialect = {
	/** Headers that carry a key, in lower case, each with its parser. They never reach a target. */
	readonly keyHeaders: Readonly<Record<string, (value: string) => string | undefined>>;
	/** Name, in lower case, of the header with the milliseconds for which the sender still waits. */
	readonly deadlineHeader: string;
	/** Name, in lower case, of the header that identifies a request and recurs in its response. */
	readonly requestIdHeader?: string;
	/** Header that tells the target the workspace of a request. */
	readonly workspaceHeader?: string;
	/** Header that names the target, so that another process at its address refuses the request. */
	readonly targetHeader?: string;
	/** Headers that only the proxy may set; those of the caller are removed. In lower case. */
	readonly reservedHeaders: ReadonlySet<string>;
	/** Headers of a response that the proxy removes, in lower case. */
	readonly strippedResponseHeaders: ReadonlySet<string>;
	/** Whether targets get the address of the caller in `Forwarded` and `X-Forwarded-*`. */
	readonly addsForwardedHeaders: boolean;
	/** Whether a response without a length that ends with its connection counts as complete. */
	readonly acceptsUnframed: boolean;
	/** Replaces status codes 502 and 504 if the request did not run; undefined keeps them. */
	readonly notRunStatus?: number;
	/**
	 * Status codes that promise that the request did not run; a problem must not use them where it
	 * may have run.
	 */
	readonly notRunStatuses?: ReadonlySet<number>;
	/** Whether the target itself wrote the response head; default: every head is accepted. */
	isGenuine?(response: IncomingMessage): boolean;
	/**
	 * Reads a response with which a target sheds load. Undefined where the response does not prove
	 * that the request did not run.
	 */
	readShed(response: IncomingMessage): ShedResponse | undefined;
	/**
	 * Reads what the target says about itself; undefined if it says nothing. Called only for a
	 * response that belongs to the request and comes from the target that the request was sent to.
	 */
	readNotice?(response: IncomingMessage): TargetNotice | undefined;
	/** Formats the value of `Retry-After`. */
	formatRetryAfter(milliseconds: number): string;
};

/** Milliseconds after which a request that was shed is retried if the target gives no valid time. */
const defaultRetryAfter = 1000;

/**
 * The notice in a response whose header `leavingHeader` is `1` while the target is leaving, and
 * whose `Retry-After` asks for a pause if the status is 503.
 */
export function readTargetNotice(
	{statusCode, headers}: IncomingMessage,
	leavingHeader: string,
): TargetNotice | undefined {
	const isLeaving = headers[leavingHeader] === '1';
	const holdOff = statusCode === 503 ? parseRetryAfter(headers['retry-after']) : undefined;
	return isLeaving || holdOff !== undefined ? {isLeaving, holdOff} : undefined;
}

/** The conventions of Shallotpond itself, used where no other dialect is given. */
export const defaultDialect: RequestDialect = {
	keyHeaders: {
		authorization: value => /^bearer +(?<key>\S+) *$/i.exec(value)?.groups?.key,
		'x-api-key': value => value.trim(),
		'proxy-authorization': () => undefined,
	},
	deadlineHeader: 'x-request-deadline',
	reservedHeaders: new Set(),
	strippedResponseHeaders: new Set(['x-shed', 'x-target-generation', 'x-target-leaving']),
	addsForwardedHeaders: true,
	acceptsUnframed: false,
	readShed(response) {
		const seconds = response.headers['retry-after'];
		const isShed = response.statusCode === 503 && response.headers['x-shed'] === 'not-run';
		if (!isShed || seconds === undefined) {
			return undefined;
		}

		return {retryAfter: parseRetryAfter(seconds) ?? defaultRetryAfter, isMisdirected: false};
	},
	readNotice: response => readTargetNotice(response, 'x-target-leaving'),
	formatRetryAfter: milliseconds => String(Math.max(1, Math.ceil(milliseconds / 1000))),
};
