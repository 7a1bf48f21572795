/**
 * Requests that other instances (members of the fleet) currently have at each target, from their
 * latest reports. Guards against many instances, each with few requests, choosing the same target:
 * with two slots per target, two requests that other instances have just sent make the next one
 * wait. A target is identified by its incarnation, the name of one start of its process. Each `now`
 * is in milliseconds of the monotonic clock.
 */
export type ReportedTargetLoads = {
	/**
	 * Replaces the previous report of the member, which is named by its address. Linear in the
	 * targets of both reports.
	 */
	replace(
		member: string,
		loads: ReadonlyArray<readonly [incarnation: string, requests: number]>,
		now: number,
	): void;
	/** Requests that all members together have at the target. */
	requestsAt(incarnation: string, now: number): number;
};

/** Milliseconds for which the last report of a silent member is kept. */
const retentionMs = 2500;
/** Minimum time between two scans for silent members. */
const scanIntervalMs = 500;

type MemberLoad = {
	readonly loads: ReadonlyArray<readonly [string, number]>;
	readonly reportedAt: number;
};

export function createReportedTargetLoads(): ReportedTargetLoads {
	const members = new Map<string, MemberLoad>();
	const totals = new Map<string, number>();
	let lastScanAt = 0;

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

	function removeSilentMembers(now: number): void {
		if (now - lastScanAt < scanIntervalMs) {
			return;
		}

		lastScanAt = now;
		for (const [member, {reportedAt}] of members) {
			if (now - reportedAt > retentionMs) {
				remove(member);
			}
		}
	}

	return {
		replace(member, loads, now) {
			remove(member);
			members.set(member, {loads, reportedAt: now});
			add(loads, 1);
		},
		requestsAt(incarnation, now) {
			removeSilentMembers(now);
			return totals.get(incarnation) ?? 0;
		},
	};
}
