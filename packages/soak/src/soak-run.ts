/**
 * One soak run. The platform, the targets and the callers are simulated in this process, and the
 * instances are separate processes of the real program. Faults, drawn from a seed, are injected
 * from outside the instances.
 */
import {mkdir} from 'node:fs/promises';
import {type Clock} from '@shallotpond/kernel/clock';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createStandInStore, type StoreFault} from '@shallotpond/platform/stand-in-store';
import {type FaultProxyMode} from './fault-proxy.js';
import {drawFaults, type Fault, type FaultKind} from './fault-schedule.js';
import {createObservations, type Observations} from './observations.js';
import {checkPromises, type Violation} from './promise-checks.js';
import {createSoakCallers} from './soak-callers.js';
import {createSoakInstances} from './soak-instances.js';
import {createSoakOperator} from './soak-operator.js';
import {type TargetFault} from './soak-target.js';
import {createSoakTargets} from './soak-targets.js';
import {
	promiseBounds,
	floodedWorkspace,
	floodFactor,
	ratesPerInstance,
	callerRoutes,
} from './soak-deployment.js';

export type SoakOptions = {
	readonly clock: Clock;
	readonly seed: number;
	/** Milliseconds of traffic. */
	readonly duration: number;
	/** Number of instances. */
	readonly instances: number;
	/** Path of the JavaScript file of the program. */
	readonly program: string;
	/** Directory for settings files and logs; created if it does not exist. */
	readonly directory: string;
	/** Called with each fault when it is injected. */
	readonly onFault?: (fault: Fault) => void;
};

export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly Violation[];
	/** Number of requests sent. */
	readonly sent: number;
	/** Number of requests that got a response with a complete, unmodified body. */
	readonly served: number;
	/** Number of requests by status of the response; 0 stands for no response. */
	readonly statuses: Readonly<Record<string, number>>;
	/** Number of faults injected. */
	readonly faults: number;
	/** Number of processes that ended without a kill or stop. */
	readonly unexpectedExits: number;
};

/** Time from the start of the processes to the first request. */
const startupDelayMs = 2500;
/** Timeout for the last responses after the end of the traffic. */
const drainTimeoutMs = 6000;
const drainPollIntervalMs = 50;
/** Minimum fraction of requests that must be served once the last fault has ended. */
const minRecoveredFraction = 0.25;
/** Time before the end of the traffic in which the fraction of served requests is measured. */
const recoveryWindowMs = 1500;

function countStatuses({outcomes}: Observations): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {status = 0} of outcomes) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return counts;
}

/** Checks the promise that requests are served again once the last fault has ended. */
function checkRecovery(observations: Observations, endAt: number): Violation[] {
	const {changes, outcomes, sent} = observations;
	const served = new Set(outcomes.filter(({hasValidBody}) => hasValidBody).map(({id}) => id));
	const withdrawnKeys = new Set(
		changes.flatMap(change => (change.kind === 'key-withdrawn' ? change.key : [])),
	);
	const lastRequests = [...sent.values()].filter(
		({at, key}) => at > endAt - recoveryWindowMs && !withdrawnKeys.has(key),
	);
	const servedFraction =
		lastRequests.filter(({id}) => served.has(id)).length / Math.max(1, lastRequests.length);
	return servedFraction < minRecoveredFraction
		? [{promise: 'service returns', detail: `${servedFraction} of the last requests`, at: endAt}]
		: [];
}

