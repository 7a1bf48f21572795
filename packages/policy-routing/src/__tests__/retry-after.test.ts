/** Retry delays of callers whose requests were rejected: short enough, and spread over time. */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {drawRetryAfter} from '../retry-after.js';

/** Latency objective of the route. */
const objectiveMs = 800;
/** Time that an accepted attempt takes. */
const serviceTimeMs = 130;
/** As in the fault `srv_grey shed all`: the probability that any target rejects an attempt. */
const shedRatio = 0.55;

/** Simulates 2,000 requests with up to three retries; returns the fraction served in time. */
function servedInTime(retryDelay: (() => number) | undefined): number {
	const random = createSeededRandom(5);
	const requests = 2000;
	let served = 0;
	for (let request = 0; request < requests; request++) {
		let elapsed = 0;
		for (let attempt = 0; attempt < 4; attempt++) {
			if (random() >= shedRatio) {
				served += Number(elapsed + serviceTimeMs <= objectiveMs);
				break;
			}

			if (retryDelay === undefined) {
				break;
			}

			elapsed += retryDelay();
		}
	}

	return served / requests;
}

describe('retry delay', () => {
	test('most callers that retry are served within the objective, unlike those that give up', () => {
		const random = createSeededRandom(7);
		expect(servedInTime(undefined)).toBeLessThan(0.5);
		expect(servedInTime(() => drawRetryAfter(objectiveMs, random))).toBeGreaterThan(0.8);
	});

	test('callers that were refused together do not retry together', () => {
		const random = createSeededRandom(9);
		const delays = Array.from({length: 200}, () => drawRetryAfter(objectiveMs, random));
		const countNear = (moment: number) =>
			delays.filter(delay => Math.abs(delay - moment) < 10).length;
		expect(Math.max(...delays.map(countNear))).toBeLessThan(40);
	});
});
