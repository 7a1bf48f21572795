/**
 * The HTTP listener for callers. Owns the server and its sockets, and ends each request with a
 * response from a target, a problem document or a connection reset.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import https from 'node:https';
import net, {type AddressInfo, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {TLSSocket} from 'node:tls';
import {type Clock} from '@shallotpond/kernel/clock';
import {
	connectionCost,
	createCallerConnection,
	ordinaryCost,
	type CallerConnection,
	type OpenRequest,
} from './caller-connection.js';
import {createCancellation, type Cancellation} from './cancellation.js';
import {createForwarder, type ForwardResult} from './forwarder.js';
import {HttpError} from './http-error.js';
import {noopCounters, type HttpCounters} from './http-counters.js';
import {defaultHttpLimits, type HttpLimits} from './http-limits.js';
import {createKeyWithdrawalWatch} from './key-withdrawal-watch.js';
import {createMemoryAccount} from './memory-account.js';
import {createParseSchedule} from './parse-schedule.js';
import {
	createProblem,
	formatRawProblem,
	sendProblem,
	type Problem,
	type ProblemCode,
} from './problem-response.js';
import {checkRequestHead} from './request-checks.js';
import {defaultDialect, type RequestDialect} from './request-dialect.js';
import {createRequestHandler} from './request-handler.js';
import {type RequestPolicy} from './request-policy.js';
import {noopTracer, type RequestTracer} from './request-tracer.js';
import {createTargetConnections, type TargetTls} from './target-connections.js';
import {type TlsContext} from './tls-context.js';

export type CallerListenerOptions = {
	readonly policy: RequestPolicy;
	readonly clock: Clock;
	/** IP address to listen on. */
	readonly address: string;
	/** 0 lets the operating system choose. */
	readonly port: number;
	/** Default: `defaultDialect`. */
	readonly dialect?: RequestDialect;
	/** Overrides of `defaultHttpLimits`. */
	readonly limits?: Partial<HttpLimits>;
	readonly counters?: HttpCounters;
	readonly tracer?: RequestTracer;
	/** If set, callers must use TLS. */
	readonly tls?: TlsContext;
	readonly targetTls?: TargetTls;
	/**
	 * Whether headers about the client, such as `X-Forwarded-For`, are trusted from this address;
	 * default: never.
	 */
	readonly isTrustedForwarder?: (address: string) => boolean;
	/** Called when the memory for callers has become low, and when it is no longer low. */
	readonly onMemoryChange?: (state: CallerMemory) => void;
	/** Called with errors that no caller or target should be able to cause. */
	readonly onInternalError?: (error: unknown) => void;
};

export type CallerListener = {
	/** The port in use; 0 before `start`. */
	readonly port: number;
	/** Requests in progress. */
	readonly activeRequests: number;
	/** Throws `HttpError` with the code `listen-failed`. */
	start(): Promise<void>;
	/** Sends `Connection: close` with each response from now on; still accepts connections. */
	beginLeaving(): void;
	/** Sets the milliseconds after which a connection that becomes idle from now on is closed. */
	setIdleTimeout(timeout: number): void;
	/**
	 * From now on, refuses the requests whose deadline is later than `deadline` (monotonic
	 * milliseconds), because the instance may end before them. Those that were passed on continue.
	 */
	refuseBeyond(deadline: number): void;
	/**
	 * Closes the connections that have served a request and on which nothing is in progress, also no
	 * response that is still being written.
	 */
	closeIdle(): void;
	/** Accepts no new connections; the open ones continue. */
	stopListening(): void;
	/**
	 * Cancels the requests in progress, and resets the connections whose responses are not written
	 * after `abandonTimeoutMs`, so that no caller takes a part of a response for the whole.
	 */
	abandonRequests(): Promise<void>;
	/**
	 * Accepts no new connections and waits until the open ones have closed: after a response with
	 * `Connection: close`, or after the idle timeout. After `stopTimeout` it cancels the remaining
	 * requests, and 1 s later it closes all connections. May be called again.
	 */
	stop(): Promise<void>;
};

