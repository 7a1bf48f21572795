/**
 * Decides when an instance reports what it saw, and to whom. Inside a failure domain everybody hears
 * each report. Traffic between failure domains is dear, so another domain gets one copy, which its
 * receiver passes on. Failures are told at once, everything else at a fixed pace.
 */
import {type Random} from '@shallotpond/kernel/random';
import {type FleetRoster} from './fleet-roster.js';
import {
	type ConfigurationState,
	type CrashReport,
	type Member,
	type OutgoingMessage,
	type Report,
	type TargetLoad,
	type TargetReport,
	type WorkspaceCounts,
} from './fleet-message.js';

export type ReportContent = {
	readonly targets: readonly TargetReport[];
	/** Told to neighbours only: it changes too often to cross between failure domains. */
	readonly inFlight: readonly TargetLoad[];
	/** Totals by workspace; those that changed are sent, and a later one makes good a lost one. */
	readonly workspaces: ReadonlyMap<string, WorkspaceCounts>;
	/** Those of the last seconds; each report repeats them. */
	readonly crashes: readonly CrashReport[];
	readonly configuration: ConfigurationState;
	readonly isLeaving: boolean;
};

export type ReportScheduleOptions = {
	readonly self: Member;
	readonly roster: FleetRoster;
	readonly random: Random;
	/** Takes what was seen since the last call. */
	readonly takeContent: () => ReportContent;
};

export type ReportSchedule = {
	/** Called at every tick; returns what is to be sent. */
	tick(now: number): OutgoingMessage[];
	/** A failure was seen: the next tick reports it, whatever the pace. */
	hasten(): void;
	/** The load that this instance puts on targets has changed: the next tick tells neighbours. */
	noteLoad(): void;
	/** Passes a relayed report on inside this failure domain, with the next tick. */
	relay(report: Report): void;
	/** Whether reports of failures wait to be passed on, so that the next tick should come soon. */
	readonly hasUrgentRelays: boolean;
};

/** Milliseconds between two reports inside a failure domain, and to the others. */
const nearInterval = 250;
const farInterval = 500;
/** Milliseconds after which a report is sent although there is nothing to tell. */
const nearHeartbeat = 1000;
const farHeartbeat = 2000;

const noRequests: WorkspaceCounts = {asked: 0, admitted: 0};

type Audience = {
	readonly interval: number;
	readonly heartbeat: number;
	readonly targets: Map<string, TargetReport>;
	/** As last sent, by workspace. */
	readonly sentTotals: Map<string, WorkspaceCounts>;
	sentAt: number;
};

function createAudience(interval: number, heartbeat: number): Audience {
	return {
		interval,
		heartbeat,
		targets: new Map(),
		sentTotals: new Map(),
		sentAt: Number.NEGATIVE_INFINITY,
	};
}

function addReport(targets: Map<string, TargetReport>, report: TargetReport): void {
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
		latency: known.latency + report.latency,
	});
}

export function createReportSchedule(options: ReportScheduleOptions): ReportSchedule {
	const {self, roster, random, takeContent} = options;
	const near = createAudience(nearInterval, nearHeartbeat);
	const far = createAudience(farInterval, farHeartbeat);
	let relayed: Report[] = [];
	let isHasty = false;
	let isNearHasty = false;
	let revision = 0;
	let isLeaving = false;

	function reportFor(audience: Audience, content: ReportContent, isRelayed: boolean): Report {
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
			isLeaving: content.isLeaving,
		};
	}

	function isDue(audience: Audience, hasNews: boolean, now: number): boolean {
		const age = now - audience.sentAt;
		return (
			(audience === near ? isNearHasty : isHasty) ||
			(hasNews && age >= audience.interval) ||
			age >= audience.heartbeat
		);
	}

	function hasNews(audience: Audience, content: ReportContent): boolean {
		if (audience.targets.size > 0) {
			return true;
		}

		for (const [workspace, {asked}] of content.workspaces) {
			if ((audience.sentTotals.get(workspace) ?? noRequests).asked !== asked) {
				return true;
			}
		}

		return false;
	}

	function clear(audience: Audience, now: number): void {
		audience.targets.clear();
		audience.sentAt = now;
	}

	function tellNear(content: ReportContent, now: number): OutgoingMessage[] {
		if (!isDue(near, hasNews(near, content), now)) {
			return [];
		}

		const message = reportFor(near, content, false);
		clear(near, now);
		return roster.neighbours(now).map(({address}) => ({to: address, message}));
	}

	function tellFar(content: ReportContent, now: number): OutgoingMessage[] {
		if (!isDue(far, hasNews(far, content), now)) {
			return [];
		}

		const message = reportFor(far, content, true);
		clear(far, now);
		const outgoing: OutgoingMessage[] = [];
		for (const members of roster.otherDomainMembers(now).values()) {
			const relay = members[Math.floor(random() * members.length)]!;
			outgoing.push({to: relay.address, message});
		}

		return outgoing;
	}

	/** Sent with the own reports of the tick, so that they share datagrams. */
	function passOn(now: number): OutgoingMessage[] {
		if (relayed.length === 0) {
			return [];
		}

		const messages = relayed;
		relayed = [];
		return roster
			.neighbours(now)
			.flatMap(({address}) =>
				messages
					.filter(({from}) => from.address !== address)
					.map(message => ({to: address, message})),
			);
	}

	return {
		tick(now) {
			const content = takeContent();
			for (const report of content.targets) {
				addReport(near.targets, report);
				addReport(far.targets, report);
			}

			isHasty ||= content.isLeaving !== isLeaving;
			// Neighbours whose own source is stuck learn from this that there is news.
			isNearHasty ||= isHasty || content.configuration.revision !== revision;
			({revision} = content.configuration);
			({isLeaving} = content);
			const outgoing = [...tellNear(content, now), ...passOn(now), ...tellFar(content, now)];
			isHasty = false;
			isNearHasty = false;
			return outgoing;
		},
		hasten() {
			isHasty = true;
		},
		noteLoad() {
			isNearHasty = true;
		},
		relay(report) {
			relayed.push({...report, isRelayed: false});
		},
		get hasUrgentRelays() {
			return relayed.some(({targets}) => targets.some(({bad, stale}) => bad + stale > 0));
		},
	};
}
