/**
 * Runs the decision logic of a whole fleet in one process: seeded, on steerable clocks, over the
 * fake network, with fake targets. The same requests and faults can be given to the coordinated
 * policy and to the local baseline. Times are milliseconds of true time since the fleet was made;
 * instances only see their own clocks.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {addressOf, createInstanceId} from '@shallotpond/kernel/instance-id';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type ListedInstance} from '@shallotpond/policy-membership/roster';
import {createFakeNetwork, type FakeNetwork} from '@shallotpond/testkit/fake-network';
import {createSteerableClock} from '@shallotpond/testkit/steerable-clock';
import {type RunState} from '@shallotpond/kernel/attempt-outcome';
import {Packr} from 'msgpackr';
import {createFakeTarget, type FakeTarget, type TargetBehaviour} from './fake-target.js';
import {changeDocument, type FleetDocument, type FleetDocumentChange} from './fleet-document.js';
import {
	createFleetInstance,
	type FleetInstance,
	type FleetPolicy,
	type FleetRequest,
	type InstanceHost,
	type InstancePolicies,
	type LocalRate,
} from './fleet-instance.js';
import {type FleetCall} from './fleet-calls.js';
import {type Envelope} from './fleet-messages.js';
import {createRateLedger, type RateLedger, type WorkspaceCounts} from './rate-ledger.js';

/** Who the fleet works for; see `organisations.ts`. */
export type Organisation = {
	readonly name: string;
	readonly failureDomains: readonly string[];
	/** Milliseconds, the range of the delay of a message between instances. */
	readonly delay: readonly [number, number];
	/** Instances to use when the options name no number. */
	readonly instances: number;
	readonly document: FleetDocument;
	/** Behaviour of the targets by service. */
	readonly behaviour: Readonly<Record<string, TargetBehaviour>>;
};

export type FleetOptions = {
	readonly organisation: Organisation;
	/** Instances alive at the start; at most D for the limits to hold. */
	readonly instances?: number;
	/** The same seed gives the same run. */
	readonly seed: number;
	readonly policy: FleetPolicy;
	/** How the local policy counts rates; `static-split` by default. */
	readonly localRate?: LocalRate;
	/** Milliseconds of true time per step, 1 to 5; 2 by default. */
	readonly step?: number;
	/** Clocks run up to this part too fast or too slow, 0 to 0.005; 0 by default. */
	readonly drift?: number;
	/** Counts the bytes of each message, which takes processor time; false by default. */
	readonly measuresBytes?: boolean;
	/** Counts the processor time of each instance, false by default. Not repeatable. */
	readonly measuresProcessorTime?: boolean;
	/** Replaces policies, for tests of what counts violations. */
	readonly policies?: Partial<InstancePolicies>;
	/** Called as the fleet goes on; for traces. */
	readonly onEvent?: (event: FleetEvent) => void;
};

export type FleetEvent =
	| {readonly kind: 'run'; readonly at: number; readonly request: string; readonly target: string}
	| {
			readonly kind: 'end';
			readonly at: number;
			readonly request: string;
			readonly result: string;
			/** Undefined for a request without a method. */
			readonly runState?: RunState;
			/** Whether an ideal bucket for the whole fleet had a token on arrival. */
			readonly isWithinRate: boolean;
	  }
	| {readonly kind: 'admitted'; readonly at: number; readonly request: string}
	/** Its instance ended before the answer. */
	| {
			readonly kind: 'lost';
			readonly at: number;
			readonly request: string;
			readonly instance: number;
	  }
	| {
			readonly kind: 'adopted';
			readonly at: number;
			readonly instance: number;
			readonly version: number;
	  }
	| {
			readonly kind: 'health';
			readonly at: number;
			readonly instance: number;
			readonly service: string;
			readonly target: string;
			readonly state: string;
	  }
	/** A call to the configuration service, a watch or a read. */
	| {readonly kind: 'configuration-read'; readonly at: number};

