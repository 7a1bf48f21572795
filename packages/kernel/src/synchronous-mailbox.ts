/**
 * Message queue of a task whose handlers are synchronous. A message that is sent while another one
 * is being handled is queued, so that the state of the task never changes during a handler. Unlike
 * a mailbox (`createMailbox`), it handles messages without waiting for a turn of the event loop,
 * which matters where each request sends several messages.
 */
import {dispatchMessage, type MessageHandlers} from './message-handlers.js';

export type SynchronousMailbox<Message> = {
	/** Handles the message, or queues it while another one is handled. Never throws. */
	send(message: Message): void;
};

export type SynchronousMailboxOptions<Message extends {readonly kind: string}, Context> = {
	readonly handlers: MessageHandlers<Message, Context>;
	readonly context: Context;
	/** Called with an error that a handler threw. The task continues with the next message. */
	readonly onError: (error: unknown, message: Message) => void;
};

export function createSynchronousMailbox<Message extends {readonly kind: string}, Context>(
	options: SynchronousMailboxOptions<Message, Context>,
): SynchronousMailbox<Message> {
	const queue: Message[] = [];
	let isHandling = false;

	function handleMessage(message: Message): void {
		try {
			dispatchMessage(options.handlers, message, options.context);
		} catch (error) {
			options.onError(error, message);
		}
	}

	return {
		send(message) {
			queue.push(message);
			if (isHandling) {
				return;
			}

			isHandling = true;
			// The queue is short: it holds only messages that handlers send to their own task.
			for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
				handleMessage(next);
			}

			isHandling = false;
		},
	};
}
