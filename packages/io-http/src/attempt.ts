/**
 * One try of a request at one target, up to the head of the answer. Says truthfully whether a byte
 * of the request may have reached the target. A try that fails destroys its connection.
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
import {onAbort} from './cancellation.js';
import {type BodyFailure, type RequestBody} from './request-body.js';
import {type StopSignal} from './stop-signal.js';
import {type TargetConnections} from './target-connections.js';

/** A target sends one or two interim answers (1xx) at most before the one that counts. */
const mostInterimAnswers = 8;

export type AttemptOptions = {
	readonly clock: Clock;
	readonly connections: TargetConnections;
	readonly target: TargetDefinition;
	readonly service: ServiceDefinition;
	/** Idle connections that the target may have from this instance. */
	readonly idleLimit: number;
	/** Milliseconds for which the connection may have been idle; undefined for any time. */
	readonly maxIdleTime: number | undefined;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	/** Names and values by turns, framing included. */
	readonly headers: readonly string[];
	readonly body: RequestBody;
	/** Milliseconds for a connection. */
	readonly connectTimeout: number;
	/** Milliseconds after which `mayGiveUp` is asked whether to give up early. */
	readonly softTimeout: number;
	/** Milliseconds after which the try ends in any case. */
	readonly hardTimeout: number;
	readonly mayGiveUp: () => boolean;
	/** Asked just before the first byte is written; when false, the try ends as `cancelled`. */
	readonly mayWrite: () => boolean;
	/** Any of them ends the try. */
	readonly signals: readonly StopSignal[];
};

export type AttemptFailure = {
	readonly kind: 'failed';
	readonly result: AttemptResult;
	/** Whether the target may have got a byte of the request. */
	readonly wasWritten: boolean;
	/** Milliseconds for which the connection had been idle; undefined for a new one. */
	readonly idleBefore?: number;
	/** Set where the caller did not deliver its body. */
	readonly bodyFailure?: BodyFailure;
};

export type AttemptResponse = {
	readonly kind: 'answered';
	readonly answer: IncomingMessage;
	/** Destroys the connection. */
	destroy(): void;
};

/** Calls back when the connection can carry bytes, TLS included. */
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

/** Never rejects. */
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
		let interimAnswers = 0;
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
				failSilent();
			}
		});
		const cancelHardTimer = clock.after(options.hardTimeout, failSilent);
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

		function fail(result: AttemptResult, bodyFailure?: BodyFailure): void {
			settle({kind: 'failed', result, wasWritten, idleBefore, bodyFailure});
			request.destroy();
		}

		function failSilent(): void {
			// The idle connections to a silent target may be dead as well.
			connections.discardIdle(target);
			fail(wasWritten ? 'timeout' : 'connection-failed');
		}

		function failBroken(): void {
			fail(wasWritten ? 'connection-broken' : 'connection-failed');
		}

		/** The head goes out with the body, so nothing is written before the connection stands. */
		function send(): void {
			if (isSettled) {
				return;
			}

			if (options.mayWrite()) {
				wasWritten = true;
				body.sendTo(request, bodyFailure => {
					fail('cancelled', bodyFailure);
				});
			} else {
				fail('cancelled');
			}
		}

		request.on('socket', socket => {
			use(socket);
			idleBefore = request.reusedSocket ? connections.idleBefore(socket) : undefined;
			watchConnection(request, socket, service.tls, send);
		});
		request.on('error', failBroken);
		request.on('close', failBroken);
		request.on('information', () => {
			interimAnswers++;
			if (interimAnswers > mostInterimAnswers) {
				fail('incomplete');
			}
		});
		request.on('upgrade', (_answer, socket) => {
			socket.destroy();
			fail('incomplete');
		});
		request.on('response', answer => {
			settle({
				kind: 'answered',
				answer,
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
