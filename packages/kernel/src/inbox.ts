/**
 * The inbox of a task whose handlers do not wait. A message that arrives while another one is
 * handled is queued, so that state never changes under a handler. Compared with `createMailbox` it
 * costs no turn of the event loop, which matters where each request sends several messages.
 */
import {dispatch, type Handlers} from './handlers.js';

export type Inbox<Message> = {
	/** Handles the message, or queues it while another one is handled. Never throws. */
	send(message: Message): void;
};

export type InboxOptions<Message extends {readonly kind: string}, Context> = {
	readonly handlers: Handlers<Message, Context>;
	readonly context: Context;
	/** Called with the error of a handler. The task goes on with the next message. */
	readonly onError: (error: unknown, message: Message) => void;
};

export function createInbox<Message extends {readonly kind: string}, Context>(
	options: InboxOptions<Message, Context>,
): Inbox<Message> {
	const queue: Message[] = [];
	let isHandling = false;

	function handle(message: Message): void {
		try {
			dispatch(options.handlers, message, options.context);
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
			// The queue is short: it holds what the handlers of one message send to their own task.
			for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
				handle(next);
			}

			isHandling = false;
		},
	};
}
