/**
 * Decides from which source an instance reads what the platform publishes. Calls to the platform's
 * store are expensive and limited, so two instances of each failure domain (its readers) read the
 * store and the others read from one of the two. An instance whose reader fails switches to another
 * one. An instance whose own state is out of date reads the store. While calls to the store fail, a
 * member that is up to date is read in its place. Each `now` is in milliseconds of the monotonic
 * clock.
 */
import {type Random} from '@shallotpond/kernel/random';
import {hashText} from '@shallotpond/policy-membership/rendezvous';
import {type FleetRoster} from './fleet-roster.js';

/** The store, or another instance by its IP address. */
export type SyncSource =
	{readonly kind: 'store'} | {readonly kind: 'member'; readonly address: string};

export type SyncSourceSelector = {
	choose(now: number): SyncSource;
	/**
	 * Records that the source did not respond or that its response was out of date. The source is
	 * then avoided for a while; the store only if a member that is up to date can replace it.
	 */
	recordFailure(source: SyncSource, now: number): void;
	/** Records how many milliseconds ago a member was confirmed to be up to date. */
	recordConfirmation(address: string, confirmedAgo: number | undefined, now: number): void;
};

export type SyncSourceSelectorOptions = {
	/** IP address of this instance. */
	readonly self: string;
	readonly roster: FleetRoster;
	readonly random: Random;
	/** Milliseconds since this instance was confirmed to be up to date. */
	readonly confirmedAgo: () => number;
	/**
	 * Whether a new instance reads from a member first: after a start of many instances at once, a few
	 * reads of the store then serve them all, but each is ready later.
	 */
	readonly startsFromMembers: boolean;
};

/**
 * Readers of the store in the whole fleet. Several, because a reader may be frozen or cut off: its
 * followers then learn of changes from other members, and of a new reader after a failed read.
 */
const minReaders = 6;
const maxReadersPerDomain = 2;
/** Milliseconds for which a member is avoided after a failure. */
const memberAvoidancePeriod = 2500;
/**
 * Milliseconds for which the store is avoided after a failure: about one question to a member. The
 * members that are read meanwhile follow the readers, which may all avoid the store; a call that an
 * outage swallows fails 1.5 s after the store has returned, and the fleet must follow it again
 * within 3 s.
 */
const storeAvoidancePeriod = 600;
/**
 * Milliseconds. An instance that was last confirmed to be up to date longer ago than this reads
 * from the store itself instead of from its usual source.
 */
const staleAfter = 2200;
/**
 * Milliseconds. A member can replace the store as a source if it was confirmed to be up to date at
 * most this long ago.
 */
const maxSourceAge = 2000;

export function createSyncSourceSelector(options: SyncSourceSelectorOptions): SyncSourceSelector {
	const {self, roster, random} = options;
	const avoidedUntil = new Map<string, number>();
	const confirmedAt = new Map<string, number>();
	let storeAvoidedUntil = 0;
	let currentReader: string | undefined;
	/** Whether any read has failed since the start of this instance. */
	let hasFailed = false;

	function isAvoided(address: string, now: number): boolean {
		return now < (avoidedUntil.get(address) ?? 0);
	}

	function isFresh(address: string, now: number): boolean {
		return now - (confirmedAt.get(address) ?? Number.NEGATIVE_INFINITY) < maxSourceAge;
	}

	/**
	 * The readers of this failure domain, chosen from this instance and the active members of the
	 * domain, except those that recently failed as a source. The order by hash is the same at every
	 * instance, so instances that know the same members choose the same readers.
	 */
	function chooseReaders(now: number): string[] {
		const addresses = [self];
		for (const {address} of roster.sameDomainMembers(now)) {
			if (!isAvoided(address, now)) {
				addresses.push(address);
			}
		}

		addresses.sort((first, second) => hashText(first) - hashText(second));
		const domains = 1 + roster.otherDomainMembers(now).size;
		return addresses.slice(0, Math.min(maxReadersPerDomain, Math.ceil(minReaders / domains)));
	}

	function chooseFreshMember(now: number): SyncSource | undefined {
		const sameDomainAddresses = roster.sameDomainMembers(now).map(({address}) => address);
		const allAddresses = roster.members().map(({address}) => address);
		for (const group of [sameDomainAddresses, allAddresses]) {
			const fresh = group.filter(address => isFresh(address, now) && !isAvoided(address, now));
			if (fresh.length > 0) {
				return {kind: 'member', address: fresh[Math.floor(random() * fresh.length)]!};
			}
		}

		return undefined;
	}

	return {
		choose(now) {
			const isStoreAvoided = now < storeAvoidedUntil;
			const readers = chooseReaders(now);
			const isNew =
				options.startsFromMembers &&
				!hasFailed &&
				options.confirmedAgo() === Number.POSITIVE_INFINITY;
			const isStale = !isNew && options.confirmedAgo() > staleAfter;
			if (readers.includes(self) || isStale) {
				const fallback = isStoreAvoided ? chooseFreshMember(now) : undefined;
				return fallback ?? {kind: 'store'};
			}

			// Keeps the same reader while it works, because a change of source may require a full
			// snapshot.
			if (currentReader === undefined || !readers.includes(currentReader)) {
				currentReader = readers[Math.floor(random() * readers.length)]!;
			}

			return {kind: 'member', address: currentReader};
		},
		recordFailure(source, now) {
			hasFailed = true;
			if (source.kind === 'store') {
				storeAvoidedUntil = now + storeAvoidancePeriod;
			} else {
				avoidedUntil.set(source.address, now + memberAvoidancePeriod);
				currentReader = undefined;
			}
		},
		recordConfirmation(address, confirmedAgo, now) {
			if (confirmedAgo !== undefined) {
				confirmedAt.set(address, now - confirmedAgo);
			}
		},
	};
}
