/**
 * The status of an instance that `GET /status` returns: its peers, the targets with their health as
 * far as it coordinates them, and the workspaces with the owner of each rate. It contains no API
 * keys and no digests of them.
 */
import {type Kernel} from '@shallotpond/kernel/kernel';
import {shardResource, createShardMap} from '@shallotpond/policy-dispatch/shard-map';
import {type InstanceServices} from './instance.js';

export type TargetStatus = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	/** Instance that coordinates the target; undefined while none is known. */
	readonly coordinator: string | undefined;
	/** Undefined unless this instance coordinates the target. */
	readonly health: string | undefined;
	/** Open slot grants over all instances; undefined unless this instance coordinates the target. */
	readonly inFlight: number | undefined;
	/**
	 * Slots that the target's present warm-up and health allow; undefined unless this instance
	 * coordinates the target.
	 */
	readonly allowedSlots: number | undefined;
};

export type InstanceStatus = {
	readonly instance: string;
	/** Version of the current configuration; 0 before the first one is adopted. */
	readonly version: number;
	readonly ready: boolean;
	readonly members: ReadonlyArray<{readonly instance: string; readonly state: string}>;
	readonly targets: readonly TargetStatus[];
	readonly workspaces: ReadonlyArray<{
		readonly id: string;
		/** Requests per second. */
		readonly rate: number;
		readonly burst: number;
		readonly owner: string | undefined;
	}>;
};

/** Linear in the targets and workspaces, so it is meant for operators and not for each request. */
export function describeStatus(
	kernel: Kernel<InstanceServices>,
	isReady: boolean,
	now: number,
): InstanceStatus {
	const {tables, version} = kernel.find('configuration');
	const {membership} = kernel.find('membership');
	const {coordinator} = kernel.find('slots');
	const services = Object.entries(tables?.document.services ?? {});
	const targets = services.flatMap(([service, definition]) => {
		const shardMap = createShardMap(definition);
		return definition.targets.map(({id, failureDomain}) => {
			const shard = shardMap.shardOf(id);
			const coordinatorId =
				shard === undefined ? undefined : membership.ownerOf(shardResource(service, shard), now);
			const isCoordinator = coordinatorId === membership.self;
			return {
				id,
				service,
				failureDomain,
				coordinator: coordinatorId,
				health: isCoordinator ? coordinator.healthOf(service, id) : undefined,
				inFlight: isCoordinator ? coordinator.openGrantCount(service, id) : undefined,
				allowedSlots: isCoordinator ? coordinator.allowedSlotsOf(service, id) : undefined,
			};
		});
	});
	const workspaces = Object.entries(tables?.document.workspaces ?? {});
	return {
		instance: membership.self,
		version,
		ready: isReady,
		members: membership.status(now).peers.map(({address, id, state}) => ({
			instance: id ?? address,
			state,
		})),
		targets,
		workspaces: workspaces.map(([id, {rate, burst}]) => ({
			id,
			rate,
			burst,
			owner: membership.ownerOf(`rate:${id}`, now),
		})),
	};
}
