/**
 * The targets that can be used now, from what the platform lists. A target is one start of a server:
 * a restart under the same id or another server at the same address is another target, about which
 * nothing is known.
 */
import {type TargetDefinition} from '@shallotpond/configuration/document-schema';

export type ListedTarget = {
	readonly id: string;
	/** Wall-clock milliseconds of its start; tells apart two starts under the same id. */
	readonly bornAt: number;
	readonly service: string;
	/** `ip:port`. */
	readonly address: string;
	readonly failureDomain: string;
	readonly slots: number;
	readonly state: 'ready' | 'leaving';
	/** Milliseconds for which the target stays cold, counted from the time of the listing. */
	readonly coldFor: number;
};

export type KnownTarget = {
	readonly definition: TargetDefinition;
	/** Id and start; evidence is kept under this name. */
	readonly incarnation: string;
	readonly service: string;
	readonly slots: number;
	/** Monotonic milliseconds. */
	readonly coldUntil: number;
	readonly listedAt: number;
};

export type TargetDirectory = {
	list(target: ListedTarget, now: number): void;
	/** The platform no longer lists the target. */
	unlist(id: string): void;
	/**
	 * Replaces everything that is known. After an outage of the platform entries may have lapsed
	 * although their targets live; those that are missing are kept for `lapseGrace` milliseconds.
	 */
	replace(targets: readonly ListedTarget[], lapseGrace: number, now: number): void;
	/** Another process answered at the address. Holds until the target is listed anew. */
	markMisdirected(id: string): void;
	/** The target may be cold although its entry does not say so yet. */
	markCold(id: string, coldFor: number, now: number): void;
	/** Marks all targets of a failure domain; `coldForOf` gives the milliseconds for a service. */
	markDomainCold(domain: string, coldForOf: (service: string) => number, now: number): void;
	find(id: string): KnownTarget | undefined;
	/** Targets of the service that may get work, without those of a lapsed entry. */
	usable(service: string, now: number): readonly KnownTarget[];
	readonly size: number;
};

type Entry = {
	listed: ListedTarget;
	known: KnownTarget;
	/** Monotonic milliseconds after which a lapsed entry counts as gone. */
	lapsesAt: number;
	isMisdirected: boolean;
	/** Monotonic milliseconds; an entry that lags behind must not end it. */
	markedColdUntil: number;
};

/** The id in the name of an incarnation. */
export function targetIdOf(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf('@'));
}

function incarnationOf(target: ListedTarget): string {
	return `${target.id}@${target.bornAt}`;
}

export function createTargetDirectory(): TargetDirectory {
	const entries = new Map<string, Entry>();
	/** Rebuilt after a change, so that a request does not search all targets. */
	let entriesByService: Map<string, Entry[]> | undefined;

	function list(listed: ListedTarget, now: number): void {
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
			lapsesAt: Number.POSITIVE_INFINITY,
			isMisdirected: isSame && previous.isMisdirected,
		});
		entriesByService = undefined;
	}

	function index(): Map<string, Entry[]> {
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
		list,
		unlist(id) {
			entries.delete(id);
			entriesByService = undefined;
		},
		replace(targets, lapseGrace, now) {
			const listedIds = new Set(targets.map(({id}) => id));
			for (const [id, entry] of entries) {
				if (listedIds.has(id)) {
					continue;
				}

				if (lapseGrace > 0) {
					entry.lapsesAt = Math.min(entry.lapsesAt, now + lapseGrace);
				} else {
					entries.delete(id);
				}
			}

			for (const target of targets) {
				list(target, now);
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
		markDomainCold(domain, coldForOf, now) {
			for (const entry of entries.values()) {
				if (entry.listed.failureDomain === domain) {
					markEntryCold(entry, now + coldForOf(entry.listed.service));
				}
			}
		},
		find: id => entries.get(id)?.known,
		usable(service, now) {
			entriesByService ??= index();
			const usable: KnownTarget[] = [];
			for (const entry of entriesByService.get(service) ?? []) {
				const isUsable = entry.listed.state === 'ready' && !entry.isMisdirected;
				if (isUsable && now < entry.lapsesAt) {
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
