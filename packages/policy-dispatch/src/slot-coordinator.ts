/**
 * Grants the slots of targets to holders, the instances that send the requests. A slot admits one
 * request at a time to its target; a grant leases a slot to a holder and expires unless it is
 * renewed.
 *
 * The targets of a service are divided into shards. Each instance has one share of each shard and
 * lends it to the coordinator of the shard; one coordinator object per instance covers all shards
 * that this instance coordinates. The lent fraction is checked at each use. New grants are limited
 * by the vested fraction, which leaves out shares that grants of a former coordinator may still
 * cover; renewals are limited by the current fraction, which counts all shares that are lent now. A
 * process that resumes after a pause finds that its fraction has expired and grants nothing.
 *
 * The predecessor and the successor of a coordinator are the instances that coordinate a shard
 * before and after it.
 */
import {isDeepStrictEqual} from 'node:util';
import {type AttemptOutcome, type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type Random} from '@shallotpond/kernel/random';
import {slotAuthority} from '@shallotpond/policy-membership/authority';
import {
	type OwnerLookup,
	type ShareFractionLookup,
} from '@shallotpond/policy-membership/share-fraction';
import {slotGrantTtl} from '@shallotpond/policy-membership/timing';
import {createTtlCache} from './ttl-cache.js';
import {idleConnectionTimeout} from './connection-budget.js';
import {
	allowedSlots,
	chooseTarget,
	floorTargetsOf,
	hasAnyFreeSlot,
	isUsable,
	usableSlots,
	type CoordinatedShard,
	type TargetChoiceOptions,
	type WaitingAsk,
} from './coordinated-shard.js';
import {
	createCoordinatedTarget,
	type CoordinatedTarget,
	type OpenGrant,
} from './coordinated-target.js';
import {
	type AvailabilityLookup,
	type DispatchSettings,
	type DispatchSettingsByService,
	type DispatchTarget,
} from './dispatch-settings.js';
import {keepsFloor, canEject} from './ejection-floor.js';
import {createFairQueue} from './fair-queue.js';
import {createShardMap, shardResource, type ShardMap} from './shard-map.js';
import {
	type SlotCoordinatorMessage,
	type ReportedGrant,
	type SlotRefusalReason,
	type SlotAsk,
	type SlotGrantMessage,
	type SlotMessage,
	type SlotRefusal,
	type SlotRelease,
} from './slot-messages.js';
import {
	createTargetHealth,
	evaluationInterval,
	type HealthChange,
	type TargetHealth,
} from './target-health.js';

export type SlotCoordinatorOptions = {
	readonly self: InstanceId;
	readonly shareFractionOf: ShareFractionLookup;
	readonly availability: AvailabilityLookup;
	readonly random: Random;
	/** Weight of a workspace in the fair queue; 1 by default. */
	readonly weightOf?: (workspace: string) => number;
	/** Maximum number of waiting requests of one workspace at one shard; 256 by default. */
	readonly workspaceQueueLimit?: number;
	/** Maximum number of waiting requests at one shard; 1024 by default. */
	readonly queueLimit?: number;
	/**
	 * Maximum time in which a configuration reaches all instances. Milliseconds, 3000 by default. A
	 * target that moved to another shard gets no new grants for this time plus two grant lifetimes,
	 * because its former coordinator may not know of the move yet, and grants of that coordinator may
	 * be open. The same applies to a target that is added to a service which this instance already
	 * knows.
	 */
	readonly configurationDistributionTime?: number;
	/** Called with each change of a target's health, for logs and metrics. */
	readonly onHealthChange?: (service: string, change: HealthChange) => void;
};

