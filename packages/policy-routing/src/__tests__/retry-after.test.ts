/** Retry delays of callers whose requests were rejected: short enough, and spread over time. */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {drawRetryAfter} from '../retry-after.js';

const objective = 800;
const serviceTime = 130;
/** As in `srv_grey shed all`: each attempt is rejected with this probability, at any target. */
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
				served += Number(elapsed + serviceTime <= objective);
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
		expect(servedInTime(() => drawRetryAfter(objective, random))).toBeGreaterThan(0.8);
	});

	test('callers that were refused together do not retry together', () => {
		const random = createSeededRandom(9);
		const times = Array.from({length: 200}, () => drawRetryAfter(objective, random));
		const inSameMoment = (moment: number) =>
			times.filter(time => Math.abs(time - moment) < 10).length;
		expect(Math.max(...times.map(inSameMoment))).toBeLessThan(40);
	});
});
