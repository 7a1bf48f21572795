/**
 * Guards the rate of a workspace against a fleet that falls apart. An instance learns only from
 * reports what the others admit. If it takes the silence of members that are cut off for the absence
 * of their requests, or notices late that a part of the fleet is missing, each part admits the whole
 * rate. Also guards against the opposite: a workspace within its rate that is refused because some
 * reports are late.
 */
import {describe, expect, test} from '@jest/globals';
import {
	limit,
	maxAdmitted,
	simulateFleetRates,
	type FleetRatesScenario,
	type ModelInstance,
} from './fleet-rates-model.js';

/** Requests per second, of which `limit` allows the workspace about twice as many. */
const usualRequests = 23;
const floodRequests = 8 * usualRequests;
const limitPerSecond = limit / 5;
const partitionAt = 8000;
const healedAt = 16_000;
const floodEndsAt = 18_000;
const duration = 22_000;

/** The number of the part in which an instance is, by name of the partition. */
const partitions = {
	'one failure domain from the others': ({domain}) => Number(domain === 3),
	'two failure domains from two others': ({domain}) => Number(domain >= 2),
	'all failure domains from each other': ({domain}) => domain,
	'every second instance of each failure domain': ({place}) => place % 2,
	'a quarter of the instances, each alone': ({index}) => (index % 4 === 1 ? index : 0),
	'all instances from each other': ({index}) => index,
} satisfies Record<string, (instance: ModelInstance) => number>;

type Partition = keyof typeof partitions;

function simulate(seed: number, scenario: Partial<FleetRatesScenario>) {
	return simulateFleetRates({
		seed,
		domainSizes: [12, 8, 8, 8],
		// Not in proportion to the instances, as callers choose the nearest failure domain.
		domainWeights: [31, 23, 25, 31],
		sent: () => usualRequests,
		otherRequests: 80,
		partOf: () => 0,
		duration,
		...scenario,
	});
}

function simulatePartition(seed: number, partition: Partition, floodAt: number) {
	const partOf = partitions[partition];
	return simulate(seed, {
		sent: now => (now >= floodAt && now < floodEndsAt ? floodRequests : usualRequests),
		partOf: (instance, now) => (now >= partitionAt && now < healedAt ? partOf(instance) : 0),
	});
}

describe('rate of a workspace in a fleet that falls apart', () => {
	const names = Object.keys(partitions) as Partition[];

	test.each(names)(
		'a flood before, at or soon after a partition of %s does not let each part admit the whole rate',
		partition => {
			for (const floodAt of [5000, partitionAt, partitionAt + 300]) {
				const {maxPerWindow} = simulatePartition(1, partition, floodAt);
				expect(maxPerWindow).toBeLessThanOrEqual(maxAdmitted);
			}
		},
	);

	test('a flood that begins when the partition is known stays below the bound', () => {
		for (const partition of names) {
			const {maxPerWindow} = simulatePartition(2, partition, partitionAt + 4000);
			expect(maxPerWindow).toBeLessThanOrEqual(maxAdmitted);
		}
	});

	test('after a partition a flooding workspace is not left with nothing for what the other part admitted', () => {
		for (const partition of names) {
			const {admitted} = simulatePartition(3, partition, 5000);
			expect(admitted(healedAt, healedAt + 2000) / 2).toBeGreaterThan(0.5 * limitPerSecond);
		}
	});

	test('a flooding workspace still gets what its limit allows while failure domains are cut off', () => {
		const partition = 'two failure domains from two others';
		const {admitted} = simulatePartition(4, partition, 5000);
		expect(admitted(5000, partitionAt) / 3).toBeGreaterThan(0.9 * limitPerSecond);
		expect(admitted(partitionAt, healedAt) / 8).toBeGreaterThan(0.9 * limitPerSecond);
	});

	test('a workspace within its rate is not refused because reports are rare or late', () => {
		for (const otherRequests of [5, 80, 300]) {
			const {admittedFraction} = simulate(5, {otherRequests});
			expect(admittedFraction(0, duration)).toBeGreaterThan(0.999);
		}
	});

	test('a workspace within its rate is not refused by the other instances while many processes are down for a second', () => {
		for (const seed of [6, 7, 8]) {
			const {admittedFraction} = simulate(seed, {
				partOf: ({index}, now) => (index % 5 < 3 && now >= 8000 && now < 9000 ? undefined : 0),
			});
			expect(admittedFraction(8000, 9000)).toBeGreaterThan(0.99);
		}
	});

	test('a workspace within its rate is served on both sides of a partition', () => {
		for (const partition of [
			'one failure domain from the others',
			'two failure domains from two others',
		] as const) {
			const {admittedFraction} = simulatePartition(7, partition, floodEndsAt);
			expect(admittedFraction(partitionAt, healedAt)).toBeGreaterThan(0.97);
		}
	});
});
