/**
 * Random numbers as a function that is passed in, so that tests and replays are repeatable.
 */

/** Returns a number in [0, 1). */
export type Random = () => number;

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
