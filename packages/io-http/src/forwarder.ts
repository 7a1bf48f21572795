/**
 * Forwards one admitted request: acquires a slot, sends the request to a target, checks the
 * response and streams it to the caller. Retries only where that keeps the guarantee that a request
 * which is not idempotent runs at most once.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	combineRunStates,
	type AttemptResult,
	type RunState,
} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {
	type RouteDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {
	isResponseToRequest,
	contentLengthOf,
	endsWithConnection,
	hasBody,
	hasExpectedType,
	hasFinalStatus,
	isFramed,
	formatResponseHead,
	readResumableDownload,
	readRemainingBytes,
	minBodyBytesOf,
	type ResumableDownload,
} from './response-checks.js';
import {
	createRepeatedResponseFilter,
	type RepeatedResponseFilter,
} from './repeated-response-filter.js';
import {pumpResponse, type CallerFraming, type PumpResult} from './response-pump.js';
import {startAttempt, type AttemptResponse, type AttemptFailure} from './attempt.js';
import {createByteBudget} from './byte-budget.js';
import {type Cancellation} from './cancellation.js';
import {drainResponse} from './response-drain.js';
import {createCallerHeaders} from './forwarded-headers.js';
import {type HttpCounters} from './http-counters.js';
import {type HttpLimits} from './http-limits.js';
import {
	createProblem,
	problemFromRefusal,
	type Problem,
	type ProblemCode,
} from './problem-response.js';
import {bodyFailureProblems, type RequestBody} from './request-body.js';
import {type RequestDialect} from './request-dialect.js';
import {type AttemptPermit, type RequestPolicy, type SlotGrant} from './request-policy.js';
import {type RequestSpan} from './request-tracer.js';
import {idleConnectionLimit, type TargetConnections} from './target-connections.js';

export type ForwarderOptions = {
	readonly policy: RequestPolicy;
	readonly clock: Clock;
	readonly limits: HttpLimits;
	readonly counters: HttpCounters;
	readonly connections: TargetConnections;
	readonly dialect: RequestDialect;
	/** Whether the instance is leaving, so that its responses carry `Connection: close`. */
	readonly isLeaving: () => boolean;
};

export type ForwardedRequest = {
	/** Identifier from the caller; undefined where the dialect has none. */
	readonly id: string | undefined;
	readonly route: RouteDefinition;
	readonly service: string;
	readonly workspace: string;
	/** Digest of the caller's key; undefined without a valid key, which only open routes permit. */
	readonly keyDigest: string | undefined;
	readonly method: string;
	/** Path with query, without the key. */
	readonly path: string;
	/** Alternating names and values, without the key, framing and deadline. */
	readonly headers: readonly string[];
	readonly body: RequestBody;
	/**
	 * Returns the digest of workspace, method and path, and of the body if it is held in memory;
	 * computed on the first call.
	 */
	readonly fingerprint: () => string;
	/**
	 * Monotonic milliseconds before which the first byte must be written to a target, so that the
	 * claim of the idempotency key still holds; undefined without a claim.
	 */
	readonly startBefore: number | undefined;
	/** Monotonic milliseconds by which the head of a response must have arrived. */
	readonly deadline: number;
	/**
	 * Monotonic milliseconds by which the whole response must have arrived; undefined for no limit.
	 */
	readonly responseDeadline: number | undefined;
	readonly cancellation: Cancellation;
	readonly span: RequestSpan;
	readonly response: ServerResponse;
};

export type ForwardResult =
	/** A complete response was forwarded. */
	| {readonly kind: 'delivered'}
	/** Nothing was forwarded. */
	| {readonly kind: 'problem'; readonly problem: Problem}
	/** A part was forwarded; the caller's connection must be reset. */
	| {readonly kind: 'reset'; readonly reason: string; readonly outcome: RunState};

export type Forwarder = {
	/** Never rejects because of a target. */
	forward(request: ForwardedRequest): Promise<ForwardResult>;
};

/**
 * A failed attempt. Either another attempt follows, or the request ends with a problem of this
 * code, or with a connection reset if its response has begun.
 */
