/**
 * The instances under test: their addresses and settings, the connection of each to the store, the
 * load balancer's view of them, and the faults that are injected into them.
 */
import {writeFile} from 'node:fs/promises';
import http from 'node:http';
import path from 'node:path';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {encodeSettings, readinessPath} from '@shallotpond/platform/stand-in-encoding';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {createFaultProxy, type FaultProxy} from './fault-proxy.js';
import {createInstanceProcess, type InstanceProcess} from './instance-process.js';
import {type Observations} from './observations.js';
import {type InstanceEndpoint} from './soak-callers.js';
import {failureDomains, pickAtFraction, platformBounds} from './soak-deployment.js';

export type SoakInstances = {
	readonly count: number;
	/** Number of processes that ended without a kill or stop. */
	readonly unexpectedExits: number;
	start(): void;
	kill(index: number): void;
	stop(index: number): void;
	/** Suspends an instance for `duration` milliseconds. */
	pause(index: number, duration: number): void;
	/** Silences the connections of an instance to the store for `duration` milliseconds. */
	isolateFromStore(index: number, duration: number): void;
	/** Silences the open connections of all instances to the store. */
	silenceOpenConnections(): void;
	/** Returns a random ready instance, or any instance while none is ready. */
	chooseEndpoint(): InstanceEndpoint;
	/** Whether the process at the endpoint is still the one that was chosen. */
	isSameProcess(endpoint: InstanceEndpoint): boolean;
	/** Kills all instances. */
	terminate(): Promise<void>;
};

export type SoakInstancesOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly observations: Observations;
	readonly count: number;
	/** Path of the JavaScript file of the program. */
	readonly program: string;
	/** Directory for settings files and logs. */
	readonly directory: string;
	readonly storePort: () => number;
};

type ManagedInstance = {
	readonly instanceProcess: InstanceProcess;
	readonly address: string;
	readonly storeLink: FaultProxy;
	/** Whether the load balancer offers the instance. */
	isReady: boolean;
	/** Consecutive readiness checks that failed. */
	failedChecks: number;
};

/** Interval and timeout of the readiness checks of the load balancer. */
const readinessIntervalMs = 500;
/** Consecutive failed checks after which the load balancer no longer offers an instance. */
const maxFailedChecks = 2;
const okStatus = 200;
const internalPortCount = 10;
const maxOctet = 250;

async function isRespondingOk(host: string, port: number): Promise<boolean> {
	return new Promise(resolve => {
		const request = http.get(
			{host, port, path: readinessPath, timeout: readinessIntervalMs, agent: false},
			response => {
				response.resume();
				resolve(response.statusCode === okStatus);
			},
		);
		request.on('timeout', () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(false);
		});
	});
}

/**
 * Draws the first three octets of the addresses of the instances. Each instance has an address of
 * its own in 127.0.0.0/8, so all of them can use the same port numbers.
 */
function drawNetwork(): string {
	const octet = () => 1 + Math.floor(Math.random() * maxOctet);
	return `127.${octet()}.${octet()}`;
}

