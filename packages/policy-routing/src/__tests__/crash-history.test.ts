/**
 * Guards against a request that crashes one target after another because its copies arrive through
 * different instances, each of which has seen only some of the crashes. Also guards against
 * refusing harmless requests, whose connection broke because another request crashed the target or
 * because the network failed.
 */
import {describe, expect, test} from '@jest/globals';
import {createCrashHistory, type CrashHistory} from '../crash-history.js';

function createFleet(size: number) {
	const instances = Array.from({length: size}, () => createCrashHistory());
	return {
		instances,
		/** Delivers the reports of every instance to all others. */
		report(now: number): void {
			for (const from of instances) {
				for (const to of instances.filter(instance => instance !== from)) {
					to.merge(from.recent(now), now);
				}
			}
		},
	};
}

function countRuns(instances: readonly CrashHistory[], report: (now: number) => void): number {
	let runs = 0;
	for (let copy = 0; copy < 40; copy++) {
		const now = copy * 400;
		const instance = instances[copy % instances.length]!;
		if (!instance.isRefused('bad', now)) {
			runs++;
			instance.record({fingerprint: 'bad', target: `t-${copy}`}, now);
		}

		report(now);
	}

	return runs;
}

describe('requests that crash targets', () => {
	test('copies sent through any instance are refused after three targets have crashed', () => {
		const {instances, report} = createFleet(8);
		expect(countRuns(instances, report)).toBe(3);
	});

	test('without reports each instance forwards three copies', () => {
		const {instances} = createFleet(8);
		expect(countRuns(instances, () => undefined)).toBe(24);
	});

	test('a crash is reported repeatedly, so that a lost report does no harm', () => {
		const history = createCrashHistory();
		history.record({fingerprint: 'bad', target: 't-1'}, 0);
		expect(history.recent(2000)).toHaveLength(1);
		expect(history.recent(3000)).toHaveLength(0);
	});

	test('other requests that were at a target when it crashed are not refused', () => {
		const history = createCrashHistory();
		for (let request = 0; request < 20; request++) {
			history.record({fingerprint: `r-${request}`, target: 't-1'}, 0);
		}

		expect(history.isRefused('r-1', 10)).toBe(false);
	});

	test('repeated broken connections at a single target do not cause a refusal', () => {
		const history = createCrashHistory();
		for (let now = 0; now < 5000; now += 500) {
			history.record({fingerprint: 'r', target: 't-1'}, now);
		}

		expect(history.isRefused('r', 5000)).toBe(false);
	});

	test('a request that broke connections at a single target is forgotten after a minute', () => {
		const history = createCrashHistory();
		history.record({fingerprint: 'r', target: 't-1'}, 0);
		history.prune(60_001);
		expect(history.hasSuspects).toBe(false);
	});

	test('an instance that starts later refuses what it is told, for no longer than the others', () => {
		const history = createCrashHistory();
		for (const target of ['t-1', 't-2', 't-3', 't-4']) {
			history.record({fingerprint: 'bad', target}, 0);
		}

		history.record({fingerprint: 'coincidence', target: 't-1'}, 0);
		const told = history.suspects(100_000);
		expect(told).toEqual([
			{fingerprint: 'bad', targets: ['t-1', 't-2', 't-3', 't-4'], expiresIn: 500_000},
		]);
		const late = createCrashHistory();
		late.mergeSuspects(told, 50);
		expect(late.isRefused('bad', 60)).toBe(true);
		expect(late.isRefused('bad', 500_051)).toBe(false);
	});

	test('what an instance is told does not make it remember a request longer than its own crashes', () => {
		const history = createCrashHistory();
		const targets = ['t-1', 't-2', 't-3'];
		history.mergeSuspects([{fingerprint: 'r', targets, expiresIn: Number.MAX_SAFE_INTEGER}], 0);
		expect(history.isRefused('r', 599_999)).toBe(true);
		expect(history.isRefused('r', 600_000)).toBe(false);
	});

	test('only the latest requests are passed on, so that a few datagrams suffice', () => {
		const history = createCrashHistory();
		for (let request = 0; request < 200; request++) {
			history.record({fingerprint: `r-${request}`, target: 't-1'}, request);
			history.record({fingerprint: `r-${request}`, target: 't-2'}, request);
		}

		const told = history.suspects(1000);
		expect(told).toHaveLength(64);
		expect(told.at(-1)!.fingerprint).toBe('r-199');
	});

	test('a request that a target ran to a response is not refused because other requests crash its targets', () => {
		const {instances, report} = createFleet(3);
		const [first, second, third] = instances;
		for (const [at, target] of ['t-1', 't-2', 't-3'].entries()) {
			first!.record({fingerprint: 'popular', target}, at * 1000);
			report(at * 1000);
			second!.clear('popular', at * 1000 + 10);
			for (const instance of [first!, third!]) {
				instance.mergeCleared(second!.recentlyCleared(at * 1000 + 20));
			}
		}

		for (const instance of instances) {
			expect(instance.isRefused('popular', 3000)).toBe(false);
		}

		expect(second!.recentlyCleared(6000)).toEqual([]);
	});

	test('a refused request that would run is tried again, and its response ends the refusal everywhere', () => {
		const {instances, report} = createFleet(3);
		for (const target of ['t-1', 't-2', 't-3']) {
			instances[0]!.record({fingerprint: 'popular', target}, 0);
		}

		report(0);
		expect(instances.every(instance => instance.isRefused('popular', 19_999))).toBe(true);
		expect(instances[1]!.takeTrial('popular', 19_999)).toBe(false);
		expect(instances[1]!.takeTrial('popular', 20_000)).toBe(true);
		expect(instances[1]!.takeTrial('popular', 20_001)).toBe(false);
		instances[1]!.clear('popular', 20_100);
		for (const instance of instances) {
			instance.mergeCleared(instances[1]!.recentlyCleared(20_200));
			expect(instance.isRefused('popular', 20_300)).toBe(false);
		}
	});

	test('a request that crashes every target is tried three more times at most', () => {
		const {instances, report} = createFleet(4);
		let runs = 0;
		for (let now = 0; now < 600_000; now += 200) {
			const instance = instances[(now / 200) % instances.length]!;
			// One instance has the turn for four seconds.
			const hasTurn = instances[Math.floor(now / 4000) % instances.length] === instance;
			if (!instance.isRefused('bad', now) || (hasTurn && instance.takeTrial('bad', now))) {
				runs++;
				instance.record({fingerprint: 'bad', target: `t-${runs}`}, now);
			}

			report(now);
		}

		expect(runs).toBe(6);
	});

	test('an instance that refuses what another one runs hears of it, although that one suspects nothing', () => {
		const [refusing, running] = [createCrashHistory(), createCrashHistory()];
		for (const target of ['t-1', 't-2', 't-3']) {
			refusing.record({fingerprint: 'popular', target}, 0);
		}

		refusing.recordRefusal('popular', 5000);
		running.mergeRefused(refusing.recentlyRefused(5100), 5100);
		expect(running.hasSuspects).toBe(true);
		running.clear('popular', 5200);
		refusing.mergeCleared(running.recentlyCleared(5300));
		expect(refusing.isRefused('popular', 5300)).toBe(false);
		expect(refusing.recent(5300)).toEqual([]);
		expect(refusing.recentlyRefused(5300)).toEqual([]);
	});
});
