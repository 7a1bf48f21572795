/**
 * The members of the fleet that this instance knows. No complete list of members is available: a
 * member becomes known through a message of its own or because another member names it, starting
 * from a few seeds. A member is active while its last message is recent. Each `now` is in
 * milliseconds of the monotonic clock.
 */
import {type Member} from './fleet-message.js';

export type FleetRosterOptions = {
	readonly self: Member;
	readonly onJoined?: (member: Member) => void;
	readonly onLeft?: (member: Member, reason: 'stopped' | 'silent') => void;
};

export type FleetRoster = {
	/** Records that a message from the member was received. */
	recordMessageFrom(member: Member, now: number): void;
	/** Records in addition that the message was a report, which tells how often the member reports. */
	recordReportFrom(member: Member, now: number): void;
	/**
	 * Records that another member named `member` in a roster answer. Has no effect if this process at
	 * its address, or a later one, is known already or has announced its stop.
	 */
	recordMentionOf(member: Member, now: number): void;
	/** Removes a member that stops. A later process at its address counts as a new member. */
	remove(member: Member, now: number): void;
	/** Active members of this failure domain, without this instance. */
	sameDomainMembers(now: number): readonly Member[];
	/** Active members outside this failure domain, grouped by failure domain. */
	otherDomainMembers(now: number): ReadonlyMap<string, readonly Member[]>;
	/** All known members, without this instance. */
	members(): readonly Member[];
	/** Number of active members, including this instance. */
	activeCount(now: number): number;
	/** Number of known members, including this instance. */
	readonly size: number;
	/**
	 * Largest number of members known at once, including this instance. Members that went silent and
	 * were removed may still be serving on the other side of a network partition.
	 */
	readonly peakSize: number;
	/**
	 * Position of this instance among the known members by address, as a fraction of their number.
	 * Linear in the members.
	 */
	position(): number;
	/**
	 * Fraction of the known members, including this instance, that are reachable; 0 to 1. Determined
	 * anew at most once in `reachabilityInterval`, so that a request does not loop over all members.
	 */
	reachableRatio(now: number): number;
	/** Number of reachable members, including this instance; as old as `reachableRatio`. */
	reachableCount(now: number): number;
	/**
	 * False if the known member at the address, or its whole failure domain, has been silent for
	 * longer than the intervals of its reports let expect. As old as `reachableRatio`.
	 */
	isReachable(address: string, now: number): boolean;
	/** Removes the members from which no message arrived for `retention`. */
	removeSilent(now: number): void;
};

/** Milliseconds without a message after which a member no longer counts as active. */
const activeTimeout = 4000;
/**
 * Milliseconds without a message after which a member no longer counts as reachable, however rarely
 * it reports. Limits that the fleet shares depend on the reachable part of the fleet: a part that is
 * cut off from the others must notice the partition soon. Every member sends a report at least
 * every 2 s, directly or through a relay.
 */
const maxReachableTimeout = 2600;
/**
 * A member that reports more often counts as unreachable after this number of its mean intervals,
 * and after `minReachableTimeout` milliseconds at the earliest, because a process that is killed is
 * back within little more than a second.
 */
const reachableIntervals = 2.5;
const minReachableTimeout = 1250;
/**
 * All members of a failure domain, if it has at least `minDomainMembers`, count as unreachable when
 * none of them is heard for this number of their mean intervals. That is noticed sooner than the
 * silence of one member, and a failure domain is what partitions usually cut off. More than one
 * interval is needed because members that started together report at the same moments.
 */
const domainIntervals = 1.5;
const minDomainMembers = 3;
/** Milliseconds; reports to other failure domains are up to 300 ms late at their relays. */
const minDomainTimeout = 700;
/**
 * Milliseconds between two reports of a member as they are at least assumed. Failures make a member
 * report more often for a short time, after which its usual interval is no silence.
 */
const minReportInterval = 400;
/** Assumed mean milliseconds between two reports of a new member, as if it had no requests. */
const initialReportInterval = 2000;
/** Weight of the latest interval in the mean. */
const intervalWeight = 0.2;
/** Milliseconds for which the reachable members are not determined anew. */
const reachabilityInterval = 50;
/**
 * Milliseconds after which a silent member is removed. Until then `size` and `reachableRatio` still
 * count it as part of the fleet, because it may be serving on the other side of a network
 * partition. A member that announced its stop is removed at once, and its stop is forgotten after
 * this time.
 */
