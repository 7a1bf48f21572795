/**
 * Guards the race between two attempts of one request: a caller would get parts of two responses, a
 * failing attempt would end a request that the other one serves, the cancelled attempt would keep
 * its slot, its connection or its target busy, or a request would reach more targets than its route
 * allows.
 */
import {afterEach, describe, expect, test} from '@jest/globals';
import {type HedgeEnd, type RequestPolicy, type SlotGrant} from '../request-policy.js';
import {createFixture, problemOf, send, waitUntil, type Fixture} from './support.js';

/** Milliseconds; the clock of the fixture runs twice as fast as real time. */
const hedgeDelay = 100;

type HedgingFixture = Fixture & {readonly ends: HedgeEnd[]; hedgesAsked: () => number};

describe('hedged requests', () => {
	let fixture: HedgingFixture;

	afterEach(async () => {
		await fixture.stop();
		// Whatever happened, no slot is held and nothing failed unexpectedly.
		expect(fixture.state.openGrants).toBe(0);
		expect(fixture.state.internalErrors).toEqual([]);
	});

	async function start(options: {
		readonly targets?: number;
		readonly attempts?: number;
		readonly retries?: number;
		readonly isRefused?: boolean;
		readonly silenceTimeout?: number;
		readonly policy?: Partial<RequestPolicy>;
	}): Promise<void> {
		const {targets = 2, attempts = 3, isRefused = false, silenceTimeout} = options;
		const ends: HedgeEnd[] = [];
		let asked = 0;
		const createGrant = (excluded: readonly string[]): SlotGrant | undefined => {
			const {targets: listed} = fixture.state.tables!.document.services.roster!;
			const target = listed.find(({id}) => !excluded.includes(id));
			if (target === undefined) {
				return undefined;
			}

			fixture.state.openGrants++;
			return {
				kind: 'granted',
				target,
				signal: new AbortController().signal,
				keepsConnection: true,
				silenceTimeout,
				isInForce: () => true,
				release(outcome) {
					fixture.state.openGrants--;
					fixture.state.outcomes.push({...outcome, target: target.id});
				},
			};
		};

		const base = await createFixture({
			targets,
			routes: [{id: 'main', pathPrefix: '/', service: 'roster', timeout: 3000, attempts}],
			listener: {limits: {maxAttempts: 3}},
			policy: {
				acquireSlot: async ({excludedTargets}) =>
					createGrant(excludedTargets) ?? {
						kind: 'refused',
						code: 'no-target',
						status: 503,
						detail: 'No target is left',
						runState: 'not-run',
					},
				hedging: {
					delay: () => hedgeDelay,
					acquire({excludedTargets}) {
						asked++;
						const grant = isRefused ? undefined : createGrant(excludedTargets);
						return grant ?? {kind: 'refused', reason: 'hedge-limit'};
					},
					recordEnd: (_service, end) => void ends.push(end),
				},
				...options.policy,
			},
		});
		fixture = {...base, ends, hedgesAsked: () => asked};
		fixture.state.retries = options.retries ?? 0;
	}

	function outcomesOf(target: string) {
		return fixture.state.outcomes.filter(outcome => outcome.target === target);
	}

	test('the response of the second target goes to the caller, and the first attempt is cancelled', async () => {
		await start({});
		fixture.targets[0]!.setBehaviour({kind: 'stall'});
		fixture.targets[1]!.setBehaviour({kind: 'answer', body: 'second'});
		expect(await send(fixture)).toMatchObject({status: 200, body: 'second', error: undefined});
		await waitUntil(() => fixture.targets[0]!.requests[0]!.isAborted);
		await waitUntil(() => fixture.targets[0]!.openConnections === 0);
		expect(outcomesOf('t0')).toMatchObject([{result: 'cancelled', hasLostRace: true}]);
		expect(outcomesOf('t1')).toMatchObject([{result: 'ok'}]);
		expect(outcomesOf('t1')[0]).not.toHaveProperty('hasLostRace');
		expect(fixture.ends).toEqual(['won']);
	});

	test('the response of the first target goes to the caller, and the hedge is cancelled', async () => {
		await start({});
		fixture.targets[0]!.setBehaviour({kind: 'wait'});
		fixture.targets[1]!.setBehaviour({kind: 'stall'});
		const response = send(fixture);
		await waitUntil(() => fixture.targets[1]!.requests.length === 1);
		fixture.targets[0]!.releaseWaitingRequests();
		expect(await response).toMatchObject({status: 200});
		await waitUntil(() => fixture.targets[1]!.requests[0]!.isAborted);
		expect(outcomesOf('t1')).toMatchObject([{result: 'cancelled', hasLostRace: true}]);
		expect(fixture.ends).toEqual(['cancelled']);
	});

	test('a request that is answered in time is not hedged', async () => {
		await start({});
		expect(await send(fixture)).toMatchObject({status: 200});
		fixture.clock.advance(2 * hedgeDelay);
		expect(fixture.hedgesAsked()).toBe(0);
		expect(fixture.received()).toHaveLength(1);
	});

	test.each([
		['sheds the request', {kind: 'shed'}, 'shed'],
		['fails', {kind: 'answer', status: 500, body: 'broken'}, 'error'],
		['breaks the connection', {kind: 'crash'}, 'connection-broken'],
	] as const)(
		'a hedge whose target %s does not end the request',
		async (_name, behaviour, result) => {
			await start({});
			fixture.targets[0]!.setBehaviour({kind: 'wait'});
			fixture.targets[1]!.setBehaviour(behaviour);
			const response = send(fixture);
			await waitUntil(() => outcomesOf('t1').length === 1);
			expect(outcomesOf('t1')).toMatchObject([{result}]);
			await waitUntil(() => result !== 'connection-broken' || fixture.state.crashes.length === 1);
			fixture.targets[0]!.releaseWaitingRequests();
			expect(await response).toMatchObject({status: 200});
			expect(fixture.ends).toEqual(['failed']);
		},
	);

	test('a first attempt that fails after the hedge has started leaves the request to the hedge', async () => {
		await start({});
		fixture.targets[0]!.setBehaviour({kind: 'stall'});
		fixture.targets[1]!.setBehaviour({kind: 'wait'});
		const response = send(fixture);
		await waitUntil(() => fixture.targets[1]!.requests.length === 1);
		fixture.targets[0]!.requests[0]!.socket.destroy();
		await waitUntil(() => outcomesOf('t0').length === 1);
		fixture.targets[1]!.releaseWaitingRequests();
		expect(await response).toMatchObject({status: 200});
		expect(outcomesOf('t0')).toMatchObject([{result: 'connection-broken'}]);
		expect(fixture.ends).toEqual(['won']);
	});

	test('if both fail, the caller gets one problem that says what is known of both', async () => {
		await start({});
		fixture.targets[0]!.setBehaviour({kind: 'stall'});
		fixture.targets[1]!.setBehaviour({kind: 'shed'});
		const response = send(fixture);
		await waitUntil(() => outcomesOf('t1').length === 1);
		fixture.targets[0]!.requests[0]!.socket.destroy();
		// The hedge proves that it did not run, but the first attempt may have.
		expect(problemOf(await response)).toEqual({code: 'connection-broken', outcome: 'may-have-run'});
		expect(fixture.received()).toHaveLength(2);
	});

	test('if both fail, a retry goes to a third target', async () => {
		await start({targets: 3, retries: 1});
		fixture.targets[0]!.setBehaviour({kind: 'wait'});
		fixture.targets[1]!.setBehaviour({kind: 'shed'});
		const response = send(fixture);
		await waitUntil(() => outcomesOf('t1').length === 1);
		fixture.targets[0]!.requests[0]!.socket.destroy();
		expect(await response).toMatchObject({status: 200});
		expect(fixture.targets.map(({requests}) => requests.length)).toEqual([1, 1, 1]);
		expect(fixture.state.retries).toBe(0);
	});

	test('a first attempt that stays silent after its hedge failed is replaced as without a hedge', async () => {
		await start({targets: 3, retries: 1, silenceTimeout: 600});
		fixture.targets[0]!.setBehaviour({kind: 'stall'});
		fixture.targets[1]!.setBehaviour({kind: 'stall'});
		const response = send(fixture);
		await waitUntil(() => fixture.targets[1]!.requests.length === 1);
		const at = fixture.clock.monotonic();
		await waitUntil(() => fixture.clock.monotonic() > at + 600);
		fixture.targets[1]!.requests[0]!.socket.destroy();
		expect(await response).toMatchObject({status: 200});
		expect(outcomesOf('t0')).toMatchObject([{result: 'timeout'}]);
		expect(fixture.targets[2]!.requests).toHaveLength(1);
	});

	test('a hedge is one of the attempts that the route allows', async () => {
		await start({targets: 3, attempts: 2, retries: 5});
		fixture.targets[0]!.setBehaviour({kind: 'wait'});
		fixture.targets[1]!.setBehaviour({kind: 'shed'});
		const response = send(fixture);
		await waitUntil(() => outcomesOf('t1').length === 1);
		fixture.targets[0]!.requests[0]!.socket.destroy();
		expect(await response).toMatchObject({status: 502});
		expect(fixture.targets[2]!.requests).toHaveLength(0);
	});

	test.each([
		['a route of one attempt', {attempts: 1}, 'GET'],
		['a request that must not run twice', {}, 'POST'],
	])('%s is not hedged', async (_name, options, method) => {
		await start(options);
		fixture.targets[0]!.setBehaviour({kind: 'wait'});
		const response = send(fixture, {method});
		await waitUntil(() => fixture.targets[0]!.requests.length === 1);
		fixture.clock.advance(3 * hedgeDelay);
		fixture.targets[0]!.releaseWaitingRequests();
		expect(await response).toMatchObject({status: 200});
		expect(fixture.hedgesAsked()).toBe(0);
	});

	test('a refused hedge leaves the first attempt as it is', async () => {
		await start({isRefused: true});
		fixture.targets[0]!.setBehaviour({kind: 'wait'});
		const response = send(fixture);
		await waitUntil(() => fixture.hedgesAsked() === 1);
		fixture.targets[0]!.releaseWaitingRequests();
		expect(await response).toMatchObject({status: 200});
		expect(fixture.targets[1]!.requests).toHaveLength(0);
		expect(fixture.ends).toEqual([]);
	});

	test('a caller that leaves cancels both attempts', async () => {
		await start({});
		for (const target of fixture.targets) {
			target.setBehaviour({kind: 'stall'});
		}

		const controller = new AbortController();
		const response = send(fixture, {signal: controller.signal});
		await waitUntil(() => fixture.targets[1]!.requests.length === 1);
		controller.abort();
		await response;
		await waitUntil(() => fixture.received().every(({isAborted}) => isAborted));
		await waitUntil(() => fixture.state.openGrants === 0);
	});

	test('an unexpected error in one attempt cancels the other', async () => {
		await start({
			policy: {
				acquireAttemptPermit: async () => ({
					kind: 'allowed',
					async reportCrash() {
						throw new Error('cannot record the crash');
					},
					finish: () => undefined,
				}),
			},
		});
		for (const target of fixture.targets) {
			target.setBehaviour({kind: 'stall'});
		}

		const response = send(fixture);
		await waitUntil(() => fixture.targets[1]!.requests.length === 1);
		fixture.targets[1]!.crash();
		expect(await response).toMatchObject({status: 500});
		await waitUntil(() => fixture.received().every(({isAborted}) => isAborted));
		expect(fixture.state.internalErrors.splice(0)).toHaveLength(1);
	});

	test('a large body comes whole from the winner only', async () => {
		await start({});
		fixture.targets[0]!.setBehaviour({kind: 'wait'});
		fixture.targets[1]!.setBehaviour({kind: 'file', size: 3_000_000});
		const response = await send(fixture);
		expect(response).toMatchObject({status: 200, error: undefined});
		expect(response.headers['content-length']).toBe('3000000');
		expect(fixture.state.outcomes.map(({target, result}) => [target, result])).toEqual(
			expect.arrayContaining([
				['t0', 'cancelled'],
				['t1', 'ok'],
			]),
		);
	});

	test('a download that breaks off at the winner goes on at a target that was not used', async () => {
		await start({targets: 3, retries: 1});
		const file = {kind: 'file', size: 900_000} as const;
		fixture.targets[0]!.setBehaviour({kind: 'stall'});
		fixture.targets[1]!.setBehaviour({...file, stopAfter: 700_000, stopWith: 'cut'});
		fixture.targets[2]!.setBehaviour(file);
		let bytes = 0;
		const response = await send(fixture, {
			onData(text) {
				bytes += text.length;
			},
		});
		expect(response).toMatchObject({status: 200, error: undefined});
		expect(bytes).toBeGreaterThan(0);
		expect(response.headers['content-length']).toBe('900000');
		expect(fixture.targets.map(({requests}) => requests.length)).toEqual([1, 1, 1]);
	});
});
