/**
 * Guards against requests to targets that are leaving or have lost their address to another
 * process, against taking a restarted target for the earlier one, and against dropping live targets
 * whose entries expired only because they could not check in during an outage of the platform.
 */
import {beforeEach, describe, expect, test} from '@jest/globals';
import {
	createTargetDirectory,
	type ListedTarget,
	type TargetDirectory,
} from '../target-directory.js';

const listed: ListedTarget = {
	id: 'a',
	startTime: 100,
	service: 'swaps',
	address: '10.0.0.1:80',
	failureDomain: 'north',
	slots: 4,
	state: 'ready',
	coldFor: 0,
};

describe('directory of targets', () => {
	let directory: TargetDirectory;

	beforeEach(() => {
		directory = createTargetDirectory();
		directory.addOrUpdate(listed, 0);
	});

	const usable = (now: number) =>
		directory.usable('swaps', now).map(({incarnation}) => incarnation);

	test('a leaving target gets no new requests', () => {
		directory.addOrUpdate({...listed, state: 'leaving'}, 10);
		expect(usable(10)).toEqual([]);
	});

	test('a restart under the same id is a different target', () => {
		directory.addOrUpdate({...listed, startTime: 200}, 10);
		expect(usable(10)).toEqual(['a@200']);
	});

	test('an entry that expired during an outage is kept until live targets can be listed again', () => {
		directory.replace([], 1900, 1000);
		expect(usable(2800)).toEqual(['a@100']);
		expect(usable(2901)).toEqual([]);
		directory.addOrUpdate(listed, 3000);
		expect(usable(3000)).toEqual(['a@100']);
	});

	test('a second snapshot does not extend the grace period of a missing entry', () => {
		directory.replace([], 1900, 1000);
		directory.replace([], 1900, 2500);
		expect(usable(2901)).toEqual([]);
	});

	test('without an outage a missing entry is removed at once', () => {
		directory.replace([], 0, 1000);
		expect(usable(1000)).toEqual([]);
	});

	test('a target that may have restarted stays cold although its entry is outdated', () => {
		directory.markCold('a', 3000, 1000);
		directory.addOrUpdate(listed, 2000);
		expect(directory.find('a')?.coldUntil).toBe(4000);
	});

	test('all targets of a failure domain that returns are cold, and those of other domains are not', () => {
		directory.addOrUpdate({...listed, id: 'b', failureDomain: 'south'}, 0);
		directory.markDomainCold('south', () => 3000, 1000);
		expect(directory.find('b')?.coldUntil).toBe(4000);
		expect(directory.find('a')?.coldUntil).toBe(0);
	});

	test('a target whose address another process uses gets no requests until it has a new address', () => {
		directory.markMisdirected('a');
		expect(usable(0)).toEqual([]);
		directory.addOrUpdate({...listed, coldFor: 10}, 10);
		expect(usable(10)).toEqual([]);
		directory.addOrUpdate({...listed, address: '10.0.0.2:80'}, 20);
		expect(usable(20)).toEqual(['a@100']);
	});
});
