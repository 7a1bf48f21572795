/**
 * Measures one organisation under one policy, for the comparison of the policies. With the same
 * seed, all policies get the same requests and faults. Times are in milliseconds unless a name says
 * otherwise.
 */
import {
	createSimulatedFleet,
	type SimulatedFleet,
	type SimulationEvent,
	type Organisation,
} from './simulated-fleet.js';
import {type CoordinationPolicy} from './simulated-instance.js';
import {beginScenarios, scenarios, type Scenario, type ScenarioName} from './scenarios.js';
import {scaleRates, sendTraffic} from './traffic.js';

export type MeasurementOptions = {
	readonly organisation: Organisation;
	readonly policy: CoordinationPolicy;
	readonly seed: number;
	readonly instances: number;
};

export type ScenarioResult = {
	readonly scenario: ScenarioName;
	readonly arrived: number;
	readonly served: number;
	readonly failed: number;
	readonly lost: number;
	readonly refusedWithinRate: number;
	readonly refusedByRateWithinRate: number;
	readonly admittedAboveRate: number;
	readonly startsAboveSlots: number;
	readonly startsAboveColdSlots: number;
	readonly connectionsAboveLimit: number;
	readonly duplicates: number;
	readonly falseEjections: number;
	readonly latencyP99: number;
	/** Number of served requests for each second since the start of the fault. */
	readonly servedBySecond: readonly number[];
	/**
	 * From the first change of the configuration until all instances had adopted it; undefined if
	 * there was no change or some instance had not adopted it.
	 */
	readonly spreadTime: number | undefined;
	/**
	 * From taking the failure domain out to the last start on one of its targets while it was out;
	 * undefined if there was none, and in scenarios other than `domain-out-and-in`.
	 */
	readonly lastStartAfterOut: number | undefined;
};

/**
 * Start of the load. By this time, the instances have heard from each other, and have lent their
 * shares of rates and slots for long enough that the owners may use them.
 */
const settledAtMs = 7500;
/** Start of the faults, when the targets are warm. */
const warmAtMs = 15_000;
const faultDurationMs = 10_000;
const drainDurationMs = 2500;
const stepMs = 3;
const ordinaryLoadRatio = 0.6;

function createMeasuredFleet(
	options: MeasurementOptions,
	extra: {readonly drift?: number; readonly onEvent?: (event: SimulationEvent) => void} = {},
): SimulatedFleet {
	const {organisation, policy, seed, instances} = options;
	return createSimulatedFleet({organisation, policy, seed, instances, step: stepMs, ...extra});
}

function serviceNamesOf({document}: Organisation): string[] {
	return Object.keys(document.services);
}

/** Runs one scenario and counts from the start of its fault until its last requests have ended. */
export function measureScenario(name: ScenarioName, options: MeasurementOptions): ScenarioResult {
	const {organisation, seed} = options;
	const scenario: Scenario = scenarios[name];
	const served = Array.from({length: (faultDurationMs + drainDurationMs) / 1000}, () => 0);
	let lastStart: number | undefined;
	const fleet: SimulatedFleet = createMeasuredFleet(options, {
		...scenario.options,
		onEvent(event) {
			const second = Math.floor((event.at - warmAtMs) / 1000);
			if (event.kind === 'end' && event.result === 'ok' && served[second] !== undefined) {
				served[second]++;
			}

			if (event.kind === 'run' && name === 'domain-out-and-in') {
				const isOut = fleet.document.domainsOut.includes('domain-1');
				const domain = fleet.targets.get(event.target)?.definition.failureDomain;
				lastStart = isOut && domain === 'domain-1' ? event.at - warmAtMs : lastStart;
			}
		},
	});
	const until = warmAtMs + faultDurationMs;
	const load = scaleRates(fleet, ordinaryLoadRatio);
	sendTraffic(fleet, {
		seed,
		from: settledAtMs,
		until,
		load,
		services: serviceNamesOf(organisation),
	});
	beginScenarios([name], {fleet, from: warmAtMs, until, seed});
	fleet.advance(warmAtMs);
	fleet.resetCounts();
	fleet.advance(faultDurationMs + drainDurationMs);
	const counts = fleet.counts();
	const {totals} = counts;
	return {
		scenario: name,
		arrived: totals.arrived,
		served: totals.served,
		failed: totals.failed,
		lost: counts.lost,
		refusedWithinRate: totals.refusedWithinRate,
		refusedByRateWithinRate: totals.refusedByRateWithinRate,
		admittedAboveRate: totals.admittedAboveRate,
		startsAboveSlots: counts.startsAboveSlots,
		startsAboveColdSlots: counts.startsAboveColdSlots,
		connectionsAboveLimit: counts.connectionsAboveLimit,
		duplicates: counts.duplicates,
		falseEjections: counts.ejections.filter(({wasFaulty}) => !wasFaulty).length,
		latencyP99: counts.latency.p99,
		servedBySecond: served,
		spreadTime: [...counts.distributionTimes.values()][0],
		lastStartAfterOut: lastStart,
	};
}

/**
 * Load by workspace, in requests per second, that gives each target `ratePerTarget` requests per
 * second if all requests are for the first service.
 */
