/**
 * Differences between two documents, formatted for operators. Key digests are truncated to eight
 * hexadecimal digits, which distinguish keys but do not help to guess one.
 */
import {toCanonicalJson} from './document-digest.js';
import {type ConfigurationDocument} from './document-schema.js';

const shortDigestLength = 8;

export type DifferenceArea =
	'fleet' | 'failure domain' | 'service' | 'route' | 'workspace' | 'idempotency';

export type DocumentDifference = {
	readonly area: DifferenceArea;
	/** Name or id; empty for `fleet` and `idempotency`. */
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** Lines for the changed fields, for example `rate: 10 -> 20`; empty unless `changed`. */
	readonly details: readonly string[];
};

type Fields = Readonly<Record<string, unknown>>;
/** Formats the change of one field as lines. */
type FieldFormatter = (name: string, before: unknown, after: unknown) => string[];

/** Returns the first eight hexadecimal digits of a key digest. */
export function shortenDigest(digest: string): string {
	return digest.slice(0, shortDigestLength);
}

function isEqual(left: unknown, right: unknown): boolean {
	return toCanonicalJson(left) === toCanonicalJson(right);
}

function diffValue(name: string, before: unknown, after: unknown): string[] {
	return [`${name}: ${JSON.stringify(before) ?? 'none'} -> ${JSON.stringify(after) ?? 'none'}`];
}

function diffKeyDigests(_name: string, before: unknown, after: unknown): string[] {
	const oldKeys = new Set(before as string[]);
	const newKeys = new Set(after as string[]);
	return [
		...[...oldKeys]
			.filter(key => !newKeys.has(key))
			.map(key => `key ${shortenDigest(key)} removed`),
		...[...newKeys].filter(key => !oldKeys.has(key)).map(key => `key ${shortenDigest(key)} added`),
	];
}

function diffTargets(_name: string, before: unknown, after: unknown): string[] {
	const indexById = (targets: unknown) =>
		new Map((targets as Array<Fields & {id: string}>).map(target => [target.id, target]));
	return diffEntries('service', indexById(before), indexById(after)).map(
		({name, change, details}) =>
			change === 'changed' ? `target ${name}: ${details.join(', ')}` : `target ${name} ${change}`,
	);
}

const fieldFormatters = new Map<string, FieldFormatter>([
	['keyDigests', diffKeyDigests],
	['targets', diffTargets],
]);

function diffFields(before: Fields, after: Fields): string[] {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...names]
		.filter(name => !isEqual(before[name], after[name]))
		.flatMap(name => (fieldFormatters.get(name) ?? diffValue)(name, before[name], after[name]));
}

function diffEntries(
	area: DifferenceArea,
	before: ReadonlyMap<string, Fields>,
	after: ReadonlyMap<string, Fields>,
): DocumentDifference[] {
	const differences: DocumentDifference[] = [];
	for (const [name, fields] of before) {
		const next = after.get(name);
		if (next === undefined) {
			differences.push({area, name, change: 'removed', details: []});
		} else if (!isEqual(fields, next)) {
			differences.push({area, name, change: 'changed', details: diffFields(fields, next)});
		}
	}

	for (const name of after.keys()) {
		if (!before.has(name)) {
			differences.push({area, name, change: 'added', details: []});
		}
	}

	return differences;
}

function entriesOf(fields: Readonly<Record<string, Fields>>): Map<string, Fields> {
	return new Map(Object.entries(fields));
}

/**
 * Reports a changed order of routes. The order matters: if several matching routes have equal
 * prefixes, the first one is used.
 */
function diffRouteOrder(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): DocumentDifference[] {
	const listSharedRouteIds = (document: ConfigurationDocument, other: ConfigurationDocument) => {
		const otherIds = new Set(other.routes.map(route => route.id));
		return document.routes.map(route => route.id).filter(id => otherIds.has(id));
	};

	const oldIds = listSharedRouteIds(before, after);
	const moved = listSharedRouteIds(after, before).find((id, index) => id !== oldIds[index]);
	return moved === undefined
		? []
		: [
				{
					area: 'route',
					name: moved,
					change: 'changed',
					details: ['the order of routes changes here'],
				},
			];
}

/**
 * Lists the differences other than the version, grouped by area. The list is empty if the documents
 * are equivalent. Takes time linear in the size of the documents.
 */
export function diffDocuments(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): DocumentDifference[] {
	const routesOf = (document: ConfigurationDocument) =>
		new Map<string, Fields>(document.routes.map(route => [route.id, route]));
	return [
		...diffEntries('fleet', new Map([['', before.fleet]]), new Map([['', after.fleet]])),
		...diffEntries(
			'failure domain',
			entriesOf(before.failureDomains),
			entriesOf(after.failureDomains),
		),
		...diffEntries('service', entriesOf(before.services), entriesOf(after.services)),
		...diffEntries('route', routesOf(before), routesOf(after)),
		...diffRouteOrder(before, after),
		...diffEntries('workspace', entriesOf(before.workspaces), entriesOf(after.workspaces)),
		...diffEntries(
			'idempotency',
			new Map([['', before.idempotency]]),
			new Map([['', after.idempotency]]),
		),
	];
}

/**
 * Formats differences as text with one line for each difference and an indented one for each
 * detail.
 */
export function formatDifferences(differences: readonly DocumentDifference[]): string {
	return differences
		.flatMap(({area, name, change, details}) => [
			`${area}${name === '' ? '' : ` ${name}`} ${change}`,
			...details.map(detail => `  ${detail}`),
		])
		.join('\n');
}
