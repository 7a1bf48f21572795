/**
 * Measurements of one organisation under one policy. Both policies get the same requests and faults
 * for the same seed. Times are milliseconds unless a name says otherwise.
 */
import {createFleet, type Fleet, type FleetEvent, type Organisation} from './fleet-harness.js';
import {type FleetPolicy} from './fleet-instance.js';
import {beginScenarios, scenarios, type Scenario, type ScenarioName} from './scenarios.js';
import {scaleRates, sendTraffic} from './traffic.js';

export type MeasurementOptions = {
	readonly organisation: Organisation;
	readonly policy: FleetPolicy;
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
	/** Served requests by second from the begin of the fault. */
	readonly servedBySecond: readonly number[];
	/** From the first change until all instances had it; undefined without a change. */
	readonly spreadTime: number | undefined;
	/** From taking the domain out until the last start on it; undefined in other scenarios. */
	readonly lastStartAfterOut: number | undefined;
};

/** Instances have met, lent for a term and hold vested shares. */
const settledAt = 7500;
/** Targets are warm. */
const warmAt = 15_000;
const faultDuration = 10_000;
const drainDuration = 2500;
const step = 3;
const ordinaryLoad = 0.6;

function start(
	options: MeasurementOptions,
	extra: {readonly drift?: number; readonly onEvent?: (event: FleetEvent) => void} = {},
): Fleet {
	const {organisation, policy, seed, instances} = options;
	return createFleet({organisation, policy, seed, instances, step, ...extra});
}

function servicesOf({document}: Organisation): string[] {
	return Object.keys(document.services);
}

export function measureScenario(name: ScenarioName, options: MeasurementOptions): ScenarioResult {
	const {organisation, seed} = options;
	const scenario: Scenario = scenarios[name];
	const served = Array.from({length: (faultDuration + drainDuration) / 1000}, () => 0);
	let lastStart: number | undefined;
	const fleet: Fleet = start(options, {
		...scenario.options,
		onEvent(event) {
			const second = Math.floor((event.at - warmAt) / 1000);
			if (event.kind === 'end' && event.result === 'ok' && served[second] !== undefined) {
				served[second]++;
			}

			if (event.kind === 'run' && name === 'domain-out-and-in') {
				const isOut = fleet.document.domainsOut.includes('domain-1');
				const domain = fleet.targets.get(event.target)?.definition.failureDomain;
				lastStart = isOut && domain === 'domain-1' ? event.at - warmAt : lastStart;
			}
		},
	});
	const until = warmAt + faultDuration;
	const load = scaleRates(fleet, ordinaryLoad);
	sendTraffic(fleet, {seed, from: settledAt, until, load, services: servicesOf(organisation)});
	beginScenarios([name], {fleet, from: warmAt, until, seed});
	fleet.advance(warmAt);
	fleet.resetCounts();
	fleet.advance(faultDuration + drainDuration);
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
		falseEjections: counts.ejections.filter(({wasFaulty: wasSick}) => !wasSick).length,
		latencyP99: counts.latency.p99,
		servedBySecond: served,
		spreadTime: [...counts.spreadTimes.values()][0],
		lastStartAfterOut: lastStart,
	};
}

/** Load on the first service alone that gives each of its targets the number of requests/s. */
function loadPerTarget(fleet: Fleet, perTarget: number): Record<string, number> {
	const [service] = Object.values(fleet.document.services);
	const {workspaces} = fleet.document;
	const total = Object.values(workspaces).reduce((sum, {rate}) => sum + rate, 0);
	return scaleRates(fleet, (service!.targets.length * perTarget) / total);
}

const onsets = {
	slow: {slowFactor: 10},
	failing: {failRate: 0.5},
} as const;

/**
 * From the onset until the target is ejected, at 20 requests/s on each target; undefined when it is
 * not ejected in 20 s. Under the local policy, until more than half of the instances ejected it.
 */
