/**
 * Guards against targets that return cold from an outage and are taken for warm, and against the
 * opposite: a target that some instances cannot reach, or that refuses connections because it is
 * busy, is taken for cold.
 */
import {describe, expect, test} from '@jest/globals';
import {createTargetOutages} from '../target-outages.js';

const near = (address: string) => ({address, failureDomain: 'north'});
const far = (address: string) => ({address, failureDomain: 'south'});
const a = {incarnation: 'a@1', failureDomain: 'north'};
const b = {incarnation: 'b@1', failureDomain: 'north'};

describe('outages of targets', () => {
	test('a target is out of reach after failures at three instances, until it responds', () => {
		const outages = createTargetOutages();
		expect(outages.recordResponse('a@1', 0)).toBe(false);
		expect(outages.recordFailure(a, near('x'), 600)).toBe(false);
		expect(outages.recordFailure(a, far('y'), 600)).toBe(false);
		expect(outages.recordFailure(a, far('z'), 600)).toBe(true);
		expect(outages.recordFailure(b, far('z'), 600)).toBe(false);
		expect(outages.recordResponse('a@1', 5000)).toBe(true);
		expect(outages.recordResponse('a@1', 5001)).toBe(false);
	});

	test('failures at one or two instances do not mean that a target is out of reach', () => {
		const outages = createTargetOutages();
		outages.recordResponse('a@1', 0);
		for (let now = 600; now < 6000; now += 100) {
			expect(outages.recordFailure(a, near(now % 200 === 0 ? 'x' : 'y'), now)).toBe(false);
		}
	});

	test('failures in one other failure domain do not mean that a target is out of reach', () => {
		const outages = createTargetOutages();
		outages.recordResponse('a@1', 0);
		for (let now = 600; now < 6000; now += 100) {
			expect(outages.recordFailure(a, far(String(now)), now)).toBe(false);
		}

		expect(outages.recordFailure(a, near('x'), 6000)).toBe(true);
	});

	test('a target that responds to some instances is not out of reach', () => {
		const outages = createTargetOutages();
		for (let now = 0; now < 6000; now += 50) {
			expect(outages.recordFailure(a, near(String(now)), now)).toBe(false);
			if (now % 400 === 0) {
				expect(outages.recordResponse('a@1', now)).toBe(false);
			}
		}
	});
});
