/**
 * Shares the time of the event loop among the connections of callers. What a connection makes the
 * process parse is bounded by its bytes, not by the work that these cause: a body in chunks of one
 * byte takes a hundred times as long as one of the same size in one chunk. Each connection
 * therefore has an allowance of parsing time, and one that has used it up waits for its turn behind
 * those that have not. All together get a limited time in each turn of the event loop, so that the
 * rest of the process goes on. A connection is delayed, never closed, and only while others wait.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type ParseTurn = {
	/**
	 * Whether the connection may be parsed now. If not, it waits until `onTurn` is called, in which
	 * it may be parsed once.
	 */
	request(): boolean;
	/** Records milliseconds for which the connection was parsed. */
	record(duration: number): void;
	/** To be called when the connection has closed. */
	close(): void;
};

export type ParseSchedule = {
	open(onTurn: () => void): ParseTurn;
};

export type ParseScheduleOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** Calls back once the sockets that are ready have been handled. */
	readonly afterPoll: (callback: () => void) => void;
	/** Called when a connection that has used up its allowance has to wait. */
	readonly onDelay: () => void;
};

/** Milliseconds of parsing in one turn of the event loop, beyond which connections wait. */
const maxTurnMs = 10;
/**
 * The same for connections that have used up their allowance: all others wait for as long in each
 * turn, and the handling of one request takes several turns.
 */
const maxCostlyTurnMs = 3;
/** Milliseconds of parsing after which the end of the turn is awaited; saves a callback for less. */
const minTrackedMs = 1;
/** Milliseconds of parsing that a connection may use at once. */
const maxAllowanceMs = 2;
/** The allowance falls no lower, because a measured time may contain a pause of the process. */
const minAllowanceMs = -100;
/** Milliseconds of parsing that a connection may use in each millisecond. */
const allowanceRate = 0.1;

type Entry = {
	readonly onTurn: () => void;
	/** Milliseconds left at `updatedAt`; negative if the last part took longer. */
	allowance: number;
	updatedAt: number;
	isWaiting: boolean;
	isGranted: boolean;
};

export function createParseSchedule(options: ParseScheduleOptions): ParseSchedule {
	const {clock, afterPoll, onDelay} = options;
	/** Connections that wait, those with an allowance apart from the others, in order. */
	const waiting = {ordinary: new Set<Entry>(), costly: new Set<Entry>()};
	/** Milliseconds of parsing in this turn. */
	let used = 0;
	let isTurnEndAwaited = false;

	function refill(entry: Entry): void {
		const now = clock.monotonic();
		const refilled = entry.allowance + (now - entry.updatedAt) * allowanceRate;
		entry.allowance = Math.min(maxAllowanceMs, refilled);
		entry.updatedAt = now;
	}

	function awaitTurnEnd(): void {
		if (!isTurnEndAwaited) {
			isTurnEndAwaited = true;
			afterPoll(startTurn);
		}
	}

	/** Undefined if nobody waits or the time of this turn is used up. */
	function takeNext(): Entry | undefined {
		const isOrdinary = waiting.ordinary.size > 0;
		const queue = isOrdinary ? waiting.ordinary : waiting.costly;
		const [entry] = used < (isOrdinary ? maxTurnMs : maxCostlyTurnMs) ? queue : [];
		if (entry !== undefined) {
			queue.delete(entry);
		}

		return entry;
	}

	function startTurn(): void {
		isTurnEndAwaited = false;
		used = 0;
		for (let entry = takeNext(); entry !== undefined; entry = takeNext()) {
			entry.isWaiting = false;
			entry.isGranted = true;
			entry.onTurn();
			entry.isGranted = false;
		}

		used = 0;
		if (waiting.ordinary.size + waiting.costly.size > 0) {
			awaitTurnEnd();
		}
	}

	return {
		open(onTurn) {
			const entry: Entry = {
				onTurn,
				allowance: maxAllowanceMs,
				updatedAt: clock.monotonic(),
				isWaiting: false,
				isGranted: false,
			};

			return {
				request() {
					if (entry.isGranted) {
						entry.isGranted = false;
						return true;
					}

					if (entry.isWaiting) {
						return false;
					}

					if (entry.allowance <= 0) {
						refill(entry);
					}

					const hasAllowance = entry.allowance > 0;
					if (hasAllowance && used < maxTurnMs) {
						return true;
					}

					if (!hasAllowance) {
						onDelay();
					}

					(hasAllowance ? waiting.ordinary : waiting.costly).add(entry);
					entry.isWaiting = true;
					awaitTurnEnd();
					return false;
				},
				record(duration) {
					entry.allowance = Math.max(minAllowanceMs, entry.allowance - duration);
					refill(entry);
					used += duration;
					if (used >= minTrackedMs) {
						awaitTurnEnd();
					}
				},
				close() {
					waiting.ordinary.delete(entry);
					waiting.costly.delete(entry);
				},
			};
		},
	};
}
