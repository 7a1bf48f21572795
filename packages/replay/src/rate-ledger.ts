/**
 * Exact counts of what each workspace was given, against an ideal bucket for the whole fleet.
 */
import {type RefusalCause} from './fleet-instance.js';

export type WorkspaceCounts = {
	arrived: number;
	admitted: number;
	refusedByRate: number;
	refusedBySlots: number;
	/** Refused for any cause although an ideal bucket for the whole fleet had a token on arrival. */
	refusedWithinRate: number;
	/** The part of `refusedWithinRate` that the rate limiter refused. */
	refusedByRateWithinRate: number;
	/** Answered whole by a target. */
	served: number;
	/** Sent to a target without a good answer. */
	failed: number;
	/** Admissions above rate x time + burst in some window of true time. */
	admittedAboveRate: number;
};

export type Limits = {readonly rate: number; readonly burst: number};

export type RateLedger = {
	readonly counts: WorkspaceCounts;
	/** Returns whether the request is within the rate. */
	arrive(now: number): boolean;
	admit(now: number): void;
	refuse(cause: RefusalCause, wasWithinRate: boolean): void;
	resetCounts(): void;
};

export type RateLedgerOptions = {
	readonly limits: () => Limits;
	/** How much faster than true time the fastest clock of the fleet runs; 0 for no drift. */
	readonly maxDrift: number;
};

function emptyCounts(): WorkspaceCounts {
	return {
		arrived: 0,
		admitted: 0,
		refusedByRate: 0,
		refusedBySlots: 0,
		refusedWithinRate: 0,
		refusedByRateWithinRate: 0,
		served: 0,
		failed: 0,
		admittedAboveRate: 0,
	};
}

/** Keeps rounding of the fill level from counting as a violation. */
const tolerance = 1e-6;

/** The level of a leaky bucket is the highest `admitted - rate x time` over all windows up to now. */
export function createRateLedger({limits, maxDrift: fastestDrift}: RateLedgerOptions): RateLedger {
	const counts = emptyCounts();
	const ideal = {level: 0, at: 0};
	const actual = {level: 0, at: 0};

	function drain(bucket: typeof ideal, rate: number, now: number): void {
		bucket.level = Math.max(0, bucket.level - (rate * (now - bucket.at)) / 1000);
		bucket.at = now;
	}

	return {
		counts,
		arrive(now) {
			const {rate, burst} = limits();
			drain(ideal, rate, now);
			counts.arrived++;
			if (ideal.level + 1 > burst + tolerance) {
				return false;
			}

			ideal.level++;
			return true;
		},
		admit(now) {
			const {rate, burst} = limits();
			drain(actual, rate * (1 + fastestDrift), now);
			counts.admitted++;
			if (actual.level + 1 > burst + tolerance) {
				counts.admittedAboveRate++;
			} else {
				actual.level++;
			}
		},
		refuse(cause, wasWithinRate) {
			counts.refusedByRate += cause === 'rate' ? 1 : 0;
			counts.refusedBySlots += cause === 'slots' ? 1 : 0;
			counts.refusedWithinRate += wasWithinRate && cause !== 'rejected' ? 1 : 0;
			counts.refusedByRateWithinRate += wasWithinRate && cause === 'rate' ? 1 : 0;
		},
		resetCounts() {
			Object.assign(counts, emptyCounts());
		},
	};
}
