/**
 * Converts the fraction of a resource that has been lent to an owner into the amount that the owner
 * may use. Each share is lent to at most one owner at a time, so the fractions of all owners of a
 * resource sum to at most 1, and at most one owner has a fraction above one half.
 */

/**
 * Slots that an owner with this fraction may use, out of `slots`. The sum over all owners is at
 * most `slots`: for s slots, the owner with a fraction x above one half gets ceil(s·x), and all
 * others together get at most floor(s·(1−x)) = s − ceil(s·x).
 */
export function slotAuthority(slots: number, fraction: number): number {
	// Fractions are quotients of small integers. Rounding removes the error of the division, which
	// could otherwise lift a product just above an integer or leave it just below.
	const product = Math.round(slots * fraction * 1e9) / 1e9;
	return fraction > 1 / 2 ? Math.ceil(product) : Math.floor(product);
}

/**
 * Part of a rate, 0 to 1, that an owner with this fraction may use. An owner with at most one half
 * of the shares gets `minorityFraction` times its fraction. An owner with more gets the whole rate,
 * minus `minorityFraction` times the fraction of the shares that is not lent to it, whether or not
 * another owner uses that part. The sum over all owners is at most 1.
 */
export function rateAuthority(fraction: number, minorityFraction: number): number {
	return fraction > 1 / 2 ? 1 - minorityFraction * (1 - fraction) : minorityFraction * fraction;
}
