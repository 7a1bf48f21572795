/**
 * Everything that instances send to each other in a replay.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type SlotMessage} from '@shallotpond/policy-dispatch/slot-messages';
import {type TokenMessage} from '@shallotpond/policy-limits/token-messages';
import {type MembershipMessage} from '@shallotpond/policy-membership/heartbeat';
import {type CallMessage} from './fleet-calls.js';
import {type FleetDocument} from './fleet-document.js';

/** A peer is asked for its whole document. */
export type DocumentAsk = {readonly kind: 'document-ask'; readonly id: number};
export type DocumentAnswer = {
	readonly kind: 'document-answer';
	readonly id: number;
	readonly document: FleetDocument;
};

export type FleetMessage =
	MembershipMessage | TokenMessage | SlotMessage | CallMessage | DocumentAsk | DocumentAnswer;

export type Envelope = {
	readonly from: InstanceId;
	/** An instance, or a bare address while the incarnation on it is unknown. */
	readonly to: InstanceId;
	readonly message: FleetMessage;
};
