/**
 * A delay on an injected clock, so that tests can control the time.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {PlatformError} from './platform-error.js';

/** Resolves after `delay` milliseconds; rejects with `stopped` when the signal is aborted. */
export async function sleep(clock: Clock, delay: number, signal: AbortSignal): Promise<void> {
	let abort: () => void = () => undefined;
	try {
		await new Promise<void>((resolve, reject) => {
			const cancel = clock.after(delay, resolve);
			abort = () => {
				cancel();
				reject(new PlatformError('stopped', 'the wait was stopped'));
			};

			signal.addEventListener('abort', abort, {once: true});
			if (signal.aborted) {
				abort();
			}
		});
	} finally {
		signal.removeEventListener('abort', abort);
	}
}
