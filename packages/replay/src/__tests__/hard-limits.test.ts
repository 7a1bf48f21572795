/**
 * The limits that must hold over the whole fleet whatever fails, on short seeded runs of both
 * organisations, and the proof that the checks can fail.
 */
import {describe, expect, test} from '@jest/globals';
import {createFleet, type FleetCounts, type FleetOptions} from '../fleet-harness.js';
import {type FleetPolicy} from '../fleet-instance.js';
import {organisations} from '../organisations.js';
import {beginScenarios, type ScenarioName} from '../scenarios.js';
import {scaleRates, sendBurst, sendTraffic} from '../traffic.js';

const instances = 16;
const settled = 8000;
const end = 22_000;

type Run = {
	readonly organisation: (typeof organisations)[number];
	readonly policy: FleetPolicy;
	readonly seed: number;
	readonly faults: readonly ScenarioName[];
	readonly drift?: number;
	readonly localRate?: FleetOptions['localRate'];
	/** Milliseconds of true time. */
	readonly until?: number;
};

/** Demand of 1.5 times all rates, with bursts, on a fleet of which D is the size. */
function run({
	organisation,
	policy,
	seed,
	faults,
	drift,
	localRate,
	until = end,
}: Run): FleetCounts {
	const document = {...organisation.document, maxInstances: instances};
	const fleet = createFleet({
		organisation: {...organisation, document},
		instances,
		seed,
		policy,
		drift,
		localRate,
		step: 3,
	});
	const services = Object.keys(document.services);
	sendTraffic(fleet, {
		seed,
		from: settled,
		until,
		load: scaleRates(fleet, 1.5),
		services,
	});
	for (const [index, workspace] of Object.keys(document.workspaces).entries()) {
		sendBurst(fleet, {at: 13_000 + index * 500, workspace, service: services[0]!, factor: 1.5});
	}

	beginScenarios(faults, {fleet, from: 11_000, until: 18_000, seed});
	fleet.advance(until);
	return fleet.counts();
}

const combinations: ReadonlyArray<readonly ScenarioName[]> = [
	['partition', 'pauses', 'lost-messages'],
	['one-way-cuts', 'crash-and-replacement', 'lagging-list'],
	['planned-stops', 'configuration-change', 'domain-out-and-in', 'target-crash'],
];

describe.each(organisations)('$name', organisation => {
	test.each(combinations.map((faults, index) => ({faults, seed: index + 1})))(
		'two owners never give away the same rate or slot under $faults',
		({faults, seed}) => {
			const drift = seed === 1 ? 0.004 : 0;
			const counts = run({organisation, policy: 'fleet', seed, faults, drift});
			expect(counts.totals.served).toBeGreaterThan(1000);
			expect(counts.totals.admittedAboveRate).toBe(0);
			expect(counts.startsAboveSlots).toBe(0);
			expect(counts.connectionsAboveLimit).toBe(0);
			expect(counts.duplicates).toBe(0);
		},
		10_000,
	);

	test('the check of the limits fails for a fleet that does not coordinate', () => {
		const counts = run({
			organisation,
			policy: 'local',
			localRate: 'single-counter',
			seed: 1,
			faults: ['partition'],
		});
		expect(counts.totals.admittedAboveRate).toBeGreaterThan(0);
		expect(counts.startsAboveSlots).toBeGreaterThan(0);
	}, 60_000);

	test('a run with the same seed repeats exactly', () => {
		const repeated = () =>
			run({
				organisation,
				policy: 'fleet',
				seed: 7,
				faults: ['pauses', 'lost-messages'],
				until: 14_000,
			});
		expect(repeated()).toEqual(repeated());
	}, 60_000);
});
