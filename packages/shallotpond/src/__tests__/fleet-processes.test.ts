/**
 * Runs a fleet of six daemons as separate processes over real sockets, under a steady load and
 * through one fault after the other. Guards against faults of one instance that break requests at
 * others, and against requests that run twice, exceed the slots of a target or the rate of their
 * workspace, or get a wrong response. The tests compare what the targets ran with what the callers
 * received. Timeouts only end a test that would hang, except for the three seconds after which a
 * failure domain that was taken out of service must get no new request.
 */
import {writeFile} from 'node:fs/promises';
import http from 'node:http';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterAll, beforeAll, describe, expect, test} from '@jest/globals';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {
	createStandInConfigurationService,
	type StandInConfigurationService,
} from '@shallotpond/testkit/stand-in-configuration-service';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {startCountingTarget, type CountingTarget, type TargetRun} from './counting-target.js';
import {
	call,
	killAllProcesses,
	isReady,
	readAdminPage,
	startDaemon,
	waitUntil,
	type DaemonProcess,
} from './daemon-processes.js';
import {
	createFleetDocument,
	failureDomains,
	keys,
	slotsPerTarget,
	workspaceLimits,
	type FleetTargets,
} from './fleet-document.js';
import {startRequestLoad, type RequestLoad, type RequestOutcome} from './request-load.js';

const instanceCount = 6;
const peerSecret = 'fleet-test-peer-secret';
const drainGraceMs = 1000;
/** Time after which a failure domain that was taken out of service gets no new request. */
const maxDomainOutDelayMs = 3000;
const pauseDurationMs = 10_000;
/** Longer than the 10 s after which an instance without any contact refuses requests. */
const serviceOutageMs = 11_000;
const testTimeoutMs = 40_000;

type Status = {
	readonly version: number;
	readonly members: ReadonlyArray<{readonly instance: string; readonly state: string}>;
	readonly targets: ReadonlyArray<{
		readonly id: string;
		readonly service: string;
		readonly coordinator?: string;
	}>;
};

let configurationService: StandInConfigurationService;
let targets: FleetTargets;
let load: RequestLoad;
const fleet: DaemonProcess[] = [];
/** Includes the instances that have exited. */
const startedInstances: DaemonProcess[] = [];
/** Configuration versions that each instance reported, in order and without repetitions. */
const observedVersions = new Map<DaemonProcess, number[]>();
/** Written to the file that the environment variable `FLEET_REPORT` names. */
const measurements: Record<string, number> = {};

let lastRequestNumber = 0;

const allTargets = () => Object.values(targets).flat();
const allRuns = () => allTargets().flatMap(({runs}) => runs);
/** Returns a new id that differs from those of the steady load. */
const nextRequestId = (kind: string) => `${kind}-own-${++lastRequestNumber}`;

async function readStatus(instance: DaemonProcess): Promise<Status | undefined> {
	const response = await readAdminPage(instance, '/status');
	return response?.status === 200 ? (JSON.parse(response.body) as Status) : undefined;
}

/** Records the configuration versions that an instance reports, until it exits. */
async function recordVersions(instance: DaemonProcess): Promise<void> {
	const versions: number[] = [];
	observedVersions.set(instance, versions);
	while (instance.isRunning) {
		const status = await readStatus(instance);
		if (status !== undefined && status.version !== versions.at(-1)) {
			versions.push(status.version);
		}

		await sleep(200);
	}
}

function publishInstanceList(): void {
	configurationService.setInstances(
		fleet.map(({peerAddress, failureDomain}) => ({
			address: peerAddress,
			failureDomain,
			state: 'live',
		})),
	);
}

async function addInstance(failureDomain: string, peerPort: number, peers: readonly string[]) {
	const instance = await startDaemon({
		failureDomain,
		configurationService: configurationService.url,
		peerSecret,
		peerPort,
		peers,
		flags: ['--drain-grace', String(drainGraceMs)],
	});
	fleet.push(instance);
	startedInstances.push(instance);
	void recordVersions(instance);
	return instance;
}

function removeInstance(instance: DaemonProcess): void {
	fleet.splice(fleet.indexOf(instance), 1);
	publishInstanceList();
}

/**
 * Finds an instance that coordinates a shard (group of targets) of `work`, so that its failure has
 * an effect.
 */
