/**
 * One entry instance: creates its services, which find each other by name in the kernel, starts
 * them in order and stops them gracefully.
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
import {createKernel, type Kernel, type Service} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {formatSocketAddress, type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {createAdminListener, type AdminListener} from '@shallotpond/observability/admin-listener';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Tracing} from '@shallotpond/observability/tracing';
import {type Logger} from 'winston';
import {createConfigurationStore, type ConfigurationStore} from './configuration-store.js';
import {createInstanceListService, type InstanceListService} from './instance-list-service.js';
import {createMembershipService, type MembershipService} from './membership-service.js';
import {createPeerRouter, type PeerRouter} from './peer-router.js';
import {createPlatformService, type PlatformService} from './platform-service.js';
import {createRatesService, type RatesService} from './rates-service.js';
import {decideReadiness} from './readiness.js';
import {createRequestPolicy} from './request-policy.js';
import {createRequestTracer} from './request-tracer.js';
import {createRequestsService, type RequestsService} from './requests-service.js';
import {createSlotsService, type SlotsService} from './slots-service.js';
import {createSpreadService, type SpreadService} from './spread-service.js';
import {describeStatus} from './status.js';

export type InstanceOptions = {
	readonly listen: SocketAddress;
	readonly peerListen: SocketAddress;
	readonly adminListen: SocketAddress;
	readonly failureDomain: string;
	/** Base URL. */
	readonly configurationService: string;
	/** `ip:port` of peers to start with. */
	readonly seedAddresses: readonly string[];
	readonly peerSecret: string;
	readonly peerTls?: PeerTls;
	readonly tls?: TlsContext;
	readonly targetTls?: TargetTls;
	readonly httpLimits?: Partial<HttpLimits>;
	/** Milliseconds for which a stopping instance still takes new requests. */
	readonly drainGrace: number;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
};

export type InstanceServices = {
	readonly configuration: ConfigurationStore & Service;
	readonly router: PeerRouter;
	readonly membership: MembershipService;
	readonly 'instance-list': InstanceListService;
	readonly platform: PlatformService;
	readonly spread: SpreadService;
	readonly rates: RatesService;
	readonly slots: SlotsService;
	readonly requests: RequestsService;
	readonly callers: CallerListener;
	readonly admin: AdminListener;
};

export type Instance = {
	readonly kernel: Kernel<InstanceServices>;
	/** Resolves when all listeners are open; `isReady` follows with the first configuration. */
	start(): Promise<void>;
	/** Stops gracefully: no request is cut. Further calls return the same promise. */
	stop(): Promise<void>;
	/** Resolves when the instance has stopped. */
	readonly stopped: Promise<void>;
	readonly isReady: boolean;
};

const incarnationBytes = 6;
/** Milliseconds in which successors fetch what this instance remembers. */
const handoverDelay = 300;

export async function createInstance(options: InstanceOptions): Promise<Instance> {
	const {clock, random, logger, metrics, tracing, peerListen} = options;
	const incarnation = randomBytes(incarnationBytes).toString('hex');
	const kernel = createKernel<InstanceServices>();
	let isStopping = false;
	let stopping: Promise<void> | undefined;
	let reportStopped: () => void;
	const stopped = new Promise<void>(resolve => {
		reportStopped = resolve;
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

	const configuration = createConfigurationStore();
	const common = {clock, random, configuration, router, metrics, logger};
	const membership = createMembershipService({
		...common,
		seedAddresses: options.seedAddresses,
		confirmedAgo: now => spread.confirmedAgo(now),
	});
	const spread = createSpreadService({
		...common,
		membership,
		failureDomain: options.failureDomain,
		onWatching(isWatching) {
			platform.setMode(isWatching ? 'watch' : 'poll');
			instanceList.setAnnouncing(isWatching);
		},
		onPoll() {
			platform.refresh();
		},
	});
	const rates = createRatesService({...common, membership});
	const slots = createSlotsService({...common, membership});
	const requests = createRequestsService({...common, membership});
	const instanceList = createInstanceListService({
		...common,
		membership,
		onList({instances, targets}) {
			membership.observeInstances(instances);
			slots.observeTargets(targets);
		},
	});
	const platform = createPlatformService({
		...common,
		url: options.configurationService,
		onDocument(document) {
			spread.handleServedDocument(document);
		},
		onUnchanged() {
			spread.handleUnchanged();
		},
		onFailure() {
			spread.handleServiceFailure();
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
		onInternalError(error) {
			metrics.count('internal-errors');
			logger.error('a request failed for an unexpected reason', {error: String(error)});
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

	// Services stop in the reverse order. The admin listener stops late, because a platform that
	// finds `/live` unanswered during a long drain would kill the process and cut its requests.
	// The router comes even before it, because its network is open already and must be closed when
	// another service does not start.
	kernel.provide('router', router);
	kernel.provide('admin', admin);
	kernel.provide('configuration', configuration);
	kernel.provide('membership', membership);
	kernel.provide('rates', rates);
	kernel.provide('slots', slots);
	kernel.provide('requests', requests);
	kernel.provide('spread', spread);
	kernel.provide('instance-list', instanceList);
	kernel.provide('platform', platform);
	kernel.provide('callers', callers);

	function readiness() {
		const now = clock.monotonic();
		return decideReadiness({
			isStopping,
			hasConfiguration: spread.isSettled,
			isLending: membership.isLending(now),
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
		await sleep(handoverDelay);
		membership.leave(() => {
			slots.handOver();
		});
		// The balancer goes on sending until it has seen the readiness check fail.
		await sleep(options.drainGrace);
		await kernel.stop();
		await tracing.stop();
		logger.info('stopped');
		reportStopped();
	}

	async function stop(): Promise<void> {
		stopping ??= stopGracefully();
		return stopping;
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
