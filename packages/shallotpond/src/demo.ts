/**
 * The demo: one process with a stand-in configuration service, stand-in targets and two instances
 * on 127.0.0.1:8080 and 127.0.0.1:8081. It needs no settings and keeps nothing.
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
const readinessInterval = 50;
/** Nobody balances load over the demo, so there is nothing to wait for. */
const drainGrace = 0;
/** A connection that was idle for this long does not hold up the stop of the demo. */
const keepAliveTimeout = 1000;

/** Ports of one instance on 127.0.0.1. */
export type DemoPorts = {
	readonly callers: number;
	readonly peers: number;
	readonly admin: number;
};

/** Of the first and the second instance. */
export const demoPorts: readonly [DemoPorts, DemoPorts] = [
	{callers: 8080, peers: 7400, admin: 9400},
	{callers: 8081, peers: 7401, admin: 9401},
];

export type DemoOptions = {
	/** Default is `demoPorts`. */
	readonly ports?: readonly [DemoPorts, DemoPorts];
	/** Part of new traces that are recorded, 0 to 1. */
	readonly traceRatio: number;
	/** OTLP/HTTP collector; without it, no traces are sent. */
	readonly traceEndpoint?: string;
};

export type Demo = {
	/** Lines to try, for the terminal. */
	readonly instructions: string;
	/** Stops gracefully: no request is cut. Further calls return the same promise. */
	stop(): Promise<void>;
	/** Resolves when everything has stopped. */
	readonly stopped: Promise<void>;
};

function describeDemo(
	configurationService: string,
	[first, second]: readonly [DemoPorts, DemoPorts],
): string {
	const key = demoKeys.beach;
	return `
shallotpond demo: two instances, one service with three targets. Lines to try:

  curl http://127.0.0.1:${first.callers}/open/hello
  curl -H 'Authorization: Bearer ${key}' http://127.0.0.1:${first.callers}/shifts/today
  curl -H 'X-Api-Key: ${key}' http://127.0.0.1:${second.callers}/shifts/today
  curl -i http://127.0.0.1:${first.callers}/shifts/today                      (no key: refused)
  curl http://127.0.0.1:${first.admin}/status                               (what an instance knows)
  curl http://127.0.0.1:${first.admin}/metrics

Take a failure domain out, on both instances within seconds (each change names the version it is for):

  curl -X PATCH -H 'Content-Type: application/json-patch+json' -H 'If-Match: "1"' \\
    -d '[{"op":"replace","path":"/failureDomains/south/state","value":"out"}]' \\
    ${configurationService}/v1/configuration

Stop with Ctrl-C.
`;
}

/** Each demo target has slots and a failure domain; they answer with an echo of the request. */
async function startTargets() {
	return Promise.all(
		targetIds.map(async id => {
			const target = createStandInTarget();
			await target.start();
			return {id, address: target.address, stop: async () => target.stop()};
		}),
	);
}

async function untilReady(instances: readonly Instance[]): Promise<void> {
	while (!instances.every(instance => instance.isReady)) {
		// eslint-disable-next-line no-promise-executor-return
		await new Promise(resolve => setTimeout(resolve, readinessInterval));
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
			httpLimits: {keepAliveTimeout},
			drainGrace,
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
 * Resolves when both instances are ready. Throws a `PeerError` or a `KernelError` when a port is in
 * use, after everything that was started has stopped.
 */
export async function startDemo(options: DemoOptions): Promise<Demo> {
	const {ports = demoPorts} = options;
	const targets = await startTargets();
	const service = await createStandInConfigurationService(createDemoDocument(targets));
	const instances: Instance[] = [];
	let stopping: Promise<void> | undefined;
	let reportStopped: () => void;
	const stopped = new Promise<void>(resolve => {
		reportStopped = resolve;
	});

	async function stopParts(): Promise<void> {
		await stopAll(instances);
		await service.close();
		await stopAll(targets);
		reportStopped();
	}

	async function stop(): Promise<void> {
		stopping ??= stopParts();
		return stopping;
	}

	service.setInstances(
		ports.map(({peers}, index) => ({
			address: formatSocketAddress({host, port: peers}),
			failureDomain: failureDomains[index]!,
			state: 'live',
		})),
	);
	try {
		await startInstances(options, service.url, instances);
		await untilReady(instances);
	} catch (error) {
		// The servers that are already open would keep the process alive.
		await stop();
		throw error;
	}

	return {instructions: describeDemo(service.url, ports), stop, stopped};
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
