/**
 * The limit on ejections: they must never bring the healthy capacity of a shard below its floor.
 * Because every shard keeps the floor, the service keeps it too.
 */

export type FloorTarget = {
	readonly id: string;
	/** Slots when warm. */
	readonly slots: number;
	/** Slots that the target bears now; fewer than `slots` while it is cold. */
	readonly allowedSlots: number;
	readonly isEjected: boolean;
	/** False for leaving targets and those in a failure domain that was taken out. */
	readonly isAvailable: boolean;
};

/**
 * Whether the slots that the targets bear now, without the ejected ones and the candidate, are at
 * least `floor` times the slots of all available targets. Linear in the targets of one shard; called
 * when targets are judged, not per request.
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

/** Whether the candidate may be ejected. */
export function canEject(
	candidate: string,
	targets: readonly FloorTarget[],
	floor: number,
): boolean {
	return keepsFloor(targets, floor, candidate);
}
