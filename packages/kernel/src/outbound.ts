/**
 * A message that a decision wants sent. The I/O layer sends it; delivery is not guaranteed.
 */
import {type InstanceId} from './instance-id.js';

export type Outbound<Message> = {
	readonly to: InstanceId;
	readonly message: Message;
};
