/**
 * Cancels one request. `signal` aborts on the first call, whose reason is kept; later calls do
 * nothing.
 */
import {createStopController, type StopSignal} from './stop-signal.js';

export type CancellationReason = 'caller-gone' | 'key-withdrawn' | 'stopped';

export type Cancellation = {
	readonly signal: StopSignal;
	readonly reason: CancellationReason | undefined;
	cancel(reason: CancellationReason): void;
};

export function createCancellation(): Cancellation {
	const controller = createStopController();
	let reason: CancellationReason | undefined;
	return {
		signal: controller.signal,
		get reason() {
			return reason;
		},
		cancel(newReason) {
			if (reason === undefined) {
				reason = newReason;
				controller.abort();
			}
		},
	};
}

/**
 * Calls back once when any of the signals aborts, immediately if one already has. The returned
 * function stops listening.
 */
export function onAbort(signals: readonly StopSignal[], callback: () => void): () => void {
	function stop(): void {
		for (const signal of signals) {
			signal.removeEventListener('abort', handleAbort);
		}
	}

	function handleAbort(): void {
		stop();
		callback();
	}

	if (signals.some(signal => signal.aborted)) {
		callback();
		return () => undefined;
	}

	for (const signal of signals) {
		signal.addEventListener('abort', handleAbort);
	}

	return stop;
}
