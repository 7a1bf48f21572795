/**
 * The account of the memory that callers make the process hold: connections, parsed requests,
 * bodies, and responses that are not read. It is kept in estimated bytes, where each object has a
 * cost of its own, because many small objects take far more memory than the bytes they carry.
 *
 * When the account runs low, callers that already hold something are read no further. If that does
 * not suffice, the connection that holds most is closed. Of those that hold about the same, the one
 * that has held it longest is closed: an ordinary caller is soon done.
 */

export type MemoryHolder = {
	/** Estimated bytes. */
	readonly held: number;
	/** Whether it holds more than one ordinary request. */
	readonly isLarge: boolean;
	/** Adds to what is held, or subtracts if negative. May evict a holder, this one included. */
	change(bytes: number): void;
	/** To be called when the memory has been released. */
	close(): void;
};

export type MemoryHolderOptions = {
	/** Starts to release the memory. The holder counts until it is closed. */
	readonly evict: () => void;
	/** Whether eviction would cut off work that a target does. Such holders are evicted last. */
	readonly isBusy: () => boolean;
	/** Called when the account is no longer low. */
	readonly onRelief: () => void;
};

export type MemoryAccount = {
	/** Estimated bytes of all holders. */
	readonly held: number;
	/** Whether callers that already hold something are to be read no further. */
	readonly isLow: boolean;
	/** Whether no further request may be taken. */
	readonly isExhausted: boolean;
	open(options: MemoryHolderOptions): MemoryHolder;
};

export type MemoryAccountOptions = {
	/** Estimated bytes. */
	readonly limit: number;
	/** What a caller holds with one ordinary request, estimated bytes. */
	readonly ordinaryBytes: number;
	/** What a caller without a request holds, estimated bytes. Such a holder is not evicted. */
	readonly idleBytes: number;
	/** Called when the account has become low and when it is no longer low. */
	readonly onLowChange: (isLow: boolean) => void;
};

/** Fractions of the limit. */
const lowFraction = 0.5;
/** Lower than `lowFraction`, so that the state does not change with every request. */
const reliefFraction = 0.4;
/** Above this fraction, holders are evicted. The rest is left to ordinary callers. */
const evictionFraction = 0.75;
const exhaustedFraction = 0.95;

type Entry = MemoryHolderOptions & {held: number; isEvicted: boolean};

/** More than the binary logarithm of any number of bytes. */
const idleRank = 64;

/** Ranks holders by their size in powers of two; those that are not busy rank above the others. */
function rankOf(entry: Entry): number {
	return Math.floor(Math.log2(entry.held)) + (entry.isBusy() ? 0 : idleRank);
}

export function createMemoryAccount(options: MemoryAccountOptions): MemoryAccount {
	const {limit, ordinaryBytes, idleBytes} = options;
	const entries = new Set<Entry>();
	/** Those that hold more than `idleBytes`, in the order in which they began to. */
	const active = new Set<Entry>();
	let held = 0;
	/** Part of `held` that evicted holders have not released yet. */
	let evicted = 0;
	let isLow = false;

	/** Linear in the number of active holders; called only while the account is nearly used up. */
	function findLargest(): Entry | undefined {
		let found: Entry | undefined;
		let foundRank = -1;
		for (const entry of active) {
			const rank = entry.isEvicted ? -1 : rankOf(entry);
			if (rank > foundRank) {
				found = entry;
				foundRank = rank;
			}
		}

		return found;
	}

	function evictLargest(): void {
		while (held - evicted > limit * evictionFraction) {
			const entry = findLargest();
			if (entry === undefined) {
				return;
			}

			entry.isEvicted = true;
			evicted += entry.held;
			entry.evict();
		}
	}

	function update(): void {
		if (!isLow && held >= limit * lowFraction) {
			isLow = true;
			options.onLowChange(true);
		} else if (isLow && held < limit * reliefFraction) {
			isLow = false;
			options.onLowChange(false);
			for (const entry of entries) {
				entry.onRelief();
			}
		}
	}

	return {
		get held() {
			return held;
		},
		get isLow() {
			return isLow;
		},
		get isExhausted() {
			return held > limit * exhaustedFraction;
		},
		open(holderOptions) {
			const entry: Entry = {...holderOptions, held: 0, isEvicted: false};
			entries.add(entry);

			function add(bytes: number): void {
				entry.held += bytes;
				held += bytes;
				evicted += entry.isEvicted ? bytes : 0;
				if (entry.held > idleBytes) {
					active.add(entry);
				} else {
					active.delete(entry);
				}
			}

			return {
				get held() {
					return entry.held;
				},
				get isLarge() {
					return entry.held > ordinaryBytes;
				},
				change(bytes) {
					if (!entries.has(entry) || bytes === 0) {
						return;
					}

					add(bytes);
					update();
					if (bytes > 0) {
						evictLargest();
					}
				},
				close() {
					if (entries.delete(entry)) {
						add(-entry.held);
						update();
					}
				},
			};
		},
	};
}
