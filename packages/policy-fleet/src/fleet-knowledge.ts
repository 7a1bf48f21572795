/**
 * Tells whether an instance knows the size of the fleet, so that it may divide what the fleet shares
 * by it. A new process knows nobody. Usually its seeds name the others within milliseconds; while
 * they are down, or the process is cut off, any number of others may be in the same state, however
 * long that lasts. Time alone therefore proves nothing, only contact does.
 */
import {type FleetRoster} from './fleet-roster.js';

export type FleetKnowledge =
	/** There are other instances, but none has been heard since the start of the process. */
	| 'none'
	/** The first contact is too recent for all others to be known. */
	| 'partial'
	/** All other instances are probably known, or there are none. */
	| 'whole';

export type FleetKnowledgeOptions = {
	/** IP address of this instance. */
	readonly self: string;
	/** IP addresses of the current seeds; those other than `self` prove that others exist. */
	readonly seeds: () => readonly string[];
	readonly roster: Pick<FleetRoster, 'firstContactAt'>;
};

/**
 * Milliseconds after the first contact in which all others become known: seeds that start late hear
 * of each member within one interval of roster requests and name it in the next one, and the
 * reports of other failure domains follow within 500 ms.
 */
const settleTimeMs = 1500;

/** Returns the knowledge at `now`, in milliseconds of the monotonic clock. */
export function createFleetKnowledge(
	options: FleetKnowledgeOptions,
): (now: number) => FleetKnowledge {
	const {self, seeds, roster} = options;
	return now => {
		const {firstContactAt} = roster;
		if (firstContactAt !== undefined) {
			return now - firstContactAt < settleTimeMs ? 'partial' : 'whole';
		}

		return seeds().some(seed => seed !== self) ? 'none' : 'whole';
	};
}
