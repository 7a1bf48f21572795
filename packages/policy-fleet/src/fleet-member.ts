/**
 * One instance as a member of the fleet. Discovers the other members through seeds, creates the
 * reports of what this instance observed, and passes the reports of other members to the callbacks
 * in the options. It returns the messages to send and does no I/O itself. Each `now` is in
 * milliseconds of the monotonic clock.
 */
import {type Random} from '@shallotpond/kernel/random';
import {createFleetRoster, type FleetRoster, type FleetRosterOptions} from './fleet-roster.js';
import {createReportSchedule, type ReportContent} from './report-schedule.js';
import {createSuspectLearning, type SuspectLearningOptions} from './suspect-learning.js';
import {
	type ConfigurationState,
	type TargetCrash,
	type FleetMessage,
	type Member,
	type OutboundFleetMessage,
	type FleetReport,
	type TargetLoad,
	type TargetReport,
	type WorkspaceUsage,
	type WorkspaceUsageTotal,
} from './fleet-message.js';

export type FleetMemberOptions = {
	readonly self: Member;
	/** IP addresses of the current seeds, the members that are contacted first. */
	readonly seeds: () => readonly string[];
	readonly random: Random;
	readonly onJoined?: FleetRosterOptions['onJoined'];
	readonly onLeft?: FleetRosterOptions['onLeft'];
	/**
	 * Returns the content of the next reports. Called at every tick, also if no report is due:
	 * `targets` must cover the time since the last call. See `ReportContent`.
	 */
	readonly takeContent: () => ReportContent;
	/** Called with the outcomes in a report. */
	readonly onTargets: (reports: readonly TargetReport[], from: Member, now: number) => void;
	/** Called with the requests that another member of this failure domain has in flight. */
	readonly onLoad: (from: Member, inFlight: readonly TargetLoad[], now: number) => void;
	/**
	 * Called for each workspace with the numbers of requests that a member received and admitted
	 * since its last report.
	 */
	readonly onUsage: (usage: Omit<WorkspaceUsageTotal, 'before'>, now: number) => void;
	readonly onCrashes: (crashes: readonly TargetCrash[], now: number) => void;
	/** Called with the fingerprints of requests that are no longer suspected. */
	readonly onClearedRequests: (fingerprints: readonly string[], now: number) => void;
	/** Called with the fingerprints of requests that another member refuses. */
	readonly onRefusedRequests?: (fingerprints: readonly string[], now: number) => void;
	/** The requests that crash targets, for members that start later. */
	readonly suspects: SuspectLearningOptions['suspects'];
	/** Called with the requests that another member remembers. */
	readonly onSuspects: SuspectLearningOptions['onSuspects'];
	readonly onLeavingTargets: (incarnations: readonly string[], now: number) => void;
	readonly onConfiguration: (state: ConfigurationState, from: Member, now: number) => void;
};

export type FleetMember = {
	readonly roster: FleetRoster;
	/** Handles a message and returns the responses to send. */
	receive(message: FleetMessage, now: number): OutboundFleetMessage[];
	/** Must be called regularly; returns the messages that are due. */
	tick(now: number): OutboundFleetMessage[];
	/** For this property and the methods below see `ReportSchedule`. */
	readonly hasUrgentRelays: boolean;
	markUrgent(): void;
	recordLoadChange(): void;
};

/**
 * Milliseconds between two roster requests: until the first contact, as seeds may be starting as
 * well, during discovery, and afterwards.
 */
const firstRosterInterval = 100;
const discoveryRosterInterval = 500;
const steadyRosterInterval = 5000;
/**
 * Milliseconds after the start in which an instance requests rosters often, because other instances
 * may be starting as well. It does so for longer if it knows no other member yet.
 */
const discoveryPeriod = 6000;
/** Milliseconds after the start in which requests until the first contact follow each other closely. */
const firstContactPeriod = 3000;
/**
 * Maximum number of members in a roster answer, so that it fits into one packet at the smallest
 * common MTU.
 */
const maxMembersPerAnswer = 40;

