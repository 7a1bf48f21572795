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
const ports = [
	{callers: 8080, peers: 7400, admin: 9400},
	{callers: 8081, peers: 7401, admin: 9401},
] as const;
const readinessInterval = 50;
/** Nobody balances load over the demo, so there is nothing to wait for. */
const drainGrace = 0;
/** A connection that was idle for this long does not hold up the stop of the demo. */
const keepAliveTimeout = 1000;

function instructions(configurationService: string): string {
	const key = demoKeys.beach;
	return `
shallotpond demo: two instances, one service with three targets. Lines to try:

  curl http://127.0.0.1:8080/open/hello
  curl -H 'Authorization: Bearer ${key}' http://127.0.0.1:8080/shifts/today
  curl -H 'X-Api-Key: ${key}' http://127.0.0.1:8081/shifts/today
  curl -i http://127.0.0.1:8080/shifts/today                      (no key: refused)
  curl http://127.0.0.1:9400/status                               (what an instance knows)
  curl http://127.0.0.1:9400/metrics

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

/** Resolves when the demo has stopped after SIGINT or SIGTERM. */
export async function runDemo(settings: DaemonSettings): Promise<void> {
	const clock = createSystemClock();
	const targets = await startTargets();
	const service = await createStandInConfigurationService(createDemoDocument(targets));
	service.setInstances(
		ports.map(({peers}, index) => ({
			address: formatSocketAddress({host, port: peers}),
			failureDomain: index === 0 ? 'north' : 'south',
			state: 'live',
		})),
	);
	const peerSecret = randomBytes(16).toString('hex');
	const logger = createLogger({format: 'text', level: 'warn'});
	const instances: Instance[] = [];
	for (const [index, {callers, peers, admin}] of ports.entries()) {
		const instance = await createInstance({
			listen: {host, port: callers},
			peerListen: {host, port: peers},
			adminListen: {host, port: admin},
			failureDomain: index === 0 ? 'north' : 'south',
			configurationService: service.url,
			seedAddresses: ports.map(({peers: port}) => formatSocketAddress({host, port})),
			peerSecret,
			httpLimits: {keepAliveTimeout},
			drainGrace,
			clock,
			random: Math.random,
			logger,
			metrics: createMetrics(),
			tracing: createTracing({
				sampleRatio: settings['trace-ratio'],
				instance: formatSocketAddress({host, port: peers}),
				...(settings['trace-endpoint'] !== undefined && {endpoint: settings['trace-endpoint']}),
			}),
		});
		instances.push(instance);
		await instance.start();
	}

	await untilReady(instances);
	process.stdout.write(instructions(service.url));
	await stopOnSignal(
		async () => {
			await Promise.all(instances.map(async instance => instance.stop()));
		},
		(async () => {
			await Promise.all(instances.map(async ({stopped}) => stopped));
		})(),
	);
	await service.close();
	await Promise.all(targets.map(async target => target.stop()));
}
