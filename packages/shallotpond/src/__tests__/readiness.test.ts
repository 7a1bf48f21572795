/**
 * Guards against a load balancer that sends callers to an instance on the smaller side of a network
 * partition, against a fleet that takes all its instances out because no larger side exists, and
 * against a reason that misleads operators.
 */
import {describe, expect, test} from '@jest/globals';
import {decideReadiness, type ReadinessInput} from '../readiness.js';

const readyInput: ReadinessInput = {
	isStopping: false,
	hasConfiguration: true,
	canLend: true,
	isIsolated: false,
	members: 40,
	listedLive: 40,
	maxInstances: 48,
};
const reasonOf = (changes: Partial<ReadinessInput>) =>
	decideReadiness({...readyInput, ...changes}).reason;

describe('readiness', () => {
	test('a minority is not ready while the platform lists a majority, which can serve the callers', () => {
		expect(reasonOf({members: 12})).toBe('cut off from most of the fleet');
		expect(reasonOf({members: 36})).toBe('ready');
	});

	test('instances stay ready if the whole fleet is small or is split in half', () => {
		expect(reasonOf({members: 20, listedLive: 20})).toBe('ready');
		expect(reasonOf({members: 24, listedLive: 48})).toBe('ready');
		expect(reasonOf({members: 1, listedLive: 2, maxInstances: 2})).toBe('ready');
	});

	test('only the first obstacle is reported, so that a stop is not mistaken for a fault', () => {
		expect(reasonOf({isStopping: true, isIsolated: true})).toBe('stopping');
		expect(reasonOf({hasConfiguration: false, canLend: false})).toBe('no configuration yet');
		expect(reasonOf({canLend: false})).toContain('earlier process');
		expect(reasonOf({isIsolated: true})).toContain('neither');
	});
});
