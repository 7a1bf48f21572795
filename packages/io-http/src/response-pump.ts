/**
 * Streams the body of a target's response to the caller with back-pressure, and reports how it
 * ended. The head is held back together with the first bytes of the body, so that a response that
 * turns out to be too short or cut early can still be replaced by another attempt.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '@shallotpond/kernel/clock';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {type ByteBudget} from './byte-budget.js';
import {onAbort} from './cancellation.js';
import {createIdleTimer, type IdleTimer} from './idle-timer.js';
import {type AbortSignalLike} from './abort-signal.js';
import {type RepeatedResponseFilter} from './repeated-response-filter.js';

export type PumpEnd =
	/** All bytes that the framing announces have arrived. */
	| 'complete'
	/** Complete, but smaller than the route expects; nothing was forwarded. */
	| 'blank'
	/**
	 * Truncated or unusable: the connection ended before the body did, the body did not have
	 * `exactBytes`, its trailers are malformed, another response followed it so that its end is not
	 * certain, or Node refused to write the head to the caller.
	 */
	| 'cut'
	/** The target sent nothing for `stallTimeout`. */
	| 'stalled'
	/** The time for the whole response was over while the caller did not hold up the target. */
	| 'overdue'
	/**
	 * One of the signals aborted, the caller read nothing for `callerStallTimeout`, or the time for
	 * the whole response was over while the caller held up the target.
	 */
	| 'cancelled';

/** What shows the caller where the body ends. */
export type CallerFraming =
	/** The length that the target declared; chunks if it declared none. */
	| 'default'
	/** Only the end of the connection. */
	| 'none'
	/** A length, bytes; the target did not declare it. */
	| number;

/**
 * Bytes that the operating system takes from the process in one write: the initial send buffer of a
 * connection on Linux is at least this large.
 */
const maxBytesOfOneWrite = 16_384;

export type PumpOptions = {
	readonly clock: Clock;
	readonly targetResponse: IncomingMessage;
	readonly response: ServerResponse;
	/** Called before the first byte is forwarded. */
	readonly begin: (framing: CallerFraming) => void;
	/** Bytes of the body to wait for before anything is forwarded; 0 if the response has begun. */
	readonly holdBytes: number;
	/**
	 * Shared by all responses. If it is used up, the response is forwarded before `holdBytes` have
	 * arrived.
	 */
	readonly holdBudget: ByteBudget;
	/** Minimum bytes of a complete body; checked if the body ends before anything is forwarded. */
	readonly minBodyBytes: number;
	/** Bytes that the body must have, whatever its framing says; undefined for any number. */
	readonly exactBytes: number | undefined;
	/** Maximum silence of the target, milliseconds. */
	readonly stallTimeout: number;
	/** Milliseconds left for the whole response; undefined for no limit. */
	readonly timeLeft: number | undefined;
	/** Maximum time in which the caller reads nothing, milliseconds. */
	readonly callerStallTimeout: number;
	readonly signals: readonly AbortSignalLike[];
	/** Set if only the end of the connection marks the end of the body. */
	readonly unframed?: {
		/** Undefined where responses repeat no id by which another one could be recognized. */
		readonly filter: RepeatedResponseFilter | undefined;
		/** Whether the connection was reset; called when it has ended. */
		readonly wasReset: () => boolean;
	};
};

export type PumpResult = {
	readonly end: PumpEnd;
	/** Bytes forwarded to the caller. */
	readonly forwardedBytes: number;
};