async function findCoordinator(): Promise<DaemonProcess> {
	const status = await readStatus(fleet[0]!);
	const coordinatorId = status?.targets.find(
		target => target.service === 'work' && target.coordinator !== undefined,
	)?.coordinator;
	return fleet.find(({peerAddress}) => coordinatorId?.startsWith(`${peerAddress}#`)) ?? fleet[0]!;
}

/** Whether each shard in this status has a coordinator other than `formerCoordinator`. */
function hasOtherCoordinators(
	status: Status | undefined,
	formerCoordinator: DaemonProcess,
): boolean {
	const coordinators = status?.targets.map(({coordinator}) => coordinator) ?? [undefined];
	return coordinators.every(
		coordinator =>
			coordinator !== undefined && !coordinator.startsWith(`${formerCoordinator.peerAddress}#`),
	);
}

async function waitForVersion(version: number): Promise<void> {
	for (const instance of fleet) {
		await waitUntil(`version ${version} is the current version`, async () => {
			const status = await readStatus(instance);
			return status?.version === version;
		});
	}
}

/** Resolves when each target has received a request after this call. */
async function waitForRequestAtEachTarget(list: readonly CountingTarget[]): Promise<void> {
	const startedAt = performance.now();
	const idleTargets = () => list.filter(({runs}) => (runs.at(-1)?.arrivedAt ?? 0) <= startedAt);
	try {
		await waitUntil('every target receives a request', () => idleTargets().length === 0);
	} catch (error) {
		const ids = new Set(idleTargets().map(({id}) => id));
		const lines: string[] = [];
		for (const instance of fleet) {
			const status = await readStatus(instance);
			const reportedTargets = status?.targets.filter(({id}) => ids.has(id));
			lines.push(`${instance.peerAddress}: ${JSON.stringify(reportedTargets)}`);
		}

		throw new Error(`idle targets, as reported by the instances:\n${lines.join('\n')}`, {
			cause: error,
		});
	}
}

/** Resolves when the requests that are now in progress have ended, so that faults do not overlap. */
async function waitForPendingRequests(): Promise<void> {
	const pendingRequests = new Set(load.inProgress);
	await waitUntil(
		'the pending requests have ended',
		() => !load.inProgress.some(request => pendingRequests.has(request)),
	);
}

/** Outcomes of requests to these instances that ended at `since` or later. */
function outcomesOf(instances: readonly DaemonProcess[], since: number): RequestOutcome[] {
	return load.outcomes.filter(
		({instance, endedAt}) => instances.includes(instance) && endedAt >= since,
	);
}

/**
 * Requests of which the caller does not know whether they ran: without a complete response, or with
 * one that does not say so.
 */
function findAmbiguous(outcomes: readonly RequestOutcome[]): RequestOutcome[] {
	return outcomes.filter(
		({status, runState}) => status === undefined || (runState ?? 'not-run') !== 'not-run',
	);
}

function describeRun(id: string): string {
	const found = allTargets().flatMap(target =>
		target.runs
			.filter(run => run.id === id)
			.map(({arrivedAt}) => `ran at ${target.id} from ${Math.round(arrivedAt)}`),
	);
	return found.length === 0 ? 'did not run' : found.join(', ');
}

function describeOutcome(outcome: RequestOutcome): string {
	const {id, method, workspace, instance, status, code, runState, error, sentAt, endedAt} = outcome;
	return (
		`${method} ${id} of ${workspace} at ${instance.peerAddress}: ` +
		`${status ?? 'broken'} ${code ?? ''} ${runState ?? ''} ${error ?? ''} ` +
		`${Math.round(sentAt)}..${Math.round(endedAt)} ${describeRun(id)}`
	);
}

function describeOutcomes(outcomes: readonly RequestOutcome[]): string[] {
	return outcomes.map(outcome => describeOutcome(outcome));
}

/** Describes runs that were in progress together, each with the outcome of its request. */
function describeRuns(runs: readonly TargetRun[]): string[] {
	const outcomes = new Map(load.outcomes.map(outcome => [outcome.id, outcome]));
	return runs.map(({id, arrivedAt}) => {
		const outcome = outcomes.get(id);
		return `arrived ${Math.round(arrivedAt)}: ${outcome === undefined ? id : describeOutcome(outcome)}`;
	});
}

/** Sends a signal and records its time, for comparison with the times in failure messages. */
function sendSignal(instance: DaemonProcess, name: NodeJS.Signals): void {
	measurements[`${name} to ${instance.peerAddress} at`] = Math.round(performance.now());
	instance.signal(name);
}

