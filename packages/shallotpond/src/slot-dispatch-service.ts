/**
 * Manages the slots of targets: coordinates the shards (groups of targets of a service) that this
 * instance owns, and acquires a slot for each request that this instance receives from a caller.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {
	type ServiceDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type InstanceList} from '@shallotpond/configuration/instance-list';
import {type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {type SlotGrant, type SlotRequest} from '@shallotpond/io-http/request-policy';
import {
	createLightweightAbortController,
	type LightweightAbortController,
} from '@shallotpond/io-http/abort-signal';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type AvailabilityLookup} from '@shallotpond/policy-dispatch/dispatch-settings';
import {
	createSlotCoordinator,
	type SlotCoordinator,
} from '@shallotpond/policy-dispatch/slot-coordinator';
import {
	createSlotHolder,
	type HeldGrant,
	type HolderEvent,
	type HolderEffects,
} from '@shallotpond/policy-dispatch/slot-holder';
import {
	type SlotCoordinatorMessage,
	type SlotHolderMessage,
	type SlotRefusalReason,
} from '@shallotpond/policy-dispatch/slot-messages';
import {createTargetNotices} from '@shallotpond/policy-routing/target-notices';
import {type Logger} from 'winston';
import {type CurrentConfiguration} from './current-configuration.js';
import {type MembershipService} from './membership-service.js';
import {type PeerRouter} from './peer-router.js';

export type SlotDispatchService = KernelService & {
	readonly coordinator: SlotCoordinator;
	/**
	 * Waits for a slot at a target, until the deadline of the request or until its signal aborts;
	 * then resolves with a refusal.
	 */
	acquire(request: SlotRequest): Promise<SlotGrant | Refusal>;
	/** Applies the states of targets in the platform's list. */
	observeTargets(list: InstanceList['targets']): void;
	/** Hands the open grants of the shards that this instance owns to their next coordinators. */
	handOver(): void;
};

export type SlotDispatchServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: CurrentConfiguration;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

type SlotResult = SlotGrant | Refusal;

/**
 * Milliseconds for which a target counts as leaving after it has said so. Its id does not tell a
 * successor apart; one that is still leaving says so again.
 */
const leavingRetentionMs = 30_000;
/** Interval at which expired grants and deadlines are detected and messages are resent. */
const tickIntervalMs = 100;

const refusalDetails: Readonly<Record<SlotRefusalReason, string>> = {
	'no-capacity': 'no target of the service has room',
	'queue-full': 'the queue of the service is full',
	deadline: 'no target of the service has room before the deadline',
	'not-coordinator': 'no coordinator of the service can be reached',
	'service-unhealthy': 'the service is overloaded or unhealthy',
};