export type CallerMemory = {
	readonly isLow: boolean;
	/** Estimated bytes that callers make the process hold. */
	readonly heldBytes: number;
	/** Open connections of callers. */
	readonly connections: number;
};

/** A request, its response and their place on the connection. */
type Exchange = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly openRequest: OpenRequest;
};

/* eslint-disable @typescript-eslint/naming-convention -- error codes of Node */
const parserProblems: Readonly<Record<string, ProblemCode>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	HPE_INVALID_TRANSFER_ENCODING: 'ambiguous-framing',
	HPE_UNEXPECTED_CONTENT_LENGTH: 'ambiguous-framing',
	HPE_INVALID_CONTENT_LENGTH: 'ambiguous-framing',
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};
/* eslint-enable @typescript-eslint/naming-convention */

/**
 * Problems that close the connection, because it is uncertain where the next request would begin or
 * because no further request is wanted.
 */
const closingProblems: ReadonlySet<string> = new Set<ProblemCode>([
	'ambiguous-framing',
	'headers-too-large',
	'internal-error',
	'invalid-host',
	'malformed-request',
	'overloaded',
	'request-timeout',
	'upgrade-refused',
	'url-too-long',
	'version-refused',
]);

/** Milliseconds that requests get to send their responses after `stop` has cancelled them. */
const finalResponseTimeoutMs = 1000;
/** The same for `abandonRequests`, which is called when the process is about to end. */
const abandonTimeoutMs = 150;
const abandonCheckIntervalMs = 10;

/** Milliseconds between two counts of the bytes of responses that callers have not read. */
const unreadCountIntervalMs = 250;
/** Milliseconds after which a request that is refused for want of memory may be served. */
const overloadedRetryAfterMs = 300;
/** Fraction of the memory for callers that the objects of their connections may take. */
const maxConnectionFraction = 0.4;
/** Milliseconds that a connection keeps its place in any case when all places are taken. */
const minPlaceTimeMs = 1000;

/** Declared bytes of a refused, unread body up to which its connection stays open. */
const maxDrainedBodyBytes = 65_536;

/**
 * Closes a connection within a response, by a reset, so that no caller takes the part for the whole.
 * A reset discards what the operating system has not sent yet, so there is none behind an earlier
 * response, unless only the end of the connection marks the end of this one.
 */
function cutConnection(socket: Socket, {responses, servedBytes}: CallerConnection): void {
	const isUnframed = [...responses].some(
		({headersSent, useChunkedEncodingByDefault}) => headersSent && !useChunkedEncodingByDefault,
	);
	const mustReset = isUnframed || servedBytes === undefined;
	if (mustReset && !(socket instanceof TLSSocket)) {
		socket.resetAndDestroy();
	} else {
		// A close without the TLS close alert tells the caller that bytes are missing, too.
		socket.destroy();
	}
}

/**
 * Whether reading the rest of a refused body may cost more than a new connection. True for each
 * unread chunked body, because its length is unknown.
 */
function hasLargeUnreadBody(request: IncomingMessage): boolean {
	if (request.complete) {
		return false;
	}

	const isChunked = request.headers['transfer-encoding'] !== undefined;
	return isChunked || Number(request.headers['content-length'] ?? 0) > maxDrainedBodyBytes;
}

