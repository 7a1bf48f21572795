/**
 * Mutual authentication with a shared secret. The listener sends a nonce as a challenge, the dialer
 * responds with its own nonce and a proof, and the listener confirms with its proof. A proof is an
 * HMAC over the role, both nonces and both identities, so it can be neither replayed nor reflected.
 * Neither side reads or writes anything else until it has verified the proof of the other.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {type InstanceId} from '@shallotpond/kernel/instance-id';

export type Challenge = {
	readonly kind: 'challenge';
	readonly nonce: string;
	readonly id: InstanceId;
};
export type ChallengeResponse = {
	readonly kind: 'answer';
	readonly nonce: string;
	readonly id: InstanceId;
	readonly proof: string;
};
export type Confirmation = {readonly kind: 'confirmation'; readonly proof: string};
export type HandshakeMessage = Challenge | ChallengeResponse | Confirmation;

export type ProofInput = {
	readonly role: 'dialer' | 'listener';
	readonly listenerNonce: string;
	readonly dialerNonce: string;
	readonly listenerId: InstanceId;
	readonly dialerId: InstanceId;
};

const nonceBytes = 16;

/**
 * Reads from the operating system's random source, because a nonce must be unpredictable; other
 * code takes a seedable `Random`.
 */
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

/** Compares in constant time, so that timing reveals nothing about the expected proof. */
export function isProofValid(secret: string, input: ProofInput, proof: unknown): boolean {
	if (typeof proof !== 'string') {
		return false;
	}

	const expected = Buffer.from(createProof(secret, input));
	const actual = Buffer.from(proof);
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}
