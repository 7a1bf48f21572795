/**
 * Bounded table of the fingerprints that broke connections, on one instance. The guard and the
 * registry of the instance share it, so that an instance that becomes the owner of a fingerprint
 * already has the records that the earlier owner announced. A fingerprint with fewer than
 * `maxCrashedTargets` targets is suspected; otherwise it is blocked, that is refused.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type CrashRecord} from './crash-messages.js';

export type CrashEntry = {
	readonly fingerprint: string;
	readonly targets: readonly string[];
	readonly trial?: {readonly holder: InstanceId; readonly id: number; readonly until: number};
	/** Monotonic milliseconds at which the entry expires. */
	readonly until: number;
	readonly revision: number;
};

export type CrashTable = {
	/** Undefined when the fingerprint is neither suspected nor blocked. */
	lookUp(fingerprint: string, now: number): CrashEntry | undefined;
	/**
	 * Replaces the entry of the fingerprint, or only removes it if the new entry has already expired.
	 * Suspected and blocked fingerprints are bounded separately; beyond either bound, the entry of
	 * that kind that was stored first is dropped.
	 */
	store(entry: CrashEntry, now: number): void;
	/**
	 * Stores a record that an owner announced, unless this would lose newer information: a blocked
	 * fingerprint keeps its entry until it expires, and a record of a suspicion must have a higher
	 * revision than the entry. A record that blocks the fingerprint replaces a suspicion whatever its
	 * revision.
	 */
	adopt(record: CrashRecord, now: number): void;
	remove(fingerprint: string): void;
	/** All records that have not expired. Linear in their number. */
	records(now: number): CrashRecord[];
	/** Number of entries, including expired ones that have not been looked up since. */
	readonly size: number;
};

/**
 * Number of targets to which a fingerprint must have broken the connection to be blocked, that is
 * refused.
 */
export const maxCrashedTargets = 2;

export function isBlocked({targets}: Pick<CrashEntry, 'targets'>): boolean {
	return targets.length >= maxCrashedTargets;
}

/** Keeps at most `maxRecords` suspected and as many blocked fingerprints. */
export function createCrashTable(maxRecords: number): CrashTable {
	/** In order of storing, as is `blocked`. */
	const suspects = new Map<string, CrashEntry>();
	const blocked = new Map<string, CrashEntry>();

	function remove(fingerprint: string): void {
		suspects.delete(fingerprint);
		blocked.delete(fingerprint);
	}

	function lookUp(fingerprint: string, now: number): CrashEntry | undefined {
		const entry = blocked.get(fingerprint) ?? suspects.get(fingerprint);
		if (entry !== undefined && entry.until <= now) {
			remove(fingerprint);
			return undefined;
		}

		return entry;
	}

	function store(entry: CrashEntry, now: number): void {
		remove(entry.fingerprint);
		if (entry.until <= now) {
			return;
		}

		const entries = isBlocked(entry) ? blocked : suspects;
		entries.set(entry.fingerprint, entry);
		if (entries.size > maxRecords) {
			entries.delete(entries.keys().next().value!);
		}
	}

	return {
		lookUp,
		store,
		remove,
		adopt({fingerprint, targets, trial, remaining, revision}, now) {
			const known = lookUp(fingerprint, now);
			const isNewer = known === undefined || known.revision < revision;
			// A blocked fingerprint stays blocked until its entry expires. A record that blocks it
			// replaces a suspicion even if its revision is not newer, because earlier notices may have
			// been lost.
			if (known !== undefined && (isBlocked(known) || (!isNewer && !isBlocked({targets})))) {
				return;
			}

			store(
				{
					fingerprint,
					targets,
					trial: trial && {holder: trial.holder, id: trial.id, until: now + trial.remaining},
					until: now + remaining,
					revision,
				},
				now,
			);
		},
		records(now) {
			return [...blocked.values(), ...suspects.values()]
				.filter(({until}) => until > now)
				.map(entry => toCrashRecord(entry, now));
		},
		get size() {
			return suspects.size + blocked.size;
		},
	};
}

/**
 * Converts an entry to the record that notices carry. The record has remaining durations in place
 * of the times, because the clock of the receiver has another origin.
 */
export function toCrashRecord(
	{fingerprint, targets, trial, until, revision}: CrashEntry,
	now: number,
): CrashRecord {
	return {
		fingerprint,
		targets,
		trial: trial && {holder: trial.holder, id: trial.id, remaining: trial.until - now},
		remaining: until - now,
		revision,
	};
}
