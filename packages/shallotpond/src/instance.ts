/**
 * One instance of the fleet: creates its services, registers them in the kernel, starts them in
 * order and stops them gracefully.
 */
import {randomBytes} from 'node:crypto';
import {createCallerListener, type CallerListener} from '@shallotpond/io-http/caller-listener';
import {httpCounterLabels} from '@shallotpond/io-http/http-counters';
import {type HttpLimits} from '@shallotpond/io-http/http-limits';
import {type TargetTls} from '@shallotpond/io-http/target-connections';
import {type TlsContext} from '@shallotpond/io-http/tls-context';
import {createPeerNetwork, type PeerTls} from '@shallotpond/io-peer/peer-network';
import {type Clock} from '@shallotpond/kernel/clock';
import {createInstanceId} from '@shallotpond/kernel/instance-id';
import {createKernel, type Kernel, type KernelService} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {formatSocketAddress, type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {createAdminListener, type AdminListener} from '@shallotpond/observability/admin-listener';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Tracing} from '@shallotpond/observability/tracing';
import {type Logger} from 'winston';
import {createCurrentConfiguration, type CurrentConfiguration} from './current-configuration.js';
import {createInstanceListService, type InstanceListService} from './instance-list-service.js';
import {createMembershipService, type MembershipService} from './membership-service.js';
import {createPeerRouter, type PeerRouter} from './peer-router.js';
import {
	createPlatformClientService,
	type PlatformClientService,
} from './platform-client-service.js';
import {createRateLimitService, type RateLimitService} from './rate-limit-service.js';
import {decideReadiness} from './readiness.js';
import {createRequestPolicy} from './request-policy.js';
import {createRequestTracer} from './request-tracer.js';
import {createRequestGuardService, type RequestGuardService} from './request-guard-service.js';
import {createSlotDispatchService, type SlotDispatchService} from './slot-dispatch-service.js';
import {
	createConfigurationDistributionService,
	type ConfigurationDistributionService,
} from './configuration-distribution-service.js';
import {describeStatus} from './status.js';

export type InstanceOptions = {
	/** Address for callers. */
	readonly listen: SocketAddress;
	/** Address for other instances, which must be able to reach it. */
	readonly peerListen: SocketAddress;
	/** Address for operators and the platform. */
	readonly adminListen: SocketAddress;
	readonly failureDomain: string;
	/** Base URL of the configuration service. */
	readonly configurationService: string;
	/** `ip:port` of the peers to contact before the platform's list has been read. */
	readonly seedAddresses: readonly string[];
	/** Shared by all instances. */
	readonly peerSecret: string;
	/** For connections between instances; not encrypted if absent. */
	readonly peerTls?: PeerTls;
	/** For connections of callers; plain HTTP if absent. */
	readonly tls?: TlsContext;
	readonly targetTls?: TargetTls;
	readonly httpLimits?: Partial<HttpLimits>;
	/** Milliseconds for which a stopping instance still accepts new requests. */
	readonly drainGrace: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
};

/** The services in the kernel, by name. */
export type InstanceServices = {
	readonly configuration: CurrentConfiguration & KernelService;
	readonly router: PeerRouter;
	readonly membership: MembershipService;
	readonly 'instance-list': InstanceListService;
	readonly platform: PlatformClientService;
	readonly spread: ConfigurationDistributionService;
	readonly rates: RateLimitService;
	readonly slots: SlotDispatchService;
	readonly requests: RequestGuardService;
	readonly callers: CallerListener;
	readonly admin: AdminListener;
};

export type Instance = {
	readonly kernel: Kernel<InstanceServices>;
	/** Resolves when all listeners are open; the instance becomes ready later. */
	start(): Promise<void>;
	/**
	 * Stops gracefully: leaves the fleet, still accepts requests for `drainGrace`, and then waits
	 * until all requests in progress have ended or `httpLimits.stopTimeout` has passed. Further calls
	 * wait for the same stop.
	 */
	stop(): Promise<void>;
	/** Resolves when the instance has stopped, after `stop` or `POST /drain`. */
	readonly stopped: Promise<void>;
	readonly isReady: boolean;
};

const incarnationBytes = 6;
/** Time for the next owners to fetch the idempotency keys that this instance owns. */
const handoverDelayMs = 300;

/**
 * Creates an instance and already opens its listener for peers, because the identity of the
 * instance contains the port of this listener. Throws a `PeerError` if the port cannot be bound.
 */
