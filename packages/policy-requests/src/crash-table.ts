/**
 * Bounded memory of crashing fingerprints on one instance, shared by its owner and entry sides, so
 * that a new owner knows what the earlier one announced.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type CrashRecord} from './crash-messages.js';

export type CrashEntry = {
	readonly fingerprint: string;
	readonly targets: readonly string[];
	readonly trial?: {readonly holder: InstanceId; readonly id: number; readonly until: number};
	/** Monotonic milliseconds. */
	readonly until: number;
	readonly revision: number;
};

export type CrashTable = {
	/** Undefined when the fingerprint is under no suspicion. */
	lookUp(fingerprint: string, now: number): CrashEntry | undefined;
	/** Stores an entry. When full, suspects go before blocked fingerprints, oldest first. */
	store(entry: CrashEntry, now: number): void;
	/** Takes over what an owner announced, unless a newer revision is known. */
	adopt(record: CrashRecord, now: number): void;
	remove(fingerprint: string): void;
	/** All records that are in force. Linear in their number. */
	records(now: number): CrashRecord[];
	readonly size: number;
};

/** Targets on which a fingerprint may crash before it is refused. */
export const maxCrashedTargets = 2;

export function isBlocked({targets}: Pick<CrashEntry, 'targets'>): boolean {
	return targets.length >= maxCrashedTargets;
}

/** Two maps of at most `mostRecords` each, in order of storing. */
export function createCrashTable(mostRecords: number): CrashTable {
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

		const map = isBlocked(entry) ? blocked : suspects;
		map.set(entry.fingerprint, entry);
		if (map.size > mostRecords) {
			map.delete(map.keys().next().value!);
		}
	}

	return {
		lookUp,
		store,
		remove,
		adopt({fingerprint, targets, trial, remaining, revision}, now) {
			const known = lookUp(fingerprint, now);
			const isNewer = known === undefined || known.revision < revision;
			// A block is never weakened, and always adopted, whatever notices were lost before.
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
				.map(entry => recordOf(entry, now));
		},
		get size() {
			return suspects.size + blocked.size;
		},
	};
}

/** The entry with durations in place of times, for another clock. */
export function recordOf(
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
