/**
 * Cancels one request. The first call of `cancel` aborts `signal` and sets `reason`; later calls do
 * nothing.
 */
import {createLightweightAbortController, type AbortSignalLike} from './abort-signal.js';

export type CancellationReason = 'caller-gone' | 'key-withdrawn' | 'stopped';

export type Cancellation = {
	readonly signal: AbortSignalLike;
	readonly reason: CancellationReason | undefined;
	cancel(reason: CancellationReason): void;
};

export function createCancellation(): Cancellation {
	const controller = createLightweightAbortController();
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
export function onAbort(signals: readonly AbortSignalLike[], callback: () => void): () => void {
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
