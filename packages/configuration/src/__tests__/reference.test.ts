/**
 * Guards against a reference page of the configuration document that differs from the schema, as it
 * does when a field or a default is changed in only one of them.
 */
import {readFileSync} from 'node:fs';
import {expect, test} from '@jest/globals';
import {z} from 'zod';
import {checkConfiguration} from '../configuration-check.js';
import {digestKey} from '../key-digest.js';
import {documentSchema} from '../document-schema.js';
import {parseDocument} from '../parse-document.js';

type Schema = {
	readonly properties?: Readonly<Record<string, Schema>>;
	readonly additionalProperties?: Schema | boolean;
	readonly items?: Schema;
	readonly required?: readonly string[];
	readonly default?: unknown;
};

/** Text of the reference page. */
const reference = readFileSync(
	new URL('../../../../docs/configuration.md', import.meta.url),
	'utf8',
);

/** Lists `<section> <field> <default>` for each field of a schema and of its nested schemas. */
function listFields(schema: Schema, section: string): string[] {
	const fields = Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
		const path = section === 'document' ? name : `${section}.${name}`;
		const isRequired = schema.required?.includes(name);
		const defaultText = field.default === undefined ? 'optional' : JSON.stringify(field.default);
		return [
			`${section} ${name} ${isRequired ? 'required' : defaultText}`,
			...listFields(field, path),
		];
	});
	const entries = schema.additionalProperties;
	return [
		...fields,
		...(typeof entries === 'object' ? listFields(entries, `${section}.<name>`) : []),
		...(schema.items === undefined ? [] : listFields(schema.items, `${section}[]`)),
	];
}

/** Lists the rows of the tables in the reference as `<section> <field> <default>`. */
function listRows(): string[] {
	const rows: string[] = [];
	let section = '';
	for (const line of reference.split('\n')) {
		section = /^## (.*)$/.exec(line)?.[1]?.replace('\\', '') ?? section;
		const cells = line.split('|').map(cell => cell.trim());
		const field = /^`(\w+)`$/.exec(cells[1] ?? '')?.[1];
		if (field !== undefined) {
			rows.push(`${section} ${field} ${cells[3]!.replaceAll('`', '')}`);
		}
	}

	return rows;
}

test('the reference lists exactly the fields of the schema, with their defaults', () => {
	const schema = z.toJSONSchema(documentSchema, {io: 'input'}) as Schema;
	expect(listRows().sort()).toEqual(listFields(schema, 'document').sort());
});

test('the example in the reference is a valid document and has the digest of the key it names', () => {
	const example = /```json\n(.*?)\n```/s.exec(reference)![1]!;
	const document = parseDocument(JSON.parse(example));
	expect(document.workspaces['beach-north']!.keyDigests).toEqual([digestKey('example-key')]);
	expect(checkConfiguration({input: document}).findings).toEqual([]);
});
