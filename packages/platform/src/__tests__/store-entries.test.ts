/**
 * Guards against targets, routes, keys and limits that are decoded wrongly from the values of the
 * platform's store, and against invalid values that are accepted.
 */
import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {createLookupTables} from '@shallotpond/configuration/lookup-tables';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {decodeConfiguration, decodeTarget} from '../store-entries.js';

const encode = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

const target = {
	address: '10.128.0.9:8080',
	info: {service: 'huvo11a', version: 'v1', zone: 'north', slots: 4},
	status: {state: 'ready', sequence: 4, cold_remaining_ms: 700},
	born: 1_764_850_000_000,
};

const configuration = {
	version: 'r12',
	base_version: 'r9',
	routes: [
		{
			name: 'r-1',
			host: 'Hulo84.example',
			prefix: '/leny950/',
			kind: 'safe',
			timeout_ms: 2500,
			target_latency_ms: 1200,
			priority: 2,
			max_attempts: 2,
			public: false,
			traffic_split: [
				{service: 'huvo11a', weight: 90},
				{service: 'lovo22d', weight: 10},
			],
		},
		{
			name: 'r-2',
			host: 'jepu9.example',
			prefix: '/puka111/',
			kind: 'unsafe',
			timeout_ms: 3000,
			service: 'lovo22d',
		},
	],
	services: [
		{name: 'huvo11a', max_connections: 330, cold_s: 3, cold_per_s: 10, health_path: '/health'},
		{name: 'lovo22d', max_connections: 330},
	],
	limits: {header_timeout_ms: 3000, idle_timeout_ms: 15_000},
	tenants: [
		{name: 'cuka620', api_keys: ['nn2ctnfzs989anu6wsjn'], priority: 1, rate_per_s: 37, burst: 40},
		{name: 'free', api_keys: [], rate_per_s: 0},
	],
};

describe('targets in the store', () => {
	test('an entry is decoded into the terms of the project', () => {
		expect(decodeTarget('servers/i-7', encode(target))).toEqual({
			id: 'i-7',
			startTime: 1_764_850_000_000,
			service: 'huvo11a',
			address: '10.128.0.9:8080',
			failureDomain: 'north',
			slots: 4,
			state: 'ready',
			coldFor: 700,
			sequence: 4,
		});
	});

	test.each([
		['an unknown state', {...target, status: {...target.status, state: 'dancing'}}],
		['no status', {...target, status: undefined}],
		['an address of another type', {...target, address: 17}],
		['an invalid address', {...target, address: 'nowhere'}],
		['slots of another type', {...target, info: {...target.info, slots: 'four'}}],
		['a port out of range', {...target, address: '10.128.0.9:65536'}],
		['port 0', {...target, address: '10.128.0.9:0'}],
		['an octet out of range', {...target, address: '10.128.0.999:80'}],
		['slots beyond any process', {...target, info: {...target.info, slots: 1e300}}],
		['half a slot', {...target, info: {...target.info, slots: 0.5}}],
		['a sequence beyond 2^53', {...target, status: {...target.status, sequence: 2 ** 60}}],
		['a fraction as sequence', {...target, status: {...target.status, sequence: 1.5}}],
		['a cold time without end', {...target, status: {...target.status, cold_remaining_ms: 1e300}}],
		['a negative cold time', {...target, status: {...target.status, cold_remaining_ms: -1}}],
		['a start that is no time', {...target, born: 1e17}],
		['a start of another type', {...target, born: 'today'}],
		['a fraction as start', {...target, born: 1.5}],
		['a list', [target]],
		['nothing', null],
	])('an invalid entry (%s) is rejected', (_what, value) => {
		expect(() => decodeTarget('servers/i-7', encode(value))).toThrow();
	});

	test.each(['servers/', 'servers/a b', 'servers/a\r\nX: b', 'servers/\u00E9', 'servers/a\0'])(
		'the key %j, whose id cannot be sent in a header, is rejected',
		key => {
			expect(() => decodeTarget(key, encode(target))).toThrow('the id is not');
		},
	);

	test.each([
		['nested brackets', '['.repeat(1_000_000)],
		['nested lists', '['.repeat(500_000) + ']'.repeat(500_000)],
		['nested objects', '{"info":'.repeat(100_000) + '1' + '}'.repeat(100_000)],
		['a prototype key', '{"__proto__":{"address":"10.0.0.1:80"},"info":{},"status":{}}'],
		['a number that overflows', '{"address":"10.0.0.1:80","born":1e999}'],
	])('an entry with %s is rejected with an error of the platform', (_what, text) => {
		const value = Buffer.from(text).toString('base64');
		expect(() => decodeTarget('servers/i-7', value)).toThrow(PlatformError);
	});

	test('the last of duplicate fields counts', () => {
		const text = JSON.stringify(target).replace('{', '{"address":"nowhere",');
		const value = Buffer.from(text).toString('base64');
		expect(decodeTarget('servers/i-7', value).address).toBe(target.address);
	});

	test('bytes that are not text are rejected', () => {
		expect(() => decodeTarget('servers/i-7', '/////w==')).toThrow('the value is not JSON');
	});
});

describe('configuration in the store', () => {
	const floor = 0.8;
	const {document} = decodeConfiguration(encode(configuration), floor);
	const tables = createLookupTables({...document, failureDomains: {north: {state: 'in'}}});

	test('versions are decoded as numbers', () => {
		expect(document.version).toBe(12);
		expect(() => decodeConfiguration(encode({...configuration, version: '12'}), floor)).toThrow();
	});

	test('routes are found by host and prefix, and their kind determines what may be repeated', () => {
		const query = {host: 'hulo84.example', path: '/leny950/2f', method: 'GET'};
		const route = tables.findRoute(query);
		expect(route).toMatchObject({id: 'r-1', attempts: 2, timeout: 2500, open: false});
		expect(route?.split).toHaveLength(2);
		expect(route?.idempotentMethods).toContain('GET');
		const unsafe = tables.findRoute({host: 'jepu9.example', path: '/puka111/x', method: 'POST'});
		expect(unsafe?.idempotentMethods).toEqual([]);
		expect(tables.findRoute({...query, path: '/leny9501'})).toBeUndefined();
	});

	test('only digests of the keys are kept', () => {
		expect(tables.findWorkspace('nn2ctnfzs989anu6wsjn')).toBe('cuka620');
		expect(JSON.stringify(document)).not.toContain('nn2ctnfzs989anu6wsjn');
		expect(document.workspaces.cuka620!.keyDigests).toEqual([digestKey('nn2ctnfzs989anu6wsjn')]);
	});

	test('a rate of 0 or a missing rate means no limit', () => {
		expect(document.workspaces.cuka620).toMatchObject({rate: 37, burst: 40, priority: 1});
		expect(document.workspaces.free!.rate).toBeGreaterThan(1_000_000);
	});

	test('cold targets get the rate and the time that the service specifies', () => {
		expect(document.services.huvo11a).toMatchObject({coldRate: 10, coldTime: 3000});
	});

	test('the floor of the settings applies to every service', () => {
		expect(document.services.huvo11a).toMatchObject({floor});
	});

	test('without workspaces every route is open', () => {
		const open = decodeConfiguration(encode({...configuration, tenants: undefined}), floor);
		expect(open.document.routes.every(route => route.open)).toBe(true);
	});
});