const retention = 20_000;

/**
 * Milliseconds by which a message can be delayed. A message from a process that seems to have
 * started before the known one, but arrives later than this, comes from its successor: the wall
 * clock of the machine stepped back between the two starts.
 */
const maxMessageDelay = 1500;

type Contact = {readonly member: Member; readonly lastContactAt: number};

type Entry = Contact & {
	/** Time of the last report; undefined before the first one. */
	readonly lastReportAt: number | undefined;
	/** Mean milliseconds between two reports of the member. */
	readonly reportInterval: number;
};

/** What is known of the members of one failure domain that were heard lately. */
type DomainContact = {lastContactAt: number; members: number; reportIntervals: number};

function reachableTimeoutOf({reportInterval}: Entry): number {
	const timeout = reportInterval * reachableIntervals;
	return Math.min(maxReachableTimeout, Math.max(minReachableTimeout, timeout));
}

function isDomainSilent(domain: DomainContact, now: number): boolean {
	const meanInterval = domain.reportIntervals / domain.members;
	const timeout = Math.max(minDomainTimeout, meanInterval * domainIntervals);
	return domain.members >= minDomainMembers && now - domain.lastContactAt > timeout;
}

export function createFleetRoster({self, onJoined, onLeft}: FleetRosterOptions): FleetRoster {
	const entries = new Map<string, Entry>();
	/**
	 * Members that announced their stop. Late messages from them, or mentions by others, must not add
	 * them again.
	 */
	const stopped = new Map<string, Contact>();
	let peakSize = 1;
	let unreachable: ReadonlySet<string> = new Set();
	let reachabilityCheckedAt = Number.NEGATIVE_INFINITY;

	/** Whether a message of the member was delayed: a later process at its address is known. */
	function isSuperseded(member: Member, now: number): boolean {
		const known = entries.get(member.address);
		return (
			known !== undefined &&
			member.startedAt < known.member.startedAt &&
			now - known.lastContactAt < maxMessageDelay
		);
	}

	function hasStopped({address, startedAt}: Member): boolean {
		const last = stopped.get(address)?.member;
		return last !== undefined && startedAt <= last.startedAt;
	}

	/** Whether a message of the member was delayed: it, or a later process, has announced its stop. */
	function isDelayedAfterStop({address, startedAt}: Member, now: number): boolean {
		const last = stopped.get(address);
		return (
			last !== undefined &&
			(startedAt === last.member.startedAt ||
				(startedAt < last.member.startedAt && now - last.lastContactAt < maxMessageDelay))
		);
	}

	function addOrUpdate(member: Member, now: number): void {
		const known = entries.get(member.address);
		entries.set(member.address, {
			member,
			lastContactAt: now,
			lastReportAt: known?.lastReportAt,
			reportInterval: known?.reportInterval ?? initialReportInterval,
		});
		peakSize = Math.max(peakSize, entries.size + 1);
		if (known?.member.startedAt !== member.startedAt) {
			onJoined?.(member);
		}
	}

	function nextReportInterval({lastReportAt, reportInterval}: Entry, now: number): number {
		if (lastReportAt === undefined) {
			return reportInterval;
		}

		const gap = Math.min(maxReachableTimeout, now - lastReportAt);
		const latest = Math.max(minReportInterval, gap);
		return reportInterval + (latest - reportInterval) * intervalWeight;
	}

	function removeEntry(address: string, reason: 'stopped' | 'silent'): void {
		const known = entries.get(address);
		if (known !== undefined) {
			entries.delete(address);
			onLeft?.(known.member, reason);
		}
	}

	function isActive(entry: Entry, now: number): boolean {
		return now - entry.lastContactAt < activeTimeout;
	}

	function countActive(now: number): number {
		let count = 1;
		for (const entry of entries.values()) {
			count += Number(isActive(entry, now));
		}

		return count;
	}

	function domainContacts(now: number): Map<string, DomainContact> {
		const contacts = new Map<string, DomainContact>();
		for (const {member, lastContactAt, reportInterval} of entries.values()) {
			if (now - lastContactAt >= maxReachableTimeout) {
				// Members that went silent earlier do not say how often the domain reports.
				continue;
			}

			const known = contacts.get(member.failureDomain);
			contacts.set(member.failureDomain, {
				lastContactAt: Math.max(lastContactAt, known?.lastContactAt ?? lastContactAt),
				members: (known?.members ?? 0) + 1,
				reportIntervals: (known?.reportIntervals ?? 0) + reportInterval,
			});
		}

		return contacts;
	}

	function findUnreachable(now: number): Set<string> {
		const domains = domainContacts(now);
		const silent = new Set<string>();
		for (const [address, entry] of entries) {
			const domain = domains.get(entry.member.failureDomain);
			const isSilent = now - entry.lastContactAt >= reachableTimeoutOf(entry);
			if (isSilent || domain === undefined || isDomainSilent(domain, now)) {
				silent.add(address);
			}
		}

		return silent;
	}

	/** Addresses of the members that are not reachable; loops over all members when it is due. */
	function unreachableMembers(now: number): ReadonlySet<string> {
		if (now - reachabilityCheckedAt >= reachabilityInterval) {
			reachabilityCheckedAt = now;
			unreachable = findUnreachable(now);
		}

		return unreachable;
	}

	function reachableCount(now: number): number {
		// A member may have been removed since the last look.
		return Math.max(1, entries.size + 1 - unreachableMembers(now).size);
	}

	return {
		recordMessageFrom(member, now) {
			const isDelayed = isSuperseded(member, now) || isDelayedAfterStop(member, now);
			if (member.address !== self.address && !isDelayed) {
				addOrUpdate(member, now);
			}
		},
		recordReportFrom({address}, now) {
			const known = entries.get(address);
			if (known !== undefined) {
				const reportInterval = nextReportInterval(known, now);
				entries.set(address, {...known, lastReportAt: now, reportInterval});
			}
		},
		recordMentionOf(member, now) {
			const known = entries.get(member.address)?.member;
			const isNew = known === undefined || member.startedAt > known.startedAt;
			if (member.address !== self.address && isNew && !hasStopped(member)) {
				// The mention counts as contact, so that the new member has time to send its first message.
				addOrUpdate(member, now);
			}
		},
		remove(member, now) {
			stopped.set(member.address, {member, lastContactAt: now});
			const known = entries.get(member.address)?.member;
			if (known?.startedAt === member.startedAt) {
				removeEntry(member.address, 'stopped');
			}
		},
		sameDomainMembers(now) {
			const near: Member[] = [];
			for (const entry of entries.values()) {
				if (entry.member.failureDomain === self.failureDomain && isActive(entry, now)) {
					near.push(entry.member);
				}
			}

			return near;
		},
		otherDomainMembers(now) {
			const byDomain = new Map<string, Member[]>();
			for (const entry of entries.values()) {
				const {member} = entry;
				if (member.failureDomain === self.failureDomain || !isActive(entry, now)) {
					continue;
				}

				const group = byDomain.get(member.failureDomain);
				if (group === undefined) {
					byDomain.set(member.failureDomain, [member]);
				} else {
					group.push(member);
				}
			}

			return byDomain;
		},
		members: () => [...entries.values()].map(({member}) => member),
		activeCount: now => countActive(now),
		get size() {
			return entries.size + 1;
		},
		get peakSize() {
			return peakSize;
		},
		position() {
			let before = 0;
			for (const address of entries.keys()) {
				before += Number(address < self.address);
			}

			return before / (entries.size + 1);
		},
		reachableRatio: now => Math.min(1, reachableCount(now) / (entries.size + 1)),
		reachableCount,
		isReachable: (address, now) => !unreachableMembers(now).has(address),
		removeSilent(now) {
			for (const [address, entry] of entries) {
				if (now - entry.lastContactAt > retention) {
					removeEntry(address, 'silent');
				}
			}

			for (const [address, {lastContactAt}] of stopped) {
				if (now - lastContactAt > retention) {
					stopped.delete(address);
				}
			}
		},
	};
}
