import {readFileSync} from 'node:fs';
import {expect, test} from '@jest/globals';
import {z} from 'zod';
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

const reference = readFileSync(
	new URL('../../../../docs/configuration.md', import.meta.url),
	'utf8',
);

/** Lists `<section> <field> <default>` of a schema and of all schemas inside it. */
function listFields(schema: Schema, section: string): string[] {
	const fields = Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
		const place = section === 'document' ? name : `${section}.${name}`;
		const isRequired = schema.required?.includes(name);
		const initial = field.default === undefined ? 'optional' : JSON.stringify(field.default);
		return [`${section} ${name} ${isRequired ? 'required' : initial}`, ...listFields(field, place)];
	});
	const entries = schema.additionalProperties;
	return [
		...fields,
		...(typeof entries === 'object' ? listFields(entries, `${section}.<name>`) : []),
		...(schema.items === undefined ? [] : listFields(schema.items, `${section}[]`)),
	];
}

/** Lists the rows of the tables in the same form. */
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

test('the reference names every field of the schema with its default, and no other', () => {
	const schema = z.toJSONSchema(documentSchema, {io: 'input'}) as Schema;
	expect(listRows().sort()).toEqual(listFields(schema, 'document').sort());
});

test('the example of the reference is a valid document with the key that it names', () => {
	const example = /```json\n(.*?)\n```/s.exec(reference)![1]!;
	const document = parseDocument(JSON.parse(example));
	expect(document.workspaces['beach-north']!.keyDigests).toEqual([digestKey('example-key')]);
});
