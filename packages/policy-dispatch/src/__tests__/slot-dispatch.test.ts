/**
 * Guards against dispatch that harms a target or a workspace: a busy workspace that takes the slots
 * of others, ejections that leave less capacity than the floor, full load on a cold target, a
 * planned stop that interrupts requests, and grants or connections that are counted wrongly because
 * messages are lost, late or repeated. The last tests compare coordination with local balancing.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {createSlotCoordinator} from '../slot-coordinator.js';
import {createSlotHolder} from '../slot-holder.js';
import {type SlotAsk, type SlotMessage} from '../slot-messages.js';
import {
	createSimulatedFleet,
	sampleLogNormal,
	createTestService,
	type SimulatedResponse,
} from './simulated-fleet.js';

const typicalResponse = (random: Random, median = 60): SimulatedResponse => ({
	latency: sampleLogNormal(median, random),
	result: random() < 0.005 ? 'error' : 'ok',
});
/** Settings with which a target has all its slots from the start, without a warm-up. */
const warm = {coldSlots: 4};

describe('slots', () => {
	test('a workspace at five times its rate does not reduce what is served to the others', () => {
		const served = (factor: number) => {
			const finished = new Map<string, number>();
			const fleet = createSimulatedFleet({
				seed: 4,
				instances: 6,
				service: createTestService(4, warm),
				respond: (_target, _holder, _now, random) => ({
					...typicalResponse(random, 90),
					result: 'ok',
				}),
				onFinish(workspace, result) {
					finished.set(workspace, (finished.get(workspace) ?? 0) + (result === 'ok' ? 1 : 0));
				},
			});
			for (let index = 0; index < 8; index++) {
				fleet.load(`w${index}`, index === 0 ? 15 * factor : 15, 40_000);
			}

			fleet.run(43_000);
			return finished;
		};

		const alone = served(0);
		const crowded = served(5);
		const ratios = [...alone].map(([workspace, count]) => crowded.get(workspace)! / count);
		console.log(
			`requests served beside a workspace at 5 times its rate: lowest ratio ${Math.min(...ratios)}`,
		);
		// The random arrivals differ between the runs, so the counts are not exactly equal.
		expect(Math.min(...ratios)).toBeGreaterThanOrEqual(0.95);
	});

	test('ejections keep the floor and end when another target leaves', () => {
		const fleet = createSimulatedFleet({
			seed: 5,
			instances: 6,
			service: createTestService(4, warm),
			respond: (target, _holder, _now, random) =>
				target === 't0' || target === 't1'
					? {latency: 5, result: 'error'}
					: typicalResponse(random),
		});
		fleet.load('beach', 80, 20_000);
		const ejected = () =>
			['t0', 't1', 't2', 't3'].filter(
				target => fleet.coordinatorOf(target)?.healthOf('roster', target) === 'ejected',
			);
		let most = 0;
		fleet.run(8000, () => {
			most = Math.max(most, ejected().length);
		});
		expect(most).toBe(1);
		fleet.run(5000, () => {
			if (fleet.now >= 9000 && ejected().length > 0) {
				fleet.unavailable.set('t2', 'leaving');
			}
		});
		fleet.run(500);
		expect(fleet.unavailable.size).toBe(1);
		expect(ejected()).toEqual([]);
	});

	test('no mix of failing, leaving and cold targets brings the admitted slots below the floor', () => {
		let ejections = 0;
		for (let seed = 1; seed <= 10; seed++) {
			const ids = ['t0', 't1', 't2', 't3', 't4', 't5', 't6'];
			const failing = new Set<string>();
			const fleet = createSimulatedFleet({
				seed,
				instances: 4,
				service: createTestService(ids.length, {coldSlots: 2, floor: 0.5}),
				respond: (target, _holder, _now, random) =>
					failing.has(target) ? {latency: 5, result: 'error'} : typicalResponse(random),
			});
			let changedAt = 0;
			const change = () => {
				changedAt = fleet.now;
				const id = ids[Math.floor(fleet.random() * ids.length)]!;
				if (fleet.random() < 0.5) {
					failing.add(id);
				} else if (!fleet.unavailable.delete(id)) {
					fleet.unavailable.set(id, 'leaving');
				}

				fleet.schedule(1000 + fleet.random() * 4000, change);
			};

			fleet.schedule(3000, change);
			fleet.load('beach', 120, 40_000);
			fleet.run(40_000, () => {
				const coordinator = fleet.coordinatorOf('t0');
				// The next evaluation after a target has left or returned restores the floor.
				if (fleet.now - changedAt < 500 || coordinator === undefined) {
					return;
				}

				const available = ids.filter(id => !fleet.unavailable.has(id));
				const notEjected = available.filter(id => coordinator.healthOf('roster', id) !== 'ejected');
				const admitted = notEjected.reduce(
					(sum, id) => sum + (coordinator.allowedSlotsOf('roster', id) ?? 0),
					0,
				);
				if (notEjected.length < available.length && admitted < 0.5 * 4 * available.length) {
					throw new Error(
						`${admitted} admitted slots of ${available.length} available targets at ${fleet.now} ms`,
					);
				}
			});
			ejections += fleet.changes.filter(({state}) => state === 'ejected').length;
		}

		expect(ejections).toBeGreaterThan(10);
	});

	test('a failure domain that is out of service gets no requests and returns cold', () => {
		const fleet = createSimulatedFleet({
			seed: 6,
			instances: 6,
			service: createTestService(4),
			respond: (_target, _holder, _now, random) => typicalResponse(random),
		});
		fleet.load('beach', 100, 20_000);
		fleet.run(10_000);
		expect(fleet.coordinatorOf('t1').allowedSlotsOf('roster', 't1')).toBe(4);
		fleet.unavailable.set('t1', 'domain-out');
		fleet.run(5000);
		expect(fleet.starts.filter(({target, at}) => target === 't1' && at > 10_000)).toEqual([]);
		fleet.unavailable.clear();
		fleet.run(150);
		expect(fleet.coordinatorOf('t1').allowedSlotsOf('roster', 't1')).toBe(1);
		fleet.run(4000);
		expect(fleet.coordinatorOf('t1').allowedSlotsOf('roster', 't1')).toBe(4);
	});

	test('a target with a new generation warms up again', () => {
		const fleet = createSimulatedFleet({
			seed: 7,
			instances: 6,
			service: createTestService(4, {warmUpStep: 2000}),
			respond: (target, _holder, now, random) => ({
				...typicalResponse(random),
				generation: target === 't2' && now > 10_000 ? 'second' : 'first',
			}),
		});
		fleet.load('beach', 100, 20_000);
		fleet.run(10_000);
		expect(fleet.coordinatorOf('t2').allowedSlotsOf('roster', 't2')).toBe(4);
		fleet.run(1500);
		expect(fleet.coordinatorOf('t2').allowedSlotsOf('roster', 't2')).toBe(1);
		fleet.run(1500);
		expect(fleet.coordinatorOf('t2').allowedSlotsOf('roster', 't2')).toBe(2);
	});

	test('a path fault makes its holder avoid the target and ejects no target', () => {
		const fleet = createSimulatedFleet({
			seed: 8,
			instances: 6,
			service: createTestService(4, warm),
			respond: (target, holder, _now, random) =>
				target === 't1' && holder === 'i0'
					? {latency: 5, result: 'connection-failed'}
					: typicalResponse(random),
		});
		fleet.load('beach', 100, 60_000);
		fleet.run(60_000);
		expect(fleet.changes.filter(({state}) => state === 'ejected')).toEqual([]);
		const tried = fleet.starts.filter(({target, holder}) => target === 't1' && holder === 'i0');
		// Three failures, then one attempt after each of the avoidances, at about 5, 15 and 35 s.
		// Requests in flight add further attempts.
		expect(tried.length).toBeLessThan(12);
		expect(tried.length).toBeGreaterThanOrEqual(5);
	});

	test('a planned stop of a coordinator interrupts no request and no shard', () => {
		const results = new Map<string, number>();
		const fleet = createSimulatedFleet({
			seed: 9,
			instances: 6,
			service: createTestService(4, warm),
			respond: (_target, _holder, _now, random) => ({
				latency: random() < 0.05 ? 12_000 : 60,
				result: 'ok',
			}),
			onFinish(_workspace, result) {
				results.set(result, (results.get(result) ?? 0) + 1);
			},
		});
		fleet.load('beach', 10, 20_000);
		fleet.run(8000);
		const owner = fleet.sharesOf('shard:roster/0')[0]!.owner!;
		fleet.stop(owner, (owner + 1) % 6);
		fleet.run(1000);
		expect(fleet.starts.filter(({at}) => at > 8100).length).toBeGreaterThan(3);
		fleet.run(25_000);
		expect(results.get('cancelled') ?? 0).toBe(0);
		expect(Math.max(...fleet.peakRunning.values())).toBeLessThanOrEqual(4);
	});
});

