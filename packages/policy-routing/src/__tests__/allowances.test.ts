/** The fleet's retry budget and the rates of workspaces, kept by instances that hear each other late. */
import {describe, expect, test} from '@jest/globals';
import {type RouteDefinition} from '@shallotpond/configuration/document-schema';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createRetryAllowance} from '../retry-allowance.js';
import {createServiceSplit} from '../service-split.js';
import {createSlidingCount} from '../sliding-count.js';
import {createWorkspaceAllowance} from '../workspace-allowance.js';

/** As on the platform: the bound of every window of 5 s. */
const window = 5000;
const bound = ({rate, burst}: {rate: number; burst: number}) =>
	((rate * window) / 1000 + burst) * 1.25 + 20;

type Trial = {
	readonly instances: number;
	/** Requests per second that the workspace sends to all instances together. */
	readonly sent: number;
	/** Milliseconds until the others hear of an admission; infinite for a partition in two halves. */
	readonly delay: number;
	readonly isParted?: boolean;
};

const rate = {rate: 37, burst: 37};

/** Plays 30 s and returns the admissions of the worst window and the share admitted. */
function play(trial: Trial) {
	const random = createSeededRandom(3);
	const side = (index: number) => (trial.isParted === true ? index % 2 : 0);
	const contact = trial.isParted === true ? 0.5 : 1;
	const instances = Array.from({length: trial.instances}, () =>
		createWorkspaceAllowance({contact: () => contact, random}),
	);
	const admissions: Array<{at: number; from: number}> = [];
	let reported = 0;
	let sent = 0;
	const step = 10;
	for (let now = 0; now < 30_000; now += step) {
		for (let chance = (trial.sent * step) / 1000; chance > 0; chance--) {
			if (random() >= chance) {
				continue;
			}

			sent++;
			const from = Math.floor(random() * trial.instances);
			if (instances[from]!.admit('w', rate, now).isAdmitted) {
				admissions.push({at: now, from});
			}
		}

		for (; reported < admissions.length; reported++) {
			const {at, from} = admissions[reported]!;
			if (at + trial.delay > now) {
				break;
			}

			for (const [index, instance] of instances.entries()) {
				if (index !== from && side(index) === side(from)) {
					instance.noteAdmitted('w', 1, now);
				}
			}
		}
	}

	let worst = 0;
	for (const [index, {at}] of admissions.entries()) {
		let end = index;
		while (end < admissions.length && admissions[end]!.at < at + window) {
			end++;
		}

		worst = Math.max(worst, end - index);
	}

	return {worst, share: admissions.length / sent};
}

describe('rates of workspaces', () => {
	test('a workspace at eight times its usual load stays below the bound of every window', () => {
		expect(play({instances: 36, sent: 185, delay: 500}).worst).toBeLessThanOrEqual(bound(rate));
	});

	test('a fleet cut in half does not give twice the rate', () => {
		const {worst} = play({instances: 36, sent: 185, delay: 500, isParted: true});
		expect(worst).toBeLessThanOrEqual(bound(rate));
	});

	test('a workspace within its rate is refused almost nothing, however uneven its instances are', () => {
		expect(play({instances: 36, sent: 23, delay: 500}).share).toBeGreaterThan(0.99);
	});

	test('at overload the workspace still gets its rate', () => {
		const {share} = play({instances: 36, sent: 185, delay: 500});
		expect(share * 185).toBeGreaterThan(0.85 * rate.rate);
	});
});

describe('retry allowance', () => {
	test('the sum over all instances keeps the budget although they do not speak to each other', () => {
		const budget = {ratio: 0.2, reserve: 58, window: 10_000};
		const instances = Array.from({length: 36}, () =>
			createRetryAllowance({...budget, fleetSize: () => 36}),
		);
		let requests = 0;
		let retries = 0;
		const random = createSeededRandom(1);
		for (let now = 0; now < 10_000; now += 10) {
			const instance = instances[Math.floor(random() * 36)]!;
			instance.countRequest('roster', now);
			requests++;
			retries += Number(instance.take('roster', now)) + Number(instance.take('roster', now));
		}

		expect(retries).toBeGreaterThan(0.15 * requests);
		expect(retries).toBeLessThanOrEqual(budget.ratio * requests + budget.reserve);
	});

	test('what happened before the window does not count any more', () => {
		const count = createSlidingCount({window: 10_000});
		count.add(5, 0);
		expect(count.total(9000)).toBe(5);
		expect(count.total(12_000)).toBe(0);
		expect(count.total(1_000_000)).toBe(0);
	});
});

describe('services of a route', () => {
	const route: RouteDefinition = {
		id: 'r',
		hosts: [],
		pathPrefix: '/',
		methods: [],
		service: 'a',
		split: [
			{service: 'a', weight: 90},
			{service: 'b', weight: 10},
		],
		open: true,
		timeout: 1000,
		stallTimeout: 1000,
		idempotentMethods: [],
		expectation: {smallestBody: 0, contentTypes: []},
		largestRequestBody: 0,
	};

	test('one instance keeps to the weights within few requests', () => {
		const split = createServiceSplit(createSeededRandom(5));
		const chosen = Array.from({length: 40}, () => split.choose(route));
		const share = chosen.filter(service => service === 'b').length / 40;
		expect(share).toBeGreaterThanOrEqual(0.05);
		expect(share).toBeLessThanOrEqual(0.15);
	});
});
