/**
 * The queue of asks that wait at the owner for tokens. The ask whose oldest request has waited
 * longest is first, so that after a change of owner, requests get their tokens before their wait
 * times out. Holds at most one ask per requester.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type TokenAsk} from './token-messages.js';
import {tokenGrantTtl} from './workspace-rate-limit.js';

export type QueuedAsk = {
	readonly ask: TokenAsk;
	readonly from: InstanceId;
	/**
	 * Monotonic milliseconds, local clock: when the oldest of the requests that need the tokens began
	 * to wait.
	 */
	readonly since: number;
	/**
	 * Monotonic milliseconds by which the requester has given up the ask; the requester may then send
	 * a new one.
	 */
	readonly expiresAt: number;
};

export type TokenAskQueue = {
	/**
	 * Adds an ask and replaces an older one of the same requester; copies of queued or older asks are
	 * ignored. Linear in the queue.
	 */
	add(ask: TokenAsk, from: InstanceId, now: number): void;
	/** The unexpired ask with the longest wait. */
	first(now: number): QueuedAsk | undefined;
	removeFirst(): void;
	readonly size: number;
};

export function createTokenAskQueue(): TokenAskQueue {
	const queue: QueuedAsk[] = [];

	return {
		add(ask, from, now) {
			const index = queue.findIndex(item => item.from === from);
			// Copies of earlier asks can arrive late; the ids of a requester only increase.
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