export type SlotCoordinator = {
	/**
	 * Applies service definitions. Targets that stay in their shard keep their open grants and
	 * warm-up. Removed targets get no new grants; their open grants are kept until they end.
	 */
	configure(services: DispatchSettingsByService, now: number): void;
	/**
	 * Handles a message from a holder or from the former coordinator of a shard and returns the
	 * messages to send.
	 */
	handle(
		message: SlotCoordinatorMessage,
		from: InstanceId,
		now: number,
	): Array<OutboundMessage<SlotMessage>>;
	/**
	 * Expires grants and deadlines, evaluates the health of targets and grants free slots. Call it
	 * about every 100 ms.
	 */
	tick(now: number): Array<OutboundMessage<SlotMessage>>;
	/**
	 * Hands over all shards in a planned stop. Call it after the shares have been given up, so that
	 * `successorOf` names the next coordinator and not this one. Refuses the waiting asks and sends
	 * the open grants of each shard, and the state of its targets, to its successor; from then on
	 * nothing is granted or renewed, and releases are forwarded to the successor. The successor must
	 * receive these messages before it counts the shares that were lent to this instance as vested.
	 */
	handOverShards(successorOf: OwnerLookup, now: number): Array<OutboundMessage<SlotMessage>>;
	/** Number of open grants on a target, for metrics and tests. */
	openGrantCount(service: string, target: string): number;
	healthOf(service: string, target: string): ReturnType<TargetHealth['stateOf']>;
	/**
	 * Number of slots that the target may use over all coordinators, at its present warm-up and
	 * health. Undefined when this instance keeps no state of the target.
	 */
	allowedSlotsOf(service: string, target: string): number | undefined;
};

type CoordinatedService = {
	readonly name: string;
	settings: DispatchSettings;
	shardMap: ShardMap;
	/**
	 * Monotonic milliseconds at which a target moved to its present shard or was added to the
	 * service. Targets that have been in their shard since the service was first configured are
	 * absent.
	 */
	movedAt: Map<string, number>;
	readonly health: TargetHealth;
	readonly choice: TargetChoiceOptions;
	readonly shards: Map<number, CoordinatedShard>;
};

const connectionFailures: ReadonlySet<AttemptResult> = new Set([
	'connection-failed',
	'connection-broken',
]);
const responseResults: ReadonlySet<AttemptResult> = new Set(['ok', 'error', 'incomplete', 'shed']);

type Context = {readonly from: InstanceId; readonly now: number};
type Outbox = Array<OutboundMessage<SlotMessage>>;

/**
 * Time without a repetition after which a waiting ask is dropped, because its holder is gone or
 * unreachable. Holders repeat an ask every second, so one repetition may be lost.
 */
const askTtlMs = 2500;
/**
 * Time for which the state of a shard is kept while no share of the shard is lent to this instance;
 * older state is outdated.
 */
const shardRetentionMs = 10_000;
/**
 * Time for which the ids of answered asks and ended grants are kept. Two grant lifetimes are longer
 * than the delay of any message of an exchange that is still going on.
 */
const idRetentionMs = 2 * slotGrantTtl;
const initialSlotTimeMs = 100;
/** Weight of one request in the moving average of slot time. */
const slotTimeWeight = 0.05;
/** Fraction of `queueLimit` up to which asks are queued while the service is overloaded. */
const overloadedQueueRatio = 0.25;
/**
 * Number of generations (identifiers of a run of the target process) that are kept, so that a late
 * response of an earlier process is recognized and does not restart the warm-up.
 */
const maxGenerations = 4;

const retryAfterMs: Readonly<Record<SlotRefusalReason, number>> = {
	'no-capacity': 250,
	'queue-full': 500,
	deadline: 500,
	'not-coordinator': 100,
	'service-unhealthy': 1000,
};

