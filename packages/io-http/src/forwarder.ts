/**
 * Forwards one admitted request: takes a slot, tries a target, checks the answer and streams it to
 * the caller. Tries again only where that keeps the promise that a request which is not idempotent
 * runs at most once.
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
import {
	isResponseToRequest,
	contentLengthOf,
	endsWithConnection,
	hasBody,
	hasExpectedType,
	isFramed,
	readResumableDownload,
	readRemainingBytes,
	minBodyBytesOf,
	type ResumableDownload,
} from './response-checks.js';
import {pumpResponse, type PumpResult} from './response-pump.js';
import {startAttempt, type AttemptResponse, type AttemptFailure} from './attempt.js';
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
import {type RequestBody} from './request-body.js';
import {type RequestDialect} from './request-dialect.js';
import {type CrashPermit, type RequestPolicy, type SlotGrant} from './request-policy.js';
import {type RequestSpan} from './request-tracer.js';
import {idleConnectionLimit, type TargetConnections} from './target-connections.js';

export type ForwarderOptions = {
	readonly policy: RequestPolicy;
	readonly clock: Clock;
	readonly limits: HttpLimits;
	readonly counters: HttpCounters;
	readonly connections: TargetConnections;
	readonly dialect: RequestDialect;
	/** Whether answers carry `Connection: close`. */
	readonly isLeaving: () => boolean;
};

export type ForwardedRequest = {
	/** As the caller named it; undefined where the dialect names no requests. */
	readonly id: string | undefined;
	readonly route: RouteDefinition;
	readonly service: string;
	readonly workspace: string;
	/** Undefined on open routes without a key. */
	readonly keyDigest: string | undefined;
	readonly method: string;
	/** Path with query, without the key. */
	readonly path: string;
	/** Names and values by turns, without the key, framing, deadline and trace. */
	readonly headers: readonly string[];
	readonly body: RequestBody;
	/** Returns the digest of workspace, method, path and body, computed at the first call. */
	readonly fingerprint: () => string;
	/** Monotonic milliseconds before which a claimed idempotency key allows the first byte. */
	readonly startBefore: number | undefined;
	/** Monotonic milliseconds until which the head of an answer must have come. */
	readonly deadline: number;
	/** The same until which the whole answer must have come; undefined for any time. */
	readonly responseDeadline: number | undefined;
	readonly cancellation: Cancellation;
	readonly span: RequestSpan;
	readonly response: ServerResponse;
};

export type ForwardResult =
	/** A whole answer was passed on. */
	| {readonly kind: 'delivered'}
	/** Nothing was passed on. */
	| {readonly kind: 'problem'; readonly problem: Problem}
	/** A part was passed on; the caller's connection must be reset. */
	| {readonly kind: 'reset'; readonly reason: string; readonly outcome: RunState};

export type Forwarder = {
	/** Never rejects because of a target. */
	forward(request: ForwardedRequest): Promise<ForwardResult>;
};

/** Why a try did not end the request. */
type Setback = {
	readonly kind: 'setback';
	readonly code: ProblemCode;
	/** Whether this try ran. */
	readonly runState: RunState;
	/** Milliseconds. */
	readonly retryAfter?: number;
	/** Whether another try is out of the question, whatever the method. */
	readonly isFinal?: boolean;
};

type Progress = {
	/** The grant of the try in progress, until it is released. */
	openGrant: SlotGrant | undefined;
	attempts: number;
	crashes: number;
	/** The worst of all tries. */
	runState: RunState;
	readonly triedTargets: string[];
	readonly triedDomains: string[];
	deadline: number;
	/** Whether the budget was charged when the last try was given up early. */
	isRetryPaid: boolean;
	hasBegun: boolean;
	/** Bytes passed on to the caller. */
	received: number;
	/** Set while the answer in progress can be continued at another target. */
	download: ResumableDownload | undefined;
};

/** A request that crashes targets reaches at most this many. */
const crashesPerRequest = 2;
const lowestServerError = 500;
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
		const code = failure.bodyFailure === 'too-large' ? 'body-too-large' : 'request-timeout';
		return {kind: 'setback', code, runState, isFinal: true};
	}

	return {kind: 'setback', code: failureCodes[failure.result] ?? 'cancelled', runState};
}

