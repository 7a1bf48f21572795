/**
 * Guards against wrong conclusions in the selection of targets: a new process has seen no load and
 * would overload cold targets; a target whose connection broke may have restarted and be cold; a
 * timeout may be due to the request and not to its target; a selected target may have been removed
 * since.
 */
import {beforeEach, describe, expect, test} from '@jest/globals';
import {documentSchema} from '@shallotpond/configuration/document-schema';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {type EventFields, type EventName} from '@shallotpond/observability/event-log';
import {
	createTargetDirectory,
	type TargetDirectory,
} from '@shallotpond/policy-routing/target-directory';
import {createTargetEvidence} from '@shallotpond/policy-routing/target-evidence';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type SlotGrant} from '@shallotpond/io-http/request-policy';
import {createRoutingService, type RoutingService} from '../routing-service.js';
import {createFixedConfiguration} from './fixed-configuration.js';

const document = documentSchema.parse({
	version: 1,
	fleet: {maxInstances: 48},
	failureDomains: {north: {}},
	services: {orders: {targets: [], slots: 2, coldRate: 7, coldTime: 3000}},
	routes: [{id: 'orders', pathPrefix: '/', service: 'orders', open: true, latencyObjective: 1200}],
	workspaces: {},
});

describe('routing service', () => {
	let clock: ManualClock;
	let directory: TargetDirectory;
	let routing: RoutingService;
	let events: Array<[EventName, EventFields | undefined]>;

	beforeEach(() => {
		events = [];
		clock = createManualClock({start: 1000});
		directory = createTargetDirectory();
		routing = createRoutingService({
			clock,
			random: createSeededRandom(11),
			log: {
				write(event, fields) {
					events.push([event, fields]);
				},
			},
			failureDomain: 'north',
			configuration: createFixedConfiguration(document),
			directory,
			evidence: createTargetEvidence(),
			coldBound: {excess: 1.5, slack: 5},
			fleetSize: () => 48,
			fleetPosition: () => 0,
			onFailure: () => undefined,
			onLoadChange: () => undefined,
		});
	});

	function addTarget(id: string, coldFor = 0, startTime = 1): void {
		directory.addOrUpdate(
			{
				id,
				startTime,
				service: 'orders',
				address: '10.0.0.1:80',
				failureDomain: 'north',
				slots: 2,
				state: 'ready',
				coldFor,
			},
			clock.monotonic(),
		);
	}

	function acquire() {
		return routing.acquire({
			workspace: 'w',
			deadline: Number.POSITIVE_INFINITY,
			signal: new AbortController().signal,
			service: 'orders',
			route: document.routes[0]!,
			isIdempotent: false,
			excludedTargets: [],
			avoidedFailureDomains: [],
		});
	}

	test('a process that has not observed the load yet keeps cold targets below their rate', () => {
		for (let index = 0; index < 12; index++) {
			addTarget(`warm-${index}`);
		}

		for (let index = 0; index < 6; index++) {
			addTarget(`cold-${index}`, 60_000);
		}

		const counts = new Map<string, number>();
		// In the first second after a whole fleet was killed, 48 processes received 74 requests. Ten
		// times as many are made here.
		for (let index = 0; index < 740; index++) {
			const decision = acquire();
			if (decision.kind === 'granted') {
				counts.set(decision.target.id, (counts.get(decision.target.id) ?? 0) + 1);
				decision.release({result: 'ok', latency: 100, slotTime: 100});
			}
		}

		const cold = [...counts].filter(([id]) => id.startsWith('cold')).map(([, count]) => count);
		// The cold rate of 7 requests per second, over the 10 s that these requests stand for.
		expect(Math.max(...cold)).toBeLessThanOrEqual(10 * 7);
	});

	test('a target whose connection broke counts as cold until its entry can have been updated', () => {
		addTarget('a');
		const grant = acquire() as SlotGrant;
		grant.release({result: 'connection-broken', latency: 10, slotTime: 10});
		expect(directory.find('a')?.coldUntil).toBe(clock.monotonic() + 3000);
	});

	test('the log tells which target was taken for cold, and on what its limit was based', () => {
		addTarget('a');
		(acquire() as SlotGrant).release({result: 'connection-broken', latency: 10, slotTime: 10});
		const cold = {target: 'a@1', reason: 'connection-broken', for: 3000};
		expect(events).toContainEqual(['target-cold', cold]);

		addTarget('b');
		clock.advance(1000);
		const {basis} = acquire() as SlotGrant;
		expect(basis).toMatchObject({coldTargets: 1, fleetSize: 48});
		expect([0, 2000]).toContain(basis?.coldFor);
	});

	test('slow requests at a healthy target are not abandoned and do not shorten the next timeout', () => {
		addTarget('a');
		for (let index = 0; index < 20; index++) {
			const grant = acquire() as SlotGrant;
			grant.release({result: 'ok', latency: 350, slotTime: 350});
		}

		expect((acquire() as SlotGrant).silenceTimeout).toBeGreaterThanOrEqual(3 * 350);
		const failing = acquire() as SlotGrant;
		for (let index = 0; index < 20; index++) {
			(acquire() as SlotGrant).release({result: 'timeout', latency: 1200, slotTime: 1200});
		}

		failing.release({result: 'ok', latency: 350, slotTime: 350});
		expect((acquire() as SlotGrant).silenceTimeout).toBeLessThan(3 * 350);
	});

	test('the timeout of a request that had little time says nothing about its target', () => {
		addTarget('a');
		for (let index = 0; index < 20; index++) {
			(acquire() as SlotGrant).release({result: 'timeout', latency: 300, slotTime: 300});
		}

		expect((acquire() as SlotGrant).basis?.risk).toBeLessThan(0.1);
	});

	test('a target that is no longer listed cannot be used, although it was selected before', () => {
		addTarget('a');
		const grant = acquire() as SlotGrant;
		directory.remove('a');
		expect(routing.isUsable(grant.target)).toBe(false);
	});

	test('a target that announced its stop gets no request, whatever its entry says, until it starts anew', () => {
		addTarget('a');
		const grant = acquire() as SlotGrant;
		const waiting = acquire() as SlotGrant;
		grant.recordNotice?.({isLeaving: true, holdOff: undefined});
		expect(routing.isUsable(waiting.target)).toBe(false);
		expect(waiting.signal.aborted).toBe(false);
		addTarget('a');
		directory.remove('a');
		addTarget('a');
		expect(acquire()).toMatchObject({kind: 'refused', code: 'no-target'});
		expect(routing.targetsInUse(clock.monotonic()).get('orders')?.usable).toBe(0);
		addTarget('a', 0, 2);
		expect(acquire()).toMatchObject({kind: 'granted'});
	});

	test('without a start time, the successor of an unlisted target is free', () => {
		addTarget('a', 0, 0);
		(acquire() as SlotGrant).recordNotice?.({isLeaving: true, holdOff: undefined});
		addTarget('a', 0, 0);
		routing.prune(clock.monotonic());
		expect(acquire()).toMatchObject({kind: 'refused'});
		directory.remove('a');
		routing.prune(clock.monotonic());
		addTarget('a', 0, 0);
		expect(acquire()).toMatchObject({kind: 'granted'});
	});

	test('a stop that another instance reported counts, and is not reported again', () => {
		addTarget('a');
		addTarget('b');
		routing.mergeLeaving(['a@1'], clock.monotonic());
		const chosen = Array.from({length: 50}, () => (acquire() as SlotGrant).target.id);
		expect(new Set(chosen)).toEqual(new Set(['b']));
		expect(routing.recentlyLeaving(clock.monotonic())).toEqual([]);
	});

	test('targets that asked for a pause get no request meanwhile, and callers learn when to return', () => {
		addTarget('a');
		addTarget('b');
		const grants = [acquire(), acquire(), acquire(), acquire()] as SlotGrant[];
		for (const grant of grants) {
			const holdOff = grant.target.id === 'a' ? 3000 : 5000;
			grant.recordNotice?.({isLeaving: false, holdOff});
		}

		for (const id of ['a', 'b']) {
			expect(grants.map(grant => grant.target.id)).toContain(id);
		}

		const refusal = acquire();
		expect(refusal).toMatchObject({kind: 'refused', code: 'targets-held-off', runState: 'not-run'});
		const {retryAfter = 0} = refusal as Refusal;
		expect(retryAfter).toBeGreaterThan(3000);
		expect(retryAfter).toBeLessThan(3000 + 1200);
		clock.advance(3000);
		expect(acquire()).toMatchObject({kind: 'granted', target: {id: 'a'}});
	});
});