describe('slot coordinator', () => {
	const ask = (id: string, changes: Partial<SlotAsk> = {}): SlotAsk => ({
		kind: 'slot-ask',
		id,
		attempt: 0,
		service: 'roster',
		shard: 0,
		workspace: 'beach',
		timeLeft: 1000,
		excludeTargets: [],
		avoidFailureDomains: [],
		...changes,
	});

	function createCoordinator(lent: {fraction: number}, changes = {}) {
		const coordinator = createSlotCoordinator({
			self: 'c',
			shareFractionOf: () => ({
				current: lent.fraction,
				vested: lent.fraction,
				majoritySince: undefined,
			}),
			availability: () => 'available',
			random: () => 0.5,
		});
		coordinator.configure(new Map([['roster', createTestService(1, {...warm, ...changes})]]), 0);
		return coordinator;
	}

	const kinds = (outbound: ReadonlyArray<{readonly message: SlotMessage}>) =>
		outbound.map(({message}) => (message.kind === 'slot-refusal' ? message.reason : message.kind));

	test('a lost grant frees its slot after its lifetime, and a repeated ask gets the same grant', () => {
		const coordinator = createCoordinator({fraction: 1});
		const first = coordinator.handle(ask('a'), 'h', 0);
		expect(coordinator.handle(ask('a', {attempt: 1}), 'h', 500)).toEqual(first);
		expect(coordinator.openGrantCount('roster', 't0')).toBe(1);
		coordinator.tick(4000);
		expect(coordinator.openGrantCount('roster', 't0')).toBe(1);
		coordinator.tick(4100);
		expect(coordinator.openGrantCount('roster', 't0')).toBe(0);
	});

	test('a coordinator that resumes without lent shares grants nothing and refuses the waiting asks', () => {
		const lent = {fraction: 1};
		const coordinator = createCoordinator(lent, {slots: 1, coldSlots: 1});
		coordinator.handle(ask('a'), 'h', 0);
		expect(kinds(coordinator.handle(ask('b', {timeLeft: 9000}), 'h', 0))).toEqual(['slot-queued']);
		lent.fraction = 0;
		expect(kinds(coordinator.handle(ask('c'), 'h', 2000))).toEqual(['not-coordinator']);
		expect(kinds(coordinator.tick(2000))).toEqual(['not-coordinator']);
	});

	test('a planned stop that names this instance as its own successor sends no messages', () => {
		const coordinator = createCoordinator({fraction: 1});
		const [{message}] = coordinator.handle(ask('a'), 'h', 0) as unknown as [{message: SlotMessage}];
		const grant = message.kind === 'slot-grant' ? message.grant : '';
		expect(coordinator.handOverShards(() => 'c', 100)).toEqual([]);
		const release = {grant, holder: 'h', service: 'roster', target: 't0'};
		expect(coordinator.handle({kind: 'slot-release', ...release}, 'h', 200)).toEqual([]);
	});

	test('an ask that arrives after its cancellation takes no slot', () => {
		const coordinator = createCoordinator({fraction: 1});
		coordinator.handle({kind: 'slot-cancel', id: 'a', service: 'roster', shard: 0}, 'h', 0);
		expect(coordinator.handle(ask('a'), 'h', 10)).toEqual([]);
		expect(coordinator.openGrantCount('roster', 't0')).toBe(0);
	});

	test('a renewal that arrives after the release does not take the slot again', () => {
		const coordinator = createCoordinator({fraction: 1});
		const [granted] = coordinator.handle(ask('a'), 'h', 0);
		const {grant} = granted!.message as {grant: string};
		const held = {grant, service: 'roster', target: 't0', workspace: 'beach', warmSlots: 4};
		coordinator.handle({kind: 'slot-release', holder: 'h', ...held}, 'h', 10);
		coordinator.handle({kind: 'slot-renew', sequence: 1, holdings: [held]}, 'h', 20);
		expect(coordinator.openGrantCount('roster', 't0')).toBe(0);
	});

	test('asks for a full queue or with too little time left are refused at once as not-run', () => {
		const coordinator = createCoordinator({fraction: 1}, {slots: 1, coldSlots: 1});
		for (let index = 0; index <= 256; index++) {
			coordinator.handle(ask(`a${index}`, {timeLeft: 1e6}), 'h', 0);
		}

		const refused = [
			coordinator.handle(ask('full', {timeLeft: 1e6}), 'h', 0),
			coordinator.handle(ask('late', {workspace: 'dunes', timeLeft: 50}), 'h', 0),
		].flat();
		expect(kinds(refused)).toEqual(['queue-full', 'deadline']);
		expect(
			refused.every(({message}) => 'runState' in message && message.runState === 'not-run'),
		).toBe(true);
	});

	test('a configuration that does not change a target does not reset its warm-up', () => {
		const coordinator = createCoordinator({fraction: 1}, {coldSlots: 1});
		for (let now = 0; now < 400; now += 100) {
			const [granted] = coordinator.handle(ask(`a${now}`), 'h', now);
			const {grant} = granted!.message as {grant: string};
			const outcome = {result: 'ok', latency: 40, slotTime: 40} as const;
			const service = 'roster';
			const release = {
				kind: 'slot-release',
				grant,
				holder: 'h',
				service,
				target: 't0',
				outcome,
			} as const;
			coordinator.handle(release, 'h', now + 40);
			const targets = now < 50 ? 1 : 2;
			coordinator.configure(
				new Map([[service, createTestService(targets, {coldSlots: 1})]]),
				now + 50,
			);
		}

		expect(coordinator.allowedSlotsOf('roster', 't0')).toBe(2);
	});

	test('a target that a configuration adds to a shard gets no grants while a former coordinator may act', () => {
		const coordinator = createCoordinator({fraction: 1});
		coordinator.handle(ask('a'), 'h', 0);
		coordinator.configure(new Map([['roster', createTestService(2, warm)]]), 1000);
		const targets = (now: number) =>
			Array.from({length: 6}, (_, index) => coordinator.handle(ask(`${now}-${index}`), 'h', now))
				.flat()
				.map(({message}) => (message.kind === 'slot-grant' ? message.target : message.kind));
		expect(targets(2000)).not.toContain('t1');
		coordinator.tick(20_000);
		expect(targets(20_000)).toContain('t1');
	});

	test('a late response of the process before a restart does not restart the warm-up of the new process', () => {
		const coordinator = createCoordinator({fraction: 1}, {coldSlots: 1});
		const allowedAfterResponse = (generation: string, now: number) => {
			const [granted] = coordinator.handle(ask(`a${now}`), 'h', now);
			const {grant} = granted!.message as {grant: string};
			const outcome = {result: 'ok', latency: 40, slotTime: 40, generation} as const;
			const service = 'roster';
			const release = {
				kind: 'slot-release',
				grant,
				holder: 'h',
				service,
				target: 't0',
				outcome,
			} as const;
			coordinator.handle(release, 'h', now + 40);
			return coordinator.allowedSlotsOf('roster', 't0');
		};

		const allowed = [
			'first',
			'first',
			'first',
			'second',
			'second',
			'second',
			'second',
			'first',
		].map((generation, index) => allowedAfterResponse(generation, index * 100));
		expect(allowed).toEqual([1, 1, 2, 1, 1, 2, 2, 2]);
	});

	test('a new coordinator lets no connection be kept until those that its predecessor allowed are closed', () => {
		const coordinator = createCoordinator({fraction: 1});
		const keeps = [100, 11_000].map(now => {
			const [granted] = coordinator.handle(ask(`a${now}`), 'h', now);
			return (granted!.message as {keepConnection: boolean}).keepConnection;
		});
		expect(keeps).toEqual([false, true]);
	});

	test('the open connections stay below the limit of the target when it has more holders than connections', () => {
		const coordinator = createCoordinator({fraction: 1}, {connections: 10});
		const kept: Array<{readonly holder: string; readonly until: number}> = [];
		let most = 0;
		for (let now = 0; now < 40_000; now += 100) {
			coordinator.tick(now);
			const holder = `h${(now / 100) % 30}`;
			for (const {message} of coordinator.handle(ask(`a${now}`), holder, now)) {
				if (message.kind !== 'slot-grant') {
					continue;
				}

				const reused = kept.findIndex(entry => entry.holder === holder && entry.until > now);
				kept.splice(reused, reused === -1 ? 0 : 1);
				most = Math.max(most, 1 + kept.filter(({until}) => until > now).length);
				const {grant, target, keepConnection} = message;
				const release = {kind: 'slot-release', grant, holder, service: 'roster', target} as const;
				coordinator.handle(release, holder, now + 50);
				if (keepConnection) {
					kept.push({holder, until: now + 50 + 10_000});
				}
			}
		}

		expect(most).toBeLessThan(10);
		expect(most).toBeGreaterThan(3);
	});
});

