/**
 * Guards against requests to a target that said it is leaving, or that asked for a pause, and
 * against a notice that outlives the process that it belongs to or takes a service out for good.
 */
import {expect, test} from '@jest/globals';
import {createTargetNotices, maxHoldOffMs} from '../target-notices.js';

const leaving = {isLeaving: true, holdOff: undefined};
const pause = (holdOff: number) => ({isLeaving: false, holdOff});
const create = () => createTargetNotices({leavingRetention: 60_000});

test('a leaving target is closed until its retention ends, and reported for a few seconds', () => {
	const notices = create();
	expect(notices.record('a@1', leaving, 1000)).toEqual({
		isNewlyLeaving: true,
		isNewlyHeldOff: false,
	});
	expect(notices.record('a@1', leaving, 1500).isNewlyLeaving).toBe(false);
	expect([notices.isOpen('a@1', 1500), notices.isOpen('a@2', 1500)]).toEqual([false, true]);
	expect(notices.recentlyLeaving(3400)).toEqual(['a@1']);
	expect(notices.recentlyLeaving(3600)).toEqual([]);
	notices.prune(61_400);
	expect(notices.isOpen('a@1', 61_400)).toBe(false);
	expect(notices.isOpen('a@1', 61_500)).toBe(true);
});

test('what others report closes a target and is not reported again', () => {
	const notices = create();
	notices.mergeLeaving(['a@1'], 1000);
	expect(notices.isLeaving('a@1', 1000)).toBe(true);
	expect(notices.recentlyLeaving(1000)).toEqual([]);
});

test('a pause ends when the target said, and a shorter one does not end a longer one', () => {
	const notices = create();
	notices.record('a@1', pause(2500), 1000);
	notices.record('a@1', pause(100), 1200);
	expect(notices.heldOffUntil('a@1', 3499)).toBe(3500);
	expect([notices.isOpen('a@1', 3499), notices.isOpen('a@1', 3500)]).toEqual([false, true]);
	expect(notices.closed(1300)).toEqual(['a@1']);
});

test('a huge pause is bounded, and a leaving target has no end of a pause to wait for', () => {
	const notices = create();
	notices.record('a@1', pause(1e300), 0);
	expect(notices.isOpen('a@1', maxHoldOffMs)).toBe(true);
	notices.record('a@1', leaving, 0);
	expect(notices.heldOffUntil('a@1', 10)).toBeUndefined();
});

test('the number of remembered targets is bounded', () => {
	const notices = create();
	for (let index = 0; index < 30_000; index++) {
		notices.record(`i-${index}@1`, leaving, index);
	}

	expect(notices.closed(30_000)).toHaveLength(20_000);
	expect(notices.recentlyLeaving(30_000)).toHaveLength(16);
});
