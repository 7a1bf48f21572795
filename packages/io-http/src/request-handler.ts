/**
 * Handles one request whose head was checked: matches the route, authenticates the caller, removes
 * the key, takes a token of the rate limit, reads the beginning of the body, claims the idempotency
 * key and forwards the request. A step that fails ends the request with a problem.
 */
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {type RouteDefinition} from '@shallotpond/configuration/document-schema';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {type LookupTables} from '@shallotpond/configuration/lookup-tables';
import {combineRunStates} from '@shallotpond/kernel/attempt-outcome';
import {containsKey, findCallerKey, removeKeyParameter} from './caller-key.js';
import {type Cancellation} from './cancellation.js';
import {createTargetHeaders} from './forwarded-headers.js';
import {type ForwardedRequest, type ForwardResult, type Forwarder} from './forwarder.js';
import {type HttpLimits} from './http-limits.js';
import {type KeyWithdrawalWatch} from './key-withdrawal-watch.js';
import {
	createProblem,
	problemFromRefusal,
	type Problem,
	type ProblemCode,
} from './problem-response.js';
import {
	bodyFailureProblems,
	readRequestBody,
	type BodyFailure,
	type RequestBody,
} from './request-body.js';
import {headerValuesOf, type RequestHead} from './request-checks.js';
import {type RequestDialect} from './request-dialect.js';
import {type GrantedIdempotencyClaim, type RequestPolicy} from './request-policy.js';
import {type RequestSpan, type RequestTracer} from './request-tracer.js';
import {type ResponseTurn} from './response-order.js';

export type RequestHandlerOptions = {
	readonly policy: RequestPolicy;
	readonly clock: Clock;
	readonly limits: HttpLimits;
	readonly tracer: RequestTracer;
	readonly forwarder: Forwarder;
	readonly keyWatch: KeyWithdrawalWatch;
	/** Whether a request with this deadline (monotonic milliseconds) may still be passed on. */
	readonly mayTake: (deadline: number) => boolean;
	readonly dialect: RequestDialect;
	readonly protocol: 'http' | 'https';
	/** Whether headers about the client, such as `X-Forwarded-For`, are trusted from this address. */
	readonly isTrustedForwarder: (address: string) => boolean;
};

export type ReceivedRequest = {
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly turn: ResponseTurn;
	readonly cancellation: Cancellation;
	/** As returned by `checkRequestHead`. */
	readonly head: RequestHead;
	/** Whether the caller waits for `100 Continue` before it sends the body. */
	readonly expectsContinue: boolean;
	/** Called with the estimated bytes of memory that the request newly holds, or releases if negative. */
	readonly onHeld: (bytes: number) => void;
	/** Called when the request is about to be passed on to targets. */
	readonly onForward: () => void;
	/** Called when the connection is to close behind the response. */
	readonly onClosing: () => void;
	/** As in `ForwardedRequest`. */
	readonly onPartialChange: (isPartial: boolean) => void;
};

export type RequestHandler = {
	/** Never rejects because of the caller or a target. */
	handleRequest(received: ReceivedRequest): Promise<ForwardResult>;
};

type AuthorizedRequest = {
	readonly head: RequestHead;
	readonly route: RouteDefinition;
	readonly key: string | undefined;
	readonly keyDigest: string | undefined;
	readonly workspace: string;
	/** Path with query, without the key. */
	readonly path: string;
};

/** Monotonic milliseconds, for the head of a response and for the whole response. */
type Deadlines = Pick<ForwardedRequest, 'deadline' | 'responseDeadline'>;

/**
 * Milliseconds after which an instance may have recovered that is not ready (has no configuration)
 * or is isolated (may have missed the withdrawal of a key).
 */
const notReadyRetryAfterMs = 300;
/** Milliseconds after which a request that a stopping instance refuses should reach another one. */
const stoppingRetryAfterMs = 100;

/**
 * Workspace name under which requests without a valid key on an open route are counted. The colon
 * keeps it distinct from the names of workspaces.
 */
export function openRouteWorkspace(route: RouteDefinition): string {
	return `open:${route.id}`;
}

function refuse(code: ProblemCode, retryAfter?: number): ForwardResult {
	return {kind: 'problem', problem: createProblem(code, 'not-run', retryAfter)};
}

/**
 * Whether the path would no longer lead to `route` if the target merged repeated slashes. Such a
 * target could serve a path that belongs to another route.
 */
function isAmbiguousPath(
	tables: LookupTables,
	head: RequestHead,
	route: RouteDefinition,
	method: string,
) {
	if (!head.decodedPath.includes('//')) {
		return false;
	}

	const path = head.decodedPath.replaceAll(/\/{2,}/g, '/');
	return tables.findRoute({host: head.host, path, method}) !== route;
}

