/**
 * Asks that wait at the owner for tokens, oldest request first, so that after a change of owner the
 * requests that waited longest are served before their wait ends. At most one ask per requester.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type TokenAsk} from './token-messages.js';
import {tokenGrantTtl} from './workspace-limits.js';

export type QueuedAsk = {
	readonly ask: TokenAsk;
	readonly from: InstanceId;
	/** When its oldest request began to wait, on the clock of this instance. */
	readonly since: number;
	/** The requester gives up the ask by then and sends a new one. */
	readonly expiresAt: number;
};

export type AskQueue = {
	/** Adds an ask in place of an older one of the same requester. Cost: the queue's length. */
	add(ask: TokenAsk, from: InstanceId, now: number): void;
	/** The ask with the longest wait that has not expired. */
	first(now: number): QueuedAsk | undefined;
	removeFirst(): void;
	readonly size: number;
};

export function createAskQueue(): AskQueue {
	const queue: QueuedAsk[] = [];

	return {
		add(ask, from, now) {
			const index = queue.findIndex(item => item.from === from);
			// Copies of earlier asks arrive late; the ids of a requester only grow.
			if (index !== -1 && queue[index]!.ask.id >= ask.id) {
				return;
			}

			if (index !== -1) {
				queue.splice(index, 1);
			}

			const since = now - Math.max(0, ask.waited);
			const position = queue.findLastIndex(item => item.since <= since) + 1;
			queue.splice(position, 0, {ask, from, since, expiresAt: now + tokenGrantTtl});
		},
		first(now) {
			while (queue[0] !== undefined && queue[0].expiresAt <= now) {
				queue.shift();
			}

			return queue[0];
		},
		removeFirst() {
			queue.shift();
		},
		get size() {
			return queue.length;
		},
	};
}
