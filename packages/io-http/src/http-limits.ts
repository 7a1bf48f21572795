/**
 * Limits of the request path. All of them are settings; the defaults suit small entry instances.
 */
export type HttpLimits = {
	/** Bytes of the request line and all header lines together. */
	readonly maxHeaderBytes: number;
	/** Number of header lines. */
	readonly maxHeaderCount: number;
	/** Characters of the request target (path and query). */
	readonly maxUrlLength: number;
	/** Milliseconds in which a caller must send a whole head. */
	readonly headersTimeout: number;
	/** Milliseconds in which a caller must send a whole request, body included. */
	readonly requestTimeout: number;
	/** Longest silence of a caller inside a request body, milliseconds. */
	readonly bodyIdleTimeout: number;
	/** Longest time in which a caller takes no byte of its answer, milliseconds. */
	readonly callerStallTimeout: number;
	/** Milliseconds after which an idle caller connection is closed. */
	readonly keepAliveTimeout: number;
	/** Milliseconds between two searches for callers that are over a timeout. */
	readonly connectionCheckInterval: number;
	/** Caller connections open at once. */
	readonly maxCallerConnections: number;
	/** Requests of one caller connection that may be in progress at once (pipelining). */
	readonly maxPipelinedRequests: number;
	/** Bytes of a request body that are held in memory, so that the request can be sent again. */
	readonly maxBufferedRequestBytes: number;
	/** Bytes of an answer that are held back, so that a cut answer can be fetched again. */
	readonly maxHeldResponseBytes: number;
	/** Bytes of the head of a target's answer. */
	readonly maxResponseHeaderBytes: number;
	/** Tries of one request, the first included. */
	readonly maxAttempts: number;
	/** Part of the time left that a try of an idempotent request gets while another may follow. */
	readonly attemptTimeRatio: number;
	/** Milliseconds for a connection to a target, TLS included. */
	readonly connectTimeout: number;
	/** Milliseconds after which an idle target connection is closed; below that of the targets. */
	readonly targetIdleTimeout: number;
	/**
	 * Milliseconds between two checks of the keys of requests in progress; 0 lets a request whose key
	 * was withdrawn after its start go on.
	 */
	readonly keyCheckInterval: number;
	/** Longest graceful stop, milliseconds. */
	readonly stopTimeout: number;
};

export const defaultHttpLimits: HttpLimits = {
	maxHeaderBytes: 16_384,
	maxHeaderCount: 100,
	maxUrlLength: 8192,
	headersTimeout: 10_000,
	requestTimeout: 300_000,
	bodyIdleTimeout: 10_000,
	callerStallTimeout: 30_000,
	keepAliveTimeout: 5000,
	connectionCheckInterval: 1000,
	maxCallerConnections: 10_000,
	maxPipelinedRequests: 16,
	maxBufferedRequestBytes: 65_536,
	maxHeldResponseBytes: 16_384,
	maxResponseHeaderBytes: 32_768,
	maxAttempts: 3,
	attemptTimeRatio: 0.5,
	connectTimeout: 1000,
	// Node's servers close idle connections after 5 s; a request must not meet that close.
	targetIdleTimeout: 4000,
	keyCheckInterval: 500,
	stopTimeout: 600_000,
};