type Setback = {
	readonly kind: 'setback';
	readonly code: ProblemCode;
	/** Whether the target ran the request in this attempt. */
	readonly runState: RunState;
	/** Milliseconds. */
	readonly retryAfter?: number;
	/** Whether no further attempt may follow, whatever the method. */
	readonly isFinal?: boolean;
};

type Progress = {
	/** The grant of the attempt in progress, until it is released. */
	openGrant: SlotGrant | undefined;
	attempts: number;
	crashes: number;
	/** State of the request after all attempts so far, as `combineRunStates` computes it. */
	runState: RunState;
	readonly triedTargets: string[];
	readonly triedFailureDomains: string[];
	/**
	 * Monotonic milliseconds by which the head of the next response must have arrived; extended when
	 * a download is resumed.
	 */
	deadline: number;
	/** Whether the retry budget has already been charged for the next attempt. */
	isRetryCharged: boolean;
	/** Whether the head of a response has been sent to the caller. */
	hasResponseBegun: boolean;
	/** Bytes of the body forwarded to the caller, over all attempts. */
	forwardedBytes: number;
	/** Set while the response in progress can be resumed at another target. */
	download: ResumableDownload | undefined;
};

/**
 * Number of broken connections after which a request is not tried again, because the request itself
 * may be what crashes the targets.
 */
const maxCrashesPerRequest = 2;
const minServerErrorStatus = 500;
/** Methods whose requests are sent without `Content-Length: 0` if their body is empty. */
const bodilessMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);
const failureCodes: Readonly<Partial<Record<AttemptResult, ProblemCode>>> = {
	timeout: 'deadline-exceeded',
	'connection-failed': 'target-unreachable',
	'connection-broken': 'connection-broken',
	incomplete: 'incomplete-answer',
	cancelled: 'cancelled',
};

function setbackOf(failure: AttemptFailure): Setback {
	const runState = failure.wasWritten ? 'may-have-run' : 'not-run';
	if (failure.bodyFailure !== undefined) {
		const code = bodyFailureProblems[failure.bodyFailure];
		return {kind: 'setback', code, runState, isFinal: true};
	}

	if (failure.parserFailure === 'other') {
		// The code that callers have always got for bytes that are no response, such as a bad status
		// line. A malformed header line gets that of `checkHeaderSyntax`, whichever of both finds it.
		return {kind: 'setback', code: 'connection-broken', runState};
	}

	return {kind: 'setback', code: failureCodes[failure.result] ?? 'cancelled', runState};
}

type RefusedResponse = {readonly result: AttemptResult; readonly setback: Setback};

/**
 * The response is malformed, does not belong to this request, or was not written by the target
 * itself.
 */
const mismatchedResponse: RefusedResponse = {
	result: 'incomplete',
	setback: {kind: 'setback', code: 'incomplete-answer', runState: 'may-have-run'},
};

function resetWith(reason: string, outcome: RunState): ForwardResult {
	return {kind: 'reset', reason, outcome};
}

/**
 * Returns the headers of the request with those of one attempt added: framing, deadline, target,
 * workspace, trace and range.
 */
function createAttemptHeaders(
	request: ForwardedRequest,
	progress: Progress,
	attempt: {
		/** Milliseconds. */
		readonly timeLeft: number;
		readonly traceparent: string | undefined;
		readonly target: string;
	},
	dialect: RequestDialect,
): string[] {
	const {timeLeft, traceparent} = attempt;
	const headers: string[] = [];
	for (let index = 0; index < request.headers.length; index += 2) {
		const name = request.headers[index]!;
		if (traceparent === undefined || name.toLowerCase() !== 'traceparent') {
			headers.push(name, request.headers[index + 1]!);
		}
	}

	headers.push(dialect.deadlineHeader, String(Math.max(1, Math.floor(timeLeft))));
	if (dialect.targetHeader !== undefined) {
		headers.push(dialect.targetHeader, attempt.target);
	}

	if (dialect.workspaceHeader !== undefined && request.keyDigest !== undefined) {
		headers.push(dialect.workspaceHeader, request.workspace);
	}

	if (traceparent !== undefined) {
		headers.push('traceparent', traceparent);
	}

	const {length} = request.body;
	if (length === undefined) {
		headers.push('transfer-encoding', 'chunked');
	} else if (length > 0 || !bodilessMethods.has(request.method)) {
		headers.push('content-length', String(length));
	}

	if (progress.download !== undefined) {
		headers.push('range', `bytes=${progress.forwardedBytes}-`, 'if-range', progress.download.etag);
	}

	return headers;
}

