/**
 * The holder's side of slot grants, on the instance that sends the requests: asks the coordinators
 * of a service for slots, renews the grants that it holds, and reports when a grant has expired, so
 * that its request is cancelled. The lifetime of a grant counts from the time at which this
 * instance sent the ask or the renewal, so the grant expires here before it expires at the
 * coordinator. Call `tick` about every 100 ms.
 */
import {type AttemptOutcome} from '@shallotpond/kernel/attempt-outcome';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type Random} from '@shallotpond/kernel/random';
import {type OwnerLookup} from '@shallotpond/policy-membership/share-fraction';
import {slotGrantTtl} from '@shallotpond/policy-membership/timing';
import {
	type AvailabilityLookup,
	type DispatchSettingsByService,
	type DispatchTarget,
} from './dispatch-settings.js';
import {createPathAvoidance} from './path-avoidance.js';
import {createShardMap, shardResource, type ShardMap} from './shard-map.js';
import {
	type SlotHolderMessage,
	type ReportedGrant,
	type SlotRefusalReason,
	type SlotGrantMessage,
	type SlotMessage,
} from './slot-messages.js';

export type SlotRequestOptions = {
	readonly service: string;
	readonly workspace: string;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	readonly excludedTargets?: readonly string[];
	readonly avoidedFailureDomains?: readonly string[];
};

/** A grant that this instance holds. */
export type HeldGrant = ReportedGrant & {
	readonly definition: DispatchTarget;
	/** Whether the connection may stay open after the response, for `idleConnectionTimeout`. */
	readonly keepConnection: boolean;
	/**
	 * Monotonic milliseconds; each renewal extends it. A paused process cannot cancel its request, so
	 * a request that is expected to end before `expiresAt` should carry this time to the target as
	 * its deadline.
	 */
	readonly expiresAt: number;
};

export type HolderEvent =
	| {readonly kind: 'granted'; readonly request: string; readonly grant: HeldGrant}
	| {
			readonly kind: 'refused';
			readonly request: string;
			readonly reason: SlotRefusalReason;
			/** Milliseconds. */
			readonly retryAfter: number;
			readonly runState: 'not-run';
	  }
	/** The request that uses the grant must be cancelled now and the grant released. */
	| {readonly kind: 'expired'; readonly grant: HeldGrant};

export type HolderEffects = {
	readonly messages: ReadonlyArray<OutboundMessage<SlotMessage>>;
	readonly events: readonly HolderEvent[];
};

export type SlotHolderOptions = {
	readonly self: InstanceId;
	readonly ownerOf: OwnerLookup;
	readonly availability: AvailabilityLookup;
	readonly random: Random;
};

export type SlotHolder = {
	configure(services: DispatchSettingsByService): void;
	/** Asks for a slot; the result is an event with the same request id. */
	ask(
		options: SlotRequestOptions,
		now: number,
	): {readonly request: string; readonly effects: HolderEffects};
	/** Cancels a request that has no grant yet. A grant that arrives later is released. */
	cancel(request: string, now: number): HolderEffects;
	handle(message: SlotHolderMessage, from: InstanceId, now: number): HolderEffects;
	/** Repeats asks, renews grants and expires deadlines. Linear in open requests and grants. */
	tick(now: number): HolderEffects;
	/**
	 * Whether the request may still be sent: the grant is held and not expired, its target is
	 * available and `isKeyValid` returns true. Must be called immediately before the first byte is
	 * written to the target. When it returns false, the grant must be released without an outcome.
	 */
	canDispatch(grant: HeldGrant, isKeyValid: () => boolean, now: number): boolean;
	/**
	 * Releases a grant. A missing outcome means that the grant was not used. A second call does
	 * nothing.
	 */
	release(grant: HeldGrant, outcome: AttemptOutcome | undefined, now: number): HolderEffects;
	/** Unexpired grants, by the coordinator to which they are reported for renewal. */
	holdings(now: number): ReadonlyMap<InstanceId, readonly ReportedGrant[]>;
};