/** Never rejects. The caller of this function destroys the target's response if necessary. */
export async function pumpResponse(options: PumpOptions): Promise<PumpResult> {
	const {clock, targetResponse, response, unframed, exactBytes = Infinity} = options;
	return new Promise(resolve => {
		const heldChunks: Uint8Array[] = [];
		let heldBytes = 0;
		/** Held bytes that were taken from the budget. */
		let budgetedBytes = 0;
		let forwardedBytes = 0;
		let hasBegun = false;
		let isFinished = false;
		const targetTimer = createIdleTimer(clock, options.stallTimeout, () => {
			finish('stalled');
		});
		/** Created on first use: most responses fit into the buffers of the connection. */
		let callerTimer: IdleTimer | undefined;
		const cancelTotalTimer =
			options.timeLeft === undefined
				? undefined
				: clock.after(Math.max(0, options.timeLeft), () => {
						// If the caller reads too slowly, the target is not at fault.
						finish(targetResponse.isPaused() ? 'cancelled' : 'overdue');
					});
		let stopListening: () => void = () => undefined;

		function finish(end: PumpEnd): void {
			if (isFinished) {
				return;
			}

			isFinished = true;
			targetTimer.stop();
			callerTimer?.stop();
			cancelTotalTimer?.();
			stopListening();
			releaseBudget();
			targetResponse.off('data', handleData).off('end', handleEnd).off('close', handleClose);
			response.off('drain', handleDrain);
			resolve({end, forwardedBytes});
		}

		function releaseBudget(): void {
			options.holdBudget.release(budgetedBytes);
			budgetedBytes = 0;
		}

		function startCallerTimer(): void {
			if (callerTimer !== undefined) {
				callerTimer.touch();
				return;
			}

			callerTimer = createIdleTimer(clock, options.callerStallTimeout, () => {
				finish('cancelled');
			});
		}

		function forward(chunk: Uint8Array): void {
			forwardedBytes += chunk.length;
			if (!response.write(chunk)) {
				// While the caller reads slowly, the target is not at fault for its silence.
				targetResponse.pause();
				targetTimer.suspend();
				startCallerTimer();
			}
		}

		function begin(framing: CallerFraming): void {
			hasBegun = true;
			try {
				options.begin(framing);
			} catch {
				// Node refuses to write some heads that its parser accepts, such as status code 099.
				finish('cut');
				return;
			}

			if (heldBytes > 0) {
				forward(heldChunks.length === 1 ? heldChunks[0]! : Buffer.concat(heldChunks, heldBytes));
				heldChunks.length = 0;
			}

			releaseBudget();
		}

		function takeBody(chunk: Uint8Array): void {
			if (forwardedBytes + chunk.length > exactBytes) {
				finish('cut');
				return;
			}

			if (hasBegun) {
				forward(chunk);
				return;
			}

			heldChunks.push(chunk);
			heldBytes += chunk.length;
			const isBudgeted = options.holdBudget.take(chunk.length);
			budgetedBytes += isBudgeted ? chunk.length : 0;
			// A body below the minimum is held in any case, because it must not be forwarded.
			if (heldBytes >= options.holdBytes || (!isBudgeted && heldBytes >= options.minBodyBytes)) {
				begin('default');
			}
		}

		function handleData(chunk: Uint8Array): void {
			targetTimer.touch();
			const bytes = unframed?.filter === undefined ? chunk : unframed.filter.push(chunk);
			if (bytes.length > 0) {
				takeBody(bytes);
			}
		}

		/**
		 * Takes the rest of a body that ended with its connection. Returns whether the bytes of the body
		 * are certain; finishes the response if it is not usable.
		 */
		function endUnframedBody(): boolean {
			if (unframed?.wasReset() === true) {
				finish('cut');
				return false;
			}

			if (unframed?.filter === undefined) {
				return false;
			}

			const {rest, content} = unframed.filter.end();
			if (content === 'mixed') {
				finish('cut');
			} else if (rest.length > 0) {
				takeBody(rest);
			}

			return content === 'repeated';
		}

		/**
		 * Framing for a body that has been held until its end. Without one, the connections of a killed
		 * process end as after a whole body. A short body is in the hands of the operating system by
		 * then, so it gets no framing, which would claim more than the end of the target's connection.
		 */
		function framingOfHeldBody(isBodyCertain: boolean): CallerFraming {
			if (unframed === undefined) {
				return 'default';
			}

			return isBodyCertain || heldBytes > maxBytesOfOneWrite ? heldBytes : 'none';
		}

		function handleDrain(): void {
			callerTimer?.suspend();
			targetTimer.touch();
			targetResponse.resume();
		}

		function handleEnd(): void {
			const areTrailersValid = checkHeaderSyntax(targetResponse.rawTrailers) === 'valid';
			if (!targetResponse.complete || !areTrailersValid) {
				finish('cut');
				return;
			}

			const isBodyCertain = endUnframedBody();
			if (isFinished) {
				return;
			}

			if (!hasBegun) {
				if (heldBytes < options.minBodyBytes) {
					finish('blank');
					return;
				}

				begin(framingOfHeldBody(isBodyCertain));
			}

			// If `begin` failed, it has already called `finish`, and this call does nothing.
			finish(forwardedBytes < (options.exactBytes ?? 0) ? 'cut' : 'complete');
		}

		function handleClose(): void {
			finish('cut');
		}

		targetResponse.on('data', handleData).on('end', handleEnd).on('close', handleClose);
		// Without a listener, the error of a cut response would end the process; 'close' follows it.
		targetResponse.on('error', () => undefined);
		response.on('drain', handleDrain);
		stopListening = onAbort(options.signals, () => {
			finish('cancelled');
		});
		if (targetResponse.destroyed && !targetResponse.complete) {
			finish('cut');
		}
	});
}
