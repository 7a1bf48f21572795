/**
 * Guards against requests that wait at a full target while others have free slots. This happens
 * when many instances have few requests each, targets have two slots each, and no instance knows
 * which targets the others have just chosen.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createReportedTargetLoads, type ReportedTargetLoads} from '../reported-target-loads.js';
import {createTargetSelector} from '../target-selector.js';
import {type KnownTarget} from '../target-directory.js';

const targets: KnownTarget[] = Array.from({length: 6}, (_, index) => ({
	definition: {id: `t${index}`, address: '10.0.0.1:80', failureDomain: 'north'},
	incarnation: `t${index}@1`,
	service: 'orders',
	slots: 2,
	coldUntil: 0,
	listedAt: 0,
}));

/** Fraction of requests that find all slots of their target in use, at 60% of the capacity. */
function simulateWaits(reportsLoad: boolean): number {
	const random = createSeededRandom(9);
	const instances = 16;
	/** Mean time that a request takes at its target. */
	const serviceTimeMs = 120;
	const requestsPerSecond = 0.6 * ((targets.length * 2) / serviceTimeMs) * 1000;
	const running: Array<{from: number; target: string; until: number}> = [];
	const reportedLoads: ReportedTargetLoads[] = Array.from({length: instances}, () =>
		createReportedTargetLoads(),
	);
	const loadOf = (from: number) => {
		const counts = new Map<string, number>();
		for (const request of running) {
			if (request.from === from) {
				counts.set(request.target, (counts.get(request.target) ?? 0) + 1);
			}
		}

		return counts;
	};

	let requests = 0;
	let waits = 0;
	for (let now = 0; now < 60_000; now++) {
		for (let index = running.length - 1; index >= 0; index--) {
			if (running[index]!.until <= now) {
				running.splice(index, 1);
			}
		}

		if (reportsLoad && now % 20 === 0) {
			for (let from = 0; from < instances; from++) {
				const loads = [...loadOf(from)];
				for (const [to, load] of reportedLoads.entries()) {
					if (to !== from) {
						load.replace(String(from), loads, now);
					}
				}
			}
		}

		if (random() >= requestsPerSecond / 1000) {
			continue;
		}

		const from = Math.floor(random() * instances);
		const own = loadOf(from);
		const selector = createTargetSelector({
			failureDomain: 'north',
			conditionOf: () => ({failureRisk: 0.03, slowness: 1, busyness: 0, isUnreachable: false}),
			fleetLoad: () => 0,
			inFlight: ({incarnation}) =>
				(own.get(incarnation) ?? 0) + reportedLoads[from]!.requestsAt(incarnation, now),
			unusedFor: () => 0,
			hasConnection: () => true,
			isInActiveDomain: () => true,
			mayUseCold: () => true,
			random,
		});
		const chosen = selector.choose({
			service: 'orders',
			candidates: targets,
			excluded: [],
			isRepeatable: false,
			responseBytes: 1000,
			floor: 0,
			now,
		})!;
		requests++;
		waits += Number(
			running.filter(({target}) => target === chosen.incarnation).length >= chosen.slots,
		);
		running.push({
			from,
			target: chosen.incarnation,
			until: now + serviceTimeMs * (0.5 + random()),
		});
	}

	return waits / requests;
}

describe('load that other instances put on targets', () => {
	test('far fewer requests wait when instances report their load to each other', () => {
		const withoutReports = simulateWaits(false);
		const withReports = simulateWaits(true);
		expect(withoutReports).toBeGreaterThan(0.25);
		expect(withReports).toBeLessThan(withoutReports / 3);
	});

	test('the load of a silent member expires', () => {
		const reportedLoads = createReportedTargetLoads();
		reportedLoads.replace('a', [['t@1', 2]], 1000);
		expect(reportedLoads.requestsAt('t@1', 1500)).toBe(2);
		expect(reportedLoads.requestsAt('t@1', 4000)).toBe(0);
	});

	test('a later report of a member replaces the earlier one', () => {
		const reportedLoads = createReportedTargetLoads();
		reportedLoads.replace('a', [['t@1', 2]], 1000);
		reportedLoads.replace('a', [['u@1', 1]], 1100);
		expect([reportedLoads.requestsAt('t@1', 1100), reportedLoads.requestsAt('u@1', 1100)]).toEqual([
			0, 1,
		]);
	});
});