export function createForwarder(options: ForwarderOptions): Forwarder {
	const {policy, clock, limits, counters, connections, dialect} = options;
	const holdBudget = createByteBudget(limits.maxTotalHeldResponseBytes);

	function isIdempotent(request: ForwardedRequest): boolean {
		return request.route.idempotentMethods.includes(request.method);
	}

	function isTargetUsable(target: TargetDefinition): boolean {
		if (policy.isTargetUsable !== undefined) {
			return policy.isTargetUsable(target);
		}

		const tables = policy.tables();
		return (
			tables?.findTarget(target.id)?.address === target.address &&
			tables.isDomainActive(target.failureDomain)
		);
	}

	/**
	 * Repeats the checks whose result may have changed while the request waited for its slot or its
	 * connection. `withdrawn` means that the caller's key is no longer active, `moved` that the grant
	 * or its target can no longer be used.
	 */
	function recheck(request: ForwardedRequest, grant: SlotGrant): 'ok' | 'withdrawn' | 'moved' {
		const tables = policy.tables();
		const {keyDigest, workspace} = request;
		if (keyDigest !== undefined && tables?.isActiveKeyDigest(keyDigest, workspace) !== true) {
			return 'withdrawn';
		}

		const isGrantUsable =
			!grant.signal.aborted && grant.isInForce() && isTargetUsable(grant.target);
		return isGrantUsable ? 'ok' : 'moved';
	}

	function isClaimUsable({startBefore}: ForwardedRequest): boolean {
		return startBefore === undefined || clock.monotonic() < startBefore;
	}

	function hasAttemptsLeft(request: ForwardedRequest, progress: Progress): boolean {
		return (
			progress.attempts < (request.route.attempts ?? limits.maxAttempts) &&
			progress.crashes < maxCrashesPerRequest &&
			request.body.isReplayable &&
			clock.monotonic() < progress.deadline
		);
	}

	/**
	 * Takes one retry from the budget, unless one has already been taken for the next attempt. False
	 * if none is left.
	 */
	function chargeRetry(request: ForwardedRequest, progress: Progress): boolean {
		const isCharged = progress.isRetryCharged || policy.takeRetry(request.service);
		progress.isRetryCharged = false;
		return isCharged;
	}

	/**
	 * Whether an attempt whose soft timeout has passed is given up for another one; if so, the retry
	 * budget is charged.
	 */
	function mayGiveUp(request: ForwardedRequest, progress: Progress): boolean {
		progress.isRetryCharged =
			isIdempotent(request) &&
			hasAttemptsLeft(request, progress) &&
			policy.takeRetry(request.service);
		return progress.isRetryCharged;
	}

	/**
	 * Whether another attempt may follow; if so, the retry budget is charged. A retry after a failure
	 * to connect is not charged, because that failure put no load on a target.
	 */
	function mayRetry(request: ForwardedRequest, progress: Progress, setback: Setback): boolean {
		const isSafe = isIdempotent(request) || setback.runState === 'not-run';
		if (setback.isFinal === true || !isSafe || !hasAttemptsLeft(request, progress)) {
			return false;
		}

		return setback.code === 'target-unreachable' || chargeRetry(request, progress);
	}

	/**
	 * Returns a setback if another attempt replaces a server error of the target; undefined if the
	 * response is forwarded to the caller.
	 */
	function replaceServerError(
		request: ForwardedRequest,
		progress: Progress,
		targetResponse: IncomingMessage,
	): Setback | undefined {
		const setback: Setback = {kind: 'setback', code: 'target-failed', runState: 'ran'};
		const isReplaced =
			targetResponse.statusCode! >= minServerErrorStatus &&
			!progress.hasResponseBegun &&
			mayRetry(request, progress, setback);
		progress.isRetryCharged = isReplaced;
		return isReplaced ? setback : undefined;
	}

	function beginResponse(
		request: ForwardedRequest,
		targetResponse: IncomingMessage,
		framing: CallerFraming,
	): void {
		const headers = createCallerHeaders(targetResponse.rawHeaders, dialect);
		if (typeof framing === 'number') {
			headers.push('content-length', String(framing));
		}

		request.response.useChunkedEncodingByDefault = framing !== 'none';
		if (options.isLeaving() || framing === 'none') {
			headers.push('connection', 'close');
		}

		// The target's reason phrase is dropped: it has no meaning and may contain control characters.
		request.response.writeHead(targetResponse.statusCode!, headers);
	}

	function release(
		progress: Progress,
		grant: SlotGrant,
		times: AttemptTimes,
		result: AttemptResult,
	): void {
		progress.openGrant = undefined;
		counters.increment('attempts', result);
		const {dispatchedAt, headAt, idleBefore, generation} = times;
		const now = clock.monotonic();
		const latency = (headAt ?? now) - dispatchedAt;
		grant.release({result, latency, slotTime: now - dispatchedAt, idleBefore, generation});
	}

	/**
	 * Passes on what the target says about itself, unless the response does not provably come from
	 * it.
	 */
	function recordNotice(
		grant: SlotGrant,
		targetResponse: IncomingMessage,
		refused: RefusedResponse | undefined,
	): void {
		const notice =
			refused === mismatchedResponse || refused?.result === 'misdirected'
				? undefined
				: dialect.readNotice?.(targetResponse);
		if (notice === undefined) {
			return;
		}

		grant.recordNotice?.(notice);
		if (notice.isLeaving) {
			connections.discardIdle(grant.target);
		}
	}

	/** Returns why a response is refused because of its head; undefined if the head is acceptable. */
	function checkResponseHead(
		request: ForwardedRequest,
		progress: Progress,
		targetResponse: IncomingMessage,
	): RefusedResponse | undefined {
		const isValid = checkHeaderSyntax(targetResponse.rawHeaders) === 'valid';
		if (!isValid || !hasFinalStatus(targetResponse)) {
			return mismatchedResponse;
		}

		// The response to another request says nothing about whether this request ran.
		if (!isResponseToRequest(targetResponse, dialect.requestIdHeader, request.id)) {
			return mismatchedResponse;
		}

		const shed = dialect.readShed(targetResponse);
		if (shed !== undefined) {
			const setback: Setback = {
				kind: 'setback',
				code: 'target-shed',
				runState: 'not-run',
				retryAfter: shed.retryAfter,
			};
			return {result: shed.isMisdirected ? 'misdirected' : 'shed', setback};
		}

		if (dialect.isGenuine?.(targetResponse) === false) {
			return mismatchedResponse;
		}

		const {download, forwardedBytes} = progress;
		const isExpected =
			download === undefined
				? hasExpectedType(request.route, targetResponse)
				: readRemainingBytes(targetResponse, download, forwardedBytes) !== undefined;
		const isUsable =
			isFramed(request.method, targetResponse, dialect.acceptsUnframed) && isExpected;
		return isUsable
			? undefined
			: {
					result: 'incomplete',
					setback: {kind: 'setback', code: 'incomplete-answer', runState: 'ran'},
				};
	}

	/** Undefined where the dialect or the request has no id by which responses are told apart. */
	function createFilter(
		{id}: ForwardedRequest,
		{targetResponse, earlierRequestIds}: AttemptResponse,
	): RepeatedResponseFilter | undefined {
		const {requestIdHeader} = dialect;
		return requestIdHeader === undefined || id === undefined
			? undefined
			: createRepeatedResponseFilter({
					idHeader: requestIdHeader,
					requestId: id,
					earlierRequestIds,
					head: formatResponseHead(targetResponse),
					maxHeadBytes: limits.maxResponseHeaderBytes,
				});
	}

	async function pump(
		request: ForwardedRequest,
		progress: Progress,
		grant: SlotGrant,
		attempt: AttemptResponse,
	): Promise<PumpResult> {
		const {targetResponse} = attempt;
		const {route, method, response} = request;
		const minBodyBytes = progress.hasResponseBegun
			? 0
			: minBodyBytesOf(route, method, targetResponse.statusCode!);
		const length = hasBody(method, targetResponse.statusCode!)
			? contentLengthOf(targetResponse)
			: 0;
		const isUnframed = endsWithConnection(method, targetResponse);
		// Held until its end, a body that is declared shorter than the minimum is found to be blank.
		const isTooShort = length !== undefined && length < minBodyBytes;
		const holdBytes =
			length === undefined
				? Math.max(1, minBodyBytes, isUnframed ? limits.maxHeldResponseBytes : 0)
				: Math.max(1, Math.min(length, limits.maxHeldResponseBytes), isTooShort ? minBodyBytes : 0);
		const {download, forwardedBytes} = progress;
		const result = await pumpResponse({
			clock,
			targetResponse,
			response,
			begin(framing) {
				if (!progress.hasResponseBegun) {
					beginResponse(request, targetResponse, framing);
					progress.hasResponseBegun = true;
					progress.download = isIdempotent(request)
						? readResumableDownload(method, request.headers, targetResponse)
						: undefined;
				}
			},
			holdBytes: progress.hasResponseBegun ? 0 : holdBytes,
			holdBudget,
			minBodyBytes,
			exactBytes:
				download === undefined
					? undefined
					: readRemainingBytes(targetResponse, download, forwardedBytes),
			stallTimeout: route.stallTimeout,
			timeLeft:
				request.responseDeadline === undefined
					? undefined
					: request.responseDeadline - clock.monotonic(),
			callerStallTimeout: limits.callerStallTimeout,
			signals: [request.cancellation.signal, grant.signal],
			unframed: isUnframed
				? {filter: createFilter(request, attempt), wasReset: attempt.wasReset}
				: undefined,
		});
		progress.forwardedBytes += result.forwardedBytes;
		return result;
	}

	/** Streams the body of an accepted response and releases the slot. */
	async function deliver(
		request: ForwardedRequest,
		progress: Progress,
		accepted: AcceptedAttempt,
	): Promise<ForwardResult | Setback> {
		const {grant, times, attempt} = accepted;
		const {targetResponse} = attempt;
		const {end} = await pump(request, progress, grant, attempt);
		if (end === 'complete') {
			release(
				progress,
				grant,
				times,
				targetResponse.statusCode! >= minServerErrorStatus ? 'error' : 'ok',
			);
			endResponse(request.response, targetResponse);
			return {kind: 'delivered'};
		}

		if (end === 'blank') {
			release(progress, grant, times, 'incomplete');
			return {kind: 'setback', code: 'incomplete-answer', runState: 'ran'};
		}

		// Bytes of this response may still arrive on the connection, so it must not be reused.
		attempt.destroy();
		if (end === 'cancelled') {
			release(progress, grant, times, 'cancelled');
			return {kind: 'setback', code: 'cancelled', runState: 'may-have-run'};
		}

		release(progress, grant, times, end === 'stalled' ? 'timeout' : 'incomplete');
		if (end === 'stalled') {
			connections.discardIdle(grant.target);
		}

		return {kind: 'setback', code: 'incomplete-answer', runState: 'may-have-run'};
	}

	async function tryTarget(
		request: ForwardedRequest,
		progress: Progress,
		grant: SlotGrant,
		permit: AttemptPermit,
	): Promise<ForwardResult | Setback> {
		const tables = policy.tables()!;
		const service = tables.document.services[request.service]!;
		const dispatchedAt = clock.monotonic();
		const timeLeft = Math.max(1, progress.deadline - dispatchedAt);
		const attemptSpan = request.span.startHop('attempt', {target: grant.target.id, ...grant.basis});
		progress.attempts++;
		let writtenAt: number | undefined;
		const attempt = await startAttempt({
			clock,
			connections,
			target: grant.target,
			service,
			idleLimit: grant.keepsConnection
				? idleConnectionLimit(service, tables.document.fleet.maxInstances)
				: 0,
			maxIdleTime: grant.maxIdleTime,
			requestId: request.id,
			method: request.method,
			path: request.path,
			headers: createAttemptHeaders(
				request,
				progress,
				{timeLeft, traceparent: attemptSpan.traceparent, target: grant.target.id},
				dialect,
			),
			body: request.body,
			connectTimeout: limits.connectTimeout,
			softTimeout: grant.silenceTimeout ?? timeLeft * limits.attemptTimeRatio,
			hardTimeout: timeLeft,
			mayGiveUp: () => mayGiveUp(request, progress),
			mayWrite() {
				const mayWrite = recheck(request, grant) === 'ok' && isClaimUsable(request);
				writtenAt = mayWrite ? clock.monotonic() : undefined;
				return mayWrite;
			},
			signals: [request.cancellation.signal, grant.signal],
		});

		const basis: Readonly<Record<string, number>> =
			writtenAt === undefined ? {} : {writtenAfter: Math.round(writtenAt - dispatchedAt)};
		if (attempt.kind === 'failed') {
			const {idleBefore} = attempt;
			release(progress, grant, {dispatchedAt, idleBefore}, attempt.result);
			attemptSpan.end(attempt.result, basis);
			if (attempt.result === 'connection-broken') {
				progress.crashes++;
				await permit.reportCrash(grant.target.id);
			} else {
				permit.finish(false);
			}

			return setbackOf(attempt);
		}

		const {targetResponse} = attempt;
		const generation = targetResponse.headers['x-target-generation'];
		const times: AttemptTimes = {
			dispatchedAt,
			headAt: clock.monotonic(),
			generation: typeof generation === 'string' ? generation : undefined,
		};
		const refused = checkResponseHead(request, progress, targetResponse);
		permit.finish(refused === undefined || refused.setback.runState === 'ran');
		recordNotice(grant, targetResponse, refused);
		if (refused !== undefined) {
			attempt.destroy();
			release(progress, grant, times, refused.result);
			attemptSpan.end(refused.result, basis);
			return refused.setback;
		}

		const serverErrorSetback = replaceServerError(request, progress, targetResponse);
		if (serverErrorSetback !== undefined) {
			drainResponse({clock, targetResponse, destroy: attempt.destroy});
			release(progress, grant, times, 'error');
			attemptSpan.end('error', basis);
			return serverErrorSetback;
		}

		const result = await deliver(request, progress, {grant, times, attempt});
		attemptSpan.end(result.kind === 'setback' ? result.code : result.kind, basis);
		return result;
	}

	/** Makes one attempt. Releases its slot and its permit even if an unexpected error ends it. */
	async function tryGrant(
		request: ForwardedRequest,
		progress: Progress,
		grant: SlotGrant,
		permit: AttemptPermit,
	): Promise<ForwardResult | Setback> {
		progress.openGrant = grant;
		try {
			return await tryTarget(request, progress, grant, permit);
		} finally {
			if (progress.openGrant === grant) {
				release(progress, grant, {dispatchedAt: clock.monotonic()}, 'cancelled');
				permit.finish(false);
			}
		}
	}

	async function acquireGrant(
		request: ForwardedRequest,
		progress: Progress,
	): Promise<SlotGrant | Problem> {
		const queueSpan = request.span.startHop('queue');
		for (;;) {
			const decision = await policy.acquireSlot({
				workspace: request.workspace,
				deadline: progress.deadline,
				signal: request.cancellation.signal,
				service: request.service,
				route: request.route,
				isIdempotent: isIdempotent(request),
				excludedTargets: progress.triedTargets,
				avoidedFailureDomains: progress.triedFailureDomains,
			});
			if (decision.kind === 'refused') {
				queueSpan.end('refused');
				return problemFromRefusal(decision);
			}

			const state = request.cancellation.signal.aborted ? 'cancelled' : recheck(request, decision);
			if (state === 'ok') {
				queueSpan.end('ok');
				return decision;
			}

			decision.release({result: 'cancelled', latency: 0, slotTime: 0});
			if (state !== 'moved' || clock.monotonic() >= progress.deadline) {
				queueSpan.end(state);
				return createProblem(state === 'withdrawn' ? 'unknown-key' : 'cancelled');
			}

			progress.triedTargets.push(decision.target.id);
		}
	}

	/** The result for the caller when no further attempt follows. */
	function giveUp(request: ForwardedRequest, progress: Progress, problem: Problem): ForwardResult {
		const {reason} = request.cancellation;
		if (progress.hasResponseBegun) {
			return resetWith(reason ?? problem.code, progress.runState);
		}

		const outcome = combineRunStates(progress.runState, problem.outcome);
		if (reason === 'key-withdrawn') {
			return {kind: 'problem', problem: createProblem('unknown-key', outcome)};
		}

		// Without `Retry-After`, the caller might give up, although its request has not run.
		const suggestedRetryAfter =
			outcome === 'not-run' && problem.status >= minServerErrorStatus
				? policy.suggestRetryAfter?.(request.route)
				: undefined;
		const retryAfter = problem.retryAfter ?? suggestedRetryAfter;
		return {kind: 'problem', problem: {...problem, outcome, retryAfter}};
	}

	/**
	 * Whether a response that has begun can be resumed at another target; if so, the retry budget is
	 * charged.
	 */
	function mayResume(request: ForwardedRequest, progress: Progress): boolean {
		if (progress.download === undefined || request.cancellation.reason !== undefined) {
			return false;
		}

		// The old deadline was for the first head, which has arrived. A new deadline applies to the
		// head of the response that continues the body.
		progress.deadline = clock.monotonic() + request.route.timeout;
		if (!hasAttemptsLeft(request, progress) || !chargeRetry(request, progress)) {
			return false;
		}

		counters.increment('resumes');
		return true;
	}

	/** The problem that ends the request, or undefined if another attempt may follow. */
	function findFinalProblem(
		request: ForwardedRequest,
		progress: Progress,
		setback: Setback,
	): Problem | undefined {
		const problem = createProblem(setback.code, setback.runState, setback.retryAfter);
		const isAllowed =
			request.cancellation.reason === undefined &&
			(progress.hasResponseBegun
				? mayResume(request, progress)
				: mayRetry(request, progress, setback));
		return isAllowed ? undefined : problem;
	}

	return {
		async forward(request) {
			const progress: Progress = {
				openGrant: undefined,
				attempts: 0,
				crashes: 0,
				runState: 'not-run',
				triedTargets: [],
				triedFailureDomains: [],
				deadline: request.deadline,
				isRetryCharged: false,
				hasResponseBegun: false,
				forwardedBytes: 0,
				download: undefined,
			};
			for (;;) {
				const permit = await policy.acquireAttemptPermit(request.fingerprint, progress.deadline);
				if (permit.kind === 'refused') {
					return giveUp(request, progress, problemFromRefusal(permit));
				}

				const grant = await acquireGrant(request, progress);
				if (!('kind' in grant)) {
					permit.finish(false);
					return giveUp(request, progress, grant);
				}

				const result = await tryGrant(request, progress, grant, permit);
				if (result.kind !== 'setback') {
					return result;
				}

				progress.runState = combineRunStates(progress.runState, result.runState);
				const problem = findFinalProblem(request, progress, result);
				if (problem !== undefined) {
					return giveUp(request, progress, problem);
				}

				progress.triedTargets.push(grant.target.id);
				progress.triedFailureDomains.push(grant.target.failureDomain);
			}
		},
	};
}

