/**
 * Limits of the request path. The defaults suit small entry instances;
 * `CallerListenerOptions.limits` overrides them.
 */
export type HttpLimits = {
	/** Maximum bytes of the request line and all header lines together. */
	readonly maxHeaderBytes: number;
	/** Maximum number of header lines. */
	readonly maxHeaderCount: number;
	/** Maximum characters of the request target (path and query). */
	readonly maxUrlLength: number;
	/** Milliseconds in which a caller must send the whole head. */
	readonly headersTimeout: number;
	/** Milliseconds in which a caller must send the whole request, body included. */
	readonly requestTimeout: number;
	/** Maximum silence of a caller within a request body, milliseconds. */
	readonly bodyIdleTimeout: number;
	/** Maximum time in which a caller reads no byte of its response, milliseconds. */
	readonly callerStallTimeout: number;
	/** Milliseconds after which an idle caller connection is closed. */
	readonly keepAliveTimeout: number;
	/** Milliseconds between two checks for callers that exceed a timeout. */
	readonly connectionCheckInterval: number;
	/** Maximum open caller connections. */
	readonly maxCallerConnections: number;
	/**
	 * Requests in progress on one caller connection from which further ones are not parsed until a
	 * response has been read (pipelining).
	 */
	readonly maxPipelinedRequests: number;
	/**
	 * Maximum estimated bytes of memory that all callers together make the process hold, with their
	 * connections, requests and unread responses; see `memory-account`.
	 */
	readonly maxHeldBytes: number;
	/** Maximum bytes of a request body held in memory, so that the request can be sent again. */
	readonly maxBufferedRequestBytes: number;
	/**
	 * Bytes of a response body that are held back, so that a response that is cut within them can be
	 * replaced by another attempt. Of a chunked body, only `smallestBody` of the route, but at least
	 * 1 byte, is held back.
	 */
	readonly maxHeldResponseBytes: number;
	/**
	 * Maximum bytes that are held back of all responses together. Beyond it, responses are forwarded
	 * as they arrive, so that targets that send large or endless bodies do not exhaust the memory.
	 */
	readonly maxTotalHeldResponseBytes: number;
	/** Maximum bytes of the head of a target's response. */
	readonly maxResponseHeaderBytes: number;
	/** Maximum attempts for one request, the first included. */
	readonly maxAttempts: number;
	/**
	 * Fraction of the remaining time that an attempt of an idempotent request gets while another
	 * attempt may follow. A slot grant with a `silenceTimeout` sets that time instead.
	 */
	readonly attemptTimeRatio: number;
	/** Milliseconds to establish a connection to a target, TLS included. */
	readonly connectTimeout: number;
	/**
	 * Milliseconds after which an idle target connection is closed; must be shorter than the idle
	 * timeout of the targets.
	 */
	readonly targetIdleTimeout: number;
	/**
	 * Milliseconds between two checks of the keys of requests in progress; with 0, a request whose
	 * key is withdrawn after its start continues.
	 */
	readonly keyCheckInterval: number;
	/** Milliseconds after which a graceful stop cancels the remaining requests. */
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
	maxHeldBytes: 268_435_456,
	maxBufferedRequestBytes: 65_536,
	maxHeldResponseBytes: 16_384,
	maxTotalHeldResponseBytes: 67_108_864,
	maxResponseHeaderBytes: 32_768,
	maxAttempts: 3,
	attemptTimeRatio: 0.5,
	connectTimeout: 1000,
	// Node's servers close idle connections after 5 s; no request may be sent on one that is closing.
	targetIdleTimeout: 4000,
	keyCheckInterval: 500,
	stopTimeout: 600_000,
};
