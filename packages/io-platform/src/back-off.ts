/**
 * Delays between attempts after failures.
 */
import {type Random} from '@shallotpond/kernel/random';

export type BackOffOptions = {
	readonly random: Random;
	/** Upper end of the first delay, milliseconds. */
	readonly initialDelay: number;
	/** Upper end of all delays, milliseconds. */
	readonly maxDelay: number;
};

/**
 * The delay in milliseconds after a number of failures in a row (1 or more). It doubles up to the
 * longest and is drawn from its upper half, so that instances that failed together do not return
 * together.
 */
export function backOffDelay(failures: number, options: BackOffOptions): number {
	// The exponent is bounded because hours of absence would overflow the product.
	const doubled = options.initialDelay * 2 ** Math.min(failures - 1, 30);
	return Math.min(doubled, options.maxDelay) * (1 - options.random() / 2);
}
