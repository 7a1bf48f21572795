/**
 * Digests of API keys. The keys themselves are never stored, logged or compared.
 */
import {createHash} from 'node:crypto';

/** Returns the SHA-256 of the key as 64 lower-case hexadecimal digits. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key, 'utf8').digest('hex');
}
