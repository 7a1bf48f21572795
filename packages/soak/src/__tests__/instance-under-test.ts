/**
 * One process of the program on the platform with little memory, a stand-in store and one target,
 * for tests of what clients can make the process hold.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, readdir, readFile, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import {type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {
	encodeCallerHeaders,
	encodeConfiguration,
	encodeResponseHeaders,
	encodeSettings,
	encodeTarget,
	readTargetHeaders,
	storeKeyOf,
} from '@shallotpond/platform/stand-in-encoding';
import {createStandInStore} from '@shallotpond/platform/stand-in-store';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {platformBounds} from '../soak-deployment.js';

/** The old space of the process, and the memory and descriptors of its machine. */
export type ProcessLimits = {
	readonly heapMb: number;
	readonly memoryMb: number;
	readonly descriptors: number;
};

export const host = 'hostile.example';
export const workspaceKey = 'key-of-the-workspace';

const program = path.join(import.meta.dirname, '../../../platform/dist/main.js');
/** Milliseconds between two checks of a state that is waited for. */
const pollInterval = 50;
const maxPolls = 600;
const responseBytes = 3000;
const maxOutputLength = 4000;
const bytesPerKilobyte = 1024;

export type InstanceUnderTest = {
	readonly address: string;
	readonly port: number;
	readonly isRunning: boolean;
	/**
	 * Sends ordinary requests until one is answered with 200; false if none is. A caller waits 5 s for
	 * its answer. Default of `maxRequests`: enough for the start of the process.
	 */
	servesOrdinaryRequest(maxRequests?: number): Promise<boolean>;
	/** The most memory that the process ever held, MB; infinite if it has ended. */
	peakMemory(): Promise<number>;
	/** Infinite if the process has ended. */
	openDescriptors(): Promise<number>;
	stop(): Promise<void>;
};

/** Returns a function that returns the end of what the process has written. */
function collectOutput(child: ChildProcess): () => string {
	let output = '';
	const append = (text: string) => {
		output = (output + text).slice(-maxOutputLength);
	};

	child.stdout!.setEncoding('utf8').on('data', append);
	child.stderr!.setEncoding('utf8').on('data', append);
	return () => output;
}

function createTarget(): http.Server {
	return http.createServer((request, response) => {
		const {id} = readTargetHeaders(request.headers);
		request.resume();
		request.once('end', () => {
			const headers = encodeResponseHeaders(id ?? '', 'seal');
			response.writeHead(200, {...headers, 'content-length': responseBytes});
			response.end('x'.repeat(responseBytes));
		});
	});
}

const routeDefaults = {
	host,
	service: 'lookups',
	timeout: 20_000,
	objective: 1000,
	attempts: 2,
} as const;

async function statusOf(options: http.RequestOptions): Promise<number> {
	return new Promise(resolve => {
		const request = http.get({...options, agent: false}, response => {
			response.resume();
			response.once('end', () => {
				resolve(response.statusCode!);
			});
			response.once('error', () => {
				resolve(0);
			});
		});
		request.setTimeout(5000, () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(0);
		});
	});
}

export type InstanceOptions = {
	/** `host:port` of a target of the service `faulty`, whose routes begin with `/faulty/`. */
	readonly faultyTarget?: string;
};

const services = ['lookups', 'faulty'] as const;

export async function startInstance(
	limits: ProcessLimits,
	{faultyTarget}: InstanceOptions = {},
): Promise<InstanceUnderTest> {
	const store = createStandInStore({clock: createSystemClock()});
	await store.start();
	const target = createTarget().listen(0, '127.0.0.1');
	await once(target, 'listening');
	const directory = await mkdtemp(path.join(tmpdir(), 'shallotpond-hostile-'));
	// On an address of its own, no other test can take a port before the program listens on it.
	const address = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}.1`;
	const port = await reservePorts(13);
	const settings = encodeSettings({
		name: 'instance-0',
		address,
		failureDomain: 'north',
		failureDomains: ['north'],
		callersPort: port,
		readinessPort: port + 1,
		internalPorts: [port + 2, port + 12],
		seeds: [],
		store: `127.0.0.1:${store.port}`,
		terms: platformBounds,
		limits: {memory: limits.memoryMb, descriptors: limits.descriptors},
	});
	store.write(
		storeKeyOf.configuration,
		encodeConfiguration({
			version: 1,
			routes: [
				{...routeDefaults, name: 'lookups', prefix: '/lookups/', kind: 'safe'},
				{...routeDefaults, name: 'bookings', prefix: '/bookings/', kind: 'unsafe'},
				{...routeDefaults, name: 'faulty', prefix: '/faulty/', kind: 'safe', service: 'faulty'},
			],
			services: [...services],
			workspaces: [{name: 'reed', keys: [workspaceKey], rate: 0, burst: 0}],
			coldRate: 100_000,
			coldSeconds: 0,
		}),
	);
	const targetAddresses = {
		lookups: `127.0.0.1:${(target.address() as AddressInfo).port}`,
		faulty: faultyTarget,
	};
	for (const service of services) {
		const targetAddress = targetAddresses[service];
		if (targetAddress !== undefined) {
			const id = `target-of-${service}`;
			const entry = {
				id,
				startTime: Date.now(),
				service,
				address: targetAddress,
				failureDomain: 'north',
				slots: 64,
				state: 'ready',
				coldFor: 0,
			} as const;
			store.write(storeKeyOf.target(id), encodeTarget(entry, 1));
		}
	}

	const file = path.join(directory, 'settings.json');
	await writeFile(file, JSON.stringify(settings));
	const child = spawn(
		process.execPath,
		[`--max-old-space-size=${limits.heapMb}`, program, '--config', file],
		{stdio: ['ignore', 'pipe', 'pipe']},
	);
	const output = collectOutput(child);
	const isRunning = () => child.exitCode === null && child.signalCode === null;

	async function servesOrdinaryRequest(maxRequests = maxPolls): Promise<boolean> {
		for (let attempt = 0; attempt < maxRequests && isRunning(); attempt++) {
			const headers = {
				host,
				...encodeCallerHeaders({id: `ordinary-${attempt}`, key: workspaceKey, timeout: 5000}),
			};
			if ((await statusOf({host: address, port, path: '/lookups/1', headers})) === 200) {
				return true;
			}

			await sleep(pollInterval);
		}

		return false;
	}

	const instance: InstanceUnderTest = {
		address,
		port,
		get isRunning() {
			return isRunning();
		},
		servesOrdinaryRequest,
		async peakMemory() {
			if (!isRunning()) {
				return Number.POSITIVE_INFINITY;
			}

			const status = await readFile(`/proc/${child.pid}/status`, 'utf8');
			return Number(/^VmHWM:\s+(\d+)/m.exec(status)![1]) / bytesPerKilobyte;
		},
		async openDescriptors() {
			const descriptors = isRunning() ? await readdir(`/proc/${child.pid}/fd`) : undefined;
			return descriptors?.length ?? Number.POSITIVE_INFINITY;
		},
		async stop() {
			if (isRunning()) {
				const ended = once(child, 'exit');
				child.kill('SIGKILL');
				await ended;
			}

			target.closeAllConnections();
			target.close();
			await store.stop();
			await rm(directory, {recursive: true});
		},
	};
	if (!(await servesOrdinaryRequest())) {
		const text = output();
		await instance.stop();
		throw new Error(`the process serves no request before the test: ${text}`);
	}

	return instance;
}
