/**
 * Limits of the request path. All of them are settings; the defaults suit small entry instances.
 */
export type HttpLimits = {
	/** Bytes of the request line and all header lines together. */
	readonly headerBytes: number;
	/** Number of header lines. */
	readonly headerCount: number;
	/** Characters of the request target (path and query). */
	readonly urlLength: number;
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
	readonly callerConnections: number;
	/** Requests of one caller connection that may be in progress at once (pipelining). */
	readonly pipelinedRequests: number;
	/** Bytes of a request body that are held in memory, so that the request can be sent again. */
	readonly bufferedRequestBytes: number;
	/** Bytes of an answer that are held back, so that a cut answer can be fetched again. */
	readonly heldAnswerBytes: number;
	/** Bytes of the head of a target's answer. */
	readonly answerHeaderBytes: number;
	/** Tries of one request, the first included. */
	readonly attempts: number;
	/** Part of the time left that a try of an idempotent request gets while another may follow. */
	readonly attemptShare: number;
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
	headerBytes: 16_384,
	headerCount: 100,
	urlLength: 8192,
	headersTimeout: 10_000,
	requestTimeout: 300_000,
	bodyIdleTimeout: 10_000,
	callerStallTimeout: 30_000,
	keepAliveTimeout: 5000,
	connectionCheckInterval: 1000,
	callerConnections: 10_000,
	pipelinedRequests: 16,
	bufferedRequestBytes: 65_536,
	heldAnswerBytes: 16_384,
	answerHeaderBytes: 32_768,
	attempts: 3,
	attemptShare: 0.5,
	connectTimeout: 1000,
	// Node's servers close idle connections after 5 s; a request must not meet that close.
	targetIdleTimeout: 4000,
	keyCheckInterval: 500,
	stopTimeout: 600_000,
};
