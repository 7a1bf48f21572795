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
	 * When the first message of another member arrived, monotonic milliseconds; undefined if none has
	 * since the start of the process.
	 */
	readonly firstContactAt: number | undefined;
	/**
	 * Position of this instance among the known members by address, as a fraction of their number.
	 * Linear in the members.
	 */
	position(): number;
	/**
	 * Whether this instance has the given turn, if all known members take turns in the order of their
	 * addresses. Linear in the members.
	 */
	hasTurn(turn: number): boolean;
	/**
	 * Fraction of the known members, including this instance, from which a message arrived within
	 * `reachableTimeout`; 0 to 1.
	 */
	reachableRatio(now: number): number;
	/** Removes the members from which no message arrived for `retention`. */
	removeSilent(now: number): void;
};

/** Milliseconds without a message after which a member no longer counts as active. */
const activeTimeout = 4000;
/**
 * Milliseconds without a message after which a member no longer counts as reachable in
 * `reachableRatio`. Limits that the fleet shares depend on this ratio: a part of the fleet that is
 * cut off from the others must notice the partition soon. Every member sends a report at least
 * every 2 s, directly or through a relay.
 */
const reachableTimeout = 2600;
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

type Entry = {member: Member; lastContactAt: number};

export function createFleetRoster({self, onJoined, onLeft}: FleetRosterOptions): FleetRoster {
	const entries = new Map<string, Entry>();
	/**
	 * Members that announced their stop. Late messages from them, or mentions by others, must not add
	 * them again.
	 */
	const stopped = new Map<string, Entry>();
	let peakSize = 1;
	let firstContactAt: number | undefined;

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
		const known = entries.get(member.address)?.member;
		entries.set(member.address, {member, lastContactAt: now});
		peakSize = Math.max(peakSize, entries.size + 1);
		if (known?.startedAt !== member.startedAt) {
			onJoined?.(member);
		}
	}

	function removeEntry(address: string, reason: 'stopped' | 'silent'): void {
		const known = entries.get(address);
		if (known !== undefined) {
			entries.delete(address);
			onLeft?.(known.member, reason);
		}
	}

	function isActive(entry: Entry, now: number, timeout = activeTimeout): boolean {
		return now - entry.lastContactAt < timeout;
	}

	function countActive(now: number, timeout = activeTimeout): number {
		let count = 1;
		for (const entry of entries.values()) {
			count += Number(isActive(entry, now, timeout));
		}

		return count;
	}

	/** Number of known members whose address sorts before that of this instance. */
	function rank(): number {
		let before = 0;
		for (const address of entries.keys()) {
			before += Number(address < self.address);
		}

		return before;
	}

	return {
		recordMessageFrom(member, now) {
			const isDelayed = isSuperseded(member, now) || isDelayedAfterStop(member, now);
			if (member.address !== self.address && !isDelayed) {
				firstContactAt ??= now;
				addOrUpdate(member, now);
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
		get firstContactAt() {
			return firstContactAt;
		},
		position: () => rank() / (entries.size + 1),
		hasTurn: turn => turn % (entries.size + 1) === rank(),
		reachableRatio: now => countActive(now, reachableTimeout) / (entries.size + 1),
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
