/**
 * Who is in the fleet, learned from a few seeds and from every message. There is no list of members
 * to read: a member is known by being heard, or by the word of a member that heard it.
 */
import {type Member} from './fleet-message.js';

export type FleetRosterOptions = {
	readonly self: Member;
	readonly onJoined?: (member: Member) => void;
	readonly onLeft?: (member: Member, reason: 'stopped' | 'silent') => void;
};

export type FleetRoster = {
	/** A message came from the member. */
	recordMessageFrom(member: Member, now: number): void;
	/** Another member named it. */
	recordMentionOf(member: Member, now: number): void;
	/** The member stops. A later process at its address is another member. */
	remove(member: Member, now: number): void;
	/** Members of this failure domain that were heard lately. */
	neighbours(now: number): readonly Member[];
	/** By failure domain, the members elsewhere that were heard lately. */
	otherDomainMembers(now: number): ReadonlyMap<string, readonly Member[]>;
	/** All known members without this instance. */
	members(): readonly Member[];
	/** Members heard lately, this instance included. */
	activeCount(now: number): number;
	/** Known members, this instance included. */
	readonly size: number;
	/** The most that were known at once; those that went silent may go on elsewhere. */
	readonly peakSize: number;
	/** Part of the known fleet that was heard lately, 0 to 1. */
	reachableRatio(now: number): number;
	removeSilent(now: number): void;
};

/** Milliseconds without a message after which a member does not count as heard. */
const silenceLimit = 4000;
/**
 * The same for limits that instances without contact share: a part of the fleet that goes on without
 * the others must notice it soon. Every member is heard each 2 s, over a relay if need be.
 */
const contactSilence = 2600;
/**
 * Milliseconds after which a silent member is forgotten. Until then it may be serving on the other
 * side of a partition.
 */
const retention = 20_000;

type Entry = {member: Member; heardAt: number};

export function createFleetRoster({self, onJoined, onLeft}: FleetRosterOptions): FleetRoster {
	const entries = new Map<string, Entry>();
	/** Members that said that they stop; their last messages, and the word of others, may still come. */
	const stopped = new Map<string, Entry>();
	let largestSize = 1;

	function isOlder(member: Member): boolean {
		const known = entries.get(member.address)?.member;
		return known !== undefined && member.startedAt < known.startedAt;
	}

	function hasStopped({address, startedAt}: Member): boolean {
		const last = stopped.get(address)?.member;
		return last !== undefined && startedAt <= last.startedAt;
	}

	function keep(member: Member, now: number): void {
		const known = entries.get(member.address)?.member;
		entries.set(member.address, {member, heardAt: now});
		largestSize = Math.max(largestSize, entries.size + 1);
		if (known?.startedAt !== member.startedAt) {
			onJoined?.(member);
		}
	}

	function drop(address: string, reason: 'stopped' | 'silent'): void {
		const known = entries.get(address);
		if (known !== undefined) {
			entries.delete(address);
			onLeft?.(known.member, reason);
		}
	}

	function isHeard(entry: Entry, now: number, silence = silenceLimit): boolean {
		return now - entry.heardAt < silence;
	}

	function heardCount(now: number, silence = silenceLimit): number {
		let count = 1;
		for (const entry of entries.values()) {
			count += Number(isHeard(entry, now, silence));
		}

		return count;
	}

	return {
		recordMessageFrom(member, now) {
			if (member.address !== self.address && !isOlder(member) && !hasStopped(member)) {
				keep(member, now);
			}
		},
		recordMentionOf(member, now) {
			const known = entries.get(member.address)?.member;
			const isNew = known === undefined || member.startedAt > known.startedAt;
			if (member.address !== self.address && isNew && !hasStopped(member)) {
				// A new member gets the time of a silent one to be heard.
				keep(member, now);
			}
		},
		remove(member, now) {
			stopped.set(member.address, {member, heardAt: now});
			const known = entries.get(member.address)?.member;
			if (known?.startedAt === member.startedAt) {
				drop(member.address, 'stopped');
			}
		},
		neighbours(now) {
			const near: Member[] = [];
			for (const entry of entries.values()) {
				if (entry.member.failureDomain === self.failureDomain && isHeard(entry, now)) {
					near.push(entry.member);
				}
			}

			return near;
		},
		otherDomainMembers(now) {
			const byDomain = new Map<string, Member[]>();
			for (const entry of entries.values()) {
				const {member} = entry;
				if (member.failureDomain === self.failureDomain || !isHeard(entry, now)) {
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
		activeCount: now => heardCount(now),
		get size() {
			return entries.size + 1;
		},
		get peakSize() {
			return largestSize;
		},
		reachableRatio: now => heardCount(now, contactSilence) / (entries.size + 1),
		removeSilent(now) {
			for (const [address, entry] of entries) {
				if (now - entry.heardAt > retention) {
					drop(address, 'silent');
				}
			}

			for (const [address, {heardAt}] of stopped) {
				if (now - heardAt > retention) {
					stopped.delete(address);
				}
			}
		},
	};
}
