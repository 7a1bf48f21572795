/**
 * Remembers what happened to each request of a replayed trace, from the events of the harness. All
 * times are milliseconds of true time since the end of the warm-up.
 */
import {type RunState} from '@shallotpond/kernel/attempt-outcome';
import {createShardMap, type ShardMap} from '@shallotpond/policy-dispatch/shard-map';
import {type Fleet, type FleetEvent} from './fleet-harness.js';

export type Delivery = {
	/** Deliveries of one caller request that may run once in all; unique without a key. */
	readonly group: string;
	readonly workspace: string;
	readonly key: string;
	readonly fingerprint: string;
	readonly isIdempotent: boolean;
	readonly arrivedAt: number;
	/** Starts at targets. */
	runs: number;
	admittedAt?: number;
	end?: {
		readonly at: number;
		/** `ok`, how the last attempt failed, or `refused-<code>`. */
		readonly result: string;
		/** What the caller is told; `not-run` for every refusal without attempt. */
		readonly runState: RunState;
		readonly isWithinRate: boolean;
	};
	/** Index of the instance that ended before the answer. */
	lostWithInstance?: number;
};

export type RecordedRun = {
	readonly at: number;
	readonly target: string;
	readonly delivery: Delivery;
};

export type RunRecord = {
	readonly deliveries: readonly Delivery[];
	readonly runs: readonly RecordedRun[];
	/** Ejections that left less than the floor of a shard to a coordinator. */
	readonly floorViolations: number;
	/** Adoptions of a version that was not above the one in force on the instance. */
	readonly reversions: number;
	readonly configurationReads: number;
};

export type RunRecorder = {
	readonly record: RunRecord;
	readonly onEvent: (event: FleetEvent) => void;
	/** Must be called before the first event. */
	attach(fleet: Fleet, startsAt: number): void;
	addDelivery(id: string, delivery: Omit<Delivery, 'runs'>): void;
};

export function createRunRecorder(): RunRecorder {
	const byId = new Map<string, Delivery>();
	const deliveries: Delivery[] = [];
	const runs: RecordedRun[] = [];
	const shardMaps = new Map<string, ShardMap>();
	/** Targets that each coordinator has ejected, by id of the instance. */
	const ejected = new Map<string, Set<string>>();
	const versions = new Map<string, number>();
	const counts = {floorViolations: 0, reversions: 0, configurationReads: 0};
	let fleet: Fleet | undefined;
	let startsAt = 0;

	function shardMapOf(service: string): ShardMap {
		let map = shardMaps.get(service);
		if (map === undefined) {
			map = createShardMap(fleet!.document.services[service]!);
			shardMaps.set(service, map);
		}

		return map;
	}

	/** Linear in the targets of one shard. */
	function checkFloor(instance: string, service: string, target: string): void {
		const {shards, shardOf} = shardMapOf(service);
		const {floor} = fleet!.document.services[service]!;
		const active = shards[shardOf(target)!]!.filter(
			({failureDomain}) => !fleet!.document.domainsOut.includes(failureDomain),
		);
		const healthy = active.filter(({id}) => !ejected.get(instance)!.has(id));
		// All targets of a service have the same slots.
		if (healthy.length < floor * active.length) {
			counts.floorViolations++;
		}
	}

	function takeHealth(event: FleetEvent & {readonly kind: 'health'}): void {
		const {id} = fleet!.instances[event.instance]!;
		const targets = ejected.get(id) ?? new Set();
		ejected.set(id, targets);
		if (event.state === 'ejected') {
			targets.add(event.target);
			checkFloor(id, event.service, event.target);
		} else {
			targets.delete(event.target);
		}
	}

	const handlers: {
		readonly [Kind in FleetEvent['kind']]: (
			event: FleetEvent & {readonly kind: Kind},
			at: number,
		) => void;
	} = {
		run({request, target}, at) {
			const delivery = byId.get(request);
			if (delivery !== undefined) {
				delivery.runs++;
				runs.push({at, target, delivery});
			}
		},
		admitted({request}, at) {
			const delivery = byId.get(request);
			if (delivery !== undefined) {
				delivery.admittedAt = at;
			}
		},
		end({request, result, runState = 'not-run', isWithinRate}, at) {
			const delivery = byId.get(request);
			if (delivery !== undefined) {
				delivery.end = {at, result, runState, isWithinRate};
			}
		},
		lost({request, instance}) {
			const delivery = byId.get(request);
			if (delivery !== undefined) {
				delivery.lostWithInstance = instance;
			}
		},
		adopted({instance, version}) {
			const {id} = fleet!.instances[instance]!;
			if (version <= (versions.get(id) ?? 0)) {
				counts.reversions++;
			}

			versions.set(id, version);
		},
		health: takeHealth,
		'configuration-read'(_event, at) {
			counts.configurationReads += at >= 0 ? 1 : 0;
		},
	};

	return {
		record: {
			deliveries,
			runs,
			get floorViolations() {
				return counts.floorViolations;
			},
			get reversions() {
				return counts.reversions;
			},
			get configurationReads() {
				return counts.configurationReads;
			},
		},
		onEvent(event) {
			(handlers[event.kind] as (event: FleetEvent, at: number) => void)(event, event.at - startsAt);
		},
		attach(attached, start) {
			fleet = attached;
			startsAt = start;
		},
		addDelivery(id, fields) {
			const delivery = {...fields, runs: 0};
			byId.set(id, delivery);
			deliveries.push(delivery);
		},
	};
}