export type Ejection = {
	/** Milliseconds of true time. */
	readonly at: number;
	/** Index of the instance that decided. */
	readonly instance: number;
	readonly service: string;
	readonly target: string;
	readonly reason: string;
	readonly wasFaulty: boolean;
};

export type InstanceCounts = {
	readonly index: number;
	messagesSent: number;
	messagesReceived: number;
	/** 0 unless `measuresBytes`. */
	bytesSent: number;
	bytesReceived: number;
	/** Microseconds; 0 unless `measuresProcessorTime`. */
	processorTime: number;
};

export type FleetCounts = {
	/** Milliseconds since the last reset. */
	readonly duration: number;
	readonly workspaces: Readonly<Record<string, WorkspaceCounts>>;
	readonly totals: WorkspaceCounts;
	/** Request ids that ran more than once. */
	readonly duplicates: number;
	readonly runs: number;
	/** Admitted and without an answer, because their instance ended. */
	readonly lost: number;
	readonly startsAboveSlots: number;
	/** Starts within the slots but above what a cold target bore then. */
	readonly startsAboveColdSlots: number;
	readonly peakExcess: number;
	readonly connectionsAboveLimit: number;
	readonly ejections: readonly Ejection[];
	/** Milliseconds from arrival to a good answer. */
	readonly latency: {readonly p50: number; readonly p99: number; readonly max: number};
	readonly instances: readonly InstanceCounts[];
	/** Milliseconds from each change until all live instances had it, or undefined if not yet. */
	readonly spreadTimes: ReadonlyMap<number, number | undefined>;
};

export type RequestOptions = {
	readonly id?: string;
	readonly service: string;
	readonly workspace: string;
	/** Index of the entry instance; a random live one by default. */
	readonly instance?: number;
	/** Milliseconds, 2,000 by default, at most 3,800. */
	readonly timeout?: number;
	readonly isPoisoned?: boolean;
	/** See `fleet-calls.ts`. */
	readonly call?: FleetCall;
};

export type Fleet = {
	now(): number;
	readonly random: Random;
	/** By index; a replacement takes the index of the one that it replaces. */
	readonly instances: readonly FleetInstance[];
	readonly targets: ReadonlyMap<string, FakeTarget>;
	readonly network: FakeNetwork<Envelope>;
	/** Whether the load balancer of the platform may send to the instance with this index. */
	isAccepting(instance: number): boolean;
	/** The newest document of the configuration service. */
	readonly document: FleetDocument;
	/** Sends a request now and returns its id. Throws a `RangeError` for a timeout above 3,800 ms. */
	request(options: RequestOptions): string;
	/** Runs an action at a time, or in the next step if it has passed. */
	at(time: number, action: () => void): void;
	advance(milliseconds: number): void;
	counts(): FleetCounts;
	/** Starts the counts anew; buckets, traces and runs go on. */
	resetCounts(): void;

	/** Loses messages from one instance to another, by index. */
	cut(from: number, to: number): void;
	/** Cuts the fleet into parts that cannot reach each other. */
	partition(parts: ReadonlyArray<readonly number[]>): void;
	/** Loses what one instance sends to a target, or the answers of the target. */
	cutTarget(instance: number, target: string, direction: 'requests' | 'answers'): void;
	/** Ends a cut from one instance to another. */
	heal(from: number, to: number): void;
	healTarget(instance: number, target: string, direction: 'requests' | 'answers'): void;
	/** Ends all cuts and partitions. */
	healAll(): void;
	pause(instance: number, milliseconds: number): void;
	/** Ends the process at once; a new one takes its address after the delay, if there is one. */
	crash(instance: number, replaceAfter?: number): void;
	/** A planned stop: no new requests, then the end after `grace` milliseconds. */
	stop(instance: number, grace: number, replaceAfter?: number): void;
	/** Part of the messages that are lost, 0 to 1. */
	setMessageLoss(part: number): void;
	/** Part of the messages that arrive twice, 0 to 1. */
	setMessageDuplication(part: number): void;
	/** Milliseconds by which the list of instances and targets lags; 1,000 by default. */
	setListDelay(milliseconds: number): void;
	/** Makes the configuration service unreachable or reachable. */
	setConfigurationServiceReachable(isReachable: boolean): void;
	/** The configuration service serves this document instead of the newest until undefined. */
	overrideDocument(replacement: FleetDocument | undefined): void;
	/** Returns the version of the change. */
	changeConfiguration(change: FleetDocumentChange): number;
	/** Takes a failure domain out or in. Returns the version of the change. */
	setDomainOut(failureDomain: string, isOut: boolean): number;
	/** The platform lists the target as leaving, or as live again. */
	setTargetLeaving(target: string, isLeaving: boolean): void;
};

