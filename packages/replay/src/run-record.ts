/**
 * Records what happened to each request of a replayed trace, from the events of the simulated
 * fleet, so that the outcomes can be computed. All times are milliseconds of true time since the end
 * of the warm-up.
 */
import {type RunState} from '@shallotpond/kernel/attempt-outcome';
import {createShardMap, type ShardMap} from '@shallotpond/policy-dispatch/shard-map';
import {type SimulatedFleet, type SimulationEvent} from './simulated-fleet.js';

/** One arrival of a request. A request that its caller sends again arrives several times. */
export type RequestArrival = {
	/**
	 * Identifies the arrivals that together may run at most once: those with the same workspace and
	 * idempotency key. Unique for a request without an idempotency key.
	 */
	readonly group: string;
	readonly workspace: string;
	/** Name of the API key. */
	readonly key: string;
	readonly fingerprint: string;
	readonly isIdempotent: boolean;
	readonly arrivedAt: number;
	/** Number of starts at targets. */
	runs: number;
	admittedAt?: number;
	end?: {
		readonly at: number;
		/** See the `end` event of `SimulationEvent`. */
		readonly result: string;
		/** As reported to the caller; `not-run` for every refusal without an attempt. */
		readonly runState: RunState;
		readonly isWithinRate: boolean;
	};
	/** Index of the instance that received the request, if it ended before the response. */
	lostWithInstance?: number;
};

export type RecordedRun = {
	readonly at: number;
	readonly target: string;
	readonly arrival: RequestArrival;
};

export type RunRecord = {
	readonly arrivals: readonly RequestArrival[];
	readonly runs: readonly RecordedRun[];
	/**
	 * Ejections that left a coordinator with fewer healthy targets in a shard than the floor of the
	 * service requires.
	 */
	readonly floorViolations: number;
	/** Adoptions of a version that was not above the one that the instance had before. */
	readonly reversions: number;
	/** Calls to the configuration service since the end of the warm-up. */
	readonly configurationReads: number;
};

export type RunRecorder = {
	readonly record: RunRecord;
	readonly onEvent: (event: SimulationEvent) => void;
	/** Must be called before the first event. `startsAt` is the end of the warm-up. */
	attach(fleet: SimulatedFleet, startsAt: number): void;
	addArrival(id: string, arrival: Omit<RequestArrival, 'runs'>): void;
};

export function createRunRecorder(): RunRecorder {
	const arrivalsById = new Map<string, RequestArrival>();
	const arrivals: RequestArrival[] = [];
	const runs: RecordedRun[] = [];
	const shardMaps = new Map<string, ShardMap>();
	/** Targets that each coordinator has ejected, by instance id. */
	const ejectedTargets = new Map<string, Set<string>>();
	const adoptedVersions = new Map<string, number>();
	const counts = {floorViolations: 0, reversions: 0, configurationReads: 0};
	let fleet: SimulatedFleet | undefined;
	let startsAt = 0;

	function shardMapOf(service: string): ShardMap {
		let shardMap = shardMaps.get(service);
		if (shardMap === undefined) {
			shardMap = createShardMap(fleet!.document.services[service]!);
			shardMaps.set(service, shardMap);
		}

		return shardMap;
	}

	/** Counts a violation if an ejection went below the floor. Linear in the targets of the shard. */
	function checkFloor(instance: string, service: string, target: string): void {
		const {shards, shardOf} = shardMapOf(service);
		const {floor} = fleet!.document.services[service]!;
		const active = shards[shardOf(target)!]!.filter(
			({failureDomain}) => !fleet!.document.domainsOut.includes(failureDomain),
		);
		const healthy = active.filter(({id}) => !ejectedTargets.get(instance)!.has(id));
		// Targets can be counted instead of slots, because all targets of a service have the same slots.
		if (healthy.length < floor * active.length) {
			counts.floorViolations++;
		}
	}

	function handleHealth(event: SimulationEvent & {readonly kind: 'health'}): void {
		const {id} = fleet!.instances[event.instance]!;
		const targets = ejectedTargets.get(id) ?? new Set();
		ejectedTargets.set(id, targets);
		if (event.state === 'ejected') {
			targets.add(event.target);
			checkFloor(id, event.service, event.target);
		} else {
			targets.delete(event.target);
		}
	}

	const handlers: {
		readonly [Kind in SimulationEvent['kind']]: (
			event: SimulationEvent & {readonly kind: Kind},
			at: number,
		) => void;
	} = {
		run({request, target}, at) {
			const arrival = arrivalsById.get(request);
			if (arrival !== undefined) {
				arrival.runs++;
				runs.push({at, target, arrival});
			}
		},
		admitted({request}, at) {
			const arrival = arrivalsById.get(request);
			if (arrival !== undefined) {
				arrival.admittedAt = at;
			}
		},
		end({request, result, runState = 'not-run', isWithinRate}, at) {
			const arrival = arrivalsById.get(request);
			if (arrival !== undefined) {
				arrival.end = {at, result, runState, isWithinRate};
			}
		},
		lost({request, instance}) {
			const arrival = arrivalsById.get(request);
			if (arrival !== undefined) {
				arrival.lostWithInstance = instance;
			}
		},
		adopted({instance, version}) {
			const {id} = fleet!.instances[instance]!;
			if (version <= (adoptedVersions.get(id) ?? 0)) {
				counts.reversions++;
			}

			adoptedVersions.set(id, version);
		},
		health: handleHealth,
		'configuration-read'(_event, at) {
			counts.configurationReads += at >= 0 ? 1 : 0;
		},
	};

	return {
		record: {
			arrivals,
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
			(handlers[event.kind] as (event: SimulationEvent, at: number) => void)(
				event,
				event.at - startsAt,
			);
		},
		attach(attachedFleet, start) {
			fleet = attachedFleet;
			startsAt = start;
		},
		addArrival(id, fields) {
			const arrival = {...fields, runs: 0};
			arrivalsById.set(id, arrival);
			arrivals.push(arrival);
		},
	};
}
