/** A soak run must be repeatable from its seed, and end with a period without faults. */
import {expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {drawFaults} from '../fault-schedule.js';

test('a seed always gives the same faults, and another seed gives others', () => {
	const draw = (seed: number) => drawFaults(createSeededRandom(seed), 20_000);
	expect(draw(7)).toEqual(draw(7));
	expect(draw(7)).not.toEqual(draw(8));
});

test('every fault ends before the traffic does, so that recovery can be observed', () => {
	for (let seed = 0; seed < 50; seed++) {
		for (const {at, duration} of drawFaults(createSeededRandom(seed), 15_000)) {
			expect(at + duration).toBeLessThanOrEqual(12_500);
		}
	}
});
