/**
 * One run of the soak: a stand-in of the platform, targets and callers in this process, instances of
 * the real program as processes of their own, and faults from outside them, drawn from a seed.
 */
import {mkdir} from 'node:fs/promises';
import {type Clock} from '@shallotpond/kernel/clock';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createStandInStore, type StoreFault} from '@shallotpond/platform/stand-in-store';
import {type ProxyMode} from './fault-proxy.js';
import {drawFaults, type Fault, type FaultKind} from './fault-schedule.js';
import {createObservations, type Observations} from './observations.js';
import {checkPromises, type Violation} from './promise-checks.js';
import {createSoakCallers} from './soak-callers.js';
import {createSoakInstances} from './soak-instances.js';
import {createSoakOperator} from './soak-operator.js';
import {type TargetTrouble} from './soak-target.js';
import {createSoakTargets} from './soak-targets.js';
import {bounds, floodedWorkspace, floodFactor, ratesPerInstance, routes} from './soak-terms.js';

export type SoakOptions = {
	readonly clock: Clock;
	readonly seed: number;
	/** Milliseconds of traffic. */
	readonly duration: number;
	readonly instances: number;
	/** JavaScript file of the program. */
	readonly program: string;
	/** Folder for settings files and logs; made if need be. */
	readonly folder: string;
	/** Called with each fault as it comes. */
	readonly onFault?: (fault: Fault) => void;
};

export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly Violation[];
	readonly sent: number;
	/** Requests that got a whole answer with a success. */
	readonly served: number;
	/** Requests by the status that ended them; 0 for those without an answer. */
	readonly statuses: Readonly<Record<string, number>>;
	readonly faults: number;
	/** Processes that ended without having been asked to. */
	readonly ownEnds: number;
};

/** Milliseconds from the start of the processes to the first request. */
const lead = 2500;
/** Milliseconds in which the last answers must have come. */
const lastAnswersTime = 6000;
const answersInterval = 50;
/** Part of the requests that must be served after the last fault has ended. */
const recoveredShare = 0.25;
/** Milliseconds before the end of the traffic in which this is looked at. */
const recoveryTime = 1500;

function countStatuses({outcomes}: Observations): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {status = 0} of outcomes) {
		counts[status] = (counts[status] ?? 0) + 1;
	}

	return counts;
}

function checkRecovery(observations: Observations, endAt: number): Violation[] {
	const {changes, outcomes, sent} = observations;
	const served = new Set(outcomes.filter(({isGenuine}) => isGenuine).map(({id}) => id));
	const withdrawn = new Set(
		changes.flatMap(change => (change.kind === 'key-withdrawn' ? change.key : [])),
	);
	const last = [...sent.values()].filter(
		({at, key}) => at > endAt - recoveryTime && !withdrawn.has(key),
	);
	const share = last.filter(({id}) => served.has(id)).length / Math.max(1, last.length);
	return share < recoveredShare
		? [{promise: 'service returns', detail: `${share} of the last requests`, at: endAt}]
		: [];
}

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {clock, seed, duration, folder} = options;
	await mkdir(folder, {recursive: true});
	const random = createSeededRandom(seed);
	const observations = createObservations();
	const store = createStandInStore({clock});
	await store.start();
	const common = {clock, random, store, observations};
	const operator = createSoakOperator(common);
	const targets = createSoakTargets(common);
	const instances = await createSoakInstances({
		clock,
		random,
		observations,
		count: options.instances,
		program: options.program,
		folder,
		storePort: () => store.port,
	});
	const callers = createSoakCallers({
		clock,
		random,
		observations,
		routes,
		rates: Object.fromEntries(
			Object.entries(ratesPerInstance).map(([name, rate]) => [name, rate * options.instances]),
		),
		keyOf: operator.keyOf,
		choose: instances.choose,
		isThere: instances.isThere,
	});

	/** Notes that bounds in time do not hold for any instance. */
	function disturbAll(length: number): void {
		const from = clock.monotonic();
		observations.disturbances.push({instance: undefined, from, until: from + length});
	}

	const troubleTarget = (trouble: TargetTrouble) => (fault: Fault) => {
		targets.trouble(trouble, fault);
	};

	const harmLink = (mode: ProxyMode) => (fault: Fault) => {
		targets.harmLink(mode, fault);
	};

	const troubleStore = (trouble: StoreFault) => (fault: Fault) => {
		disturbAll(fault.duration);
		store.setFault(trouble);
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
		'target-gray': troubleTarget('gray'),
		'target-slow': troubleTarget('slow'),
		'target-mute': troubleTarget('mute'),
		'target-forgets': troubleTarget('forgets'),
		'target-leaves': targets.leave,
		'link-delay': harmLink('delay'),
		'link-reset': harmLink('reset'),
		'link-silence': harmLink('silence'),
		'link-one-way': harmLink('one-way'),
		'connections-silent'() {
			disturbAll(1);
			targets.silenceOpen();
			instances.silenceOpen();
		},
		'store-cut'(fault, index) {
			instances.cutFromStore(index, fault.duration);
		},
		'store-reset': troubleStore('reset'),
		'store-silent': troubleStore('silent'),
		'store-busy': troubleStore('busy'),
		'store-slow': troubleStore('slow'),
		'store-compact'() {
			disturbAll(1);
			store.compact();
		},
		'route-move': operator.moveRoute,
		'key-withdraw': operator.changeKey,
		'domain-out': operator.takeDomainOut,
		flood(fault) {
			callers.setFlood(floodedWorkspace, floodFactor);
			clock.after(fault.duration, () => {
				callers.setFlood(floodedWorkspace, 1);
			});
		},
	};

	async function sleep(milliseconds: number): Promise<void> {
		return new Promise(resolve => {
			clock.after(milliseconds, resolve);
		});
	}

	async function awaitLastAnswers(endAt: number): Promise<void> {
		while (callers.open > 0 && clock.monotonic() < endAt + lastAnswersTime) {
			await sleep(answersInterval);
		}
	}

	operator.begin();
	await targets.begin();
	instances.start();
	await sleep(lead);
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
	await awaitLastAnswers(endAt);
	callers.close();
	await instances.end();
	await targets.end();
	await store.stop();
	return {
		seed,
		violations: [...checkPromises(observations, bounds), ...checkRecovery(observations, endAt)],
		sent: observations.sent.size,
		served: observations.outcomes.filter(({isGenuine}) => isGenuine).length,
		statuses: countStatuses(observations),
		faults: faults.length,
		ownEnds: instances.ownEnds,
	};
}
