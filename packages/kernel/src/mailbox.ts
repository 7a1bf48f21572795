/**
 * Message queue of a task whose handlers may be asynchronous. A task owns its state, and other code
 * interacts with it only through messages, which are handled one at a time in order of arrival.
 */
import PQueue from 'p-queue';
import {dispatchMessage, type MessageHandlers} from './message-handlers.js';

export type MailboxOptions<Message extends {readonly kind: string}, Context> = {
	readonly handlers: MessageHandlers<Message, Context, Promise<void> | void>;
	readonly context: Context;
	/** Called with an error that a handler threw. The task continues with the next message. */
	readonly onError: (error: unknown, message: Message) => void;
};

export type Mailbox<Message> = {
	/** Queues a message; never throws. Messages sent after `close` are dropped. */
	send(message: Message): void;
	/** Resolves when every queued message has been handled. */
	idle(): Promise<void>;
	/** Drops messages sent from now on. Resolves when those already queued have been handled. */
	close(): Promise<void>;
	/** Messages that are queued or being handled. */
	readonly size: number;
};

export function createMailbox<Message extends {readonly kind: string}, Context>(
	options: MailboxOptions<Message, Context>,
): Mailbox<Message> {
	const queue = new PQueue({concurrency: 1});
	let isClosed = false;

	async function handleMessage(message: Message): Promise<void> {
		// All errors are caught here, so the promise that `queue.add` returns never rejects.
		try {
			await dispatchMessage(options.handlers, message, options.context);
		} catch (error) {
			options.onError(error, message);
		}
	}

	return {
		send(message) {
			if (!isClosed) {
				void queue.add(async () => handleMessage(message));
			}
		},
		async idle() {
			await queue.onIdle();
		},
		async close() {
			isClosed = true;
			await queue.onIdle();
		},
		get size() {
			return queue.size + queue.pending;
		},
	};
}
