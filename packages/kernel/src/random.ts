/**
 * Random numbers as a function that is passed in, so that tests and replays are repeatable.
 */

/** Returns a number in [0, 1). */
export type Random = () => number;

/**
 * Draws an item with a chance in proportion to its weight. Undefined where all weights are 0, or
 * where rounding leaves a rest beyond the last one. Calls `random` once; linear in the items.
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

	let rest = random() * total;
	return items.find((item, index) => {
		rest -= weightOf(item, index);
		return rest < 0;
	});
}

/**
 * A small seeded generator (the mulberry32 construction, 32 bits of state). Not for secrets.
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
