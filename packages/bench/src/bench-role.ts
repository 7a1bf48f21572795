/**
 * The processes of a benchmark. Each role runs in a separate process, so that the load, the targets
 * and the proxies do not share one event loop. A role sends its parent the port that it listens on,
 * and exits with its parent.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {createServer, request as sendRequest, Agent} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createLogger} from '@shallotpond/observability/logger';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createTracing} from '@shallotpond/observability/tracing';
import {createStandInConfigurationService} from '@shallotpond/testkit/stand-in-configuration-service';
import {createInstance} from 'shallotpond/instance';

/** API key that the instance accepts. */
export const benchKey = 'bench-key';
const host = '127.0.0.1';
const responseBody = JSON.stringify({shifts: Array.from({length: 20}, (_, index) => ({index}))});

/** Sent by a role once it listens. */
export type ReadyMessage = {readonly kind: 'ready'; readonly port: number};
/** Sent by a role on request. */
export type UsageMessage = {
	readonly kind: 'usage';
	/** Processor time in microseconds since the start of the process. */
	readonly processorTime: number;
	/** Resident memory in bytes. */
	readonly memory: number;
};

/** Starts the role and resolves with the port that it listens on. */
type Role = (parameters: readonly string[]) => Promise<number>;

/** Responds to each request at once, so that the proxies dominate the measurements. */
async function startTarget(): Promise<number> {
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {
			'content-type': 'application/json',
			'content-length': String(responseBody.length),
		});
		response.end(responseBody);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** The baseline: forwards requests to the targets in turn with Node's `http`, without any checks. */
async function startPassThrough(targetPorts: readonly string[]): Promise<number> {
	const agent = new Agent({keepAlive: true});
	let nextIndex = 0;
	const server = createServer((request, response) => {
		const port = Number(targetPorts[nextIndex++ % targetPorts.length]);
		const upstreamRequest = sendRequest(
			{host, port, method: request.method, path: request.url, headers: request.headers, agent},
			upstreamResponse => {
				response.writeHead(upstreamResponse.statusCode!, upstreamResponse.headers);
				upstreamResponse.pipe(response);
			},
		);
		upstreamRequest.on('error', () => {
			response.destroy();
		});
		request.pipe(upstreamRequest);
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** One instance with API keys, rates, a queue and traces sampled at 1%. */
async function startInstance(targetPorts: readonly string[]): Promise<number> {
	const document = parseDocument({
		version: 1,
		fleet: {maxInstances: 1},
		failureDomains: {north: {}},
		services: {
			roster: {
				targets: targetPorts.map((port, index) => ({
					id: `roster-${index}`,
					address: `${host}:${port}`,
					failureDomain: 'north',
				})),
				slots: 64,
				coldSlots: 64,
				connections: 330,
			},
		},
		routes: [{id: 'shifts', pathPrefix: '/shifts', service: 'roster'}],
		workspaces: {beach: {rate: 1_000_000, burst: 100_000, keyDigests: [digestKey(benchKey)]}},
	});
	const configurationService = await createStandInConfigurationService(document);
	const instance = await createInstance({
		listen: {host, port: 0},
		peerListen: {host, port: 0},
		adminListen: {host, port: 0},
		failureDomain: 'north',
		configurationService: configurationService.url,
		seedAddresses: [],
		peerSecret: 'bench-secret',
		drainGrace: 0,
		clock: createSystemClock(),
		random: Math.random,
		logger: createLogger({format: 'json', level: 'error'}),
		metrics: createMetrics(),
		tracing: createTracing({sampleRatio: 0.01, instance: 'bench'}),
	});
	await instance.start();
	while (!instance.isReady) {
		// eslint-disable-next-line no-promise-executor-return
		await new Promise(resolve => setTimeout(resolve, 50));
	}

	return instance.kernel.find('callers').port;
}

const roles: Readonly<Record<string, Role>> = {
	target: startTarget,
	'pass-through': startPassThrough,
	instance: startInstance,
};

/** Starts a role in a separate process and resolves once it listens. */
export async function startRoleProcess(
	name: string,
	parameters: readonly string[] = [],
): Promise<{readonly port: number; readonly childProcess: ChildProcess}> {
	const child = fork(new URL(import.meta.url), [name, ...parameters]);
	const port = await new Promise<number>((resolve, reject) => {
		child.once('message', message => {
			resolve((message as ReadyMessage).port);
		});
		child.once('exit', code => {
			reject(new Error(`role "${name}" exited with code ${code}`));
		});
	});
	return {port, childProcess: child};
}

const [roleName, ...roleParameters] = process.argv.slice(2);
if (process.send !== undefined && roleName !== undefined && Object.hasOwn(roles, roleName)) {
	const port = await roles[roleName]!(roleParameters);
	const ready: ReadyMessage = {kind: 'ready', port};
	process.send(ready);
	process.on('message', () => {
		const {user, system} = process.cpuUsage();
		const usage: UsageMessage = {
			kind: 'usage',
			processorTime: user + system,
			memory: process.memoryUsage.rss(),
		};
		process.send!(usage);
	});
	process.once('disconnect', () => {
		// The parent has exited, and no role has state that needs a graceful stop.
		process.exit();
	});
}

/** Asks the process of a role for its resource usage. */
export async function readResourceUsage(child: ChildProcess): Promise<UsageMessage> {
	return new Promise(resolve => {
		child.once('message', message => {
			resolve(message as UsageMessage);
		});
		child.send('usage');
	});
}
