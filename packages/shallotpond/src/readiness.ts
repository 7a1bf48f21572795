/**
 * Decides whether the load balancer should send callers to an instance, and if not, states the
 * reason for operators.
 */
import {type Readiness} from '@shallotpond/observability/admin-listener';

export type ReadinessInput = {
	readonly isStopping: boolean;
	/** Whether the highest configuration version that was known after the start has been adopted. */
	readonly hasConfiguration: boolean;
	/** Whether all leases of an earlier process at this address have ended. */
	readonly canLend: boolean;
	/** Whether neither the configuration service nor any peer can be reached. */
	readonly isIsolated: boolean;
	/** Number of members in the view of this instance, itself included. */
	readonly members: number;
	/** Number of instances that the platform lists as live, this instance included. */
	readonly listedLive: number;
	readonly maxInstances: number;
};

/**
 * Whether this instance is on the smaller side of a network partition: its view has less than half
 * of `maxInstances`, although the platform lists more than half as live. The smaller side has little
 * of each rate and often no slots, so callers should go to the other side. If the platform lists no
 * majority either, no better side exists, and the instance stays ready.
 */
export function isInMinority({members, listedLive, maxInstances}: ReadinessInput): boolean {
	return members * 2 < maxInstances && listedLive * 2 > maxInstances;
}

const obstacles: ReadonlyArray<
	readonly [reason: string, applies: (input: ReadinessInput) => boolean]
> = [
	['stopping', input => input.isStopping],
	['no configuration yet', input => !input.hasConfiguration],
	['waiting for leases of an earlier process to end', input => !input.canLend],
	['neither the configuration service nor any peer is reached', input => input.isIsolated],
	['cut off from most of the fleet', isInMinority],
];

export function decideReadiness(input: ReadinessInput): Readiness {
	const obstacle = obstacles.find(([, applies]) => applies(input));
	return obstacle === undefined
		? {isReady: true, reason: 'ready'}
		: {isReady: false, reason: obstacle[0]};
}