/** Runs the soak once and reports what was observed. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {clock, seed, duration, directory} = options;
	await mkdir(directory, {recursive: true});
	const random = createSeededRandom(seed);
	const observations = createObservations();
	const store = createStandInStore({clock});
	await store.start();
	const sharedOptions = {clock, random, store, observations};
	const operator = createSoakOperator(sharedOptions);
	const targets = createSoakTargets(sharedOptions);
	const instances = await createSoakInstances({
		clock,
		random,
		observations,
		count: options.instances,
		program: options.program,
		directory,
		storePort: () => store.port,
	});
	const callers = createSoakCallers({
		clock,
		random,
		observations,
		routes: callerRoutes,
		rates: Object.fromEntries(
			Object.entries(ratesPerInstance).map(([name, rate]) => [name, rate * options.instances]),
		),
		keyOf: operator.keyOf,
		chooseEndpoint: instances.chooseEndpoint,
		isSameProcess: instances.isSameProcess,
	});

	/** Records a period in which time bounds do not apply to any instance. */
	function recordGlobalDisturbance(length: number): void {
		const from = clock.monotonic();
		observations.disturbances.push({instance: undefined, from, until: from + length});
	}

	const injectTargetFault = (targetFault: TargetFault) => (fault: Fault) => {
		targets.injectFault(targetFault, fault);
	};

	const impairLink = (mode: FaultProxyMode) => (fault: Fault) => {
		targets.impairLink(mode, fault);
	};

	const injectStoreFault = (storeFault: StoreFault) => (fault: Fault) => {
		recordGlobalDisturbance(fault.duration);
		store.setFault(storeFault);
		clock.after(fault.duration, () => {
			store.setFault(undefined);
		});
	};

	const handlers: Readonly<Record<FaultKind, (fault: Fault, index: number) => void>> = {
		'instance-kill'(_fault, index) {
			instances.kill(index);
		},
		'instance-stop'(_fault, index) {
			instances.stop(index);
		},
		'instance-pause'(fault, index) {
			instances.pause(index, fault.duration);
		},
		'fleet-kill'() {
			for (let index = 0; index < instances.count; index++) {
				instances.kill(index);
			}
		},
		'target-crash': targets.crash,
		'target-gray': injectTargetFault('gray'),
		'target-slow': injectTargetFault('slow'),
		'target-mute': injectTargetFault('mute'),
		'target-forgets': injectTargetFault('forgets'),
		'target-leaves': targets.leave,
		'link-delay': impairLink('delay'),
		'link-reset': impairLink('reset'),
		'link-silence': impairLink('silence'),
		'link-one-way': impairLink('one-way'),
		'connections-silent'() {
			recordGlobalDisturbance(1);
			targets.silenceOpenConnections();
			instances.silenceOpenConnections();
		},
		'store-cut'(fault, index) {
			instances.isolateFromStore(index, fault.duration);
		},
		'store-reset': injectStoreFault('reset'),
		'store-silent': injectStoreFault('silent'),
		'store-busy': injectStoreFault('busy'),
		'store-slow': injectStoreFault('slow'),
		'store-compact'() {
			recordGlobalDisturbance(1);
			store.compact();
		},
		'route-move': operator.moveRoute,
		'key-withdraw': operator.changeKey,
		'domain-out': operator.evacuateDomain,
		flood(fault) {
			callers.setFloodFactor(floodedWorkspace, floodFactor);
			clock.after(fault.duration, () => {
				callers.setFloodFactor(floodedWorkspace, 1);
			});
		},
	};

	async function sleep(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			clock.after(milliseconds, resolve);
		});
	}

	async function awaitOpenRequests(endAt: number): Promise<void> {
		while (callers.openRequests > 0 && clock.monotonic() < endAt + drainTimeoutMs) {
			await sleep(drainPollIntervalMs);
		}
	}

	operator.start();
	await targets.start();
	instances.start();
	await sleep(startupDelayMs);
	const faults = drawFaults(random, duration);
	for (const fault of faults) {
		clock.after(fault.at, () => {
			options.onFault?.(fault);
			handlers[fault.kind](fault, Math.floor(fault.choice * instances.count));
		});
	}

	callers.start();
	await sleep(duration);
	callers.stop();
	const endAt = clock.monotonic();
	await awaitOpenRequests(endAt);
	callers.close();
	await instances.terminate();
	await targets.stop();
	await store.stop();
	return {
		seed,
		violations: [
			...checkPromises(observations, promiseBounds),
			...checkRecovery(observations, endAt),
		],
		sent: observations.sent.size,
		served: observations.outcomes.filter(({hasValidBody}) => hasValidBody).length,
		statuses: countStatuses(observations),
		faults: faults.length,
		unexpectedExits: instances.unexpectedExits,
	};
}
