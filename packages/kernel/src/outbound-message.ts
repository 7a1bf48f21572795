/**
 * A message to another instance. Policies, which do no I/O, return such messages, and the I/O layer
 * sends them. Delivery is not guaranteed.
 */
import {type InstanceId} from './instance-id.js';

export type OutboundMessage<Message> = {
	readonly to: InstanceId;
	readonly message: Message;
};
