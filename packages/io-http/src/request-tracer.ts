/**
 * The hook for traces: one span for a request and one for each hop. The interface keeps the request
 * path free of a tracing library; the default does nothing.
 */
export type HopName = 'admit' | 'queue' | 'attempt';

export type HopSpan = {
	/** Value of `traceparent` for the target; undefined where nothing is traced. */
	readonly traceparent: string | undefined;
	/** `result` is a short word such as `ok`, `refused` or an `AttemptResult`; `basis` is what decided. */
	end(result: string, basis?: Readonly<Record<string, number>>): void;
};

export type RequestSpan = {
	startHop(name: HopName, attributes?: Readonly<Record<string, string | number>>): HopSpan;
	/** `status` is that of the answer; 0 where the answer was cut. */
	end(status: number): void;
};

export type RequestTracer = {
	/** A request that was refused before a route and a workspace were known. */
	recordRefusal?(request: {
		readonly id: string | undefined;
		readonly method: string;
		/** Code of the problem. */
		readonly code: string;
	}): void;
	/** `traceparent` is the caller's header, unchecked. Never gets a key or a query. */
	startRequest(request: {
		/** As the caller named it; undefined where the deployment names no requests. */
		readonly id: string | undefined;
		readonly method: string;
		readonly route: string;
		readonly workspace: string;
		readonly traceparent: string | undefined;
	}): RequestSpan;
};

const silentHop: HopSpan = {
	traceparent: undefined,
	end() {
		// Traces nothing.
	},
};

const silentSpan: RequestSpan = {
	startHop: () => silentHop,
	end() {
		// Traces nothing.
	},
};

export const noopTracer: RequestTracer = {startRequest: () => silentSpan};
