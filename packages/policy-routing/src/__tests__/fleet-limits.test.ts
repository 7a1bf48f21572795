/**
 * Guards the limits of the fleet that each instance applies alone, the rates of workspaces and the
 * retry budget. Reports of what other instances admitted arrive late, from only a part of a
 * partitioned fleet, or not yet after a restart. Instances that all admit what seems to be left
 * then exceed a limit together, and instances that are too careful refuse requests within it. Also
 * guards against a traffic split that misses its weights because one instance gets only few
 * requests.
 */
import {describe, expect, test} from '@jest/globals';
import {type RouteDefinition} from '@shallotpond/configuration/document-schema';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createLocalRetryBudget} from '../local-retry-budget.js';
import {createTrafficSplit} from '../traffic-split.js';
import {createWorkspaceRateLimiter} from '../workspace-rate-limiter.js';
import {createSlidingWindowCounter} from '../sliding-window-counter.js';
import {limitOf, maxAdmittedOf, rate, simulate, usualDelays, window} from './rate-limit-model.js';

describe('rates of workspaces', () => {
	test('a workspace at eight times its usual load stays below the bound of every window', () => {
		expect(simulate({instances: 36, sent: 185, delay: 500}).maxPerWindow).toBeLessThanOrEqual(
			maxAdmittedOf(rate),
		);
	});

	test('a partitioned fleet does not admit twice the rate', () => {
		const {maxPerWindow} = simulate({instances: 36, sent: 185, delay: 500, isPartitioned: true});
		expect(maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(rate));
	});

	test.each([1, 2])(
		'a partition of %i of 4 domains during a flood does not let each part admit the whole rate',
		partitionedDomains => {
			const scenario = {instances: 36, sent: 8 * 37, isPartitioned: true, partitionAt: 15_000};
			const {maxPerWindow} = simulate({...scenario, partitionedDomains, ...usualDelays});
			expect(maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(rate));
		},
	);

	test('a sudden flood, and a flood during a restart of all processes, stay below the bound', () => {
		for (const sent of [60, 185, 400]) {
			const suddenFlood = {instances: 36, sentBefore: 23, sent, ...usualDelays};
			expect(simulate(suddenFlood).maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(rate));
		}

		for (const restartFraction of [0.3, 0.6, 1]) {
			const flood = {instances: 36, sentBefore: 23, sent: 185, ...usualDelays};
			const restarted = simulate({...flood, restartAt: 12_500, restartFraction});
			expect(restarted.maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(rate));
		}
	});

	// Each instance took itself for the whole fleet two seconds after its start.
	test.each([
		[9, 3500],
		[36, 3500],
		[36, 12_000],
		[98, 12_000],
	])(
		'%i processes that restart during a flood and hear of nobody for %i ms stay below the bound',
		(instances, seedsAwayFor) => {
			for (const sent of [60, 185, 400]) {
				const flood = {instances, sentBefore: 23, sent, ...usualDelays};
				const {maxPerWindow, requests} = simulate({...flood, restartAt: 12_500, seedsAwayFor});
				expect(maxPerWindow).toBeLessThanOrEqual(maxAdmittedOf(rate));
				// Those that are alone still serve, and the fleet gets its whole rate after the contact.
				const alone = requests.filter(({at}) => at > 13_000 && at < 12_500 + seedsAwayFor);
				expect(alone.some(({isAdmitted}) => isAdmitted)).toBe(true);
				const last = requests.filter(({at, isAdmitted}) => at >= 27_000 && isAdmitted);
				expect(last.length).toBeGreaterThan(0.9 * Math.min(sent, rate.rate) * 3);
			}
		},
	);

	test('an instance that has no seeds gets its whole rate', () => {
		const limiter = createWorkspaceRateLimiter({
			bound: {window, excess: 0.25, slack: 20},
			startedAt: 0,
			reachableRatio: () => 1,
			fleetSize: () => 1,
			fleetKnowledge: () => 'whole',
			maxFleetSize: () => 100,
			random: createSeededRandom(13),
		});
		let admitted = 0;
		for (let now = 3000; now < 13_000; now += 20) {
			admitted += Number(limiter.admit('w', rate, now).isAdmitted);
		}

		expect(admitted).toBeGreaterThan(0.9 * rate.rate * 10);
	});

	test('a flooding workspace gets what its limit allows, evenly over time', () => {
		for (const sent of [185, 400]) {
			const {admittedFraction, minPerSecond} = simulate({
				instances: 36,
				sentBefore: 23,
				sent,
				...usualDelays,
			});
			const limitPerSecond = (limitOf(rate) / window) * 1000;
			expect((admittedFraction * sent) / limitPerSecond).toBeGreaterThan(0.9);
			expect(minPerSecond / limitPerSecond).toBeGreaterThan(0.6);
		}
	});

	test('almost no request of a workspace within its rate is refused, although its load on the instances is uneven', () => {
		expect(simulate({instances: 36, sent: 23, delay: 500}).admittedFraction).toBeGreaterThan(0.99);
	});

	test('a workspace above its rate still gets its rate', () => {
		const {admittedFraction} = simulate({instances: 36, sent: 185, delay: 500});
		expect(admittedFraction * 185).toBeGreaterThan(0.85 * rate.rate);
	});
});

describe('local retry budget', () => {
	test('the retries of all instances together stay within the budget without communication', () => {
		const budget = {ratio: 0.2, reserve: 58, window: 10_000};
		const instances = Array.from({length: 36}, () =>
			createLocalRetryBudget({
				...budget,
				fleetSize: () => 36,
				startedAt: Number.NEGATIVE_INFINITY,
			}),
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

	test('events before the window no longer count', () => {
		const counter = createSlidingWindowCounter({window: 10_000});
		counter.add(5, 0);
		expect(counter.total(9000)).toBe(5);
		expect(counter.total(12_000)).toBe(0);
		expect(counter.total(1_000_000)).toBe(0);
	});
});

describe('traffic split of a route', () => {
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

	test('one instance matches the weights of the services within a few requests', () => {
		const trafficSplit = createTrafficSplit(createSeededRandom(5));
		const chosen = Array.from({length: 40}, () => trafficSplit.choose(route));
		const fraction = chosen.filter(service => service === 'b').length / 40;
		expect(fraction).toBeGreaterThanOrEqual(0.05);
		expect(fraction).toBeLessThanOrEqual(0.15);
	});
});
