/**
 * Targets under Poisson work, judged in simulated time.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type Random} from '@shallotpond/kernel/random';
import {createTargetHealth, type HealthChange} from '../target-health.js';
import {logNormal} from './simulated-fleet.js';

export type Answer = {readonly latency: number; readonly result: AttemptResult};
export type HealthSimulation = {
	readonly seed: number;
	readonly targets: number;
	readonly seconds: number;
	/** Requests per second and target. */
	readonly rate: number;
	readonly holders?: number;
	readonly answer: (target: number, holder: number, now: number, random: Random) => Answer;
};

const {log} = Math;
/** Milliseconds of one step of simulated time. */
const step = 25;

/** Park and Miller's generator. It looks up no global, which matters for millions of calls. */
function createFastRandom(seed: number): Random {
	let state = seed * 7919;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Poisson work on all targets; an answer is recorded when it would have arrived. */
export function simulateHealth({
	seed,
	targets,
	seconds,
	rate,
	holders = 12,
	answer,
}: HealthSimulation) {
	const random = createFastRandom(seed);
	const health = createTargetHealth({isEjectionAllowed: () => true});
	const changes: Array<HealthChange & {readonly at: number}> = [];
	const arriving = new Map<number, Array<{target: number; holder: number; answer: Answer}>>();
	const next = Array.from({length: targets}, () => 0);
	const gap = () => (-log(1 - random()) * 1000) / rate;
	for (let now = 0; now < seconds * 1000; now += step) {
		for (let target = 0; target < targets; target++) {
			for (; next[target]! <= now; next[target]! += gap()) {
				if (health.stateOf(`t${target}`) === 'ejected') {
					continue;
				}

				const holder = Math.floor(random() * holders);
				const given = answer(target, holder, now, random);
				const due = now + Math.ceil(given.latency / step) * step;
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

export const ordinary = (random: Random, median = 40, deviation = 0.5): Answer => ({
	latency: logNormal(median, random, deviation),
	result: random() < 0.005 ? 'error' : 'ok',
});
export const ejections = (changes: ReturnType<typeof simulateHealth>) =>
	changes.filter(({state}) => state === 'ejected');