/** Measures the response times and failures of the workspace that stays within its rate. */
function recordMeasurements(name: string, outcomes: readonly RequestOutcome[]): void {
	const steadyOutcomes = outcomes.filter(({workspace}) => workspace === 'steady');
	measurements[`${name}: requests within the rate`] = steadyOutcomes.length;
	const succeeded = steadyOutcomes.filter(
		({id, status}) => status === 200 && id.startsWith('quick-'),
	);
	const durations = succeeded.map(({sentAt, endedAt}) => endedAt - sentAt);
	measurements[`${name}: slowest answer, milliseconds`] = Math.round(Math.max(0, ...durations));
	measurements[`${name}: answers after more than 1 s`] = durations.filter(
		duration => duration > 1000,
	).length;
	for (const {status, code} of steadyOutcomes) {
		if (status !== 200) {
			const measurement = `${name}: ${status ?? 'broken'} ${code ?? ''}`;
			measurements[measurement] = (measurements[measurement] ?? 0) + 1;
		}
	}
}

async function sendLongRequest(instance: DaemonProcess, kind: string, route: 'files' | 'narrow') {
	return load.send(instance, {
		id: nextRequestId(kind),
		method: 'GET',
		route,
		workspace: 'steady',
		key: keys.steady,
	});
}

beforeAll(async () => {
	const startTargets = async (prefix: string, count: number) =>
		Promise.all(
			Array.from({length: count}, async (_, index) =>
				startCountingTarget(`${prefix}${index}`, failureDomains[index % failureDomains.length]!),
			),
		);
	targets = {
		work: await startTargets('work', 6),
		files: await startTargets('files', 3),
		narrow: await startTargets('narrow', 1),
	};
	configurationService = await createStandInConfigurationService(
		createFleetDocument(targets, instanceCount),
	);
	const ports = await Promise.all(Array.from({length: instanceCount}, async () => reservePorts()));
	const peers = ports.map(port => `127.0.0.1:${port}`);
	await Promise.all(
		ports.map(async (port, index) =>
			addInstance(failureDomains[index % failureDomains.length]!, port, peers),
		),
	);
	publishInstanceList();
	for (const instance of fleet) {
		await waitUntil('the instance is ready', async () => isReady(instance));
	}

	load = startRequestLoad([
		{name: 'steady', key: keys.steady, ratePerInstance: 12},
		{name: 'greedy', key: keys.greedy, ratePerInstance: 15},
	]);
	for (const instance of fleet) {
		load.addInstance(instance);
	}

	await waitForRequestAtEachTarget(targets.work);
}, testTimeoutMs);

afterAll(async () => {
	try {
		for (const target of allTargets()) {
			target.release();
		}

		// Path of a file for the measurements. Unfinished and failed requests, and the logs of all
		// instances, are written to a second file next to it.
		const report = process.env.FLEET_REPORT;
		if (report !== undefined) {
			const logs = startedInstances.map(({peerAddress, output}) => `${peerAddress}\n${output}`);
			await writeFile(report, JSON.stringify(measurements, undefined, '\t'));
			const failedOutcomes = load.outcomes.filter(
				({workspace, status}) => workspace === 'steady' && status !== 200,
			);
			await writeFile(
				`${report}.log`,
				[...load.inProgress, ...describeOutcomes(failedOutcomes), ...logs].join('\n\n'),
			);
		}
	} finally {
		await killAllProcesses();
		await load.stop();
		await Promise.all(allTargets().map(async target => target.stop()));
		await configurationService.close();
	}
}, testTimeoutMs);