function loadForTargetRate(fleet: SimulatedFleet, ratePerTarget: number): Record<string, number> {
	const [service] = Object.values(fleet.document.services);
	const {workspaces} = fleet.document;
	const total = Object.values(workspaces).reduce((sum, {rate}) => sum + rate, 0);
	return scaleRates(fleet, (service!.targets.length * ratePerTarget) / total);
}

const targetFaults = {
	slow: {slowFactor: 10},
	failing: {failRate: 0.5},
} as const;

/**
 * Milliseconds from the start of a fault until the target is ejected, at 20 requests/s on each
 * target; undefined if it is not ejected within 20 s. Under the `local` policy, more than half of the
 * instances must have ejected it.
 */
export function measureFaultDetection(
	kind: keyof typeof targetFaults,
	options: MeasurementOptions,
): number | undefined {
	const fleet = createMeasuredFleet(options);
	const [service] = serviceNamesOf(options.organisation);
	const until = warmAtMs + 20_000;
	const load = loadForTargetRate(fleet, 20);
	sendTraffic(fleet, {seed: options.seed, from: settledAtMs, until, load, services: [service!]});
	fleet.advance(warmAtMs);
	fleet.resetCounts();
	const target = fleet.targets.get(`${service}-0`)!;
	target.changeBehaviour(targetFaults[kind]);
	const requiredInstances = options.policy === 'fleet' ? 1 : Math.floor(options.instances / 2) + 1;
	while (fleet.now() < until) {
		fleet.advance(500);
		const ejections = fleet
			.counts()
			.ejections.filter(({target: id}) => id === target.definition.id);
		const firstEjections = new Map(
			ejections.toReversed().map(ejection => [ejection.instance, ejection.at]),
		);
		if (firstEjections.size >= requiredInstances) {
			return (
				[...firstEjections.values()].toSorted((left, right) => left - right)[
					requiredInstances - 1
				]! - warmAtMs
			);
		}
	}

	return undefined;
}

/** Number of ejections while all targets are three times slower for 20 s, with load on one service. */
export function countEjectionsDuringSlowdown(options: MeasurementOptions): number {
	const fleet = createMeasuredFleet(options);
	const [service] = serviceNamesOf(options.organisation);
	const until = warmAtMs + 20_000;
	const load = loadForTargetRate(fleet, 10);
	sendTraffic(fleet, {seed: options.seed, from: settledAtMs, until, load, services: [service!]});
	fleet.advance(warmAtMs);
	fleet.resetCounts();
	for (const target of fleet.targets.values()) {
		target.changeBehaviour({slowFactor: 3});
	}

	fleet.advance(20_000);
	return fleet.counts().ejections.length;
}

/**
 * Number of ejections within `minutes` minutes without a fault, in a fleet of 4 instances, at 5
 * requests/s per target of one service.
 */
export function countEjectionsWithoutFault(options: MeasurementOptions, minutes: number): number {
	const {organisation, seed, policy} = options;
	const document = {...organisation.document, maxInstances: 4};
	const smallOrganisation = {...organisation, document};
	const fleet = createSimulatedFleet({
		organisation: smallOrganisation,
		policy,
		seed,
		instances: 4,
		step: 5,
	});
	const [service] = serviceNamesOf(organisation);
	const until = warmAtMs + minutes * 60_000;
	const load = loadForTargetRate(fleet, 5);
	sendTraffic(fleet, {seed, from: settledAtMs, until, load, services: [service!]});
	fleet.advance(until);
	return fleet.counts().ejections.length;
}

export type GreedyWorkspaceResult = {
	/**
	 * Requests served beside the greedy workspace divided by those served without it; the minimum over
	 * the other workspaces.
	 */
	readonly worstServed: number;
	/** The workspace with the minimum. */
	readonly workspace: string;
};

/**
 * Measures how well the other workspaces are served while the first one sends 5 times its rate.
 * Each of the others sends 0.8 times its own rate.
 */
export function measureGreedyWorkspace(options: MeasurementOptions): GreedyWorkspaceResult {
	const {organisation, seed} = options;
	const [greedy] = Object.keys(organisation.document.workspaces);
	const runWith = (isGreedyPresent: boolean) => {
		const fleet = createMeasuredFleet(options);
		const until = warmAtMs + faultDurationMs;
		const services = serviceNamesOf(organisation);
		const load = {...scaleRates(fleet, 0.8), [greedy!]: 0.001};
		sendTraffic(fleet, {seed, from: settledAtMs, until, load, services});
		if (isGreedyPresent) {
			const greedyLoad = {[greedy!]: organisation.document.workspaces[greedy!]!.rate * 5};
			sendTraffic(fleet, {seed: seed + 1, from: warmAtMs, until, load: greedyLoad, services});
		}

		fleet.advance(warmAtMs);
		fleet.resetCounts();
		fleet.advance(faultDurationMs + drainDurationMs);
		return fleet.counts().workspaces;
	};

	const withoutGreedy = runWith(false);
	const withGreedy = runWith(true);
	let worst: GreedyWorkspaceResult = {worstServed: Number.POSITIVE_INFINITY, workspace: ''};
	for (const [workspace, counts] of Object.entries(withoutGreedy)) {
		const worstServed = (withGreedy[workspace]?.served ?? 0) / counts.served;
		if (workspace !== greedy && worstServed < worst.worstServed) {
			worst = {worstServed, workspace};
		}
	}

	return worst;
}
