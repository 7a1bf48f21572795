/**
 * RFC 6902 patches against a numbered version. The number makes two operators who start from the
 * same version collide instead of overwriting each other.
 */
import jsonPatch, {type Operation} from 'fast-json-patch';
import {z} from 'zod';
import {ConfigurationError} from './configuration-error.js';
import {type ConfigurationDocument} from './document-schema.js';
import {formatPath, parseDocument} from './parse-document.js';

const mostOperations = 10_000;
const pointer = z.string().regex(/^(\/([^/~]|~[01])*)*$/, 'must be a JSON pointer');

const patchSchema = z
	.array(
		z.discriminatedUnion('op', [
			z.strictObject({op: z.literal('add'), path: pointer, value: z.unknown()}),
			z.strictObject({op: z.literal('replace'), path: pointer, value: z.unknown()}),
			z.strictObject({op: z.literal('test'), path: pointer, value: z.unknown()}),
			z.strictObject({op: z.literal('remove'), path: pointer}),
			z.strictObject({op: z.literal('move'), path: pointer, from: pointer}),
			z.strictObject({op: z.literal('copy'), path: pointer, from: pointer}),
		]),
	)
	.min(1)
	.max(mostOperations);

export type ConfigurationPatch = z.output<typeof patchSchema>;

export type PatchRequest = {
	readonly document: ConfigurationDocument;
	/** The version that the patch was made against. */
	readonly base: number;
	/** Untrusted; an RFC 6902 patch as parsed JSON. */
	readonly patch: unknown;
};

const forbiddenSegments = new Set(['__proto__', 'constructor', 'prototype']);

function isForbidden(path: string): boolean {
	return path
		.split('/')
		.some(segment => forbiddenSegments.has(segment.replaceAll('~1', '/').replaceAll('~0', '~')));
}

function findProblems(patch: ConfigurationPatch): string[] {
	const problems: string[] = [];
	for (const [index, operation] of patch.entries()) {
		const paths = 'from' in operation ? [operation.path, operation.from] : [operation.path];
		for (const path of paths) {
			if (isForbidden(path)) {
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

/** Checks the form of a patch. Throws a `ConfigurationError` (`invalid-patch`). */
export function parsePatch(patch: unknown): ConfigurationPatch {
	const result = patchSchema.safeParse(patch);
	if (!result.success) {
		throw new ConfigurationError(
			'invalid-patch',
			result.error.issues.map(issue => `${formatPath(['patch', ...issue.path])}: ${issue.message}`),
		);
	}

	const problems = findProblems(result.data);
	if (problems.length > 0) {
		throw new ConfigurationError('invalid-patch', problems);
	}

	return result.data;
}

/** The first line of the library's message; the rest repeats the whole document. */
function reasonOf(error: unknown): string {
	return error instanceof Error ? (error.message.split('\n', 1)[0] ?? '') : 'unknown reason';
}

/**
 * Returns the patched and parsed document with version `base + 1`; the given document does not
 * change. Throws a `ConfigurationError`: `stale-patch` with both numbers when `base` is not the
 * document's version, `invalid-patch` when the patch cannot be applied, `invalid-document` when
 * its result is not a valid document. The cost is linear in the size of the document.
 */
export function applyPatch({document, base, patch}: PatchRequest): ConfigurationDocument {
	if (base !== document.version) {
		throw new ConfigurationError('stale-patch', [
			`the patch is made against version ${base}, but the current version is ${document.version}`,
		]);
	}

	const operations = parsePatch(patch) as Operation[];
	let patched: unknown;
	try {
		patched = jsonPatch.applyPatch<unknown>(document, operations, true, false, true).newDocument;
	} catch (error) {
		throw new ConfigurationError('invalid-patch', [`patch: ${reasonOf(error)}`], {cause: error});
	}

	if (typeof patched !== 'object' || patched === null || Array.isArray(patched)) {
		throw new ConfigurationError('invalid-patch', ['patch: its result is not an object']);
	}

	return parseDocument({...patched, version: base + 1});
}
