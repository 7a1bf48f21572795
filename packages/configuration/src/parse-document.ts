/**
 * Converts untrusted input into a validated document, or reports its problems with the paths of the
 * fields.
 */
import {type z} from 'zod';
import {ConfigurationError} from './configuration-error.js';
import {documentSchema, type ConfigurationDocument} from './document-schema.js';

/** Formats a path as `routes[3].timeout`; an empty path is `document`. */
export function formatFieldPath(path: readonly PropertyKey[]): string {
	let text = '';
	for (const part of path) {
		text += typeof part === 'number' ? `[${part}]` : `${text === '' ? '' : '.'}${String(part)}`;
	}

	return text === '' ? 'document' : text;
}

function formatIssue(issue: z.core.$ZodIssue): string {
	return `${formatFieldPath(issue.path)}: ${issue.message}`;
}

/**
 * Finds problems that involve several fields: limits that contradict each other, duplicates and
 * missing references. Takes time linear in the size of the document.
 */
function findCrossFieldProblems(document: ConfigurationDocument): string[] {
	const problems: string[] = [];
	const targetIds = new Map<string, string>();
	for (const [name, service] of Object.entries(document.services)) {
		if (service.coldSlots > service.slots) {
			problems.push(`services.${name}.coldSlots: must be at most slots (${service.slots})`);
		}

		for (const [index, target] of service.targets.entries()) {
			const location = `services.${name}.targets[${index}]`;
			const earlierLocation = targetIds.get(target.id);
			if (earlierLocation !== undefined) {
				problems.push(`${location}.id: "${target.id}" is already used at ${earlierLocation}`);
			}

			targetIds.set(target.id, location);
			if (!Object.hasOwn(document.failureDomains, target.failureDomain)) {
				problems.push(
					`${location}.failureDomain: "${target.failureDomain}" is not in failureDomains`,
				);
			}
		}
	}

	const routeIds = new Set<string>();
	for (const [index, route] of document.routes.entries()) {
		if (routeIds.has(route.id)) {
			problems.push(`routes[${index}].id: "${route.id}" is used twice`);
		}

		routeIds.add(route.id);
		if (!Object.hasOwn(document.services, route.service)) {
			problems.push(`routes[${index}].service: "${route.service}" is not in services`);
		}
	}

	const digestOwners = new Map<string, string>();
	for (const [name, workspace] of Object.entries(document.workspaces)) {
		for (const [index, digest] of workspace.keyDigests.entries()) {
			const owner = digestOwners.get(digest);
			if (owner !== undefined) {
				problems.push(
					`workspaces.${name}.keyDigests[${index}]: the same key belongs to workspace "${owner}"`,
				);
			}

			digestOwners.set(digest, name);
		}
	}

	return problems;
}

/**
 * Parses a document. Throws a `ConfigurationError` (`invalid-document`) that names every problem;
 * those that involve several fields are found only if each field is valid by itself.
 */
export function parseDocument(input: unknown): ConfigurationDocument {
	const result = documentSchema.safeParse(input);
	if (!result.success) {
		throw new ConfigurationError(
			'invalid-document',
			result.error.issues.map(issue => formatIssue(issue)),
		);
	}

	const problems = findCrossFieldProblems(result.data);
	if (problems.length > 0) {
		throw new ConfigurationError('invalid-document', problems);
	}

	return result.data;
}
