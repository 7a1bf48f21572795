/**
 * Guards against a target that runs more requests at the same time than its slots. This happens
 * when two coordinators grant the same slot, or when a holder still uses a grant that its
 * coordinator counts as ended: after a change of owners or a planned stop, after a pause of a
 * process, or because messages are lost, duplicated, late or reordered.
 */
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createSimulatedFleet, sampleLogNormal, createTestService} from './simulated-fleet.js';

const faults = fc.record({
	seed: fc.integer({min: 1, max: 1e9}),
	loss: fc.constantFrom(0, 0.02, 0.2),
	duplication: fc.constantFrom(0, 0.2),
	late: fc.constantFrom(0, 0.02, 0.2),
	slots: fc.integer({min: 1, max: 4}),
	isCold: fc.boolean(),
	/** Mean milliseconds between two moves of shares to another owner. */
	moveEvery: fc.constantFrom(1000, 4000, 15_000),
	/** Mean milliseconds between two pauses of an instance; 0 for no pauses. */
	pauseEvery: fc.constantFrom(0, 4000, 15_000),
	hasPlannedStops: fc.boolean(),
});

type Faults = typeof faults extends fc.Arbitrary<infer Value> ? Value : never;

/** Every instance asks for more than the targets accept, for `seconds`, under the given faults. */
function runUnderFaults(
	{seed, loss, duplication, late, slots, isCold, moveEvery, pauseEvery, hasPlannedStops}: Faults,
	seconds: number,
) {
	const count = 5;
	const fleet = createSimulatedFleet({
		seed,
		instances: count,
		loss,
		duplication,
		late,
		service: createTestService(4, {
			slots,
			shardSize: 2,
			...(isCold ? {warmUpAnswers: 1e9} : {warmUpAnswers: 1, warmUpStep: 0}),
		}),
		// Instance 0 is never paused and runs the requests that take longer than the lifetime of a
		// grant.
		respond: (_target, holder, _now, random) => ({
			latency: holder === 'i0' && random() < 0.1 ? 9000 : sampleLogNormal(150, random, 1) % 3000,
			result: 'ok',
		}),
	});
	const {random, sharesOf} = fleet;
	const repeat = (interval: number, action: () => void) => {
		fleet.schedule(interval * (0.5 + random()), () => {
			action();
			repeat(interval, action);
		});
	};

	repeat(moveEvery, () => {
		const from = Math.floor(random() * count);
		const fraction = random();
		const owner = random() < 0.1 ? undefined : Math.floor(random() * count);
		for (const shard of [0, 1]) {
			for (const share of sharesOf(`shard:roster/${shard}`)) {
				if ((share.owner ?? from) === from && random() < fraction) {
					share.owner = owner;
					share.since = fleet.now;
				}
			}
		}
	});
	if (pauseEvery > 0) {
		repeat(pauseEvery, () => {
			fleet.instances[1 + Math.floor(random() * (count - 1))]!.pausedUntil =
				fleet.now + random() * 12_000;
		});
	}

	if (hasPlannedStops) {
		for (const [index, time] of [12_000, 20_000, 28_000].entries()) {
			fleet.schedule(time, () => {
				fleet.stop(index + 1, 0);
			});
		}
	}

	fleet.load('beach', 60, seconds * 1000);
	const limit = isCold ? 1 : slots;
	fleet.run(seconds * 1000, () => {
		for (const target of fleet.peakRunning.keys()) {
			if (fleet.running(target) > limit) {
				throw new Error(
					`${target} runs ${fleet.running(target)} requests, above the limit of ${limit}, at ${fleet.now} ms`,
				);
			}
		}
	});
	return fleet;
}

describe('slots', () => {
	test('no target runs more requests than its slots, or than its cold slots while cold, under any faults', () => {
		let dispatched = 0;
		fc.assert(
			fc.property(faults, options => {
				dispatched += runUnderFaults(options, 40).dispatched;
			}),
			{seed: 20_261_204, numRuns: 40, endOnFailure: true},
		);
		// Without this check, the test would pass for a fleet that grants nothing.
		expect(dispatched).toBeGreaterThan(5000);
	});
});
