/**
 * The fault scenarios of the design, as changes to a simulated fleet that is running. Each fault
 * starts at `from` and has ended at `until`. Times are milliseconds of true time.
 */
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type SimulatedFleet, type SimulatedFleetOptions} from './simulated-fleet.js';
import {type SimulatedInstance} from './simulated-instance.js';
import {sendBurst} from './traffic.js';

export type ScenarioInput = {
	readonly fleet: SimulatedFleet;
	readonly from: number;
	readonly until: number;
	/** Random numbers that do not depend on the fleet, so that all policies get the same faults. */
	readonly random: Random;
};

export type Scenario = {
	/** Options with which the fleet must be created. */
	readonly options?: Pick<SimulatedFleetOptions, 'drift'>;
	/** Schedules the fault. */
	readonly begin: (input: ScenarioInput) => void;
};

function pickIndex(count: number, random: Random): number {
	return Math.floor(random() * count);
}

/** Indices of the instances in a failure domain and of those outside. */
function splitByDomain({instances}: SimulatedFleet, domain: string): [number[], number[]] {
	const inside = instances.filter(({failureDomain}) => failureDomain === domain);
	const outside = instances.filter(({failureDomain}) => failureDomain !== domain);
	return [inside.map(({index}) => index), outside.map(({index}) => index)];
}

function targetIdsOf(fleet: SimulatedFleet): string[] {
	return [...fleet.targets.keys()];
}

function scheduleHeal({fleet, until}: ScenarioInput): void {
	fleet.scheduleAt(until, () => {
		fleet.healAll();
	});
}

/** Runs an action `count` times at even intervals. */
function scheduleRepeatedly(
	count: number,
	{fleet, from, until}: ScenarioInput,
	action: (index: number) => void,
) {
	for (let index = 0; index < count; index++) {
		fleet.scheduleAt(from + ((until - from) * index) / count, () => {
			action(index);
		});
	}
}

/** Adds two targets to the first service, which changes its shards. */
function addTargets(fleet: SimulatedFleet): void {
	const [name, service] = Object.entries(fleet.document.services)[0]!;
	const {targets} = service;
	const added = [0, 1].map(index => ({
		id: `${name}-${targets.length + index}`,
		failureDomain: targets[index]!.failureDomain,
	}));
	fleet.changeConfiguration({
		services: {...fleet.document.services, [name]: {...service, targets: [...targets, ...added]}},
	});
}

