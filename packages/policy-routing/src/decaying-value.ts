/**
 * A sum whose parts lose weight exponentially as they age. Each `now` is in milliseconds of the
 * monotonic clock.
 */
export type DecayingValue = {value: number; at: number};

export function createDecayingValue(now: number): DecayingValue {
	return {value: 0, at: now};
}

/** Brings the value up to `now` and returns it; `halfLife` is in milliseconds. */
export function decay(decaying: DecayingValue, now: number, halfLife: number): number {
	if (now > decaying.at) {
		decaying.value *= 2 ** ((decaying.at - now) / halfLife);
		decaying.at = now;
	}

	return decaying.value;
}
