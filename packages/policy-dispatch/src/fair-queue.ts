/**
 * Weighted start-time fair queueing (SFQ) over workspaces. The shared resource is slot time: a
 * workspace is charged an estimate when its request is dispatched, and the difference to the actual
 * time at release. Adding, taking or removing one entry costs O(log n), where n is the number of
 * entries.
 */
import {createBinaryHeap, type HeapItem} from './binary-heap.js';

export type QueueEntry = {
	readonly id: string;
	readonly workspace: string;
	/** Monotonic milliseconds. */
	readonly deadline: number;
};

export type FairQueueOptions = {
	/** Weight of a workspace relative to the others; positive. */
	readonly weightOf: (workspace: string) => number;
	/** Maximum number of waiting entries of one workspace. */
	readonly workspaceLimit: number;
	/** Maximum number of waiting entries of all workspaces. */
	readonly totalLimit: number;
};

export type FairQueue<Entry extends QueueEntry> = {
	readonly size: number;
	/** Returns false when a limit is reached; the entry is then not queued. */
	add(entry: Entry): boolean;
	get(id: string): Entry | undefined;
	/** Removes an entry by id, for example because its caller has disconnected. */
	remove(id: string): Entry | undefined;
	/**
	 * Changes the time at which an entry expires, in monotonic milliseconds; at first it is the
	 * deadline of the entry. Does nothing when the entry is not queued.
	 */
	setExpiry(id: string, expiresAt: number): void;
	/**
	 * Approximate number of entries that are served before a new one of this workspace. Assumes that
	 * each waiting workspace is served as often as this one.
	 */
	entriesAhead(workspace: string): number;
	/** Removes and returns the entries that have expired, see `setExpiry`. */
	removeExpired(now: number): Entry[];
	/**
	 * Removes and returns the next entry for which `accept` returns true and charges its workspace
	 * `estimate` milliseconds of slot time. Tries only the first entry of each of the next
	 * `maxSearchedWorkspaces` workspaces.
	 */
	take(accept: (entry: Entry) => boolean, estimate: number): Entry | undefined;
	/** Adds `difference` milliseconds of slot time to the charge of a workspace; may be negative. */
	adjustCharge(workspace: string, difference: number): void;
	/** Removes and returns all entries. */
	clear(): Entry[];
};

/**
 * Number of workspaces tried in one `take`. More than one is tried, because the first entry of a
 * workspace may exclude all free targets.
 */
const maxSearchedWorkspaces = 8;

/** An entry in the queue. Its key in the heap is the time at which it expires. */
type WaitingEntry<Entry> = {readonly entry: Entry; readonly flow: Flow<Entry>} & HeapItem;

/**
 * The queue of one workspace. Its key in the heap is its start tag: the virtual time at which its
 * next request starts, in milliseconds of slot time divided by the weight.
 */
type Flow<Entry> = {
	readonly workspace: string;
	/** In order of arrival. A map, because removal from the middle must not cost O(n). */
	readonly waiting: Map<string, WaitingEntry<Entry>>;
} & HeapItem;

export function createFairQueue<Entry extends QueueEntry>(
	options: FairQueueOptions,
): FairQueue<Entry> {
	const flows = new Map<string, Flow<Entry>>();
	const backlogHeap = createBinaryHeap<Flow<Entry>>();
	const expiryHeap = createBinaryHeap<WaitingEntry<Entry>>();
	const entries = new Map<string, WaitingEntry<Entry>>();
	let virtualTime = 0;

	function flowOf(workspace: string): Flow<Entry> {
		let flow = flows.get(workspace);
		if (flow === undefined) {
			flow = {workspace, waiting: new Map(), key: virtualTime, position: -1};
			flows.set(workspace, flow);
		}

		return flow;
	}

	/**
	 * Deletes a flow without entries once virtual time has reached its start tag, because a new flow
	 * starts at virtual time anyway.
	 */
	function deleteIfIdle(flow: Flow<Entry>): void {
		if (flow.waiting.size === 0 && flow.key <= virtualTime) {
			flows.delete(flow.workspace);
		}
	}

	function drop(waiting: WaitingEntry<Entry>): Entry {
		const {entry, flow} = waiting;
		entries.delete(entry.id);
		flow.waiting.delete(entry.id);
		expiryHeap.remove(waiting);
		if (flow.waiting.size === 0) {
			backlogHeap.remove(flow);
			deleteIfIdle(flow);
		}

		return entry;
	}

	function charge(flow: Flow<Entry>, slotTime: number): void {
		flow.key += slotTime / options.weightOf(flow.workspace);
		if (flow.position >= 0) {
			backlogHeap.update(flow);
		}
	}

	function firstOf(flow: Flow<Entry>): WaitingEntry<Entry> {
		const [first] = flow.waiting.values();
		return first!;
	}

	return {
		get size() {
			return entries.size;
		},
		add(entry) {
			const flow = flowOf(entry.workspace);
			if (entries.size >= options.totalLimit || flow.waiting.size >= options.workspaceLimit) {
				deleteIfIdle(flow);
				return false;
			}

			const waiting = {entry, flow, key: entry.deadline, position: -1};
			flow.waiting.set(entry.id, waiting);
			entries.set(entry.id, waiting);
			expiryHeap.push(waiting);
			if (flow.position < 0) {
				// An idle workspace accumulates no credit: it starts no earlier than the current virtual
				// time.
				flow.key = Math.max(flow.key, virtualTime);
				backlogHeap.push(flow);
			}

			return true;
		},
		get: id => entries.get(id)?.entry,
		remove(id) {
			const waiting = entries.get(id);
			return waiting && drop(waiting);
		},
		setExpiry(id, expiresAt) {
			const waiting = entries.get(id);
			if (waiting) {
				waiting.key = expiresAt;
				expiryHeap.update(waiting);
			}
		},
		entriesAhead(workspace) {
			const own = flows.get(workspace)?.waiting.size ?? 0;
			return Math.min(entries.size, (own + 1) * backlogHeap.size);
		},
		removeExpired(now) {
			const expired: Entry[] = [];
			for (let first = expiryHeap.peek(); first && first.key <= now; first = expiryHeap.peek()) {
				expired.push(drop(first));
			}

			return expired;
		},
		take(accept, estimate) {
			const skipped: Array<Flow<Entry>> = [];
			let taken: Entry | undefined;
			for (let flow = backlogHeap.peek(); flow && skipped.length < maxSearchedWorkspaces;) {
				const first = firstOf(flow);
				if (accept(first.entry)) {
					virtualTime = Math.max(virtualTime, flow.key);
					taken = first.entry;
					charge(flow, estimate);
					drop(first);
					break;
				}

				backlogHeap.remove(flow);
				skipped.push(flow);
				flow = backlogHeap.peek();
			}

			for (const flow of skipped) {
				backlogHeap.push(flow);
			}

			return taken;
		},
		adjustCharge(workspace, difference) {
			const flow = flowOf(workspace);
			charge(flow, difference);
			deleteIfIdle(flow);
		},
		clear() {
			return [...entries.values()].map(waiting => drop(waiting));
		},
	};
}
