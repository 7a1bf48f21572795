/**
 * Guards against an instance that runs with wrong addresses, ports or limits, because a field of
 * the platform's settings file was decoded with the wrong unit or an invalid field was accepted.
 */
import {describe, expect, test} from '@jest/globals';
import {decodeSettings} from '../platform-settings.js';
import {settingsFile as file} from './settings-file.js';

describe('settings file', () => {
	test.each([
		[true, true],
		[false, false],
		['true', false],
	])('a start with bootstrap %j is the first one: %s', (bootstrap, isFirstStart) => {
		const text = JSON.stringify({...file, self: {...file.self, bootstrap}});
		expect(decodeSettings(text)).toMatchObject({isFirstStart});
	});

	test('is decoded into the terms of the project, and unknown fields are ignored', () => {
		expect(decodeSettings(JSON.stringify(file))).toEqual({
			instance: 'front-north-1',
			isFirstStart: false,
			address: '10.1.0.24',
			failureDomain: 'north',
			failureDomains: ['north', 'south'],
			callers: {host: '10.1.0.24', port: 8045},
			readiness: {host: '10.1.0.24', port: 8048},
			internalPorts: [7100, 7115],
			seeds: ['10.1.0.24', '10.2.0.26'],
			store: {host: '10.200.1.7', port: 8041},
			revocationLimit: 5000,
			memory: 367_001_600,
			descriptors: 4100,
			stopLimit: 6000,
			floor: 0.8,
			retryBudget: {ratio: 0.2, reserve: 58, window: 10_000},
			rateBound: {window: 5000, excess: 0.25, slack: 20},
			coldBound: {excess: 1.5, slack: 8},
		});
	});

	test('without a floor from the platform the default floor applies', () => {
		const bounds = {...file.terms.bounds, floor_share: undefined};
		expect(decodeSettings(JSON.stringify({...file, terms: {bounds}})).floor).toBe(0.7);
	});

	test('one error names every invalid field', () => {
		const broken = {...file, self: {node: 'a', zone: 7}, terms: {bounds: {grace_s: -1}}};
		expect(() => decodeSettings(JSON.stringify(broken))).toThrow(
			/ip: must be a non-empty string; zone: must be a non-empty string; grace_s: must be a non-negative number/,
		);
	});

	test('a truncated file is rejected', () => {
		expect(() => decodeSettings(JSON.stringify(file).slice(0, 100))).toThrow('not JSON');
	});
});
