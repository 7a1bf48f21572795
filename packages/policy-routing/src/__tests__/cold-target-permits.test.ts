/**
 * Guards against a fleet whose instances together send a cold target more requests within a second
 * than it can serve: after a while without requests, while members become known, and in a fleet of
 * any size. Also guards against permits that one instance, or a small fleet, cannot use.
 */
import {describe, expect, test} from '@jest/globals';
import {countMaxInWindow} from '@shallotpond/testkit/max-in-window';
import {createColdTargetPermits, type ColdTargetPermits} from '../cold-target-permits.js';
import {type KnownTarget} from '../target-directory.js';

const target: KnownTarget = {
	definition: {id: 'cold', address: '10.0.0.1:80', failureDomain: 'north'},
	incarnation: 'cold@1',
	service: 'roster',
	slots: 4,
	coldUntil: Number.POSITIVE_INFINITY,
	listedAt: 0,
};
/** Cold rate and bound of deployments with that many instances. */
const deployments = [
	{instances: 1, coldRate: 10, bound: {excess: 1.5, slack: 5}},
	{instances: 12, coldRate: 10, bound: {excess: 1.5, slack: 5}},
	{instances: 48, coldRate: 7.1, bound: {excess: 1.5, slack: 5}},
	{instances: 98, coldRate: 7.6, bound: {excess: 1.5, slack: 8}},
	{instances: 292, coldRate: 2.2, bound: {excess: 1.5, slack: 10}},
	{instances: 800, coldRate: 2, bound: {excess: 1.2, slack: 0}},
];
const step = 10;

type Fleet = {
	readonly instances: readonly ColdTargetPermits[];
	readonly coldRate: number;
};

function createFleet(
	{instances, coldRate, bound}: (typeof deployments)[number],
	sizeOf = (_index: number, _now: number) => instances,
): Fleet {
	return {
		coldRate,
		instances: Array.from({length: instances}, (_, index) =>
			createColdTargetPermits({
				bound,
				fleetSize: now => sizeOf(index, now),
				fleetPosition: () => index / instances,
				targetPosition: () => 0.3,
				random: () => 0.5,
			}),
		),
	};
}

/** Times of the requests if every instance sends one whenever `isBusy` and it may. */
function sendAll(
	{instances, coldRate}: Fleet,
	duration: number,
	isBusy: (now: number) => boolean,
): number[] {
	const times: number[] = [];
	for (let now = 0; now < duration; now += step) {
		for (const permits of instances) {
			if (permits.isAvailable(target, coldRate, now) && isBusy(now)) {
				permits.use(target, coldRate, now);
				times.push(now);
			}
		}
	}

	return times;
}

const worstSecond = (times: readonly number[]) => countMaxInWindow(times, 1000);

describe.each(deployments)('permits of $instances instances', deployment => {
	const {coldRate, bound} = deployment;
	const maxPerSecond = coldRate * bound.excess + bound.slack;

	test('a rush after a while without requests does not flood the target', () => {
		for (const rushAt of [0, 500, 3000, 20_000]) {
			const times = sendAll(createFleet(deployment), rushAt + 5000, now => now >= rushAt);
			expect(worstSecond(times)).toBeLessThanOrEqual(maxPerSecond);
		}
	});

	test('instances that learn of each other at different times do not flood the target', () => {
		// Each instance first knows twice as many, as a new process assumes, and then learns the size in
		// steps at its own times.
		const sizeOf = (index: number, now: number) =>
			deployment.instances * Math.max(1, 2 - Math.floor((now + index * 37) / 100) / 30);
		const times = sendAll(createFleet(deployment, sizeOf), 10_000, () => true);
		expect(worstSecond(times)).toBeLessThanOrEqual(maxPerSecond);
	});

	test('the target gets at least a third of its rate while all instances are busy', () => {
		const times = sendAll(createFleet(deployment), 30_000, () => true);
		expect(times.length).toBeGreaterThanOrEqual((coldRate / 3) * 30);
	});
});

test('a permit that was not used in time lapses', () => {
	const permits = createColdTargetPermits({
		bound: {excess: 1.5, slack: 5},
		fleetSize: () => 48,
		fleetPosition: () => 0,
		targetPosition: () => 0,
		random: () => 0.5,
	});
	expect(permits.isAvailable(target, 10, 0)).toBe(true);
	expect(permits.isAvailable(target, 10, 4000)).toBe(false);
	expect(permits.isAvailable(target, 10, 6500)).toBe(true);
});

test('requests that reach the only instance together are not refused while the target bears them', () => {
	const permits = createColdTargetPermits({
		bound: {excess: 1.5, slack: 5},
		fleetSize: () => 1,
		fleetPosition: () => 0,
		targetPosition: () => 0,
		random: () => 0.5,
	});
	let permitted = 0;
	for (const now of [0, 1000, 1000, 1000]) {
		if (permits.isAvailable(target, 10, now)) {
			permits.use(target, 10, now);
			permitted++;
		}
	}

	// Four requests in two seconds; the target bears ten per second.
	expect(permitted).toBe(4);
});
