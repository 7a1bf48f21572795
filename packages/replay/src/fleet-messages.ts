/**
 * All messages that the instances of a simulated fleet send to each other.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type SlotMessage} from '@shallotpond/policy-dispatch/slot-messages';
import {type TokenMessage} from '@shallotpond/policy-limits/token-messages';
import {type MembershipMessage} from '@shallotpond/policy-membership/heartbeat';
import {type RequestPathMessage} from './request-path.js';
import {type FleetDocument} from './fleet-document.js';

/** Asks a peer for its whole document. */
export type DocumentAsk = {readonly kind: 'document-ask'; readonly id: number};
/** The response to the `DocumentAsk` with the same id. */
export type DocumentAnswer = {
	readonly kind: 'document-answer';
	readonly id: number;
	readonly document: FleetDocument;
};

export type InstanceMessage =
	| MembershipMessage
	| TokenMessage
	| SlotMessage
	| RequestPathMessage
	| DocumentAsk
	| DocumentAnswer;

export type Envelope = {
	readonly from: InstanceId;
	/** An instance, or only an address while the incarnation there is unknown. */
	readonly to: InstanceId;
	readonly message: InstanceMessage;
};
