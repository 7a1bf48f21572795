/**
 * Guards against limits on rates, slots and connections that the fleet as a whole exceeds: during a
 * partition, a pause or a crash, two instances may each act as the owner of a rate or a slot, so
 * that it is granted twice. Runs are short and seeded, for both organisations. A fleet that does
 * not coordinate shows that the checks can fail.
 */
import {describe, expect, test} from '@jest/globals';
import {
	createSimulatedFleet,
	type SimulationCounts,
	type SimulatedFleetOptions,
} from '../simulated-fleet.js';
import {type CoordinationPolicy} from '../simulated-instance.js';
import {organisations} from '../organisations.js';
import {beginScenarios, type ScenarioName} from '../scenarios.js';
import {scaleRates, sendBurst, sendTraffic} from '../traffic.js';

const instances = 16;
const settledAtMs = 8000;
const endAtMs = 22_000;

type RunOptions = {
	readonly organisation: (typeof organisations)[number];
	readonly policy: CoordinationPolicy;
	readonly seed: number;
	readonly faults: readonly ScenarioName[];
	readonly drift?: number;
	readonly localRateLimiter?: SimulatedFleetOptions['localRateLimiter'];
	/** Milliseconds of true time. */
	readonly until?: number;
};

/**
 * Runs a fleet with its maximum number of instances under faults. The load is 1.5 times all rates,
 * with bursts.
 */
function runFleet({
	organisation,
	policy,
	seed,
	faults,
	drift,
	localRateLimiter,
	until = endAtMs,
}: RunOptions): SimulationCounts {
	const document = {...organisation.document, maxInstances: instances};
	const fleet = createSimulatedFleet({
		organisation: {...organisation, document},
		instances,
		seed,
		policy,
		drift,
		localRateLimiter,
		step: 3,
	});
	const services = Object.keys(document.services);
	sendTraffic(fleet, {
		seed,
		from: settledAtMs,
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

const faultCombinations: ReadonlyArray<readonly ScenarioName[]> = [
	['partition', 'pauses', 'lost-messages'],
	['one-way-cuts', 'crash-and-replacement', 'lagging-list'],
	['planned-stops', 'configuration-change', 'domain-out-and-in', 'target-crash'],
];

describe.each(organisations)('$name', organisation => {
	test.each(faultCombinations.map((faults, index) => ({faults, seed: index + 1})))(
		'no rate or slot is granted by two owners under $faults',
		({faults, seed}) => {
			const drift = seed === 1 ? 0.004 : 0;
			const counts = runFleet({organisation, policy: 'fleet', seed, faults, drift});
			expect(counts.totals.served).toBeGreaterThan(1000);
			expect(counts.totals.admittedAboveRate).toBe(0);
			expect(counts.startsAboveSlots).toBe(0);
			expect(counts.connectionsAboveLimit).toBe(0);
			expect(counts.duplicates).toBe(0);
		},
		10_000,
	);

	test('the checks of the limits detect a fleet that does not coordinate', () => {
		const counts = runFleet({
			organisation,
			policy: 'local',
			localRateLimiter: 'single-counter',
			seed: 1,
			faults: ['partition'],
		});
		expect(counts.totals.admittedAboveRate).toBeGreaterThan(0);
		expect(counts.startsAboveSlots).toBeGreaterThan(0);
	}, 60_000);

	test('a run with the same seed repeats exactly', () => {
		const runOnce = () =>
			runFleet({
				organisation,
				policy: 'fleet',
				seed: 7,
				faults: ['pauses', 'lost-messages'],
				until: 14_000,
			});
		expect(runOnce()).toEqual(runOnce());
	}, 60_000);
});
