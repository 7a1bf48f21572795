/**
 * The loop of a platform client: it calls, waits and calls again until it is stopped. Failures are
 * reported to a callback and never end the loop.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {toPlatformError, type PlatformError} from './platform-error.js';
import {sleep} from './sleep.js';

export type CallLoopOptions = {
	readonly clock: Clock;
	/** Makes one call and handles its response. */
	readonly call: (signal: AbortSignal) => Promise<void>;
	/** Milliseconds until the next call; `failures` counts consecutive failures. */
	readonly delayAfter: (failures: number) => number;
	readonly onFailure: (error: PlatformError) => void;
};

export type CallLoopStatus = {
	/** Time of the last successful call, in monotonic milliseconds. */
	readonly lastContact: number | undefined;
	/** Failures since the last success. */
	readonly consecutiveFailures: number;
	/** Failures since the start. */
	readonly failures: number;
	readonly lastError: PlatformError | undefined;
};

export type CallLoop = {
	start(): void;
	/** Ends the current call and resolves when the loop has ended. */
	stop(): Promise<void>;
	/** Ends the current delay, so that the next call begins now. Does nothing during a call. */
	wake(): void;
	readonly status: CallLoopStatus;
};

export function createCallLoop({clock, call, delayAfter, onFailure}: CallLoopOptions): CallLoop {
	const stopController = new AbortController();
	let delayController = new AbortController();
	let ended: Promise<void> = Promise.resolve();
	let isStarted = false;
	let lastContact: number | undefined;
	let consecutiveFailures = 0;
	let failures = 0;
	let lastError: PlatformError | undefined;

	function recordFailure(error: unknown): void {
		if (stopController.signal.aborted) {
			return;
		}

		consecutiveFailures++;
		failures++;
		lastError = toPlatformError(error, 'handler-failed');
		try {
			onFailure(lastError);
		} catch (handlerError) {
			// An exception from the callback must not end the loop; it stays visible as `lastError` in
			// the status.
			lastError = toPlatformError(handlerError, 'handler-failed');
		}
	}

	async function callOnce(): Promise<void> {
		try {
			await call(stopController.signal);
			lastContact = clock.monotonic();
			consecutiveFailures = 0;
		} catch (error) {
			recordFailure(error);
		}
	}

	async function pause(): Promise<void> {
		delayController = new AbortController();
		const delay = delayAfter(consecutiveFailures);
		if (delay === 0 || stopController.signal.aborted) {
			return;
		}

		try {
			await sleep(clock, delay, delayController.signal);
		} catch {
			// `wake` or `stop` ended the delay early.
		}
	}

	async function run(): Promise<void> {
		while (!stopController.signal.aborted) {
			await callOnce();
			await pause();
		}
	}

	return {
		start() {
			if (!isStarted) {
				isStarted = true;
				ended = run();
			}
		},
		async stop() {
			stopController.abort();
			delayController.abort();
			await ended;
		},
		wake() {
			delayController.abort();
		},
		get status() {
			return {lastContact, consecutiveFailures, failures, lastError};
		},
	};
}