/** Writes the settings files and starts the readiness checks, but does not start the processes. */
export async function createSoakInstances(options: SoakInstancesOptions): Promise<SoakInstances> {
	const {clock, random, observations, count, directory} = options;
	const network = drawNetwork();
	const callersPort = await reservePorts(internalPortCount + 3);
	const readinessPort = callersPort + 1;
	const internalPort = callersPort + 2;
	const managedInstances: ManagedInstance[] = [];
	let unexpectedExits = 0;

	/** Records a period in which time bounds do not apply to the instance. */
	function recordDisturbance(instance: number, duration: number): void {
		const from = clock.monotonic();
		observations.disturbances.push({instance, from, until: from + duration});
	}

	async function writeSettings(index: number, address: string, storePort: number): Promise<string> {
		const file = path.join(directory, `instance-${index}.json`);
		const settings = encodeSettings({
			name: `instance-${index}`,
			address,
			failureDomain: failureDomains[index % failureDomains.length]!,
			failureDomains,
			callersPort,
			readinessPort,
			internalPorts: [internalPort, internalPort + internalPortCount],
			seeds: [1, 2, 3].map(number => `${network}.${number}:${internalPort}`),
			store: `127.0.0.1:${storePort}`,
			terms: platformBounds,
		});
		await writeFile(file, JSON.stringify(settings));
		return file;
	}

	async function createManagedInstance(index: number): Promise<ManagedInstance> {
		const address = `${network}.${index + 1}`;
		const storeLink = createFaultProxy({clock, destination: options.storePort});
		await storeLink.start();
		const instanceProcess = createInstanceProcess({
			clock,
			program: options.program,
			settingsFile: await writeSettings(index, address, storeLink.port),
			logFile: path.join(directory, `instance-${index}.log`),
			stopTimeout: platformBounds.stopLimit,
			onStart() {
				recordDisturbance(index, 1);
			},
			onExit(isExpected) {
				unexpectedExits += isExpected ? 0 : 1;
			},
		});
		return {address, storeLink, instanceProcess, isReady: false, failedChecks: 0};
	}

	async function updateReadiness(managedInstance: ManagedInstance): Promise<void> {
		const isOk = await isRespondingOk(managedInstance.address, readinessPort);
		managedInstance.failedChecks = isOk ? 0 : managedInstance.failedChecks + 1;
		managedInstance.isReady =
			isOk || (managedInstance.isReady && managedInstance.failedChecks < maxFailedChecks);
	}

	for (let index = 0; index < count; index++) {
		managedInstances.push(await createManagedInstance(index));
	}

	const cancelChecks = clock.every(readinessIntervalMs, () => {
		for (const managedInstance of managedInstances) {
			void updateReadiness(managedInstance);
		}
	});

	return {
		count,
		get unexpectedExits() {
			return unexpectedExits;
		},
		start() {
			for (const {instanceProcess} of managedInstances) {
				instanceProcess.start();
			}
		},
		kill(index) {
			recordDisturbance(index, 1);
			managedInstances[index]!.instanceProcess.kill();
		},
		stop(index) {
			const {instanceProcess} = managedInstances[index]!;
			if (!instanceProcess.isRunning) {
				return;
			}

			const at = clock.monotonic();
			observations.stops.push({instance: index, incarnation: instanceProcess.incarnation, at});
			observations.disturbances.push({instance: index, from: at, until: at + 1});
			instanceProcess.stop();
		},
		pause(index, duration) {
			recordDisturbance(index, duration);
			managedInstances[index]!.instanceProcess.pause();
			clock.after(duration, () => {
				managedInstances[index]!.instanceProcess.resume();
			});
		},
		isolateFromStore(index, duration) {
			recordDisturbance(index, duration);
			const {storeLink} = managedInstances[index]!;
			storeLink.setMode('silence');
			clock.after(duration, () => {
				storeLink.setMode('pass');
			});
		},
		silenceOpenConnections() {
			for (const {storeLink} of managedInstances) {
				storeLink.silenceOpenConnections();
			}
		},
		chooseEndpoint() {
			const ready = [...managedInstances.entries()].filter(
				([, managedInstance]) => managedInstance.isReady,
			);
			const [instance, managedInstance] = pickAtFraction(
				ready.length > 0 ? ready : [...managedInstances.entries()],
				random(),
			);
			const {incarnation} = managedInstance.instanceProcess;
			return {instance, incarnation, host: managedInstance.address, port: callersPort};
		},
		isSameProcess({instance, incarnation}) {
			const {instanceProcess} = managedInstances[instance]!;
			return instanceProcess.isRunning && instanceProcess.incarnation === incarnation;
		},
		async terminate() {
			cancelChecks();
			await Promise.all(
				managedInstances.map(async ({instanceProcess}) => instanceProcess.terminate()),
			);
			await Promise.all(managedInstances.map(async ({storeLink}) => storeLink.stop()));
		},
	};
}