function authorize(
	tables: LookupTables,
	request: IncomingMessage,
	head: RequestHead,
	dialect: RequestDialect,
): AuthorizedRequest | ProblemCode {
	const method = request.method!;
	const route = tables.findRoute({host: head.host, path: head.decodedPath, method});
	if (route === undefined) {
		return 'unknown-route';
	}

	if (isAmbiguousPath(tables, head, route, method)) {
		return 'invalid-target';
	}

	const found = findCallerKey(
		request.rawHeaders,
		head.query,
		route.keyQueryParameter,
		dialect.keyHeaders,
	);
	if (found.kind === 'ambiguous') {
		return 'ambiguous-key';
	}

	const key = found.kind === 'found' ? found.key : undefined;
	const digest = key === undefined ? undefined : digestKey(key);
	const keyWorkspace = digest === undefined ? undefined : tables.findWorkspaceByDigest(digest);
	if (keyWorkspace === undefined && !route.open) {
		return key === undefined ? 'missing-key' : 'unknown-key';
	}

	const query = removeKeyParameter(head.query, route.keyQueryParameter);
	const path = query === '' ? head.path : `${head.path}?${query}`;
	if (key !== undefined && containsKey(path, key)) {
		return 'misplaced-key';
	}

	return {
		head,
		route,
		key,
		keyDigest: keyWorkspace === undefined ? undefined : digest,
		workspace: keyWorkspace ?? openRouteWorkspace(route),
		path,
	};
}

function isRefusedInIsolation(route: RouteDefinition): boolean {
	return (route.onIsolation ?? (route.open ? 'serve' : 'refuse')) === 'refuse';
}

function hashRequest(authorized: AuthorizedRequest, method: string, body: RequestBody): string {
	const hash = createHash('sha256');
	hash.update(`${authorized.workspace}\0${method}\0${authorized.path}\0`);
	if (body.whole !== undefined) {
		hash.update(body.whole);
	}

	return hash.digest('hex');
}

function createFingerprint(
	authorized: AuthorizedRequest,
	method: string,
	body: RequestBody,
): () => string {
	let fingerprint: string | undefined;
	return () => {
		fingerprint ??= hashRequest(authorized, method, body);
		return fingerprint;
	};
}

/** Tells the caller to send the body, once nothing is left to be written before. */
async function requestBody({response, turn}: ReceivedRequest): Promise<void> {
	await new Promise<void>(resolve => {
		turn.onBegin(resolve);
		turn.onEnd(() => {
			resolve();
		});
	});
	if (!turn.hasEnded) {
		response.writeContinue();
	}
}

