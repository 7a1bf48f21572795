/**
 * Guards against silence that is taken for the absence of requests, against admissions that are
 * counted twice or not at all when a late report arrives, and against a member that is charged for
 * what it admitted within its own part of the rate while it was cut off.
 */
import {describe, expect, test} from '@jest/globals';
import {createReportedUsageRates, type UsageRateChange} from '../reported-usage-rates.js';

const reportInterval = 250;

function createRates() {
	const lost = new Set<string>();
	const sums = {askedRate: 0, admittedRate: 0, reported: 0, assumed: 0};
	const rates = createReportedUsageRates({
		isReachable: member => !lost.has(member),
		onChange(_workspace, change) {
			for (const key of Object.keys(sums) as Array<keyof UsageRateChange>) {
				sums[key] += change[key];
			}
		},
	});

	return {
		...rates,
		sums,
		lost,
		/** Two members with 8 requests per second each, 4 of them admitted. */
		reportUntil(until: number) {
			for (let now = 0; now <= until; now += reportInterval) {
				for (const member of ['a', 'b']) {
					rates.record(member, [{workspace: 'w', asked: 2, admitted: 1}], now);
				}
			}
		},
	};
}

describe('reported usage rates', () => {
	test('the requests of a member that falls silent are assumed to go on until it is unreachable', () => {
		const {reportUntil, record, removeUnreachable, sums, lost} = createRates();
		reportUntil(4000);
		expect(sums.askedRate).toBeCloseTo(0.016, 3);
		expect(sums.admittedRate).toBeCloseTo(0.008, 3);
		record('b', [{workspace: 'w', asked: 2, admitted: 1}], 4250);
		expect(removeUnreachable(4300)).toBeUndefined();
		expect(sums.askedRate).toBeCloseTo(0.016, 3);
		lost.add('a');
		expect(removeUnreachable(4800)).toBe(800);
		expect(removeUnreachable(4900)).toBeUndefined();
		expect(sums.askedRate).toBeCloseTo(0.008, 3);
	});

	test('a report replaces what was assumed, and an empty one lowers the rates', () => {
		const {reportUntil, record, sums} = createRates();
		reportUntil(4000);
		const before = {...sums};
		record('a', [], 4500);
		expect(sums.assumed - before.assumed).toBeCloseTo(0.004 * 500, 1);
		expect(sums.reported).toBe(before.reported);
		expect(sums.askedRate).toBeLessThan(0.01);
		record('a', [], 12_000);
		expect(sums.askedRate).toBeCloseTo(0.008, 3);
	});

	test('what a member admitted while it was unreachable is not counted here', () => {
		const {reportUntil, record, removeUnreachable, sums, lost} = createRates();
		reportUntil(4000);
		lost.add('a');
		removeUnreachable(5000);
		const {reported} = sums;
		lost.delete('a');
		record('a', [{workspace: 'w', asked: 100, admitted: 40}], 8000);
		expect(sums.reported - reported).toBeCloseTo(40 / 4);
		record('a', [{workspace: 'w', asked: 2, admitted: 1}], 8250);
		expect(sums.reported - reported).toBeCloseTo(40 / 4 + 1);
	});

	test('a member that stopped in order is not assumed to go on for long', () => {
		const {reportUntil, removeUnreachable, sums} = createRates();
		reportUntil(4000);
		removeUnreachable(7500);
		expect(sums.askedRate).toBeCloseTo(0);
	});
});
