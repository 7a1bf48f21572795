import {describe, expect, test} from '@jest/globals';
import {type Random} from '@shallotpond/kernel/random';
import {ejections, ordinary, runTrial, type Answer} from './health-trial.js';

describe('target health without faults', () => {
	test.each([
		['busy', 20, 0.5],
		['little work, wide spread', 5, 1],
	])('an hour of ordinary noise (%s) ejects nothing', (_, rate, deviation) => {
		const changes = runTrial({
			seed: 7,
			targets: 15,
			seconds: 3600,
			rate,
			answer: (_target, _holder, _now, random) => ordinary(random, 40, deviation),
		});
		expect(ejections(changes)).toEqual([]);
	});

	test('a service that slows down five times or fails as a whole keeps its targets', () => {
		for (const seed of [1, 2, 3]) {
			const answer = (_target: number, _holder: number, now: number, random: Random): Answer => {
				const usual = ordinary(random, now > 20_000 ? 200 : 40);
				return now > 200_000 && random() < 0.5 ? {...usual, result: 'error'} : usual;
			};

			expect(ejections(runTrial({seed, targets: 15, seconds: 300, rate: 20, answer}))).toEqual([]);
		}
	});
});
