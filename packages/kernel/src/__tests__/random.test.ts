/**
 * Weighted draws. Ignoring weights, or drawing an item of weight 0, would send load to the wrong
 * targets.
 */
import {expect, test} from '@jest/globals';
import {createSeededRandom, drawWeighted} from '../random.js';

const weightOf = ({weight}: {readonly weight: number}) => weight;

test('items are drawn in proportion to their weights, and an item of weight 0 is never drawn', () => {
	const random = createSeededRandom(5);
	const items = [
		{name: 'none', weight: 0},
		{name: 'one', weight: 1},
		{name: 'three', weight: 3},
	];
	const counts: Record<string, number> = {};
	for (let index = 0; index < 4000; index++) {
		const {name} = drawWeighted(items, weightOf, random)!;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	expect(counts.none).toBeUndefined();
	expect(counts.three! / counts.one!).toBeGreaterThan(2.7);
	expect(counts.three! / counts.one!).toBeLessThan(3.3);
	expect(drawWeighted(items, weightOf, () => 0)?.name).toBe('one');
});

test('nothing is drawn if all weights are 0 or there are no items', () => {
	expect(drawWeighted([{weight: 0}], weightOf, () => 0.5)).toBeUndefined();
	expect(drawWeighted([], weightOf, () => 0.5)).toBeUndefined();
});
