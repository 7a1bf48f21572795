/**
 * Assigns a target to each attempt. Combines the targets that the platform lists, the outcomes that
 * the fleet reports and the requests that this instance has in flight; the decisions themselves are
 * made in `policy-routing`.
 */
import {type EventLog} from '@shallotpond/observability/event-log';
import {
	type AttemptOutcome,
	type AttemptResult,
	type Refusal,
	type TargetNotice,
} from '@shallotpond/kernel/attempt-outcome';
import {
	type RouteDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {type SlotGrant, type SlotRequest} from '@shallotpond/io-http/request-policy';
import {createLightweightAbortController} from '@shallotpond/io-http/abort-signal';
import {
	createColdTargetPermits,
	type ColdBound,
} from '@shallotpond/policy-routing/cold-target-permits';
import {createConnectionReusePolicy} from '@shallotpond/policy-routing/connection-reuse-policy';
import {
	createSlidingWindowCounter,
	type SlidingWindowCounter,
} from '@shallotpond/policy-routing/sliding-window-counter';
import {
	inUseWindowMs,
	minTargetsInUse,
	countTargetsInUse,
	type TargetsInUse,
} from '@shallotpond/policy-routing/targets-in-use';
import {selectHedgeTargets} from '@shallotpond/policy-routing/hedge-targets';
import {createTargetSelector} from '@shallotpond/policy-routing/target-selector';
import {
	targetIdOf,
	unknownStartTime,
	type KnownTarget,
	type TargetDirectory,
} from '@shallotpond/policy-routing/target-directory';
import {type OutcomeCounts, type TargetEvidence} from '@shallotpond/policy-routing/target-evidence';
import {createTargetOutages} from '@shallotpond/policy-routing/target-outages';
import {createTargetNotices} from '@shallotpond/policy-routing/target-notices';
import {drawRetryAfter} from '@shallotpond/policy-routing/retry-after';
import {createTargetIdleTimes} from '@shallotpond/policy-routing/target-idle-times';
import {
	type Member,
	type TargetLoad,
	type TargetReport,
} from '@shallotpond/policy-fleet/fleet-message';
import {createEstimatedTargetLoads} from '@shallotpond/policy-routing/estimated-target-loads';
import {createReportedTargetLoads} from '@shallotpond/policy-routing/reported-target-loads';
import {type CurrentConfiguration} from './current-configuration.js';
import {maxFleetSizeOf} from './fleet-size-bound.js';

export type RoutingService = {
	/** Returns a target for one attempt or a refusal; there is no queue. */
	acquire(request: SlotRequest): SlotGrant | Refusal;
	/**
	 * Returns a target for a hedge of a request that is still at another target, or undefined if no
	 * target is fit for one. `take` charges the hedge; it is called only if there is a target, and if
	 * it returns false there is no hedge.
	 */
	acquireHedge(request: SlotRequest, take: () => boolean): SlotGrant | undefined;
	/**
	 * Whether a target that was chosen earlier may still get requests: it is listed at the same
	 * address in a failure domain that is in service, and has not asked for no more requests since.
	 */
	isUsable(target: TargetDefinition): boolean;
	/**
	 * Adds outcomes that other instances reported. Ignores outcomes at targets that are not listed,
	 * and at other starts of a target than the listed one.
	 */
	merge(reports: readonly TargetReport[], from: Member, now: number): void;
	/**
	 * Records the current requests of a member of this failure domain at targets; replaces its
	 * previous report.
	 */
	recordLoad(from: Member, loads: readonly TargetLoad[], now: number): void;
	/** Adds targets that other instances reported as leaving, by incarnation. */
	mergeLeaving(incarnations: readonly string[], now: number): void;
	/** Targets that lately told this instance that they are leaving, by incarnation. */
	recentlyLeaving(now: number): readonly string[];
	/** Requests of this instance that are currently at targets. */
	inFlight(): TargetLoad[];
	/** Outcomes that this instance observed since the last call. */
	takeTargetReports(): TargetReport[];
	/** Removes records of targets that are no longer listed or have not been used for a while. */
	prune(now: number): void;
	/**
	 * Logs when the load of a service narrows to fewer targets than its floor requires (a minimum
	 * fraction of its targets), or widens again.
	 */
	logTargetsInUseChanges(now: number): void;
	/** How many targets of each service are usable and in use, and which are unused. */
	targetsInUse(now: number): ReadonlyMap<string, TargetsInUse>;
};

export type RoutingServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: EventLog;
	readonly failureDomain: string;
	readonly configuration: CurrentConfiguration;
	readonly directory: TargetDirectory;
	readonly evidence: TargetEvidence;
	readonly coldBound: ColdBound;
	/**
	 * Number of instances that may be serving, including this one, those out of contact and, while the
	 * fleet is not known, those that there may be.
	 */
	readonly fleetSize: () => number;
	/**
	 * Position of this instance among all instances, as a fraction of their number, 0 to 1; undefined
	 * while they are not known.
	 */
	readonly fleetPosition: () => number | undefined;
	/** Called for a failure that must be reported to the other instances at once. */
	readonly onFailure: () => void;
	/** Called when a request was sent to a target or has ended there. */
	readonly onLoadChange: () => void;
	/**
	 * Called with the latency of each successful attempt, or with the time after which an attempt
	 * without a response was given up. Milliseconds.
	 */
	readonly onLatency?: (
		request: SlotRequest,
		latency: number,
		end: 'response' | 'given-up',
	) => void;
};

