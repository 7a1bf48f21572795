/**
 * Simulates targets under Poisson load in simulated time and evaluates their health, so that hours
 * of requests can be tested within seconds.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type Random} from '@shallotpond/kernel/random';
import {createTargetHealth, type HealthChange} from '../target-health.js';
import {sampleLogNormal} from './simulated-fleet.js';

/** `latency` in milliseconds. */
export type SimulatedResponse = {readonly latency: number; readonly result: AttemptResult};
export type HealthSimulation = {
	readonly seed: number;
	readonly targets: number;
	readonly seconds: number;
	/** Requests per second and target. */
	readonly rate: number;
	readonly holders?: number;
	readonly respond: (
		target: number,
		holder: number,
		now: number,
		random: Random,
	) => SimulatedResponse;
};

const {log} = Math;
/** Step of simulated time. */
const stepMs = 25;

/** Park-Miller generator. It looks up no globals, which matters for millions of calls. */
function createFastRandom(seed: number): Random {
	let state = seed * 7919;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

/** Sends Poisson load to all targets and records each response when it would have arrived. */
export function simulateHealth({
	seed,
	targets,
	seconds,
	rate,
	holders = 12,
	respond,
}: HealthSimulation) {
	const random = createFastRandom(seed);
	const health = createTargetHealth({isEjectionAllowed: () => true});
	const changes: Array<HealthChange & {readonly at: number}> = [];
	const arriving = new Map<
		number,
		Array<{target: number; holder: number; response: SimulatedResponse}>
	>();
	const nextArrivals = Array.from({length: targets}, () => 0);
	const gap = () => (-log(1 - random()) * 1000) / rate;
	for (let now = 0; now < seconds * 1000; now += stepMs) {
		for (let target = 0; target < targets; target++) {
			for (; nextArrivals[target]! <= now; nextArrivals[target]! += gap()) {
				if (health.stateOf(`t${target}`) === 'ejected') {
					continue;
				}

				const holder = Math.floor(random() * holders);
				const response = respond(target, holder, now, random);
				const due = now + Math.ceil(response.latency / stepMs) * stepMs;
				const list = arriving.get(due) ?? [];
				list.push({target, holder, response});
				arriving.set(due, list);
			}
		}

		for (const {target, holder, response} of arriving.get(now) ?? []) {
			const outcome = {...response, slotTime: response.latency};
			health.record(`t${target}`, `h${holder}`, outcome, now);
		}

		arriving.delete(now);
		if (now % 250 === 0) {
			changes.push(...health.evaluate(now).map(change => ({...change, at: now})));
		}
	}

	return changes;
}

export const typicalResponse = (
	random: Random,
	median = 40,
	deviation = 0.5,
): SimulatedResponse => ({
	latency: sampleLogNormal(median, random, deviation),
	result: random() < 0.005 ? 'error' : 'ok',
});
export const ejections = (changes: ReturnType<typeof simulateHealth>) =>
	changes.filter(({state}) => state === 'ejected');
