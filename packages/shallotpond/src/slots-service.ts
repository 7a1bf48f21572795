/**
 * Runs the decisions on target slots: coordinates the shards that have been lent to this instance,
 * and gets a slot for each request that callers bring to it.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {
	type ServiceDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type InstanceList} from '@shallotpond/configuration/instance-list';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {type SlotGrant, type SlotRequest} from '@shallotpond/io-http/request-policy';
import {createStopController, type StopController} from '@shallotpond/io-http/stop-signal';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type AvailabilityLookup} from '@shallotpond/policy-dispatch/dispatch-service';
import {
	createSlotCoordinator,
	type SlotCoordinator,
} from '@shallotpond/policy-dispatch/slot-coordinator';
import {
	createSlotHolder,
	type HeldGrant,
	type HolderEvent,
	type HolderStep,
} from '@shallotpond/policy-dispatch/slot-holder';
import {
	type CoordinatorMessage,
	type HolderMessage,
	type RefusalReason,
} from '@shallotpond/policy-dispatch/slot-messages';
import {type Logger} from 'winston';
import {type ConfigurationStore} from './configuration-store.js';
import {type MembershipService} from './membership-service.js';
import {type PeerRouter} from './peer-router.js';

export type SlotsService = Service & {
	readonly coordinator: SlotCoordinator;
	acquire(request: SlotRequest): Promise<SlotGrant | Refusal>;
	/** Takes the platform's states of targets. */
	observeTargets(list: InstanceList['targets']): void;
	/** Hands the open grants of the coordinated shards to their next coordinators. */
	handOver(): void;
};

export type SlotsServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: ConfigurationStore;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

type Answer = SlotGrant | Refusal;

const tickInterval = 100;

const refusalDetails: Readonly<Record<RefusalReason, string>> = {
	'no-capacity': 'no target of the service has room',
	'queue-full': 'the queue of the service is full',
	deadline: 'no target of the service has room before the deadline',
	'not-coordinator': 'no coordinator of the service can be reached',
	'service-unhealthy': 'the service is overloaded or unhealthy',
};

export function createSlotsService(options: SlotsServiceOptions): SlotsService {
	const {clock, random, configuration, membership, router, metrics, logger} = options;
	const waiting = new Map<string, (answer: Answer) => void>();
	const aborts = new Map<string, StopController>();
	const definitions = new Map<string, TargetDefinition>();
	let leavingTargets: ReadonlySet<string> = new Set();
	let cancelTicks: (() => void) | undefined;

	const availability: AvailabilityLookup = (_service, target) => {
		const isActive = configuration.tables?.isDomainActive(target.failureDomain) ?? false;
		if (!isActive) {
			return 'domain-out';
		}

		return leavingTargets.has(target.id) ? 'leaving' : 'available';
	};

	const coordinator = createSlotCoordinator({
		self: router.self,
		fraction: membership.membership.fraction,
		availability,
		random,
		weightOf: workspace => configuration.tables?.document.workspaces[workspace]?.weight ?? 1,
		onHealthChange(service, change) {
			metrics.count('target-health-changes', 1, {service, state: change.state});
			logger.warn('the health of a target changed', {service, ...change});
		},
	});
	const holder = createSlotHolder({
		self: router.self,
		ownerOf: membership.membership.ownerOf,
		availability,
		random,
	});

	function run(step: HolderStep): void {
		for (const event of step.events) {
			handleEvent(event);
		}

		router.send(step.outbound);
	}

	function handleEvent(event: HolderEvent): void {
		if (event.kind === 'expired') {
			metrics.count('grants-expired');
			aborts.get(event.grant.grant)?.abort();
			return;
		}

		const settle = waiting.get(event.request);
		waiting.delete(event.request);
		if (event.kind === 'refused') {
			metrics.count('slot-refusals', 1, {reason: event.reason});
			settle?.(refusalOf(event.reason, event.retryAfter));
		} else if (settle === undefined) {
			// The caller went away while the grant was on its way.
			run(holder.release(event.grant, undefined, clock.monotonic()));
		} else {
			settle(grantOf(event.grant));
		}
	}

	function grantOf(grant: HeldGrant): Answer {
		const target = definitions.get(grant.target);
		const abort = createStopController();
		if (target === undefined) {
			run(holder.release(grant, undefined, clock.monotonic()));
			return refusalOf('no-capacity', 0);
		}

		aborts.set(grant.grant, abort);
		return {
			kind: 'granted',
			target,
			signal: abort.signal,
			keepsConnection: grant.keepConnection,
			// A grant whose target has left meanwhile is given back by the request path, which asks again.
			isInForce: () => holder.canDispatch(grant, () => true, clock.monotonic()),
			release(outcome) {
				aborts.delete(grant.grant);
				run(holder.release(grant, outcome, clock.monotonic()));
			},
		};
	}

	router.register(
		['slot-ask', 'slot-release', 'slot-cancel', 'slot-renew', 'slot-handover'],
		(message: CoordinatorMessage, from, now) => coordinator.handle(message, from, now),
	);
	router.register(
		['slot-queued', 'slot-grant', 'slot-refusal', 'slot-renewed'],
		(message: HolderMessage, from, now) => {
			run(holder.handle(message, from, now));
			return undefined;
		},
	);

	configuration.onChange(({document}) => {
		const services = new Map<string, ServiceDefinition>(Object.entries(document.services));
		definitions.clear();
		for (const service of services.values()) {
			for (const target of service.targets) {
				definitions.set(target.id, target);
			}
		}

		coordinator.configure(services, clock.monotonic());
		holder.configure(services);
	});

	return {
		coordinator,
		start() {
			cancelTicks = clock.every(tickInterval, () => {
				const now = clock.monotonic();
				router.send(coordinator.tick(now));
				run(holder.tick(now));
			});
		},
		stop() {
			cancelTicks?.();
		},
		async acquire({signal, ...request}) {
			const {request: id, step} = holder.ask(request, clock.monotonic());
			const answer = new Promise<Answer>(resolve => {
				waiting.set(id, resolve);
				signal.addEventListener('abort', () => {
					if (waiting.delete(id)) {
						run(holder.cancel(id, clock.monotonic()));
						resolve(refusalOf('deadline', 0));
					}
				});
			});
			run(step);
			return answer;
		},
		observeTargets(list) {
			const leaving = list.filter(({state}) => state === 'leaving').map(({id}) => id);
			leavingTargets = new Set(leaving);
		},
		handOver() {
			router.send(coordinator.handOverShards(membership.membership.ownerOf, clock.monotonic()));
		},
	};
}

function refusalOf(reason: RefusalReason, retryAfter: number): Refusal {
	return {
		kind: 'refused',
		code: reason,
		status: 503,
		detail: refusalDetails[reason],
		runState: 'not-run',
		retryAfter,
	};
}