type AttemptTimes = {
	/** Monotonic milliseconds. */
	readonly dispatchedAt: number;
	/** Monotonic milliseconds; undefined if no head of a response has arrived. */
	readonly headAt?: number;
	/** As in `AttemptFailure`. */
	readonly idleBefore?: number;
	/** As in `AttemptOutcome`. */
	readonly generation?: string;
};

type AcceptedAttempt = {
	readonly grant: SlotGrant;
	readonly times: AttemptTimes;
	readonly attempt: AttemptResponse;
};

/** Trailers that do not reach the caller, because they would change framing, host or cookies. */
const strippedTrailers: ReadonlySet<string> = new Set([
	'connection',
	'content-length',
	'transfer-encoding',
	'trailer',
	'host',
	'set-cookie',
]);

function endResponse(response: ServerResponse, targetResponse: IncomingMessage): void {
	const trailers: Array<[string, string]> = [];
	for (let index = 0; index + 1 < targetResponse.rawTrailers.length; index += 2) {
		if (!strippedTrailers.has(targetResponse.rawTrailers[index]!.toLowerCase())) {
			trailers.push([targetResponse.rawTrailers[index]!, targetResponse.rawTrailers[index + 1]!]);
		}
	}

	if (trailers.length > 0 && response.chunkedEncoding) {
		response.addTrailers(trailers);
	}

	response.end();
}