describe('a fleet of processes under load', () => {
	test(
		'without a fault, every request within the rate succeeds',
		async () => {
			const startedAt = performance.now();
			await waitUntil(
				'300 requests have ended',
				() => outcomesOf(fleet, startedAt).filter(({sentAt}) => sentAt > startedAt).length > 300,
			);
			const outcomes = outcomesOf(fleet, startedAt).filter(({sentAt}) => sentAt > startedAt);
			recordMeasurements('no fault', outcomes);
			expect(describeOutcomes(findAmbiguous(outcomes))).toEqual([]);
			const refused = outcomes.filter(
				({workspace, status}) => workspace === 'steady' && status !== 200,
			);
			expect(describeOutcomes(refused)).toEqual([]);
		},
		testTimeoutMs,
	);

	test(
		'killing an instance breaks no request at other instances',
		async () => {
			const killedInstance = await findCoordinator();
			const otherInstances = fleet.filter(instance => instance !== killedInstance);
			const startedAt = performance.now();
			const downloads = otherInstances.map(async instance =>
				sendLongRequest(instance, 'download', 'files'),
			);
			const killedDownload = sendLongRequest(killedInstance, 'download', 'files');
			await waitUntil(
				'all downloads are in progress',
				() => targets.files.reduce((sum, {inFlight}) => sum + inFlight, 0) === instanceCount,
			);
			sendSignal(killedInstance, 'SIGKILL');
			await killedInstance.exited;
			removeInstance(killedInstance);
			for (const instance of otherInstances) {
				await waitUntil('no shard is left with the killed instance', async () =>
					hasOtherCoordinators(await readStatus(instance), killedInstance),
				);
			}

			await waitForRequestAtEachTarget(targets.work);
			const downloadOutcomes = await Promise.all(downloads);
			await waitForPendingRequests();
			const outcomes = outcomesOf(otherInstances, startedAt);
			recordMeasurements('kill', outcomes);
			// A download that the kill has truncated must not look complete.
			const killedOutcome = await killedDownload;
			expect(killedOutcome.status).toBeUndefined();
			expect(describeOutcomes(downloadOutcomes.filter(({isCorrect}) => !isCorrect))).toEqual([]);
			expect(describeOutcomes(findAmbiguous(outcomes))).toEqual([]);
		},
		testTimeoutMs,
	);

	test(
		'pausing an instance while the configuration service is down breaks no request at other instances',
		async () => {
			configurationService.patch(
				[{op: 'replace', path: '/workspaces/members/burst', value: 90}],
				1,
			);
			await waitForVersion(2);
			const pausedInstance = await findCoordinator();
			const otherInstances = fleet.filter(instance => instance !== pausedInstance);
			const startedAt = performance.now();
			configurationService.startOutage('refuse');
			sendSignal(pausedInstance, 'SIGSTOP');
			await sleep(pauseDurationMs);
			sendSignal(pausedInstance, 'SIGCONT');
			await sleep(serviceOutageMs - pauseDurationMs);
			await waitUntil('the instance that was paused is ready', async () => isReady(pausedInstance));
			await waitUntil('the instance that was paused serves', () =>
				outcomesOf([pausedInstance], startedAt + pauseDurationMs).some(
					({status, sentAt}) => status === 200 && sentAt > startedAt + pauseDurationMs,
				),
			);
			const outcomes = outcomesOf(otherInstances, startedAt);
			recordMeasurements('pause and service away', outcomes);
			expect(pausedInstance.logs.map(({message}) => message)).toContain('the process was paused');
			expect(describeOutcomes(findAmbiguous(outcomes))).toEqual([]);
			expect(outcomes.filter(({code}) => code === 'isolated')).toEqual([]);
		},
		testTimeoutMs,
	);

	test(
		'an instance that starts against a stale configuration service adopts the version of its peers',
		async () => {
			configurationService.recover();
			configurationService.serveOldVersion(1);
			const peers = fleet.map(({peerAddress}) => peerAddress);
			const replacement = await addInstance(failureDomains[0], await reservePorts(), peers);
			publishInstanceList();
			await waitUntil('the new instance is ready', async () => isReady(replacement));
			const status = await readStatus(replacement);
			expect(status?.version).toBe(2);
			load.addInstance(replacement);
			await waitUntil('the new instance serves', () =>
				outcomesOf([replacement], 0).some(({status: code}) => code === 200),
			);
			await waitForRequestAtEachTarget(targets.work);
			configurationService.recover();
			configurationService.patch(
				[{op: 'replace', path: '/workspaces/members/burst', value: 95}],
				2,
			);
			await waitForVersion(3);
			for (const versions of observedVersions.values()) {
				// Instances that were killed before version 3 have reported fewer versions.
				expect(versions).toEqual([...versions].sort((one, other) => one - other));
			}
		},
		testTimeoutMs,
	);

	test(
		'a withdrawn key is refused on open connections, which stay usable for other keys',
		async () => {
			const callers = fleet.map(({callerPort}) => ({
				port: callerPort,
				agent: new http.Agent({keepAlive: true, maxSockets: 1}),
			}));
			type Caller = (typeof callers)[number];
			const sendRequest = async ({port, agent}: Caller, key: string, kind: string) =>
				call(port, {
					path: `/work/members/${nextRequestId(`quick-${kind}`)}`,
					headers: {authorization: `Bearer ${key}`},
					agent,
				});
			const localPorts = await Promise.all(
				callers.map(async caller => {
					let response = await sendRequest(caller, keys.withdrawn, 'before');
					// Repeated, because the owner of the rate may have just changed, which can cause refusals.
					await waitUntil('the key is accepted', async () => {
						response = await sendRequest(caller, keys.withdrawn, 'before');
						return response.status === 200;
					});
					return response.localPort;
				}),
			);
			const startedAt = performance.now();
			configurationService.patch(
				[
					{
						op: 'replace',
						path: '/workspaces/members/keyDigests',
						value: [digestKey(keys.kept)],
					},
				],
				3,
			);
			await Promise.all(
				callers.map(async (caller, index) => {
					await waitUntil(
						'the key is refused',
						async () => {
							const response = await sendRequest(caller, keys.withdrawn, 'late');
							expect(response.localPort).toBe(localPorts[index]);
							return response.status === 401;
						},
						10_000,
					);
				}),
			);
			measurements['withdrawn key: milliseconds until refused everywhere'] =
				performance.now() - startedAt;
			for (const [index, caller] of callers.entries()) {
				const refused = await sendRequest(caller, keys.withdrawn, 'after');
				const accepted = await sendRequest(caller, keys.kept, 'kept');
				expect([refused.status, refused.localPort]).toEqual([401, localPorts[index]]);
				expect([accepted.status, accepted.localPort]).toEqual([200, localPorts[index]]);
				caller.agent.destroy();
			}

			expect(allRuns().filter(({id}) => id.startsWith('quick-after'))).toEqual([]);
		},
		testTimeoutMs,
	);

	test(
		'a failure domain gets no new requests while out of service, and gets requests afterwards',
		async () => {
			const isSouth = ({failureDomain}: CountingTarget) => failureDomain === 'south';
			const setState = (value: string) => {
				const patch = [{op: 'replace', path: '/failureDomains/south/state', value}];
				configurationService.patch(patch, configurationService.document.version);
			};

			const startedAt = performance.now();
			setState('out');
			await sleep(maxDomainOutDelayMs);
			const drainedBy = startedAt + maxDomainOutDelayMs;
			const lateRuns = (list: readonly CountingTarget[]) =>
				list.flatMap(({runs}) => runs).filter(({arrivedAt}) => arrivedAt > drainedBy);
			const otherTargets = targets.work.filter(target => !isSouth(target));
			await waitUntil('200 requests ran elsewhere', () => lateRuns(otherTargets).length >= 200);
			expect(lateRuns(allTargets().filter(target => isSouth(target)))).toEqual([]);
			setState('in');
			await waitForRequestAtEachTarget(targets.work);
			const outcomes = outcomesOf(fleet, startedAt);
			recordMeasurements('failure domain out', outcomes);
			expect(describeOutcomes(findAmbiguous(outcomes))).toEqual([]);
		},
		testTimeoutMs,
	);

	test(
		'a graceful stop under load breaks no request',
		async () => {
			const stoppingInstance = await findCoordinator();
			const otherInstances = fleet.filter(instance => instance !== stoppingInstance);
			const startedAt = performance.now();
			const [narrow] = targets.narrow;
			const download = sendLongRequest(stoppingInstance, 'download', 'files');
			const heldRequest = sendLongRequest(otherInstances[0]!, 'hold', 'narrow');
			await waitUntil('the only slot is taken and the download is in progress', () => {
				const files = targets.files.reduce((sum, {inFlight}) => sum + inFlight, 0);
				return narrow!.inFlight === 1 && files === 1;
			});
			const queuedRequest = sendLongRequest(stoppingInstance, 'hold', 'narrow');
			// The request must have reached the instance before the signal does.
			await sleep(300);
			sendSignal(stoppingInstance, 'SIGTERM');
			await waitUntil('the instance is not ready', async () => !(await isReady(stoppingInstance)));
			// Frees the slot only after the grace period, while the instance waits for its requests.
			await sleep(drainGraceMs + 500);
			const liveResponse = await readAdminPage(stoppingInstance, '/live');
			narrow!.release();
			await waitUntil('the long requests have ended', () =>
				load.inProgress.every(request => request.startsWith('quick-')),
			);
			await waitUntil('the instance has exited', () => !stoppingInstance.isRunning);
			const longOutcomes = await Promise.all([download, heldRequest, queuedRequest]);
			const exit = await stoppingInstance.exited;
			measurements['graceful stop: milliseconds'] = performance.now() - startedAt;
			fleet.splice(fleet.indexOf(stoppingInstance), 1);
			const outcomes = outcomesOf([stoppingInstance, ...otherInstances], startedAt);
			recordMeasurements('graceful stop', outcomes);
			expect(describeOutcomes(longOutcomes.filter(({isCorrect}) => !isCorrect))).toEqual([]);
			expect(describeOutcomes(findAmbiguous(outcomes))).toEqual([]);
			// Without this response, a platform would kill the process before its requests have ended.
			expect(liveResponse?.status).toBe(200);
			expect(exit).toEqual({code: 0, signal: null});
		},
		testTimeoutMs,
	);

	// Guards against a target that gets no requests any more after a fault that affected it.
	test(
		'after all faults, every target gets requests again',
		async () => {
			await waitForRequestAtEachTarget(targets.work);
		},
		testTimeoutMs,
	);
});

