/** Guards against an instance that stays behind the others without any sign of it. */
import {expect, test} from '@jest/globals';
import {createPublishedLag} from '../published-lag.js';

test('the lag counts from the first report of a newer state, until the instance has that state', () => {
	const lag = createPublishedLag();
	lag.recordReport({revision: 5}, {revision: 5}, 100);
	expect(lag.recordProgress({revision: 5}, 200)).toBeUndefined();
	lag.recordReport({revision: 7}, {revision: 5}, 1000);
	lag.recordReport({revision: 9}, {revision: 5}, 1500);
	expect(lag.recordProgress({revision: 6}, 2000)).toBeUndefined();
	expect(lag.recordProgress({revision: 8}, 2500)).toBe(1500);
	expect(lag.recordProgress({revision: 9}, 2600)).toBeUndefined();
});

test('a state of a later era is newer whatever its revision', () => {
	const lag = createPublishedLag();
	lag.recordReport({era: 2, revision: 3}, {era: 1, revision: 90}, 1000);
	expect(lag.recordProgress({era: 1, revision: 95}, 1100)).toBeUndefined();
	expect(lag.recordProgress({era: 2, revision: 3}, 1200)).toBe(200);
});