export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
	const {policy, clock, limits, forwarder, dialect} = options;

	function requestIdOf(request: IncomingMessage): string | undefined {
		const id = request.headers[dialect.requestIdHeader ?? ''];
		return typeof id === 'string' ? id : undefined;
	}

	function refuseEarly(
		request: IncomingMessage,
		code: ProblemCode,
		retryAfter?: number,
	): ForwardResult {
		options.tracer.recordRefusal?.({id: requestIdOf(request), method: request.method!, code});
		return refuse(code, retryAfter);
	}

	function deadlinesOf(request: IncomingMessage, route: RouteDefinition): Deadlines {
		const requested = request.headers[dialect.deadlineHeader];
		const isNumber = typeof requested === 'string' && /^\d{1,9}$/.test(requested);
		const timeout = isNumber ? Math.min(Number(requested), route.timeout) : route.timeout;
		const now = clock.monotonic();
		const {answerTimeout} = route;
		return {
			deadline: now + timeout,
			responseDeadline: answerTimeout === undefined ? undefined : now + answerTimeout,
		};
	}

	function targetHeadersOf(request: IncomingMessage, key: string | undefined): string[] {
		const address = request.socket.remoteAddress ?? 'unknown';
		const client = {
			address,
			protocol: options.protocol,
			host: request.headers.host!,
			isTrusted: options.isTrustedForwarder(address),
		};
		return createTargetHeaders(request.rawHeaders, key, client, dialect);
	}

	async function admit(
		received: ReceivedRequest,
		authorized: AuthorizedRequest,
		deadline: number,
		span: RequestSpan,
	): Promise<Problem | undefined> {
		const admissionSpan = span.startHop('admit');
		const {workspace, route} = authorized;
		const decision = await policy.admit({
			workspace,
			route,
			deadline,
			signal: received.cancellation.signal,
		});
		admissionSpan.end(decision.kind, decision.basis);
		return decision.kind === 'refused' ? problemFromRefusal(decision) : undefined;
	}

	async function readBody(
		received: ReceivedRequest,
		authorized: AuthorizedRequest,
	): Promise<RequestBody | BodyFailure> {
		const {head, route} = authorized;
		const isTooLarge = (head.bodyLength ?? 0) > route.largestRequestBody;
		if (received.expectsContinue && !isTooLarge) {
			await requestBody(received);
		}

		return readRequestBody(received.request, {
			clock,
			length: head.bodyLength,
			maxBufferedBytes: limits.maxBufferedRequestBytes,
			maxBytes: route.largestRequestBody,
			idleTimeout: limits.bodyIdleTimeout,
			onHeld: received.onHeld,
		});
	}

	/**
	 * Claims the idempotency key of the request. Undefined if the route lists the method as
	 * idempotent or the request has no such key.
	 */
	async function claimIdempotencyKey(
		request: IncomingMessage,
		authorized: AuthorizedRequest,
		deadline: number,
	): Promise<GrantedIdempotencyClaim | Problem | undefined> {
		const keys = new Set(headerValuesOf(request.rawHeaders, 'idempotency-key'));
		if (keys.size === 0 || authorized.route.idempotentMethods.includes(request.method!)) {
			return undefined;
		}

		if (keys.size > 1) {
			return createProblem('malformed-request');
		}

		const [key] = keys;
		const {workspace} = authorized;
		const decision = await policy.claimIdempotencyKey({workspace, key: key!, deadline});
		return decision.kind === 'refused' ? problemFromRefusal(decision) : decision;
	}

	async function forward(
		received: ReceivedRequest,
		authorized: AuthorizedRequest,
		{deadline, responseDeadline}: Deadlines,
		span: RequestSpan,
	): Promise<ForwardResult> {
		const problem = await admit(received, authorized, deadline, span);
		if (problem !== undefined) {
			return {kind: 'problem', problem};
		}

		const body = await readBody(received, authorized);
		if (typeof body === 'string') {
			return refuse(bodyFailureProblems[body]);
		}

		if (clock.monotonic() >= deadline) {
			return refuse('deadline-exceeded');
		}

		// The instance may have begun to stop while the body arrived.
		if (!options.mayTake(deadline)) {
			return refuse('stopping', stoppingRetryAfterMs);
		}

		const {request, response, cancellation} = received;
		const service = policy.chooseService?.(authorized.route) ?? authorized.route.service;
		policy.countRequest(service);
		const fingerprint = createFingerprint(authorized, request.method!, body);
		const claimed = await claimIdempotencyKey(request, authorized, deadline);
		if (claimed !== undefined && !('kind' in claimed)) {
			return {kind: 'problem', problem: claimed};
		}

		received.onForward();
		let result: ForwardResult | undefined;
		try {
			result = await forwarder.forward({
				id: requestIdOf(request),
				route: authorized.route,
				service,
				workspace: authorized.workspace,
				keyDigest: authorized.keyDigest,
				path: authorized.path,
				method: request.method!,
				headers: targetHeadersOf(request, authorized.key),
				body,
				fingerprint,
				startBefore: claimed?.startBefore,
				deadline,
				responseDeadline,
				cancellation,
				span,
				response,
				turn: received.turn,
				onQueuedChange: received.onHeld,
				onClosing: received.onClosing,
				onPartialChange: received.onPartialChange,
			});
			return result;
		} finally {
			claimed?.settle(runStateOf(result));
		}
	}

	return {
		async handleRequest(received) {
			const {request, response, cancellation, head} = received;
			const tables = policy.tables();
			if (tables === undefined) {
				return refuseEarly(request, 'not-ready', notReadyRetryAfterMs);
			}

			const authorized = authorize(tables, request, head, dialect);
			if (typeof authorized === 'string') {
				return refuseEarly(request, authorized);
			}

			const {route, keyDigest, workspace} = authorized;
			if (policy.isIsolated() && isRefusedInIsolation(route)) {
				return refuseEarly(request, 'isolated', notReadyRetryAfterMs);
			}

			const deadlines = deadlinesOf(request, route);
			if (head.bodyLength === 0 && !options.mayTake(deadlines.deadline)) {
				return refuseEarly(request, 'stopping', stoppingRetryAfterMs);
			}

			const span = options.tracer.startRequest({
				id: requestIdOf(request),
				method: request.method!,
				route: route.id,
				workspace,
				traceparent: request.headers.traceparent as string | undefined,
			});
			const stopWatching =
				keyDigest === undefined
					? undefined
					: options.keyWatch.watch({
							keyDigest,
							workspace,
							onWithdrawn() {
								cancellation.cancel('key-withdrawn');
							},
						});
			const {turn} = received;
			if (!turn.hasBegun) {
				const turnSpan = span.startHop('turn');
				turn.onBegin(() => {
					turnSpan.end('ok');
				});
			}

			turn.onEnd(cut => {
				stopWatching?.();
				span.end(cut === undefined ? response.statusCode : 0, cut);
			});
			return forward(received, authorized, deadlines, span);
		},
	};
}

/** The state to record for an idempotency key. An undefined result stands for an internal error. */
function runStateOf(result: ForwardResult | undefined) {
	if (result === undefined) {
		return 'may-have-run';
	}

	if (result.kind === 'delivered') {
		return 'ran';
	}

	return result.kind === 'problem'
		? result.problem.outcome
		: combineRunStates(result.outcome, 'may-have-run');
}