/** Interval between repetitions of a waiting ask. */
const repeatIntervalMs = 1000;
/** Time without a reply to the latest repetition of an ask after which another shard is asked. */
const coordinatorTimeoutMs = 600;
/**
 * Delay after which a request that found no coordinator, or was refused by all shards during a
 * change of coordinators, tries again.
 */
const retryDelayMs = 100;
/** Time for which a reported queue length influences the choice of a shard. */
const queueLengthTtlMs = 1000;
/**
 * Interval between renewals. Three are sent within the lifetime of a grant, so two in a row may be
 * lost.
 */
const renewIntervalMs = 1000;
/**
 * Time by which a grant expires here before the end of its lifetime, to allow for the interval of
 * `tick` and for the cancellation.
 */
const cancelMarginMs = 200;

type PendingAsk = {
	readonly id: string;
	readonly shard: number;
	readonly coordinator: InstanceId;
	/** Monotonic milliseconds at which each repetition was sent, by its `attempt`. */
	readonly sentAt: number[];
	lastReplyAt: number;
};

type PendingRequest = {
	readonly id: string;
	readonly options: SlotRequestOptions;
	/** Numbers of the shards that have refused the request or have not replied in time. */
	readonly triedShards: Set<number>;
	ask: PendingAsk | undefined;
	/** Monotonic milliseconds before which no shard is asked. */
	retryAt: number;
	lastRefusal: {readonly reason: SlotRefusalReason; readonly retryAfter: number};
};

type MutableGrant = {
	-readonly [Key in keyof HeldGrant]: HeldGrant[Key];
} & {
	readonly resource: string;
	/** All coordinators that may count this grant as open and must receive its release. */
	readonly coordinators: Set<InstanceId>;
	/** The coordinator that issued the grant or renewed it last. */
	coordinator: InstanceId;
	/** The coordinator that refused to renew the grant, unless the grant has been renewed since. */
	refusedBy: InstanceId | undefined;
	isExpired: boolean;
};

type Service = {readonly shardMap: ShardMap; readonly targets: ReadonlyMap<string, DispatchTarget>};

/**
 * The initial `lastRefusal` of a request, until a coordinator refuses it. `retryAfter` in
 * milliseconds.
 */
const noCoordinator = {reason: 'not-coordinator', retryAfter: 1000} as const;

