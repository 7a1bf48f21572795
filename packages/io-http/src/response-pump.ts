/**
 * Moves the body of an answer to the caller with back-pressure, and says how it ended. The head of
 * the answer is held back together with the first bytes of the body, so that an answer that turns
 * out blank or cut early can still be replaced.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {onAbort} from './cancellation.js';
import {createIdleTimer, type IdleTimer} from './idle-timer.js';
import {type StopSignal} from './stop-signal.js';

export type PumpEnd =
	/** All bytes that the framing promises have arrived. */
	| 'complete'
	/** Complete, but smaller than the route expects; nothing was passed on. */
	| 'blank'
	/** The connection ended before the framing said so. */
	| 'cut'
	/** The target sent nothing for too long. */
	| 'stalled'
	/** The target was still sending when the time for the whole answer was up. */
	| 'overdue'
	/** One of the signals, or a caller that takes no bytes. */
	| 'cancelled';

export type PumpOptions = {
	readonly clock: Clock;
	readonly answer: IncomingMessage;
	readonly response: ServerResponse;
	/** Called before the first byte is passed on. */
	readonly begin: () => void;
	/** Bytes of the body to wait for before anything is passed on; 0 where the answer has begun. */
	readonly holdBytes: number;
	/** Smallest complete body, bytes. */
	readonly minBodyBytes: number;
	/** Bytes that the body must have where its framing may say otherwise; undefined for any. */
	readonly exactBytes: number | undefined;
	/** Longest silence of the target, milliseconds. */
	readonly stallTimeout: number;
	/** Milliseconds left for the whole answer; undefined for any time. */
	readonly timeLeft: number | undefined;
	/** Longest time in which the caller takes nothing, milliseconds. */
	readonly callerStallTimeout: number;
	readonly signals: readonly StopSignal[];
	/** Whether only the end of the connection tells the end of the body. */
	readonly endsWithConnection?: boolean;
};

export type PumpResult = {
	readonly end: PumpEnd;
	/** Bytes passed on to the caller. */
	readonly forwardedBytes: number;
};

/** Never rejects. Leaves the answer to be destroyed by the caller of this function. */
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
		/** Most answers fit into the buffers of the connection and never need this timer. */
		let callerTimer: IdleTimer | undefined;
		const cancelTotal =
			options.timeLeft === undefined
				? undefined
				: clock.after(Math.max(0, options.timeLeft), () => {
						// A caller that reads too slowly is no fault of the target.
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
				// While the caller reads slowly, the silence of the target is not its fault.
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
				// Node refuses to write heads that its parser let pass, such as status 099.
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
			// Node's parser takes a reset for the end of a body that has no length.
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

			// Does nothing where the head was refused.
			finish(passedOn < (options.exactBytes ?? 0) ? 'cut' : 'complete');
		}

		function cut(): void {
			finish('cut');
		}

		answer.on('data', receive).on('end', complete).on('close', cut);
		// Without a listener, the error of a cut answer would end the process; 'close' follows it.
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
