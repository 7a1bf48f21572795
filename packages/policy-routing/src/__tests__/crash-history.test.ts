/** A request that takes down each target that runs it, and broken connections that prove nothing. */
import {describe, expect, test} from '@jest/globals';
import {createCrashHistory, type CrashHistory} from '../crash-history.js';

function createFleet(size: number) {
	const instances = Array.from({length: size}, () => createCrashHistory());
	return {
		instances,
		/** Every instance hears the reports of all others. */
		report(now: number): void {
			for (const from of instances) {
				for (const to of instances.filter(instance => instance !== from)) {
					to.merge(from.recent(now), now);
				}
			}
		},
	};
}

function copiesRun(instances: readonly CrashHistory[], report: (now: number) => void): number {
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
	test('copies through any instance stop after the third target', () => {
		const {instances, report} = createFleet(8);
		expect(copiesRun(instances, report)).toBe(3);
	});

	test('without the reports each instance would let three through', () => {
		const {instances} = createFleet(8);
		expect(copiesRun(instances, () => undefined)).toBe(24);
	});

	test('a crash is reported again until every instance had the chance to hear it', () => {
		const memory = createCrashHistory();
		memory.record({fingerprint: 'bad', target: 't-1'}, 0);
		expect(memory.recent(2000)).toHaveLength(1);
		expect(memory.recent(3000)).toHaveLength(0);
	});

	test('the requests that were at a target when it crashed are not refused', () => {
		const memory = createCrashHistory();
		for (let request = 0; request < 20; request++) {
			memory.record({fingerprint: `r-${request}`, target: 't-1'}, 0);
		}

		expect(memory.isRefused('r-1', 10)).toBe(false);
	});

	test('one target that breaks connections again and again does not make a request suspect', () => {
		const memory = createCrashHistory();
		for (let now = 0; now < 5000; now += 500) {
			memory.record({fingerprint: 'r', target: 't-1'}, now);
		}

		expect(memory.isRefused('r', 5000)).toBe(false);
	});

	test('what broke a single connection is forgotten after a minute', () => {
		const memory = createCrashHistory();
		memory.record({fingerprint: 'r', target: 't-1'}, 0);
		memory.prune(60_001);
		expect(memory.hasSuspects).toBe(false);
	});
});
