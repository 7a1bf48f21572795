/**
 * Guards against configuration changes that do harm: a patch that overwrites the change of another
 * operator or modifies the prototype of all objects, a document that is joined from wrong parts, a
 * key digest that an error or a diff prints, and code that is too slow for a large document.
 */
import process from 'node:process';
import {describe, expect, test} from '@jest/globals';
import {type ConfigurationError} from '../configuration-error.js';
import {applyPatch} from '../configuration-patch.js';
import {diffDocuments, formatDifferences} from '../document-diff.js';
import {digestDocument, toCanonicalJson} from '../document-digest.js';
import {joinDocument, parseManifest, splitDocument} from '../document-manifest.js';
import {digestKey} from '../key-digest.js';
import {createLookupTables} from '../lookup-tables.js';
import {parseDocument} from '../parse-document.js';

const target = (id: string, failureDomain = 'north') => ({
	id,
	address: '127.0.0.1:9001',
	failureDomain,
});

const document = parseDocument({
	version: 7,
	fleet: {maxInstances: 48},
	failureDomains: {north: {}, south: {}},
	services: {roster: {targets: [target('r1'), target('r2', 'south')], slots: 4}},
	routes: [
		{id: 'all', pathPrefix: '/', service: 'roster'},
		{id: 'open', pathPrefix: '/', service: 'roster', open: true},
	],
	workspaces: {beach: {rate: 10, burst: 5, keyDigests: [digestKey('k1')]}},
});

function errorOf(action: () => unknown): ConfigurationError {
	try {
		action();
	} catch (error) {
		return error as ConfigurationError;
	}

	throw new Error('no error');
}

const patchWith = (patch: unknown, base = 7) => applyPatch({document, base, patch});

describe('applyPatch', () => {
	test('a patch returns the next version and does not modify the current document', () => {
		const before = toCanonicalJson(document);
		const next = patchWith([{op: 'replace', path: '/failureDomains/south/state', value: 'out'}]);
		expect(next).toMatchObject({version: 8, failureDomains: {south: {state: 'out'}}});
		expect(toCanonicalJson(document)).toBe(before);
	});

	test.each([6, 8])(
		'a patch against version %i is refused, and the error names both versions',
		base => {
			const error = errorOf(() => patchWith([{op: 'remove', path: '/workspaces/beach'}], base));
			expect(error.code).toBe('stale-patch');
			expect(error.message).toMatch(new RegExp(`version ${base}, .*version is 7`));
		},
	);

	test.each([
		'/__proto__/polluted',
		'/workspaces/__proto__/polluted',
		'/constructor/prototype/polluted',
		'/workspaces/beach/constructor',
	])('the path %s is refused, so that a patch cannot pollute a prototype', path => {
		for (const operation of [
			{op: 'add', path, value: 1},
			{op: 'copy', path: '/workspaces/x', from: path},
		]) {
			const error = errorOf(() => patchWith([operation]));
			expect(error.code).toBe('invalid-patch');
			expect(error.message).toContain('prototype');
		}

		expect(Object.hasOwn(Object.prototype, 'polluted')).toBe(false);
	});

	test.each([
		[[], 'invalid-patch'],
		[undefined, 'invalid-patch'],
		[[{op: 'increment', path: '/fleet'}], 'invalid-patch'],
		[[{op: 'add', path: 'fleet', value: 1}], 'invalid-patch'],
		[[{op: 'replace', path: '/version', value: 3}], 'invalid-patch'],
		[[{op: 'replace', path: '/workspaces/none/rate', value: 3}], 'invalid-patch'],
		[[{op: 'test', path: '/workspaces/beach/rate', value: 3}], 'invalid-patch'],
		[[{op: 'replace', path: '', value: 3}], 'invalid-patch'],
		[[{op: 'replace', path: '/workspaces/beach/rate', value: -1}], 'invalid-document'],
		[[{op: 'remove', path: '/services/roster'}], 'invalid-document'],
	])('the patch %j is refused as a whole (%s)', (patch, code) => {
		const error = errorOf(() => patchWith(patch));
		expect(error.code).toBe(code);
		expect(error.message).not.toContain('keyDigests');
	});

	test('errors of the patch library do not expose the document in messages', () => {
		const error = errorOf(() => patchWith([{op: 'remove', path: '/workspaces/none'}]));
		expect(error.message).not.toContain(digestKey('k1'));
	});
});

describe('digest and manifest', () => {
	test('the digest depends on the values of fields, but not on their order', () => {
		const {version, ...rest} = document;
		expect(digestDocument({...rest, version})).toBe(digestDocument(document));
		expect(digestDocument({...rest, version: 8})).not.toBe(digestDocument(document));
	});

	test('parts are joined only if they are complete, unmodified and in order', () => {
		const {manifest, parts} = splitDocument(document, 100);
		expect(parts.length).toBeGreaterThan(5);
		expect(joinDocument(parseManifest(manifest), parts)).toEqual(document);
		expect(manifest.digest).toBe(digestDocument(document));
		for (const broken of [
			parts.slice(1),
			[parts[1]!, parts[0]!, ...parts.slice(2)],
			[new Uint8Array(100), ...parts.slice(1)],
		]) {
			expect(errorOf(() => joinDocument(manifest, broken)).code).toBe('digest-mismatch');
		}

		for (const wrong of [{version: 8}, {digest: '0'.repeat(64)}]) {
			const error = errorOf(() => joinDocument({...manifest, ...wrong}, parts));
			expect(error.code).toBe('digest-mismatch');
		}

		const oversized = {...manifest, parts: [{...manifest.parts[0]!, size: 1_000_001}]};
		expect(() => parseManifest(oversized)).toThrow('manifest.parts[0].size');
	});
});

