/**
 * Delays between attempts after failures. They grow exponentially to spare a failing server, and
 * are randomised so that instances that failed together do not retry together.
 */
import {type Random} from '@shallotpond/kernel/random';

export type BackOffOptions = {
	readonly random: Random;
	/** Upper bound of the first delay. Milliseconds. */
	readonly initialDelay: number;
	/** Upper bound of all delays. Milliseconds. */
	readonly maxDelay: number;
};

/**
 * Returns the delay in milliseconds after a number of consecutive failures (1 or more). An upper
 * bound starts at `initialDelay` and doubles with each failure up to `maxDelay`; the delay is drawn
 * at random between half of the bound and the bound.
 */
export function backOffDelay(failures: number, options: BackOffOptions): number {
	// Bounds the exponent, because the product would overflow after hours of failures.
	const doubled = options.initialDelay * 2 ** Math.min(failures - 1, 30);
	return Math.min(doubled, options.maxDelay) * (1 - options.random() / 2);
}