/**
 * Milliseconds for which a target counts as leaving after it has said so. The knowledge belongs to
 * one start of the target, which never returns to service; some serve on for many seconds.
 */
const leavingRetentionMs = 600_000;
/** Time over which the request rate of a service is measured. */
const rateWindowMs = 5000;
/** Milliseconds after the start in which a process may not know all members of the fleet. */
const discoveryTimeMs = 3000;
/** Milliseconds after the start in which too few members are known for a position among them. */
const minPositionAgeMs = 1000;
/** How long the connection of a served request is expected to stay open. */
const connectionTtlMs = 7500;
const millisecondsPerSecond = 1000;
/** Failure risk above which a target counts as suspected. */
const suspectedRisk = 0.3;
/**
 * How long an attempt of a repeatable request may stay without a response before it may be
 * abandoned. Responses that would have come later are missing from the mean latency, so a short
 * timeout lowers the mean and with it the next timeout.
 */
const silenceTimeouts = {
	/**
	 * Multiples of the mean latency of the service and of the latency objective of the route; the
	 * longer time applies.
	 */
	trusted: {means: 3.5, objectives: 0.9},
	suspected: {means: 2, objectives: 0.5},
} as const;
/**
 * Estimated latency of an attempt that lost a race against a hedge, as a multiple of the time until
 * then. With the time itself, a target that is eight times slower than the others got twice as many
 * requests as without hedges (model of hedging.test.ts).
 */
const lostRaceLatencyFactor = 2;
/**
 * Fraction of the latency objective after which a timeout counts against the target; an earlier one
 * only shows that the request had little time left.
 */
const minTimeoutFraction = 0.45;
/** Time within which a connection that the target has dropped is reset when it is used. */
const maxStaleLatencyMs = 25;
/** Expected size of a response in bytes. */
const responseBytesByKind = {download: 90_000, other: 2000} as const;

/**
 * Requests per target in `inUseWindowMs` below which the floor of a service is not applied, because
 * it gets too few requests to keep its targets in use.
 */
const minRequestsPerTarget = 2;
const inUseSeconds = inUseWindowMs / millisecondsPerSecond;
const hundredths = 100;
const noOutcomes: OutcomeCounts = {good: 0, bad: 0, busy: 0, latency: 0};

/** Rounds to the two decimal places that are useful in the log. */
function roundForLog(value: number): number {
	return Math.round(value * hundredths) / hundredths;
}

/** Milliseconds within which a response is worth most; half of the route's timeout by default. */
export function latencyObjectiveOf(route: RouteDefinition): number {
	return route.latencyObjective ?? route.timeout / 2;
}

/** Whether another attempt may follow the one for which the target is chosen. */
function mayBeRepeated({isIdempotent, excludedTargets, route}: SlotRequest): boolean {
	return isIdempotent && excludedTargets.length + 1 < (route.attempts ?? Number.POSITIVE_INFINITY);
}

