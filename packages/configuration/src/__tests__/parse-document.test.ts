/**
 * Guards against invalid documents that are adopted (a misspelled field, an address or a reference
 * that leads nowhere, a key with two workspaces), and against lookups that return the wrong route
 * or workspace for a request.
 */
import {describe, expect, test} from '@jest/globals';
import {type ConfigurationError} from '../configuration-error.js';
import {digestKey} from '../key-digest.js';
import {createLookupTables} from '../lookup-tables.js';
import {parseDocument} from '../parse-document.js';

function createInput() {
	return {
		version: 1,
		fleet: {maxInstances: 48},
		failureDomains: {north: {}, south: {state: 'out'}},
		services: {
			roster: {targets: [{id: 'r1', address: '127.0.0.1:9001', failureDomain: 'north'}], slots: 4},
		},
		routes: [
			{id: 'all', pathPrefix: '/', service: 'roster'},
			{id: 'shifts', pathPrefix: '/shifts', service: 'roster', methods: ['GET']},
			{id: 'other-host', pathPrefix: '/shifts/own', service: 'roster', hosts: ['a.example']},
		],
		workspaces: {beach: {rate: 10, burst: 5, keyDigests: [digestKey('k1')]}},
	};
}

function problemsOf(input: unknown): readonly string[] {
	try {
		parseDocument(input);
	} catch (error) {
		return (error as ConfigurationError).problems;
	}

	return [];
}

describe('parseDocument', () => {
	test('missing optional fields get their defaults', () => {
		const document = parseDocument(createInput());
		expect(document.services.roster).toMatchObject({floor: 0.7, shardSize: 4, coldSlots: 1});
		expect(document.failureDomains.north?.state).toBe('in');
	});

	test('a misspelled field and an invalid value are both reported with their paths', () => {
		const input = createInput();
		Object.assign(input.routes[1]!, {timeout: 0, timeuot: 5});
		const problems = problemsOf(input).join('\n');
		expect(problems).toContain('routes[1].timeout: ');
		expect(problems).toContain('timeuot');
	});

	// Guards against a target in the configuration that cannot be reached.
	test.each([
		['127.0.0.1:1', true],
		['[::1]:65535', true],
		['127.0.0.256:80', false],
		['127.0.0.1:0', false],
		['127.0.0.1:65536', false],
		['[::g]:80', false],
		['::1:80', false],
		['[127.0.0.1]:80', false],
		['localhost:80', false],
	])('%s is accepted as the address of a target: %s', (...example) => {
		const [address, isAccepted] = example;
		const input = createInput();
		input.services.roster.targets[0]!.address = address;
		expect(problemsOf(input).length === 0).toBe(isAccepted);
	});

	test('references to missing services and failure domains are refused', () => {
		const input = createInput();
		input.routes[0]!.service = 'absent';
		input.services.roster.targets[0]!.failureDomain = 'west';
		expect(problemsOf(input)).toEqual([
			'services.roster.targets[0].failureDomain: "west" is not in failureDomains',
			'routes[0].service: "absent" is not in services',
		]);
	});

	test('one key for two workspaces is refused, because a request must belong to exactly one', () => {
		const input = createInput();
		Object.assign(input.workspaces, {copy: {...input.workspaces.beach}});
		expect(problemsOf(input)[0]).toContain('the same key belongs to workspace "beach"');
	});
});

describe('createLookupTables', () => {
	test('the longest prefix of whole segments wins among the routes that match host and method', () => {
		const tables = createLookupTables(parseDocument(createInput()));
		const idOf = (path: string, method = 'GET', host = 'b.example') =>
			tables.findRoute({host, path, method})?.id;
		expect(idOf('/shifts/own')).toBe('shifts');
		expect(idOf('/shifts/own', 'GET', 'a.example')).toBe('other-host');
		expect(idOf('/shiftsx')).toBe('all');
		expect(idOf('/shifts', 'POST')).toBe('all');
	});

	test('a key leads to its workspace, and an unknown key to none', () => {
		const tables = createLookupTables(parseDocument(createInput()));
		expect(tables.findWorkspace('k1')).toBe('beach');
		expect(tables.findWorkspace('k2')).toBeUndefined();
		expect(tables.isDomainActive('south')).toBe(false);
	});
});
