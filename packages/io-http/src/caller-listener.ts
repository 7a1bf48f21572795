/**
 * The listener for callers. Owns the server and its sockets, and turns the result of each request
 * into an answer, a problem or a reset.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import https from 'node:https';
import net, {type AddressInfo, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {TLSSocket} from 'node:tls';
import {type Clock} from '@shallotpond/kernel/clock';
import {createCancellation, type Cancellation} from './cancellation.js';
import {createForwarder, type ForwardResult} from './forwarder.js';
import {HttpError} from './http-error.js';
import {noopCounters, type HttpCounters} from './http-counters.js';
import {defaultHttpLimits, type HttpLimits} from './http-limits.js';
import {createKeyWatch} from './key-watch.js';
import {
	createProblem,
	formatRawProblem,
	sendProblem,
	type Problem,
	type ProblemCode,
} from './problem-response.js';
import {checkHead} from './request-checks.js';
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
	/** 0 lets the system choose. */
	readonly port: number;
	/** Default: the product's own conventions. */
	readonly dialect?: RequestDialect;
	/** Overrides of `defaultHttpLimits`. */
	readonly limits?: Partial<HttpLimits>;
	readonly counters?: HttpCounters;
	readonly tracer?: RequestTracer;
	/** Callers must use TLS where this is given. */
	readonly tls?: TlsContext;
	readonly targetTls?: TargetTls;
	/** Whether the `Forwarded` and `X-Forwarded-*` headers of this peer are kept; default: no peer. */
	readonly isTrustedForwarder?: (address: string) => boolean;
	/** Told of errors that no caller or target should be able to cause. */
	readonly onInternalError?: (error: unknown) => void;
};

export type CallerListener = {
	/** The port in use; 0 before `start`. */
	readonly port: number;
	/** Requests in progress. */
	readonly activeRequests: number;
	/** Throws `HttpError` with the code `listen-failed`. */
	start(): Promise<void>;
	/** Goes on accepting, and asks callers to leave with `Connection: close`. */
	beginLeaving(): void;
	/** Milliseconds after which an idle connection is closed; for the next time it is idle. */
	setIdleTimeout(timeout: number): void;
	/** Closes the connections on which no request is in progress. */
	closeIdle(): void;
	/**
	 * Accepts no new connections, waits until every open one has finished its requests and was idle
	 * for `keepAliveTimeout`, and closes. After `stopTimeout` it cancels the requests that are left,
	 * and 1 s later it closes all connections. May be called again.
	 */
	stop(): Promise<void>;
};

type CallerConnection = {
	readonly requests: Set<Cancellation>;
	/** Set with the last answer; whatever follows on the connection is not read as a request. */
	isRefused: boolean;
};

/* eslint-disable @typescript-eslint/naming-convention -- codes of Node */
const parserProblems: Readonly<Record<string, ProblemCode>> = {
	HPE_HEADER_OVERFLOW: 'headers-too-large',
	HPE_INVALID_TRANSFER_ENCODING: 'ambiguous-framing',
	HPE_UNEXPECTED_CONTENT_LENGTH: 'ambiguous-framing',
	HPE_INVALID_CONTENT_LENGTH: 'ambiguous-framing',
	ERR_HTTP_REQUEST_TIMEOUT: 'request-timeout',
};
/* eslint-enable @typescript-eslint/naming-convention */

/** After these, it is not certain where the next request would begin, or no next one is wanted. */
const closingProblems: ReadonlySet<string> = new Set<ProblemCode>([
	'ambiguous-framing',
	'headers-too-large',
	'internal-error',
	'invalid-host',
	'malformed-request',
	'request-timeout',
	'upgrade-refused',
	'url-too-long',
	'version-refused',
]);

/** Milliseconds in which requests that a stop cancels can tell their callers. */
const lastAnswersTime = 1000;

/** Unread bytes of a request body up to which its connection stays open after a refusal. */
const drainedBodyBytes = 65_536;

