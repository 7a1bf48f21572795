/**
 * Permits for requests to cold targets. A cold target, for example one that has just started, serves
 * only few requests per second from the whole fleet, and one instance cannot know in time what the
 * others send. Each instance therefore gets an equal part of the rate of each cold target: one
 * permit per period, whose length is the size of the fleet divided by the rate. The limit does not
 * depend on the load, on the number of attempts of a request or on reports of other instances, so it
 * also holds in a rush and in a partitioned fleet.
 *
 * A permit lapses after a time, so that instances that had no requests for a while cannot all use
 * their permits in the same second. For one target, the permits of the instances are spread evenly
 * over the period; for one instance, so are its permits for the targets of a service. Each `now` is
 * in milliseconds of the monotonic clock.
 */
import {type Random} from '@shallotpond/kernel/random';
import {type KnownTarget} from './target-directory.js';

export type ColdTargetPermits = {
	/**
	 * Whether this instance may send the cold target a request now. `coldRate` is the number of
	 * requests per second that the target can serve. The first call starts the schedule of the target.
	 */
	isAvailable(target: KnownTarget, coldRate: number, now: number): boolean;
	/** Uses the oldest valid permit of the target. */
	use(target: KnownTarget, coldRate: number, now: number): void;
	/** Removes the schedules of targets that have not been cold for a minute. */
	prune(now: number): void;
};

/**
 * In any second, a cold target may get `coldRate` times `excess` plus `slack` requests of the whole
 * fleet.
 */
export type ColdBound = {readonly excess: number; readonly slack: number};

export type ColdTargetPermitsOptions = {
	readonly bound: ColdBound;
	/** Number of instances that may be serving, including those that are out of contact. */
	readonly fleetSize: (now: number) => number;
	/**
	 * Position of this instance among all instances, as a fraction of their number, 0 to 1; undefined
	 * while too few of them are known. A random position is used until then.
	 */
	readonly fleetPosition: (now: number) => number | undefined;
	readonly random: Random;
	/** Position of the target in its service, as a fraction of the number of targets, 0 to 1. */
	readonly targetPosition: (target: KnownTarget, now: number) => number;
};

/**
 * Fraction of the bound that is used. The rest covers instances that do not agree on the size of the
 * fleet, and requests that arrive later than they were sent.
 */
const usedBoundFraction = 0.75;
/** Fraction of the cold rate that is used. A lower rate would let permits stay valid for longer. */
const usedRateFraction = 0.9;
/** Minimum time for which a permit can be used. */
const minLifetimeMs = 1000;
const retentionMs = 60_000;
const millisecondsPerSecond = 1000;

type Schedule = {
	/** Time since the schedule began, in periods; the length of the period may change. */
	elapsedPeriods: number;
	/** Position of the target in its service when the schedule began. */
	readonly targetPosition: number;
	/** Positions are kept, because a change of many at once would make many permits begin together. */
	fleetPosition: number;
	isFleetPositionKnown: boolean;
	updatedAt: number;
	/** Number of the last period whose permit was used; -1 for none. */
	usedPeriod: number;
};

/** Both in milliseconds. */
type PermitTimes = {readonly period: number; readonly lifetime: number};

export function createColdTargetPermits(options: ColdTargetPermitsOptions): ColdTargetPermits {
	const {bound, fleetSize} = options;
	const schedules = new Map<string, Schedule>();

	/**
	 * In any window, the fleet can use the permits that begin in it and those that began within a
	 * lifetime before it. The lifetime follows from the bound on the window of one second.
	 */
	function permitTimesOf(coldRate: number, now: number): PermitTimes {
		const maxPerSecond = (coldRate * bound.excess + bound.slack) * usedBoundFraction;
		const shortestWindow = 1 + minLifetimeMs / millisecondsPerSecond;
		const rate = Math.min(coldRate * usedRateFraction, maxPerSecond / shortestWindow);
		return {
			period: (fleetSize(now) / rate) * millisecondsPerSecond,
			lifetime: (maxPerSecond / rate - 1) * millisecondsPerSecond,
		};
	}

	function scheduleAt(target: KnownTarget, {period}: PermitTimes, now: number): Schedule {
		let schedule = schedules.get(target.incarnation);
		if (schedule === undefined) {
			schedule = {
				elapsedPeriods: 0,
				targetPosition: options.targetPosition(target, now),
				fleetPosition: options.random(),
				isFleetPositionKnown: false,
				updatedAt: now,
				usedPeriod: -1,
			};
			schedules.set(target.incarnation, schedule);
		}

		const fleetPosition = schedule.isFleetPositionKnown ? undefined : options.fleetPosition(now);
		if (fleetPosition !== undefined) {
			schedule.fleetPosition = fleetPosition;
			schedule.isFleetPositionKnown = true;
		}

		schedule.elapsedPeriods += Math.max(0, now - schedule.updatedAt) / period;
		schedule.updatedAt = now;
		return schedule;
	}

	/**
	 * Number of the oldest period whose permit has neither been used nor lapsed, and of the current
	 * one. In a small fleet, permits stay valid for several periods.
	 */
	function validPeriodsOf(target: KnownTarget, coldRate: number, now: number) {
		const times = permitTimesOf(coldRate, now);
		const schedule = scheduleAt(target, times, now);
		const elapsed = schedule.elapsedPeriods + schedule.targetPosition + schedule.fleetPosition;
		const oldest = Math.floor(elapsed - times.lifetime / times.period) + 1;
		return {
			schedule,
			oldest: Math.max(schedule.usedPeriod + 1, oldest),
			current: Math.floor(elapsed),
		};
	}

	return {
		isAvailable(target, coldRate, now) {
			if (coldRate <= 0) {
				return false;
			}

			const {oldest, current} = validPeriodsOf(target, coldRate, now);
			return oldest <= current;
		},
		use(target, coldRate, now) {
			const {schedule, oldest, current} = validPeriodsOf(target, coldRate, now);
			schedule.usedPeriod = Math.max(schedule.usedPeriod, Math.min(oldest, current));
		},
		prune(now) {
			for (const [incarnation, {updatedAt}] of schedules) {
				if (now - updatedAt > retentionMs) {
					schedules.delete(incarnation);
				}
			}
		},
	};
}
