/** Callers that targets turned away: whether they are told to return, when, and how spread. */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {drawRetryAfter} from '../retry-after.js';

const objective = 800;
const work = 130;
/** As in `srv_grey shed all`: each try is turned away with this chance, whatever the target. */
const shedShare = 0.55;

/** Plays 2,000 requests; a caller returns at most three times. Returns the share served in time. */
function servedInTime(returnTime: (() => number) | undefined): number {
	const random = createSeededRandom(5);
	const requests = 2000;
	let served = 0;
	for (let request = 0; request < requests; request++) {
		let elapsed = 0;
		for (let attempt = 0; attempt < 4; attempt++) {
			if (random() >= shedShare) {
				served += Number(elapsed + work <= objective);
				break;
			}

			if (returnTime === undefined) {
				break;
			}

			elapsed += returnTime();
		}
	}

	return served / requests;
}

describe('time of return', () => {
	test('callers that return are served within the objective where those that give up are not', () => {
		const random = createSeededRandom(7);
		expect(servedInTime(undefined)).toBeLessThan(0.5);
		expect(servedInTime(() => drawRetryAfter(objective, random))).toBeGreaterThan(0.8);
	});

	test('callers that were refused together do not return together', () => {
		const random = createSeededRandom(9);
		const times = Array.from({length: 200}, () => drawRetryAfter(objective, random));
		const inSameMoment = (moment: number) =>
			times.filter(time => Math.abs(time - moment) < 10).length;
		expect(Math.max(...times.map(inSameMoment))).toBeLessThan(40);
	});
});
