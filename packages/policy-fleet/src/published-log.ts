/**
 * The newest state of everything that the platform publishes, together with its latest changes.
 * With it an instance can send other instances what is new since the revision that they have.
 */

/** One published item. An undefined value means that it was deleted. */
export type PublishedItem = {
	readonly key: string;
	readonly value: string | undefined;
	/** Revision of its last change; all items share one increasing counter. */
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
	/** Replaces all items. Returns false and changes nothing if a newer state is known. */
	replace(items: readonly PublishedItem[], revision: number): boolean;
	/** Adds changes and returns those that were not known yet. */
	add(items: readonly PublishedItem[], revision: number): PublishedItem[];
	/** What is new after the revision; a snapshot if the changes since then are no longer kept. */
	since(revision: number | undefined): PublishedChanges | undefined;
};

/** Number of changes kept; at the planned size the platform publishes about 4,000 changes a day. */
const mostChanges = 1000;

export function createPublishedLog(): PublishedLog {
	const items = new Map<string, PublishedItem>();
	let changes: PublishedItem[] = [];
	/** Changes at or before this revision are no longer kept. */
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
