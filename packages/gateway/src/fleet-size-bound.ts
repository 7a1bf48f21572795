/**
 * The number of instances that may be serving, in contact or not. Limits that each instance applies
 * alone, an equal part for each, are divided by it. An instance that does not know the others takes
 * the largest fleet that would serve as many targets.
 */
import {type FleetKnowledge} from '@shallotpond/policy-fleet/fleet-knowledge';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type TargetDirectory} from '@shallotpond/policy-routing/target-directory';

/** The smallest deployments have 1.2. */
const maxInstancesPerTarget = 2;

export type FleetSizeBoundOptions = {
	readonly roster: Pick<FleetRoster, 'peakSize'>;
	/** As returned by `createFleetKnowledge`, at the current time. */
	readonly fleetKnowledge: () => FleetKnowledge;
	readonly directory: Pick<TargetDirectory, 'size'>;
};

/** Size of the largest fleet that serves the targets of the directory. */
export function maxFleetSizeOf({size}: Pick<TargetDirectory, 'size'>): number {
	return size * maxInstancesPerTarget;
}

export function createFleetSizeBound(options: FleetSizeBoundOptions): () => number {
	const {roster, fleetKnowledge, directory} = options;
	return () =>
		Math.max(roster.peakSize, fleetKnowledge() === 'whole' ? 1 : maxFleetSizeOf(directory));
}
