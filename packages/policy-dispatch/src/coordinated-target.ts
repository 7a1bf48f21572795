/**
 * The state that a coordinator keeps of one target: its open grants, warm-up and connections. A
 * grant expires unless it is renewed. When the fraction of the shares that is lent to this instance
 * decreases, fewer grants are renewed, so that those beyond the new limit expire within one grant
 * lifetime.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {slotGrantTtl} from '@shallotpond/policy-membership/timing';
import {createConnectionBudget, type ConnectionBudget} from './connection-budget.js';
import {
	maxClockDrift,
	type DispatchSettings,
	type DispatchTarget,
	type TargetAvailability,
} from './dispatch-settings.js';
import {type ReportedGrant, type SlotGrantMessage} from './slot-messages.js';
import {createWarmUp, type WarmUp} from './warm-up.js';

export type OpenGrant = {
	readonly grant: string;
	readonly holder: InstanceId;
	readonly workspace: string;
	readonly warmSlots: number;
	readonly keepConnection: boolean;
	/**
	 * Milliseconds of slot time charged to the workspace at dispatch; 0 for grants that a former
	 * coordinator issued.
	 */
	readonly estimate: number;
	/** The message that issued the grant; absent for grants that a former coordinator issued. */
	readonly grantMessage?: SlotGrantMessage | undefined;
	/** Monotonic milliseconds. */
	expiresAt: number;
};

export type CoordinatedTarget = {
	readonly definition: DispatchTarget;
	readonly service: string;
	/** In order of issue or adoption. `renew` relies on this order. */
	readonly grants: Map<string, OpenGrant>;
	readonly warmUp: WarmUp;
	readonly connections: ConnectionBudget;
	/**
	 * Monotonic milliseconds before which the target gets no new grants; 0 unless it moved to this
	 * shard or was added to its service later. Until then, grants of the coordinator of its former
	 * shard may be open.
	 */
	readonly notBefore: number;
	/**
	 * The last generations (identifiers of a run of the target process) that responses reported, the
	 * latest last.
	 */
	generations: string[];
	/**
	 * Monotonic milliseconds of the last failure of a connection, after which the process may have
	 * restarted. The target may be cold until it responds to a request that was sent after the
	 * failure; then the field is undefined again.
	 */
	restartSuspectedAt: number | undefined;
	availability: TargetAvailability;
	/** Adds or replaces a grant, whose lifetime starts now. */
	addGrant(grant: Omit<OpenGrant, 'expiresAt'>, now: number): void;
	/** Removes and returns the expired grants. Linear in the slots of the target. */
	removeExpiredGrants(now: number): OpenGrant[];
	/**
	 * Renews the grant if it is among the first `cap` open grants and belongs to `holder`. Adopts a
	 * grant that is not open here, because a former coordinator issued it, if fewer than `cap` grants
	 * are open. Returns false otherwise. The order of the grants never changes, so when `cap`
	 * decreases, the grants beyond it are no longer renewed and expire.
	 */
	renew(holding: ReportedGrant, holder: InstanceId, cap: number, now: number): boolean;
};

export type CoordinatedTargetOptions = {
	readonly service: string;
	readonly definition: DispatchTarget;
	readonly settings: DispatchSettings;
	readonly notBefore: number;
	/** Number of connections of the target that this coordinator may allow. */
	readonly connectionLimit: (now: number) => number;
	/** See `unknownUntil` of `ConnectionBudgetOptions`. */
	readonly connectionsUnknownUntil: number;
};

/**
 * Time for which the coordinator counts a grant as open after it has issued, adopted or renewed it.
 * Longer than the lifetime that the holder counts, to allow for the clock drift of both instances.
 * The holder also starts counting earlier, when it sends its ask or renewal.
 */
const countedLifetimeMs = slotGrantTtl * (1 + 2 * maxClockDrift);

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

	function addGrant(openGrant: Omit<OpenGrant, 'expiresAt'>, time: number): void {
		const {grant, holder, workspace, warmSlots, keepConnection, estimate, grantMessage} = openGrant;
		const expiresAt = time + countedLifetimeMs;
		// The fields are copied by name: the engine has a slow path for a spread of objects of which
		// only some have a grant message.
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
			for (const openGrant of grants.values()) {
				if (openGrant.expiresAt <= time) {
					grants.delete(openGrant.grant);
					ended.push(openGrant);
				}
			}

			return ended;
		},
		renew(holding, holder, cap, time) {
			const openGrant = grants.get(holding.grant);
			if (openGrant !== undefined) {
				if (openGrant.holder !== holder || !isWithin(cap, holding.grant)) {
					return false;
				}

				openGrant.expiresAt = time + countedLifetimeMs;
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
