/**
 * A binary min-heap whose items store their position, so that the key of an item can change and an
 * item can be removed in O(log n).
 */

export type HeapItem = {
	key: number;
	/** Position in the heap, or -1 for an item that is not in it. Written by the heap only. */
	position: number;
};

export type BinaryHeap<Item extends HeapItem> = {
	readonly size: number;
	peek(): Item | undefined;
	push(item: Item): void;
	/** Restores the order after the key of `item`, which must be in the heap, has changed. */
	update(item: Item): void;
	/** Does nothing when the item is not in the heap. */
	remove(item: Item): void;
};

export function createBinaryHeap<Item extends HeapItem>(): BinaryHeap<Item> {
	const items: Item[] = [];

	function place(item: Item, position: number): void {
		items[position] = item;
		item.position = position;
	}

	function siftUp(item: Item): void {
		let {position} = item;
		while (position > 0) {
			const parentPosition = Math.floor((position - 1) / 2);
			const parent = items[parentPosition]!;
			if (parent.key <= item.key) {
				break;
			}

			place(parent, position);
			position = parentPosition;
		}

		place(item, position);
	}

	function siftDown(item: Item): void {
		let {position} = item;
		for (;;) {
			let childPosition = 2 * position + 1;
			if (childPosition >= items.length) {
				break;
			}

			const right = items[childPosition + 1];
			if (right && right.key < items[childPosition]!.key) {
				childPosition++;
			}

			const child = items[childPosition]!;
			if (child.key >= item.key) {
				break;
			}

			place(child, position);
			position = childPosition;
		}

		place(item, position);
	}

	function update(item: Item): void {
		siftUp(item);
		siftDown(item);
	}

	return {
		get size() {
			return items.length;
		},
		peek: () => items[0],
		push(item) {
			item.position = items.length;
			items.push(item);
			siftUp(item);
		},
		update,
		remove(item) {
			if (item.position < 0) {
				return;
			}

			const last = items.pop()!;
			if (last !== item) {
				place(last, item.position);
				update(last);
			}

			item.position = -1;
		},
	};
}