type RefusedAnswer = {readonly result: AttemptResult; readonly setback: Setback};

/** The answer is not one to this request. */
const foreignAnswer: RefusedAnswer = {
	result: 'incomplete',
	setback: {kind: 'setback', code: 'incomplete-answer', runState: 'may-have-run'},
};

function resetWith(reason: string, outcome: RunState): ForwardResult {
	return {kind: 'reset', reason, outcome};
}

/** Framing, deadline, trace and range headers of one try. */
function createAttemptHeaders(
	request: ForwardedRequest,
	progress: Progress,
	attempt: {
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
		headers.push('range', `bytes=${progress.received}-`, 'if-range', progress.download.etag);
	}

	return headers;
}

export function createForwarder(options: ForwarderOptions): Forwarder {
	const {policy, clock, limits, counters, connections, dialect} = options;

	function isIdempotent(request: ForwardedRequest): boolean {
		return request.route.idempotentMethods.includes(request.method);
	}

	function isOffered(target: TargetDefinition): boolean {
		if (policy.isTargetUsable !== undefined) {
			return policy.isTargetUsable(target);
		}

		const tables = policy.tables();
		return (
			tables?.findTarget(target.id)?.address === target.address &&
			tables.isDomainActive(target.failureDomain)
		);
	}

	/** Checks again what may have changed while the request waited for its slot. */
	function recheck(request: ForwardedRequest, grant: SlotGrant): 'ok' | 'withdrawn' | 'moved' {
		const tables = policy.tables();
		const {keyDigest, workspace} = request;
		if (keyDigest !== undefined && tables?.isActiveKeyDigest(keyDigest, workspace) !== true) {
			return 'withdrawn';
		}

		const isOpen = !grant.signal.aborted && grant.isInForce() && isOffered(grant.target);
		return isOpen ? 'ok' : 'moved';
	}

	function isClaimUsable({startBefore}: ForwardedRequest): boolean {
		return startBefore === undefined || clock.monotonic() < startBefore;
	}

	function hasAttemptsLeft(request: ForwardedRequest, progress: Progress): boolean {
		return (
			progress.attempts < (request.route.attempts ?? limits.maxAttempts) &&
			progress.crashes < crashesPerRequest &&
			request.body.isReplayable &&
			clock.monotonic() < progress.deadline
		);
	}

	/** Takes one retry from the budget, unless it was taken when the last try was given up. */
	function payRetry(request: ForwardedRequest, progress: Progress): boolean {
		const isPaid = progress.isRetryPaid || policy.takeRetry(request.service);
		progress.isRetryPaid = false;
		return isPaid;
	}

	/** Whether a try that has been silent for its share of the time makes room for another. */
	function mayGiveUp(request: ForwardedRequest, progress: Progress): boolean {
		progress.isRetryPaid =
			isIdempotent(request) &&
			hasAttemptsLeft(request, progress) &&
			policy.takeRetry(request.service);
		return progress.isRetryPaid;
	}

	/** Connections that failed put no load on a target, so their retries cost no budget. */
	function mayRetry(request: ForwardedRequest, progress: Progress, setback: Setback): boolean {
		const isSafe = isIdempotent(request) || setback.runState === 'not-run';
		if (setback.isFinal === true || !isSafe || !hasAttemptsLeft(request, progress)) {
			return false;
		}

		return setback.code === 'target-unreachable' || payRetry(request, progress);
	}

	/** Another try in place of a failure that the target answered; undefined where it is passed on. */
	function replaceFailure(
		request: ForwardedRequest,
		progress: Progress,
		answer: IncomingMessage,
	): Setback | undefined {
		const setback: Setback = {kind: 'setback', code: 'target-failed', runState: 'ran'};
		const isReplaced =
			answer.statusCode! >= lowestServerError &&
			!progress.hasBegun &&
			mayRetry(request, progress, setback);
		progress.isRetryPaid = isReplaced;
		return isReplaced ? setback : undefined;
	}

	function beginAnswer(request: ForwardedRequest, answer: IncomingMessage): void {
		const headers = createCallerHeaders(answer.rawHeaders, dialect);
		const isUnframed = endsWithConnection(request.method, answer);
		// Whether such a body was cut cannot be told from here, so the caller must not take it for whole.
		request.response.useChunkedEncodingByDefault = !isUnframed;
		if (options.isLeaving() || isUnframed) {
			headers.push('connection', 'close');
		}

		// The target's reason phrase is dropped: it means nothing, and may hold control characters.
		request.response.writeHead(answer.statusCode!, headers);
	}

	function release(
		progress: Progress,
		grant: SlotGrant,
		times: AttemptTimes,
		result: AttemptResult,
	): void {
		progress.openGrant = undefined;
		counters.increment('attempts', result);
		const {dispatched, headAt, idleBefore, generation} = times;
		const now = clock.monotonic();
		const latency = (headAt ?? now) - dispatched;
		grant.release({result, latency, slotTime: now - dispatched, idleBefore, generation});
	}

	/** Refuses an answer by its head; undefined where the body may follow. */
	function checkAnswerHead(
		request: ForwardedRequest,
		progress: Progress,
		answer: IncomingMessage,
	): RefusedAnswer | undefined {
		// Where it is the answer to an earlier request, nothing is known of this one.
		if (!isResponseToRequest(answer, dialect.requestIdHeader, request.id)) {
			return foreignAnswer;
		}

		const shed = dialect.readShed(answer);
		if (shed !== undefined) {
			const setback: Setback = {
				kind: 'setback',
				code: 'target-shed',
				runState: 'not-run',
				retryAfter: shed.retryAfter,
			};
			return {result: shed.isMisdirected ? 'misdirected' : 'shed', setback};
		}

		if (dialect.isGenuine?.(answer) === false) {
			return foreignAnswer;
		}

		const {download, received} = progress;
		const isExpected =
			download === undefined
				? hasExpectedType(request.route, answer)
				: readRemainingBytes(answer, download, received) !== undefined;
		const isUsable = isFramed(request.method, answer, dialect.acceptsUnframed) && isExpected;
		return isUsable
			? undefined
			: {
					result: 'incomplete',
					setback: {kind: 'setback', code: 'incomplete-answer', runState: 'ran'},
				};
	}

	async function pump(
		request: ForwardedRequest,
		progress: Progress,
		grant: SlotGrant,
		answer: IncomingMessage,
	): Promise<PumpResult> {
		const {route, method, response} = request;
		const smallestBody = progress.hasBegun ? 0 : minBodyBytesOf(route, method, answer.statusCode!);
		const length = hasBody(method, answer.statusCode!) ? contentLengthOf(answer) : 0;
		const isUnframed = endsWithConnection(method, answer);
		const holdBytes =
			length === undefined
				? Math.max(1, smallestBody, isUnframed ? limits.maxHeldResponseBytes : 0)
				: Math.max(1, Math.min(length, limits.maxHeldResponseBytes));
		const {download, received} = progress;
		const result = await pumpResponse({
			clock,
			answer,
			response,
			begin() {
				if (!progress.hasBegun) {
					beginAnswer(request, answer);
					progress.hasBegun = true;
					progress.download = isIdempotent(request)
						? readResumableDownload(method, request.headers, answer)
						: undefined;
				}
			},
			holdBytes: progress.hasBegun ? 0 : holdBytes,
			minBodyBytes: smallestBody,
			exactBytes:
				download === undefined ? undefined : readRemainingBytes(answer, download, received),
			stallTimeout: route.stallTimeout,
			timeLeft:
				request.responseDeadline === undefined
					? undefined
					: request.responseDeadline - clock.monotonic(),
			callerStallTimeout: limits.callerStallTimeout,
			signals: [request.cancellation.signal, grant.signal],
			endsWithConnection: isUnframed,
		});
		progress.received += result.forwardedBytes;
		return result;
	}

	/** Streams the body of an acceptable answer and releases the slot. */
	async function deliver(
		request: ForwardedRequest,
		progress: Progress,
		answered: AnsweredAttempt,
	): Promise<ForwardResult | Setback> {
		const {grant, times, attempt} = answered;
		const {answer} = attempt;
		const {end} = await pump(request, progress, grant, answer);
		if (end === 'complete') {
			release(progress, grant, times, answer.statusCode! >= lowestServerError ? 'error' : 'ok');
			endAnswer(request.response, answer);
			return {kind: 'delivered'};
		}

		if (end === 'blank') {
			release(progress, grant, times, 'incomplete');
			return {kind: 'setback', code: 'incomplete-answer', runState: 'ran'};
		}

		// The connection still owes bytes, so nothing may use it again.
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
		clearance: CrashPermit,
	): Promise<ForwardResult | Setback> {
		const tables = policy.tables()!;
		const service = tables.document.services[request.service]!;
		const dispatched = clock.monotonic();
		const timeLeft = Math.max(1, progress.deadline - dispatched);
		const hop = request.span.startHop('attempt', {target: grant.target.id, ...grant.basis});
		progress.attempts++;
		const attempt = await startAttempt({
			clock,
			connections,
			target: grant.target,
			service,
			idleLimit: grant.keepsConnection
				? idleConnectionLimit(service, tables.document.fleet.maxInstances)
				: 0,
			maxIdleTime: grant.maxIdleTime,
			method: request.method,
			path: request.path,
			headers: createAttemptHeaders(
				request,
				progress,
				{timeLeft, traceparent: hop.traceparent, target: grant.target.id},
				dialect,
			),
			body: request.body,
			connectTimeout: limits.connectTimeout,
			softTimeout: grant.silenceTimeout ?? timeLeft * limits.attemptTimeRatio,
			hardTimeout: timeLeft,
			mayGiveUp: () => mayGiveUp(request, progress),
			mayWrite: () => recheck(request, grant) === 'ok' && isClaimUsable(request),
			signals: [request.cancellation.signal, grant.signal],
		});

		if (attempt.kind === 'failed') {
			const {idleBefore} = attempt;
			release(progress, grant, {dispatched, idleBefore}, attempt.result);
			hop.end(attempt.result);
			if (attempt.result === 'connection-broken') {
				progress.crashes++;
				await clearance.reportCrash(grant.target.id);
			} else {
				clearance.finish(false);
			}

			return setbackOf(attempt);
		}

		clearance.finish(true);
		const {answer} = attempt;
		const generation = answer.headers['x-target-generation'];
		const times: AttemptTimes = {
			dispatched,
			headAt: clock.monotonic(),
			generation: typeof generation === 'string' ? generation : undefined,
		};
		const refused = checkAnswerHead(request, progress, answer);
		if (refused !== undefined) {
			attempt.destroy();
			release(progress, grant, times, refused.result);
			hop.end(refused.result);
			return refused.setback;
		}

		const failure = replaceFailure(request, progress, answer);
		if (failure !== undefined) {
			drainResponse({clock, answer, destroy: attempt.destroy});
			release(progress, grant, times, 'error');
			hop.end('error');
			return failure;
		}

		const result = await deliver(request, progress, {grant, times, attempt});
		hop.end(result.kind === 'setback' ? result.code : result.kind);
		return result;
	}

	/** Releases the slot and the clearance also where an unexpected error ends the try. */
	async function tryGrant(
		request: ForwardedRequest,
		progress: Progress,
		grant: SlotGrant,
		clearance: CrashPermit,
	): Promise<ForwardResult | Setback> {
		progress.openGrant = grant;
		try {
			return await tryTarget(request, progress, grant, clearance);
		} finally {
			if (progress.openGrant === grant) {
				release(progress, grant, {dispatched: clock.monotonic()}, 'cancelled');
				clearance.finish(false);
			}
		}
	}

	async function acquireGrant(
		request: ForwardedRequest,
		progress: Progress,
	): Promise<SlotGrant | Problem> {
		const hop = request.span.startHop('queue');
		for (;;) {
			const answer = await policy.acquireSlot({
				workspace: request.workspace,
				deadline: progress.deadline,
				signal: request.cancellation.signal,
				service: request.service,
				route: request.route,
				isIdempotent: isIdempotent(request),
				excludedTargets: progress.triedTargets,
				avoidedFailureDomains: progress.triedDomains,
			});
			if (answer.kind === 'refused') {
				hop.end('refused');
				return problemFromRefusal(answer);
			}

			const state = request.cancellation.signal.aborted ? 'cancelled' : recheck(request, answer);
			if (state === 'ok') {
				hop.end('ok');
				return answer;
			}

			answer.release({result: 'cancelled', latency: 0, slotTime: 0});
			if (state !== 'moved' || clock.monotonic() >= progress.deadline) {
				hop.end(state);
				return createProblem(state === 'withdrawn' ? 'unknown-key' : 'cancelled');
			}

			progress.triedTargets.push(answer.target.id);
		}
	}

	/** What the caller gets when no further try follows. */
	function giveUp(request: ForwardedRequest, progress: Progress, problem: Problem): ForwardResult {
		const {reason} = request.cancellation;
		if (progress.hasBegun) {
			return resetWith(reason ?? problem.code, progress.runState);
		}

		const outcome = combineRunStates(progress.runState, problem.outcome);
		if (reason === 'key-withdrawn') {
			return {kind: 'problem', problem: createProblem('unknown-key', outcome)};
		}

		// A caller that hears nothing of another try gives up, although nothing has run.
		const suggested =
			outcome === 'not-run' && problem.status >= lowestServerError
				? policy.suggestRetryAfter?.(request.route)
				: undefined;
		const retryAfter = problem.retryAfter ?? suggested;
		return {kind: 'problem', problem: {...problem, outcome, retryAfter}};
	}

	/** Whether an answer that has begun can go on at another target. */
	function mayContinue(request: ForwardedRequest, progress: Progress): boolean {
		if (progress.download === undefined || request.cancellation.reason !== undefined) {
			return false;
		}

		// The head has come, so the deadline for it says nothing about the rest of the body.
		progress.deadline = clock.monotonic() + request.route.timeout;
		if (!hasAttemptsLeft(request, progress) || !payRetry(request, progress)) {
			return false;
		}

		counters.increment('resumes');
		return true;
	}

	/** The problem that ends the request, or undefined where another try may follow. */
	function findEnd(
		request: ForwardedRequest,
		progress: Progress,
		setback: Setback,
	): Problem | undefined {
		const problem = createProblem(setback.code, setback.runState, setback.retryAfter);
		const isAllowed =
			request.cancellation.reason === undefined &&
			(progress.hasBegun ? mayContinue(request, progress) : mayRetry(request, progress, setback));
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
				triedDomains: [],
				deadline: request.deadline,
				isRetryPaid: false,
				hasBegun: false,
				received: 0,
				download: undefined,
			};
			for (;;) {
				const clearance = await policy.acquireCrashPermit(request.fingerprint, progress.deadline);
				if (clearance.kind === 'refused') {
					return giveUp(request, progress, problemFromRefusal(clearance));
				}

				const grant = await acquireGrant(request, progress);
				if (!('kind' in grant)) {
					clearance.finish(false);
					return giveUp(request, progress, grant);
				}

				const result = await tryGrant(request, progress, grant, clearance);
				if (result.kind !== 'setback') {
					return result;
				}

				progress.runState = combineRunStates(progress.runState, result.runState);
				const problem = findEnd(request, progress, result);
				if (problem !== undefined) {
					return giveUp(request, progress, problem);
				}

				progress.triedTargets.push(grant.target.id);
				progress.triedDomains.push(grant.target.failureDomain);
			}
		},
	};
}

type AttemptTimes = {
	/** Monotonic milliseconds. */
	readonly dispatched: number;
	readonly headAt?: number;
	/** As in `AttemptFailure`. */
	readonly idleBefore?: number;
	readonly generation?: string;
};

type AnsweredAttempt = {
	readonly grant: SlotGrant;
	readonly times: AttemptTimes;
	readonly attempt: AttemptResponse;
};

/** Trailers that may reach the caller; those that speak of framing may not. */
const refusedTrailers: ReadonlySet<string> = new Set([
	'connection',
	'content-length',
	'transfer-encoding',
	'trailer',
	'host',
	'set-cookie',
]);

function endAnswer(response: ServerResponse, answer: IncomingMessage): void {
	const trailers: Array<[string, string]> = [];
	for (let index = 0; index + 1 < answer.rawTrailers.length; index += 2) {
		if (!refusedTrailers.has(answer.rawTrailers[index]!.toLowerCase())) {
			trailers.push([answer.rawTrailers[index]!, answer.rawTrailers[index + 1]!]);
		}
	}

	if (trailers.length > 0 && response.chunkedEncoding) {
		response.addTrailers(trailers);
	}

	response.end();
}
