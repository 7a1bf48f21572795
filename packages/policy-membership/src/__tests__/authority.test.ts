/**
 * Guards against owners that together use more than a target's slots or a workspace's rate. Each
 * owner computes its part alone from its fraction of the shares, so wrong rounding, or a majority
 * and minorities that do not add up to the whole, would exceed the limit without being noticed.
 */
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {rateAuthority, slotAuthority} from '../authority.js';

/** Splits `total` shares among owners; the rest is lent to no one. */
const splits = fc
	.tuple(fc.integer({min: 1, max: 64}), fc.array(fc.integer({min: 0, max: 64}), {maxLength: 8}))
	.map(([total, parts]) => {
		let left = total;
		const owners = parts.map(part => {
			const taken = Math.min(part, left);
			left -= taken;
			return taken;
		});
		return {total, owners};
	});

describe('authority', () => {
	test('the slots of all owners of any split never exceed the slots of the target', () => {
		fc.assert(
			fc.property(splits, fc.integer({min: 1, max: 16}), ({total, owners}, slots) => {
				const sum = owners.reduce((all, owner) => all + slotAuthority(slots, owner / total), 0);
				expect(sum).toBeLessThanOrEqual(slots);
			}),
			{seed: 20_261_204, numRuns: 5000},
		);
	});

	test('the rates of all owners of any split never exceed the rate of the workspace', () => {
		fc.assert(
			fc.property(splits, fc.double({min: 0, max: 1, noNaN: true}), ({total, owners}, minority) => {
				const sum = owners.reduce((all, owner) => all + rateAuthority(owner / total, minority), 0);
				expect(sum).toBeLessThanOrEqual(1 + 1e-9);
			}),
			{seed: 20_261_204, numRuns: 5000},
		);
	});

	test('the slots of an owner with a majority of the shares round up to all slots of a small target, and with half of the shares they round down', () => {
		expect(slotAuthority(4, 37 / 48)).toBe(4);
		expect(slotAuthority(2, 25 / 48)).toBe(2);
		expect(slotAuthority(1, 24 / 48)).toBe(0);
	});
});