export const scenarios = {
	'no-fault': {begin() {}}, // eslint-disable-line @typescript-eslint/no-empty-function -- this scenario has no fault
	/**
	 * Each workspace in turn sends twice its burst at once, of which the rate limiter must refuse a
	 * part.
	 */
	bursts: {
		begin({fleet, from}) {
			const [service] = Object.keys(fleet.document.services);
			for (const [index, workspace] of Object.keys(fleet.document.workspaces).entries()) {
				sendBurst(fleet, {at: from + index * 1000, workspace, service: service!, factor: 2});
			}
		},
	},
	'one-way-cuts': {
		begin(input) {
			const {fleet, random} = input;
			const {length} = fleet.instances;
			scheduleRepeatedly(10, input, () => {
				fleet.cut(pickIndex(length, random), pickIndex(length, random));
				fleet.cutTargetLink(
					pickIndex(length, random),
					targetIdsOf(fleet)[pickIndex(fleet.targets.size, random)]!,
					random() < 0.5 ? 'requests' : 'answers',
				);
			});
			scheduleHeal(input);
		},
	},
	partition: {
		begin(input) {
			const {fleet, from} = input;
			fleet.scheduleAt(from, () => {
				fleet.partition(splitByDomain(fleet, 'domain-0'));
			});
			scheduleHeal(input);
		},
	},
	pauses: {
		begin(input) {
			const {fleet, random} = input;
			scheduleRepeatedly(10, input, () => {
				fleet.pause(pickIndex(fleet.instances.length, random), 500 + random() * 6000);
			});
		},
	},
	'crash-and-replacement': {
		begin(input) {
			const {fleet, random} = input;
			scheduleRepeatedly(4, input, () => {
				const index = pickIndex(fleet.instances.length, random);
				if (!fleet.instances[index]!.isEnded) {
					fleet.crash(index, 1000 + random() * 4000);
				}
			});
		},
	},
	'one-crash': {
		begin({fleet, from, random}) {
			fleet.scheduleAt(from, () => {
				fleet.crash(pickIndex(fleet.instances.length, random), 5000);
			});
		},
	},
	/**
	 * Crashes the instance that owns the rate of the first workspace of the document, or instance 0
	 * if none owns it.
	 */
	'rate-owner-crash': {
		begin({fleet, from}) {
			fleet.scheduleAt(from, () => {
				const [workspace] = Object.keys(fleet.document.workspaces);
				const [{membership, clock}] = fleet.instances as [SimulatedInstance];
				const owner = membership.ownerOf(`rate:${workspace}`, clock.monotonic());
				fleet.crash(fleet.instances.find(({id}) => id === owner)?.index ?? 0, 5000);
			});
		},
	},
	'planned-stops': {
		begin(input) {
			const {fleet, random} = input;
			scheduleRepeatedly(4, input, () => {
				const index = pickIndex(fleet.instances.length, random);
				if (fleet.isAccepting(index)) {
					fleet.stop(index, 3000, 1000);
				}
			});
		},
	},
	'clock-drift': {options: {drift: 0.004}, begin() {}}, // eslint-disable-line @typescript-eslint/no-empty-function -- the drift is an option of the fleet
	'lost-messages': {
		begin(input) {
			const {fleet, from, until} = input;
			fleet.scheduleAt(from, () => {
				fleet.setMessageLoss(0.05);
				fleet.setMessageDuplication(0.05);
			});
			fleet.scheduleAt(until, () => {
				fleet.setMessageLoss(0);
				fleet.setMessageDuplication(0);
			});
		},
	},
	'lagging-list': {
		begin({fleet, from, until, random}) {
			fleet.scheduleAt(from, () => {
				fleet.setListDelay(10_000);
			});
			fleet.scheduleAt(from + 1000, () => {
				fleet.crash(pickIndex(fleet.instances.length, random), 2000);
			});
			fleet.scheduleAt(until, () => {
				fleet.setListDelay(1000);
			});
		},
	},
	'domain-out-and-in': {
		begin({fleet, from, until}) {
			fleet.scheduleAt(from, () => {
				fleet.setDomainOut('domain-1', true);
			});
			fleet.scheduleAt((from + until) / 2, () => {
				fleet.setDomainOut('domain-1', false);
			});
		},
	},
	'domain-lost': {
		begin(input) {
			const {fleet, from, until} = input;
			fleet.scheduleAt(from, () => {
				fleet.partition(splitByDomain(fleet, 'domain-1'));
				for (const target of fleet.targets.values()) {
					if (target.definition.failureDomain === 'domain-1') {
						target.crash(until - from);
					}
				}
			});
			scheduleHeal(input);
		},
	},
	'configuration-change': {
		begin({fleet, from}) {
			fleet.scheduleAt(from, () => {
				addTargets(fleet);
			});
		},
	},
	'target-crash': {
		begin(input) {
			const {fleet, random} = input;
			scheduleRepeatedly(3, input, () => {
				fleet.targets.get(targetIdsOf(fleet)[pickIndex(fleet.targets.size, random)]!)!.crash(2000);
			});
		},
	},
	'target-cold': {
		begin(input) {
			const {fleet, random} = input;
			scheduleRepeatedly(3, input, () => {
				fleet.targets
					.get(targetIdsOf(fleet)[pickIndex(fleet.targets.size, random)]!)!
					.restartWarmUp();
			});
		},
	},
	'target-flaps': {
		begin({fleet, from, until, random}) {
			fleet.scheduleAt(from, () => {
				const target = fleet.targets.get(
					targetIdsOf(fleet)[pickIndex(fleet.targets.size, random)]!,
				)!;
				target.changeBehaviour({failRate: 0.6, flapPeriod: 3000});
				fleet.scheduleAt(until, () => {
					target.changeBehaviour({failRate: 0.01, flapPeriod: 0});
				});
			});
		},
	},
	'target-drains': {
		begin({fleet, from, until, random}) {
			fleet.scheduleAt(from, () => {
				const id = targetIdsOf(fleet)[pickIndex(fleet.targets.size, random)]!;
				fleet.setTargetLeaving(id, true);
				fleet.scheduleAt(until, () => {
					fleet.setTargetLeaving(id, false);
				});
			});
		},
	},
} satisfies Record<string, Scenario>;

export type ScenarioName = keyof typeof scenarios;

/** Starts several scenarios in the same period, each with random numbers of its own. */
export function beginScenarios(
	names: readonly ScenarioName[],
	input: Omit<ScenarioInput, 'random'> & {readonly seed: number},
): void {
	for (const [index, name] of names.entries()) {
		const random = createSeededRandom(input.seed * 100 + index);
		scenarios[name].begin({...input, random});
	}
}
