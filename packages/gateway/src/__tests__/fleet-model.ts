/**
 * Simulates a fleet of routing services that choose targets and report outcomes to each other,
 * without sockets and with a simulated clock. The decisions and the reports are the real ones;
 * callers and targets are modelled. Shows how the load of one service spreads over its targets.
 */
import {documentSchema} from '@shallotpond/configuration/document-schema';
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {noopEventLog, type EventLog} from '@shallotpond/observability/event-log';
import {createTargetDirectory} from '@shallotpond/policy-routing/target-directory';
import {createTargetEvidence} from '@shallotpond/policy-routing/target-evidence';
import {createFleetKnowledge} from '@shallotpond/policy-fleet/fleet-knowledge';
import {createFleetMember, type FleetMember} from '@shallotpond/policy-fleet/fleet-member';
import {type FleetMessage} from '@shallotpond/policy-fleet/fleet-message';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {createFleetSizeBound} from '../fleet-size-bound.js';
import {createRoutingService, type RoutingService} from '../routing-service.js';
import {createFixedConfiguration} from './fixed-configuration.js';

export type ModelTarget = {
	readonly id: string;
	readonly failureDomain: string;
	/** Simulated time in milliseconds at which the target is listed; default: 0. */
	readonly listedAt?: number;
	/** Milliseconds for which the target is cold after it was listed. */
	readonly coldFor?: number;
	/**
	 * Result of an attempt of the instance `from` that starts at `now`, and its latency in
	 * milliseconds.
	 */
	readonly respond: (
		now: number,
		from: string,
	) => {readonly result: AttemptResult; readonly latency: number};
	/** Whether the target has been healthy long enough to count for the floor. */
	readonly isHealthy: (now: number) => boolean;
};

export type FleetModelOptions = {
	readonly failureDomains: readonly string[];
	/** Failure domains that have instances; default: all. */
	readonly instanceDomains?: readonly string[];
	readonly instancesPerDomain: number;
	readonly targets: readonly ModelTarget[];
	/**
	 * Requests per second of the whole fleet, evenly spread over its instances; constant, or by
	 * simulated time in milliseconds.
	 */
	readonly rate: number | ((now: number) => number);
	/** Maximum attempts of a request whose attempt did not run it; default: 1. */
	readonly maxAttempts?: number;
	/** Whether no message arrives between two instances; default: all arrive. */
	readonly isCut?: (from: string, to: string, now: number) => boolean;
	readonly isIdempotent: boolean;
	readonly isDownload?: boolean;
	/** Length of the simulation in simulated milliseconds. */
	readonly duration: number;
	readonly seed: number;
	readonly log?: EventLog;
};

export type Attempt = {readonly target: string; readonly at: number; readonly result: string};

export type TargetsInUseSample = {
	readonly at: number;
	readonly healthy: number;
	/** Healthy targets that got a request within the preceding `inUseWindowMs`. */
	readonly inUse: number;
};

export type FleetModelResult = {
	readonly attempts: readonly Attempt[];
	readonly samples: readonly TargetsInUseSample[];
};

type ModelInstance = {
	readonly address: string;
	readonly routing: RoutingService;
	readonly member: FleetMember;
	readonly addTarget: (target: ModelTarget, now: number) => void;
};

type PendingEvent = {readonly at: number; readonly run: () => void};

/** Milliseconds of a simulation step, and intervals of ticks, maintenance and samples. */
const step = 10;
const tickInterval = 20;
const maintenanceInterval = 1000;
const sampleInterval = 100;
/** Time within which a healthy target must get a request to count as in use, as users require. */
const inUseWindowMs = 2000;
const service = 'swaps';
/** Latency objective of the route. */
const objectiveMs = 1200;

function createDocument(failureDomains: readonly string[], isDownload: boolean) {
	return documentSchema.parse({
		version: 1,
		fleet: {maxInstances: 48},
		failureDomains: Object.fromEntries(failureDomains.map(name => [name, {}])),
		services: {[service]: {targets: [], slots: 4, floor: 0.7, coldRate: 10, coldTime: 3000}},
		routes: [
			{
				id: service,
				pathPrefix: '/',
				service,
				open: true,
				latencyObjective: objectiveMs,
				isDownload,
			},
		],
		workspaces: {},
	});
}

/** Results after which the request has not run, so that it may be sent to another target. */
const notRunResults: ReadonlySet<AttemptResult> = new Set([
	'connection-failed',
	'misdirected',
	'shed',
]);

