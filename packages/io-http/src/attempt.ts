/**
 * One attempt to send a request to one target, up to the head of the response. Reports whether a
 * byte of the request may have reached the target, which decides whether the request may be sent
 * again. A failed attempt destroys its connection.
 */
import http, {type IncomingMessage} from 'node:http';
import https from 'node:https';
import {type Socket} from 'node:net';
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {
	type ServiceDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {onAbort} from './cancellation.js';
import {endsWithConnection} from './response-checks.js';
import {type BodyFailure, type RequestBody} from './request-body.js';
import {type AbortSignalLike} from './abort-signal.js';
import {type TargetConnections, type UsedConnection} from './target-connections.js';

/** Maximum interim responses (1xx) before the final one; a target usually sends one or two. */
const maxInterimResponses = 8;

export type AttemptOptions = {
	readonly clock: Clock;
	readonly connections: TargetConnections;
	readonly target: TargetDefinition;
	readonly service: ServiceDefinition;
	/** Maximum idle connections from this instance to the target. */
	readonly idleLimit: number;
	/** Maximum idle time of a reused connection, milliseconds; undefined for no maximum. */
	readonly maxIdleTime: number | undefined;
	/** Identifies the request in its response; undefined where the dialect has no such id. */
	readonly requestId: string | undefined;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	/** Alternating names and values, framing included. */
	readonly headers: readonly string[];
	readonly body: RequestBody;
	/** Milliseconds to establish a connection. */
	readonly connectTimeout: number;
	/** Milliseconds after which `mayGiveUp` decides whether the attempt ends early. */
	readonly softTimeout: number;
	/** Milliseconds after which the attempt ends in any case. */
	readonly hardTimeout: number;
	readonly mayGiveUp: () => boolean;
	/** Called just before the first byte is written; if false, the attempt ends as `cancelled`. */
	readonly mayWrite: () => boolean;
	/** The attempt ends as `cancelled` when any of these signals aborts. */
	readonly signals: readonly AbortSignalLike[];
};

export type AttemptFailure = {
	readonly kind: 'failed';
	readonly result: AttemptResult;
	/** Whether the target may have received a byte of the request. */
	readonly wasWritten: boolean;
	/** Milliseconds for which the connection had been idle; undefined for a new one. */
	readonly idleBefore?: number;
	/** Set if the caller's request body ended the attempt: it was too large or did not arrive. */
	readonly bodyFailure?: BodyFailure;
	/** Set if the parser refused the bytes of the target. */
	readonly parserFailure?: ParserFailure;
};

/** What the parser refused: the syntax of a header line, or anything else. */
export type ParserFailure = 'header' | 'other';

export type AttemptResponse = {
	readonly kind: 'answered';
	readonly targetResponse: IncomingMessage;
	/** Ids of earlier requests on the connection; empty unless the attempt had an id. */
	readonly earlierRequestIds: readonly string[];
	/**
	 * Whether the connection was reset, also if the reset arrived together with the last bytes.
	 * Decided when the connection has ended, and only for a response that ends with it.
	 */
	wasReset(): boolean;
	/** Destroys the connection. */
	destroy(): void;
};

const parserErrorPrefix = 'HPE_';
const headerErrorCode = 'HPE_INVALID_HEADER_TOKEN';
/** A message that ends early is a broken connection, not a malformed response. */
const earlyEndCode = 'HPE_INVALID_EOF_STATE';

/** Undefined for other errors, such as a reset or an early end of the connection. */
function parserFailureOf({code = ''}: NodeJS.ErrnoException): ParserFailure | undefined {
	if (!code.startsWith(parserErrorPrefix) || code === earlyEndCode) {
		return undefined;
	}

	return code === headerErrorCode ? 'header' : 'other';
}

/** Calls back when the connection is established, including the TLS handshake. */
function watchConnection(
	request: http.ClientRequest,
	socket: Socket,
	isSecure: boolean,
	onConnected: () => void,
): void {
	if (request.reusedSocket || !socket.connecting) {
		onConnected();
	} else {
		socket.once(isSecure ? 'secureConnect' : 'connect', onConnected);
	}
}

/**
 * Calls back if the connection of the response ends because of a reset. The runtime reports an
 * orderly end if the reset arrives together with the last bytes, but a connection that was reset
 * has no peer any more. The address of the peer must not have been read before, because the runtime
 * caches it.
 */
function watchReset(socket: Socket, onReset: () => void): void {
	socket.prependOnceListener('end', () => {
		if (socket.remoteAddress === undefined) {
			onReset();
		}
	});
}

/** Resolves when the head of a response has arrived or the attempt has failed. Never rejects. */
export async function startAttempt(
	options: AttemptOptions,
): Promise<AttemptFailure | AttemptResponse> {
	const {clock, connections, target, service, body} = options;
	const reservation = connections.reserve(target, service, options.idleLimit);
	if (reservation === undefined) {
		return {kind: 'failed', result: 'connection-failed', wasWritten: false};
	}

	const {use, cancel} = reservation;
	if (options.maxIdleTime !== undefined) {
		connections.discardIdle(target, options.maxIdleTime);
	}

	return new Promise(resolve => {
		let isSettled = false;
		let wasWritten = false;
		let idleBefore: number | undefined;
		let interimResponses = 0;
		let response: IncomingMessage | undefined;
		let connection: UsedConnection | undefined;
		let wasReset = false;
		const requestOptions = connections.optionsFor(target, service);
		requestOptions.method = options.method;
		requestOptions.path = options.path;
		requestOptions.headers = options.headers;
		const request = (service.tls ? https : http).request(requestOptions);
		request.maxHeadersCount = 0;

		const cancelConnectTimer = clock.after(options.connectTimeout, () => {
			if (!wasWritten) {
				fail('connection-failed');
			}
		});
		const cancelSoftTimer = clock.after(options.softTimeout, () => {
			if (!isSettled && options.mayGiveUp()) {
				failTimedOut();
			}
		});
		const cancelHardTimer = clock.after(options.hardTimeout, failTimedOut);
		let stopListening: () => void = () => undefined;

		function settle(result: AttemptFailure | AttemptResponse): void {
			if (isSettled) {
				return;
			}

			isSettled = true;
			cancel();
			cancelConnectTimer();
			cancelSoftTimer();
			cancelHardTimer();
			stopListening();
			resolve(result);
		}

		function fail(
			result: AttemptResult,
			cause: Pick<AttemptFailure, 'bodyFailure' | 'parserFailure'> = {},
		): void {
			settle({kind: 'failed', result, wasWritten, idleBefore, ...cause});
			request.destroy();
		}

		function failTimedOut(): void {
			// The idle connections to a silent target may be broken as well.
			connections.discardIdle(target);
			fail(wasWritten ? 'timeout' : 'connection-failed');
		}

		function failBroken(): void {
			// Bytes behind a complete response break the connection, too. Destroying the request then
			// would drop the end of the body that still waits for the caller.
			if (response?.complete !== true) {
				fail(wasWritten ? 'connection-broken' : 'connection-failed');
			}
		}

		/**
		 * The head is written with the body, so nothing is written before the connection is
		 * established.
		 */
		function send(): void {
			if (isSettled) {
				return;
			}

			if (options.mayWrite()) {
				wasWritten = true;
				body.sendTo(request, bodyFailure => {
					fail('cancelled', {bodyFailure});
				});
			} else {
				fail('cancelled');
			}
		}

		request.on('socket', socket => {
			connection = use(socket, options.requestId);
			idleBefore = request.reusedSocket ? connections.idleBefore(socket) : undefined;
			watchConnection(request, socket, service.tls, send);
		});
		request.on('error', error => {
			const parserFailure = parserFailureOf(error);
			if (parserFailure !== undefined && wasWritten && response === undefined) {
				// The target has responded, so the request did not crash it.
				fail('incomplete', {parserFailure});
			} else {
				failBroken();
			}
		});
		request.on('close', failBroken);
		request.on('information', ({rawHeaders}) => {
			interimResponses++;
			const isMalformed = checkHeaderSyntax(rawHeaders) !== 'valid';
			if (isMalformed || interimResponses > maxInterimResponses) {
				fail('incomplete');
			}
		});
		request.on('upgrade', (_response, socket) => {
			socket.destroy();
			fail('incomplete');
		});
		request.on('response', targetResponse => {
			response = targetResponse;
			connection?.beginResponse(targetResponse);
			if (endsWithConnection(options.method, targetResponse)) {
				watchReset(targetResponse.socket, () => {
					wasReset = true;
				});
			}

			settle({
				kind: 'answered',
				targetResponse,
				earlierRequestIds: connection?.earlierRequestIds ?? [],
				wasReset: () => wasReset || targetResponse.socket.errored !== null,
				destroy() {
					request.destroy();
				},
			});
		});
		stopListening = onAbort(options.signals, () => {
			fail('cancelled');
		});
	});
}
