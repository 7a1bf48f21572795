/**
 * Differences between two documents in the words of operators. Key digests are shortened: eight
 * digits tell keys apart and are of no use to anyone who looks for a key.
 */
import {toCanonicalJson} from './document-digest.js';
import {type ConfigurationDocument} from './document-schema.js';

const shownDigestDigits = 8;

export type DifferenceArea =
	'fleet' | 'failure domain' | 'service' | 'route' | 'workspace' | 'idempotency';

export type DocumentDifference = {
	readonly area: DifferenceArea;
	/** Name or id; empty for `fleet` and `idempotency`. */
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** One line per changed field, for example `rate: 10 -> 20`; empty unless changed. */
	readonly details: readonly string[];
};

type Fields = Readonly<Record<string, unknown>>;
/** Describes the change of one field in lines. */
type FieldDifference = (name: string, before: unknown, after: unknown) => string[];

/** The first eight digits of a key digest. */
export function shortenDigest(digest: string): string {
	return digest.slice(0, shownDigestDigits);
}

function isSame(left: unknown, right: unknown): boolean {
	return toCanonicalJson(left) === toCanonicalJson(right);
}

function diffValue(name: string, before: unknown, after: unknown): string[] {
	return [`${name}: ${JSON.stringify(before) ?? 'none'} -> ${JSON.stringify(after) ?? 'none'}`];
}

function diffKeyDigests(_name: string, before: unknown, after: unknown): string[] {
	const old = new Set(before as string[]);
	const fresh = new Set(after as string[]);
	return [
		...[...old].filter(key => !fresh.has(key)).map(key => `key ${shortenDigest(key)} removed`),
		...[...fresh].filter(key => !old.has(key)).map(key => `key ${shortenDigest(key)} added`),
	];
}

function diffTargets(_name: string, before: unknown, after: unknown): string[] {
	const byId = (targets: unknown) =>
		new Map((targets as Array<Fields & {id: string}>).map(target => [target.id, target]));
	return diffEntries('service', byId(before), byId(after)).map(({name, change, details}) =>
		change === 'changed' ? `target ${name}: ${details.join(', ')}` : `target ${name} ${change}`,
	);
}

const fieldDifferences = new Map<string, FieldDifference>([
	['keyDigests', diffKeyDigests],
	['targets', diffTargets],
]);

function diffFields(before: Fields, after: Fields): string[] {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...names]
		.filter(name => !isSame(before[name], after[name]))
		.flatMap(name => (fieldDifferences.get(name) ?? diffValue)(name, before[name], after[name]));
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
		} else if (!isSame(fields, next)) {
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

function toEntries(fields: Readonly<Record<string, Fields>>): Map<string, Fields> {
	return new Map(Object.entries(fields));
}

/** Among routes with equal prefixes the first one wins, so their order is part of their meaning. */
function diffRouteOrder(
	before: ConfigurationDocument,
	after: ConfigurationDocument,
): DocumentDifference[] {
	const idsIn = (document: ConfigurationDocument, other: ConfigurationDocument) => {
		const others = new Set(other.routes.map(route => route.id));
		return document.routes.map(route => route.id).filter(id => others.has(id));
	};

	const old = idsIn(before, after);
	const moved = idsIn(after, before).find((id, index) => id !== old[index]);
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
 * Lists what differs apart from the version, grouped by area. An empty list means that the
 * documents mean the same. The cost is linear in the size of the documents.
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
			toEntries(before.failureDomains),
			toEntries(after.failureDomains),
		),
		...diffEntries('service', toEntries(before.services), toEntries(after.services)),
		...diffEntries('route', routesOf(before), routesOf(after)),
		...diffRouteOrder(before, after),
		...diffEntries('workspace', toEntries(before.workspaces), toEntries(after.workspaces)),
		...diffEntries(
			'idempotency',
			new Map([['', before.idempotency]]),
			new Map([['', after.idempotency]]),
		),
	];
}

/** Writes differences as indented text, one line per entry and per detail. */
export function formatDifferences(differences: readonly DocumentDifference[]): string {
	return differences
		.flatMap(({area, name, change, details}) => [
			`${area}${name === '' ? '' : ` ${name}`} ${change}`,
			...details.map(detail => `  ${detail}`),
		])
		.join('\n');
}
