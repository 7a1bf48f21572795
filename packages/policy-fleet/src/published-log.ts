/**
 * The newest state of everything that the platform publishes, together with its latest changes. An
 * instance uses it to send other instances what is new since the position that they have. Of several
 * changes of an item only the last is kept, so that what another instance gets is never more than
 * the whole state, however much it missed.
 */
import {compareEras, comparePositions, type PublishedPosition} from './published-position.js';

/** One published item. An undefined value means that the item was deleted. */
export type PublishedItem = {
	readonly key: string;
	readonly value: string | undefined;
	/** Revision of the item's last change; all items of an era share one increasing counter. */
	readonly revision: number;
};

export type PublishedChanges = {
	readonly kind: 'changes' | 'snapshot';
	readonly items: readonly PublishedItem[];
	readonly revision: number;
	/** Undefined if unknown. */
	readonly era?: number | undefined;
};

export type PublishedLog = {
	/** Revision up to which everything is known; undefined before the first snapshot. */
	readonly revision: number | undefined;
	/** Era of the revision; undefined before the first snapshot or if unknown. */
	readonly era: number | undefined;
	/**
	 * Replaces all items. Readers that are behind then get a snapshot too. Returns false and changes
	 * nothing if a newer state is known.
	 */
	replace(items: readonly PublishedItem[], revision: number, era?: number): boolean;
	/**
	 * Like `replace`, but takes the difference to the items of the same era as changes, so that
	 * readers get only these. Items that are missing count as deleted.
	 */
	merge(items: readonly PublishedItem[], revision: number, era?: number): boolean;
	/**
	 * Adds changes and returns those that were not known yet. Returns undefined and changes nothing
	 * if they are of another era: they follow from a state that this log does not have.
	 */
	add(items: readonly PublishedItem[], revision: number, era?: number): PublishedItem[] | undefined;
	/**
	 * Returns what is new for a reader that has everything up to the revision of the era: the
	 * changes, or a snapshot if the revision is undefined or of an older era, or the changes since
	 * then are no longer kept. A reader of a newer era gets no items. Returns undefined before the
	 * first snapshot.
	 */
	since(revision: number | undefined, era?: number): PublishedChanges | undefined;
};

/** Number of items whose last changes are kept. */
const maxChanges = 1000;

export function createPublishedLog(): PublishedLog {
	const items = new Map<string, PublishedItem>();
	/** By key, in the order in which they were added. */
	const changes = new Map<string, PublishedItem>();
	/** Changes at or before this revision are no longer kept. */
	let trimmedRevision = 0;
	let current: PublishedPosition | undefined;

	function apply(item: PublishedItem): boolean {
		const previous = items.get(item.key);
		if (previous !== undefined && previous.revision >= item.revision) {
			return false;
		}

		items.set(item.key, item);
		changes.delete(item.key);
		changes.set(item.key, item);
		return true;
	}

	function trim(): void {
		for (const {key, value, revision} of changes.values()) {
			if (changes.size <= maxChanges) {
				return;
			}

			changes.delete(key);
			trimmedRevision = Math.max(trimmedRevision, revision);
			// A deleted item is forgotten together with the change that deleted it.
			if (value === undefined) {
				items.delete(key);
			}
		}
	}

	function replace(
		snapshot: readonly PublishedItem[],
		revision: number,
		era: number | undefined,
	): boolean {
		const position = {era, revision};
		if (current !== undefined && comparePositions(position, current) < 0) {
			return false;
		}

		items.clear();
		changes.clear();
		for (const item of snapshot) {
			items.set(item.key, item);
			// Changed while the pages of the snapshot were read.
			if (item.revision > revision) {
				changes.set(item.key, item);
			}
		}

		trimmedRevision = revision;
		current = position;
		return true;
	}

	return {
		get revision() {
			return current?.revision;
		},
		get era() {
			return current?.era;
		},
		replace,
		merge(snapshot, revision, era) {
			if (current === undefined || compareEras(era, current.era) !== 0) {
				return replace(snapshot, revision, era);
			}

			if (revision < current.revision) {
				return false;
			}

			const present = new Set(snapshot.map(({key}) => key));
			for (const {key, value} of items.values()) {
				if (value !== undefined && !present.has(key)) {
					apply({key, value: undefined, revision});
				}
			}

			for (const item of snapshot) {
				apply(item);
			}

			current = {era, revision};
			trim();
			return true;
		},
		add(newItems, revision, era) {
			if (current !== undefined && compareEras(era, current.era) !== 0) {
				return undefined;
			}

			const added = newItems.filter(item => apply(item));
			current = {era, revision: Math.max(current?.revision ?? 0, revision)};
			trim();
			return added;
		},
		since(revision, era) {
			if (current === undefined) {
				return undefined;
			}

			const eraDifference = revision === undefined ? 0 : compareEras(era, current.era);
			if (eraDifference > 0) {
				return {kind: 'changes', items: [], ...current};
			}

			if (revision === undefined || eraDifference < 0 || revision < trimmedRevision) {
				const present = [...items.values()].filter(({value}) => value !== undefined);
				return {kind: 'snapshot', items: present, ...current};
			}

			const newer = [...changes.values()].filter(item => item.revision > revision);
			return {kind: 'changes', items: newer, ...current};
		},
	};
}