describe('slot holder', () => {
	const createHolderWithGrant = () => {
		const state = {isOut: false, isKeyValid: true};
		const holder = createSlotHolder({
			self: 'h',
			ownerOf: () => 'c',
			availability: () => (state.isOut ? 'domain-out' : 'available'),
			random: () => 0.5,
		});
		holder.configure(new Map([['roster', createTestService(1)]]));
		const {effects: step} = holder.ask({service: 'roster', workspace: 'beach', deadline: 9000}, 0);
		const {id} = step.messages[0]!.message as SlotAsk;
		const message = {
			kind: 'slot-grant',
			id,
			attempt: 0,
			grant: 'g',
			target: 't0',
			term: 4000,
			warmSlots: 1,
			keepConnection: false,
			queueLength: 0,
		} as const;
		const [event] = holder.handle(message, 'c', 1000).events;
		if (event?.kind !== 'granted') {
			throw new Error('the holder did not accept the grant');
		}

		const {grant} = event;
		return {
			state,
			holder,
			message,
			grant,
			canDispatch: (now: number) => holder.canDispatch(grant, () => state.isKeyValid, now),
		};
	};

	test('a shard that once had a queue is asked again, so that its targets do not stay idle', () => {
		const random = createSeededRandom(1);
		const holder = createSlotHolder({
			self: 'h',
			ownerOf: () => 'c',
			availability: () => 'available',
			random,
		});
		holder.configure(new Map([['roster', createTestService(8)]]));
		const asked = new Set<number>();
		for (let now = 0; now < 20_000; now += 50) {
			const {effects: step} = holder.ask(
				{service: 'roster', workspace: 'beach', deadline: now + 100},
				now,
			);
			const {id, shard} = step.messages[0]!.message as SlotAsk;
			const queueLength = shard === 0 && now < 1000 ? 5 : 0;
			if (now > 5000) {
				asked.add(shard);
			}

			holder.handle({kind: 'slot-queued', id, queueLength}, 'c', now);
			holder.tick(now + 49);
		}

		expect(asked).toEqual(new Set([0, 1]));
	});

	test('a withdrawn key, a failure domain out of service and an expired grant each stop the request before it runs', () => {
		const {state, canDispatch} = createHolderWithGrant();
		expect(canDispatch(1000)).toBe(true);
		state.isOut = true;
		expect(canDispatch(1000)).toBe(false);
		state.isOut = false;
		state.isKeyValid = false;
		expect(canDispatch(1000)).toBe(false);
		state.isKeyValid = true;
		// The lifetime of the grant counts from the ask at 0, not from the grant at 1,000.
		expect(canDispatch(3700)).toBe(true);
		expect(canDispatch(4000)).toBe(false);
	});

	test('a grant without renewal is reported as expired once, and a late renewal does not restore it', () => {
		const {holder, grant} = createHolderWithGrant();
		const [renewal] = holder.tick(1500).messages;
		expect(renewal?.message).toMatchObject({kind: 'slot-renew', holdings: [{grant: 'g'}]});
		const renewed = {kind: 'slot-renewed', sequence: 0, renewed: ['g'], refused: []} as const;
		holder.handle(renewed, 'c', 3900);
		expect(holder.tick(4000).events).toMatchObject([{kind: 'expired'}]);
		expect(holder.tick(4100).events).toEqual([]);
		expect(holder.release(grant, undefined, 4100).messages).toHaveLength(1);
	});

	test('a second grant for a request that already has one is released, and a duplicate of the first is not', () => {
		const {holder, message} = createHolderWithGrant();
		expect(holder.handle(message, 'c', 1100).messages).toEqual([]);
		const second = holder.handle({...message, grant: 'other'}, 'c', 1100).messages;
		expect(second).toMatchObject([{to: 'c', message: {kind: 'slot-release', grant: 'other'}}]);
	});
});