describe('diffDocuments', () => {
	test('the differences list every change, but never a complete key digest', () => {
		const next = patchWith([
			{op: 'replace', path: '/failureDomains/south/state', value: 'out'},
			{op: 'replace', path: '/services/roster/slots', value: 2},
			{op: 'remove', path: '/services/roster/targets/1'},
			{op: 'add', path: '/services/roster/targets/-', value: target('r3')},
			{op: 'replace', path: '/services/roster/targets/0/failureDomain', value: 'south'},
			{op: 'move', path: '/routes/1', from: '/routes/0'},
			{op: 'replace', path: '/workspaces/beach/keyDigests', value: [digestKey('k2')]},
			{op: 'add', path: '/workspaces/pier', value: {rate: 1, burst: 1, keyDigests: []}},
		]);
		const text = formatDifferences(diffDocuments(document, next));
		expect(text.split('\n')).toEqual([
			'failure domain south changed',
			'  state: "in" -> "out"',
			'service roster changed',
			'  target r1: failureDomain: "north" -> "south"',
			'  target r2 removed',
			'  target r3 added',
			'  slots: 4 -> 2',
			'route open changed',
			'  the order of routes changes here',
			'workspace beach changed',
			`  key ${digestKey('k1').slice(0, 8)} removed`,
			`  key ${digestKey('k2').slice(0, 8)} added`,
			'workspace pier added',
		]);
		expect(text).not.toMatch(/[\da-f]{9}/);
		expect(diffDocuments(document, {...document, version: 8})).toEqual([]);
	});
});

describe('planned size', () => {
	/** Creates 240 services with 9,200 targets, 4,000 routes and 44,000 workspaces. */
	const createLargeInput = () => {
		const names = (count: number, prefix: string) =>
			Array.from({length: count}, (_, index) => `${prefix}${index}`);
		const services = names(240, 'service-').map((name, service) => [
			name,
			{
				slots: 4,
				targets: names(service < 80 ? 39 : 38, `${name}-t`).map((id, index) => ({
					id,
					address: `10.${service}.0.${index}:9000`,
					failureDomain: `domain-${index % 7}`,
				})),
			},
		]);
		return {
			version: 1,
			fleet: {maxInstances: 800},
			failureDomains: Object.fromEntries(names(7, 'domain-').map(name => [name, {}])),
			services: Object.fromEntries(services) as Record<string, {targets: unknown[]}>,
			routes: names(4000, 'route-').map((id, index) => ({
				id,
				pathPrefix: `/${id}`,
				service: `service-${index % 240}`,
			})),
			workspaces: Object.fromEntries(
				names(44_000, 'workspace-').map(name => [
					name,
					{rate: 10, burst: 20, keyDigests: [digestKey(name)]},
				]),
			),
		};
	};

	/** Limit for all steps together. Code quadratic in the workspaces would take minutes. */
	const maxCpuSeconds = 20;

	test('a document of the planned size is parsed, split, patched and indexed in bounded CPU time', () => {
		const input = createLargeInput();
		const counts = Object.values(input.services).map(service => service.targets.length);
		expect(counts.reduce((sum, count) => sum + count, 0)).toBe(9200);
		const measurements: Record<string, string> = {};
		let totalSeconds = 0;
		const measure = <Result>(name: string, action: () => Result): Result => {
			const before = process.cpuUsage();
			const result = action();
			const {user, system} = process.cpuUsage(before);
			const seconds = (user + system) / 1e6;
			totalSeconds += seconds;
			measurements[name] = `${seconds.toFixed(3)} s CPU`;
			return result;
		};

		const large = measure('parse', () => parseDocument(input));
		const tables = measure('lookup tables', () => createLookupTables(large));
		const split = measure('split', () => splitDocument(large));
		measure('join', () => joinDocument(split.manifest, split.parts));
		measure('digest', () => digestDocument(large));
		const next = measure('patch', () =>
			applyPatch({
				document: large,
				base: 1,
				patch: [{op: 'replace', path: '/workspaces/workspace-5/rate', value: 1}],
			}),
		);
		expect(measure('diff', () => diffDocuments(large, next))).toHaveLength(1);
		measurements.bytes = String(split.parts.reduce((sum, part) => sum + part.length, 0));
		measurements.parts = String(split.parts.length);
		console.info('planned size', measurements);
		expect(tables.findWorkspace('workspace-43999')).toBe('workspace-43999');
		expect(tables.findRoute({host: 'h', path: '/route-3999/a', method: 'GET'})?.id).toBe(
			'route-3999',
		);
		expect(tables.findTarget('service-239-t37')).toBeDefined();
		expect(totalSeconds).toBeLessThan(maxCpuSeconds);
	});
});