export function createSlotDispatchService(
	options: SlotDispatchServiceOptions,
): SlotDispatchService {
	const {clock, random, configuration, membership, router, metrics, logger} = options;
	const pendingRequests = new Map<string, (result: SlotResult) => void>();
	const abortControllers = new Map<string, LightweightAbortController>();
	const targetsById = new Map<string, TargetDefinition>();
	let leavingTargets: ReadonlySet<string> = new Set();
	/** By id of the target, because the configuration does not tell its starts apart. */
	const notices = createTargetNotices({leavingRetention: leavingRetentionMs});
	let cancelTicks: (() => void) | undefined;

	const availability: AvailabilityLookup = (_service, target) => {
		const isActive = configuration.tables?.isDomainActive(target.failureDomain) ?? false;
		if (!isActive) {
			return 'domain-out';
		}

		const isLeaving =
			leavingTargets.has(target.id) || notices.isLeaving(target.id, clock.monotonic());
		return isLeaving ? 'leaving' : 'available';
	};

	const coordinator = createSlotCoordinator({
		self: router.self,
		shareFractionOf: membership.membership.shareFractionOf,
		availability,
		random,
		weightOf: workspace => configuration.tables?.document.workspaces[workspace]?.weight ?? 1,
		onHealthChange(service, change) {
			metrics.count('target-health-changes', 1, {service, state: change.state});
			logger.warn('target health changed', {service, ...change});
		},
	});
	const slotHolder = createSlotHolder({
		self: router.self,
		ownerOf: membership.membership.ownerOf,
		availability,
		random,
	});

	function applyEffects(effects: HolderEffects): void {
		for (const event of effects.events) {
			handleEvent(event);
		}

		router.send(effects.messages);
	}

	function handleEvent(event: HolderEvent): void {
		if (event.kind === 'expired') {
			metrics.count('grants-expired');
			abortControllers.get(event.grant.grant)?.abort();
			return;
		}

		const resolveRequest = pendingRequests.get(event.request);
		pendingRequests.delete(event.request);
		if (event.kind === 'refused') {
			metrics.count('slot-refusals', 1, {reason: event.reason});
			resolveRequest?.(refusalOf(event.reason, event.retryAfter));
		} else if (resolveRequest === undefined) {
			// The caller disconnected before the grant arrived.
			applyEffects(slotHolder.release(event.grant, undefined, clock.monotonic()));
		} else {
			resolveRequest(acceptGrant(event.grant));
		}
	}

	/**
	 * Converts a grant to a result. If the target is no longer configured, releases the grant and
	 * returns a refusal.
	 */
	function acceptGrant(grant: HeldGrant): SlotResult {
		const target = targetsById.get(grant.target);
		const abortController = createLightweightAbortController();
		if (target === undefined) {
			applyEffects(slotHolder.release(grant, undefined, clock.monotonic()));
			return refusalOf('no-capacity', 0);
		}

		abortControllers.set(grant.grant, abortController);
		return {
			kind: 'granted',
			target,
			signal: abortController.signal,
			keepsConnection: grant.keepConnection,
			// The key check of `canDispatch` always succeeds here, because the request path checks the
			// API key itself. If `isInForce` returns false, for example because the target is leaving,
			// the request path releases the grant and asks for another one.
			isInForce() {
				const now = clock.monotonic();
				return notices.isOpen(target.id, now) && slotHolder.canDispatch(grant, () => true, now);
			},
			recordNotice(notice) {
				const change = notices.record(target.id, notice, clock.monotonic());
				if (change.isNewlyLeaving || change.isNewlyHeldOff) {
					logger.info('target asked for no further requests', {target: target.id, ...notice});
				}
			},
			release(outcome) {
				abortControllers.delete(grant.grant);
				applyEffects(slotHolder.release(grant, outcome, clock.monotonic()));
			},
		};
	}

	router.register(
		['slot-ask', 'slot-release', 'slot-cancel', 'slot-renew', 'slot-handover'],
		(message: SlotCoordinatorMessage, from, now) => coordinator.handle(message, from, now),
	);
	router.register(
		['slot-queued', 'slot-grant', 'slot-refusal', 'slot-renewed'],
		(message: SlotHolderMessage, from, now) => {
			applyEffects(slotHolder.handle(message, from, now));
			return undefined;
		},
	);

	configuration.onChange(({document}) => {
		const services = new Map<string, ServiceDefinition>(Object.entries(document.services));
		targetsById.clear();
		for (const service of services.values()) {
			for (const target of service.targets) {
				targetsById.set(target.id, target);
			}
		}

		coordinator.configure(services, clock.monotonic());
		slotHolder.configure(services);
	});

	return {
		coordinator,
		start() {
			cancelTicks = clock.every(tickIntervalMs, () => {
				const now = clock.monotonic();
				notices.prune(now);
				router.send(coordinator.tick(now));
				applyEffects(slotHolder.tick(now));
			});
		},
		stop() {
			cancelTicks?.();
		},
		async acquire({signal, ...request}) {
			const now = clock.monotonic();
			const excludedTargets = [...request.excludedTargets, ...notices.closed(now)];
			const {request: requestId, effects} = slotHolder.ask({...request, excludedTargets}, now);
			const result = new Promise<SlotResult>(resolve => {
				pendingRequests.set(requestId, resolve);
				signal.addEventListener('abort', () => {
					if (pendingRequests.delete(requestId)) {
						applyEffects(slotHolder.cancel(requestId, clock.monotonic()));
						resolve(refusalOf('deadline', 0));
					}
				});
			});
			applyEffects(effects);
			return result;
		},
		observeTargets(list) {
			const leavingIds = list.filter(({state}) => state === 'leaving').map(({id}) => id);
			leavingTargets = new Set(leavingIds);
		},
		handOver() {
			router.send(coordinator.handOverShards(membership.membership.ownerOf, clock.monotonic()));
		},
	};
}

function refusalOf(reason: SlotRefusalReason, retryAfter: number): Refusal {
	return {
		kind: 'refused',
		code: reason,
		status: 503,
		detail: refusalDetails[reason],
		runState: 'not-run',
		retryAfter,
	};
}
