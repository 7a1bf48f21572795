/**
 * Guards against faulty targets that stay in use, and against ejections for faults that are not
 * those of the target: a service that is slow or fails as a whole, and a path fault between one
 * holder and the target.
 */
import {describe, expect, test} from '@jest/globals';
import {type Random} from '@shallotpond/kernel/random';
import {
	ejections,
	typicalResponse,
	simulateHealth,
	type SimulatedResponse,
} from './health-simulation.js';

const seeds = Array.from({length: 40}, (_, index) => index + 1);

describe('target health', () => {
	test.each([
		['slow', (random: Random): SimulatedResponse => typicalResponse(random, 400)],
		[
			'errors',
			(random: Random): SimulatedResponse => ({
				...typicalResponse(random),
				result: random() < 0.5 ? 'error' : 'ok',
			}),
		],
		[
			'incomplete',
			(random: Random): SimulatedResponse => ({
				...typicalResponse(random),
				result: random() < 0.5 ? 'incomplete' : 'ok',
			}),
		],
	] as const)('a faulty target (%s) is ejected within 3 s', (reason, respondFaulty) => {
		const times = seeds.map(seed => {
			const changes = simulateHealth({
				seed,
				targets: 15,
				seconds: 8,
				rate: 20,
				respond: (target, _, now, random) =>
					target === 3 && now >= 4000 ? respondFaulty(random) : typicalResponse(random),
			});
			const [first] = ejections(changes);
			expect(first).toMatchObject({target: 't3', reason});
			return first!.at - 4000;
		});
		console.log(
			`detection (${reason}), ms over ${seeds.length} seeds: ${times.sort((a, b) => a - b).join(' ')}`,
		);
		expect(Math.max(...times)).toBeLessThanOrEqual(3000);
	});

	test('a service that as a whole becomes five times slower or fails keeps its targets', () => {
		for (const [seed, targets] of [
			[1, 15],
			[2, 15],
			[3, 4],
			[4, 4],
		] as const) {
			const respond = (
				_target: number,
				_holder: number,
				now: number,
				random: Random,
			): SimulatedResponse => {
				const response = typicalResponse(random, now > 20_000 ? 200 : 40);
				return now > 200_000 && random() < 0.5 ? {...response, result: 'error'} : response;
			};

			expect(ejections(simulateHealth({seed, targets, seconds: 300, rate: 20, respond}))).toEqual(
				[],
			);
		}
	});

	test('while a service is slow as a whole, not even its slowest target is ejected', () => {
		const respond = (
			target: number,
			_holder: number,
			now: number,
			random: Random,
		): SimulatedResponse => {
			const slowest = target === 3 && now > 22_000 ? 600 : 200;
			return typicalResponse(random, now > 20_000 ? slowest : 40);
		};

		expect(
			ejections(simulateHealth({seed: 6, targets: 15, seconds: 50, rate: 20, respond})),
		).toEqual([]);
	});

	test('failures that only one holder sees are a path fault and eject no target', () => {
		const respond = (
			target: number,
			holder: number,
			_now: number,
			random: Random,
		): SimulatedResponse =>
			target === 2 && holder === 0
				? {latency: 5, result: 'connection-failed'}
				: typicalResponse(random);
		const options = {seed: 3, targets: 8, seconds: 60, rate: 20, respond};
		expect(ejections(simulateHealth({...options, holders: 3}))).toEqual([]);
		// Without another holder to compare with, the same failures count against the target.
		expect(ejections(simulateHealth({...options, holders: 1}))[0]).toMatchObject({target: 't2'});
	});

	test('each ejection of a flapping target lasts twice as long, up to five minutes', () => {
		const respond = (
			target: number,
			_holder: number,
			now: number,
			random: Random,
		): SimulatedResponse =>
			target === 0 && now % 10_000 < 5000 ? {latency: 5, result: 'error'} : typicalResponse(random);
		const durations = ejections(
			simulateHealth({seed: 5, targets: 6, seconds: 1200, rate: 20, respond}),
		).map(({duration}) => duration);
		expect(durations.slice(0, 7)).toEqual([5, 10, 20, 40, 80, 160, 300].map(s => s * 1000));
	});

	test('a target that has recovered returns through a trial', () => {
		const respond = (
			target: number,
			_holder: number,
			now: number,
			random: Random,
		): SimulatedResponse =>
			target === 0 && now < 8000 ? {latency: 5, result: 'error'} : typicalResponse(random);
		const states = simulateHealth({seed: 5, targets: 6, seconds: 30, rate: 20, respond})
			.filter(({target}) => target === 't0')
			.map(({state}) => state);
		expect(states.slice(0, 2)).toEqual(['ejected', 'trial']);
		expect(states.at(-1)).toBe('healthy');
	});
});
