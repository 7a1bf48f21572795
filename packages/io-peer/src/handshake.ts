/**
 * Mutual proof of a shared secret. The listener sends a nonce, the dialer answers with its own
 * nonce and a proof, and the listener returns its proof. A proof covers the role, both nonces and
 * both identities, so it can neither be replayed nor reflected. Nothing else is read or written
 * before both proofs have been checked.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {type InstanceId} from '@shallotpond/kernel/instance-id';

export type Challenge = {
	readonly kind: 'challenge';
	readonly nonce: string;
	readonly id: InstanceId;
};
export type Answer = {
	readonly kind: 'answer';
	readonly nonce: string;
	readonly id: InstanceId;
	readonly proof: string;
};
export type Confirmation = {readonly kind: 'confirmation'; readonly proof: string};
export type HandshakeMessage = Challenge | Answer | Confirmation;

export type ProofInput = {
	readonly role: 'dialer' | 'listener';
	readonly listenerNonce: string;
	readonly dialerNonce: string;
	readonly listenerId: InstanceId;
	readonly dialerId: InstanceId;
};

const nonceBytes = 16;

/** Secrets, unlike all other random numbers, come from the operating system. */
export function createNonce(): string {
	return randomBytes(nonceBytes).toString('hex');
}

export function createProof(secret: string, input: ProofInput): string {
	const parts = [
		input.role,
		input.listenerNonce,
		input.dialerNonce,
		input.listenerId,
		input.dialerId,
	];
	return createHmac('sha256', secret).update(JSON.stringify(parts)).digest('hex');
}

/** Compares in constant time. */
export function isProofValid(secret: string, input: ProofInput, proof: unknown): boolean {
	if (typeof proof !== 'string') {
		return false;
	}

	const expected = Buffer.from(createProof(secret, input));
	const actual = Buffer.from(proof);
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}