describe('the whole run', () => {
	beforeAll(async () => {
		const stopping = load.stop();
		await waitUntil('all requests have ended', () => load.inProgress.length === 0);
		await stopping;
		measurements['all requests'] = load.outcomes.length;
		measurements['all runs at targets'] = allRuns().length;
	}, testTimeoutMs);

	test('no non-idempotent request ran more than once', () => {
		const counts = new Map<string, number>();
		for (const {id, method} of allRuns()) {
			if (method === 'POST') {
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}
		}

		expect(counts.size).toBeGreaterThan(300);
		expect([...counts].filter(([, count]) => count > 1)).toEqual([]);
	});

	test('every successful response was complete and belonged to its request', () => {
		const successes = load.outcomes.filter(({status}) => status === 200);
		expect(successes.length).toBeGreaterThan(1000);
		expect(describeOutcomes(successes.filter(({isCorrect}) => !isCorrect))).toEqual([]);
	});

	test('no request that was refused as not-run has run', () => {
		const ran = new Set(allRuns().map(({id}) => id));
		const refused = load.outcomes.filter(({runState}) => runState === 'not-run');
		expect(refused.length).toBeGreaterThan(100);
		expect(describeOutcomes(refused.filter(({id}) => ran.has(id)))).toEqual([]);
	});

	test('no target had more requests in progress than its slots', () => {
		for (const [name, list] of Object.entries(targets)) {
			const peaks = list.map(({peakInFlight}) => peakInFlight);
			const limit = slotsPerTarget[name as keyof typeof slotsPerTarget];
			measurements[`most in flight: ${name}`] = Math.max(...peaks.map(({length}) => length));
			expect(peaks.filter(({length}) => length > limit).map(describeRuns)).toEqual([]);
		}
	});

	test.each(['steady', 'greedy'] as const)(
		'workspace %s never exceeded rate x time + burst',
		workspace => {
			const arrivals = new Map(allRuns().map(({id, arrivedAt}) => [id, arrivedAt]));
			const {rate, burst} = workspaceLimits[workspace];
			// A request was admitted between its start at the caller and its arrival at the target.
			const admitted = load.outcomes
				.filter(outcome => outcome.workspace === workspace && arrivals.has(outcome.id))
				.map(({id, sentAt}) => ({sentAt, arrivedAt: arrivals.get(id)!}))
				.sort((one, other) => one.arrivedAt - other.arrivedAt);
			let maxExcess = -Infinity;
			for (let index = 0; index < admitted.length; index += 5) {
				const windowStart = admitted[index]!.sentAt;
				let count = 0;
				for (const {sentAt, arrivedAt} of admitted) {
					if (sentAt >= windowStart) {
						count++;
						maxExcess = Math.max(
							maxExcess,
							count - (rate * (arrivedAt - windowStart)) / 1000 - burst,
						);
					}
				}
			}

			measurements[`${workspace}: admitted`] = admitted.length;
			measurements[`${workspace}: most above rate x time + burst`] = maxExcess;
			expect(admitted.length).toBeGreaterThan(100);
			expect(maxExcess).toBeLessThanOrEqual(0);
		},
	);
});
