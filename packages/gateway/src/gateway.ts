/**
 * Builds one gateway instance, which decides every request locally, based on evidence that the
 * whole fleet shares. The services of the instance are registered in the kernel by name. The
 * platform adapter passes what the platform publishes to `configuration` and `directory`.
 */
import {type EventLog} from '@shallotpond/observability/event-log';
import {createCallerListener, type CallerListener} from '@shallotpond/io-http/caller-listener';
import {httpCounterLabels} from '@shallotpond/io-http/http-counters';
import {type HttpLimits} from '@shallotpond/io-http/http-limits';
import {type RequestDialect} from '@shallotpond/io-http/request-dialect';
import {type Clock} from '@shallotpond/kernel/clock';
import {createKernel, type Kernel, type KernelService} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Member} from '@shallotpond/policy-fleet/fleet-message';
import {type ColdBound} from '@shallotpond/policy-routing/cold-target-permits';
import {createFleetKnowledge} from '@shallotpond/policy-fleet/fleet-knowledge';
import {createCrashHistory} from '@shallotpond/policy-routing/crash-history';
import {createLocalRetryBudget} from '@shallotpond/policy-routing/local-retry-budget';
import {createTrafficSplit} from '@shallotpond/policy-routing/traffic-split';
import {
	createTargetDirectory,
	type TargetDirectory,
} from '@shallotpond/policy-routing/target-directory';
import {createTargetEvidence} from '@shallotpond/policy-routing/target-evidence';
import {
	createWorkspaceRateLimiter,
	type RateBound,
} from '@shallotpond/policy-routing/workspace-rate-limiter';
import {createCurrentConfiguration, type CurrentConfiguration} from './current-configuration.js';
import {createGatewayRequestPolicy} from './gateway-request-policy.js';
import {
	createFleetMessagingService,
	type FleetMessagingService,
} from './fleet-messaging-service.js';
import {
	createPublishedStateService,
	type PublishedItemReceiver,
	type PublishedStateService,
	type StoreReader,
} from './published-state-service.js';
import {createHedgingService, type HedgingService} from './hedging-service.js';
import {createFleetSizeBound, maxFleetSizeOf} from './fleet-size-bound.js';
import {createRequestLog} from './request-log.js';
import {createRoutingService, type RoutingService} from './routing-service.js';
import {stopCallers} from './stop-callers.js';

export type GatewayOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly self: Member;
	/** Address at which callers connect. */
	readonly callers: SocketAddress;
	/** Ports for the traffic between instances, the same on all instances. */
	readonly ports: {readonly datagrams: number; readonly published: number};
	readonly store: StoreReader;
	/** Creates the platform adapter, which turns published items into configuration and targets. */
	readonly createReceiver: (
		state: Pick<Gateway, 'configuration' | 'directory' | 'setCallerIdleTimeout'>,
	) => Pick<
		PublishedItemReceiver,
		'takeSnapshot' | 'takeChange' | 'retainedItems' | 'takeRetainedItems'
	>;
	/** IP addresses of the instances that a new instance contacts first. */
	readonly seeds: () => readonly string[];
	readonly dialect: RequestDialect;
	readonly httpLimits: Partial<HttpLimits>;
	/** Milliseconds within which a withdrawn key must stop working; undefined for no such limit. */
	readonly revocationLimit: number | undefined;
	readonly retryBudget: {
		readonly ratio: number;
		readonly reserve: number;
		/** Milliseconds. */
		readonly window: number;
	};
	/** Maximum number of hedges per request of a service, 0 to 1; with 0, no request is hedged. */
	readonly hedgeRatio: number;
	/**
	 * The time span over which the rates of workspaces are measured, and by how much they may be
	 * exceeded.
	 */
	readonly rateBound: RateBound;
	/** How many requests of the fleet a cold target may get. */
	readonly coldBound: ColdBound;
	/** Milliseconds from the stop signal until the process must have ended. */
	readonly stopLimit: number;
	/** Whether the whole fleet starts for the first time, so that no caller waits yet. */
	readonly isFirstStart: boolean;
};

export type GatewayServices = {
	readonly configuration: CurrentConfiguration;
	readonly directory: TargetDirectory & KernelService;
	readonly routing: RoutingService & KernelService;
	readonly fleet: FleetMessagingService;
	readonly published: PublishedStateService;
	readonly callers: CallerListener;
};

