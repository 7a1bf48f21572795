/**
 * The demo: one process with a stand-in configuration service, stand-in targets and two instances
 * on 127.0.0.1:8080 and 127.0.0.1:8081. It needs no settings and stores nothing.
 */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {formatSocketAddress} from '@shallotpond/kernel/setting-kinds';
import {createLogger} from '@shallotpond/observability/logger';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createTracing} from '@shallotpond/observability/tracing';
import {createStandInConfigurationService} from '@shallotpond/testkit/stand-in-configuration-service';
import {createStandInTarget} from '@shallotpond/testkit/stand-in-target';
import {stopOnSignal} from './daemon.js';
import {type DaemonSettings} from './daemon-settings.js';
import {createDemoDocument, demoKeys} from './demo-document.js';
import {createInstance, type Instance} from './instance.js';

const host = '127.0.0.1';
const targetIds = ['echo-1', 'echo-2', 'echo-3'] as const;
const failureDomains = ['north', 'south'] as const;
const readinessPollIntervalMs = 50;
/** There is no load balancer that must first notice that an instance is stopping. */
const drainGraceMs = 0;
/** Idle connections are closed after this time, so that they do not delay the stop for long. */
const keepAliveTimeoutMs = 1000;

/** Ports of one instance on 127.0.0.1. */
export type DemoPorts = {
	readonly callers: number;
	readonly peers: number;
	readonly admin: number;
};

/** Ports of the first and the second instance. */
export const demoPorts: readonly [DemoPorts, DemoPorts] = [
	{callers: 8080, peers: 7400, admin: 9400},
	{callers: 8081, peers: 7401, admin: 9401},
];

export type DemoOptions = {
	/** `demoPorts` by default. */
	readonly ports?: readonly [DemoPorts, DemoPorts];
	/** Fraction of new traces that is recorded, 0 to 1. */
	readonly traceRatio: number;
	/** URL of an OTLP/HTTP collector; if absent, no traces are sent. */
	readonly traceEndpoint?: string;
};

export type Demo = {
	/** Commands to try, as text for the terminal. */
	readonly instructions: string;
	/** Stops the instances gracefully, then the stand-ins. Further calls wait for the same stop. */
	stop(): Promise<void>;
	/** Resolves when everything has stopped. */
	readonly stopped: Promise<void>;
};

function formatInstructions(
	configurationService: string,
	[first, second]: readonly [DemoPorts, DemoPorts],
): string {
	const key = demoKeys.beach;
	return `
shallotpond demo: two instances, one service with three targets. Commands to try:

  curl http://127.0.0.1:${first.callers}/open/hello
  curl -H 'Authorization: Bearer ${key}' http://127.0.0.1:${first.callers}/shifts/today
  curl -H 'X-Api-Key: ${key}' http://127.0.0.1:${second.callers}/shifts/today
  curl -i http://127.0.0.1:${first.callers}/shifts/today                      (refused: no key)
  curl http://127.0.0.1:${first.admin}/status                               (status of an instance)
  curl http://127.0.0.1:${first.admin}/metrics

Take a failure domain out of service, on both instances within seconds (If-Match names the version to change):

  curl -X PATCH -H 'Content-Type: application/json-patch+json' -H 'If-Match: "1"' \\
    -d '[{"op":"replace","path":"/failureDomains/south/state","value":"out"}]' \\
    ${configurationService}/v1/configuration

Stop with Ctrl-C.
`;
}

/** Starts targets that respond with an echo of the request. */
async function startTargets() {
	return Promise.all(
		targetIds.map(async id => {
			const target = createStandInTarget();
			await target.start();
			return {id, address: target.address, stop: async () => target.stop()};
		}),
	);
}

async function waitUntilReady(instances: readonly Instance[]): Promise<void> {
	while (!instances.every(instance => instance.isReady)) {
		// eslint-disable-next-line no-promise-executor-return
		await new Promise(resolve => setTimeout(resolve, readinessPollIntervalMs));
	}
}

async function stopAll(services: ReadonlyArray<{stop(): Promise<void>}>): Promise<void> {
	await Promise.all(services.map(async service => service.stop()));
}

async function startInstances(
	options: DemoOptions,
	configurationService: string,
	instances: Instance[],
): Promise<void> {
	const {ports = demoPorts, traceRatio, traceEndpoint} = options;
	const clock = createSystemClock();
	const peerSecret = randomBytes(16).toString('hex');
	const logger = createLogger({format: 'text', level: 'warn'});
	for (const [index, {callers, peers, admin}] of ports.entries()) {
		const instance = await createInstance({
			listen: {host, port: callers},
			peerListen: {host, port: peers},
			adminListen: {host, port: admin},
			failureDomain: failureDomains[index]!,
			configurationService,
			seedAddresses: ports.map(({peers: port}) => formatSocketAddress({host, port})),
			peerSecret,
			httpLimits: {keepAliveTimeout: keepAliveTimeoutMs},
			drainGrace: drainGraceMs,
			clock,
			random: Math.random,
			logger,
			metrics: createMetrics(),
			tracing: createTracing({
				sampleRatio: traceRatio,
				instance: formatSocketAddress({host, port: peers}),
				...(traceEndpoint !== undefined && {endpoint: traceEndpoint}),
			}),
		});
		await instance.start();
		instances.push(instance);
	}
}

/**
 * Resolves when both instances are ready. Throws a `PeerError` or a `KernelError` if a port is in
 * use, once everything that was started has been stopped.
 */
export async function startDemo(options: DemoOptions): Promise<Demo> {
	const {ports = demoPorts} = options;
	const targets = await startTargets();
	const configurationService = await createStandInConfigurationService(createDemoDocument(targets));
	const instances: Instance[] = [];
	let stopPromise: Promise<void> | undefined;
	let resolveStopped: () => void;
	const stopped = new Promise<void>(resolve => {
		resolveStopped = resolve;
	});

	async function stopInOrder(): Promise<void> {
		await stopAll(instances);
		await configurationService.close();
		await stopAll(targets);
		resolveStopped();
	}

	async function stop(): Promise<void> {
		stopPromise ??= stopInOrder();
		return stopPromise;
	}

	configurationService.setInstances(
		ports.map(({peers}, index) => ({
			address: formatSocketAddress({host, port: peers}),
			failureDomain: failureDomains[index]!,
			state: 'live',
		})),
	);
	try {
		await startInstances(options, configurationService.url, instances);
		await waitUntilReady(instances);
	} catch (error) {
		// Servers that are already listening would keep the process alive.
		await stop();
		throw error;
	}

	return {instructions: formatInstructions(configurationService.url, ports), stop, stopped};
}

/** Resolves when the demo has stopped after SIGINT or SIGTERM. */
export async function runDemo(settings: DaemonSettings): Promise<void> {
	const traceEndpoint = settings['trace-endpoint'];
	const demo = await startDemo({
		traceRatio: settings['trace-ratio'],
		...(traceEndpoint !== undefined && {traceEndpoint}),
	});
	process.stdout.write(demo.instructions);
	await stopOnSignal(async () => demo.stop(), demo.stopped);
}
