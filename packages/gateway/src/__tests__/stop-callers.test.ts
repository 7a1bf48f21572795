/**
 * Guards against a stop that takes requests which it cuts when the process ends, against one that
 * refuses callers before the load balancer has noticed the stop, and against one that outlasts its
 * limit.
 */
import {expect, test} from '@jest/globals';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {stopCallers} from '../stop-callers.js';

/** Callers whose requests take `requestTime`; one arrives every 10 ms and is taken where possible. */
function createCallers(requestTime: number, timeout: number) {
	const clock = createManualClock();
	const startedAt = clock.monotonic();
	const active = new Set<() => void>();
	const state = {
		lastTakenAt: 0,
		refusedFrom: undefined as number | undefined,
		isListening: true,
		cut: 0,
		abandonedAt: undefined as number | undefined,
	};
	let latestDeadline = Number.POSITIVE_INFINITY;
	const now = () => clock.monotonic() - startedAt;

	function receive(): void {
		if (!state.isListening) {
			return;
		}

		if (clock.monotonic() + timeout > latestDeadline) {
			state.refusedFrom ??= now();
			return;
		}

		state.lastTakenAt = now();
		const cancel = clock.after(requestTime, () => active.delete(cancel));
		active.add(cancel);
	}

	const callers = {
		get activeRequests() {
			return active.size;
		},
		beginLeaving: () => undefined,
		refuseBeyond(deadline: number) {
			latestDeadline = deadline;
		},
		closeIdle: () => undefined,
		stopListening() {
			state.isListening = false;
		},
		async abandonRequests() {
			state.cut = active.size;
			state.abandonedAt = now();
		},
	};
	return {clock, callers, state, receive};
}

async function run(requestTime: number, timeout: number, stopLimit = 6000) {
	const {clock, callers, state, receive} = createCallers(requestTime, timeout);
	const stopped = stopCallers({clock, callers, stopLimit});
	for (let time = 0; time < stopLimit; time += 10) {
		receive();
		clock.advance(10);
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}

	await stopped;
	return state;
}

test('requests that arrive all the time are taken for 3 s, then refused, and none is cut', async () => {
	const state = await run(1000, 3000);
	expect(state.lastTakenAt).toBeGreaterThan(2900);
	expect(state.lastTakenAt).toBeLessThanOrEqual(3000);
	expect(state.refusedFrom).toBeLessThanOrEqual(3010);
	expect(state.cut).toBe(0);
	// The process ends as soon as the last of them is done.
	expect(state.abandonedAt).toBeLessThan(4400);
});

test('requests whose own deadline comes early enough are taken for longer', async () => {
	const state = await run(700, 800);
	expect(state.lastTakenAt).toBeGreaterThan(4500);
	expect(state.lastTakenAt).toBeLessThanOrEqual(4700);
	expect(state.cut).toBe(0);
});

test('a longer stop limit does not make the instance take long requests for longer', async () => {
	const state = await run(1000, 15_000, 10_000);
	expect(state.lastTakenAt).toBeGreaterThan(2900);
	expect(state.lastTakenAt).toBeLessThanOrEqual(3000);
	expect(state.cut).toBe(0);
});

test('a request that takes too long ends with the stop limit', async () => {
	const state = await run(10_000, 10_000);
	expect(state.cut).toBeGreaterThan(0);
	expect(state.abandonedAt).toBeGreaterThan(5400);
	expect(state.abandonedAt).toBeLessThan(5700);
});
