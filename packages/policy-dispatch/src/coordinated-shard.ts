/**
 * The state that a coordinator keeps of one shard, a group of targets of a service: the targets,
 * the queue of waiting requests and the settings. The functions select the target of the next
 * request and count slots.
 *
 * `vested` is the fraction of the shares of a shard, 0 to 1, that have been lent to this instance
 * for longer than the lifetime of a grant, or that a former coordinator in a planned stop has
 * handed over. New grants are limited to this fraction of the slots.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {slotAuthority} from '@shallotpond/policy-membership/authority';
import {type CoordinatedTarget} from './coordinated-target.js';
import {type AvailabilityLookup, type DispatchSettings} from './dispatch-settings.js';
import {type FloorTarget} from './ejection-floor.js';
import {type FairQueue, type QueueEntry} from './fair-queue.js';
import {type SlotAsk} from './slot-messages.js';
import {type TargetHealth} from './target-health.js';

export type WaitingAsk = QueueEntry & {
	/** The ask as its holder last repeated it. */
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
	/**
	 * Monotonic milliseconds at which a share of the shard was last seen to be lent to this instance.
	 */
	lastLentAt: number;
	/** Moving average of the time for which a request occupies its slot. Milliseconds. */
	meanSlotTime: number;
	settings: DispatchSettings;
};

export type TargetChoiceOptions = {
	readonly random: Random;
	readonly availability: AvailabilityLookup;
	readonly health: TargetHealth;
};

/** Number of concurrent requests that a target may get from all coordinators together. */
export function allowedSlots(
	target: CoordinatedTarget,
	{coldSlots}: DispatchSettings,
	health: TargetHealth,
): number {
	const {allowedSlots: allowed} = target.warmUp;
	const isPossiblyCold =
		target.restartSuspectedAt !== undefined || health.stateOf(target.definition.id) === 'trial';
	return isPossiblyCold ? Math.min(allowed, coldSlots) : allowed;
}

/** Whether the target may get new requests, apart from its free slots and connections. */
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

/** Whether one more grant stays within the `vested` fraction of the slots of the target. */
function hasFreeSlot(
	target: CoordinatedTarget,
	shard: CoordinatedShard,
	vested: number,
	health: TargetHealth,
): boolean {
	const allowed = allowedSlots(target, shard.settings, health);
	return target.grants.size < slotAuthority(allowed, vested);
}

/**
 * Whether any target of the shard, usable or not, has a free slot. Linear in the targets; allocates
 * nothing.
 */
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
 * Returns the least loaded target that is usable, has a free slot and a free connection, and is not
 * excluded by the request. Prefers targets that are not suspect and, among these, targets outside
 * the avoided failure domains. Linear in the targets of the shard, of which there are few.
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
			!target.connections.allowsGrant(waiting.holder, target.grants.size, now)
		) {
			continue;
		}

		const isSuspect = options.health.stateOf(id) === 'suspect';
		// The load is at most 1, so the penalties for a suspect target (4) and for an avoided domain
		// (2) have priority over it. The random term breaks ties.
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
 * Number of slots of all usable targets that this coordinator may grant with the `vested` fraction.
 * Linear in the targets of the shard.
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

/** The targets of the shard with the fields that `keepsFloor` and `canEject` need. */
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
