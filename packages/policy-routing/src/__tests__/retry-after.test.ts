/**
 * Guards against retry delays that are too long for a response within the latency objective, and
 * against delays without enough jitter, with which callers that were refused together retry
 * together.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {drawRetryAfter} from '../retry-after.js';

/** Latency objective of the route. */
const objectiveMs = 800;
/** Time that an accepted attempt takes. */
const serviceTimeMs = 130;
/** Probability that any target rejects an attempt, as in the fault `srv_grey shed all`. */
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
