import {describe, expect, test} from '@jest/globals';
import {type Random} from '@shallotpond/kernel/random';
import {ejections, ordinary, simulateHealth} from './health-simulation.js';

describe('target health without faults', () => {
	test.each([
		['busy', 15, 20, 0.5],
		['little work, wide spread', 15, 5, 1],
		['few peers, as one coordinator has', 4, 10, 1],
	])('an hour of ordinary noise (%s) ejects nothing', (_, targets, rate, deviation) => {
		const changes = simulateHealth({
			seed: 7,
			targets,
			seconds: 3600,
			rate,
			answer: (_target, _holder, _now, random) => ordinary(random, 40, deviation),
		});
		expect(ejections(changes)).toEqual([]);
	});
});