export function createRoutingService(options: RoutingServiceOptions): RoutingService {
	const {clock, random, log, configuration, directory, evidence} = options;
	/** Requests of this instance that are currently at a target, by incarnation. */
	const inFlight = new Map<string, number>();
	const reportedLoads = createReportedTargetLoads();
	const estimatedLoads = createEstimatedTargetLoads();
	/** Monotonic milliseconds of the last successful attempt, by incarnation. */
	const servedAt = new Map<string, number>();
	const connectionReuse = createConnectionReusePolicy();
	/** Number of stale connections since the last report, by incarnation. */
	const staleConnections = new Map<string, number>();
	/** Number of failures to connect since the last report, by incarnation. */
	const unreachedTargets = new Map<string, number>();
	const outages = createTargetOutages();
	/** Names this instance among those that failed to connect to a target. */
	const self = {address: '', failureDomain: options.failureDomain};
	/** Requests of the whole fleet within `rateWindowMs`, by service. */
	const requestCounters = new Map<string, SlidingWindowCounter>();
	/** Incarnations that have been logged as suspected and not yet as trusted again. */
	const suspectedTargets = new Set<string>();
	const idleTimes = createTargetIdleTimes();
	const notices = createTargetNotices({leavingRetention: leavingRetentionMs});
	/** Services whose load has narrowed to fewer targets than their floor requires. */
	const narrowedServices = new Set<string>();
	const startedAt = clock.monotonic();

	/** Targets of the service that may get requests, also by their own notices. */
	function usableTargets(service: string, now: number): KnownTarget[] {
		return directory
			.usable(service, now)
			.filter(({incarnation}) => notices.isOpen(incarnation, now));
	}

	function countRequests(service: string, amount: number, now: number): void {
		let counter = requestCounters.get(service);
		if (counter === undefined) {
			counter = createSlidingWindowCounter({window: rateWindowMs});
			requestCounters.set(service, counter);
		}

		counter.add(amount, now);
	}

	/** Requests per second of the whole fleet for the service. */
	function observedRate(service: string, now: number): number {
		const requests = requestCounters.get(service)?.total(now) ?? 0;
		const observedMs = Math.min(rateWindowMs, Math.max(now - startedAt, millisecondsPerSecond));
		return (requests / observedMs) * millisecondsPerSecond;
	}

	function coldRateOf(service: string): number | undefined {
		return configuration.tables?.document.services[service]?.coldRate;
	}

	/** Number of instances that may be serving. A new process may not know all members yet. */
	function fleetSize(now: number): number {
		const isNew = now - startedAt < discoveryTimeMs;
		return Math.max(options.fleetSize(), isNew ? maxFleetSizeOf(directory) : 1);
	}

	/**
	 * In a fleet that starts at once, the positions by the few known members are the same at many
	 * instances, whose permits would then be valid together.
	 */
	function fleetPosition(now: number): number | undefined {
		return now - startedAt < minPositionAgeMs ? undefined : options.fleetPosition();
	}

	function targetPosition({service, incarnation}: KnownTarget, now: number): number {
		const targets = directory.usable(service, now);
		const before = targets.filter(target => target.incarnation < incarnation);
		return before.length / Math.max(1, targets.length);
	}

	const coldPermits = createColdTargetPermits({
		bound: options.coldBound,
		fleetSize,
		fleetPosition,
		targetPosition,
		random,
	});

	function mayUseCold(target: KnownTarget, now: number): boolean {
		const coldRate = coldRateOf(target.service);
		return coldRate === undefined || coldPermits.isAvailable(target, coldRate, now);
	}

	function outageTargetOf({incarnation, definition}: KnownTarget) {
		return {incarnation, failureDomain: definition.failureDomain};
	}

	function isInActiveDomain(target: KnownTarget): boolean {
		return configuration.tables?.isDomainActive(target.definition.failureDomain) ?? false;
	}

	/**
	 * Requests currently at the target: those of this instance and those that other instances of its
	 * failure domain reported.
	 */
	function loadAt({incarnation}: KnownTarget, now: number): number {
		return (inFlight.get(incarnation) ?? 0) + reportedLoads.requestsAt(incarnation, now);
	}

	const selector = createTargetSelector({
		failureDomain: options.failureDomain,
		random,
		conditionOf: (target, now) => evidence.conditionOf(target.incarnation, target.service, now),
		inFlight: loadAt,
		fleetLoad: ({incarnation}, now) => estimatedLoads.requestsAt(incarnation, now),
		unusedFor: idleTimes.unusedFor,
		hasConnection: ({incarnation}, now) =>
			!inFlight.has(incarnation) &&
			now - (servedAt.get(incarnation) ?? Number.NEGATIVE_INFINITY) < connectionTtlMs,
		isInActiveDomain,
		mayUseCold,
	});

	function changeInFlight(incarnation: string, change: number): void {
		const count = (inFlight.get(incarnation) ?? 0) + change;
		if (count <= 0) {
			inFlight.delete(incarnation);
		} else {
			inFlight.set(incarnation, count);
		}

		options.onLoadChange();
	}

	function logSuspicionChange(target: KnownTarget, now: number): void {
		const {failureRisk} = evidence.conditionOf(target.incarnation, target.service, now);
		const isSuspected = failureRisk > suspectedRisk;
		if (isSuspected === suspectedTargets.has(target.incarnation)) {
			return;
		}

		const fields = {target: target.incarnation, service: target.service, failureRisk};
		if (isSuspected) {
			suspectedTargets.add(target.incarnation);
			log.write('target-suspected', fields);
		} else {
			suspectedTargets.delete(target.incarnation);
			log.write('target-trusted', fields);
		}
	}

	/** The floor of the service, or 0 while it gets too few requests for all of its targets. */
	function floorOf(service: string, targetCount: number, now: number): number {
		const requests = observedRate(service, now) * inUseSeconds;
		return requests < targetCount * minRequestsPerTarget
			? 0
			: (configuration.tables?.document.services[service]?.floor ?? 0);
	}

	function targetsInUseOf(service: string, now: number): TargetsInUse {
		return countTargetsInUse({
			targets: usableTargets(service, now).filter(target => isInActiveDomain(target)),
			unusedFor: target => idleTimes.unusedFor(target, now),
		});
	}

	/** Describes for the log why a target gets no requests. */
	function describeUnused(target: KnownTarget, now: number) {
		const {failureRisk, slowness, busyness, isUnreachable} = evidence.conditionOf(
			target.incarnation,
			target.service,
			now,
		);
		return {
			target: target.incarnation,
			unusedFor: Math.round(idleTimes.unusedFor(target, now)),
			risk: roundForLog(failureRisk),
			slowness: roundForLog(slowness),
			busyness: roundForLog(busyness),
			coldFor: Math.max(0, Math.round(target.coldUntil - now)),
			isUnreachable,
		};
	}

	function targetsInUse(now: number): Map<string, TargetsInUse> {
		const services = Object.keys(configuration.tables?.document.services ?? {});
		return new Map(services.map(service => [service, targetsInUseOf(service, now)]));
	}

	function logTargetsInUseChange(
		service: string,
		{usable, inUse, unused}: TargetsInUse,
		now: number,
	): void {
		const floor = floorOf(service, usable, now);
		const isNarrow = inUse < minTargetsInUse(floor, usable);
		if (isNarrow === narrowedServices.has(service)) {
			return;
		}

		const rate = observedRate(service, now);
		const fields = {service, inUse, usable, floor, rate: Math.round(rate)};
		if (isNarrow) {
			narrowedServices.add(service);
			log.write('service-narrowed', {
				...fields,
				unused: unused.map(target => describeUnused(target, now)),
			});
		} else {
			narrowedServices.delete(service);
			log.write('service-widened', fields);
		}
	}

	function recordStaleConnection(target: KnownTarget, now: number): void {
		const {service, definition} = target;
		const wasReuseLimited = connectionReuse.isReuseLimited(service, now);
		const connection = {service, target: definition.id, failureDomain: definition.failureDomain};
		connectionReuse.recordStale(connection, now);
		if (!wasReuseLimited && connectionReuse.isReuseLimited(service, now)) {
			log.write('connections-doubted', {service, target: target.incarnation});
		}
	}

	/**
	 * Records what a lost race says about the target, and returns the result that counts. An attempt
	 * that took less than the mean says nothing.
	 */
	function resultAfterRace(
		{incarnation, service}: KnownTarget,
		{result, latency}: AttemptOutcome,
		now: number,
	): AttemptResult {
		const mean = evidence.meanLatency(service, now);
		if (result !== 'cancelled' || mean === undefined || latency < mean) {
			return result;
		}

		if (latency >= mean * silenceTimeouts.trusted.means) {
			return 'timeout';
		}

		evidence.recordLate(incarnation, service, latency * lostRaceLatencyFactor, now);
		return result;
	}

	/** The result to record as evidence; `cancelled` if a failure says nothing about the target. */
	function resultOf(target: KnownTarget, request: SlotRequest, outcome: AttemptOutcome) {
		const {latency, idleBefore} = outcome;
		const now = clock.monotonic();
		const result =
			outcome.hasLostRace === true ? resultAfterRace(target, outcome, now) : outcome.result;
		if (result === 'timeout' && latency < latencyObjectiveOf(request.route) * minTimeoutFraction) {
			return 'cancelled';
		}

		const isRightAfterReuse = idleBefore !== undefined && latency < maxStaleLatencyMs;
		if (result !== 'connection-broken' || !isRightAfterReuse) {
			return result;
		}

		recordStaleConnection(target, now);
		const {incarnation} = target;
		staleConnections.set(incarnation, (staleConnections.get(incarnation) ?? 0) + 1);
		options.onFailure();
		return connectionReuse.isReuseLimited(target.service, now) ? 'cancelled' : result;
	}

	/**
	 * Marks a target that may have restarted as cold. Its entry shows a restart only after its next
	 * check-in with the platform.
	 */
	function markCold(target: KnownTarget, reason: string, now: number): void {
		const coldTime = configuration.coldTimeOf(target.service);
		if (target.coldUntil <= now) {
			log.write('target-cold', {target: target.incarnation, reason, for: coldTime});
		}

		directory.markCold(target.definition.id, coldTime, now);
	}

	/** A target may be cold from its return, which can be long after the last failure. */
	function recordResponse(target: KnownTarget, now: number): void {
		if (outages.recordResponse(target.incarnation, now)) {
			markCold(target, 'out-of-reach', now);
		}
	}

	function recordOutcome(target: KnownTarget, request: SlotRequest, outcome: AttemptOutcome): void {
		const now = clock.monotonic();
		const {latency} = outcome;
		if (outcome.result === 'ok') {
			options.onLatency?.(request, latency, 'response');
		} else if (outcome.result === 'timeout' || outcome.hasLostRace === true) {
			options.onLatency?.(request, latency, 'given-up');
		}

		const result = resultOf(target, request, outcome);
		changeInFlight(target.incarnation, -1);
		if (result === 'misdirected') {
			directory.markMisdirected(target.definition.id);
			log.write('target-misdirected', {target: target.incarnation});
		}

		const outcomeClass = evidence.record(
			target.incarnation,
			target.service,
			{result, latency},
			now,
		);
		if (outcomeClass === 'good') {
			servedAt.set(target.incarnation, now);
			estimatedLoads.add(target.incarnation, latency, now);
		}

		if (outcomeClass === 'bad') {
			options.onFailure();
		}

		if (result === 'connection-failed' || result === 'connection-broken') {
			markCold(target, result, now);
		}

		if (result === 'connection-failed') {
			const {incarnation} = target;
			unreachedTargets.set(incarnation, (unreachedTargets.get(incarnation) ?? 0) + 1);
			outages.recordFailure(outageTargetOf(target), self, now);
		} else if (outcomeClass === 'good' || outcomeClass === 'busy') {
			recordResponse(target, now);
		}

		if (outcomeClass === 'path') {
			log.write('path-avoided', {target: target.incarnation, result});
		}

		logSuspicionChange(target, now);
	}

	/**
	 * Milliseconds for which an attempt of a repeatable request may stay without a response before
	 * another attempt may start. Service times vary by a factor of two or three, so only an attempt
	 * at a suspected target is abandoned early.
	 */
	function silenceTimeoutOf(failureRisk: number, request: SlotRequest, now: number): number {
		const mean = evidence.meanLatency(request.service, now) ?? 0;
		const factors =
			failureRisk > suspectedRisk ? silenceTimeouts.suspected : silenceTimeouts.trusted;
		return Math.max(mean * factors.means, latencyObjectiveOf(request.route) * factors.objectives);
	}

	function refuse(service: string, code: string, retryAfter?: number): Refusal {
		return {
			kind: 'refused',
			code,
			status: 503,
			detail: `no target of ${service} can take the request`,
			runState: 'not-run',
			retryAfter,
		};
	}

	/**
	 * The refusal if no target is usable. If targets only asked for a pause, it gives the time at
	 * which the first of them takes requests again, with a random addition that spreads the retries.
	 */
	function refuseWithoutTarget({service, route}: SlotRequest, now: number): Refusal {
		const ends = directory
			.usable(service, now)
			.map(({incarnation}) => notices.heldOffUntil(incarnation, now))
			.filter(end => end !== undefined);
		if (ends.length === 0) {
			return refuse(service, 'no-target');
		}

		const pause = Math.min(...ends) - now;
		return refuse(
			service,
			'targets-held-off',
			pause + drawRetryAfter(latencyObjectiveOf(route), random),
		);
	}

	/**
	 * Forgets the notices of unlisted targets without a start time: their incarnation would be that of
	 * their successors, too.
	 */
	function forgetUnidentifiedTargets(now: number): void {
		for (const incarnation of notices.closed(now)) {
			const id = targetIdOf(incarnation);
			const listed = directory.find(id);
			if (listed === undefined && incarnation === `${id}@${unknownStartTime}`) {
				notices.forget(incarnation);
			}
		}
	}

	function recordNotice({incarnation, service}: KnownTarget, notice: TargetNotice): void {
		const change = notices.record(incarnation, notice, clock.monotonic());
		if (change.isNewlyLeaving) {
			log.write('target-announced-leaving', {target: incarnation, service});
			options.onFailure();
		}

		if (change.isNewlyHeldOff) {
			log.write('target-held-off', {target: incarnation, service, for: notice.holdOff});
		}
	}

	/** What the bound on cold targets was based on, for logs; empty while no candidate is cold. */
	function describeColdBound(
		target: KnownTarget,
		candidates: readonly KnownTarget[],
		now: number,
	): Record<string, number> {
		const coldTargets = candidates.filter(({coldUntil}) => coldUntil > now).length;
		return coldTargets === 0
			? {}
			: {
					coldTargets,
					coldFor: Math.max(0, Math.round(target.coldUntil - now)),
					fleetSize: fleetSize(now),
				};
	}

	function grant(
		target: KnownTarget,
		request: SlotRequest,
		candidates: readonly KnownTarget[],
		now: number,
	): SlotGrant {
		const {failureRisk} = evidence.conditionOf(target.incarnation, target.service, now);
		const unusedFor = idleTimes.unusedFor(target, now);
		changeInFlight(target.incarnation, 1);
		idleTimes.recordUse(target.incarnation, now);
		const coldRate = coldRateOf(target.service);
		if (target.coldUntil > now && coldRate !== undefined) {
			coldPermits.use(target, coldRate, now);
		}

		return {
			kind: 'granted',
			target: target.definition,
			signal: createLightweightAbortController().signal,
			keepsConnection: true,
			// The values that led to the selection, for logs and traces; times are in milliseconds.
			basis: {
				candidates: candidates.length,
				risk: roundForLog(failureRisk),
				load: loadAt(target, now),
				fleetLoad: roundForLog(estimatedLoads.requestsAt(target.incarnation, now)),
				unusedFor: Math.round(unusedFor),
				listedFor: Math.round(now - target.listedAt),
				...describeColdBound(target, candidates, now),
			},
			silenceTimeout: silenceTimeoutOf(failureRisk, request, now),
			maxIdleTime: connectionReuse.maxIdleTime(request.service, now),
			isInForce: () => request.route.open || !configuration.isUncertain(),
			recordNotice(notice) {
				recordNotice(target, notice);
			},
			release(outcome) {
				recordOutcome(target, request, outcome);
			},
		};
	}

	function chooseTarget(
		request: SlotRequest,
		candidates: readonly KnownTarget[],
		floor: number,
		now: number,
	): KnownTarget | undefined {
		return selector.choose({
			service: request.service,
			candidates,
			excluded: request.excludedTargets,
			isRepeatable: mayBeRepeated(request),
			responseBytes: responseBytesByKind[request.route.isDownload === true ? 'download' : 'other'],
			floor,
			now,
		});
	}

	return {
		acquire(request) {
			const now = clock.monotonic();
			countRequests(request.service, 1, now);
			const candidates = usableTargets(request.service, now);
			if (candidates.length === 0) {
				return refuseWithoutTarget(request, now);
			}

			const floor = floorOf(request.service, candidates.length, now);
			const target = chooseTarget(request, candidates, floor, now);
			return target === undefined
				? refuse(request.service, 'no-target-left')
				: grant(target, request, candidates, now);
		},
		acquireHedge(request, take) {
			const now = clock.monotonic();
			const states = usableTargets(request.service, now)
				.filter(target => isInActiveDomain(target))
				.map(target => ({
					target,
					condition: evidence.conditionOf(target.incarnation, target.service, now),
					load: loadAt(target, now),
				}));
			const target = chooseTarget(request, selectHedgeTargets(states, now), 0, now);
			if (target === undefined || !take()) {
				return undefined;
			}

			countRequests(request.service, 1, now);
			return grant(target, request, [target], now);
		},
		isUsable(target) {
			const known = directory.find(target.id);
			return (
				known?.definition.address === target.address &&
				isInActiveDomain(known) &&
				notices.isOpen(known.incarnation, clock.monotonic())
			);
		},
		merge(reports, from, now) {
			for (const {incarnation, stale, unreached, ...counts} of reports) {
				const target = directory.find(targetIdOf(incarnation));
				if (target?.incarnation !== incarnation) {
					continue;
				}

				if (stale > 0) {
					recordStaleConnection(target, now);
				}

				if (unreached > 0 && outages.recordFailure(outageTargetOf(target), from, now)) {
					markCold(target, 'out-of-reach', now);
				}

				const outcomes = counts.good + counts.bad + counts.busy + (counts.late ?? 0);
				if (outcomes + stale === 0) {
					continue;
				}

				idleTimes.recordUse(incarnation, now);
				evidence.merge(incarnation, target.service, counts, now);
				estimatedLoads.add(incarnation, counts.latency, now);
				countRequests(target.service, outcomes, now);
				logSuspicionChange(target, now);
				if (counts.good + counts.busy > 0) {
					recordResponse(target, now);
				}
			}
		},
		recordLoad(from, loads, now) {
			reportedLoads.replace(from.address, loads, now);
			for (const [incarnation] of loads) {
				idleTimes.recordUse(incarnation, now);
			}
		},
		mergeLeaving: notices.mergeLeaving,
		recentlyLeaving: notices.recentlyLeaving,
		inFlight: () => [...inFlight],
		takeTargetReports() {
			const outcomes = evidence.takeOutcomeCounts();
			const incarnations = new Set([
				...outcomes.keys(),
				...staleConnections.keys(),
				...unreachedTargets.keys(),
			]);
			const reports = [...incarnations].map(incarnation => ({
				incarnation,
				stale: staleConnections.get(incarnation) ?? 0,
				unreached: unreachedTargets.get(incarnation) ?? 0,
				...(outcomes.get(incarnation)?.counts ?? noOutcomes),
			}));
			staleConnections.clear();
			unreachedTargets.clear();
			return reports;
		},
		prune(now) {
			evidence.prune(now);
			idleTimes.prune(now);
			notices.prune(now);
			coldPermits.prune(now);
			estimatedLoads.prune(now);
			outages.prune(now);
			forgetUnidentifiedTargets(now);
			for (const incarnation of suspectedTargets) {
				if (directory.find(targetIdOf(incarnation))?.incarnation !== incarnation) {
					suspectedTargets.delete(incarnation);
				}
			}

			for (const [incarnation, at] of servedAt) {
				if (now - at > connectionTtlMs) {
					servedAt.delete(incarnation);
				}
			}
		},
		logTargetsInUseChanges(now) {
			for (const [service, serviceTargets] of targetsInUse(now)) {
				logTargetsInUseChange(service, serviceTargets, now);
			}
		},
		targetsInUse,
	};
}
