/**
 * Faults of the design page, as changes to a running fleet. Each fault begins at `from` and is over
 * at `until`; times are milliseconds of true time.
 */
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type Fleet, type FleetOptions} from './fleet-harness.js';
import {type FleetInstance} from './fleet-instance.js';
import {sendBurst} from './traffic.js';

export type ScenarioInput = {
	readonly fleet: Fleet;
	readonly from: number;
	readonly until: number;
	/** Independent of the fleet, so that all policies meet the same faults. */
	readonly random: Random;
};

export type Scenario = {
	/** Options that the fleet needs from its start. */
	readonly options?: Pick<FleetOptions, 'drift'>;
	/** Schedules the fault. */
	readonly begin: (input: ScenarioInput) => void;
};

function pick(count: number, random: Random): number {
	return Math.floor(random() * count);
}

/** Instances, by index, of a failure domain and of all others. */
function splitByDomain({instances}: Fleet, domain: string): [number[], number[]] {
	const inside = instances.filter(({failureDomain}) => failureDomain === domain);
	const outside = instances.filter(({failureDomain}) => failureDomain !== domain);
	return [inside.map(({index}) => index), outside.map(({index}) => index)];
}

function targetIds(fleet: Fleet): string[] {
	return [...fleet.targets.keys()];
}

function healAt({fleet, until}: ScenarioInput): void {
	fleet.at(until, () => {
		fleet.healAll();
	});
}

function repeat(
	count: number,
	{fleet, from, until}: ScenarioInput,
	action: (index: number) => void,
) {
	for (let index = 0; index < count; index++) {
		fleet.at(from + ((until - from) * index) / count, () => {
			action(index);
		});
	}
}

/** Adds two targets, which changes the shards of the service. */
function addTargets(fleet: Fleet): void {
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
	'no-fault': {begin() {}}, // eslint-disable-line @typescript-eslint/no-empty-function -- nothing happens
	/** Each workspace sends twice its burst at once, which no limiter admits in full. */
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
			repeat(10, input, () => {
				fleet.cut(pick(length, random), pick(length, random));
				fleet.cutTarget(
					pick(length, random),
					targetIds(fleet)[pick(fleet.targets.size, random)]!,
					random() < 0.5 ? 'requests' : 'answers',
				);
			});
			healAt(input);
		},
	},
	partition: {
		begin(input) {
			const {fleet, from} = input;
			fleet.at(from, () => {
				fleet.partition(splitByDomain(fleet, 'domain-0'));
			});
			healAt(input);
		},
	},
	pauses: {
		begin(input) {
			const {fleet, random} = input;
			repeat(10, input, () => {
				fleet.pause(pick(fleet.instances.length, random), 500 + random() * 6000);
			});
		},
	},
	'crash-and-replacement': {
		begin(input) {
			const {fleet, random} = input;
			repeat(4, input, () => {
				const index = pick(fleet.instances.length, random);
				if (!fleet.instances[index]!.isEnded) {
					fleet.crash(index, 1000 + random() * 4000);
				}
			});
		},
	},
	'one-crash': {
		begin({fleet, from, random}) {
			fleet.at(from, () => {
				fleet.crash(pick(fleet.instances.length, random), 5000);
			});
		},
	},
	/** Ends the instance that owns the rate of the largest workspace, if the policy has one. */
	'rate-owner-crash': {
		begin({fleet, from}) {
			fleet.at(from, () => {
				const [workspace] = Object.keys(fleet.document.workspaces);
				const [{membership, clock}] = fleet.instances as [FleetInstance];
				const owner = membership.ownerOf(`rate:${workspace}`, clock.monotonic());
				fleet.crash(fleet.instances.find(({id}) => id === owner)?.index ?? 0, 5000);
			});
		},
	},
	'planned-stops': {
		begin(input) {
			const {fleet, random} = input;
			repeat(4, input, () => {
				const index = pick(fleet.instances.length, random);
				if (fleet.isAccepting(index)) {
					fleet.stop(index, 3000, 1000);
				}
			});
		},
	},
	'clock-drift': {options: {drift: 0.004}, begin() {}}, // eslint-disable-line @typescript-eslint/no-empty-function -- the drift is an option
	'lost-messages': {
		begin(input) {
			const {fleet, from, until} = input;
			fleet.at(from, () => {
				fleet.setMessageLoss(0.05);
				fleet.setMessageDuplication(0.05);
			});
			fleet.at(until, () => {
				fleet.setMessageLoss(0);
				fleet.setMessageDuplication(0);
			});
		},
	},
	'lagging-list': {
		begin({fleet, from, until, random}) {
			fleet.at(from, () => {
				fleet.setListDelay(10_000);
			});
			fleet.at(from + 1000, () => {
				fleet.crash(pick(fleet.instances.length, random), 2000);
			});
			fleet.at(until, () => {
				fleet.setListDelay(1000);
			});
		},
	},
	'domain-out-and-in': {
		begin({fleet, from, until}) {
			fleet.at(from, () => {
				fleet.setDomainOut('domain-1', true);
			});
			fleet.at((from + until) / 2, () => {
				fleet.setDomainOut('domain-1', false);
			});
		},
	},
	'domain-lost': {
		begin(input) {
			const {fleet, from, until} = input;
			fleet.at(from, () => {
				fleet.partition(splitByDomain(fleet, 'domain-1'));
				for (const target of fleet.targets.values()) {
					if (target.definition.failureDomain === 'domain-1') {
						target.crash(until - from);
					}
				}
			});
			healAt(input);
		},
	},
	'configuration-change': {
		begin({fleet, from}) {
			fleet.at(from, () => {
				addTargets(fleet);
			});
		},
	},
	'target-crash': {
		begin(input) {
			const {fleet, random} = input;
			repeat(3, input, () => {
				fleet.targets.get(targetIds(fleet)[pick(fleet.targets.size, random)]!)!.crash(2000);
			});
		},
	},
	'target-cold': {
		begin(input) {
			const {fleet, random} = input;
			repeat(3, input, () => {
				fleet.targets.get(targetIds(fleet)[pick(fleet.targets.size, random)]!)!.restartWarmUp();
			});
		},
	},
	'target-flaps': {
		begin({fleet, from, until, random}) {
			fleet.at(from, () => {
				const target = fleet.targets.get(targetIds(fleet)[pick(fleet.targets.size, random)]!)!;
				target.changeBehaviour({failRate: 0.6, flapPeriod: 3000});
				fleet.at(until, () => {
					target.changeBehaviour({failRate: 0.01, flapPeriod: 0});
				});
			});
		},
	},
	'target-drains': {
		begin({fleet, from, until, random}) {
			fleet.at(from, () => {
				const id = targetIds(fleet)[pick(fleet.targets.size, random)]!;
				fleet.setTargetLeaving(id, true);
				fleet.at(until, () => {
					fleet.setTargetLeaving(id, false);
				});
			});
		},
	},
} satisfies Record<string, Scenario>;

export type ScenarioName = keyof typeof scenarios;

/** Several faults in the same period, with a random order of their own. */
export function beginScenarios(
	names: readonly ScenarioName[],
	input: Omit<ScenarioInput, 'random'> & {readonly seed: number},
): void {
	for (const [index, name] of names.entries()) {
		const random = createSeededRandom(input.seed * 100 + index);
		scenarios[name].begin({...input, random});
	}
}
