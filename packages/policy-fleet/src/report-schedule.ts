/**
 * Decides when an instance sends reports, and to which members. Inside a failure domain every
 * member gets each report. Traffic between failure domains is expensive, so each other domain gets
 * one copy, which its receiver relays to the rest of that domain. Failures and the stop of the
 * instance are reported with the next tick. Inside the failure domain of the instance, so are
 * changes of the revision of the published items. Everything else waits for a minimum interval
 * since the last report. In a large failure domain the intervals are longer, and reports that are
 * relayed share their datagrams, because what an instance sends and receives there would otherwise
 * grow with the number of its members. Each `now` is in milliseconds of the monotonic clock.
 */
import {type Random} from '@shallotpond/kernel/random';
import {type FleetRoster} from './fleet-roster.js';
import {
	type ConfigurationState,
	type TargetCrash,
	type Member,
	type OutboundFleetMessage,
	type FleetReport,
	type TargetLoad,
	type TargetReport,
	type WorkspaceUsage,
} from './fleet-message.js';

export type ReportContent = {
	/** Outcomes since the last call of `takeContent`. */
	readonly targets: readonly TargetReport[];
	/**
	 * Current requests in flight. Sent only to the members of this failure domain: they change too
	 * often to be sent to other failure domains.
	 */
	readonly inFlight: readonly TargetLoad[];
	/**
	 * Totals since the start of this instance, by workspace. Those that changed are sent; a later
	 * total compensates for a lost one.
	 */
	readonly workspaces: ReadonlyMap<string, WorkspaceUsage>;
	/** Crashes of the last few seconds; each report repeats them. */
	readonly crashes: readonly TargetCrash[];
	readonly configuration: ConfigurationState;
	readonly isLeaving: boolean;
	/** Targets found to be leaving in the last few seconds; each report repeats them. */
	readonly leavingTargets: readonly string[];
	/** Requests cleared in the last few seconds; each report repeats them. */
	readonly clearedRequests: readonly string[];
	/** Requests refused in the last few seconds; each report repeats them. Default: none. */
	readonly refusedRequests?: readonly string[];
};

export type ReportScheduleOptions = {
	readonly self: Member;
	readonly roster: FleetRoster;
	readonly random: Random;
	/**
	 * Returns the content of the next reports. Called at every tick. Only `targets` is limited to the
	 * time since the last call, see `ReportContent`.
	 */
	readonly takeContent: () => ReportContent;
};

export type ReportSchedule = {
	/** Must be called regularly; returns the messages that are due. */
	tick(now: number): OutboundFleetMessage[];
	/**
	 * Makes the next tick send a report regardless of the interval, because a failure was observed.
	 */
	markUrgent(): void;
	/**
	 * Makes one of the next ticks send a report to the members of this failure domain, because the
	 * load of this instance on targets changed. In a small domain it is the next tick.
	 */
	recordLoadChange(): void;
	/** Relays a report from another failure domain to the members of this one. */
	relay(report: FleetReport): void;
	/** Whether reports of failures wait to be relayed, so that the next tick should come soon. */
	readonly hasUrgentRelays: boolean;
};

/**
 * Minimum milliseconds between two reports that are not urgent, inside the failure domain and to
 * other failure domains.
 */
const nearInterval = 250;
const farInterval = 500;
/**
 * Milliseconds after which a report is sent even if there is nothing new, inside the failure domain
 * and to other failure domains.
 */
const nearHeartbeat = 1000;
const farHeartbeat = 2000;

/**
 * Milliseconds between two reports of an instance to its failure domain for each of its members
 * above `membersAtFullRate`: in a domain of 30 or more, an instance gets at most about 70 such
 * reports per second.
 */
const intervalPerMember = 20;
const membersAtFullRate = 8;
/**
 * Maximum milliseconds for which relayed reports wait for others. Members that do not hear of an
 * instance for 2.6 s take it for unreachable, and it may report only every 2 s.
 */
const maxRelayDelay = 300;
/** Milliseconds by which `farInterval` grows for each active member above `membersAtFarInterval`. */
const farIntervalPerMember = 3;
const membersAtFarInterval = 48;
const maxFarInterval = 750;

/** Minimum milliseconds between two reports inside a failure domain with that many members. */
function domainInterval(members: number): number {
	return Math.max(0, members - membersAtFullRate) * intervalPerMember;
}

const noRequests: WorkspaceUsage = {asked: 0, admitted: 0};

/**
 * The members that get the same reports (those of this failure domain, or those of the others), and
 * what has been sent to them. All times are in milliseconds.
 */
type Audience = {
	/** Outcomes that have not been sent yet, by incarnation of the target. */
	readonly targets: Map<string, TargetReport>;
	/** Totals as last sent, by workspace. */
	readonly sentTotals: Map<string, WorkspaceUsage>;
	sentAt: number;
};

function createAudience(): Audience {
	return {
		targets: new Map(),
		sentTotals: new Map(),
		sentAt: Number.NEGATIVE_INFINITY,
	};
}

function addOutcomes(targets: Map<string, TargetReport>, report: TargetReport): void {
	const known = targets.get(report.incarnation);
	if (known === undefined) {
		targets.set(report.incarnation, report);
		return;
	}

	targets.set(report.incarnation, {
		incarnation: report.incarnation,
		good: known.good + report.good,
		bad: known.bad + report.bad,
		busy: known.busy + report.busy,
		stale: known.stale + report.stale,
		unreached: known.unreached + report.unreached,
		late: (known.late ?? 0) + (report.late ?? 0),
		latency: known.latency + report.latency,
	});
}

