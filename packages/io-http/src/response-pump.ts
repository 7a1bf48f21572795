/**
 * Streams the body of a target's response to the caller with back-pressure, and reports how it
 * ended. The head is held back together with the first bytes of the body, so that a response that
 * turns out to be too short or cut early can still be replaced by another attempt.
 *
 * A response whose turn on its connection has not begun is held back altogether: a failure can be
 * replaced until then, and its target need not wait for the responses before it.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {nextTick} from 'node:process';
import {type Clock} from '@shallotpond/kernel/clock';
import {checkHeaderSyntax} from '@shallotpond/kernel/header-syntax';
import {type ByteBudget} from './byte-budget.js';
import {onAbort} from './cancellation.js';
import {createChunkCollector} from './chunk-collector.js';
import {createIdleTimer, type IdleTimer} from './idle-timer.js';
import {type AbortSignalLike} from './abort-signal.js';
import {type RepeatedResponseFilter} from './repeated-response-filter.js';
import {type ResponseTurn} from './response-order.js';

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
	/** The time for the whole response was over while nothing held up the target. */
	| 'overdue'
	/**
	 * The time for the whole response was over while the response waited for its turn and, for want
	 * of memory, held up the target.
	 */
	| 'expired'
	/**
	 * One of the signals aborted, the caller is gone or read nothing for `callerStallTimeout`, or the
	 * time for the whole response was over while the caller held up the target.
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
/** Bytes from which a chunk is written by itself; smaller ones that are parsed together are joined. */
const minBytesOfOneWrite = 4096;
/** Estimated bytes of the objects that hold one write to the caller, besides what is written. */
const writeCost = 512;