function resetSocket(socket: Socket): void {
	if (socket instanceof TLSSocket) {
		// A close without the TLS close alert tells the caller that bytes are missing.
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}

/** Whether reading the rest of a refused body would cost more than another connection. */
function owesLargeBody(request: IncomingMessage): boolean {
	if (request.complete) {
		return false;
	}

	const isChunked = request.headers['transfer-encoding'] !== undefined;
	return isChunked || Number(request.headers['content-length'] ?? 0) > drainedBodyBytes;
}

export function createCallerListener(options: CallerListenerOptions): CallerListener {
	const {policy, clock, counters = noopCounters, tls, dialect = defaultDialect} = options;
	const limits = {...defaultHttpLimits, ...options.limits};
	const connections = createTargetConnections({clock, limits, counters, tls: options.targetTls});
	const keyWatch = createKeyWatch({
		clock,
		tables: () => policy.tables(),
		interval: limits.keyCheckInterval,
	});
	const callers = new WeakMap<Duplex, CallerConnection>();
	const activeRequests = new Set<Cancellation>();
	let isLeaving = false;

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
		dialect,
		protocol: tls === undefined ? 'http' : 'https',
		isTrustedForwarder: options.isTrustedForwarder ?? (() => false),
	});

	function answerProblem(request: IncomingMessage, response: ServerResponse, problem: Problem) {
		counters.increment('refusals', problem.code);
		const mustClose = isLeaving || closingProblems.has(problem.code) || owesLargeBody(request);
		const connection = callers.get(request.socket);
		if (connection !== undefined && mustClose) {
			connection.isRefused = true;
		}

		sendProblem(response, problem, {mustClose, dialect});
	}

	function finish(request: IncomingMessage, response: ServerResponse, result: ForwardResult): void {
		if (response.destroyed) {
			// The caller is gone; there is nobody to tell.
			return;
		}

		if (result.kind === 'problem') {
			answerProblem(request, response, result.problem);
		} else if (result.kind === 'reset') {
			counters.increment('reset-answers', result.reason);
			resetSocket(request.socket);
		}
	}

	function closeConnection(socket: Duplex, reason: string): void {
		counters.increment('closed-connections', reason);
		socket.destroy();
	}

	async function serve(
		request: IncomingMessage,
		response: ServerResponse,
		expectsContinue: boolean,
	): Promise<void> {
		const connection = callers.get(request.socket)!;
		const {requests} = connection;
		if (connection.isRefused) {
			return;
		}

		// Checked before the parser goes on, so that nothing behind a refused head is run.
		const check = checkHead(request, limits);
		if (check.kind === 'bad') {
			answerProblem(request, response, createProblem(check.code));
			return;
		}

		if (requests.size >= limits.maxPipelinedRequests) {
			closeConnection(request.socket, 'pipelined-requests');
			return;
		}

		const cancellation = createCancellation();
		requests.add(cancellation);
		activeRequests.add(cancellation);
		response.once('close', () => {
			requests.delete(cancellation);
			activeRequests.delete(cancellation);
		});
		// Errors of a broken request reach the reader of its body, where there is one.
		request.on('error', () => undefined);
		response.on('error', () => undefined);
		try {
			const {head} = check;
			const received = {request, response, cancellation, head, expectsContinue};
			finish(request, response, await handler.handle(received));
		} catch (error) {
			options.onInternalError?.(error);
			const problem = createProblem('internal-error', 'may-have-run');
			finish(
				request,
				response,
				response.headersSent
					? {kind: 'reset', reason: 'internal-error', outcome: 'may-have-run'}
					: {kind: 'problem', problem},
			);
		}
	}

	function addConnection(socket: Socket): void {
		const requests = new Set<Cancellation>();
		callers.set(socket, {requests, isRefused: false});
		socket.once('close', () => {
			for (const cancellation of requests) {
				cancellation.cancel('caller-gone');
				activeRequests.delete(cancellation);
			}

			requests.clear();
		});
	}

	function refuseBroken(error: NodeJS.ErrnoException, socket: Duplex): void {
		const connection = callers.get(socket);
		if (connection?.isRefused === true) {
			// Its last answer is on the way, and the connection closes behind it.
			return;
		}

		const requests = connection?.requests.size ?? 0;
		if (error.code === 'ECONNRESET' || !socket.writable || requests > 0) {
			// An answer now could be taken for the answer to a request in progress.
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

	const serverOptions: http.ServerOptions = {
		// eslint-disable-next-line @typescript-eslint/naming-convention -- name of Node
		insecureHTTPParser: false,
		// These checks answer with a problem document instead of an empty 400.
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
	// Node would drop headers above its own count without a word; `checkHead` refuses them.
	server.maxHeadersCount = 0;
	server.maxConnections = limits.maxCallerConnections;
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
		answerProblem(request, response, createProblem('expectation-refused'));
	});
	server.on('connect', refuseConnect);
	server.on('clientError', refuseBroken);
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
					const place = `${options.address}:${options.port}`;
					reject(new HttpError('listen-failed', `cannot listen on ${place}`, {cause: error}));
				});
				server.listen(options.port, options.address, () => {
					server.removeAllListeners('error');
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
		closeIdle() {
			server.closeIdleConnections();
		},
		async stop() {
			isLeaving = true;
			await new Promise<void>(resolve => {
				let cancelTimeout = clock.after(limits.stopTimeout, () => {
					for (const cancellation of activeRequests) {
						cancellation.cancel('stopped');
					}

					cancelTimeout = clock.after(lastAnswersTime, () => {
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
			keyWatch.stop();
			connections.close();
		},
	};
}
