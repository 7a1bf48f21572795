/**
 * Applies RFC 6902 patches with optimistic concurrency control: a patch names its base version and
 * is refused unless that is the current one. So of two patches against the same version, the
 * second does not overwrite the change of the first.
 */
import jsonPatch, {type Operation} from 'fast-json-patch';
import {z} from 'zod';
import {ConfigurationError} from './configuration-error.js';
import {type ConfigurationDocument} from './document-schema.js';
import {formatFieldPath, parseDocument} from './parse-document.js';

const maxOperations = 10_000;
const jsonPointer = z.string().regex(/^(\/([^/~]|~[01])*)*$/, 'must be a JSON pointer');

const patchSchema = z
	.array(
		z.discriminatedUnion('op', [
			z.strictObject({op: z.literal('add'), path: jsonPointer, value: z.unknown()}),
			z.strictObject({op: z.literal('replace'), path: jsonPointer, value: z.unknown()}),
			z.strictObject({op: z.literal('test'), path: jsonPointer, value: z.unknown()}),
			z.strictObject({op: z.literal('remove'), path: jsonPointer}),
			z.strictObject({op: z.literal('move'), path: jsonPointer, from: jsonPointer}),
			z.strictObject({op: z.literal('copy'), path: jsonPointer, from: jsonPointer}),
		]),
	)
	.min(1)
	.max(maxOperations);

export type ConfigurationPatch = z.output<typeof patchSchema>;

export type PatchInput = {
	readonly document: ConfigurationDocument;
	/** Version that the patch was made against. */
	readonly base: number;
	/** An RFC 6902 patch as parsed JSON; not trusted. */
	readonly patch: unknown;
};

/** Refused in the paths of a patch, which could otherwise modify the prototype of all objects. */
const prototypeSegments = new Set(['__proto__', 'constructor', 'prototype']);

function isPrototypePath(path: string): boolean {
	return path
		.split('/')
		.some(segment => prototypeSegments.has(segment.replaceAll('~1', '/').replaceAll('~0', '~')));
}

function findProblems(patch: ConfigurationPatch): string[] {
	const problems: string[] = [];
	for (const [index, operation] of patch.entries()) {
		const paths = 'from' in operation ? [operation.path, operation.from] : [operation.path];
		for (const path of paths) {
			if (isPrototypePath(path)) {
				problems.push(`patch[${index}]: "${path}" leads to the prototype of an object`);
			}
		}

		const isVersionChanged = operation.op !== 'test' && paths.includes('/version');
		if (isVersionChanged) {
			problems.push(`patch[${index}]: the version becomes the base version + 1 and is not patched`);
		}
	}

	return problems;
}

/** Validates a patch without applying it. Throws a `ConfigurationError` (`invalid-patch`). */
export function parsePatch(patch: unknown): ConfigurationPatch {
	const result = patchSchema.safeParse(patch);
	if (!result.success) {
		throw new ConfigurationError(
			'invalid-patch',
			result.error.issues.map(
				issue => `${formatFieldPath(['patch', ...issue.path])}: ${issue.message}`,
			),
		);
	}

	const problems = findProblems(result.data);
	if (problems.length > 0) {
		throw new ConfigurationError('invalid-patch', problems);
	}

	return result.data;
}

/** Returns the first line of the library's message; the other lines contain the whole document. */
function reasonOf(error: unknown): string {
	return error instanceof Error ? (error.message.split('\n', 1)[0] ?? '') : 'unknown reason';
}

/**
 * Returns the patched and validated document with version `base + 1`; does not modify the given
 * document. Throws a `ConfigurationError`: `stale-patch` with both versions if `base` is not the
 * version of the document, `invalid-patch` if the patch cannot be applied, `invalid-document` if
 * the result is not a valid document. Takes time linear in the size of the document.
 */
export function applyPatch({document, base, patch}: PatchInput): ConfigurationDocument {
	if (base !== document.version) {
		throw new ConfigurationError('stale-patch', [
			`the patch is made against version ${base}, but the current version is ${document.version}`,
		]);
	}

	const operations = parsePatch(patch) as Operation[];
	let patched: unknown;
	try {
		// The flags validate the operations, leave `document` unmodified and ban prototype changes.
		patched = jsonPatch.applyPatch<unknown>(document, operations, true, false, true).newDocument;
	} catch (error) {
		throw new ConfigurationError('invalid-patch', [`patch: ${reasonOf(error)}`], {cause: error});
	}

	if (typeof patched !== 'object' || patched === null || Array.isArray(patched)) {
		throw new ConfigurationError('invalid-patch', ['patch: its result is not an object']);
	}

	return parseDocument({...patched, version: base + 1});
}