export function createFleetMember(options: FleetMemberOptions): FleetMember {
	const {self, random} = options;
	const roster = createFleetRoster({self, onJoined: options.onJoined, onLeft: options.onLeft});
	const schedule = createReportSchedule({
		self,
		roster,
		random,
		takeContent: options.takeContent,
	});
	const suspectLearning = createSuspectLearning({
		self,
		roster,
		random,
		suspects: options.suspects,
		onSuspects: options.onSuspects,
	});
	/**
	 * Last received totals, by address of the member and by workspace. `startedAt` is the start of
	 * the process at the address; the totals of its successor start anew.
	 */
	const totals = new Map<string, {startedAt: number; byWorkspace: Map<string, WorkspaceUsage>}>();
	let startedAt: number | undefined;
	let requestedAt = Number.NEGATIVE_INFINITY;
	let prunedAt = 0;

	function handleTotals(
		from: Member,
		workspaces: readonly WorkspaceUsageTotal[],
		now: number,
	): void {
		let known = totals.get(from.address);
		if (known?.startedAt !== from.startedAt) {
			known = {startedAt: from.startedAt, byWorkspace: new Map()};
			totals.set(from.address, known);
		}

		for (const total of workspaces) {
			const {workspace} = total;
			// The first total received may cover the whole lifetime of the sender; only the requests
			// since the previous report of the sender count.
			const before = known.byWorkspace.get(workspace) ?? total.before;
			if (total.asked <= before.asked) {
				// Reports may arrive out of order.
				continue;
			}

			known.byWorkspace.set(workspace, total);
			const asked = total.asked - before.asked;
			options.onUsage({workspace, asked, admitted: total.admitted - before.admitted}, now);
		}
	}

	function handleReport(report: FleetReport, now: number): void {
		if (report.isRelayed) {
			schedule.relay(report);
		}

		if (report.isLeaving) {
			roster.remove(report.from, now);
		}

		options.onConfiguration(report.configuration, report.from, now);
		options.onTargets(report.targets, report.from, now);
		if (report.from.failureDomain === self.failureDomain) {
			options.onLoad(report.from, report.inFlight, now);
		}

		handleTotals(report.from, report.workspaces, now);
		options.onCrashes(report.crashes, now);
		options.onClearedRequests(report.clearedRequests, now);
		options.onRefusedRequests?.(report.refusedRequests ?? [], now);
		options.onLeavingTargets(report.leavingTargets, now);
	}

	function createRosterAnswers(from: Member): OutboundFleetMessage[] {
		const members = roster.members().filter(({address}) => address !== from.address);
		const outgoing: OutboundFleetMessage[] = [];
		for (let first = 0; first === 0 || first < members.length; first += maxMembersPerAnswer) {
			outgoing.push({
				to: from.address,
				message: {
					kind: 'roster-answer',
					from: self,
					members: members.slice(first, first + maxMembersPerAnswer),
				},
			});
		}

		return outgoing;
	}

	function rosterInterval(age: number, isDiscovering: boolean): number {
		if (roster.firstContactAt === undefined && age < firstContactPeriod) {
			return firstRosterInterval;
		}

		return isDiscovering ? discoveryRosterInterval : steadyRosterInterval;
	}

	function requestRoster(now: number): OutboundFleetMessage[] {
		startedAt ??= now;
		const age = now - startedAt;
		const isDiscovering = age < discoveryPeriod || roster.size === 1;
		if (now - requestedAt < rosterInterval(age, isDiscovering)) {
			return [];
		}

		requestedAt = now;
		const sameDomainMembers = roster.sameDomainMembers(now);
		const receivers = new Set(options.seeds().filter(address => address !== self.address));
		if (!isDiscovering && receivers.size > 0) {
			// One seed is enough, because a member of this failure domain is asked as well; traffic to
			// that member costs less than to a seed in another failure domain.
			const seeds = [...receivers];
			receivers.clear();
			receivers.add(seeds[Math.floor(random() * seeds.length)]!);
		}

		if (sameDomainMembers.length > 0) {
			receivers.add(sameDomainMembers[Math.floor(random() * sameDomainMembers.length)]!.address);
		}

		const message = {kind: 'roster-request', from: self} as const;
		return [...receivers].map(to => ({to, message}));
	}

	return {
		roster,
		receive(message, now) {
			roster.recordMessageFrom(message.from, now);
			switch (message.kind) {
				case 'roster-request': {
					return createRosterAnswers(message.from);
				}

				case 'roster-answer': {
					for (const member of message.members) {
						roster.recordMentionOf(member, now);
					}

					return [];
				}

				case 'suspects-request': {
					return suspectLearning.createAnswers(message.from, now);
				}

				case 'suspects-answer': {
					suspectLearning.receiveAnswer(message, now);
					return [];
				}

				case 'report': {
					handleReport(message, now);
					return [];
				}
			}
		},
		tick(now) {
			if (now - prunedAt > 1000) {
				prunedAt = now;
				roster.removeSilent(now);
			}

			return [...requestRoster(now), ...suspectLearning.tick(now), ...schedule.tick(now)];
		},
		get hasUrgentRelays() {
			return schedule.hasUrgentRelays;
		},
		markUrgent() {
			schedule.markUrgent();
		},
		recordLoadChange() {
			schedule.recordLoadChange();
		},
	};
}
