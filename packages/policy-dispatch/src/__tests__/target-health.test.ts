import {describe, expect, test} from '@jest/globals';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type SlotResult} from '../slot-messages.js';
import {createTargetHealth, type HealthChange} from '../target-health.js';
import {logNormal} from './simulated-fleet.js';

type Answer = {readonly latency: number; readonly result: SlotResult};
type Trial = {
	readonly seed: number;
	readonly targets: number;
	readonly seconds: number;
	/** Requests per second and target. */
	readonly rate: number;
	readonly holders?: number;
	readonly answer: (target: number, holder: number, now: number, random: Random) => Answer;
};

const {log} = Math;

/** Poisson work on all targets; an answer is recorded when it would have arrived. */
function runTrial({seed, targets, seconds, rate, holders = 12, answer}: Trial) {
	const random = createSeededRandom(seed);
	const health = createTargetHealth({mayEject: () => true});
	const changes: Array<HealthChange & {readonly at: number}> = [];
	const arriving = new Map<number, Array<{target: number; holder: number; answer: Answer}>>();
	const next = Array.from({length: targets}, () => 0);
	const gap = () => (-log(1 - random()) * 1000) / rate;
	for (let now = 0; now < seconds * 1000; now += 10) {
		for (let target = 0; target < targets; target++) {
			for (; next[target]! <= now; next[target]! += gap()) {
				if (health.stateOf(`t${target}`) === 'ejected') {
					continue;
				}

				const holder = Math.floor(random() * holders);
				const given = answer(target, holder, now, random);
				const due = now + Math.ceil(given.latency / 10) * 10;
				const list = arriving.get(due) ?? [];
				list.push({target, holder, answer: given});
				arriving.set(due, list);
			}
		}

		for (const {target, holder, answer: given} of arriving.get(now) ?? []) {
			const outcome = {...given, slotTime: given.latency};
			health.record(`t${target}`, `h${holder}`, outcome, now);
		}

		arriving.delete(now);
		if (now % 250 === 0) {
			changes.push(...health.evaluate(now).map(change => ({...change, at: now})));
		}
	}

	return changes;
}

const ordinary = (random: Random, median = 40, deviation = 0.5): Answer => ({
	latency: logNormal(median, random, deviation),
	result: random() < 0.005 ? 'error' : 'ok',
});
const ejections = (changes: ReturnType<typeof runTrial>) =>
	changes.filter(({state}) => state === 'ejected');
const seeds = Array.from({length: 40}, (_, index) => index + 1);

describe('target health', () => {
	test.each([
		['slow', (random: Random): Answer => ordinary(random, 400)],
		[
			'errors',
			(random: Random): Answer => ({...ordinary(random), result: random() < 0.5 ? 'error' : 'ok'}),
		],
		[
			'incomplete',
			(random: Random): Answer => ({
				...ordinary(random),
				result: random() < 0.5 ? 'incomplete' : 'ok',
			}),
		],
	] as const)(
		'a target that is faulty (%s) is out within 3 s, or callers suffer longer',
		(reason, faulty) => {
			const times = seeds.map(seed => {
				const changes = runTrial({
					seed,
					targets: 15,
					seconds: 8,
					rate: 20,
					answer: (target, _, now, random) =>
						target === 3 && now >= 4000 ? faulty(random) : ordinary(random),
				});
				const [first] = ejections(changes);
				expect(first).toMatchObject({target: 't3', reason});
				return first!.at - 4000;
			});
			console.log(
				`detection (${reason}), ms over ${seeds.length} seeds: ${times.sort((a, b) => a - b).join(' ')}`,
			);
			expect(Math.max(...times)).toBeLessThanOrEqual(3000);
		},
	);

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
		for (const seed of seeds.slice(0, 5)) {
			const answer = (_target: number, _holder: number, now: number, random: Random): Answer => {
				const usual = ordinary(random, now > 20_000 ? 200 : 40);
				return now > 200_000 && random() < 0.5 ? {...usual, result: 'error'} : usual;
			};

			expect(ejections(runTrial({seed, targets: 15, seconds: 300, rate: 20, answer}))).toEqual([]);
		}
	});

	test('failures that one holder alone sees are a path fault and eject nothing', () => {
		const answer = (target: number, holder: number, _now: number, random: Random): Answer =>
			target === 2 && holder === 0 ? {latency: 5, result: 'connection-failed'} : ordinary(random);
		const trial = {seed: 3, targets: 8, seconds: 60, rate: 20, answer};
		expect(ejections(runTrial({...trial, holders: 3}))).toEqual([]);
		// The same failures are the target's own when there is no other holder to compare with.
		expect(ejections(runTrial({...trial, holders: 1}))[0]).toMatchObject({target: 't2'});
	});

	test('a flapping target stays out twice as long each time, up to five minutes', () => {
		const answer = (target: number, _holder: number, now: number, random: Random): Answer =>
			target === 0 && now % 10_000 < 5000 ? {latency: 5, result: 'error'} : ordinary(random);
		const durations = ejections(
			runTrial({seed: 5, targets: 6, seconds: 1200, rate: 20, answer}),
		).map(({duration}) => duration);
		expect(durations.slice(0, 7)).toEqual([5, 10, 20, 40, 80, 160, 300].map(s => s * 1000));
	});

	test('a target that works again returns through a trial', () => {
		const answer = (target: number, _holder: number, now: number, random: Random): Answer =>
			target === 0 && now < 8000 ? {latency: 5, result: 'error'} : ordinary(random);
		const states = runTrial({seed: 5, targets: 6, seconds: 30, rate: 20, answer})
			.filter(({target}) => target === 't0')
			.map(({state}) => state);
		expect(states.slice(0, 2)).toEqual(['ejected', 'trial']);
		expect(states.at(-1)).toBe('healthy');
	});
});