export function measureDetection(
	kind: keyof typeof onsets,
	options: MeasurementOptions,
): number | undefined {
	const fleet = start(options);
	const [service] = servicesOf(options.organisation);
	const until = warmAt + 20_000;
	const load = loadPerTarget(fleet, 20);
	sendTraffic(fleet, {seed: options.seed, from: settledAt, until, load, services: [service!]});
	fleet.advance(warmAt);
	fleet.resetCounts();
	const target = fleet.targets.get(`${service}-0`)!;
	target.changeBehaviour(onsets[kind]);
	const needed = options.policy === 'fleet' ? 1 : Math.floor(options.instances / 2) + 1;
	while (fleet.now() < until) {
		fleet.advance(500);
		const hits = fleet.counts().ejections.filter(({target: id}) => id === target.definition.id);
		const first = new Map(hits.toReversed().map(hit => [hit.instance, hit.at]));
		if (first.size >= needed) {
			return [...first.values()].toSorted((left, right) => left - right)[needed - 1]! - warmAt;
		}
	}

	return undefined;
}

/** Ejections while all targets of a service become three times slower for 20 s. */
export function measureServiceSlowdown(options: MeasurementOptions): number {
	const fleet = start(options);
	const [service] = servicesOf(options.organisation);
	const until = warmAt + 20_000;
	const load = loadPerTarget(fleet, 10);
	sendTraffic(fleet, {seed: options.seed, from: settledAt, until, load, services: [service!]});
	fleet.advance(warmAt);
	fleet.resetCounts();
	for (const target of fleet.targets.values()) {
		target.changeBehaviour({slowFactor: 3});
	}

	fleet.advance(20_000);
	return fleet.counts().ejections.length;
}

/** Ejections in ordinary noise on a fleet of 4, at 5 requests/s per target of one service. */
export function measureNoise(options: MeasurementOptions, minutes: number): number {
	const {organisation, seed, policy} = options;
	const document = {...organisation.document, maxInstances: 4};
	const small = {...organisation, document};
	const fleet = createFleet({organisation: small, policy, seed, instances: 4, step: 5});
	const [service] = servicesOf(organisation);
	const until = warmAt + minutes * 60_000;
	const load = loadPerTarget(fleet, 5);
	sendTraffic(fleet, {seed, from: settledAt, until, load, services: [service!]});
	fleet.advance(until);
	return fleet.counts().ejections.length;
}

export type TenantResult = {
	/** Lowest part, 0 to 1, of what another workspace gets without the greedy one. */
	readonly worstServed: number;
	readonly workspace: string;
};

/** One workspace sends 5 times its rate, the others 0.8 of theirs. */
export function measureGreedyTenant(options: MeasurementOptions): TenantResult {
	const {organisation, seed} = options;
	const [greedy] = Object.keys(organisation.document.workspaces);
	const serve = (isPresent: boolean) => {
		const fleet = start(options);
		const until = warmAt + faultDuration;
		const services = servicesOf(organisation);
		const load = {...scaleRates(fleet, 0.8), [greedy!]: 0.001};
		sendTraffic(fleet, {seed, from: settledAt, until, load, services});
		if (isPresent) {
			const greedyLoad = {[greedy!]: organisation.document.workspaces[greedy!]!.rate * 5};
			sendTraffic(fleet, {seed: seed + 1, from: warmAt, until, load: greedyLoad, services});
		}

		fleet.advance(warmAt);
		fleet.resetCounts();
		fleet.advance(faultDuration + drainDuration);
		return fleet.counts().workspaces;
	};

	const alone = serve(false);
	const together = serve(true);
	let worst: TenantResult = {worstServed: Number.POSITIVE_INFINITY, workspace: ''};
	for (const [workspace, counts] of Object.entries(alone)) {
		const worstServed = (together[workspace]?.served ?? 0) / counts.served;
		if (workspace !== greedy && worstServed < worst.worstServed) {
			worst = {worstServed, workspace};
		}
	}

	return worst;
}
