/**
 * Measures how long an instance takes to get a state of what the platform publishes after another
 * instance has reported that state. Each `now` is in milliseconds of the monotonic clock.
 */
import {comparePositions, type PublishedPosition} from './published-position.js';

export type PublishedLag = {
	/** Records the position that another instance reports. */
	recordReport(reported: PublishedPosition, own: PublishedPosition, now: number): void;
	/**
	 * Records the position of this instance. Returns the milliseconds since the first report that it
	 * catches up with; undefined if no newer state was reported, or none that it has now.
	 */
	recordProgress(own: PublishedPosition, now: number): number | undefined;
};

export function createPublishedLag(): PublishedLag {
	/** The first reported position that this instance does not have yet. */
	let awaited: {readonly position: PublishedPosition; readonly since: number} | undefined;
	return {
		recordReport(reported, own, now) {
			if (awaited === undefined && comparePositions(reported, own) > 0) {
				awaited = {position: reported, since: now};
			}
		},
		recordProgress(own, now) {
			if (awaited === undefined || comparePositions(own, awaited.position) < 0) {
				return undefined;
			}

			const lag = now - awaited.since;
			awaited = undefined;
			return lag;
		},
	};
}
