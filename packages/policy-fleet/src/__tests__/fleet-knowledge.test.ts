/**
 * Guards against a process that takes itself for the whole fleet because it has heard of nobody, and
 * against one that waits for others although there are none.
 */
import {describe, expect, test} from '@jest/globals';
import {createFleetKnowledge} from '../fleet-knowledge.js';
import {createFleetRoster} from '../fleet-roster.js';

const self = {address: '10.0.0.4', failureDomain: 'north', startedAt: 1};
const other = {address: '10.0.0.1', failureDomain: 'north', startedAt: 1};

function create(seeds: readonly string[]) {
	const roster = createFleetRoster({self});
	return {
		roster,
		knowledge: createFleetKnowledge({self: self.address, seeds: () => seeds, roster}),
	};
}

describe('knowledge of the fleet', () => {
	test('however long no seed answers, nobody is known', () => {
		const {knowledge} = create(['10.0.0.1', '10.0.0.2']);
		expect([0, 3000, 60_000, 3_600_000].map(now => knowledge(now))).toEqual(
			Array.from({length: 4}, () => 'none'),
		);
	});

	test('after the first contact, the others become known within a time', () => {
		const {roster, knowledge} = create([other.address]);
		roster.recordMessageFrom(other, 9000);
		expect(knowledge(9100)).toBe('partial');
		roster.recordMessageFrom(other, 10_400);
		expect(knowledge(10_600)).toBe('whole');
	});

	test('an instance without seeds, or that is the only one, is the whole fleet', () => {
		expect(create([]).knowledge(0)).toBe('whole');
		expect(create([self.address]).knowledge(0)).toBe('whole');
	});

	test('a member that announces its stop leaves a known fleet', () => {
		const {roster, knowledge} = create([other.address]);
		roster.recordMessageFrom(other, 0);
		roster.remove(other, 5000);
		expect(knowledge(60_000)).toBe('whole');
	});
});