type Watch = {
	readonly callback: (document: FleetDocument | undefined) => void;
	isCancelled: boolean;
};

const listInterval = 500;
const defaultLag = 1000;
const defaultTimeout = 2000;
/** A request must end within a grant term, because nothing else ends it after a partition. */
const longestTimeout = 3800;
/** Milliseconds between an instance and a target, one way. */
const targetDelay = 0.5;
const configurationDelay = 25;
/** Milliseconds after which a long poll is answered without a change; that of the daemon. */
const watchWait = 4000;
/** Errors in a row after which the local balancer ejects; it does not report it itself. */
const localErrorsToEject = 5;

export function createFleet(options: FleetOptions): Fleet {
	const {organisation, seed, policy, localRate = 'static-split', step = 2, drift = 0} = options;
	const instanceCount = options.instances ?? organisation.instances;
	const random = createSeededRandom(seed);
	const forkRandom = () => createSeededRandom(Math.floor(random() * 2 ** 31));
	const targetRandom = forkRandom();
	const entryRandom = forkRandom();
	const [minimumDelay, maximumDelay] = organisation.delay;
	const network = createFakeNetwork<Envelope>({
		random: forkRandom(),
		conditions: {minimumDelay, maximumDelay},
	});
	const now = () => network.now();
	const packr = new Packr({useRecords: true, structures: []});
	const agenda = new Map<number, Array<() => void>>();
	const instances: FleetInstance[] = [];
	const instanceCounts: InstanceCounts[] = [];
	const targets = new Map<string, FakeTarget>();
	const targetCuts = new Set<string>();
	const runsById = new Map<string, number>();
	const arrivals = new Map<string, {at: number; isWithinRate: boolean; instance: number}>();
	const errorsInRow = new Map<string, number>();
	const ledgers = new Map<string, RateLedger>();
	const watches: Watch[] = [];
	const changedAt = new Map<number, number>();
	const spreadTimes = new Map<number, number | undefined>();
	const leavingTargets = new Set<string>();
	/** Past states of the platform's list, oldest first. */
	let listHistory: Array<{
		readonly at: number;
		readonly list: readonly ListedInstance[];
		readonly leaving: ReadonlySet<string>;
	}> = [];
	let visibleLeaving: ReadonlySet<string> = new Set();
	let {document} = organisation;
	let isServiceReachable = true;
	let served: FleetDocument | undefined;
	let listLag = defaultLag;
	let ejections: Ejection[] = [];
	let latency: Histogram = createLatencyHistogram();
	let lost = 0;
	let duplicates = 0;
	let runs = 0;
	let nextRequest = 0;
	let nextIncarnation = 0;
	let resetAt = 0;
	let agendaDone = 0;

	function at(time: number, action: () => void): void {
		const bucket = Math.max(agendaDone + 1, Math.ceil(time / step));
		const actions = agenda.get(bucket);
		if (actions === undefined) {
			agenda.set(bucket, [action]);
		} else {
			actions.push(action);
		}
	}

	function schedule(delay: number, action: () => void): void {
		at(now() + delay, action);
	}

	function ledgerOf(workspace: string): RateLedger {
		let ledger = ledgers.get(workspace);
		if (ledger === undefined) {
			const limits = () => document.workspaces[workspace] ?? {rate: 0, burst: 0};
			ledger = createRateLedger({limits, maxDrift: drift});
			ledgers.set(workspace, ledger);
		}

		return ledger;
	}

	function countRun(request: string, target: string): void {
		const count = (runsById.get(request) ?? 0) + 1;
		runsById.set(request, count);
		runs++;
		duplicates += count === 2 ? 1 : 0;
		options.onEvent?.({kind: 'run', at: now(), request, target});
	}

	function createTargets(): void {
		for (const [service, settings] of Object.entries(document.services)) {
			for (const definition of settings.targets) {
				if (!targets.has(definition.id)) {
					const target = createFakeTarget({
						definition,
						service,
						settings,
						behaviour: organisation.behaviour[service]!,
						random: targetRandom,
						now,
						schedule,
						onRun(request) {
							countRun(request, definition.id);
						},
					});
					targets.set(definition.id, target);
				}
			}
		}
	}

	function eject(
		instance: FleetInstance,
		service: string,
		target: string,
		reason: string | undefined,
	): void {
		const wasSick = targets.get(target)?.isFaulty ?? false;
		const {index} = instance;
		ejections.push({
			at: now(),
			instance: index,
			service,
			target,
			reason: reason ?? '',
			wasFaulty: wasSick,
		});
	}

	function countSent(envelope: Envelope): void {
		const from = addressIndex(envelope.from);
		const to = addressIndex(envelope.to);
		const bytes = options.measuresBytes ? packr.pack(envelope.message).length : 0;
		const sender = instanceCounts[from];
		const receiver = instanceCounts[to];
		if (sender && receiver) {
			sender.messagesSent++;
			sender.bytesSent += bytes;
			receiver.messagesReceived++;
			receiver.bytesReceived += bytes;
		}
	}

	function end(request: FleetRequest, result: string, runState?: RunState): void {
		const arrival = arrivals.get(request.id);
		arrivals.delete(request.id);
		const isWithinRate = arrival?.isWithinRate ?? false;
		options.onEvent?.({
			kind: 'end',
			at: now(),
			request: request.id,
			result,
			...(runState !== undefined && {runState}),
			isWithinRate,
		});
		if (arrival && result === 'ok') {
			latency.recordValue(Math.round((now() - arrival.at) * 1000));
		}
	}

	const host: InstanceHost = {
		send(envelope) {
			countSent(envelope);
			network.send(addressOf(envelope.from), addressOf(envelope.to), envelope);
		},
		schedule,
		startRun(instance, grant, request, onAnswer) {
			const target = targets.get(grant.target)!;
			let cancel: (() => void) | undefined;
			let isCancelled = false;
			const isCut = (direction: string) =>
				targetCuts.has(`${instance.index}/${grant.target}/${direction}`);
			schedule(targetDelay, () => {
				if (isCancelled || isCut('requests') || instance.isEnded) {
					return;
				}

				const finish = (result: Parameters<typeof onAnswer>[0], generation: string) => {
					schedule(targetDelay, () => {
						if (!isCut('answers')) {
							onAnswer(result, generation);
						}
					});
				};

				cancel = target.start({...request, finish}, instance.id, grant.keepConnection);
			});
			return () => {
				// A cancellation before the request has left is never late.
				isCancelled = true;
				schedule(targetDelay, () => {
					if (!isCut('requests')) {
						cancel?.();
					}
				});
			};
		},
		readDocument(callback) {
			options.onEvent?.({kind: 'configuration-read', at: now()});
			schedule(configurationDelay, () => {
				callback(isServiceReachable ? (served ?? document) : undefined);
			});
		},
		watchDocument(after, callback) {
			options.onEvent?.({kind: 'configuration-read', at: now()});
			const watch = {callback, isCancelled: false};
			schedule(configurationDelay, () => {
				if (!isServiceReachable || (served ?? document).version > after) {
					answerWatch(watch);
				} else {
					watches.push(watch);
					schedule(watchWait, () => {
						endWatch(watch);
					});
				}
			});
			return () => {
				watch.isCancelled = true;
			};
		},
		onAdmitted({workspace, id}) {
			options.onEvent?.({kind: 'admitted', at: now(), request: id});
			ledgerOf(workspace).admit(now());
		},
		onRefused(request, cause, ending) {
			const arrival = arrivals.get(request.id);
			ledgerOf(request.workspace).refuse(cause, arrival?.isWithinRate ?? false);
			const reason = ending?.kind === 'refused' ? ending.code : cause;
			end(request, `refused-${reason}`, ending?.runState);
		},
		onDone(request, result, ending) {
			ledgerOf(request.workspace).counts[result === 'ok' ? 'served' : 'failed']++;
			end(request, result, ending?.runState);
		},
		onOutcome(instance, {service, target}, result) {
			if (policy === 'local' && result !== 'cancelled' && result !== 'shed') {
				const key = `${instance.id} ${target}`;
				const count = result === 'ok' ? 0 : (errorsInRow.get(key) ?? 0) + 1;
				errorsInRow.set(key, count % localErrorsToEject);
				if (count === localErrorsToEject) {
					eject(instance, service, target, 'errors');
				}
			}
		},
		onHealthChange(instance, service, {state, target, reason}) {
			const {index} = instance;
			options.onEvent?.({kind: 'health', at: now(), instance: index, service, target, state});
			if (state === 'ejected') {
				eject(instance, service, target, reason);
			}
		},
		onAdopted(instance, version) {
			options.onEvent?.({kind: 'adopted', at: now(), instance: instance.index, version});
			noteSpread(version);
		},
		isTargetLeaving: target => visibleLeaving.has(target),
	};

	/** Linear in the instances; called once per adoption. */
	function noteSpread(version: number): void {
		for (const [changed, time] of changedAt) {
			const isEverywhere = instances.every(
				instance => instance.isEnded || instance.document.version >= changed,
			);
			if (version >= changed && isEverywhere) {
				spreadTimes.set(changed, spreadTimes.get(changed) ?? now() - time);
			}
		}
	}

	function addressFor(index: number): string {
		return `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${(index % 250) + 1}:7400`;
	}

	const addresses = new Map<string, number>();

	function addressIndex(to: string): number {
		return addresses.get(addressOf(to)) ?? -1;
	}

	function startInstance(index: number): void {
		const address = addressFor(index);
		const {failureDomains} = organisation;
		const speed = 1 + drift * (2 * random() - 1);
		const clock = createSteerableClock({start: random() * 1e6, speed});
		const instance = createFleetInstance({
			id: createInstanceId(address, `p${nextIncarnation++}`),
			address,
			index,
			failureDomain: failureDomains[index % failureDomains.length]!,
			clock,
			policy,
			localRate,
			instances: instanceCount,
			document,
			random: forkRandom(),
			host,
			measuresProcessorTime: options.measuresProcessorTime ?? false,
			...(options.policies !== undefined && {policies: options.policies}),
		});
		instances[index] = instance;
		addresses.set(address, index);
		instanceCounts[index] ??= emptyInstanceCounts(index);
		network.attach(address, {
			clock,
			deliver(envelope) {
				instance.receive(envelope);
			},
		});
	}

	function endInstance(index: number, replaceAfter: number | undefined): void {
		const instance = instances[index]!;
		instance.crash();
		network.detach(instance.address);
		for (const [id, arrival] of arrivals) {
			if (arrival.instance === index) {
				arrivals.delete(id);
				lost++;
				options.onEvent?.({kind: 'lost', at: now(), request: id, instance: index});
			}
		}

		// The targets see the connections break.
		schedule(targetDelay, () => {
			for (const target of targets.values()) {
				target.disconnectInstance(instance.id);
			}
		});
		if (replaceAfter !== undefined) {
			schedule(replaceAfter, () => {
				startInstance(index);
			});
		}
	}

	function currentList(): ListedInstance[] {
		return instances
			.filter(({isEnded}) => !isEnded)
			.map(({address, failureDomain, index}) => ({
				address,
				failureDomain,
				state: leavingInstances.has(index) ? 'leaving' : 'live',
			}));
	}

	const leavingInstances = new Set<number>();

	function publishList(): void {
		listHistory.push({at: now(), list: currentList(), leaving: new Set(leavingTargets)});
		const visible =
			listHistory.findLast(({at: time}) => time <= now() - listLag) ?? listHistory[0]!;
		listHistory = listHistory.filter(({at: time}) => time >= visible.at);
		visibleLeaving = visible.leaving;
		for (const instance of instances) {
			if (!instance.isEnded) {
				instance.observeInstances(visible.list);
			}
		}

		schedule(listInterval, publishList);
	}

	function runAgenda(): void {
		// The last step of `advance` may be shorter than the others.
		for (const last = Math.floor(now() / step); agendaDone < last;) {
			agendaDone++;
			const actions = agenda.get(agendaDone) ?? [];
			agenda.delete(agendaDone);
			for (const action of actions) {
				action();
			}
		}
	}

	function liveInstance(): number {
		const live = instances.filter(({isEnded, index}) => !isEnded && !leavingInstances.has(index));
		return live[Math.floor(entryRandom() * live.length)]?.index ?? 0;
	}

	function answerWatch({callback, isCancelled}: Watch): void {
		if (!isCancelled) {
			callback(isServiceReachable ? (served ?? document) : undefined);
		}
	}

	function endWatch(watch: Watch): void {
		const position = watches.indexOf(watch);
		if (position !== -1) {
			watches.splice(position, 1);
			answerWatch(watch);
		}
	}

	function answerWatches(): void {
		const answered = watches.splice(0);
		schedule(configurationDelay, () => {
			for (const watch of answered) {
				answerWatch(watch);
			}
		});
	}

	function changeConfiguration(change: FleetDocumentChange): number {
		document = changeDocument(document, change);
		changedAt.set(document.version, now());
		spreadTimes.set(document.version, undefined);
		createTargets();
		answerWatches();
		return document.version;
	}

	createTargets();
	for (let index = 0; index < instanceCount; index++) {
		startInstance(index);
	}

	publishList();

	return {
		now,
		random: entryRandom,
		instances,
		targets,
		network,
		isAccepting: index => !instances[index]!.isEnded && !leavingInstances.has(index),
		get document() {
			return document;
		},
		request({
			id,
			service,
			workspace,
			instance,
			timeout = defaultTimeout,
			isPoisoned = false,
			call,
		}) {
			if (timeout > longestTimeout) {
				throw new RangeError(`the timeout of ${timeout} ms is above ${longestTimeout} ms`);
			}

			const requestId = id ?? `r${nextRequest++}`;
			const index = instance ?? liveInstance();
			const isWithinRate = ledgerOf(workspace).arrive(now());
			if (instances[index]!.isEnded) {
				// The load balancer of the platform has not noticed the end of the instance.
				lost++;
				const result = 'no-instance';
				options.onEvent?.({kind: 'end', at: now(), request: requestId, result, isWithinRate});
				return requestId;
			}

			arrivals.set(requestId, {at: now(), isWithinRate, instance: index});
			instances[index]!.request({
				id: requestId,
				service,
				workspace,
				timeout,
				isPoisoned,
				...(call !== undefined && {call}),
			});
			return requestId;
		},
		at,
		advance(milliseconds) {
			network.advance(milliseconds, step, runAgenda);
		},
		counts() {
			const workspaces = Object.fromEntries(
				[...ledgers].map(([name, {counts}]) => [name, {...counts}]),
			);
			const targetCounts = [...targets.values()].map(({counts}) => counts);
			const sum = (pick: (counts: (typeof targetCounts)[number]) => number) =>
				targetCounts.reduce((total, counts) => total + pick(counts), 0);
			for (const [index, instance] of instances.entries()) {
				instanceCounts[index]!.processorTime = instance.processorTime;
			}

			return {
				duration: now() - resetAt,
				workspaces,
				totals: addCounts(Object.values(workspaces)),
				duplicates,
				runs,
				lost,
				startsAboveSlots: sum(counts => counts.startsAboveSlots),
				startsAboveColdSlots: sum(counts => counts.startsAboveColdSlots),
				peakExcess: Math.max(0, ...targetCounts.map(counts => counts.peakExcess)),
				connectionsAboveLimit: sum(counts => counts.connectionsAboveLimit),
				ejections: [...ejections],
				latency: {
					p50: latency.getValueAtPercentile(50) / 1000,
					p99: latency.getValueAtPercentile(99) / 1000,
					max: latency.maxValue / 1000,
				},
				instances: instanceCounts.map(counts => ({...counts})),
				spreadTimes: new Map(spreadTimes),
			};
		},
		resetCounts() {
			resetAt = now();
			ejections = [];
			latency = createLatencyHistogram();
			lost = 0;
			duplicates = 0;
			runs = 0;
			for (const ledger of ledgers.values()) {
				ledger.resetCounts();
			}

			for (const target of targets.values()) {
				target.resetCounts();
			}

			for (const counts of instanceCounts) {
				Object.assign(counts, emptyInstanceCounts(counts.index));
			}
		},

		cut(from, to) {
			network.cut(addressFor(from), addressFor(to));
		},
		partition(parts) {
			for (const part of parts) {
				for (const other of parts) {
					for (const from of part === other ? [] : part) {
						for (const to of other) {
							network.cut(addressFor(from), addressFor(to));
						}
					}
				}
			}
		},
		cutTarget(instance, target, direction) {
			targetCuts.add(`${instance}/${target}/${direction}`);
		},
		heal(from, to) {
			network.heal(addressFor(from), addressFor(to));
		},
		healTarget(instance, target, direction) {
			targetCuts.delete(`${instance}/${target}/${direction}`);
		},
		healAll() {
			network.healAll();
			targetCuts.clear();
		},
		pause(index, milliseconds) {
			const instance = instances[index]!;
			network.pause(instance.address);
			schedule(milliseconds, () => {
				if (instances[index] === instance && !instance.isEnded) {
					network.resume(instance.address);
					instance.resume();
				}
			});
		},
		crash: endInstance,
		stop(index, grace, replaceAfter) {
			leavingInstances.add(index);
			instances[index]!.leave();
			schedule(grace, () => {
				endInstance(index, replaceAfter);
				leavingInstances.delete(index);
			});
		},
		setMessageLoss(part) {
			network.setConditions({loss: part});
		},
		setMessageDuplication(part) {
			network.setConditions({duplication: part});
		},
		setListDelay(milliseconds) {
			listLag = milliseconds;
		},
		setConfigurationServiceReachable(isReachable) {
			isServiceReachable = isReachable;
			if (!isReachable) {
				answerWatches();
			}
		},
		overrideDocument(replacement) {
			served = replacement;
			answerWatches();
		},
		changeConfiguration,
		setDomainOut(failureDomain, isOut) {
			const others = document.domainsOut.filter(domain => domain !== failureDomain);
			return changeConfiguration({domainsOut: isOut ? [...others, failureDomain] : others});
		},
		setTargetLeaving(target, isLeaving) {
			if (isLeaving) {
				leavingTargets.add(target);
			} else {
				leavingTargets.delete(target);
			}
		},
	};
}

/** Microseconds up to one minute. */
function createLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

function emptyInstanceCounts(index: number): InstanceCounts {
	return {
		index,
		messagesSent: 0,
		messagesReceived: 0,
		bytesSent: 0,
		bytesReceived: 0,
		processorTime: 0,
	};
}

function addCounts(parts: readonly WorkspaceCounts[]): WorkspaceCounts {
	const totals = {
		arrived: 0,
		admitted: 0,
		refusedByRate: 0,
		refusedBySlots: 0,
		refusedWithinRate: 0,
		refusedByRateWithinRate: 0,
		served: 0,
		failed: 0,
		admittedAboveRate: 0,
	};
	for (const part of parts) {
		for (const key of Object.keys(totals) as Array<keyof WorkspaceCounts>) {
			totals[key] += part[key];
		}
	}

	return totals;
}
