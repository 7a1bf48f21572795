/**
 * Manifests of large documents. The configuration service limits the size of a value, so a document
 * above the limit is published in parts, with a manifest that lists their sizes and digests.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {ConfigurationError} from './configuration-error.js';
import {digestBytes, toCanonicalJson} from './document-digest.js';
import {type ConfigurationDocument} from './document-schema.js';
import {formatFieldPath, parseDocument} from './parse-document.js';

/**
 * 10^6 bytes and not 2^20, so that a part is within the service's limit of 1 MB in either meaning.
 */
export const maxPartBytes = 1_000_000;
/** Limits the memory that a manifest can make a reader use to 64 MB. */
export const maxParts = 64;

const digest = z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest in hex');

const manifestSchema = z.strictObject({
	version: z.number().int().min(1),
	/** SHA-256 of the concatenated parts. */
	digest,
	parts: z
		.array(z.strictObject({digest, size: z.number().int().min(1).max(maxPartBytes)}))
		.min(1)
		.max(maxParts),
});

export type DocumentManifest = z.output<typeof manifestSchema>;

export type SplitDocument = {
	readonly manifest: DocumentManifest;
	/** The parts in the order of the manifest. */
	readonly parts: readonly Uint8Array[];
};

/** Whether a response is a manifest, valid or not, rather than a document. */
export function isManifest(value: unknown): boolean {
	return typeof value === 'object' && value !== null && 'parts' in value;
}

/**
 * Validates a manifest. Throws a `ConfigurationError` (`invalid-document`) that names every
 * problem.
 */
export function parseManifest(value: unknown): DocumentManifest {
	const result = manifestSchema.safeParse(value);
	if (!result.success) {
		throw new ConfigurationError(
			'invalid-document',
			result.error.issues.map(issue => `manifest.${formatFieldPath(issue.path)}: ${issue.message}`),
		);
	}

	return result.data;
}

/**
 * Splits a document into parts of `partSize` bytes. Throws a `ConfigurationError`
 * (`invalid-document`) if it needs more than `maxParts` parts or a part exceeds `maxPartBytes`.
 */
export function splitDocument(
	document: ConfigurationDocument,
	partSize: number = maxPartBytes,
): SplitDocument {
	const bytes = Buffer.from(toCanonicalJson(document));
	const parts: Uint8Array[] = [];
	for (let start = 0; start < bytes.length; start += partSize) {
		parts.push(bytes.subarray(start, start + partSize));
	}

	const manifest = parseManifest({
		version: document.version,
		digest: digestBytes(bytes),
		parts: parts.map(part => ({digest: digestBytes(part), size: part.length})),
	});
	return {manifest, parts};
}

/**
 * Checks one part against its entry in the manifest. Throws a `ConfigurationError`
 * (`digest-mismatch`).
 */
export function checkPart(manifest: DocumentManifest, index: number, part: Uint8Array): void {
	const expected = manifest.parts[index];
	if (expected?.size !== part.length || expected.digest !== digestBytes(part)) {
		throw new ConfigurationError('digest-mismatch', [
			`manifest.parts[${index}]: the ${part.length} bytes read do not have the listed size and digest`,
		]);
	}
}

/**
 * Concatenates the parts, verifies them and parses the document. Throws a `ConfigurationError`:
 * `digest-mismatch` if the number of parts, a part, the whole or the version of the document does
 * not match the manifest, `invalid-document` if the text is not a valid document.
 */
export function joinDocument(
	manifest: DocumentManifest,
	parts: readonly Uint8Array[],
): ConfigurationDocument {
	if (parts.length !== manifest.parts.length) {
		throw new ConfigurationError('digest-mismatch', [
			`manifest.parts: ${manifest.parts.length} parts are listed, ${parts.length} were read`,
		]);
	}

	for (const [index, part] of parts.entries()) {
		checkPart(manifest, index, part);
	}

	const bytes = Buffer.concat(parts);
	if (digestBytes(bytes) !== manifest.digest) {
		throw new ConfigurationError('digest-mismatch', [
			'manifest.digest: differs from the digest of the joined parts',
		]);
	}

	const document = parseDocument(parseJson(bytes));
	if (document.version !== manifest.version) {
		throw new ConfigurationError('digest-mismatch', [
			`manifest.version: is ${manifest.version}, but the document says ${document.version}`,
		]);
	}

	return document;
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(bytes));
	} catch (error) {
		throw new ConfigurationError('invalid-document', ['document: is not JSON'], {cause: error});
	}
}
