/**
 * Digest of a document. Two instances have the same configuration if and only if version and digest
 * are equal, so the digest must not depend on whitespace or on the order of fields.
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

/**
 * Formats a value as JSON without whitespace, with the fields of every object sorted by UTF-16 code
 * units.
 */
export function toCanonicalJson(value: unknown): string {
	return JSON.stringify(value, sortFields);
}

/** Returns the SHA-256 of bytes or UTF-8 text as 64 lower-case hexadecimal digits. */
export function digestBytes(bytes: Uint8Array | string): string {
	return createHash('sha256').update(bytes).digest('hex');
}

/**
 * Returns the SHA-256 of the canonical JSON of a parsed document as 64 lower-case hexadecimal
 * digits. The parsed form is digested because every instance has it and can recompute the digest.
 * Takes time linear in the size of the document.
 */
export function digestDocument(document: unknown): string {
	return digestBytes(toCanonicalJson(document));
}
