/**
 * The state that a coordinator keeps of one shard: its targets, its queue and its settings. Also
 * chooses which target gets the next request.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {slotAuthority} from '@shallotpond/policy-membership/authority';
import {type CoordinatedTarget} from './coordinated-target.js';
import {type AvailabilityLookup, type DispatchService} from './dispatch-service.js';
import {type FloorTarget} from './ejection-floor.js';
import {type FairQueue, type QueueEntry} from './fair-queue.js';
import {type SlotAsk} from './slot-messages.js';
import {type TargetHealth} from './target-health.js';

export type WaitingAsk = QueueEntry & {
	/** The latest repetition received. */
	ask: SlotAsk;
	readonly holder: InstanceId;
};

export type CoordinatedShard = {
	readonly service: string;
	readonly number: number;
	readonly resource: string;
	readonly queue: FairQueue<WaitingAsk>;
	readonly targets: Map<string, CoordinatedTarget>;
	/** Monotonic milliseconds at which this instance began to coordinate the shard. */
	readonly createdAt: number;
	/** Monotonic milliseconds at which this instance last had a share of the resource. */
	lastLentAt: number;
	/** Moving average of the slot time of a request. Milliseconds. */
	meanSlotTime: number;
	settings: DispatchService;
};

export type TargetChoiceOptions = {
	readonly random: Random;
	readonly availability: AvailabilityLookup;
	readonly health: TargetHealth;
};

/** Number of concurrent requests that a target may get from all coordinators together. */
export function allowedSlots(
	target: CoordinatedTarget,
	{coldSlots}: DispatchService,
	health: TargetHealth,
): number {
	const {allowed} = target.warmUp;
	const isPossiblyCold =
		target.restartSuspectedAt !== undefined || health.stateOf(target.definition.id) === 'trial';
	return isPossiblyCold ? Math.min(allowed, coldSlots) : allowed;
}

/** Whether the target may get new requests at all. */
export function isUsable(
	target: CoordinatedTarget,
	{availability, health}: TargetChoiceOptions,
	now: number,
): boolean {
	return (
		now >= target.notBefore &&
		health.stateOf(target.definition.id) !== 'ejected' &&
		availability(target.service, target.definition) === 'available'
	);
}

/** Whether the target can take one more request under the vested fraction. */
function hasFreeSlot(
	target: CoordinatedTarget,
	shard: CoordinatedShard,
	vested: number,
	health: TargetHealth,
): boolean {
	const allowed = allowedSlots(target, shard.settings, health);
	return target.grants.size < slotAuthority(allowed, vested);
}

/** Whether any target has a free slot. Linear in the targets of the shard; allocates nothing. */
export function hasAnyFreeSlot(
	shard: CoordinatedShard,
	vested: number,
	health: TargetHealth,
): boolean {
	for (const target of shard.targets.values()) {
		if (hasFreeSlot(target, shard, vested, health)) {
			return true;
		}
	}

	return false;
}

/**
 * The least loaded target with a free slot that the request may use; suspect targets and avoided
 * failure domains come last. Linear in the targets of the shard, of which there are few.
 */
export function chooseTarget(
	shard: CoordinatedShard,
	waiting: WaitingAsk,
	vested: number,
	options: TargetChoiceOptions,
	now: number,
): CoordinatedTarget | undefined {
	const {excludeTargets, avoidFailureDomains} = waiting.ask;
	let best: CoordinatedTarget | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const target of shard.targets.values()) {
		const {id, failureDomain} = target.definition;
		if (
			excludeTargets.includes(id) ||
			!hasFreeSlot(target, shard, vested, options.health) ||
			!isUsable(target, options, now) ||
			!target.connections.hasRoom(waiting.holder, target.grants.size, now)
		) {
			continue;
		}

		const isSuspect = options.health.stateOf(id) === 'suspect';
		const load = target.grants.size / shard.settings.slots;
		const score =
			(isSuspect ? 4 : 0) +
			(avoidFailureDomains.includes(failureDomain) ? 2 : 0) +
			load +
			options.random() * 1e-3;
		if (score < bestScore) {
			best = target;
			bestScore = score;
		}
	}

	return best;
}

/**
 * Number of slots of the usable targets under this fraction. Linear in the targets of the shard.
 */
export function usableSlots(
	shard: CoordinatedShard,
	vested: number,
	options: TargetChoiceOptions,
	now: number,
): number {
	let sum = 0;
	for (const target of shard.targets.values()) {
		if (isUsable(target, options, now)) {
			sum += slotAuthority(allowedSlots(target, shard.settings, options.health), vested);
		}
	}

	return sum;
}

/** The targets of the shard as the ejection floor sees them. */
export function floorTargetsOf(
	shard: CoordinatedShard,
	{availability, health}: TargetChoiceOptions,
	now: number,
): FloorTarget[] {
	return [...shard.targets.values()].map(target => ({
		id: target.definition.id,
		slots: shard.settings.slots,
		allowedSlots: now < target.notBefore ? 0 : allowedSlots(target, shard.settings, health),
		isEjected: health.stateOf(target.definition.id) === 'ejected',
		isAvailable: availability(target.service, target.definition) === 'available',
	}));
}
