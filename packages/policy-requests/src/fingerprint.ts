/**
 * Digests that identify requests and idempotency keys without keeping their content.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

export type FingerprintSource = {
	readonly workspace: string;
	readonly method: string;
	/** Path and query as sent to the target. */
	readonly path: string;
	/** Digest of the body; undefined where the body was not buffered. */
	readonly bodyDigest: string | undefined;
};

/** SHA-256 in base64url, 43 characters. The same request gives the same value on every instance. */
export function createFingerprint({
	workspace,
	method,
	path,
	bodyDigest,
}: FingerprintSource): string {
	return digestFields([workspace, method, path, ...(bodyDigest === undefined ? [] : [bodyDigest])]);
}

/**
 * SHA-256 of a list in base64url. JSON keeps the boundaries of the fields, so `a`, `bc` differs
 * from `ab`, `c`.
 */
export function digestFields(fields: readonly string[]): string {
	return createHash('sha256').update(JSON.stringify(fields)).digest('base64url');
}

/** Number of buckets of fingerprints and of idempotency keys; each bucket has its own owner. */
export const digestBucketCount = 64;

/** Bucket, from 0 to 63, of a digest that `digestFields` or `createFingerprint` returned. */
export function digestBucketOf(digest: string): number {
	return Buffer.from(digest.slice(0, 2), 'base64url')[0]! % digestBucketCount;
}
