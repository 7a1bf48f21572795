/**
 * The newest state of everything that the platform publishes, together with its latest changes. An
 * instance uses it to send other instances what is new since the revision that they have.
 */

/** One published item. An undefined value means that the item was deleted. */
export type PublishedItem = {
	readonly key: string;
	readonly value: string | undefined;
	/** Revision of the item's last change; all items share one increasing counter. */
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
	/**
	 * Returns what is new after the revision: the changes, or a snapshot if the revision is undefined
	 * or the changes since then are no longer kept. Returns undefined before the first snapshot.
	 */
	since(revision: number | undefined): PublishedChanges | undefined;
};

/** Number of changes kept; at the planned size the platform publishes about 4,000 changes a day. */
const maxChanges = 1000;

export function createPublishedLog(): PublishedLog {
	const items = new Map<string, PublishedItem>();
	let changes: PublishedItem[] = [];
	/** Changes at or before this revision are no longer kept. */
	let trimmedRevision = 0;
	let currentRevision: number | undefined;

	function apply(item: PublishedItem): boolean {
		const previous = items.get(item.key);
		if (previous !== undefined && previous.revision >= item.revision) {
			return false;
		}

		items.set(item.key, item);
		changes.push(item);
		return true;
	}

	function trim(): void {
		if (changes.length > maxChanges) {
			const dropped = changes.splice(0, changes.length - maxChanges);
			trimmedRevision = Math.max(trimmedRevision, ...dropped.map(({revision}) => revision));
			for (const item of dropped) {
				// A deleted item is forgotten together with the change that deleted it.
				if (item.value === undefined && items.get(item.key) === item) {
					items.delete(item.key);
				}
			}
		}
	}

	return {
		get revision() {
			return currentRevision;
		},
		replace(snapshot, revision) {
			if (currentRevision !== undefined && revision < currentRevision) {
				return false;
			}

			items.clear();
			for (const item of snapshot) {
				items.set(item.key, item);
			}

			changes = [];
			trimmedRevision = revision;
			currentRevision = revision;
			return true;
		},
		add(newItems, revision) {
			const added = newItems.filter(item => apply(item));
			currentRevision = Math.max(currentRevision ?? 0, revision);
			trim();
			return added;
		},
		since(revision) {
			if (currentRevision === undefined) {
				return undefined;
			}

			if (revision === undefined || revision < trimmedRevision) {
				const present = [...items.values()].filter(({value}) => value !== undefined);
				return {kind: 'snapshot', items: present, revision: currentRevision};
			}

			const newer = changes.filter(item => item.revision > revision);
			return {kind: 'changes', items: newer, revision: currentRevision};
		},
	};
}
