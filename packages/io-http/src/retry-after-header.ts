/**
 * Parses the `Retry-After` of a target. Dates, signs, exponents and other notations count as no
 * value: a wrong guess would either press a target that asked for a pause or shut it out.
 */

const millisecondsPerSecond = 1000;
/** Seconds, with a fraction if there is one. */
const secondsPattern = /^\d{1,9}(?:\.\d{1,9})?$/;

/** Milliseconds above 0; undefined if the value is missing, 0 or not a number of seconds. */
export function parseRetryAfter(value: string | undefined): number | undefined {
	if (value === undefined || !secondsPattern.test(value)) {
		return undefined;
	}

	const milliseconds = Number(value) * millisecondsPerSecond;
	return milliseconds > 0 ? milliseconds : undefined;
}
