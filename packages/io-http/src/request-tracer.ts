/**
 * Hooks for tracing: one span for a request and one for each of its hops. The interface keeps the
 * request path independent of a tracing library; the default does nothing.
 */
import {type ResponseCut} from './response-order.js';

export type HopName = 'admit' | 'queue' | 'attempt' | 'check' | 'turn';

export type HopSpan = {
	/** Value of `traceparent` for the target; undefined if the request is not traced. */
	readonly traceparent: string | undefined;
	/**
	 * `result` is a short text such as `ok`, `refused` or an `AttemptResult`; `basis` holds the
	 * values that led to it.
	 */
	end(result: string, basis?: Readonly<Record<string, number>>): void;
};

export type RequestSpan = {
	startHop(name: HopName, attributes?: Readonly<Record<string, string | number>>): HopSpan;
	/** `status` is the status code of the response; 0 if the response was cut. */
	end(status: number, cut: ResponseCut | undefined): void;
};

export type RequestTracer = {
	/** Records a request with a valid head that was refused before `startRequest` was called. */
	recordRefusal?(request: {
		readonly id: string | undefined;
		readonly method: string;
		/** Code of the problem. */
		readonly code: string;
	}): void;
	/** `traceparent` is the caller's header, not validated. A key or a query is never passed. */
	startRequest(request: {
		/** Identifier from the caller; undefined where the deployment uses none. */
		readonly id: string | undefined;
		readonly method: string;
		readonly route: string;
		readonly workspace: string;
		readonly traceparent: string | undefined;
	}): RequestSpan;
};

const noopHopSpan: HopSpan = {
	traceparent: undefined,
	end() {
		// Traces nothing.
	},
};

const noopSpan: RequestSpan = {
	startHop: () => noopHopSpan,
	end() {
		// Traces nothing.
	},
};

export const noopTracer: RequestTracer = {startRequest: () => noopSpan};
