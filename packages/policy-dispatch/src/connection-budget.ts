/**
 * Counts the connections of one target over all instances: one for each open grant, and one for each
 * connection that a holder was allowed to keep open after its answer.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** Milliseconds after which a holder closes a kept connection that it has not used. */
export const idleConnectionTimeout = 10_000;

export type ConnectionBudget = {
	/** Whether one more grant to this holder stays under the limit. */
	hasRoom(holder: InstanceId, openGrants: number, now: number): boolean;
	/**
	 * Takes a kept connection of the holder for a new grant, if there is one, and returns whether
	 * the holder may keep the connection of the new grant.
	 */
	take(holder: InstanceId, openGrants: number, now: number): boolean;
	/** The holder may keep the connection of a grant that has ended. */
	keep(holder: InstanceId, now: number): void;
};

export type ConnectionBudgetOptions = {
	/** Connections that this coordinator may allow; checked at each use. */
	readonly limit: (now: number) => number;
	/** Connections set aside for open grants. */
	readonly slots: number;
	/** Monotonic milliseconds until which connections kept under a predecessor may be open. */
	readonly unknownUntil: number;
};

export function createConnectionBudget(options: ConnectionBudgetOptions): ConnectionBudget {
	// All are kept for the same time, so the order of insertion is the order of expiry.
	const kept = new Map<number, {readonly holder: InstanceId; readonly until: number}>();
	const byHolder = new Map<InstanceId, Set<number>>();
	let next = 0;

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
		hasRoom(holder, openGrants, now) {
			prune(now);
			return byHolder.has(holder) || openGrants + kept.size < options.limit(now);
		},
		take(holder, openGrants, now) {
			prune(now);
			const [key] = byHolder.get(holder) ?? [];
			if (key !== undefined) {
				drop(key, holder);
			}

			return now >= options.unknownUntil && kept.size + options.slots < options.limit(now);
		},
		keep(holder, now) {
			const key = next++;
			// 2% more than the holder counts, for the drift of both clocks.
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
