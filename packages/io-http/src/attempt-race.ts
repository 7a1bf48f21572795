/**
 * Races the attempts of one request: a first one, and a second one that may start when the first is
 * late. The first acceptable result wins, and the other attempt is cancelled. An attempt that fails
 * does not end the race while the other one is in progress.
 */
import {type Clock} from '@shallotpond/kernel/clock';

export type RaceEntry<Result> = {
	readonly result: Promise<Result>;
	/** Cancels the attempt, whose result then goes to `discard`. */
	cancel(): void;
};

export type AttemptRaceOptions<Result> = {
	readonly clock: Clock;
	/** Milliseconds after which `startSecond` is called, unless the race has ended. */
	readonly delay: number;
	readonly first: RaceEntry<Result>;
	/**
	 * Resolves with undefined if there is no second attempt, which must be the case if `isOver` is
	 * true when the attempt would start.
	 */
	readonly startSecond: (isOver: () => boolean) => Promise<RaceEntry<Result> | undefined>;
	readonly isAcceptable: (result: Result) => boolean;
	/** Takes a result that is not acceptable while the other attempt is in progress. */
	readonly recordFailure: (entry: RaceEntry<Result>, result: Result) => void;
	/** Takes the result of an attempt that ended after the race. */
	readonly discard: (result: Result) => void;
};

/**
 * Resolves with the first acceptable result, or with the last one if none is acceptable. Rejects if
 * an attempt does.
 */
export async function raceAttempts<Result>(options: AttemptRaceOptions<Result>): Promise<Result> {
	return new Promise((resolve, reject) => {
		const entries = new Set<RaceEntry<Result>>();
		let isOver = false;
		const cancelTimer = options.clock.after(options.delay, () => {
			void startSecond();
		});

		function end(): void {
			isOver = true;
			cancelTimer();
			for (const entry of entries) {
				entry.cancel();
			}
		}

		function fail(error: unknown): void {
			end();
			reject(error instanceof Error ? error : new Error(String(error)));
		}

		function take(entry: RaceEntry<Result>, result: Result): void {
			entries.delete(entry);
			if (isOver) {
				options.discard(result);
			} else if (entries.size === 0 || options.isAcceptable(result)) {
				end();
				resolve(result);
			} else {
				options.recordFailure(entry, result);
			}
		}

		async function enter(entry: RaceEntry<Result>): Promise<void> {
			entries.add(entry);
			if (isOver) {
				entry.cancel();
			}

			try {
				take(entry, await entry.result);
			} catch (error) {
				entries.delete(entry);
				fail(error);
			}
		}

		async function startSecond(): Promise<void> {
			try {
				const second = await options.startSecond(() => isOver);
				if (second !== undefined) {
					await enter(second);
				}
			} catch (error) {
				fail(error);
			}
		}

		void enter(options.first);
	});
}
