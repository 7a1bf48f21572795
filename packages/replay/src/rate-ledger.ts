/**
 * Counts the requests of one workspace and checks them against an ideal token bucket for the whole
 * fleet: whether refusals were within the rate, and whether admissions were above it.
 */
import {type RefusalCause} from './simulated-instance.js';

/** Numbers of requests of one workspace. */
export type WorkspaceCounts = {
	arrived: number;
	admitted: number;
	refusedByRate: number;
	refusedBySlots: number;
	/**
	 * Refused although an ideal token bucket for the whole fleet had a token at the arrival, except for
	 * refusals that the caller caused.
	 */
	refusedWithinRate: number;
	/** The requests among `refusedWithinRate` that the rate limiter refused. */
	refusedByRateWithinRate: number;
	/** Got a complete successful response from a target. */
	served: number;
	/** Were sent to a target and got no successful response. */
	failed: number;
	/** Admissions above rate × time + burst in any window of true time. */
	admittedAboveRate: number;
};

/** `rate` is in requests per second, `burst` in requests. */
export type WorkspaceRateLimit = {readonly rate: number; readonly burst: number};

export type RateLedger = {
	readonly counts: WorkspaceCounts;
	/** Returns whether the request is within the rate. `now` is in milliseconds of true time. */
	countArrival(now: number): boolean;
	countAdmission(now: number): void;
	countRefusal(cause: RefusalCause, wasWithinRate: boolean): void;
	/** Sets the counts to zero and keeps the levels of the buckets. */
	resetCounts(): void;
};

export type RateLedgerOptions = {
	readonly limits: () => WorkspaceRateLimit;
	/** Fraction by which the fastest clock of the fleet runs faster than true time; 0 for no drift. */
	readonly maxDrift: number;
};

function createCounts(): WorkspaceCounts {
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

/** Requests by which a level may exceed the burst, because of rounding. */
const levelTolerance = 1e-6;

/**
 * Each token bucket is kept as the equivalent leaky bucket. Its level is the maximum of `requests -
 * rate × time` over all windows that end now, without the requests that exceeded the burst.
 */
export function createRateLedger({limits, maxDrift}: RateLedgerOptions): RateLedger {
	const counts = createCounts();
	const arrivalBucket = {level: 0, at: 0};
	const admissionBucket = {level: 0, at: 0};

	function drain(bucket: typeof arrivalBucket, rate: number, now: number): void {
		bucket.level = Math.max(0, bucket.level - (rate * (now - bucket.at)) / 1000);
		bucket.at = now;
	}

	return {
		counts,
		countArrival(now) {
			const {rate, burst} = limits();
			drain(arrivalBucket, rate, now);
			counts.arrived++;
			if (arrivalBucket.level + 1 > burst + levelTolerance) {
				return false;
			}

			arrivalBucket.level++;
			return true;
		},
		countAdmission(now) {
			const {rate, burst} = limits();
			drain(admissionBucket, rate * (1 + maxDrift), now);
			counts.admitted++;
			if (admissionBucket.level + 1 > burst + levelTolerance) {
				counts.admittedAboveRate++;
			} else {
				admissionBucket.level++;
			}
		},
		countRefusal(cause, wasWithinRate) {
			counts.refusedByRate += cause === 'rate' ? 1 : 0;
			counts.refusedBySlots += cause === 'slots' ? 1 : 0;
			counts.refusedWithinRate += wasWithinRate && cause !== 'rejected' ? 1 : 0;
			counts.refusedByRateWithinRate += wasWithinRate && cause === 'rate' ? 1 : 0;
		},
		resetCounts() {
			Object.assign(counts, createCounts());
		},
	};
}