export type PumpOptions = {
	readonly clock: Clock;
	readonly targetResponse: IncomingMessage;
	readonly response: ServerResponse;
	readonly turn: Pick<ResponseTurn, 'hasBegun' | 'isLast' | 'onBegin' | 'onEnd'>;
	/** Called before the first byte is forwarded, with whether the rest has yet to arrive. */
	readonly begin: (framing: CallerFraming, isPartial: boolean) => void;
	/** Bytes of the body to wait for before anything is forwarded; 0 if the response has begun. */
	readonly holdBytes: number;
	/** The same while there are later responses on the connection, which a cut would take along. */
	readonly holdBytesBeforeOthers: number;
	/**
	 * Shared by all responses. If it is used up, the response is forwarded before `holdBytes` have
	 * arrived.
	 */
	readonly holdBudget: ByteBudget;
	/**
	 * Shared by all responses that wait for their turn or for their callers. If it is used up, they
	 * hold up their targets.
	 */
	readonly queueBudget: ByteBudget;
	/**
	 * Maximum bytes that are read ahead of the caller once the response has begun, so that a slow
	 * caller does not hold up the target.
	 */
	readonly maxAheadBytes: number;
	/** Called with the bytes that begin to wait for the turn, or cease to if negative. */
	readonly onQueuedChange: (bytes: number) => void;
	/**
	 * Called when the whole response has arrived, so that its target is done. The response may still
	 * have to wait for its turn.
	 */
	readonly onReceived: () => void;
	/** Minimum bytes of a complete body; checked if the body ends before anything is forwarded. */
	readonly minBodyBytes: number;
	/** Bytes that the body must have, whatever its framing says; undefined for any number. */
	readonly exactBytes: number | undefined;
	/** Maximum silence of the target, milliseconds. */
	readonly stallTimeout: number;
	/**
	 * Milliseconds in which the whole response must arrive, also if the caller holds up the target;
	 * undefined for no limit.
	 */
	readonly timeLeft: number | undefined;
	/** Maximum time in which the caller reads nothing, milliseconds. */
	readonly callerStallTimeout: number;
	/** Have no effect once the whole response has arrived. */
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
	const {clock, targetResponse, response, turn, unframed, exactBytes = Infinity} = options;
	return new Promise(resolve => {
		/** What is held back. */
		const held = createChunkCollector();
		/** Small chunks that are about to be written to the caller, joined. */
		const unwritten = createChunkCollector();
		/** Estimated bytes of memory taken from each budget. */
		const taken = {hold: 0, queue: 0};
		/** Bytes forwarded ahead of the caller since it last had read all. */
		let aheadBytes = 0;
		/** Cost of what waits for the turn, whether the budget had room for it or not. */
		let queuedCost = 0;
		let isHoldBudgetUsedUp = false;
		let forwardedBytes = 0;
		let hasBegun = false;
		let isReceived = false;
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
						if (targetResponse.isPaused()) {
							// The target is not at fault.
							finish(hasBegun ? 'cancelled' : 'expired');
						} else {
							finish('overdue');
						}
					});
		let stopListening: () => void = () => undefined;

		/** Ends what depends on the target: timers, signals and events. */
		function leaveTarget(): void {
			targetTimer.stop();
			cancelTotalTimer?.();
			stopListening();
			targetResponse.off('data', handleData).off('end', handleEnd).off('close', handleClose);
		}

		function finish(end: PumpEnd): void {
			if (isFinished) {
				return;
			}

			if (hasBegun) {
				writeOut();
			}

			isFinished = true;
			leaveTarget();
			callerTimer?.stop();
			releaseHeld();
			if (!hasBegun) {
				releaseQueue();
			}

			response.off('drain', handleDrain);
			resolve({end, forwardedBytes});
		}

		/** To be called when nothing waits for the turn or the caller any more. */
		function releaseQueue(): void {
			options.queueBudget.release(taken.queue);
			taken.queue = 0;
			aheadBytes = 0;
		}

		/** To be called when the held bytes have been forwarded or are not needed. */
		function releaseHeld(): void {
			options.holdBudget.release(taken.hold);
			options.onQueuedChange(-queuedCost);
			taken.hold = 0;
			queuedCost = 0;
			held.clear();
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

		/** Stops reading from the target, which is then not at fault for its silence. */
		function holdUpTarget(): void {
			targetResponse.pause();
			targetTimer.suspend();
		}

		function readOn(): void {
			targetTimer.touch();
			targetResponse.resume();
		}

		function takeFromQueue(bytes: number): boolean {
			const isTaken = options.queueBudget.take(bytes);
			taken.queue += isTaken ? bytes : 0;
			return isTaken;
		}

		/** Whether the bytes, which the caller does not read yet, may wait for it in memory. */
		function mayReadAhead(bytes: number): boolean {
			aheadBytes += bytes;
			return aheadBytes <= options.maxAheadBytes && takeFromQueue(bytes + writeCost);
		}

		function write(bytes: Uint8Array): void {
			forwardedBytes += bytes.length;
			if (!response.write(bytes) && !mayReadAhead(bytes.length)) {
				holdUpTarget();
				startCallerTimer();
			}
		}

		function writeOut(): void {
			if (unwritten.bytes > 0) {
				write(unwritten.take());
			}
		}

		/** Small chunks that are parsed at the same time are written together. */
		function forward(chunk: Uint8Array): void {
			if (chunk.length >= minBytesOfOneWrite) {
				writeOut();
				write(chunk);
				return;
			}

			if (unwritten.bytes === 0) {
				nextTick(writeOut);
			}

			unwritten.push(chunk);
			if (unwritten.bytes >= maxBytesOfOneWrite) {
				writeOut();
			}
		}

		function begin(framing: CallerFraming): void {
			hasBegun = true;
			try {
				options.begin(framing, !isReceived);
			} catch {
				// Node refuses to write some heads that its parser accepts, such as status code 099.
				finish('cut');
				return;
			}

			const body = held.take();
			releaseHeld();
			releaseQueue();
			if (body.length > 0) {
				write(body);
			}
		}

		function hold(chunk: Uint8Array): void {
			const costBefore = held.cost;
			held.push(chunk);
			const cost = held.cost - costBefore;
			if (turn.hasBegun) {
				const isBudgeted = options.holdBudget.take(cost);
				taken.hold += isBudgeted ? cost : 0;
				isHoldBudgetUsedUp ||= !isBudgeted;
				return;
			}

			queuedCost += cost;
			options.onQueuedChange(cost);
			if (!takeFromQueue(cost)) {
				holdUpTarget();
			}
		}

		/** Bytes of the body that have arrived. */
		const receivedBytes = () => forwardedBytes + unwritten.bytes + held.bytes;

		/** Begins to forward the response if enough of it has arrived. */
		function tryBegin(): void {
			// A body below the minimum is held in any case, because it must not be forwarded.
			const holdBytes = turn.isLast ? options.holdBytes : options.holdBytesBeforeOthers;
			const isEnough =
				held.bytes >= holdBytes || (isHoldBudgetUsedUp && held.bytes >= options.minBodyBytes);
			if (turn.hasBegun && held.bytes > 0 && isEnough) {
				begin('default');
			}
		}

		function takeBody(chunk: Uint8Array): void {
			if (receivedBytes() + chunk.length > exactBytes) {
				finish('cut');
			} else if (hasBegun) {
				forward(chunk);
			} else {
				hold(chunk);
				tryBegin();
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
		 * It gets one before other responses, which would be lost with the end of the connection.
		 */
		function framingOfHeldBody(isBodyCertain: boolean): CallerFraming {
			if (unframed === undefined) {
				return 'default';
			}

			const needsLength = isBodyCertain || held.bytes > maxBytesOfOneWrite || !turn.isLast;
			return needsLength ? held.bytes : 'none';
		}

		function handleDrain(): void {
			callerTimer?.suspend();
			releaseQueue();
			readOn();
		}

		function handleTurn(): void {
			if (isReceived || isFinished) {
				return;
			}

			if (targetResponse.isPaused()) {
				readOn();
			}

			tryBegin();
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

			if (receivedBytes() < (options.exactBytes ?? 0)) {
				finish('cut');
			} else if (!hasBegun && held.bytes < options.minBodyBytes) {
				finish('blank');
			} else {
				deliver(isBodyCertain);
			}
		}

		/** Forwards what is left of a whole response as soon as its turn has begun. */
		function deliver(isBodyCertain: boolean): void {
			isReceived = true;
			leaveTarget();
			options.onReceived();
			turn.onBegin(() => {
				if (!hasBegun && !isFinished) {
					begin(framingOfHeldBody(isBodyCertain));
				}

				// If `begin` failed, it has already called `finish`, and this call does nothing.
				finish('complete');
			});
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
		turn.onEnd(() => {
			finish('cancelled');
			releaseQueue();
		});
		if (!turn.hasBegun) {
			turn.onBegin(handleTurn);
		}

		if (targetResponse.destroyed && !targetResponse.complete) {
			finish('cut');
		}
	});
}
