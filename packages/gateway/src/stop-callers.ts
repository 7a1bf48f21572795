/**
 * Ends the service for callers within the stop limit, so that no request that was passed on to a
 * target ends without its response. First the instance serves as before, because the load balancer
 * still sends callers to it. Then it takes only requests whose deadline lies before its own end, and
 * refuses the others, which another instance can serve. Once nothing is in progress, it stops
 * listening and refuses what is still under way to it.
 */
import {type CallerListener} from '@shallotpond/io-http/caller-listener';
import {type Clock} from '@shallotpond/kernel/clock';

export type StopCallersOptions = {
	readonly clock: Clock;
	readonly callers: Pick<
		CallerListener,
		| 'activeRequests'
		| 'beginLeaving'
		| 'refuseBeyond'
		| 'closeIdle'
		| 'stopListening'
		| 'abandonRequests'
	>;
	/** Milliseconds from now until the process must have ended. */
	readonly stopLimit: number;
};

/**
 * Time for which a stopping instance takes every request, or half of the stop limit if that is
 * shorter. The load balancer needs two failed health checks, one second apart, before it stops
 * sending callers to the instance. A request that is taken later must not be cut at the limit, also
 * if it takes long.
 */
const acceptPeriodMs = 3000;
/** Time before the stop limit at which requests in progress are abandoned. */
const stopReserveMs = 500;
const stopCheckIntervalMs = 50;
/** Time for requests that are under way on open connections when the instance stops listening. */
const lastRequestsMs = 100;

/** Resolves when the process may exit. */
export async function stopCallers({clock, callers, stopLimit}: StopCallersOptions): Promise<void> {
	const deadline = clock.monotonic() + stopLimit - stopReserveMs;

	async function sleep(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			clock.after(milliseconds, resolve);
		});
	}

	async function waitUntilIdle(): Promise<void> {
		while (callers.activeRequests > 0 && clock.monotonic() < deadline) {
			callers.closeIdle();
			await sleep(stopCheckIntervalMs);
		}
	}

	callers.beginLeaving();
	await sleep(Math.min(acceptPeriodMs, stopLimit / 2));
	callers.refuseBeyond(deadline);
	await waitUntilIdle();
	callers.refuseBeyond(Number.NEGATIVE_INFINITY);
	callers.stopListening();
	await sleep(lastRequestsMs);
	await waitUntilIdle();
	await callers.abandonRequests();
}
