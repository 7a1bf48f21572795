/**
 * Whether the balancer should send callers to an instance. Each reason for which it should not is
 * given in words, for operators.
 */
import {type Readiness} from '@shallotpond/observability/admin-listener';

export type ReadinessInput = {
	readonly isStopping: boolean;
	/** The highest version that is known is in force. */
	readonly hasConfiguration: boolean;
	/** The wait after a start is over. */
	readonly isLending: boolean;
	/** Neither the configuration service nor any peer is reached. */
	readonly isIsolated: boolean;
	/** Members of the view, this instance included. */
	readonly members: number;
	/** Instances that the platform lists as live. */
	readonly listedLive: number;
	readonly maxInstances: number;
};

/**
 * Less than half of the fleet has little of each rate and often no slots, while the other side of
 * the cut has them. When the platform lists no majority either, there is no better side, and the
 * instance serves what it can.
 */
export function isInMinority({members, listedLive, maxInstances}: ReadinessInput): boolean {
	return members * 2 < maxInstances && listedLive * 2 > maxInstances;
}

const obstacles: ReadonlyArray<
	readonly [reason: string, applies: (input: ReadinessInput) => boolean]
> = [
	['stopping', input => input.isStopping],
	['no configuration yet', input => !input.hasConfiguration],
	['waiting for leases of an earlier process to end', input => !input.isLending],
	['neither the configuration service nor any peer is reached', input => input.isIsolated],
	['cut off from most of the fleet', isInMinority],
];

export function decideReadiness(input: ReadinessInput): Readiness {
	const obstacle = obstacles.find(([, applies]) => applies(input));
	return obstacle === undefined
		? {isReady: true, reason: 'ready'}
		: {isReady: false, reason: obstacle[0]};
}