export function createCallerListener(options: CallerListenerOptions): CallerListener {
	const {policy, clock, counters = noopCounters, tls, dialect = defaultDialect} = options;
	const limits = {...defaultHttpLimits, ...options.limits};
	const keyWatch = createKeyWithdrawalWatch({
		clock,
		tables: () => policy.tables(),
		interval: limits.keyCheckInterval,
	});
	const callerConnections = new Map<Duplex, CallerConnection>();
	const activeRequests = new Set<Cancellation>();
	const account = createMemoryAccount({
		limit: limits.maxHeldBytes,
		ordinaryBytes: ordinaryCost,
		idleBytes: connectionCost,
		onLowChange(isLow) {
			if (isLow) {
				counters.increment('memory-shortages');
			}

			const {held: heldBytes} = account;
			options.onMemoryChange?.({isLow, heldBytes, connections: callerConnections.size});
		},
	});
	const parseSchedule = createParseSchedule({
		clock,
		afterPoll: setImmediate,
		onDelay() {
			counters.increment('parsing-delays');
		},
	});
	const connections = createTargetConnections({
		clock,
		limits,
		counters,
		parseSchedule,
		tls: options.targetTls,
	});
	const maxConnections = Math.max(
		1,
		Math.min(
			limits.maxCallerConnections,
			Math.floor((limits.maxHeldBytes * maxConnectionFraction) / connectionCost),
		),
	);
	let stopCountingUnread: (() => void) | undefined;
	let isLeaving = false;
	let latestDeadline = Number.POSITIVE_INFINITY;

	const handler = createRequestHandler({
		policy,
		clock,
		limits,
		tracer: options.tracer ?? noopTracer,
		forwarder: createForwarder({
			policy,
			clock,
			limits,
			counters,
			connections,
			dialect,
			isLeaving: () => isLeaving,
		}),
		keyWatch,
		mayTake: deadline => deadline <= latestDeadline,
		dialect,
		protocol: tls === undefined ? 'http' : 'https',
		isTrustedForwarder: options.isTrustedForwarder ?? (() => false),
	});

	function respondWithProblem({request, response, openRequest}: Exchange, problem: Problem): void {
		counters.increment('refusals', problem.code);
		const mustClose =
			(isLeaving && openRequest.turn.isLast) ||
			closingProblems.has(problem.code) ||
			hasLargeUnreadBody(request);
		if (mustClose) {
			openRequest.setClosing({isBodyWanted: false});
		}

		sendProblem(response, problem, {mustClose, dialect});
	}

	function finish(exchange: Exchange, result: ForwardResult): void {
		if (exchange.response.destroyed) {
			// The caller has disconnected.
			return;
		}

		if (result.kind === 'problem') {
			respondWithProblem(exchange, result.problem);
		} else if (result.kind === 'reset') {
			const {socket} = exchange.request;
			const connection = callerConnections.get(socket);
			counters.increment('reset-answers', result.reason);
			if (connection !== undefined) {
				connection.closeReason = result.reason;
				cutConnection(socket, connection);
			}
		}
	}

	function closeConnection(socket: Duplex, reason: string): void {
		counters.increment('closed-connections', reason);
		const connection = callerConnections.get(socket);
		if (connection !== undefined) {
			connection.closeReason = reason;
		}

		socket.destroy();
	}

	async function serve(
		request: IncomingMessage,
		response: ServerResponse,
		expectsContinue: boolean,
	): Promise<void> {
		const connection = callerConnections.get(request.socket);
		if (connection === undefined || connection.isClosing) {
			return;
		}

		const {requests} = connection;
		const openRequest = connection.begin(request, response);
		const exchange = {request, response, openRequest};
		if (request.socket.destroyed) {
			return;
		}

		// Checked before the parser continues, so that no request behind a refused head is run.
		const check = checkRequestHead(request, limits);
		if (check.kind === 'bad') {
			respondWithProblem(exchange, createProblem(check.code));
			return;
		}

		if (account.isExhausted) {
			const problem = createProblem('overloaded', 'not-run', overloadedRetryAfterMs);
			respondWithProblem(exchange, problem);
			return;
		}

		const cancellation = createCancellation();
		requests.add(cancellation);
		activeRequests.add(cancellation);
		openRequest.turn.onEnd(() => {
			requests.delete(cancellation);
			activeRequests.delete(cancellation);
		});
		// The reader of the body, if any, handles these errors; unhandled, they would end the process.
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		try {
			const {head} = check;
			const received = {
				request,
				response,
				turn: openRequest.turn,
				cancellation,
				head,
				expectsContinue,
				onHeld: openRequest.hold,
				onForward: openRequest.setForwarded,
				onClosing() {
					openRequest.setClosing({isBodyWanted: true});
				},
				onPartialChange: openRequest.setPartial,
			};
			finish(exchange, await handler.handleRequest(received));
		} catch (error) {
			options.onInternalError?.(error);
			const problem = createProblem('internal-error', 'may-have-run');
			finish(
				exchange,
				response.headersSent
					? {kind: 'reset', reason: 'internal-error', outcome: 'may-have-run'}
					: {kind: 'problem', problem},
			);
		}
	}

	/**
	 * How much is lost with a connection, the least first: one that never had a request, one without
	 * a request in progress, one with requests that were not passed on. Undefined if more is lost.
	 */
	function lossRankOf({requests, servedBytes, isBusy}: CallerConnection): number | undefined {
		if (requests.size === 0) {
			return servedBytes === undefined ? 0 : 1;
		}

		return isBusy ? undefined : 2;
	}

	/** Closes a connection that can be spared, the oldest of its rank, so that others find a place. */
	function makeRoom(): void {
		const openedBefore = clock.monotonic() - minPlaceTimeMs;
		let spared: Duplex | undefined;
		let sparedRank = Number.POSITIVE_INFINITY;
		for (const [socket, connection] of callerConnections) {
			// The connections are in the order in which they were opened.
			if (connection.openedAt > openedBefore || sparedRank === 0) {
				break;
			}

			const rank = lossRankOf(connection) ?? Number.POSITIVE_INFINITY;
			if (rank < sparedRank) {
				spared = socket;
				sparedRank = rank;
			}
		}

		if (spared !== undefined) {
			closeConnection(spared, 'no-place');
		}
	}

	function addConnection(socket: Socket): void {
		const connection = createCallerConnection({
			socket,
			account,
			parseSchedule,
			clock,
			openedAt: clock.monotonic(),
			isLeaving: () => isLeaving,
			maxPipelinedRequests: limits.maxPipelinedRequests,
			evict() {
				closeConnection(socket, 'memory');
			},
		});
		const {requests} = connection;
		callerConnections.set(socket, connection);
		socket.once('close', () => {
			callerConnections.delete(socket);
			for (const cancellation of requests) {
				cancellation.cancel('caller-gone');
			}

			connection.close();
		});
		if (callerConnections.size >= maxConnections) {
			makeRoom();
		}
	}

	function refuseMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
		const connection = callerConnections.get(socket);
		if (connection?.isClosing === true) {
			// The last response is being sent, and the connection closes after it.
			return;
		}

		if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && connection?.isReadingAhead === true) {
			// The rest of the request has arrived and waits for a response to be read.
			return;
		}

		const isBroken = error.code === 'ECONNRESET' || !socket.writable;
		const isInUse = connection !== undefined && connection.requests.size > 0;
		if (!isBroken && isInUse && connection.closeBehindLatest()) {
			return;
		}

		if (isBroken || isInUse) {
			// A response now could be taken for the response to a request in progress.
			closeConnection(socket, error.code ?? 'broken');
			return;
		}

		const problem = createProblem(parserProblems[error.code ?? ''] ?? 'malformed-request');
		counters.increment('refusals', problem.code);
		socket.end(formatRawProblem(problem), () => {
			socket.destroy();
		});
	}

	function refuseConnect(_request: IncomingMessage, socket: Duplex): void {
		counters.increment('refusals', 'method-refused');
		socket.on('error', () => undefined);
		socket.end(formatRawProblem(createProblem('method-refused')));
	}

	function countUnread(): void {
		const now = clock.monotonic();
		for (const [socket, connection] of callerConnections) {
			if (now - connection.countUnread(now) > limits.callerStallTimeout) {
				closeConnection(socket, 'unread');
			}
		}
	}

	const serverOptions: http.ServerOptions = {
		// eslint-disable-next-line @typescript-eslint/naming-convention -- option name of Node
		insecureHTTPParser: false,
		// `checkRequestHead` refuses a missing host with a problem document, not with Node's empty 400.
		requireHostHeader: false,
		maxHeaderSize: limits.maxHeaderBytes,
		headersTimeout: limits.headersTimeout,
		requestTimeout: limits.requestTimeout,
		keepAliveTimeout: limits.keepAliveTimeout,
		connectionsCheckingInterval: limits.connectionCheckInterval,
		noDelay: true,
	};
	const server =
		tls === undefined
			? http.createServer(serverOptions)
			: https.createServer({
					...serverOptions,
					...tls.current,
					handshakeTimeout: limits.headersTimeout,
				});
	// Node would silently drop headers above its maximum number; `checkRequestHead` refuses them.
	server.maxHeadersCount = 0;
	server.maxConnections = maxConnections;
	if (server instanceof https.Server) {
		tls?.onReload(current => {
			server.setSecureContext(current);
		});
	}

	server.on(tls === undefined ? 'connection' : 'secureConnection', addConnection);
	server.on('request', (request, response) => {
		void serve(request, response, false);
	});
	server.on('checkContinue', (request, response) => {
		void serve(request, response, true);
	});
	server.on('checkExpectation', (request, response) => {
		const openRequest = callerConnections.get(request.socket)?.begin(request, response);
		if (openRequest === undefined) {
			return;
		}

		const check = checkRequestHead(request, limits);
		const code = check.kind === 'bad' ? check.code : 'expectation-refused';
		respondWithProblem({request, response, openRequest}, createProblem(code));
	});
	server.on('connect', refuseConnect);
	server.on('clientError', refuseMalformed);
	server.on('drop', () => {
		counters.increment('closed-connections', 'too-many');
	});

	return {
		get port() {
			return (server.address() as AddressInfo | undefined)?.port ?? 0;
		},
		get activeRequests() {
			return activeRequests.size;
		},
		async start() {
			await new Promise<void>((resolve, reject) => {
				server.once('error', error => {
					const endpoint = `${options.address}:${options.port}`;
					reject(new HttpError('listen-failed', `cannot listen on ${endpoint}`, {cause: error}));
				});
				server.listen(options.port, options.address, () => {
					server.removeAllListeners('error');
					stopCountingUnread = clock.every(unreadCountIntervalMs, countUnread);
					resolve();
				});
			});
		},
		beginLeaving() {
			isLeaving = true;
		},
		setIdleTimeout(timeout) {
			server.keepAliveTimeout = timeout;
		},
		refuseBeyond(deadline) {
			latestDeadline = deadline;
		},
		closeIdle() {
			// `http.Server#closeIdleConnections` would also drop a response that has ended but is not
			// written yet.
			for (const [socket, {requests, servedBytes}] of callerConnections) {
				const {bytesRead} = socket as Socket;
				if (requests.size === 0 && servedBytes === bytesRead) {
					socket.destroy();
				}
			}
		},
		stopListening() {
			net.Server.prototype.close.call(server);
		},
		async abandonRequests() {
			for (const cancellation of activeRequests) {
				cancellation.cancel('stopped');
			}

			const end = clock.monotonic() + abandonTimeoutMs;
			while (activeRequests.size > 0 && clock.monotonic() < end) {
				await new Promise<void>(resolve => {
					clock.after(abandonCheckIntervalMs, resolve);
				});
			}

			for (const [socket, connection] of callerConnections) {
				if (connection.requests.size > 0) {
					connection.closeReason = 'stopped';
					cutConnection(socket as Socket, connection);
				}
			}
		},
		async stop() {
			isLeaving = true;
			await new Promise<void>(resolve => {
				let cancelTimeout = clock.after(limits.stopTimeout, () => {
					for (const cancellation of activeRequests) {
						cancellation.cancel('stopped');
					}

					cancelTimeout = clock.after(finalResponseTimeoutMs, () => {
						server.closeAllConnections();
					});
				});
				// `http.Server#close` also closes idle connections, on which a request may be under way.
				net.Server.prototype.close.call(server, () => {
					cancelTimeout();
					resolve();
				});
			});
			server.close();
			stopCountingUnread?.();
			keyWatch.stop();
			connections.close();
		},
	};
}
