/**
 * The header names and conventions of a deployment. Callers, proxy and targets agree on how a
 * request carries its key, its identifier and its deadline, and on how a target says that it did not
 * run a request. The request path reads them here, so that it serves any such agreement.
 */
import {type IncomingMessage} from 'node:http';

/** Milliseconds after which another try makes sense; undefined where the target did not say. */
export type ShedResponse = {
	readonly retryAfter: number | undefined;
	/** Whether another target has taken over the address. */
	readonly isMisdirected: boolean;
};

export type RequestDialect = {
	/** Headers that carry a key, in lower case, with how to read it. They never reach a target. */
	readonly keyHeaders: Readonly<Record<string, (value: string) => string | undefined>>;
	/** Header with the milliseconds that the sender of a request still waits, in lower case. */
	readonly deadlineHeader: string;
	/** Header that names the request and is repeated in its answer, in lower case. */
	readonly requestIdHeader?: string;
	/** Header that tells the target for which workspace a request runs. */
	readonly workspaceHeader?: string;
	/** Header that names the target, so that another process at its address refuses the request. */
	readonly targetHeader?: string;
	/** Headers that only the proxy may set; those of the caller are removed. In lower case. */
	readonly reservedHeaders: ReadonlySet<string>;
	/** Headers of an answer that end at the proxy, in lower case. */
	readonly strippedResponseHeaders: ReadonlySet<string>;
	/** Whether targets are told the address of the caller (`Forwarded` and `X-Forwarded-*`). */
	readonly addsForwardedHeaders: boolean;
	/** Whether an answer without a length that ends with its connection counts as whole. */
	readonly acceptsUnframed: boolean;
	/** Status for a failure that proves that the request did not run; undefined keeps its own. */
	readonly notRunStatus?: number;
	/** Statuses that promise that the request did not run; a problem after a run must not use them. */
	readonly notRunStatuses?: ReadonlySet<number>;
	/** Whether the head is one that a target writes; without it every head counts as such. */
	isGenuine?(answer: IncomingMessage): boolean;
	/** Undefined where the answer does not prove that the request did not run. */
	readShed(answer: IncomingMessage): ShedResponse | undefined;
	/** Value of `Retry-After`. */
	formatRetryAfter(milliseconds: number): string;
};

/** The conventions of the product's own interface. */
export const defaultDialect: RequestDialect = {
	keyHeaders: {
		authorization: value => /^bearer +(?<key>\S+) *$/i.exec(value)?.groups?.key,
		'x-api-key': value => value.trim(),
		'proxy-authorization': () => undefined,
	},
	deadlineHeader: 'x-request-deadline',
	reservedHeaders: new Set(),
	strippedResponseHeaders: new Set(['x-shed', 'x-target-generation']),
	addsForwardedHeaders: true,
	acceptsUnframed: false,
	readShed(answer) {
		const seconds = answer.headers['retry-after'];
		const isShed = answer.statusCode === 503 && answer.headers['x-shed'] === 'not-run';
		if (!isShed || seconds === undefined) {
			return undefined;
		}

		const retryAfter = /^\d{1,6}$/.test(seconds) ? Number(seconds) * 1000 : 1000;
		return {retryAfter, isMisdirected: false};
	},
	formatRetryAfter: milliseconds => String(Math.max(1, Math.ceil(milliseconds / 1000))),
};
