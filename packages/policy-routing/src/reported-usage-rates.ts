/**
 * Rates at which the other instances receive and admit the requests of each workspace, estimated
 * from their reports. Between two reports a member is assumed to go on as before, so that the
 * silence of members that are cut off does not look like the absence of their requests. The next
 * report replaces the assumption by what the member really did. A member that is no longer
 * reachable is left out: it uses its own part of the rates then. A report costs as much as it and
 * the member's reports of the last second or two name workspaces. Each `now` is in milliseconds of
 * the monotonic clock.
 */

/** Numbers of requests: those received, and those of them that were admitted. */
export type WorkspaceUsage = {readonly asked: number; readonly admitted: number};

export type ReportedWorkspaceUsage = WorkspaceUsage & {readonly workspace: string};

/** How the estimate for a workspace changes with a report or with the loss of contact. */
export type UsageRateChange = {
	/** Changes of the summed rates of all members, in requests per millisecond. */
	readonly askedRate: number;
	readonly admittedRate: number;
	/** Admissions that a report contains. */
	readonly reported: number;
	/** Admissions that were assumed since the last report of the member and are withdrawn. */
	readonly assumed: number;
};

export type ReportedUsageRates = {
	/** Records a report of a member, which may contain no requests. */
	record(member: string, usages: readonly ReportedWorkspaceUsage[], now: number): void;
	/**
	 * Leaves out the members that are no longer reachable. Returns for how many milliseconds they
	 * have been silent on average; undefined if there are none. The cost grows with the number of
	 * members.
	 */
	removeUnreachable(now: number): number | undefined;
};

export type ReportedUsageRatesOptions = {
	readonly isReachable: (member: string) => boolean;
	readonly onChange: (workspace: string, change: UsageRateChange, now: number) => void;
};

type Rates = {readonly asked: number; readonly admitted: number};

type MemberState = {
	heardAt: number;
	/** When the member was found to be unreachable; undefined while it is reachable. */
	lostAt: number | undefined;
	/** Requests per millisecond by workspace, of the workspaces with recent requests. */
	readonly rates: Map<string, Rates>;
};

/** Time constant of the estimated rates; about as long as the interval between two reports. */
const smoothingTimeMs = 250;
/** Requests per millisecond below which a member counts as having none: one in 100 s. */
const minRate = 0.000_01;
/**
 * Silence after which a member is left out although it does not count as unreachable, because it
 * stopped in order.
 */
const maxSilenceMs = 3000;
/** Silence after which the state of a member is deleted. */
const retentionMs = 60_000;
const noRates: Rates = {asked: 0, admitted: 0};
const noUsage: WorkspaceUsage = {asked: 0, admitted: 0};

/** The rate after `elapsed` milliseconds with `amount` requests. */
function smooth(rate: number, amount: number, elapsed: number): number {
	const retained = Math.exp(-elapsed / smoothingTimeMs);
	// The limit for two reports in the same millisecond.
	const weight = elapsed > 0 ? (1 - retained) / elapsed : 1 / smoothingTimeMs;
	const next = rate * retained + amount * weight;
	return next < minRate ? 0 : next;
}

export function createReportedUsageRates(options: ReportedUsageRatesOptions): ReportedUsageRates {
	const {isReachable, onChange} = options;
	const members = new Map<string, MemberState>();

	function setRates(state: MemberState, workspace: string, rates: Rates): void {
		if (rates.asked === 0 && rates.admitted === 0) {
			state.rates.delete(workspace);
		} else {
			state.rates.set(workspace, rates);
		}
	}

	function update(
		state: MemberState,
		workspace: string,
		{asked, admitted}: WorkspaceUsage,
		now: number,
	): void {
		const {heardAt, lostAt} = state;
		const elapsed = now - heardAt;
		const before = state.rates.get(workspace) ?? noRates;
		const rates = {
			asked: smooth(before.asked, asked, elapsed),
			admitted: smooth(before.admitted, admitted, elapsed),
		};
		// While it was unreachable, the member used its own part of the rate.
		const countedFraction =
			lostAt === undefined || elapsed === 0 ? 1 : (lostAt - heardAt) / elapsed;
		setRates(state, workspace, rates);
		onChange(
			workspace,
			{
				askedRate: rates.asked - before.asked,
				admittedRate: rates.admitted - before.admitted,
				reported: admitted * countedFraction,
				assumed: before.admitted * elapsed,
			},
			now,
		);
	}

	function removeRates(state: MemberState, now: number): void {
		for (const [workspace, {asked, admitted}] of state.rates) {
			const assumed = admitted * (now - state.heardAt);
			onChange(workspace, {askedRate: -asked, admittedRate: -admitted, reported: 0, assumed}, now);
		}

		state.rates.clear();
	}

	return {
		record(member, usages, now) {
			const known = members.get(member);
			const state = known ?? {
				// A member that is heard for the first time has sent its report after the usual interval.
				heardAt: now - smoothingTimeMs,
				lostAt: undefined,
				rates: new Map<string, Rates>(),
			};
			members.set(member, state);
			const reported = new Set<string>();
			for (const usage of usages) {
				reported.add(usage.workspace);
				update(state, usage.workspace, usage, now);
			}

			for (const workspace of state.rates.keys()) {
				if (!reported.has(workspace)) {
					update(state, workspace, noUsage, now);
				}
			}

			state.heardAt = now;
			state.lostAt = undefined;
		},
		removeUnreachable(now) {
			let lostMembers = 0;
			let silence = 0;
			for (const [member, state] of members) {
				const age = now - state.heardAt;
				if (state.lostAt === undefined && (age > maxSilenceMs || !isReachable(member))) {
					removeRates(state, now);
					state.lostAt = now;
					lostMembers++;
					silence += age;
				}

				if (age > retentionMs) {
					members.delete(member);
				}
			}

			return lostMembers === 0 ? undefined : silence / lostMembers;
		},
	};
}