export function createSlotCoordinator(options: SlotCoordinatorOptions): SlotCoordinator {
	const {self, shareFractionOf, availability, random, weightOf = () => 1} = options;
	const {
		workspaceQueueLimit = 256,
		queueLimit = 1024,
		configurationDistributionTime = 3000,
	} = options;
	const services = new Map<string, CoordinatedService>();
	const grantsByAsk = new Map<string, OpenGrant>();
	/**
	 * The refusal of each refused ask; undefined for an ask that was cancelled or whose grant has
	 * ended, which gets no further reply.
	 */
	const settledAsks = createTtlCache<SlotRefusal | undefined>(idRetentionMs);
	const endedGrants = createTtlCache<undefined>(idRetentionMs);
	/** Next coordinator of each shard that was handed over, by resource of the shard. */
	const successors = new Map<string, InstanceId | undefined>();
	let isStopped = false;
	let nextGrantNumber = 0;
	let lastEvaluation = Number.NEGATIVE_INFINITY;
	/**
	 * `now` of the latest evaluation of health, for `isEjectionAllowed`, which is called during the
	 * evaluation.
	 */
	let evaluatedAt = 0;

	/** Targets that left the configuration keep their open grants but count as leaving. */
	function currentAvailability(service: string, target: DispatchTarget) {
		const isConfigured = services.get(service)?.shardMap.shardOf(target.id) !== undefined;
		return isConfigured ? availability(service, target) : 'leaving';
	}

	function createService(name: string, settings: DispatchSettings): CoordinatedService {
		const shards = new Map<number, CoordinatedShard>();
		const health = createTargetHealth({
			isEjectionAllowed(target) {
				const shard = shards.get(services.get(name)?.shardMap.shardOf(target) ?? -1);
				return (
					shard !== undefined &&
					canEject(target, floorTargetsOf(shard, choice, evaluatedAt), shard.settings.floor)
				);
			},
		});
		const choice = {random, availability: currentAvailability, health};
		const shardMap = createShardMap(settings);
		return {name, settings, shardMap, movedAt: new Map(), health, choice, shards};
	}

	function createTarget(
		service: CoordinatedService,
		definition: DispatchTarget,
		resource: string,
		now: number,
	): CoordinatedTarget {
		const {settings, movedAt, name} = service;
		const targetMovedAt = movedAt.get(definition.id);
		const hasMoved = targetMovedAt !== undefined;
		return createCoordinatedTarget(
			{
				service: name,
				definition,
				settings,
				notBefore: hasMoved ? targetMovedAt + configurationDistributionTime + 2 * slotGrantTtl : 0,
				// One less than the limit, because the number of connections must stay below it.
				connectionLimit: time =>
					slotAuthority(
						Math.max(1, settings.connections - 1),
						shareFractionOf(resource, time).vested,
					),
				connectionsUnknownUntil: now + idleConnectionTimeout,
			},
			now,
		);
	}

	function getOrCreateShard(
		service: CoordinatedService,
		number: number,
		now: number,
	): CoordinatedShard {
		let shard = service.shards.get(number);
		if (shard === undefined) {
			const resource = shardResource(service.name, number);
			shard = {
				service: service.name,
				number,
				resource,
				queue: createFairQueue<WaitingAsk>({
					weightOf,
					workspaceLimit: workspaceQueueLimit,
					totalLimit: queueLimit,
				}),
				targets: new Map(),
				createdAt: now,
				lastLentAt: now,
				meanSlotTime: initialSlotTimeMs,
				settings: service.settings,
			};
			for (const definition of service.shardMap.shards[number] ?? []) {
				shard.targets.set(definition.id, createTarget(service, definition, resource, now));
			}

			service.shards.set(number, shard);
		}

		return shard;
	}

	/**
	 * The shard, created if necessary. Undefined when no share of it is lent to this instance, when
	 * the configuration has no such shard, and after `handOverShards`.
	 */
	function lentShard(name: string, shardNumber: number, now: number): CoordinatedShard | undefined {
		const service = services.get(name);
		const isLent = shareFractionOf(shardResource(name, shardNumber), now).current > 0;
		if (service === undefined || isStopped || !isLent || !service.shardMap.shards[shardNumber]) {
			return undefined;
		}

		const shard = getOrCreateShard(service, shardNumber, now);
		shard.lastLentAt = now;
		return shard;
	}

	function refuse(
		ask: SlotAsk,
		to: InstanceId,
		reason: SlotRefusalReason,
		queueLength: number,
		now: number,
	): OutboundMessage<SlotMessage> {
		const message: SlotRefusal = {
			kind: 'slot-refusal',
			id: ask.id,
			reason,
			retryAfter: retryAfterMs[reason],
			runState: 'not-run',
			queueLength,
		};
		settledAsks.add(ask.id, message, now);
		return {to, message};
	}

	function issueGrant(
		shard: CoordinatedShard,
		target: CoordinatedTarget,
		{ask, holder}: WaitingAsk,
		now: number,
	): OutboundMessage<SlotMessage> {
		const keepConnection = target.connections.takeKeptConnection(holder, target.grants.size, now);
		const grant = `${self}/${nextGrantNumber++}`;
		const warmSlots = target.warmUp.allowedSlots;
		const grantMessage: SlotGrantMessage = {
			kind: 'slot-grant',
			id: ask.id,
			attempt: ask.attempt,
			grant,
			target: target.definition.id,
			term: slotGrantTtl,
			warmSlots,
			keepConnection,
			queueLength: shard.queue.size,
		};
		const {workspace} = ask;
		const estimate = shard.meanSlotTime;
		target.addGrant(
			{grant, holder, workspace, warmSlots, keepConnection, estimate, grantMessage},
			now,
		);
		grantsByAsk.set(ask.id, target.grants.get(grant)!);
		return {to: holder, message: grantMessage};
	}

	/** Refuses the asks whose deadline has passed, then grants free slots to the waiting asks. */
	function grantWaiting(service: CoordinatedService, shard: CoordinatedShard, now: number): Outbox {
		const outbox: Outbox = [];
		for (const {ask, holder, deadline} of shard.queue.removeExpired(now)) {
			// An ask that expired before its deadline has not been repeated: its holder is gone or
			// unreachable. A later repetition is queued again.
			if (deadline <= now) {
				outbox.push(refuse(ask, holder, 'deadline', shard.queue.size, now));
			}
		}

		if (isStopped) {
			return outbox;
		}

		const {vested} = shareFractionOf(shard.resource, now);
		while (shard.queue.size > 0 && hasAnyFreeSlot(shard, vested, service.health)) {
			let chosen: CoordinatedTarget | undefined;
			const taken = shard.queue.take(waiting => {
				chosen = chooseTarget(shard, waiting, vested, service.choice, now);
				return chosen !== undefined;
			}, shard.meanSlotTime);
			if (taken === undefined || chosen === undefined) {
				break;
			}

			outbox.push(issueGrant(shard, chosen, taken, now));
		}

		return outbox;
	}

	/** The reason to refuse an ask before it is queued, or undefined. */
	function refusalOf(
		service: CoordinatedService,
		shard: CoordinatedShard,
		ask: SlotAsk,
		now: number,
	): SlotRefusalReason | undefined {
		let usable = 0;
		let notExcluded = 0;
		for (const target of shard.targets.values()) {
			if (isUsable(target, service.choice, now)) {
				usable++;
				notExcluded += ask.excludeTargets.includes(target.definition.id) ? 0 : 1;
			}
		}

		if (usable === 0) {
			return 'service-unhealthy';
		}

		if (notExcluded === 0) {
			return 'no-capacity';
		}

		if (service.health.isOverloaded && shard.queue.size >= queueLimit * overloadedQueueRatio) {
			return 'service-unhealthy';
		}

		const slots = usableSlots(
			shard,
			shareFractionOf(shard.resource, now).vested,
			service.choice,
			now,
		);
		const wait =
			(shard.queue.entriesAhead(ask.workspace) * shard.meanSlotTime) / Math.max(1, slots);
		return ask.timeLeft <= 0 || (slots > 0 && wait > ask.timeLeft) ? 'deadline' : undefined;
	}

	function queueAsk(
		shard: CoordinatedShard,
		ask: SlotAsk,
		holder: InstanceId,
		now: number,
	): boolean {
		const deadline = now + ask.timeLeft;
		const isQueued = shard.queue.add({
			id: ask.id,
			workspace: ask.workspace,
			deadline,
			ask,
			holder,
		});
		shard.queue.setExpiry(ask.id, Math.min(deadline, now + askTtlMs));
		return isQueued;
	}

	function handleRepeatedAsk(
		shard: CoordinatedShard,
		waiting: WaitingAsk,
		ask: SlotAsk,
		now: number,
	): Outbox {
		if (ask.attempt > waiting.ask.attempt) {
			waiting.ask = ask;
			shard.queue.setExpiry(ask.id, Math.min(waiting.deadline, now + askTtlMs));
		}

		return [createQueuedReply(shard, ask.id, waiting.holder)];
	}

	function createQueuedReply(
		shard: CoordinatedShard,
		id: string,
		to: InstanceId,
	): OutboundMessage<SlotMessage> {
		return {to, message: {kind: 'slot-queued', id, queueLength: shard.queue.size}};
	}

	/** Handles an ask that has neither a grant nor a refusal: a new one, or one that waits. */
	function handleUnansweredAsk(ask: SlotAsk, {from, now}: Context): Outbox {
		const service = services.get(ask.service);
		const shard = lentShard(ask.service, ask.shard, now);
		if (service === undefined || shard === undefined) {
			return [refuse(ask, from, 'not-coordinator', 0, now)];
		}

		const waiting = shard.queue.get(ask.id);
		if (waiting !== undefined) {
			return handleRepeatedAsk(shard, waiting, ask, now);
		}

		const reason = refusalOf(service, shard, ask, now);
		if (reason !== undefined) {
			return [refuse(ask, from, reason, shard.queue.size, now)];
		}

		if (!queueAsk(shard, ask, from, now)) {
			return [refuse(ask, from, 'queue-full', shard.queue.size, now)];
		}

		const outbox = grantWaiting(service, shard, now);
		if (shard.queue.get(ask.id) !== undefined) {
			outbox.push(createQueuedReply(shard, ask.id, from));
		}

		return outbox;
	}

	/**
	 * Records the generation that a response reports; a new one after the first restarts the warm-up.
	 * Returns false for a late response of a process of the target that has been replaced since.
	 */
	function recordGeneration(
		{health}: CoordinatedService,
		target: CoordinatedTarget,
		generation: string | undefined,
		now: number,
	): boolean {
		const {generations} = target;
		if (generation === undefined || generation === generations.at(-1)) {
			return true;
		}

		if (generations.includes(generation)) {
			return false;
		}

		const isRestart = generations.length > 0;
		target.generations = [...generations.slice(1 - maxGenerations), generation];
		if (isRestart) {
			target.warmUp.restart(now);
			health.clearSamples(target.definition.id);
		}

		return true;
	}

	/**
	 * Suspects a restart as soon as a connection fails, until a request that was sent after the
	 * failure gets a response. The generation in the first response after a restart would be too late
	 * to keep further requests from a cold process.
	 */
	function updateRestartSuspicion(
		target: CoordinatedTarget,
		outcome: AttemptOutcome,
		now: number,
	): void {
		const {restartSuspectedAt} = target;
		if (connectionFailures.has(outcome.result)) {
			target.restartSuspectedAt = now;
		} else if (restartSuspectedAt !== undefined && responseResults.has(outcome.result)) {
			const sentAt = now - outcome.slotTime;
			if (sentAt > restartSuspectedAt) {
				target.restartSuspectedAt = undefined;
			}
		}
	}

	function recordOutcome(
		service: CoordinatedService,
		shard: CoordinatedShard,
		target: CoordinatedTarget,
		{outcome, holder}: SlotRelease,
		now: number,
	): void {
		if (!outcome || !recordGeneration(service, target, outcome.generation, now)) {
			return;
		}

		updateRestartSuspicion(target, outcome, now);
		shard.meanSlotTime += (outcome.slotTime - shard.meanSlotTime) * slotTimeWeight;
		service.health.record(target.definition.id, holder, outcome, now);
		if (outcome.result === 'ok') {
			target.warmUp.recordSuccess(now);
		}
	}

	function endGrant(
		shard: CoordinatedShard,
		target: CoordinatedTarget,
		openGrant: OpenGrant,
		slotTime: number,
		now: number,
	): void {
		target.grants.delete(openGrant.grant);
		shard.queue.adjustCharge(openGrant.workspace, slotTime - openGrant.estimate);
		if (openGrant.keepConnection) {
			target.connections.addKeptConnection(openGrant.holder, now);
		}

		if (openGrant.grantMessage !== undefined) {
			grantsByAsk.delete(openGrant.grantMessage.id);
			settledAsks.add(openGrant.grantMessage.id, undefined, now);
		}
	}

	/**
	 * Finds the target in its configured shard if this instance has state of that shard, otherwise in
	 * any shard of this instance: a target that has moved or left the configuration may still be in
	 * its former shard.
	 */
	function findTarget(name: string, id: string) {
		const service = services.get(name);
		const shardNumber = service?.shardMap.shardOf(id);
		const preferred = shardNumber === undefined ? undefined : service?.shards.get(shardNumber);
		// A search is necessary only for a target that has moved or left, and an instance has few
		// shards.
		const shards = preferred ? [preferred] : [...(service?.shards.values() ?? [])];
		for (const shard of shards) {
			const target = shard.targets.get(id);
			if (service && target) {
				return {service, shard, target};
			}
		}

		return undefined;
	}

	function handleRelease(message: SlotRelease, {now}: Context): Outbox {
		const shardNumber = services.get(message.service)?.shardMap.shardOf(message.target) ?? -1;
		const successor = successors.get(shardResource(message.service, shardNumber));
		const forwarded: Outbox = successor === undefined ? [] : [{to: successor, message}];
		const found = findTarget(message.service, message.target);
		if (found === undefined || endedGrants.has(message.grant, now)) {
			return forwarded;
		}

		const {service, shard, target} = found;
		const openGrant = target.grants.get(message.grant);
		if (openGrant !== undefined && openGrant.holder !== message.holder) {
			return [];
		}

		recordOutcome(service, shard, target, message, now);
		// A renewal that arrives after the release must not restore the grant.
		endedGrants.add(message.grant, undefined, now);
		if (openGrant !== undefined) {
			endGrant(shard, target, openGrant, message.outcome?.slotTime ?? 0, now);
		}

		return [...forwarded, ...grantWaiting(service, shard, now)];
	}

	function renew(holding: ReportedGrant, holder: InstanceId, now: number): boolean {
		const service = services.get(holding.service);
		const known = findTarget(holding.service, holding.target);
		const shardNumber = known?.shard.number ?? service?.shardMap.shardOf(holding.target);
		const shard =
			shardNumber === undefined ? undefined : lentShard(holding.service, shardNumber, now);
		const target = shard?.targets.get(holding.target);
		if (!shard || !target || endedGrants.has(holding.grant, now)) {
			return false;
		}

		// Each coordinator may use its fraction of the slots that the target is allowed, which bounds
		// the sum only if all fractions refer to the same number of slots. The coordinator that issued
		// the grant may have counted the target as warm while this instance counts it as cold.
		// Therefore the number of slots that the target was allowed when the grant was issued is used
		// if it is higher.
		const slots = Math.min(
			Math.max(holding.warmSlots, target.warmUp.allowedSlots),
			shard.settings.slots,
		);
		const cap = slotAuthority(slots, shareFractionOf(shard.resource, now).current);
		const isAdopted = !target.grants.has(holding.grant);
		const isRenewed = target.renew(holding, holder, cap, now);
		if (isRenewed && isAdopted && now - shard.createdAt <= 2 * slotGrantTtl) {
			// The request is still running, so the process of the target has not restarted since the
			// predecessor warmed it up.
			target.warmUp.raise(holding.warmSlots, now);
		}

		return isRenewed;
	}

	const handlers: MessageHandlers<SlotCoordinatorMessage, Context, Outbox> = {
		'slot-ask'(ask, context) {
			const {from, now} = context;
			const openGrant = grantsByAsk.get(ask.id);
			if (openGrant?.grantMessage !== undefined) {
				return openGrant.holder === from ? [{to: from, message: openGrant.grantMessage}] : [];
			}

			if (settledAsks.has(ask.id, now)) {
				const reply = settledAsks.get(ask.id, now);
				return reply === undefined ? [] : [{to: from, message: reply}];
			}

			return handleUnansweredAsk(ask, context);
		},
		'slot-release': handleRelease,
		'slot-cancel'({id, service: name, shard: shardNumber}, {from, now}) {
			const service = services.get(name);
			const shard = service?.shards.get(shardNumber);
			const openGrant = grantsByAsk.get(id);
			settledAsks.add(id, undefined, now);
			if (!service || !shard || (openGrant && openGrant.holder !== from)) {
				return [];
			}

			shard.queue.remove(id);
			const target = shard.targets.get(openGrant?.grantMessage?.target ?? '');
			if (openGrant && target) {
				endedGrants.add(openGrant.grant, undefined, now);
				endGrant(shard, target, openGrant, 0, now);
			}

			return grantWaiting(service, shard, now);
		},
		'slot-renew'({sequence, holdings}, {from, now}) {
			const renewed: string[] = [];
			const refused: string[] = [];
			for (const holding of holdings) {
				(renew(holding, from, now) ? renewed : refused).push(holding.grant);
			}

			return [{to: from, message: {kind: 'slot-renewed', sequence, renewed, refused}}];
		},
		'slot-handover'({service: name, shard: shardNumber, grants, targets}, {now}) {
			const service = services.get(name);
			if (!service?.shardMap.shards[shardNumber] || isStopped) {
				return [];
			}

			const shard = getOrCreateShard(service, shardNumber, now);
			for (const {target: id, warmSlots, generation, ejectedFor} of targets) {
				const target = shard.targets.get(id);
				target?.warmUp.raise(warmSlots, now);
				if (target?.generations.length === 0 && generation !== undefined) {
					target.generations = [generation];
				}

				if (target && ejectedFor !== undefined) {
					service.health.adoptEjection(id, ejectedFor, now);
				}
			}

			for (const {target: id, grant, holder, workspace, warmSlots} of grants) {
				const target = shard.targets.get(id);
				if (target && !target.grants.has(grant) && !endedGrants.has(grant, now)) {
					target.addGrant(
						{grant, holder, workspace, warmSlots, keepConnection: false, estimate: 0},
						now,
					);
				}
			}

			return [];
		},
	};

	function recordAvailability(
		{health}: CoordinatedService,
		shard: CoordinatedShard,
		now: number,
	): void {
		for (const target of shard.targets.values()) {
			const present = currentAvailability(target.service, target.definition);
			if (present === 'available' && target.availability !== 'available') {
				// A target that was unavailable may have cold caches or a new process.
				target.warmUp.restart(now);
				health.clearSamples(target.definition.id);
			}

			target.availability = present;
		}
	}

	function evaluateHealth(service: CoordinatedService, now: number): void {
		for (const change of service.health.evaluate(now)) {
			if (change.state === 'trial') {
				findTarget(service.name, change.target)?.target.warmUp.restart(now);
			}

			options.onHealthChange?.(service.name, change);
		}

		for (const shard of service.shards.values()) {
			restoreFloor(service, shard, now);
		}
	}

	/** Ends ejections that violate the floor because another target has left or become cold since. */
	function restoreFloor(service: CoordinatedService, shard: CoordinatedShard, now: number): void {
		for (const {id, isEjected} of floorTargetsOf(shard, service.choice, now)) {
			const targets = floorTargetsOf(shard, service.choice, now);
			if (keepsFloor(targets, shard.settings.floor)) {
				return;
			}

			if (isEjected) {
				service.health.startTrial(id);
				shard.targets.get(id)?.warmUp.restart(now);
			}
		}
	}

	function tickShard(service: CoordinatedService, shard: CoordinatedShard, now: number): Outbox {
		for (const target of shard.targets.values()) {
			for (const openGrant of target.removeExpiredGrants(now)) {
				endGrant(shard, target, openGrant, openGrant.estimate, now);
			}

			if (
				target.grants.size === 0 &&
				service.shardMap.shardOf(target.definition.id) !== shard.number
			) {
				shard.targets.delete(target.definition.id);
				service.health.forget(target.definition.id);
			}
		}

		recordAvailability(service, shard, now);
		if (shareFractionOf(shard.resource, now).current > 0) {
			shard.lastLentAt = now;
			return grantWaiting(service, shard, now);
		}

		if (now - shard.lastLentAt > shardRetentionMs) {
			service.shards.delete(shard.number);
			for (const id of shard.targets.keys()) {
				service.health.forget(id);
			}
		}

		return shard.queue
			.clear()
			.map(({ask, holder}) => refuse(ask, holder, 'not-coordinator', 0, now));
	}

	/** Applies new settings to the targets of a shard. Open grants and the warm-up state are kept. */
	function reconfigureShard(
		service: CoordinatedService,
		shard: CoordinatedShard,
		now: number,
	): void {
		const hasSameLimits = isDeepStrictEqual(
			{...shard.settings, targets: []},
			{...service.settings, targets: []},
		);
		shard.settings = service.settings;
		for (const definition of service.shardMap.shards[shard.number] ?? []) {
			const previous = shard.targets.get(definition.id);
			const next = createTarget(service, definition, shard.resource, now);
			const isUnchanged =
				hasSameLimits &&
				previous?.notBefore === next.notBefore &&
				isDeepStrictEqual(previous.definition, definition);
			if (isUnchanged) {
				continue;
			}

			if (previous) {
				next.warmUp.raise(previous.warmUp.allowedSlots, now);
				next.generations = previous.generations;
				next.availability = previous.availability;
				for (const [id, openGrant] of previous.grants) {
					next.grants.set(id, openGrant);
				}
			}

			shard.targets.set(definition.id, next);
		}
	}

	function reconfigure(service: CoordinatedService, settings: DispatchSettings, now: number): void {
		// Most configuration changes concern other services.
		if (isDeepStrictEqual(service.settings, settings)) {
			return;
		}

		const shardMap = createShardMap(settings);
		const movedAt = new Map<string, number>();
		for (const {id} of settings.targets) {
			const targetMovedAt =
				shardMap.shardOf(id) === service.shardMap.shardOf(id) ? service.movedAt.get(id) : now;
			if (targetMovedAt !== undefined) {
				movedAt.set(id, targetMovedAt);
			}
		}

		service.settings = settings;
		service.shardMap = shardMap;
		service.movedAt = movedAt;
		for (const shard of service.shards.values()) {
			reconfigureShard(service, shard, now);
		}
	}

	function exportShard(shard: CoordinatedShard, {health}: CoordinatedService, now: number) {
		const targets = [...shard.targets.values()];
		return {
			kind: 'slot-handover' as const,
			service: shard.service,
			shard: shard.number,
			grants: targets.flatMap(target =>
				[...target.grants.values()].map(({grant, holder, workspace, warmSlots}) => ({
					grant,
					holder,
					workspace,
					warmSlots,
					service: shard.service,
					target: target.definition.id,
				})),
			),
			targets: targets.map(target => ({
				target: target.definition.id,
				warmSlots: target.warmUp.allowedSlots,
				generation: target.generations.at(-1),
				ejectedFor: health.ejectedFor(target.definition.id, now),
			})),
		};
	}

	return {
		configure(definitions, now) {
			for (const [name, settings] of definitions) {
				const service = services.get(name);
				if (service) {
					reconfigure(service, settings, now);
				} else {
					services.set(name, createService(name, settings));
				}
			}

			for (const [name, service] of services) {
				if (!definitions.has(name)) {
					// The service is kept without targets, so that it grants no slots and its open grants can
					// end.
					reconfigure(service, {...service.settings, targets: []}, now);
				}
			}
		},
		handle: (message, from, now) => dispatchMessage(handlers, message, {from, now}),
		tick(now) {
			const isEvaluationDue = now - lastEvaluation >= evaluationInterval;
			if (isEvaluationDue) {
				lastEvaluation = now;
				evaluatedAt = now;
			}

			const outbox: Outbox = [];
			for (const service of services.values()) {
				if (isEvaluationDue) {
					evaluateHealth(service, now);
				}

				for (const shard of service.shards.values()) {
					outbox.push(...tickShard(service, shard, now));
				}
			}

			return outbox;
		},
		handOverShards(successorOf, now) {
			const outbox: Outbox = [];
			for (const service of services.values()) {
				for (const shard of service.shards.values()) {
					for (const {ask, holder} of shard.queue.clear()) {
						outbox.push(refuse(ask, holder, 'not-coordinator', 0, now));
					}

					// If this instance were its own successor, it would forward each release to itself in an
					// endless loop.
					const successor = successorOf(shard.resource, now);
					const to = successor === self ? undefined : successor;
					successors.set(shard.resource, to);
					if (to !== undefined) {
						outbox.push({to, message: exportShard(shard, service, now)});
					}
				}
			}

			isStopped = true;
			return outbox;
		},
		openGrantCount: (service, target) => findTarget(service, target)?.target.grants.size ?? 0,
		healthOf: (service, target) => services.get(service)?.health.stateOf(target) ?? 'healthy',
		allowedSlotsOf(name, id) {
			const found = findTarget(name, id);
			return found && allowedSlots(found.target, found.shard.settings, found.service.health);
		},
	};
}
