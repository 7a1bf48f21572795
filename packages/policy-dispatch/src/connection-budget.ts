/**
 * Counts the connections of one target over all holders, that is the instances that send it
 * requests: one for each open grant, and one for each connection that a holder may keep open after
 * the response. Keeps the sum within the limit of this coordinator.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** Time after which a holder closes a kept connection that it has not used. Milliseconds. */
export const idleConnectionTimeout = 10_000;

export type ConnectionBudget = {
	/**
	 * Whether one more grant to this holder stays within the limit. Always true when the holder keeps
	 * a connection, because the grant reuses that connection.
	 */
	allowsGrant(holder: InstanceId, openGrants: number, now: number): boolean;
	/**
	 * Removes one kept connection of the holder, if there is one, because the new grant of the holder
	 * reuses that connection. Returns whether the holder may keep the connection open once the new
	 * grant has ended.
	 */
	takeKeptConnection(holder: InstanceId, openGrants: number, now: number): boolean;
	/** Records that the holder keeps the connection of a grant that has ended. */
	addKeptConnection(holder: InstanceId, now: number): void;
};

export type ConnectionBudgetOptions = {
	/** Returns the number of connections that this coordinator may allow; called at each use. */
	readonly limit: (now: number) => number;
	/** Number of slots of the target; one connection is reserved for each of them. */
	readonly slots: number;
	/**
	 * Monotonic milliseconds until which connections that a former coordinator allowed may still be
	 * open. Until then no holder may keep a connection.
	 */
	readonly unknownUntil: number;
};

export function createConnectionBudget(options: ConnectionBudgetOptions): ConnectionBudget {
	// All connections are kept for the same time, so the order of insertion is the order of expiry.
	const kept = new Map<number, {readonly holder: InstanceId; readonly until: number}>();
	const byHolder = new Map<InstanceId, Set<number>>();
	let nextKey = 0;

	function drop(key: number, holder: InstanceId): void {
		kept.delete(key);
		const keys = byHolder.get(holder);
		keys?.delete(key);
		if (keys?.size === 0) {
			byHolder.delete(holder);
		}
	}

	function prune(now: number): void {
		for (const [key, {holder, until}] of kept) {
			if (until > now) {
				break;
			}

			drop(key, holder);
		}
	}

	return {
		allowsGrant(holder, openGrants, now) {
			prune(now);
			return byHolder.has(holder) || openGrants + kept.size < options.limit(now);
		},
		takeKeptConnection(holder, openGrants, now) {
			prune(now);
			const [key] = byHolder.get(holder) ?? [];
			if (key !== undefined) {
				drop(key, holder);
			}

			return now >= options.unknownUntil && kept.size + options.slots < options.limit(now);
		},
		addKeptConnection(holder, now) {
			const key = nextKey++;
			// 2% longer than the holder counts, to allow for the clock drift of both instances.
			kept.set(key, {holder, until: now + idleConnectionTimeout * 1.02});
			let keys = byHolder.get(holder);
			if (keys === undefined) {
				keys = new Set();
				byHolder.set(holder, keys);
			}

			keys.add(key);
		},
	};
}
