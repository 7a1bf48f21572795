/**
 * Guards against look-ups that find another route than the longest matching prefix, and against
 * paths that take processor time out of proportion to their length: callers without a key choose
 * them.
 */
import {expect, jest, test} from '@jest/globals';
import fc from 'fast-check';
import {documentSchema} from '../document-schema.js';
import {createLookupTables} from '../lookup-tables.js';

function tablesOf(prefixes: readonly string[]) {
	return createLookupTables(
		documentSchema.parse({
			version: 1,
			fleet: {maxInstances: 1},
			failureDomains: {},
			services: {roster: {slots: 1, targets: []}},
			routes: prefixes.map((pathPrefix, index) => ({
				id: `r${index}`,
				pathPrefix,
				service: 'roster',
			})),
			workspaces: {},
		}),
	);
}

/** The longest prefix that matches whole segments, tried one by one. */
function longestMatch(prefixes: readonly string[], path: string): string | undefined {
	return prefixes
		.filter(prefix => {
			const isWhole = prefix.endsWith('/') || path.length === prefix.length;
			return path.startsWith(prefix) && (isWhole || path[prefix.length] === '/');
		})
		.sort((first, second) => second.length - first.length)[0];
}

test('the route with the longest prefix of whole segments is found', () => {
	const pathOf = fc
		.array(fc.constantFrom('a', 'b', '/', '//', 'aa'), {maxLength: 8})
		.map(parts => `/${parts.join('')}`);
	fc.assert(
		fc.property(fc.uniqueArray(pathOf, {minLength: 1, maxLength: 12}), pathOf, (prefixes, path) => {
			const route = tablesOf(prefixes).findRoute({host: 'a', path, method: 'GET'});
			expect(route?.pathPrefix).toBe(longestMatch(prefixes, path));
		}),
	);
});

// Each prefix of the path was looked up, and hashed over its whole length.
test.each([
	['slashes', '/'.repeat(8000)],
	['segments', '/a'.repeat(4000)],
])('a long path of %s costs no more look-ups than there are lengths of prefixes', (_what, path) => {
	const tables = tablesOf(['/', '/rota/', '/swap/', '/handbook/']);
	const get = jest.spyOn(Map.prototype, 'get');
	try {
		expect(tables.findRoute({host: 'a', path, method: 'GET'})?.pathPrefix).toBe('/');
		expect(get.mock.calls.length).toBeLessThanOrEqual(3);
	} finally {
		get.mockRestore();
	}
});
