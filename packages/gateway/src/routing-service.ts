/**
 * Gives each attempt its target. Joins what the platform lists, what the fleet saw and what this
 * instance has in flight; the decisions themselves are in `policy-routing`.
 */
import {type EventLog} from '@shallotpond/observability/event-log';
import {type AttemptOutcome, type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {
	type RouteDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {type SlotGrant, type SlotRequest} from '@shallotpond/io-http/request-policy';
import {createStopController} from '@shallotpond/io-http/stop-signal';
import {createConnectionTrust} from '@shallotpond/policy-routing/connection-trust';
import {createSlidingCount, type SlidingCount} from '@shallotpond/policy-routing/sliding-count';
import {
	coverageWindow,
	floorCount,
	measureCoverage,
	type Coverage,
} from '@shallotpond/policy-routing/service-coverage';
import {createTargetChoice} from '@shallotpond/policy-routing/target-choice';
import {
	targetIdOf,
	type KnownTarget,
	type TargetDirectory,
} from '@shallotpond/policy-routing/target-directory';
import {type TargetEvidence} from '@shallotpond/policy-routing/target-evidence';
import {createTargetUsage} from '@shallotpond/policy-routing/target-usage';
import {
	type Member,
	type TargetLoad,
	type TargetReport,
} from '@shallotpond/policy-fleet/fleet-message';
import {createFleetLoad} from '@shallotpond/policy-routing/fleet-load';
import {type ConfigurationService} from './configuration-service.js';

export type RoutingService = {
	/** A target for one attempt, or a refusal at once: nothing waits here. */
	acquire(request: SlotRequest): SlotGrant | Refusal;
	/** Whether a target that was chosen may still get work. */
	isUsable(target: TargetDefinition): boolean;
	/** Outcomes that another instance saw. */
	merge(reports: readonly TargetReport[], now: number): void;
	/** Requests that a neighbour has at targets now; replaces what it said before. */
	recordLoad(from: Member, loads: readonly TargetLoad[], now: number): void;
	/** Requests of this instance that are at targets now. */
	inFlight(): TargetLoad[];
	/** What this instance saw since the last call. */
	takeReport(): TargetReport[];
	/** Forgets what is out of date. */
	prune(now: number): void;
	/** Logs services whose load has narrowed to fewer targets than their floor, or widened again. */
	logCoverageChanges(now: number): void;
	/** Usable targets of each service, and those that get requests. */
	coverage(now: number): ReadonlyMap<string, Coverage>;
};

export type RoutingServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: EventLog;
	readonly failureDomain: string;
	readonly configuration: ConfigurationService;
	readonly directory: TargetDirectory;
	readonly evidence: TargetEvidence;
	/** A failure was seen that the other instances must hear of at once. */
	readonly onFailure: () => void;
	/** A request was sent to a target or has ended there. */
	readonly onLoadChange: () => void;
};

/** Part of the stated cold rate that is used; the rest covers instances that do not hear each other. */
const coldRateShare = 0.7;
const rateWindow = 5000;
/** Milliseconds for which the connection of a served request is likely to be open still. */
const connectionLife = 7500;
const millisecondsPerSecond = 1000;
/** Risk above which a target counts as suspected in the log. */
const suspicion = 0.3;
/**
 * Silence after which an attempt is given up. Answers that were given up are missing from the mean
 * latency, so a short patience lowers the mean and with it the next patience.
 */
const patience = {
	/** In mean latencies of the service and in objectives of the route; the longer one holds. */
	trusted: {means: 3.5, objectives: 0.9},
	suspected: {means: 2, objectives: 0.5},
} as const;
/** Part of the objective; a shorter silence says nothing of the target, only of the time it had. */
const tellingSilence = 0.45;
/** Milliseconds within which a forgotten connection is reset when it is used. */
const staleLatency = 25;
/** Bytes that an answer is expected to have. */
const answerBytesByKind = {download: 90_000, other: 2000} as const;

/** Requests for each target of a service in `coverageWindow` that are too few to keep the floor. */
const requestsPerTarget = 2;
const coverageSeconds = coverageWindow / millisecondsPerSecond;
const hundredths = 100;

/** Digits that a reader of the log needs. */
function roundFraction(value: number): number {
	return Math.round(value * hundredths) / hundredths;
}

/** Milliseconds within which an answer is worth most. */
export function latencyObjectiveOf(route: RouteDefinition): number {
	return route.latencyObjective ?? route.timeout / 2;
}

export function createRoutingService(options: RoutingServiceOptions): RoutingService {
	const {clock, random, log, configuration, directory, evidence} = options;
	const inFlight = new Map<string, number>();
	const fleetLoad = createFleetLoad();
	/** When an attempt at the target last ended well. */
	const servedAt = new Map<string, number>();
	const connectionTrust = createConnectionTrust();
	/** Stale connections since the last report, by target. */
	const staleConnections = new Map<string, number>();
	const rates = new Map<string, SlidingCount>();
	const suspected = new Set<string>();
	const usage = createTargetUsage();
	/** Services whose load has narrowed. */
	const narrowed = new Set<string>();
	const startedAt = clock.monotonic();

	function countRequests(service: string, amount: number, now: number): void {
		let count = rates.get(service);
		if (count === undefined) {
			count = createSlidingCount({window: rateWindow});
			rates.set(service, count);
		}

		count.add(amount, now);
	}

	/** Requests per second of the whole fleet. */
	function observedRate(service: string, now: number): number {
		const requests = rates.get(service)?.total(now) ?? 0;
		const time = Math.min(rateWindow, Math.max(now - startedAt, millisecondsPerSecond));
		return (requests / time) * millisecondsPerSecond;
	}

	/** Part of the fleet's requests that one cold target may get. */
	function coldShare(service: string, now: number): number {
		const coldRate = configuration.tables?.document.services[service]?.coldRate;
		if (coldRate === undefined) {
			return 1;
		}

		const observed = observedRate(service, now);
		const isNew = now - startedAt < rateWindow;
		// A process that has just started has not seen the load yet, and must not send it to cold targets.
		const assumed = isNew ? directory.usable(service, now).length * coldRate : 0;
		const rate = Math.max(observed, assumed, 1);
		return Math.min(1, (coldRate * coldRateShare) / rate);
	}

	function isOpen(target: KnownTarget): boolean {
		return configuration.tables?.isDomainActive(target.definition.failureDomain) ?? false;
	}

	/** Requests at the target now, as far as this instance knows. */
	function loadAt({incarnation}: KnownTarget, now: number): number {
		return (inFlight.get(incarnation) ?? 0) + fleetLoad.at(incarnation, now);
	}

	const choice = createTargetChoice({
		failureDomain: options.failureDomain,
		random,
		conditionOf: (target, now) => evidence.conditionOf(target.incarnation, target.service, now),
		inFlight: loadAt,
		unusedFor: usage.unusedFor,
		hasConnection: ({incarnation}, now) =>
			!inFlight.has(incarnation) &&
			now - (servedAt.get(incarnation) ?? Number.NEGATIVE_INFINITY) < connectionLife,
		isInActiveDomain: isOpen,
		maxColdFraction: coldShare,
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

	function noteBelief(target: KnownTarget, now: number): void {
		const {failureRisk} = evidence.conditionOf(target.incarnation, target.service, now);
		const isSuspected = failureRisk > suspicion;
		if (isSuspected === suspected.has(target.incarnation)) {
			return;
		}

		const fields = {target: target.incarnation, service: target.service, failureRisk};
		if (isSuspected) {
			suspected.add(target.incarnation);
			log.write('target-suspected', fields);
		} else {
			suspected.delete(target.incarnation);
			log.write('target-trusted', fields);
		}
	}

	/** The floor of a service, or 0 while it gets too few requests for all of its targets. */
	function floorOf(service: string, targets: number, now: number): number {
		const requests = observedRate(service, now) * coverageSeconds;
		return requests < targets * requestsPerTarget
			? 0
			: (configuration.tables?.document.services[service]?.floor ?? 0);
	}

	function coverageOf(service: string, now: number): Coverage {
		return measureCoverage({
			targets: directory.usable(service, now).filter(target => isOpen(target)),
			unusedFor: target => usage.unusedFor(target, now),
		});
	}

	/** Why a target is left out, for the log. */
	function describeUnused(target: KnownTarget, now: number) {
		const {failureRisk, slowness, busyness, isUnreachable} = evidence.conditionOf(
			target.incarnation,
			target.service,
			now,
		);
		return {
			target: target.incarnation,
			unusedFor: Math.round(usage.unusedFor(target, now)),
			risk: roundFraction(failureRisk),
			slowness: roundFraction(slowness),
			busyness: roundFraction(busyness),
			coldFor: Math.max(0, Math.round(target.coldUntil - now)),
			isUnreachable,
		};
	}

	function coverage(now: number): Map<string, Coverage> {
		const services = Object.keys(configuration.tables?.document.services ?? {});
		return new Map(services.map(service => [service, coverageOf(service, now)]));
	}

	function noteCoverage(service: string, {usable, inUse, unused}: Coverage, now: number): void {
		const floor = floorOf(service, usable, now);
		const isNarrow = inUse < floorCount(floor, usable);
		if (isNarrow === narrowed.has(service)) {
			return;
		}

		const rate = observedRate(service, now);
		const fields = {service, inUse, usable, floor, rate: Math.round(rate)};
		if (isNarrow) {
			narrowed.add(service);
			log.write('service-narrowed', {
				...fields,
				unused: unused.map(target => describeUnused(target, now)),
			});
		} else {
			narrowed.delete(service);
			log.write('service-widened', fields);
		}
	}

	function noteStale(target: KnownTarget, now: number): void {
		const {service, definition} = target;
		const wasDoubted = connectionTrust.isDistrusted(service, now);
		const connection = {service, target: definition.id, failureDomain: definition.failureDomain};
		connectionTrust.recordStale(connection, now);
		if (!wasDoubted && connectionTrust.isDistrusted(service, now)) {
			log.write('connections-doubted', {service, target: target.incarnation});
		}
	}

	/** Leaves out what says nothing of the target. */
	function resultOf(target: KnownTarget, request: SlotRequest, outcome: AttemptOutcome) {
		const {result, latency, idleBefore} = outcome;
		const now = clock.monotonic();
		if (result === 'timeout' && latency < latencyObjectiveOf(request.route) * tellingSilence) {
			return 'cancelled';
		}

		const wasIdle = idleBefore !== undefined && latency < staleLatency;
		if (result !== 'connection-broken' || !wasIdle) {
			return result;
		}

		noteStale(target, now);
		const {incarnation} = target;
		staleConnections.set(incarnation, (staleConnections.get(incarnation) ?? 0) + 1);
		options.onFailure();
		return connectionTrust.isDistrusted(target.service, now) ? 'cancelled' : result;
	}

	function settle(target: KnownTarget, request: SlotRequest, outcome: AttemptOutcome): void {
		const now = clock.monotonic();
		const {latency} = outcome;
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
		}

		if (outcomeClass === 'bad') {
			options.onFailure();
		}

		if (result === 'connection-failed' || result === 'connection-broken') {
			// It may have restarted, which its entry tells only with the next check-in.
			directory.markCold(target.definition.id, configuration.coldTimeOf(target.service), now);
		}

		if (outcomeClass === 'path') {
			log.write('path-avoided', {target: target.incarnation, result});
		}

		noteBelief(target, now);
	}

	/**
	 * How long an attempt of a repeatable request may be silent before another one may start. Work
	 * varies by a factor of two or three, so only a target that others found failing is given up soon.
	 */
	function patienceOf(failureRisk: number, request: SlotRequest, now: number): number {
		const mean = evidence.meanLatency(request.service, now) ?? 0;
		const limits = failureRisk > suspicion ? patience.suspected : patience.trusted;
		return Math.max(mean * limits.means, latencyObjectiveOf(request.route) * limits.objectives);
	}

	function refuse(service: string, code: string): Refusal {
		return {
			kind: 'refused',
			code,
			status: 503,
			detail: `no target of ${service} can take the request`,
			runState: 'not-run',
		};
	}

	function grant(
		target: KnownTarget,
		request: SlotRequest,
		candidates: number,
		now: number,
	): SlotGrant {
		const {failureRisk} = evidence.conditionOf(target.incarnation, target.service, now);
		const unusedFor = usage.unusedFor(target, now);
		changeInFlight(target.incarnation, 1);
		usage.recordUse(target.incarnation, now);
		return {
			kind: 'granted',
			target: target.definition,
			signal: createStopController().signal,
			keepsConnection: true,
			// What decided, with the age of what the platform said of the target.
			basis: {
				candidates,
				risk: roundFraction(failureRisk),
				load: loadAt(target, now),
				unusedFor: Math.round(unusedFor),
				listedFor: Math.round(now - target.listedAt),
			},
			silenceTimeout: patienceOf(failureRisk, request, now),
			maxIdleTime: connectionTrust.maxIdleTime(request.service, now),
			isInForce: () => request.route.open || !configuration.isUncertain(),
			release(outcome) {
				settle(target, request, outcome);
			},
		};
	}

	return {
		acquire(request) {
			const now = clock.monotonic();
			countRequests(request.service, 1, now);
			const candidates = directory.usable(request.service, now);
			if (candidates.length === 0) {
				return refuse(request.service, 'no-target');
			}

			const target = choice.choose({
				service: request.service,
				candidates,
				excluded: request.excludedTargets,
				isIdempotent: request.isIdempotent,
				responseBytes: answerBytesByKind[request.route.isDownload === true ? 'download' : 'other'],
				floor: floorOf(request.service, candidates.length, now),
				now,
			});
			return target === undefined
				? refuse(request.service, 'no-target-left')
				: grant(target, request, candidates.length, now);
		},
		isUsable(target) {
			const known = directory.find(target.id);
			return known?.definition.address === target.address && isOpen(known);
		},
		merge(reports, now) {
			for (const {incarnation, stale, ...counts} of reports) {
				const target = directory.find(targetIdOf(incarnation));
				if (target?.incarnation !== incarnation) {
					continue;
				}

				if (stale > 0) {
					noteStale(target, now);
				}

				usage.recordUse(incarnation, now);
				evidence.merge(incarnation, target.service, counts, now);
				countRequests(target.service, counts.good + counts.bad + counts.busy, now);
				noteBelief(target, now);
			}
		},
		recordLoad(from, loads, now) {
			fleetLoad.replace(from.address, loads, now);
			for (const [incarnation] of loads) {
				usage.recordUse(incarnation, now);
			}
		},
		inFlight: () => [...inFlight],
		takeReport() {
			const reports = new Map<string, TargetReport>();
			for (const [incarnation, {counts}] of evidence.takeReport()) {
				const stale = staleConnections.get(incarnation) ?? 0;
				reports.set(incarnation, {incarnation, stale, ...counts});
			}

			for (const [incarnation, stale] of staleConnections) {
				if (!reports.has(incarnation)) {
					reports.set(incarnation, {incarnation, stale, good: 0, bad: 0, busy: 0, latency: 0});
				}
			}

			staleConnections.clear();
			return [...reports.values()];
		},
		prune(now) {
			evidence.prune(now);
			usage.prune(now);
			for (const incarnation of suspected) {
				if (directory.find(targetIdOf(incarnation))?.incarnation !== incarnation) {
					suspected.delete(incarnation);
				}
			}

			for (const [incarnation, at] of servedAt) {
				if (now - at > connectionLife) {
					servedAt.delete(incarnation);
				}
			}
		},
		logCoverageChanges(now) {
			for (const [service, serviceCoverage] of coverage(now)) {
				noteCoverage(service, serviceCoverage, now);
			}
		},
		coverage,
	};
}