export function createReportSchedule(options: ReportScheduleOptions): ReportSchedule {
	const {self, roster, random, takeContent} = options;
	const near = createAudience();
	const far = createAudience();
	/** Reports from other failure domains that this instance has yet to relay inside its own one. */
	let pendingRelays: FleetReport[] = [];
	/** When the first of them arrived; undefined until the next tick. */
	let relaysPendingSince: number | undefined;
	let isUrgent = false;
	let isNearUrgent = false;
	let hasLoadChanged = false;
	let revision = 0;
	let era: number | undefined;
	let isLeaving = false;

	function createReport(
		audience: Audience,
		content: ReportContent,
		isRelayed: boolean,
	): FleetReport {
		const workspaces = [];
		for (const [workspace, total] of content.workspaces) {
			const before = audience.sentTotals.get(workspace) ?? noRequests;
			if (before.asked !== total.asked) {
				workspaces.push({workspace, ...total, before});
				audience.sentTotals.set(workspace, total);
			}
		}

		return {
			kind: 'report',
			from: self,
			isRelayed,
			configuration: content.configuration,
			targets: [...audience.targets.values()],
			inFlight: audience === near ? content.inFlight : [],
			workspaces,
			crashes: content.crashes,
			clearedRequests: content.clearedRequests,
			refusedRequests: content.refusedRequests ?? [],
			isLeaving: content.isLeaving,
			leavingTargets: content.leavingTargets,
		};
	}

	function isNearDue(content: ReportContent, memberCount: number, now: number): boolean {
		const age = now - near.sentAt;
		const interval = domainInterval(memberCount);
		return (
			isNearUrgent ||
			(hasLoadChanged && age >= interval) ||
			(hasNews(near, content) && age >= Math.max(nearInterval, interval)) ||
			age >= nearHeartbeat
		);
	}

	function isFarDue(content: ReportContent, now: number): boolean {
		const age = now - far.sentAt;
		const members = Math.max(0, roster.activeCount(now) - membersAtFarInterval);
		const interval = Math.min(maxFarInterval, farInterval + members * farIntervalPerMember);
		return isUrgent || (hasNews(far, content) && age >= interval) || age >= farHeartbeat;
	}

	function hasNews(audience: Audience, content: ReportContent): boolean {
		// Repeated reports of leaving targets compensate for lost datagrams.
		if (audience.targets.size > 0 || content.leavingTargets.length > 0) {
			return true;
		}

		for (const [workspace, {asked}] of content.workspaces) {
			if ((audience.sentTotals.get(workspace) ?? noRequests).asked !== asked) {
				return true;
			}
		}

		return false;
	}

	function markSent(audience: Audience, now: number): void {
		audience.targets.clear();
		audience.sentAt = now;
	}

	function reportToSameDomain(content: ReportContent, now: number): OutboundFleetMessage[] {
		const members = roster.sameDomainMembers(now);
		if (!isNearDue(content, members.length, now)) {
			return [];
		}

		const message = createReport(near, content, false);
		markSent(near, now);
		hasLoadChanged = false;
		return members.map(({address}) => ({to: address, message}));
	}

	function reportToOtherDomains(content: ReportContent, now: number): OutboundFleetMessage[] {
		if (!isFarDue(content, now)) {
			return [];
		}

		const message = createReport(far, content, true);
		markSent(far, now);
		const outgoing: OutboundFleetMessage[] = [];
		for (const members of roster.otherDomainMembers(now).values()) {
			const relay = members[Math.floor(random() * members.length)]!;
			outgoing.push({to: relay.address, message});
		}

		return outgoing;
	}

	/**
	 * Returns the reports to be relayed. They are sent in the same tick as the reports of this
	 * instance, so that they share datagrams; without such a report, they wait for others unless they
	 * contain a failure.
	 */
	function sendRelays(isReporting: boolean, now: number): OutboundFleetMessage[] {
		if (pendingRelays.length === 0) {
			return [];
		}

		relaysPendingSince ??= now;
		const members = roster.sameDomainMembers(now);
		const maxDelay = Math.min(maxRelayDelay, domainInterval(members.length));
		if (!isReporting && !hasUrgentRelays() && now - relaysPendingSince < maxDelay) {
			return [];
		}

		const messages = pendingRelays;
		pendingRelays = [];
		relaysPendingSince = undefined;
		return members.flatMap(({address}) =>
			messages
				.filter(({from}) => from.address !== address)
				.map(message => ({to: address, message})),
		);
	}

	function hasUrgentRelays(): boolean {
		return pendingRelays.some(
			({targets, leavingTargets}) =>
				leavingTargets.length > 0 || targets.some(({bad, stale}) => bad + stale > 0),
		);
	}

	return {
		tick(now) {
			const content = takeContent();
			for (const report of content.targets) {
				addOutcomes(near.targets, report);
				addOutcomes(far.targets, report);
			}

			isUrgent ||= content.isLeaving !== isLeaving;
			// A new revision is reported at once, so that members of this failure domain whose source of
			// published items is stuck learn of the revision.
			isNearUrgent ||=
				isUrgent ||
				content.configuration.revision !== revision ||
				content.configuration.era !== era;
			({revision, era} = content.configuration);
			({isLeaving} = content);
			const nearReports = reportToSameDomain(content, now);
			const outgoing = [
				...nearReports,
				...sendRelays(nearReports.length > 0, now),
				...reportToOtherDomains(content, now),
			];
			isUrgent = false;
			isNearUrgent = false;
			return outgoing;
		},
		markUrgent() {
			isUrgent = true;
		},
		recordLoadChange() {
			hasLoadChanged = true;
		},
		relay(report) {
			pendingRelays.push({...report, isRelayed: false});
		},
		get hasUrgentRelays() {
			return hasUrgentRelays();
		},
	};
}
