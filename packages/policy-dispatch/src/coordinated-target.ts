/**
 * The state that a coordinator keeps of one target: its open grants, warm-up and connections.
 * Grants are renewed only within a limit: when the fraction of the shares that is lent to this
 * instance decreases, the grants in excess of it expire within a term.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {slotGrantTtl} from '@shallotpond/policy-membership/timing';
import {createConnectionBudget, type ConnectionBudget} from './connection-budget.js';
import {
	maxClockDrift,
	type DispatchService,
	type DispatchTarget,
	type TargetAvailability,
} from './dispatch-service.js';
import {type Holding, type SlotGrantMessage} from './slot-messages.js';
import {createWarmUp, type WarmUp} from './warm-up.js';

export type OpenGrant = {
	readonly grant: string;
	readonly holder: InstanceId;
	readonly workspace: string;
	readonly warmSlots: number;
	readonly keepConnection: boolean;
	/** Milliseconds of slot time charged at dispatch; 0 for grants of a predecessor. */
	readonly estimate: number;
	/** The message that issued the grant; absent for grants of a predecessor. */
	readonly grantMessage?: SlotGrantMessage | undefined;
	/** Monotonic milliseconds. */
	expiresAt: number;
};

export type CoordinatedTarget = {
	readonly definition: DispatchTarget;
	readonly service: string;
	/** In order of issue or adoption, on which the cap on renewals relies. */
	readonly grants: Map<string, OpenGrant>;
	readonly warmUp: WarmUp;
	readonly connections: ConnectionBudget;
	/**
	 * Monotonic milliseconds before which there are no new grants, because another shard may have
	 * granted slots of a target that has moved.
	 */
	readonly notBefore: number;
	/** Generations observed, the latest last. */
	generations: string[];
	/**
	 * Monotonic milliseconds since which the process may have restarted: a connection broke or could
	 * not be established. The target may be cold until it responds to a request that was sent later.
	 */
	restartSuspectedAt: number | undefined;
	availability: TargetAvailability;
	/** Adds a grant or replaces it; its term starts now. */
	addGrant(grant: Omit<OpenGrant, 'expiresAt'>, now: number): void;
	/** Removes and returns the grants whose term is over. Linear in the slots of the target. */
	removeExpiredGrants(now: number): OpenGrant[];
	/**
	 * Renews a grant, or adopts one that a predecessor issued, within the first `cap` of the open
	 * grants. The order never changes, so the grants beyond a reduced cap expire within a term.
	 */
	renew(holding: Holding, holder: InstanceId, cap: number, now: number): boolean;
};

export type CoordinatedTargetOptions = {
	readonly service: string;
	readonly definition: DispatchTarget;
	readonly settings: DispatchService;
	readonly notBefore: number;
	readonly connectionLimit: (now: number) => number;
	readonly connectionsUnknownUntil: number;
};

/**
 * The coordinator counts the term from its reply, and longer than the holder does, to allow for the
 * drift of both clocks.
 */
const countedTermMs = slotGrantTtl * (1 + 2 * maxClockDrift);

export function createCoordinatedTarget(
	options: CoordinatedTargetOptions,
	now: number,
): CoordinatedTarget {
	const {service, definition, settings, notBefore} = options;
	const grants = new Map<string, OpenGrant>();
	const warmUp = createWarmUp(settings, now);
	const connections = createConnectionBudget({
		limit: options.connectionLimit,
		slots: settings.slots,
		unknownUntil: options.connectionsUnknownUntil,
	});

	function addGrant(open: Omit<OpenGrant, 'expiresAt'>, time: number): void {
		const {grant, holder, workspace, warmSlots, keepConnection, estimate, grantMessage} = open;
		const expiresAt = time + countedTermMs;
		// Named fields, because a spread of objects with and without a grant message takes a slow path.
		grants.set(grant, {
			grant,
			holder,
			workspace,
			warmSlots,
			keepConnection,
			estimate,
			grantMessage,
			expiresAt,
		});
	}

	function isWithin(cap: number, grant: string): boolean {
		let rank = 0;
		for (const id of grants.keys()) {
			if (rank >= cap) {
				return false;
			}

			if (id === grant) {
				return true;
			}

			rank++;
		}

		return false;
	}

	return {
		definition,
		service,
		grants,
		warmUp,
		connections,
		notBefore,
		generations: [],
		restartSuspectedAt: undefined,
		availability: 'available',
		addGrant,
		removeExpiredGrants(time) {
			const ended: OpenGrant[] = [];
			for (const open of grants.values()) {
				if (open.expiresAt <= time) {
					grants.delete(open.grant);
					ended.push(open);
				}
			}

			return ended;
		},
		renew(holding, holder, cap, time) {
			const open = grants.get(holding.grant);
			if (open !== undefined) {
				if (open.holder !== holder || !isWithin(cap, holding.grant)) {
					return false;
				}

				open.expiresAt = time + countedTermMs;
				return true;
			}

			if (grants.size >= cap) {
				return false;
			}

			const {grant, workspace, warmSlots} = holding;
			addGrant({grant, holder, workspace, warmSlots, keepConnection: false, estimate: 0}, time);
			return true;
		},
	};
}
