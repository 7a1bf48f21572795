/**
 * Random numbers. The generator is injected, so that tests and replays are repeatable.
 */

/** Returns a number in [0, 1). */
export type Random = () => number;

/**
 * Draws an item with a probability proportional to its weight. Returns undefined if all weights are
 * 0, or if a rounding error leaves a remainder beyond the last item. Calls `random` once. Takes
 * time linear in the number of items.
 */
export function drawWeighted<Item>(
	items: readonly Item[],
	weightOf: (item: Item, index: number) => number,
	random: Random,
): Item | undefined {
	let total = 0;
	for (const [index, item] of items.entries()) {
		total += weightOf(item, index);
	}

	let remaining = random() * total;
	return items.find((item, index) => {
		remaining -= weightOf(item, index);
		return remaining < 0;
	});
}

/**
 * Creates a seeded generator (mulberry32, with 32 bits of state). Not suitable for secrets.
 */
export function createSeededRandom(seed: number): Random {
	/* eslint-disable no-bitwise, unicorn/prefer-math-trunc -- integer arithmetic on 32 bits */
	let state = Math.trunc(seed);
	return () => {
		state = (state + 0x6d_2b_79_f5) | 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
	};
	/* eslint-enable no-bitwise, unicorn/prefer-math-trunc */
}
