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
	isEventStream,
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
import {pumpResponse, type CallerFraming, type PumpEnd} from './response-pump.js';
import {type ResponseTurn} from './response-order.js';
import {startAttempt, type AttemptResponse, type AttemptFailure} from './attempt.js';
import {createLightweightAbortController, type AbortSignalLike} from './abort-signal.js';
import {raceAttempts, type RaceEntry} from './attempt-race.js';
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
import {
	type AttemptPermit,
	type HedgeEnd,
	type RequestPolicy,
	type SlotGrant,
	type SlotRequest,
} from './request-policy.js';
import {type HopSpan, type RequestSpan} from './request-tracer.js';
import {checkTarget} from './target-check.js';
import {
	idleConnectionLimit,
	parseTargetAddress,
	type TargetConnections,
} from './target-connections.js';

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
	readonly turn: ResponseTurn;
	/** Called with the bytes of a response that begin to wait for its turn, or cease to if negative. */
	readonly onQueuedChange: (bytes: number) => void;
	/** Called when the connection is to close behind the response. */
	readonly onClosing: () => void;
	/**
	 * Called when a part of the response is written, while the rest may still be cut and the
	 * connection with it, and when the rest has arrived.
	 */
	readonly onPartialChange: (isPartial: boolean) => void;
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
	attempts: number;
	/** Attempts for which no connection was established, so that nothing was sent. */
	unreachedTargets: number;
	/** Broken connections after which the target no longer ran. */
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
 * Number of crashed targets after which a request is not tried again, because the request itself may
 * be what crashes them.
 */
const maxCrashesPerRequest = 2;
/** Milliseconds in which a target that broke a connection must accept another one. */
const checkTimeoutMs = 500;
/**
 * Targets without a connection that do not count as attempts of a request. Each may take the whole
 * connect timeout.
 */
const maxUncountedTargets = 2;
/**
 * Fraction of the memory for callers that responses may take which wait for their turn or for a slow
 * caller, so that what others need is left.
 */
const maxQueuedFraction = 0.25;
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

/** The results of responses that were not delivered whole. */
const pumpFailures: Readonly<Record<Exclude<PumpEnd, 'complete'>, RefusedResponse>> = {
	blank: {
		result: 'incomplete',
		setback: {kind: 'setback', code: 'incomplete-answer', runState: 'ran'},
	},
	cut: mismatchedResponse,
	overdue: mismatchedResponse,
	stalled: {result: 'timeout', setback: mismatchedResponse.setback},
	expired: {
		result: 'cancelled',
		setback: {
			kind: 'setback',
			code: 'deadline-exceeded',
			runState: 'may-have-run',
			isFinal: true,
		},
	},
	cancelled: {
		result: 'cancelled',
		setback: {kind: 'setback', code: 'cancelled', runState: 'may-have-run'},
	},
};

