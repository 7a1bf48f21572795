/**
 * The faults of a soak run must depend only on its seed, because otherwise a violation cannot be
 * reproduced, and must end before the traffic, because otherwise recovery cannot be observed.
 */
import {expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {drawFaults} from '../fault-schedule.js';

test('a seed always gives the same faults, and another seed gives others', () => {
	const draw = (seed: number) => drawFaults(createSeededRandom(seed), 20_000);
	expect(draw(7)).toEqual(draw(7));
	expect(draw(7)).not.toEqual(draw(8));
});

test('every fault ends at least 2.5 s before the traffic does', () => {
	for (let seed = 0; seed < 50; seed++) {
		for (const {at, duration} of drawFaults(createSeededRandom(seed), 15_000)) {
			expect(at + duration).toBeLessThanOrEqual(12_500);
		}
	}
});
