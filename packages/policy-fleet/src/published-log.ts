/**
 * The newest state of everything that the platform publishes, and its latest changes, so that an
 * instance can tell others what is new since a revision that they have.
 */

/** One published item. Without a value it was deleted. */
export type PublishedItem = {
	readonly key: string;
	readonly value: string | undefined;
	/** Revision of its last change; grows over all items together. */
	readonly revision: number;
};

export type PublishedChanges =
	| {
			readonly kind: 'changes';
			readonly items: readonly PublishedItem[];
			readonly revision: number;
	  }
	| {
			readonly kind: 'snapshot';
			readonly items: readonly PublishedItem[];
			readonly revision: number;
	  };

export type PublishedLog = {
	/** Revision up to which everything is known; undefined before the first snapshot. */
	readonly revision: number | undefined;
	/** Replaces everything; false where a newer state is known. */
	replace(items: readonly PublishedItem[], revision: number): boolean;
	/** Adds changes; returns those that were not known. */
	add(items: readonly PublishedItem[], revision: number): PublishedItem[];
	/** What is new after the revision; a snapshot where the changes since are not kept. */
	since(revision: number | undefined): PublishedChanges | undefined;
};

/** Changes kept; a platform of the planned size changes about 4,000 times a day. */
const mostChanges = 1000;

export function createPublishedLog(): PublishedLog {
	const items = new Map<string, PublishedItem>();
	let changes: PublishedItem[] = [];
	/** Changes at or before this revision are not kept. */
	let floor = 0;
	let known: number | undefined;

	function take(item: PublishedItem): boolean {
		const before = items.get(item.key);
		if (before !== undefined && before.revision >= item.revision) {
			return false;
		}

		items.set(item.key, item);
		changes.push(item);
		return true;
	}

	function trim(): void {
		if (changes.length > mostChanges) {
			const dropped = changes.splice(0, changes.length - mostChanges);
			floor = Math.max(floor, ...dropped.map(({revision}) => revision));
			for (const item of dropped) {
				if (item.value === undefined && items.get(item.key) === item) {
					items.delete(item.key);
				}
			}
		}
	}

	return {
		get revision() {
			return known;
		},
		replace(snapshot, revision) {
			if (known !== undefined && revision < known) {
				return false;
			}

			items.clear();
			for (const item of snapshot) {
				items.set(item.key, item);
			}

			changes = [];
			floor = revision;
			known = revision;
			return true;
		},
		add(newItems, revision) {
			const added = newItems.filter(item => take(item));
			known = Math.max(known ?? 0, revision);
			trim();
			return added;
		},
		since(revision) {
			if (known === undefined) {
				return undefined;
			}

			if (revision === undefined || revision < floor) {
				const present = [...items.values()].filter(({value}) => value !== undefined);
				return {kind: 'snapshot', items: present, revision: known};
			}

			const newer = changes.filter(item => item.revision > revision);
			return {kind: 'changes', items: newer, revision: known};
		},
	};
}
