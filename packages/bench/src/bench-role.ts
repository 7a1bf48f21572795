/**
 * The processes of a measurement. Each role runs in a process of its own, so that the load, the
 * targets and the proxies do not share one event loop. A role tells its parent the address that it
 * listens on, and ends with its parent.
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

export const benchKey = 'bench-key';
const host = '127.0.0.1';
const answerBody = JSON.stringify({shifts: Array.from({length: 20}, (_, index) => ({index}))});

export type RoleReady = {readonly kind: 'ready'; readonly port: number};
/** Processor time in microseconds since the start, resident memory in bytes. */
export type RoleUsage = {
	readonly kind: 'usage';
	readonly processorTime: number;
	readonly memory: number;
};

type Role = (parameters: readonly string[]) => Promise<number>;

/** Answers each request at once, so that the figures show the proxies. */
async function runTarget(): Promise<number> {
	const server = createServer((request, response) => {
		request.resume();
		response.writeHead(200, {
			'content-type': 'application/json',
			'content-length': String(answerBody.length),
		});
		response.end(answerBody);
	});
	server.keepAliveTimeout = 60_000;
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** The baseline: a plain pass-through on Node's `http`, without any decision. */
async function runPassThrough(targetPorts: readonly string[]): Promise<number> {
	const agent = new Agent({keepAlive: true});
	let next = 0;
	const server = createServer((request, response) => {
		const port = Number(targetPorts[next++ % targetPorts.length]);
		const upstream = sendRequest(
			{host, port, method: request.method, path: request.url, headers: request.headers, agent},
			answer => {
				response.writeHead(answer.statusCode!, answer.headers);
				answer.pipe(response);
			},
		);
		upstream.on('error', () => {
			response.destroy();
		});
		request.pipe(upstream);
	});
	await new Promise<void>(resolve => {
		server.listen(0, host, resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** One instance with keys, rates, queue and traces sampled at 1%. */
async function runInstance(targetPorts: readonly string[]): Promise<number> {
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
	const service = await createStandInConfigurationService(document);
	const instance = await createInstance({
		listen: {host, port: 0},
		peerListen: {host, port: 0},
		adminListen: {host, port: 0},
		failureDomain: 'north',
		configurationService: service.url,
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
	target: runTarget,
	'pass-through': runPassThrough,
	instance: runInstance,
};

/** Starts a role in a process of its own. */
export async function startRole(
	name: string,
	parameters: readonly string[] = [],
): Promise<{readonly port: number; readonly process: ChildProcess}> {
	const child = fork(new URL(import.meta.url), [name, ...parameters]);
	const port = await new Promise<number>((resolve, reject) => {
		child.once('message', message => {
			resolve((message as RoleReady).port);
		});
		child.once('exit', code => {
			reject(new Error(`role "${name}" ended with code ${code}`));
		});
	});
	return {port, process: child};
}

const [roleName, ...roleParameters] = process.argv.slice(2);
if (process.send !== undefined && roleName !== undefined && Object.hasOwn(roles, roleName)) {
	const port = await roles[roleName]!(roleParameters);
	const ready: RoleReady = {kind: 'ready', port};
	process.send(ready);
	process.on('message', () => {
		const {user, system} = process.cpuUsage();
		const usage: RoleUsage = {
			kind: 'usage',
			processorTime: user + system,
			memory: process.memoryUsage.rss(),
		};
		process.send!(usage);
	});
	process.once('disconnect', () => {
		// The parent has ended; nothing here is worth a graceful stop.

		process.exit();
	});
}

export async function readUsage(child: ChildProcess): Promise<RoleUsage> {
	return new Promise(resolve => {
		child.once('message', message => {
			resolve(message as RoleUsage);
		});
		child.send('usage');
	});
}
