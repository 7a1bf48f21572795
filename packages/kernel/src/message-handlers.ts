/**
 * Message dispatch through a table with one handler for each kind of message.
 */

export type MessageHandlers<Message extends {readonly kind: string}, Context, Result = void> = {
	readonly [Kind in Message['kind']]: (
		message: Extract<Message, {readonly kind: Kind}>,
		context: Context,
	) => Result;
};

/**
 * Calls the handler for the kind of the message. The type of the table ensures that there is one.
 */
export function dispatchMessage<Message extends {readonly kind: string}, Context, Result>(
	handlers: MessageHandlers<Message, Context, Result>,
	message: Message,
	context: Context,
): Result {
	const handler = handlers[message.kind as Message['kind']] as (
		message: Message,
		context: Context,
	) => Result;
	return handler(message, context);
}
