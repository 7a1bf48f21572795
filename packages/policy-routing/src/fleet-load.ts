/**
 * Requests that other instances currently have at each target, from their latest reports. Guards
 * against many instances, each with few requests, choosing the same target: with two slots per
 * target, one request that another instance has just sent makes the next one wait.
 */
export type FleetLoad = {
	/** Replaces the previous report of the member. Linear in the targets that it lists. */
	replace(
		member: string,
		loads: ReadonlyArray<readonly [incarnation: string, requests: number]>,
		now: number,
	): void;
	/** Requests of all members at the target. */
	at(incarnation: string, now: number): number;
};

/** How long the last report of a silent member is kept. */
const retention = 2500;
/** Time between two scans for silent members. */
const searchInterval = 500;

type MemberLoad = {
	readonly loads: ReadonlyArray<readonly [string, number]>;
	readonly saidAt: number;
};

export function createFleetLoad(): FleetLoad {
	const members = new Map<string, MemberLoad>();
	const totals = new Map<string, number>();
	let searchedAt = 0;

	function add(loads: MemberLoad['loads'], sign: 1 | -1): void {
		for (const [incarnation, requests] of loads) {
			const total = (totals.get(incarnation) ?? 0) + sign * requests;
			if (total === 0) {
				totals.delete(incarnation);
			} else {
				totals.set(incarnation, total);
			}
		}
	}

	function remove(member: string): void {
		const known = members.get(member);
		if (known !== undefined) {
			add(known.loads, -1);
			members.delete(member);
		}
	}

	function dropSilent(now: number): void {
		if (now - searchedAt < searchInterval) {
			return;
		}

		searchedAt = now;
		for (const [member, {saidAt}] of members) {
			if (now - saidAt > retention) {
				remove(member);
			}
		}
	}

	return {
		replace(member, loads, now) {
			remove(member);
			members.set(member, {loads, saidAt: now});
			add(loads, 1);
		},
		at(incarnation, now) {
			dropSilent(now);
			return totals.get(incarnation) ?? 0;
		},
	};
}
