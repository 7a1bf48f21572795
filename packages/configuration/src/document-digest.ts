/**
 * Digest of a document. Two instances hold the same configuration exactly when version and digest
 * agree, so the digest must not depend on white space or on the order of fields.
 */
import {createHash} from 'node:crypto';

function sortFields(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	return Object.fromEntries(
		Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)),
	);
}

/** JSON without white space and with the fields of every object sorted by UTF-16 code units. */
export function toCanonicalJson(value: unknown): string {
	return JSON.stringify(value, sortFields);
}

/** SHA-256 of bytes or UTF-8 text as 64 lower-case hexadecimal digits. */
export function digestBytes(bytes: Uint8Array | string): string {
	return createHash('sha256').update(bytes).digest('hex');
}

/**
 * SHA-256 over the canonical JSON of a parsed document, 64 lower-case hexadecimal digits. The
 * parsed form is used because it is what every instance holds and can digest again. The cost is
 * linear in the size of the document.
 */
export function digestDocument(document: unknown): string {
	return digestBytes(toCanonicalJson(document));
}