export type Gateway = {
	readonly kernel: Kernel<GatewayServices>;
	readonly configuration: CurrentConfiguration;
	readonly directory: TargetDirectory;
	readonly fleet: FleetMessagingService;
	/** Sets for how many milliseconds callers may leave a connection idle. */
	setCallerIdleTimeout(timeout: number): void;
	/** Whether the load balancer should send callers to this instance. */
	isReady(): boolean;
	start(): Promise<void>;
	/** Stops gracefully; resolves when the process may exit. */
	stop(): Promise<void>;
};

/**
 * Fraction of the fleet's retry ratio that is used. The rest is a margin for requests that arrive
 * late at the targets, where the counts then differ from those of the instances.
 */
const retryRatioFraction = 0.9;
/**
 * Minimum number of instances by which the retry reserve is divided, because a new instance does
 * not know the others yet.
 */
const minAssumedInstances = 16;
/** In a fleet that is running, seeds name other members within a few milliseconds. */
const discoveryTimeMs = 600;
/**
 * Added to the time for which callers may leave a connection idle, so that a connection is not
 * closed while a request is on its way.
 */
const idleReserveMs = 1000;

export function createGateway(options: GatewayOptions): Gateway {
	const {clock, random, log, metrics} = options;
	const kernel = createKernel<GatewayServices>();
	const startedAt = clock.monotonic();
	let isStopping = false;
	let wasUncertain = false;

	const configuration = createCurrentConfiguration({
		clock,
		log,
		revocationLimit: options.revocationLimit,
		onDomainReturned(domain) {
			// The targets got no requests while the domain was out, so they are cold even if their
			// entries say otherwise.
			directory.markDomainCold(domain, configuration.coldTimeOf, clock.monotonic());
		},
	});
	const directory = createTargetDirectory();
	const evidence = createTargetEvidence();
	const routing = createRoutingService({
		clock,
		random,
		log,
		failureDomain: options.self.failureDomain,
		configuration,
		directory,
		evidence,
		coldBound: options.coldBound,
		fleetSize: () => fleetSizeBound(),
		fleetPosition: () =>
			fleetKnowledge(clock.monotonic()) === 'none' ? undefined : fleet.roster.position(),
		onFailure() {
			fleet.markUrgent();
		},
		onLoadChange() {
			fleet.recordLoadChange();
		},
		onLatency(request, latency, end) {
			hedging?.recordLatency(request, latency, end);
		},
	});
	const rateLimiter = createWorkspaceRateLimiter({
		bound: options.rateBound,
		startedAt,
		reachableRatio: () => fleet.roster.reachableRatio(clock.monotonic()),
		fleetSize: () => fleet.roster.activeCount(clock.monotonic()),
		fleetKnowledge: () => fleetKnowledge(clock.monotonic()),
		maxFleetSize: () => maxFleetSizeOf(directory),
		random,
	});
	const crashes = createCrashHistory();
	const retryBudget = createLocalRetryBudget({
		ratio: options.retryBudget.ratio * retryRatioFraction,
		reserve: options.retryBudget.reserve,
		window: options.retryBudget.window,
		fleetSize: () => Math.max(minAssumedInstances, fleetSizeBound()),
		startedAt: options.isFirstStart ? Number.NEGATIVE_INFINITY : startedAt,
	});
	const hedging: HedgingService | undefined =
		options.hedgeRatio === 0
			? undefined
			: createHedgingService({
					clock,
					metrics,
					routing,
					retryBudget,
					ratio: options.hedgeRatio,
					hasPredecessor: !options.isFirstStart,
				});
	const fleet = createFleetMessagingService({
		clock,
		random,
		log,
		metrics,
		self: options.self,
		port: options.ports.datagrams,
		seeds: options.seeds,
		takeContent: () => ({
			targets: routing.takeTargetReports(),
			inFlight: routing.inFlight(),
			workspaces: rateLimiter.totals,
			crashes: crashes.recent(clock.monotonic()),
			configuration: {
				version: configuration.version,
				revision: published.revision,
				era: published.era,
				// The age is infinite before the first confirmation. Any age above a few seconds means the
				// same to other instances: they do not use this one as a source.
				confirmedAgo: Math.round(Math.min(configuration.confirmedAgo(), 1_000_000)),
			},
			isLeaving: isStopping,
			leavingTargets: routing.recentlyLeaving(clock.monotonic()),
			clearedRequests: crashes.recentlyCleared(clock.monotonic()),
			refusedRequests: crashes.recentlyRefused(clock.monotonic()),
		}),
		onTargets: routing.merge,
		onLoad: routing.recordLoad,
		onUsage({workspace, ...usage}, now) {
			rateLimiter.recordUsage(workspace, usage, now);
		},
		onCrashes: crashes.merge,
		onClearedRequests: crashes.mergeCleared,
		onRefusedRequests: crashes.mergeRefused,
		suspects: crashes.suspects,
		onSuspects: crashes.mergeSuspects,
		onLeavingTargets: routing.mergeLeaving,
		onConfiguration(state, from) {
			published.recordMemberState(state, from);
		},
		onJoined({address, failureDomain}) {
			log.write('member-joined', {member: address, failureDomain});
		},
		onLeft({address, failureDomain}, reason) {
			log.write('member-left', {member: address, failureDomain, reason});
		},
		onSecond(now) {
			routing.prune(now);
			routing.logTargetsInUseChanges(now);
			crashes.prune(now);
			logCertaintyChange();
		},
	});

	const fleetKnowledge = createFleetKnowledge({
		self: options.self.address,
		seeds: options.seeds,
		roster: fleet.roster,
	});
	const fleetSizeBound = createFleetSizeBound({
		roster: fleet.roster,
		fleetKnowledge: () => fleetKnowledge(clock.monotonic()),
		directory,
	});

	function setCallerIdleTimeout(timeout: number): void {
		callers.setIdleTimeout(timeout + idleReserveMs);
	}

	const published = createPublishedStateService({
		clock,
		random,
		log,
		metrics,
		self: options.self.address,
		failureDomain: options.self.failureDomain,
		port: options.ports.published,
		roster: fleet.roster,
		seeds: options.seeds,
		store: options.store,
		discoveryTime: options.isFirstStart ? discoveryTimeMs : 0,
		receiver: {
			...options.createReceiver({configuration, directory, setCallerIdleTimeout}),
			confirm: configuration.confirm,
			confirmedAgo: configuration.confirmedAgo,
			configurationVersion: () => configuration.version,
		},
	});

	function logCertaintyChange(): void {
		const isUncertain = configuration.tables !== undefined && configuration.isUncertain();
		if (isUncertain !== wasUncertain) {
			wasUncertain = isUncertain;
			const age = Math.round(configuration.confirmedAgo());
			log.write(isUncertain ? 'certainty-lost' : 'certainty-regained', {
				version: configuration.version,
				age,
			});
		}
	}

	const policy = createGatewayRequestPolicy({
		clock,
		random,
		configuration,
		routing,
		rateLimiter,
		retryBudget,
		trafficSplit: createTrafficSplit(random),
		roster: fleet.roster,
		fleetKnowledge,
		crashes,
		hedging,
		log,
		metrics,
	});
	const callers = createCallerListener({
		policy,
		clock,
		address: options.callers.host,
		port: options.callers.port,
		dialect: options.dialect,
		limits: options.httpLimits,
		counters: {
			increment(name, label) {
				const labelName = httpCounterLabels[name];
				metrics.count(name, 1, labelName === undefined ? {} : {[labelName]: label ?? ''});
			},
		},
		tracer: createRequestLog({
			clock,
			log,
			metrics,
			configurationState: () => ({
				version: configuration.version,
				confirmedAgo: Math.round(configuration.confirmedAgo()),
			}),
		}),
		onMemoryChange({isLow, heldBytes, connections}) {
			log.write(isLow ? 'memory-low' : 'memory-regained', {heldBytes, connections});
		},
		onInternalError(error) {
			metrics.count('internal-errors');
			log.write('internal-error', {error: String(error)});
		},
	});

	metrics.registerLabelledGauge(
		'targets-usable',
		'Targets that could get requests',
		'service',
		() =>
			[...routing.targetsInUse(clock.monotonic())].map(([service, {usable}]) => [service, usable]),
	);
	metrics.registerLabelledGauge(
		'targets-in-use',
		'Targets that got a request lately',
		'service',
		() =>
			[...routing.targetsInUse(clock.monotonic())].map(([service, {inUse}]) => [service, inUse]),
	);

	kernel.provide('configuration', configuration);
	kernel.provide('directory', directory);
	kernel.provide('routing', routing);
	kernel.provide('fleet', fleet);
	kernel.provide('published', published);
	kernel.provide('callers', callers);

	return {
		kernel,
		setCallerIdleTimeout,
		configuration,
		directory,
		fleet,
		isReady: () =>
			!isStopping &&
			configuration.tables !== undefined &&
			directory.size > 0 &&
			!configuration.isUncertain(),
		async start() {
			await kernel.start();
			log.write('started', {callers: options.callers, failureDomain: options.self.failureDomain});
		},
		async stop() {
			isStopping = true;
			log.write('stopping', {activeRequests: callers.activeRequests});
			fleet.flush();
			await stopCallers({clock, callers, stopLimit: options.stopLimit});
			log.write('stopped', {activeRequests: callers.activeRequests});
		},
	};
}