export function createSlotHolder(options: SlotHolderOptions): SlotHolder {
	const {self, ownerOf, availability, random} = options;
	const services = new Map<string, Service>();
	const pending = new Map<string, PendingRequest>();
	const pendingByAsk = new Map<string, PendingRequest>();
	const held = new Map<string, MutableGrant>();
	/** Queue lengths that the coordinators last reported, by resource of the shard. */
	const queueLengths = new Map<string, {readonly length: number; readonly reportedAt: number}>();
	/** Monotonic milliseconds at which each renewal was sent, by its sequence number. */
	const renewals = new Map<number, number>();
	const pathAvoidance = createPathAvoidance();
	let nextId = 0;
	let nextSequence = 0;
	let lastRenewal = Number.NEGATIVE_INFINITY;
	let messages: Array<OutboundMessage<SlotMessage>> = [];
	let events: HolderEvent[] = [];

	function send(to: InstanceId, message: SlotMessage): void {
		messages.push({to, message});
	}

	function takeEffects(): HolderEffects {
		const effects = {messages, events};
		messages = [];
		events = [];
		return effects;
	}

	function removeRequest(request: PendingRequest): void {
		pending.delete(request.id);
		if (request.ask) {
			pendingByAsk.delete(request.ask.id);
		}
	}

	function refuse(request: PendingRequest, reason: SlotRefusalReason, retryAfter: number): void {
		removeRequest(request);
		events.push({kind: 'refused', request: request.id, reason, retryAfter, runState: 'not-run'});
	}

	/** Drops the ask and notifies the coordinator, which may have granted it already. */
	function withdrawAsk(request: PendingRequest): void {
		const {ask} = request;
		if (ask) {
			pendingByAsk.delete(ask.id);
			request.ask = undefined;
			const {service} = request.options;
			send(ask.coordinator, {kind: 'slot-cancel', id: ask.id, service, shard: ask.shard});
		}
	}

	function sendAsk(request: PendingRequest, ask: PendingAsk, now: number): void {
		const {service, workspace, deadline, excludedTargets = []} = request.options;
		const {avoidedFailureDomains = []} = request.options;
		const attempt = ask.sentAt.push(now) - 1;
		send(ask.coordinator, {
			kind: 'slot-ask',
			id: ask.id,
			attempt,
			service,
			shard: ask.shard,
			workspace,
			timeLeft: deadline - now,
			excludeTargets: [...excludedTargets, ...pathAvoidance.avoidedTargets(service, now)],
			avoidFailureDomains: avoidedFailureDomains,
		});
	}

	/**
	 * The queue length that was last reported for a shard; 0 without a report or if it is older than
	 * `queueLengthTtlMs`. Without the age limit, a shard that once reported a long queue would not be
	 * asked, and so could not report a shorter one.
	 */
	function knownQueueLength(resource: string, now: number): number {
		const known = queueLengths.get(resource);
		return known !== undefined && now - known.reportedAt < queueLengthTtlMs ? known.length : 0;
	}

	function recordQueueLength(request: PendingRequest, length: number, now: number): void {
		const resource = shardResource(request.options.service, request.ask!.shard);
		queueLengths.set(resource, {length, reportedAt: now});
	}

	/**
	 * Power of two choices: draws two shards at random and returns the one with the shorter known
	 * queue.
	 */
	function pickShard(service: string, shards: readonly number[], now: number): number | undefined {
		const first = Math.floor(random() * shards.length);
		const offset = 1 + Math.floor(random() * Math.max(shards.length - 1, 1));
		const pair = [shards[first], shards[(first + offset) % shards.length]];
		const lengths = pair.map(shard => knownQueueLength(shardResource(service, shard ?? -1), now));
		return lengths[1]! < lengths[0]! ? pair[1] : pair[0];
	}

	/**
	 * Asks the coordinator of a shard that has not been tried for this request. Linear in the shards
	 * of the service.
	 */
	function askNextShard(request: PendingRequest, now: number): void {
		const {service} = request.options;
		const shards = [...(services.get(service)?.shardMap.shards.keys() ?? [])];
		if (shards.length === 0) {
			refuse(request, 'no-capacity', 1000);
			return;
		}

		const untried = shards.filter(shard => !request.triedShards.has(shard));
		if (untried.length === 0) {
			refuseOrWait(request, now);
			return;
		}

		const reachable = untried.filter(
			shard => ownerOf(shardResource(service, shard), now) !== undefined,
		);
		const shard = pickShard(service, reachable, now);
		const coordinator =
			shard === undefined ? undefined : ownerOf(shardResource(service, shard), now);
		if (shard === undefined || coordinator === undefined) {
			request.retryAt = now + retryDelayMs;
			return;
		}

		const id = `${self}/${nextId++}`;
		request.ask = {id, shard, coordinator, sentAt: [], lastReplyAt: Number.NEGATIVE_INFINITY};
		pendingByAsk.set(id, request);
		sendAsk(request, request.ask, now);
	}

	/**
	 * Handles a request that all shards have refused or left without a reply. If the last refusal was
	 * `not-coordinator`, the request tries all shards again, because a change of coordinators is
	 * temporary. Any other reason is final.
	 */
	function refuseOrWait(request: PendingRequest, now: number): void {
		const {reason, retryAfter} = request.lastRefusal;
		if (reason !== 'not-coordinator') {
			refuse(request, reason, retryAfter);
			return;
		}

		request.triedShards.clear();
		request.retryAt = now + retryDelayMs;
	}

	function releaseUnused(message: SlotGrantMessage, service: string, from: InstanceId): void {
		const {grant, target} = message;
		send(from, {kind: 'slot-release', grant, holder: self, service, target});
	}

	/**
	 * Releases a grant for which no request waits. The message does not name the service, so the
	 * release is sent for each service that has a target of this id; there are few services.
	 */
	function releaseLateGrant(message: SlotGrantMessage, from: InstanceId): void {
		for (const [service, {targets}] of services) {
			if (targets.has(message.target)) {
				releaseUnused(message, service, from);
			}
		}
	}

	function acceptGrant(
		request: PendingRequest,
		message: SlotGrantMessage,
		from: InstanceId,
		now: number,
	): void {
		const {service, workspace} = request.options;
		const {grant, target, term, warmSlots, keepConnection} = message;
		const {sentAt, shard} = request.ask!;
		const askedAt = sentAt[message.attempt] ?? sentAt[0]!;
		const expiresAt = askedAt + Math.min(term, slotGrantTtl) - cancelMarginMs;
		const definition = services.get(service)?.targets.get(target);
		if (definition === undefined || expiresAt <= now) {
			releaseUnused(message, service, from);
			withdrawAsk(request);
			askNextShard(request, now);
			return;
		}

		const resource = shardResource(service, shard);
		const heldGrant: MutableGrant = {
			grant,
			service,
			target,
			workspace,
			warmSlots,
			definition,
			keepConnection,
			expiresAt,
			resource,
			coordinators: new Set([from]),
			coordinator: from,
			refusedBy: undefined,
			isExpired: false,
		};
		held.set(grant, heldGrant);
		removeRequest(request);
		events.push({kind: 'granted', request: request.id, grant: heldGrant});
	}

	/**
	 * The coordinator that is asked to renew the grant: the owner of the shard or, while there is no
	 * owner or it has refused, the coordinator that issued the grant or renewed it last.
	 */
	function renewerOf(grant: MutableGrant, now: number): InstanceId {
		const owner = ownerOf(grant.resource, now);
		return owner === undefined || owner === grant.refusedBy ? grant.coordinator : owner;
	}

	function holdings(now: number): Map<InstanceId, ReportedGrant[]> {
		const byCoordinator = new Map<InstanceId, ReportedGrant[]>();
		for (const heldGrant of held.values()) {
			if (heldGrant.isExpired || heldGrant.expiresAt <= now) {
				continue;
			}

			const coordinator = renewerOf(heldGrant, now);
			// The coordinator may adopt the grant even if its reply is lost, so it must receive the
			// release too.
			heldGrant.coordinators.add(coordinator);
			const {grant, service, target, workspace, warmSlots} = heldGrant;
			const list = byCoordinator.get(coordinator) ?? [];
			byCoordinator.set(coordinator, list);
			list.push({grant, service, target, workspace, warmSlots});
		}

		return byCoordinator;
	}

	function sendRenewals(now: number): void {
		for (const [sequence, sentAt] of renewals) {
			if (now - sentAt <= slotGrantTtl) {
				break;
			}

			renewals.delete(sequence);
		}

		for (const [to, list] of holdings(now)) {
			const sequence = nextSequence++;
			renewals.set(sequence, now);
			send(to, {kind: 'slot-renew', sequence, holdings: list});
		}
	}

	function tickRequest(request: PendingRequest, now: number): void {
		const {ask, options: requestOptions} = request;
		if (requestOptions.deadline <= now) {
			withdrawAsk(request);
			refuse(
				request,
				ask ? 'deadline' : request.lastRefusal.reason,
				request.lastRefusal.retryAfter,
			);
			return;
		}

		if (!ask) {
			if (now >= request.retryAt) {
				askNextShard(request, now);
			}

			return;
		}

		const lastSent = ask.sentAt.at(-1)!;
		const isSilent = ask.lastReplyAt < lastSent && now - lastSent >= coordinatorTimeoutMs;
		const owner = ownerOf(shardResource(requestOptions.service, ask.shard), now);
		if (isSilent || owner !== ask.coordinator) {
			withdrawAsk(request);
			if (isSilent) {
				request.triedShards.add(ask.shard);
			}

			askNextShard(request, now);
		} else if (now - lastSent >= repeatIntervalMs) {
			sendAsk(request, ask, now);
		}
	}

	const handlers: MessageHandlers<SlotHolderMessage, {from: InstanceId; now: number}> = {
		'slot-queued'({id, queueLength}, {now}) {
			const request = pendingByAsk.get(id);
			if (request?.ask) {
				request.ask.lastReplyAt = now;
				recordQueueLength(request, queueLength, now);
			}
		},
		'slot-grant'(message, {from, now}) {
			const request = pendingByAsk.get(message.id);
			if (request) {
				recordQueueLength(request, message.queueLength, now);
				acceptGrant(request, message, from, now);
			} else if (!held.has(message.grant)) {
				releaseLateGrant(message, from);
			}
		},
		'slot-refusal'({id, reason, retryAfter, queueLength}, {now}) {
			const request = pendingByAsk.get(id);
			if (!request?.ask) {
				return;
			}

			pendingByAsk.delete(id);
			recordQueueLength(request, queueLength, now);
			request.triedShards.add(request.ask.shard);
			request.ask = undefined;
			request.lastRefusal = {reason, retryAfter};
			askNextShard(request, now);
		},
		'slot-renewed'({sequence, renewed, refused}, {from, now}) {
			const sentAt = renewals.get(sequence);
			for (const id of renewed) {
				const grant = held.get(id);
				// An expired grant stays expired: its coordinator may have granted the slot to another
				// request.
				if (grant && sentAt !== undefined && !grant.isExpired && grant.expiresAt > now) {
					grant.expiresAt = Math.max(grant.expiresAt, sentAt + slotGrantTtl - cancelMarginMs);
					grant.coordinator = from;
					grant.refusedBy = undefined;
				}
			}

			for (const id of refused) {
				const grant = held.get(id);
				if (grant) {
					grant.refusedBy = from;
				}
			}
		},
	};

	return {
		configure(definitions) {
			services.clear();
			for (const [name, settings] of definitions) {
				const targets = new Map(settings.targets.map(target => [target.id, target]));
				services.set(name, {shardMap: createShardMap(settings), targets});
			}
		},
		ask(requestOptions, now) {
			const request: PendingRequest = {
				id: `${self}/${nextId++}`,
				options: requestOptions,
				triedShards: new Set(),
				ask: undefined,
				retryAt: now,
				lastRefusal: noCoordinator,
			};
			pending.set(request.id, request);
			askNextShard(request, now);
			return {request: request.id, effects: takeEffects()};
		},
		cancel(id) {
			const request = pending.get(id);
			if (request) {
				withdrawAsk(request);
				removeRequest(request);
			}

			return takeEffects();
		},
		handle(message, from, now) {
			dispatchMessage(handlers, message, {from, now});
			return takeEffects();
		},
		tick(now) {
			for (const grant of held.values()) {
				if (!grant.isExpired && grant.expiresAt <= now) {
					grant.isExpired = true;
					events.push({kind: 'expired', grant});
				}
			}

			for (const request of pending.values()) {
				tickRequest(request, now);
			}

			if (now - lastRenewal >= renewIntervalMs) {
				lastRenewal = now;
				sendRenewals(now);
			}

			return takeEffects();
		},
		canDispatch(grant, isKeyValid, now) {
			const current = held.get(grant.grant);
			return (
				current !== undefined &&
				!current.isExpired &&
				current.expiresAt > now &&
				availability(current.service, current.definition) === 'available' &&
				isKeyValid()
			);
		},
		release(grant, outcome, now) {
			const heldGrant = held.get(grant.grant);
			if (heldGrant && held.delete(grant.grant)) {
				const {service, target} = heldGrant;
				if (outcome) {
					pathAvoidance.record(service, target, outcome.result, now);
				}

				for (const to of heldGrant.coordinators) {
					send(to, {
						kind: 'slot-release',
						grant: grant.grant,
						holder: self,
						service,
						target,
						outcome,
					});
				}
			}

			return takeEffects();
		},
		holdings,
	};
}
