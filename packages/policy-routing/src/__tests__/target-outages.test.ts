/**
 * Guards against targets that return cold from an outage and are taken for warm, and against the
 * opposite: a target that some instances cannot reach, or that refuses connections because it is
 * busy, is taken for cold.
 */
import {describe, expect, test} from '@jest/globals';
import {createTargetOutages} from '../target-outages.js';

describe('outages of targets', () => {
	test('a target is out of reach after failures at three instances, until it responds', () => {
		const outages = createTargetOutages();
		expect(outages.recordResponse('a@1', 0)).toBe(false);
		expect(outages.recordFailure('a@1', 'x', 600)).toBe(false);
		expect(outages.recordFailure('a@1', 'y', 600)).toBe(false);
		expect(outages.recordFailure('a@1', 'z', 600)).toBe(true);
		expect(outages.recordFailure('b@1', 'z', 600)).toBe(false);
		expect(outages.recordResponse('a@1', 5000)).toBe(true);
		expect(outages.recordResponse('a@1', 5001)).toBe(false);
	});

	test('failures at one or two instances do not mean that a target is out of reach', () => {
		const outages = createTargetOutages();
		outages.recordResponse('a@1', 0);
		for (let now = 600; now < 6000; now += 100) {
			expect(outages.recordFailure('a@1', now % 200 === 0 ? 'x' : 'y', now)).toBe(false);
		}
	});

	test('a target that responds to some instances is not out of reach', () => {
		const outages = createTargetOutages();
		for (let now = 0; now < 6000; now += 50) {
			expect(outages.recordFailure('a@1', String(now), now)).toBe(false);
			if (now % 400 === 0) {
				expect(outages.recordResponse('a@1', now)).toBe(false);
			}
		}
	});
});
