/**
 * Guards against a load that narrows to a few targets without being noticed: a target that no
 * instance uses any longer has no failures either, so by its health alone it looks like a target in
 * use.
 */
import {describe, expect, test} from '@jest/globals';
import {minTargetsInUse, countTargetsInUse} from '../targets-in-use.js';
import {type KnownTarget} from '../target-directory.js';
import {createTargetIdleTimes} from '../target-idle-times.js';

function target(incarnation: string, listedAt = 0): KnownTarget {
	return {
		definition: {id: incarnation, address: '10.0.0.1:80', failureDomain: 'north'},
		incarnation,
		service: 'roster',
		slots: 4,
		coldUntil: 0,
		listedAt,
	};
}

describe('idle times of targets', () => {
	test('a target without requests counts as unused since it was listed', () => {
		const idleTimes = createTargetIdleTimes();
		expect(idleTimes.unusedFor(target('a@1', 1000), 3500)).toBe(2500);
		idleTimes.recordUse('a@1', 3000);
		expect(idleTimes.unusedFor(target('a@1', 1000), 3500)).toBe(500);
	});

	test('targets without a request in the window do not count as in use', () => {
		const idleTimes = createTargetIdleTimes();
		idleTimes.recordUse('a@1', 9000);
		idleTimes.recordUse('b@1', 7000);
		const targets = [target('a@1'), target('b@1'), target('c@1', 9500)];
		const unusedFor = (item: KnownTarget) => idleTimes.unusedFor(item, 10_000);
		const {usable, inUse, unused} = countTargetsInUse({targets, unusedFor});
		expect({usable, inUse}).toEqual({usable: 3, inUse: 2});
		expect(unused.map(({incarnation}) => incarnation)).toEqual(['b@1']);
	});

	test('the floor is rounded up, so that the fraction in use never falls below it', () => {
		expect(minTargetsInUse(0.7, 8)).toBe(6);
		expect(minTargetsInUse(0.7, 1)).toBe(1);
	});
});