describe('comparison with local balancing', () => {
	const compare = (
		policy: 'coordinated' | 'local',
		fault: (random: Random) => SimulatedResponse,
	) => {
		const fleet = createSimulatedFleet({
			seed: 10,
			instances: 12,
			service: createTestService(15, warm),
			policy,
			respond: (target, _holder, now, random) =>
				target === 't3' && now >= 10_000 ? fault(random) : typicalResponse(random),
		});
		fleet.load('beach', 300, 20_000);
		fleet.run(22_000);
		const startsOnFaultyTarget = fleet.starts.filter(
			({target, at}) => target === 't3' && at >= 10_000,
		);
		// The target counts as ejected from the first 1.5 s without a request to it, with either
		// policy.
		const lastBeforePause = startsOnFaultyTarget.find(
			({at}, index) => (startsOnFaultyTarget[index + 1]?.at ?? 22_000) - at > 1500,
		);
		return {
			policy,
			ejected: fleet.changes
				.filter(({state}) => state === 'ejected')
				.map(({target, at}) => [target, at - 10_000]),
			stoppedAfterMs: (lastBeforePause?.at ?? Number.NaN) - 10_000,
			requestsOnFaultyTarget: startsOnFaultyTarget.length,
			excess: Math.max(...fleet.peakRunning.values()) - 4,
		};
	};

	test.each([
		['requests ten times slower', (random: Random) => typicalResponse(random, 600)],
		[
			'half of the requests fail',
			(random: Random): SimulatedResponse => ({
				...typicalResponse(random),
				result: random() < 0.5 ? 'error' : 'ok',
			}),
		],
	] as const)(
		'coordination stays within the slots and sends a faulty target (%s) fewer requests than local balancing',
		(name, fault) => {
			const coordinated = compare('coordinated', fault);
			const local = compare('local', fault);
			console.log(`${name}: ${JSON.stringify(coordinated)} compared with ${JSON.stringify(local)}`);
			expect(coordinated.ejected[0]![0]).toBe('t3');
			expect(coordinated.stoppedAfterMs).toBeLessThanOrEqual(3000);
			expect(coordinated.excess).toBeLessThanOrEqual(0);
			expect(local.excess).toBeGreaterThan(0);
			expect(coordinated.requestsOnFaultyTarget).toBeLessThan(local.requestsOnFaultyTarget);
		},
	);
});
