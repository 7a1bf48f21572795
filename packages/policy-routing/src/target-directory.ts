/**
 * The targets that the platform lists, and which of them may get requests now. A target is one
 * start of a server: a restart under the same id, or another server at the same address, is a
 * different target without any history. Each `now` is in milliseconds of the monotonic clock.
 */
import {type TargetDefinition} from '@shallotpond/configuration/document-schema';

export const unknownStartTime = 0;

export type ListedTarget = {
	readonly id: string;
	/**
	 * Start time in wall-clock milliseconds; distinguishes two starts under the same id.
	 * `unknownStartTime` if the target does not say it.
	 */
	readonly startTime: number;
	readonly service: string;
	/** `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	/** Requests that the target serves at the same time; further ones wait there. */
	readonly slots: number;
	readonly state: 'ready' | 'leaving';
	/**
	 * Milliseconds from the time of the listing for which the target stays cold: it can serve only
	 * few requests, as after a start.
	 */
	readonly coldFor: number;
};

export type KnownTarget = {
	readonly definition: TargetDefinition;
	/** Id and start time: the name of one start of the target, under which evidence is stored. */
	readonly incarnation: string;
	readonly service: string;
	readonly slots: number;
	/** Monotonic milliseconds until which the target can serve only few requests. */
	readonly coldUntil: number;
	/** Monotonic milliseconds at which this start of the target was first listed at its address. */
	readonly listedAt: number;
};

export type TargetDirectory = {
	/** Adds a target, or updates its entry. */
	addOrUpdate(target: ListedTarget, now: number): void;
	/** Removes a target that the platform no longer lists. */
	remove(id: string): void;
	/**
	 * Replaces the whole list. After an outage of the platform, entries may have expired although
	 * their targets are alive, so targets that are missing from the new list are kept for
	 * `gracePeriod` milliseconds; 0 removes them at once.
	 */
	replace(targets: readonly ListedTarget[], gracePeriod: number, now: number): void;
	/**
	 * Marks a target at whose address another process responded. The target stays unusable until it
	 * is listed with another start time or address.
	 */
	markMisdirected(id: string): void;
	/**
	 * Marks a target as cold for the next `coldFor` milliseconds, for a reason that its entry at the
	 * platform does not show yet, such as a restart.
	 */
	markCold(id: string, coldFor: number, now: number): void;
	/**
	 * Marks all targets of a failure domain as cold; `coldTimeOf` returns for how many milliseconds
	 * the targets of a service stay cold.
	 */
	markDomainCold(domain: string, coldTimeOf: (service: string) => number, now: number): void;
	find(id: string): KnownTarget | undefined;
	/**
	 * Targets of the service that may get requests: those that are ready, not misdirected and not
	 * expired.
	 */
	usable(service: string, now: number): readonly KnownTarget[];
	/** Number of targets in the directory, including those that may not get requests. */
	readonly size: number;
};

type Entry = {
	listed: ListedTarget;
	known: KnownTarget;
	/**
	 * Monotonic milliseconds at which an entry that is no longer listed expires; infinite while
	 * listed.
	 */
	expiresAt: number;
	isMisdirected: boolean;
	/**
	 * Monotonic milliseconds until which the target was marked as cold, 0 if it was not. A later
	 * listing that is still outdated must not shorten this time.
	 */
	markedColdUntil: number;
};

/** The id of the target in the name of an incarnation. */
export function targetIdOf(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf('@'));
}

function incarnationOf(target: ListedTarget): string {
	return `${target.id}@${target.startTime}`;
}

export function createTargetDirectory(): TargetDirectory {
	const entries = new Map<string, Entry>();
	/**
	 * Index of `entries`, so that a request does not scan all targets; undefined from a change until
	 * the next use.
	 */
	let entriesByService: Map<string, Entry[]> | undefined;

	function addOrUpdateEntry(listed: ListedTarget, now: number): void {
		const previous = entries.get(listed.id);
		const incarnation = incarnationOf(listed);
		const isSame =
			previous?.known.incarnation === incarnation && previous.listed.address === listed.address;
		const markedColdUntil = isSame ? previous.markedColdUntil : 0;
		entries.set(listed.id, {
			listed,
			markedColdUntil,
			known: {
				definition: {
					id: listed.id,
					address: listed.address,
					failureDomain: listed.failureDomain,
				},
				incarnation,
				service: listed.service,
				slots: listed.slots,
				coldUntil: Math.max(now + listed.coldFor, markedColdUntil),
				listedAt: isSame ? previous.known.listedAt : now,
			},
			expiresAt: Number.POSITIVE_INFINITY,
			isMisdirected: isSame && previous.isMisdirected,
		});
		entriesByService = undefined;
	}

	function indexByService(): Map<string, Entry[]> {
		const byService = new Map<string, Entry[]>();
		for (const entry of entries.values()) {
			const {service} = entry.listed;
			const group = byService.get(service);
			if (group === undefined) {
				byService.set(service, [entry]);
			} else {
				group.push(entry);
			}
		}

		return byService;
	}

	function markEntryCold(entry: Entry, until: number): void {
		entry.markedColdUntil = Math.max(entry.markedColdUntil, until);
		entry.known = {
			...entry.known,
			coldUntil: Math.max(entry.known.coldUntil, entry.markedColdUntil),
		};
	}

	return {
		addOrUpdate: addOrUpdateEntry,
		remove(id) {
			entries.delete(id);
			entriesByService = undefined;
		},
		replace(targets, gracePeriod, now) {
			const listedIds = new Set(targets.map(({id}) => id));
			for (const [id, entry] of entries) {
				if (listedIds.has(id)) {
					continue;
				}

				if (gracePeriod > 0) {
					entry.expiresAt = Math.min(entry.expiresAt, now + gracePeriod);
				} else {
					entries.delete(id);
				}
			}

			for (const target of targets) {
				addOrUpdateEntry(target, now);
			}

			entriesByService = undefined;
		},
		markMisdirected(id) {
			const entry = entries.get(id);
			if (entry !== undefined) {
				entry.isMisdirected = true;
			}
		},
		markCold(id, coldFor, now) {
			const entry = entries.get(id);
			if (entry !== undefined) {
				markEntryCold(entry, now + coldFor);
			}
		},
		markDomainCold(domain, coldTimeOf, now) {
			for (const entry of entries.values()) {
				if (entry.listed.failureDomain === domain) {
					markEntryCold(entry, now + coldTimeOf(entry.listed.service));
				}
			}
		},
		find: id => entries.get(id)?.known,
		usable(service, now) {
			entriesByService ??= indexByService();
			const usable: KnownTarget[] = [];
			for (const entry of entriesByService.get(service) ?? []) {
				const isUsable = entry.listed.state === 'ready' && !entry.isMisdirected;
				if (isUsable && now < entry.expiresAt) {
					usable.push(entry.known);
				}
			}

			return usable;
		},
		get size() {
			return entries.size;
		},
	};
}
