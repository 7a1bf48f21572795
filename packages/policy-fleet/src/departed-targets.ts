/**
 * Remembers starts of targets that were seen leaving or removed from the store, so that an older
 * copy of the store does not bring them back. A removed target that is alive checks in again with a
 * higher sequence number and then counts again; a leaving one never does. Each `now` is in
 * milliseconds of the monotonic clock.
 */

/** What identifies a check-in of a target. */
export type TargetCheckIn = {
	readonly id: string;
	/** Start of the target; separates two starts under one id. */
	readonly startTime: number;
	/** Rises with each check-in of one start. */
	readonly sequence: number;
};

export type Departure = 'leaving' | 'removed';

export type DepartedTargets = {
	/** Records a departure; `value` is the entry of the target's last check-in. */
	record(target: TargetCheckIn, departure: Departure, value: string, now: number): void;
	/** Whether the check-in is one that the target made before it departed. */
	hasDeparted(target: TargetCheckIn): boolean;
	/** The latest departures, for other instances. */
	recent(
		now: number,
	): ReadonlyArray<{readonly id: string; readonly departure: Departure; readonly value: string}>;
};

export type DepartedTargetsOptions = {
	/** Start time that stands for an unknown one. Its starts are not told apart, so none counts. */
	readonly unknownStartTime: number;
};

type DepartedTarget = TargetCheckIn & {
	readonly departure: Departure;
	readonly value: string;
	readonly at: number;
};

/** Maximum number of remembered targets; the oldest departure is dropped. */
const maxRemembered = 2000;
/**
 * Milliseconds for which a departure is passed on. An older copy is some seconds old, so a longer
 * time only adds bytes.
 */
const passOnWindow = 60_000;
/** Maximum number of departures that are passed on, a few hundred bytes each. */
const maxPassedOn = 200;

export function createDepartedTargets({unknownStartTime}: DepartedTargetsOptions): DepartedTargets {
	const departed = new Map<string, DepartedTarget>();

	const keyOf = ({id, startTime}: TargetCheckIn) => `${id}@${startTime}`;

	return {
		record({id, startTime, sequence}, departure, value, at) {
			if (startTime === unknownStartTime) {
				return;
			}

			const key = keyOf({id, startTime, sequence});
			const known = departed.get(key);
			departed.delete(key);
			departed.set(key, {
				id,
				startTime,
				sequence: Math.max(sequence, known?.sequence ?? 0),
				departure: known?.departure === 'leaving' ? 'leaving' : departure,
				value,
				at,
			});
			if (departed.size > maxRemembered) {
				departed.delete(departed.keys().next().value!);
			}
		},
		hasDeparted(target) {
			const known = departed.get(keyOf(target));
			return (
				known !== undefined && (known.departure === 'leaving' || target.sequence <= known.sequence)
			);
		},
		recent: now =>
			[...departed.values()].filter(({at}) => now - at < passOnWindow).slice(-maxPassedOn),
	};
}
