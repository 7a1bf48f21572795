/**
 * Streams the body of a target's response to the caller with back-pressure, and reports how it
 * ended. The head is held back together with the first bytes of the body, so that a response that
 * turns out to be too short or cut early can still be replaced by another attempt.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {onAbort} from './cancellation.js';
import {createIdleTimer, type IdleTimer} from './idle-timer.js';
import {type StopSignal} from './stop-signal.js';

export type PumpEnd =
	/** All bytes that the framing announces have arrived. */
	| 'complete'
	/** Complete, but smaller than the route expects; nothing was forwarded. */
	| 'blank'
	/** The connection ended before the body did. */
	| 'cut'
	/** The target sent nothing for `stallTimeout`. */
	| 'stalled'
	/** The target was still sending when the time for the whole response was over. */
	| 'overdue'
	/** One of the signals aborted, or the caller reads nothing or too slowly. */
	| 'cancelled';

export type PumpOptions = {
	readonly clock: Clock;
	readonly answer: IncomingMessage;
	readonly response: ServerResponse;
	/** Called before the first byte is forwarded. */
	readonly begin: () => void;
	/** Bytes of the body to wait for before anything is forwarded; 0 if the response has begun. */
	readonly holdBytes: number;
	/** Minimum bytes of a complete body. */
	readonly minBodyBytes: number;
	/** Bytes that the body must have, whatever its framing says; undefined for any number. */
	readonly exactBytes: number | undefined;
	/** Maximum silence of the target, milliseconds. */
	readonly stallTimeout: number;
	/** Milliseconds left for the whole response; undefined for no limit. */
	readonly timeLeft: number | undefined;
	/** Maximum time in which the caller reads nothing, milliseconds. */
	readonly callerStallTimeout: number;
	readonly signals: readonly StopSignal[];
	/** Whether only the end of the connection marks the end of the body. */
	readonly endsWithConnection?: boolean;
};

export type PumpResult = {
	readonly end: PumpEnd;
	/** Bytes forwarded to the caller. */
	readonly forwardedBytes: number;
};

/** Never rejects. The caller of this function destroys the target's response if necessary. */
export async function pumpResponse(options: PumpOptions): Promise<PumpResult> {
	const {clock, answer, response, exactBytes = Infinity} = options;
	return new Promise(resolve => {
		const held: Uint8Array[] = [];
		let heldBytes = 0;
		let passedOn = 0;
		let hasBegun = false;
		let isDone = false;
		const targetTimer = createIdleTimer(clock, options.stallTimeout, () => {
			finish('stalled');
		});
		/** Most responses fit into the buffers of the connection and never need this timer. */
		let callerTimer: IdleTimer | undefined;
		const cancelTotal =
			options.timeLeft === undefined
				? undefined
				: clock.after(Math.max(0, options.timeLeft), () => {
						// If the caller reads too slowly, the target is not at fault.
						finish(answer.isPaused() ? 'cancelled' : 'overdue');
					});
		let stopListening: () => void = () => undefined;

		function finish(end: PumpEnd): void {
			if (isDone) {
				return;
			}

			isDone = true;
			targetTimer.stop();
			callerTimer?.stop();
			cancelTotal?.();
			stopListening();
			answer.off('data', receive).off('end', complete).off('close', cut);
			response.off('drain', goOn);
			resolve({end, forwardedBytes: passedOn});
		}

		function watchCaller(): void {
			if (callerTimer !== undefined) {
				callerTimer.touch();
				return;
			}

			callerTimer = createIdleTimer(clock, options.callerStallTimeout, () => {
				finish('cancelled');
			});
		}

		function passOn(chunk: Uint8Array): void {
			passedOn += chunk.length;
			if (!response.write(chunk)) {
				// While the caller reads slowly, the target is not at fault for its silence.
				answer.pause();
				targetTimer.suspend();
				watchCaller();
			}
		}

		function begin(): void {
			hasBegun = true;
			try {
				options.begin();
			} catch {
				// Node refuses to write some heads that its parser accepts, such as status code 099.
				finish('cut');
				return;
			}

			if (heldBytes > 0) {
				passOn(held.length === 1 ? held[0]! : Buffer.concat(held, heldBytes));
				held.length = 0;
			}
		}

		function receive(chunk: Uint8Array): void {
			targetTimer.touch();
			if (passedOn + chunk.length > exactBytes) {
				finish('cut');
				return;
			}

			if (hasBegun) {
				passOn(chunk);
				return;
			}

			held.push(chunk);
			heldBytes += chunk.length;
			if (heldBytes >= options.holdBytes) {
				begin();
			}
		}

		function goOn(): void {
			callerTimer?.suspend();
			targetTimer.touch();
			answer.resume();
		}

		function complete(): void {
			// Node's parser treats a reset as the end of a body that has no length.
			const wasReset = options.endsWithConnection === true && answer.socket.errored !== null;
			if (!answer.complete || wasReset) {
				finish('cut');
				return;
			}

			if (!hasBegun) {
				if (heldBytes < options.minBodyBytes) {
					finish('blank');
					return;
				}

				begin();
			}

			// Does nothing if writing the head failed.
			finish(passedOn < (options.exactBytes ?? 0) ? 'cut' : 'complete');
		}

		function cut(): void {
			finish('cut');
		}

		answer.on('data', receive).on('end', complete).on('close', cut);
		// Without a listener, the error of a cut response would end the process; 'close' follows it.
		answer.on('error', () => undefined);
		response.on('drain', goOn);
		stopListening = onAbort(options.signals, () => {
			finish('cancelled');
		});
		if (answer.destroyed && !answer.complete) {
			finish('cut');
		}
	});
}
