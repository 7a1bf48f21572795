/**
 * What `/status` shows of an instance: members of its view, health of the targets that it
 * coordinates, and the workspaces with the owner of each rate. It holds no keys and no digests.
 */
import {type Kernel} from '@shallotpond/kernel/kernel';
import {shardResource, createShardMap} from '@shallotpond/policy-dispatch/shard-map';
import {type InstanceServices} from './instance.js';

export type TargetStatus = {
	readonly id: string;
	readonly service: string;
	readonly failureDomain: string;
	readonly coordinator: string | undefined;
	/** Known to the coordinator only. */
	readonly health: string | undefined;
	/** Requests in progress over all instances, known to the coordinator only. */
	readonly inFlight: number | undefined;
	/** Slots by the warm-up, known to the coordinator only. */
	readonly allowedSlots: number | undefined;
};

export type InstanceStatus = {
	readonly instance: string;
	readonly version: number;
	readonly ready: boolean;
	readonly members: ReadonlyArray<{readonly instance: string; readonly state: string}>;
	readonly targets: readonly TargetStatus[];
	readonly workspaces: ReadonlyArray<{
		readonly id: string;
		readonly rate: number;
		readonly burst: number;
		readonly owner: string | undefined;
	}>;
};

/** Linear in the targets and workspaces; for operators, not for each request. */
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
		const map = createShardMap(definition);
		return definition.targets.map(({id, failureDomain}) => {
			const shard = map.shardOf(id);
			const owner =
				shard === undefined ? undefined : membership.ownerOf(shardResource(service, shard), now);
			const isOwn = owner === membership.self;
			return {
				id,
				service,
				failureDomain,
				coordinator: owner,
				health: isOwn ? coordinator.healthOf(service, id) : undefined,
				inFlight: isOwn ? coordinator.openGrants(service, id) : undefined,
				allowedSlots: isOwn ? coordinator.allowedSlotsOf(service, id) : undefined,
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
