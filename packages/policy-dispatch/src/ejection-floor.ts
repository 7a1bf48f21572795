/**
 * The limit on ejections: they must never reduce the healthy capacity of a shard below its floor.
 * Because every shard keeps the floor, the service keeps it too.
 */

export type FloorTarget = {
	readonly id: string;
	/** Slots when warm. */
	readonly slots: number;
	/** Number of slots that the target is allowed now; fewer than `slots` while it is cold. */
	readonly allowedSlots: number;
	readonly isEjected: boolean;
	/** False for leaving targets and for those in a failure domain that is out of service. */
	readonly isAvailable: boolean;
};

/**
 * Whether the slots that the available targets are allowed now, without the ejected targets and the
 * candidate, are at least `floor` times the slots of all available targets when warm. Linear in the
 * targets of one shard; called for evaluations of health, not per request.
 */
export function keepsFloor(
	targets: readonly FloorTarget[],
	floor: number,
	candidate?: string,
): boolean {
	let admitted = 0;
	let total = 0;
	for (const target of targets) {
		if (!target.isAvailable) {
			continue;
		}

		total += target.slots;
		if (!target.isEjected && target.id !== candidate) {
			admitted += target.allowedSlots;
		}
	}

	return admitted >= floor * total;
}

/** Whether the slots that remain after the ejection of the candidate satisfy the floor. */
export function canEject(
	candidate: string,
	targets: readonly FloorTarget[],
	floor: number,
): boolean {
	return keepsFloor(targets, floor, candidate);
}