export async function createInstance(options: InstanceOptions): Promise<Instance> {
	const {clock, random, logger, metrics, tracing, peerListen} = options;
	const incarnation = randomBytes(incarnationBytes).toString('hex');
	const kernel = createKernel<InstanceServices>();
	let isStopping = false;
	let stopPromise: Promise<void> | undefined;
	let resolveStopped: () => void;
	const stopped = new Promise<void>(resolve => {
		resolveStopped = resolve;
	});

	const network = createPeerNetwork({
		host: peerListen.host,
		port: peerListen.port,
		identify: port =>
			createInstanceId(formatSocketAddress({host: peerListen.host, port}), incarnation),
		secret: options.peerSecret,
		...(options.peerTls && {tls: options.peerTls}),
		clock,
		random,
		onMessage(from, message) {
			router.receive(from, message);
		},
		count(counter, amount) {
			metrics.count(counter, amount);
		},
	});
	const router = createPeerRouter({network, clock, metrics});
	await network.start();

	const configuration = createCurrentConfiguration();
	const commonOptions = {clock, random, configuration, router, metrics, logger};
	const membership = createMembershipService({
		...commonOptions,
		seedAddresses: options.seedAddresses,
		confirmedAgo: now => distribution.confirmedAgo(now),
	});
	const distribution = createConfigurationDistributionService({
		...commonOptions,
		membership,
		failureDomain: options.failureDomain,
		onWatching(isWatching) {
			platform.setConfigurationMode(isWatching ? 'watch' : 'poll');
			instanceList.setAnnouncing(isWatching);
		},
		onPoll() {
			platform.refresh();
		},
	});
	const rates = createRateLimitService({...commonOptions, membership});
	const slots = createSlotDispatchService({...commonOptions, membership});
	const requests = createRequestGuardService({...commonOptions, membership});
	const instanceList = createInstanceListService({
		...commonOptions,
		membership,
		onList({instances, targets}) {
			membership.observeInstances(instances);
			slots.observeTargets(targets);
		},
	});
	const platform = createPlatformClientService({
		...commonOptions,
		url: options.configurationService,
		onDocument(document) {
			distribution.handleServedDocument(document);
		},
		onUnchanged() {
			distribution.handleUnchanged();
		},
		onFailure() {
			distribution.handleServiceFailure();
		},
		onList(list) {
			instanceList.handleServedList(list);
		},
	});
	const callers = createCallerListener({
		policy: createRequestPolicy({clock, configuration, membership, rates, slots, requests}),
		clock,
		address: options.listen.host,
		port: options.listen.port,
		...(options.httpLimits && {limits: options.httpLimits}),
		counters: {
			increment(name, label) {
				const labelName = httpCounterLabels[name];
				metrics.count(name, 1, labelName === undefined ? {} : {[labelName]: label ?? ''});
			},
		},
		tracer: createRequestTracer({tracing, metrics, clock}),
		...(options.tls && {tls: options.tls}),
		...(options.targetTls && {targetTls: options.targetTls}),
		onMemoryChange({isLow, heldBytes, connections}) {
			const text = isLow ? 'memory for callers is low' : 'memory for callers is no longer low';
			logger.warn(text, {heldBytes, connections});
		},
		onInternalError(error) {
			metrics.count('internal-errors');
			logger.error('a request failed with an unexpected error', {error: String(error)});
		},
	});
	const admin = createAdminListener({
		host: options.adminListen.host,
		port: options.adminListen.port,
		readiness,
		status: () => describeStatus(kernel, readiness().isReady, clock.monotonic()),
		async metrics() {
			return {contentType: metrics.contentType, body: await metrics.render()};
		},
		drain() {
			void stop();
		},
	});

	// Services stop in the reverse of this order. The admin listener stops late, because a platform
	// that gets no response from `/live` during a long drain would kill the process and break its
	// requests. The router stops last: its network is already open, and must be closed if another
	// service fails to start.
	kernel.provide('router', router);
	kernel.provide('admin', admin);
	kernel.provide('configuration', configuration);
	kernel.provide('membership', membership);
	kernel.provide('rates', rates);
	kernel.provide('slots', slots);
	kernel.provide('requests', requests);
	kernel.provide('spread', distribution);
	kernel.provide('instance-list', instanceList);
	kernel.provide('platform', platform);
	kernel.provide('callers', callers);

	function readiness() {
		const now = clock.monotonic();
		return decideReadiness({
			isStopping,
			hasConfiguration: distribution.hasInitialConfiguration,
			canLend: membership.canLend(now),
			isIsolated: membership.membership.isIsolated(now),
			members: membership.membership.view(now).members.length,
			listedLive: membership.membership.status(now).listedLive,
			maxInstances: configuration.tables?.document.fleet.maxInstances ?? 1,
		});
	}

	async function sleep(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			clock.after(milliseconds, resolve);
		});
	}

	async function stopGracefully(): Promise<void> {
		isStopping = true;
		logger.info('stopping');
		requests.announceStop();
		callers.beginLeaving();
		await sleep(handoverDelayMs);
		membership.leave(() => {
			slots.handOver();
		});
		// The load balancer keeps sending requests until it has seen the readiness check fail.
		await sleep(options.drainGrace);
		await kernel.stop();
		await tracing.stop();
		logger.info('stopped');
		resolveStopped();
	}

	async function stop(): Promise<void> {
		stopPromise ??= stopGracefully();
		return stopPromise;
	}

	return {
		kernel,
		async start() {
			await kernel.start();
			logger.info('listening', {
				callers: formatSocketAddress({host: options.listen.host, port: callers.port}),
				peers: router.self,
				admin: formatSocketAddress({host: options.adminListen.host, port: admin.port}),
			});
		},
		stop,
		stopped,
		get isReady() {
			return readiness().isReady;
		},
	};
}