/** Runs the simulation; the result is deterministic for a seed. */
export function simulateFleet(options: FleetModelOptions): FleetModelResult {
	const {failureDomains, targets} = options;
	const clock = createManualClock({start: 0});
	const random = createSeededRandom(options.seed);
	const document = createDocument(failureDomains, options.isDownload ?? false);
	const configuration = createFixedConfiguration(document);
	const pendingEvents: PendingEvent[] = [];
	const attempts: Attempt[] = [];
	const samples: TargetsInUseSample[] = [];
	const lastAttemptAt = new Map<string, number>();

	function createInstance(address: string, failureDomain: string): ModelInstance {
		const seeds = () => ['north-0'];
		const directory = createTargetDirectory();
		const routing = createRoutingService({
			clock,
			random,
			log: options.log ?? noopEventLog,
			failureDomain,
			configuration,
			directory,
			evidence: createTargetEvidence(),
			coldBound: {excess: 1.5, slack: 5},
			fleetSize: () => fleetSizeBound(),
			fleetPosition: () =>
				fleetKnowledge(clock.monotonic()) === 'none' ? undefined : member.roster.position(),
			onFailure() {
				member.markUrgent();
			},
			onLoadChange() {
				member.recordLoadChange();
			},
		});
		const member = createFleetMember({
			self: {address, failureDomain, startedAt: 0},
			seeds,
			random,
			takeContent: () => ({
				targets: routing.takeTargetReports(),
				inFlight: routing.inFlight(),
				workspaces: new Map(),
				crashes: [],
				leavingTargets: [],
				clearedRequests: [],
				configuration: {version: 1, revision: 1, confirmedAgo: 0},
				isLeaving: false,
			}),
			onTargets: routing.merge,
			onLoad: routing.recordLoad,
			onUsage: () => undefined,
			onCrashes: () => undefined,
			onClearedRequests: () => undefined,
			suspects: () => [],
			onSuspects: () => undefined,
			onLeavingTargets: () => undefined,
			onConfiguration: () => undefined,
		});
		const fleetKnowledge = createFleetKnowledge({self: address, seeds, roster: member.roster});
		const fleetSizeBound = createFleetSizeBound({
			roster: member.roster,
			fleetKnowledge: () => fleetKnowledge(clock.monotonic()),
			directory,
		});
		return {
			address,
			routing,
			member,
			addTarget(target, now) {
				directory.addOrUpdate(
					{
						id: target.id,
						startTime: 1,
						service,
						address: `10.0.0.1:${8000 + targets.indexOf(target)}`,
						failureDomain: target.failureDomain,
						slots: 4,
						state: 'ready',
						coldFor: target.coldFor ?? 0,
					},
					now,
				);
			},
		};
	}

	const instances = (options.instanceDomains ?? failureDomains).flatMap(domain =>
		Array.from({length: options.instancesPerDomain}, (_, index) =>
			createInstance(`${domain}-${index}`, domain),
		),
	);
	const byAddress = new Map(instances.map(instance => [instance.address, instance]));

	function send(
		from: string,
		outgoing: ReadonlyArray<{readonly to: string; readonly message: FleetMessage}>,
	) {
		for (const {to, message} of outgoing) {
			if (options.isCut?.(from, to, clock.monotonic()) === true) {
				continue;
			}

			pendingEvents.push({
				at: clock.monotonic() + step,
				run() {
					send(to, byAddress.get(to)!.member.receive(message, clock.monotonic()));
				},
			});
		}
	}

	function request(instance: ModelInstance, triedTargets: readonly string[] = []): void {
		const now = clock.monotonic();
		const grant = instance.routing.acquire({
			workspace: 'w',
			deadline: Number.POSITIVE_INFINITY,
			signal: new AbortController().signal,
			service,
			route: document.routes[0]!,
			isIdempotent: options.isIdempotent,
			excludedTargets: triedTargets,
			avoidedFailureDomains: [],
		});
		if (grant.kind === 'refused') {
			return;
		}

		const target = targets.find(({id}) => id === grant.target.id)!;
		const {result, latency} = target.respond(now, instance.address);
		lastAttemptAt.set(target.id, now);
		attempts.push({target: target.id, at: now, result});
		pendingEvents.push({
			at: now + latency,
			run() {
				grant.release({result, latency, slotTime: latency});
				const tried = [...triedTargets, target.id];
				if (notRunResults.has(result) && tried.length < (options.maxAttempts ?? 1)) {
					request(instance, tried);
				}
			},
		});
	}

	function sample(now: number): void {
		const healthyTargets = targets.filter(target => target.isHealthy(now));
		const inUse = healthyTargets.filter(
			({id}) => now - (lastAttemptAt.get(id) ?? -inUseWindowMs) < inUseWindowMs,
		);
		samples.push({at: now, healthy: healthyTargets.length, inUse: inUse.length});
	}

	function runPending(now: number): void {
		const due = pendingEvents.filter(({at}) => at <= now);
		const later = pendingEvents.filter(({at}) => at > now);
		pendingEvents.length = 0;
		pendingEvents.push(...later);
		for (const {run} of due) {
			run();
		}
	}

	const rateAt = (now: number) =>
		typeof options.rate === 'number' ? options.rate : options.rate(now);
	let nextRequestAt = 0;
	for (let now = 0; now < options.duration; now += step) {
		clock.advance(step);
		runPending(now);
		for (const target of targets) {
			const listedAt = target.listedAt ?? 0;
			if (listedAt <= now && now < listedAt + step) {
				for (const instance of instances) {
					instance.addTarget(target, clock.monotonic());
				}
			}
		}

		for (; nextRequestAt <= now; nextRequestAt -= (Math.log(1 - random()) / rateAt(now)) * 1000) {
			request(instances[Math.floor(random() * instances.length)]!);
		}

		for (const [index, {address, member, routing}] of instances.entries()) {
			if ((now + index * step) % tickInterval === 0) {
				send(address, member.tick(clock.monotonic()));
			}

			if (now % maintenanceInterval === 0) {
				routing.prune(clock.monotonic());
				routing.logTargetsInUseChanges(clock.monotonic());
			}
		}

		if (now % sampleInterval === 0) {
			sample(clock.monotonic());
		}
	}

	return {attempts, samples};
}