/** The setback of a server error that is not forwarded while another attempt is in progress. */
function serverErrorSetbackOf({statusCode = 0}: IncomingMessage): Setback | undefined {
	return statusCode >= minServerErrorStatus
		? {kind: 'setback', code: 'target-failed', runState: 'ran'}
		: undefined;
}

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
	const maxQueuedBytes = Math.floor(limits.maxHeldBytes * maxQueuedFraction);
	const queueBudget = createByteBudget(maxQueuedBytes);

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
		const {attempts, unreachedTargets} = progress;
		const countedAttempts = attempts - Math.min(unreachedTargets, maxUncountedTargets);
		return (
			countedAttempts < (request.route.attempts ?? limits.maxAttempts) &&
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
		const setback = serverErrorSetbackOf(targetResponse);
		const isReplaced =
			setback !== undefined && !progress.hasResponseBegun && mayRetry(request, progress, setback);
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
		if ((options.isLeaving() && request.turn.isLast) || framing === 'none') {
			headers.push('connection', 'close');
			request.onClosing();
		}

		// The target's reason phrase is dropped: it has no meaning and may contain control characters.
		request.response.writeHead(targetResponse.statusCode!, headers);
	}

	function release(leg: Leg, times: AttemptTimes, result: AttemptResult): void {
		leg.isReleased = true;
		counters.increment('attempts', result);
		const {dispatchedAt, headAt, idleBefore, generation} = times;
		const now = clock.monotonic();
		const latency = (headAt ?? now) - dispatchedAt;
		const outcome = {result, latency, slotTime: now - dispatchedAt, idleBefore, generation};
		leg.grant.release(leg.race?.state === 'lost' ? {...outcome, hasLostRace: true} : outcome);
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
		{leg, attempt}: AcceptedAttempt,
		onReceived: () => void,
	): Promise<PumpEnd> {
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
		// A body that does not fit is sent at the pace of its caller.
		const maxAheadBytes = length ?? limits.maxHeldResponseBytes;
		const {download, forwardedBytes} = progress;
		const result = await pumpResponse({
			clock,
			targetResponse,
			response,
			turn: request.turn,
			begin(framing, isPartial) {
				if (!progress.hasResponseBegun) {
					request.onPartialChange(isPartial);
					beginResponse(request, targetResponse, framing);
					progress.hasResponseBegun = true;
					progress.download = isIdempotent(request)
						? readResumableDownload(method, request.headers, targetResponse)
						: undefined;
				}
			},
			holdBytes: progress.hasResponseBegun ? 0 : holdBytes,
			holdBytesBeforeOthers:
				progress.hasResponseBegun || isEventStream(targetResponse)
					? holdBytes
					: Math.max(holdBytes, limits.maxHeldResponseBytes),
			holdBudget,
			queueBudget,
			maxAheadBytes: maxAheadBytes > maxQueuedBytes ? 0 : maxAheadBytes,
			onQueuedChange: request.onQueuedChange,
			onReceived,
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
			signals: [request.cancellation.signal, leg.grant.signal],
			unframed: isUnframed
				? {filter: createFilter(request, attempt), wasReset: attempt.wasReset}
				: undefined,
		});
		progress.forwardedBytes += result.forwardedBytes;
		return result.end;
	}

	/**
	 * Streams the body of an accepted response. Releases the slot when the body has arrived, which may
	 * be before the caller gets it.
	 */
	async function deliver(
		request: ForwardedRequest,
		progress: Progress,
		accepted: AcceptedAttempt,
	): Promise<ForwardResult | Setback> {
		const {leg, times, attempt, span, basis} = accepted;
		const {targetResponse} = attempt;
		const end = await pump(request, progress, accepted, () => {
			request.onPartialChange(false);
			release(leg, times, targetResponse.statusCode! >= minServerErrorStatus ? 'error' : 'ok');
			span.end('delivered', basis);
		});
		if (end === 'complete') {
			endResponse(request.response, targetResponse);
			return {kind: 'delivered'};
		}

		if (leg.isReleased) {
			// The response has arrived, but its connection closed before its turn.
			return {kind: 'setback', code: 'cancelled', runState: 'ran', isFinal: true};
		}

		if (end !== 'blank') {
			// Bytes of this response may still arrive on the connection, so it must not be reused.
			attempt.destroy();
		}

		const {result, setback} = pumpFailures[end];
		release(leg, times, result);
		if (end === 'stalled') {
			connections.discardIdle(leg.grant.target);
		}

		span.end(setback.code, basis);
		return setback;
	}

	/** Whether a target that broke the connection of an attempt no longer runs. */
	async function hasCrashed(request: ForwardedRequest, target: TargetDefinition): Promise<boolean> {
		const span = request.span.startHop('check', {target: target.id});
		const result = await checkTarget({
			clock,
			address: parseTargetAddress(target.address),
			connectTimeout: checkTimeoutMs,
		});
		span.end(result);
		counters.increment('target-checks', result);
		return result === 'down';
	}

	/** Sends the request to the target of one leg and checks the head of the response. */
	async function tryTarget(
		request: ForwardedRequest,
		progress: Progress,
		leg: Leg,
	): Promise<AcceptedAttempt | Setback> {
		const {grant, permit, race} = leg;
		const tables = policy.tables()!;
		const service = tables.document.services[request.service]!;
		const dispatchedAt = clock.monotonic();
		const timeLeft = Math.max(1, progress.deadline - dispatchedAt);
		const span = request.span.startHop('attempt', {target: grant.target.id, ...grant.basis});
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
				{timeLeft, traceparent: span.traceparent, target: grant.target.id},
				dialect,
			),
			body: request.body,
			connectTimeout: limits.connectTimeout,
			softTimeout: grant.silenceTimeout ?? timeLeft * limits.attemptTimeRatio,
			hardTimeout: timeLeft,
			mayGiveUp() {
				if (race?.state === 'racing') {
					race.isSilent = true;
					return false;
				}

				return mayGiveUp(request, progress);
			},
			mayWrite() {
				const mayWrite = recheck(request, grant) === 'ok' && isClaimUsable(request);
				writtenAt = mayWrite ? clock.monotonic() : undefined;
				return mayWrite;
			},
			signals:
				race === undefined
					? [request.cancellation.signal, grant.signal]
					: [request.cancellation.signal, grant.signal, race.signal],
		});

		const basis: Readonly<Record<string, number>> =
			writtenAt === undefined ? {} : {writtenAfter: Math.round(writtenAt - dispatchedAt)};
		if (attempt.kind === 'failed') {
			const {idleBefore} = attempt;
			const result = race?.state === 'given-up' ? 'timeout' : attempt.result;
			release(leg, {dispatchedAt, idleBefore}, result);
			span.end(race?.state === 'lost' ? lostRaceResult : result, basis);
			if (result === 'connection-failed') {
				progress.unreachedTargets++;
			}

			if (result === 'connection-broken' && (await hasCrashed(request, grant.target))) {
				progress.crashes++;
				await permit.reportCrash(grant.target.id);
			} else {
				permit.finish(false);
			}

			return setbackOf({...attempt, result});
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
			release(leg, times, refused.result);
			span.end(refused.result, basis);
			return refused.setback;
		}

		const serverErrorSetback = isOnlyAttempt(leg)
			? replaceServerError(request, progress, targetResponse)
			: serverErrorSetbackOf(targetResponse);
		if (serverErrorSetback !== undefined) {
			drainResponse({clock, targetResponse, destroy: attempt.destroy});
			release(leg, times, 'error');
			span.end('error', basis);
			return serverErrorSetback;
		}

		return {kind: 'accepted', leg, times, attempt, span, basis};
	}

	/** Whether the result of this attempt decides how the request goes on. */
	function isOnlyAttempt({race}: Leg): boolean {
		return race === undefined || race.state === 'alone';
	}

	/** Runs a step of one leg. Releases its slot and permit even if an unexpected error ends it. */
	async function runLeg<Result>(leg: Leg, step: () => Promise<Result>): Promise<Result> {
		let isDone = false;
		try {
			const result = await step();
			isDone = true;
			return result;
		} finally {
			if (!isDone && !leg.isReleased) {
				release(leg, {dispatchedAt: clock.monotonic()}, 'cancelled');
				leg.permit.finish(false);
			}
		}
	}

	/** Delivers the response of an accepted attempt; a setback is returned unchanged. */
	async function finish(
		request: ForwardedRequest,
		progress: Progress,
		attempt: AcceptedAttempt | Setback,
	): Promise<ForwardResult | Setback> {
		if (attempt.kind === 'setback') {
			return attempt;
		}

		return runLeg(attempt.leg, async () => deliver(request, progress, attempt));
	}

	/** Makes one attempt, and a second one if the policy hedges the request. */
	async function tryGrant(
		request: ForwardedRequest,
		progress: Progress,
		grant: SlotGrant,
		permit: AttemptPermit,
	): Promise<ForwardResult | Setback> {
		const hedgeDelay = hedgeDelayOf(request, progress);
		const attempt =
			hedgeDelay === undefined
				? await startLeg(request, progress, {grant, permit, isReleased: false})
				: await tryHedged(request, progress, {grant, permit, hedgeDelay});
		return finish(request, progress, attempt);
	}

	async function startLeg(
		request: ForwardedRequest,
		progress: Progress,
		leg: Leg,
	): Promise<AcceptedAttempt | Setback> {
		return runLeg(leg, async () => tryTarget(request, progress, leg));
	}

	function slotRequestOf(request: ForwardedRequest, progress: Progress): SlotRequest {
		return {
			workspace: request.workspace,
			deadline: progress.deadline,
			signal: request.cancellation.signal,
			service: request.service,
			route: request.route,
			isIdempotent: isIdempotent(request),
			excludedTargets: progress.triedTargets,
			avoidedFailureDomains: progress.triedFailureDomains,
		};
	}

	/**
	 * Whether a second attempt may start while the first one is in progress. A request that broke a
	 * connection is not hedged, because it may crash its targets.
	 */
	function mayHedge(request: ForwardedRequest, progress: Progress, attempts: number): boolean {
		return (
			isIdempotent(request) &&
			!progress.hasResponseBegun &&
			progress.crashes === 0 &&
			attempts < (request.route.attempts ?? limits.maxAttempts) &&
			hasAttemptsLeft(request, progress)
		);
	}

	/** Milliseconds from now; undefined if the attempt that is about to start is not hedged. */
	function hedgeDelayOf(request: ForwardedRequest, progress: Progress): number | undefined {
		const {hedging} = policy;
		return hedging !== undefined && mayHedge(request, progress, progress.attempts + 1)
			? hedging.delay(slotRequestOf(request, progress))
			: undefined;
	}

	/** Takes the slot of a hedge; the decision is logged like that of any other slot. */
	function acquireHedge(request: ForwardedRequest, progress: Progress): SlotGrant | undefined {
		const span = request.span.startHop('queue', {hedge: 1});
		const decision = policy.hedging!.acquire(slotRequestOf(request, progress));
		span.end(decision.kind === 'granted' ? 'ok' : decision.reason);
		return decision.kind === 'granted' ? decision : undefined;
	}

	/** Makes an attempt and, if it is late, a second one at another target. */
	async function tryHedged(
		request: ForwardedRequest,
		progress: Progress,
		first: {
			readonly grant: SlotGrant;
			readonly permit: AttemptPermit;
			readonly hedgeDelay: number;
		},
	): Promise<AcceptedAttempt | Setback> {
		const firstLeg = createRacingLeg(first.grant, first.permit);
		let hedgeLeg: RacingLeg | undefined;

		function createEntry(leg: RacingLeg): LegEntry {
			return {
				leg,
				result: startLeg(request, progress, leg),
				cancel() {
					leg.race.state = 'lost';
					leg.race.abort();
				},
			};
		}

		async function startHedge(isOver: () => boolean): Promise<LegEntry | undefined> {
			if (!mayHedge(request, progress, progress.attempts)) {
				return undefined;
			}

			const permit = await policy.acquireAttemptPermit(request.fingerprint, progress.deadline);
			if (permit.kind === 'refused') {
				return undefined;
			}

			progress.triedTargets.push(first.grant.target.id);
			const grant = isOver() ? undefined : acquireHedge(request, progress);
			if (grant === undefined) {
				permit.finish(false);
				return undefined;
			}

			progress.triedTargets.push(grant.target.id);
			hedgeLeg = createRacingLeg(grant, permit);
			firstLeg.race.state = 'racing';
			hedgeLeg.race.state = 'racing';
			return createEntry(hedgeLeg);
		}

		const firstEntry = createEntry(firstLeg);
		const result = await raceAttempts<AcceptedAttempt | Setback>({
			clock,
			delay: first.hedgeDelay,
			first: firstEntry,
			startSecond: startHedge,
			isAcceptable: ({kind}) => kind === 'accepted',
			recordFailure(entry, failure) {
				if (failure.kind === 'setback') {
					progress.runState = combineRunStates(progress.runState, failure.runState);
				}

				const remaining = entry === firstEntry ? hedgeLeg! : firstLeg;
				remaining.race.state = 'alone';
				if (remaining.race.isSilent && mayGiveUp(request, progress)) {
					remaining.race.state = 'given-up';
					remaining.race.abort();
				}
			},
			discard(late) {
				if (late.kind === 'accepted') {
					late.attempt.destroy();
					release(late.leg, late.times, 'cancelled');
					late.span.end(lostRaceResult, late.basis);
				}
			},
		});
		if (hedgeLeg !== undefined) {
			if (result.kind === 'accepted') {
				// The other attempt may have been cancelled while its target was at work.
				progress.runState = combineRunStates(progress.runState, 'may-have-run');
			}

			policy.hedging!.recordEnd(request.service, hedgeEndOf(hedgeLeg, result));
		}

		return result;
	}

	async function acquireGrant(
		request: ForwardedRequest,
		progress: Progress,
	): Promise<SlotGrant | Problem> {
		const queueSpan = request.span.startHop('queue');
		for (;;) {
			const decision = await policy.acquireSlot(slotRequestOf(request, progress));
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
				attempts: 0,
				unreachedTargets: 0,
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

/** One attempt with what it holds until it ends. */
type Leg = {
	readonly grant: SlotGrant;
	readonly permit: AttemptPermit;
	isReleased: boolean;
	/** Undefined if the request is not hedged. */
	readonly race?: Race;
};

type Race = {
	/**
	 * `racing` while another attempt is in progress as well, `lost` if that one got a response first,
	 * `given-up` if the attempt was silent for too long.
	 */
	state: 'alone' | 'racing' | 'lost' | 'given-up';
	/** Whether the soft timeout passed while the other attempt was in progress. */
	isSilent: boolean;
	readonly signal: AbortSignalLike;
	/** Ends the attempt. */
	abort(): void;
};

type RacingLeg = Leg & {readonly race: Race};

type LegEntry = RaceEntry<AcceptedAttempt | Setback> & {readonly leg: RacingLeg};

/** The head of a response that can be forwarded to the caller. */
type AcceptedAttempt = {
	readonly kind: 'accepted';
	readonly leg: Leg;
	readonly times: AttemptTimes;
	readonly attempt: AttemptResponse;
	readonly span: HopSpan;
	readonly basis: Readonly<Record<string, number>>;
};

/** Result of the hop of an attempt that was cancelled because the other one got a response first. */
const lostRaceResult = 'lost-race';

function createRacingLeg(grant: SlotGrant, permit: AttemptPermit): RacingLeg {
	const {signal, abort} = createLightweightAbortController();
	return {grant, permit, isReleased: false, race: {state: 'alone', isSilent: false, signal, abort}};
}

function hedgeEndOf(hedge: Leg, result: AcceptedAttempt | Setback): HedgeEnd {
	if (hedge.race?.state === 'lost') {
		return 'cancelled';
	}

	return result.kind === 'accepted' && result.leg === hedge ? 'won' : 'failed';
}

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
