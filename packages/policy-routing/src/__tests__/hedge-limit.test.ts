/**
 * Guards the operator's limit of hedges against bursts and against processes that restart and know
 * nothing of the hedges of their predecessors.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createHedgeLimit, hedgeWindowMs} from '../hedge-limit.js';

const ratio = 0.1;
const duration = 600_000;

/**
 * One instance: requests come at a rate that changes, all of them are late in some spans, and the
 * process restarts now and then. Returns the largest excess over the limit at any hedge.
 */
function simulate(seed: number, meanLifetime: number) {
	const random = createSeededRandom(seed);
	const requests: number[] = [];
	const hedges: number[] = [];
	let limit = createHedgeLimit({ratio, hasPredecessor: false});
	let rate = 5;
	let isLate = false;
	let excess = Number.NEGATIVE_INFINITY;
	const countFrom = (times: readonly number[], from: number) =>
		times.filter(at => at > from).length;

	/** Sends all hedges that the limit allows. */
	function sendHedges(now: number): void {
		while (limit.isOpen('s', now)) {
			limit.countHedge('s', now);
			hedges.push(now);
			const from = now - hedgeWindowMs;
			excess = Math.max(excess, countFrom(hedges, from) - ratio * countFrom(requests, from));
		}
	}

	for (let now = 0; now < duration; now += 100) {
		if (random() < 0.01) {
			rate = 20 * random();
			isLate = random() < 0.5;
		}

		if (random() < 100 / meanLifetime) {
			limit = createHedgeLimit({ratio, hasPredecessor: true});
		}

		if (random() < rate / 10) {
			requests.push(now);
			limit.countRequest('s', now);
		}

		if (isLate) {
			sendHedges(now);
		}
	}

	return {excess, hedges: hedges.length, requests: requests.length};
}

describe('limit of hedges', () => {
	test.each([Number.POSITIVE_INFINITY, 200_000, 60_000, 20_000])(
		'holds in every window with processes that live for %d ms',
		meanLifetime => {
			for (let seed = 1; seed <= 10; seed++) {
				expect(simulate(seed, meanLifetime).excess).toBeLessThan(0.001);
			}
		},
	);

	test('is used where requests are late', () => {
		const {hedges, requests} = simulate(1, Number.POSITIVE_INFINITY);
		expect(hedges).toBeGreaterThan(0.3 * ratio * requests);
	});

	test('allows nothing for a service without requests', () => {
		const limit = createHedgeLimit({ratio: 1, hasPredecessor: false});
		limit.countRequest('a', 0);
		expect([limit.isOpen('a', 0), limit.isOpen('b', 0)]).toEqual([true, false]);
	});
});
