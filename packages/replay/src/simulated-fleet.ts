/**
 * Simulates a whole fleet in one process: the decision logic of every instance, on manual clocks,
 * over a fake network and with fake targets. A run is reproducible from its seed. The coordinated
 * policy and the local baseline can be given the same requests and faults. Times are milliseconds of
 * true time since the creation of the fleet; an instance only sees its own clock.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {addressOf, createInstanceId} from '@shallotpond/kernel/instance-id';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type ListedInstance} from '@shallotpond/policy-membership/roster';
import {createFakeNetwork, type FakeNetwork} from '@shallotpond/testkit/fake-network';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {type RunState} from '@shallotpond/kernel/attempt-outcome';
import {Packr} from 'msgpackr';
import {createFakeTarget, type FakeTarget, type FakeTargetBehaviour} from './fake-target.js';
import {changeDocument, type FleetDocument, type FleetDocumentChange} from './fleet-document.js';
import {
	createSimulatedInstance,
	type SimulatedInstance,
	type CoordinationPolicy,
	type SimulatedRequest,
	type InstanceEnvironment,
	type InstancePolicies,
	type LocalRateLimiter,
} from './simulated-instance.js';
import {type RequestDetails} from './request-path.js';
import {type Envelope} from './fleet-messages.js';
import {createRateLedger, type RateLedger, type WorkspaceCounts} from './rate-ledger.js';

/**
 * An operator of a fleet, with the sizes and the configuration of this fleet; see
 * `organisations.ts`.
 */
export type Organisation = {
	readonly name: string;
	readonly failureDomains: readonly string[];
	/** Minimum and maximum delay of a message between instances. Milliseconds. */
	readonly delay: readonly [number, number];
	/** Default number of instances. */
	readonly instances: number;
	/** The first version of the configuration. */
	readonly document: FleetDocument;
	/** Behaviour of the targets, by service. */
	readonly behaviour: Readonly<Record<string, FakeTargetBehaviour>>;
};

export type SimulatedFleetOptions = {
	readonly organisation: Organisation;
	/**
	 * Number of instances at the start; by default that of the organisation. The limits of the fleet
	 * hold only while at most `document.maxInstances` instances run.
	 */
	readonly instances?: number;
	/** The same seed gives the same run. */
	readonly seed: number;
	readonly policy: CoordinationPolicy;
	/** How the `local` policy limits rates; `static-split` by default. */
	readonly localRateLimiter?: LocalRateLimiter;
	/** Milliseconds of true time per step, 1 to 5; 2 by default. */
	readonly step?: number;
	/** Maximum fraction by which clocks run fast or slow, 0 to 0.005; 0 by default. */
	readonly drift?: number;
	/** Counts the bytes of each message, which takes processor time; false by default. */
	readonly shouldMeasureBytes?: boolean;
	/** Measures the processor time of each instance, which is not reproducible; false by default. */
	readonly shouldMeasureProcessorTime?: boolean;
	/** Replaces policies, for tests of the checks that count violations. */
	readonly policies?: Partial<InstancePolicies>;
	/** Called for each event during the run, so that a caller can record the events. */
	readonly onEvent?: (event: SimulationEvent) => void;
};

/** `at` is in milliseconds of true time, `instance` is an index. */
export type SimulationEvent =
	/** A target has started to run a request. */
	| {readonly kind: 'run'; readonly at: number; readonly request: string; readonly target: string}
	| {
			readonly kind: 'end';
			readonly at: number;
			readonly request: string;
			/**
			 * An `AttemptResult`, `refused-<code>` or `refused-<cause>` for a refusal, or `no-instance` when
			 * the instance to which the request was sent had ended.
			 */
			readonly result: string;
			/** Undefined for a request without details. */
			readonly runState?: RunState;
			/** Whether an ideal token bucket for the whole fleet had a token at the arrival. */
			readonly isWithinRate: boolean;
	  }
	/** The rate limiter has admitted the request. */
	| {readonly kind: 'admitted'; readonly at: number; readonly request: string}
	/** The instance that received the request ended before the response. */
	| {
			readonly kind: 'lost';
			readonly at: number;
			readonly request: string;
			readonly instance: number;
	  }
	/** An instance has adopted a version of the configuration. */
	| {
			readonly kind: 'adopted';
			readonly at: number;
			readonly instance: number;
			readonly version: number;
	  }
	/** A coordinator has changed the health state of a target. */
	| {
			readonly kind: 'health';
			readonly at: number;
			readonly instance: number;
			readonly service: string;
			readonly target: string;
			readonly state: string;
	  }
	/** An instance has called the configuration service, with a watch or a read. */
	| {readonly kind: 'configuration-read'; readonly at: number};

export type Ejection = {
	/** Milliseconds of true time. */
	readonly at: number;
	/** Index of the instance that decided. */
	readonly instance: number;
	readonly service: string;
	readonly target: string;
	readonly reason: string;
	/** Whether the target had a fault; an ejection without one is a false ejection. */
	readonly wasFaulty: boolean;
};

export type InstanceCounts = {
	readonly index: number;
	messagesSent: number;
	messagesReceived: number;
	/** 0 unless `shouldMeasureBytes`. */
	bytesSent: number;
	/** 0 unless `shouldMeasureBytes`. */
	bytesReceived: number;
	/**
	 * Microseconds of processor time since the start of the instance; 0 unless
	 * `shouldMeasureProcessorTime`.
	 */
	processorTime: number;
};

export type SimulationCounts = {
	/** Milliseconds since the last reset. */
	readonly duration: number;
	readonly workspaces: Readonly<Record<string, WorkspaceCounts>>;
	readonly totals: WorkspaceCounts;
	/** Number of request ids that ran more than once. */
	readonly duplicates: number;
	/** Starts of requests at targets. */
	readonly runs: number;
	/**
	 * Requests without a response, because the instance to which they were sent had ended before the
	 * request or ended before the response.
	 */
	readonly lost: number;
	/** Starts that brought the requests in flight at a target above its slots. */
	readonly startsAboveSlots: number;
	/** Starts within the slots but above those that a cold target could use at that time. */
	readonly startsAboveColdSlots: number;
	/** Maximum number of requests in flight at one target above its slots. */
	readonly peakExcess: number;
	/** Starts at which a target had more connections than its limit. */
	readonly connectionsAboveLimit: number;
	readonly ejections: readonly Ejection[];
	/** Milliseconds from the arrival to a successful response. */
	readonly latency: {readonly p50: number; readonly p99: number; readonly max: number};
	readonly instances: readonly InstanceCounts[];
	/**
	 * Milliseconds from each change of the configuration until all instances that had not ended had
	 * adopted it, by version; undefined until then.
	 */
	readonly distributionTimes: ReadonlyMap<number, number | undefined>;
};

export type SimulatedRequestOptions = {
	/** Must be unique; generated by default. */
	readonly id?: string;
	readonly service: string;
	readonly workspace: string;
	/**
	 * Index of the instance that receives the request; by default a random one that has neither ended
	 * nor begun to stop.
	 */
	readonly instance?: number;
	/** Milliseconds, 2,000 by default, at most 3,800. */
	readonly timeout?: number;
	/** Whether every target that runs the request crashes; false by default. */
	readonly isPoisoned?: boolean;
	/** See `SimulatedRequest`. */
	readonly details?: RequestDetails;
};

/** A running simulation. Instances are given by index. */
export type SimulatedFleet = {
	/** Milliseconds of true time since the creation. */
	now(): number;
	/** Generator from which the instance of a request is drawn if the request states none. */
	readonly random: Random;
	/** By index; a replacement gets the index of the instance that it replaces. */
	readonly instances: readonly SimulatedInstance[];
	readonly targets: ReadonlyMap<string, FakeTarget>;
	readonly network: FakeNetwork<Envelope>;
	/** Whether the load balancer of the platform may choose the instance with this index. */
	isAccepting(instance: number): boolean;
	/** The newest version, also while the configuration service serves another one. */
	readonly document: FleetDocument;
	/** Sends a request now and returns its id. Throws a `RangeError` for a timeout above 3,800 ms. */
	sendRequest(options: SimulatedRequestOptions): string;
	/** Runs an action at `time`, or in the next step if `time` has passed. */
	scheduleAt(time: number, action: () => void): void;
	/** Advances true time and runs everything that is due. */
	advance(milliseconds: number): void;
	counts(): SimulationCounts;
	/**
	 * Sets the counts to zero. The rate buckets, the running requests, the distribution times and
	 * the processor times stay.
	 */
	resetCounts(): void;

	/** Drops messages from one instance to another until `heal` or `healAll`. */
	cut(from: number, to: number): void;
	/** Divides the instances into parts that cannot reach each other until `healAll`. */
	partition(parts: ReadonlyArray<readonly number[]>): void;
	/** Drops the requests of one instance to a target, or the responses of the target. */
	cutTargetLink(instance: number, target: string, direction: 'requests' | 'answers'): void;
	/** Ends a cut from one instance to another. */
	heal(from: number, to: number): void;
	/** Ends a cut between an instance and a target in one direction. */
	healTargetLink(instance: number, target: string, direction: 'requests' | 'answers'): void;
	/** Ends all cuts and partitions. */
	healAll(): void;
	/** Pauses the process: time passes, but it neither acts nor receives until the pause ends. */
	pause(instance: number, milliseconds: number): void;
	/**
	 * Ends the process at once. With `replaceAfter` milliseconds, a new process starts on its address
	 * after that time.
	 */
	crash(instance: number, replaceAfter?: number): void;
	/**
	 * Stops an instance as planned: it hands over to the others and gets no new requests, and its
	 * process ends after `grace` milliseconds, even if requests are still pending. With
	 * `replaceAfter`, a new process starts on its address that many milliseconds later.
	 */
	stop(instance: number, grace: number, replaceAfter?: number): void;
	/** Probability, 0 to 1, that a message is lost. */
	setMessageLoss(probability: number): void;
	/** Probability, 0 to 1, that a message arrives twice. */
	setMessageDuplication(probability: number): void;
	/** Delay of the platform's list of instances and targets. Milliseconds, 1,000 by default. */
	setListDelay(milliseconds: number): void;
	/** Makes the configuration service reachable or unreachable. */
	setConfigurationServiceReachable(isReachable: boolean): void;
	/** Makes the configuration service serve this document; with undefined, the newest again. */
	overrideDocument(replacement: FleetDocument | undefined): void;
	/** Creates the next version of the configuration and returns its number. */
	changeConfiguration(change: FleetDocumentChange): number;
	/** Takes a failure domain out of service or back in. Returns the version of the change. */
	setDomainOut(failureDomain: string, isOut: boolean): number;
	/** Makes the platform list the target as leaving, or no longer as leaving. */
	setTargetLeaving(target: string, isLeaving: boolean): void;
};

/** A pending long poll of the configuration service. */
type Watch = {
	readonly callback: (document: FleetDocument | undefined) => void;
	isCancelled: boolean;
};

const listIntervalMs = 500;
const defaultListDelayMs = 1000;
const defaultTimeoutMs = 2000;
/**
 * Maximum timeout of a request. It must be below the TTL of a slot grant, `slotGrantTtl`, because
 * only the timeout ends a request whose instance has lost contact with the slot coordinator.
 */
const maxTimeoutMs = 3800;
/** One-way delay between an instance and a target. */
const targetDelayMs = 0.5;
/** Delay after which the configuration service responds. */
const configurationDelayMs = 25;
/** Time after which a long poll ends if there is no change; the daemon uses the same time. */
const watchTimeoutMs = 4000;
/**
 * Consecutive errors after which the local balancer ejects a target. The simulated fleet counts
 * the errors too, because the balancer does not report its ejections.
 */
const errorsUntilLocalEjection = 5;

export function createSimulatedFleet(options: SimulatedFleetOptions): SimulatedFleet {
	const {
		organisation,
		seed,
		policy,
		localRateLimiter = 'static-split',
		step = 2,
		drift = 0,
	} = options;
	const instanceCount = options.instances ?? organisation.instances;
	const random = createSeededRandom(seed);
	const forkRandom = () => createSeededRandom(Math.floor(random() * 2 ** 31));
	const targetRandom = forkRandom();
	const instanceRandom = forkRandom();
	const [minDelay, maxDelay] = organisation.delay;
	const network = createFakeNetwork<Envelope>({
		random: forkRandom(),
		conditions: {minDelay, maxDelay},
	});
	const now = () => network.now();
	const packr = new Packr({useRecords: true, structures: []});
	const scheduledActions = new Map<number, Array<() => void>>();
	const instances: SimulatedInstance[] = [];
	const instanceCounts: InstanceCounts[] = [];
	const targets = new Map<string, FakeTarget>();
	const targetCuts = new Set<string>();
	const runsByRequest = new Map<string, number>();
	const arrivals = new Map<string, {at: number; isWithinRate: boolean; instance: number}>();
	const consecutiveErrors = new Map<string, number>();
	const ledgers = new Map<string, RateLedger>();
	const watches: Watch[] = [];
	const changedAtByVersion = new Map<number, number>();
	const distributionTimes = new Map<number, number | undefined>();
	const leavingTargets = new Set<string>();
	/** States of the platform's list that the instances may still see, oldest first. */
	let listHistory: Array<{
		readonly at: number;
		readonly list: readonly ListedInstance[];
		readonly leavingTargets: ReadonlySet<string>;
	}> = [];
	let visibleLeavingTargets: ReadonlySet<string> = new Set();
	let {document} = organisation;
	let isConfigurationServiceReachable = true;
	let overridingDocument: FleetDocument | undefined;
	let listDelay = defaultListDelayMs;
	let ejections: Ejection[] = [];
	let latency: Histogram = createLatencyHistogram();
	let lost = 0;
	let duplicates = 0;
	let runs = 0;
	let nextRequestNumber = 0;
	let nextIncarnation = 0;
	let resetAt = 0;
	let lastStepRun = 0;

	function scheduleAt(time: number, action: () => void): void {
		const stepNumber = Math.max(lastStepRun + 1, Math.ceil(time / step));
		const actions = scheduledActions.get(stepNumber);
		if (actions === undefined) {
			scheduledActions.set(stepNumber, [action]);
		} else {
			actions.push(action);
		}
	}

	function schedule(delay: number, action: () => void): void {
		scheduleAt(now() + delay, action);
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
		const count = (runsByRequest.get(request) ?? 0) + 1;
		runsByRequest.set(request, count);
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

	function recordEjection(
		instance: SimulatedInstance,
		service: string,
		target: string,
		reason: string | undefined,
	): void {
		const wasFaulty = targets.get(target)?.isFaulty ?? false;
		const {index} = instance;
		ejections.push({
			at: now(),
			instance: index,
			service,
			target,
			reason: reason ?? '',
			wasFaulty,
		});
	}

	function countMessage(envelope: Envelope): void {
		const from = indexOfAddress(envelope.from);
		const to = indexOfAddress(envelope.to);
		const bytes = options.shouldMeasureBytes ? packr.pack(envelope.message).length : 0;
		const sender = instanceCounts[from];
		const receiver = instanceCounts[to];
		if (sender && receiver) {
			sender.messagesSent++;
			sender.bytesSent += bytes;
			receiver.messagesReceived++;
			receiver.bytesReceived += bytes;
		}
	}

	function endRequest(request: SimulatedRequest, result: string, runState?: RunState): void {
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

	const environment: InstanceEnvironment = {
		send(envelope) {
			countMessage(envelope);
			network.send(addressOf(envelope.from), addressOf(envelope.to), envelope);
		},
		schedule,
		startRun(instance, grant, request, onResult) {
			const target = targets.get(grant.target)!;
			let cancel: (() => void) | undefined;
			let isCancelled = false;
			const isCut = (direction: string) =>
				targetCuts.has(`${instance.index}/${grant.target}/${direction}`);
			schedule(targetDelayMs, () => {
				if (isCancelled || isCut('requests') || instance.isEnded) {
					return;
				}

				const finish = (result: Parameters<typeof onResult>[0], generation: string) => {
					schedule(targetDelayMs, () => {
						if (!isCut('answers')) {
							onResult(result, generation);
						}
					});
				};

				cancel = target.start({...request, onResult: finish}, instance.id, grant.keepConnection);
			});
			return () => {
				// A request that is cancelled before it reaches the target is never started.
				isCancelled = true;
				schedule(targetDelayMs, () => {
					if (!isCut('requests')) {
						cancel?.();
					}
				});
			};
		},
		readDocument(callback) {
			options.onEvent?.({kind: 'configuration-read', at: now()});
			schedule(configurationDelayMs, () => {
				callback(isConfigurationServiceReachable ? (overridingDocument ?? document) : undefined);
			});
		},
		watchDocument(after, callback) {
			options.onEvent?.({kind: 'configuration-read', at: now()});
			const watch = {callback, isCancelled: false};
			schedule(configurationDelayMs, () => {
				if (!isConfigurationServiceReachable || (overridingDocument ?? document).version > after) {
					completeWatch(watch);
				} else {
					watches.push(watch);
					schedule(watchTimeoutMs, () => {
						expireWatch(watch);
					});
				}
			});
			return () => {
				watch.isCancelled = true;
			};
		},
		onAdmitted({workspace, id}) {
			options.onEvent?.({kind: 'admitted', at: now(), request: id});
			ledgerOf(workspace).countAdmission(now());
		},
		onRefused(request, cause, end) {
			const arrival = arrivals.get(request.id);
			ledgerOf(request.workspace).countRefusal(cause, arrival?.isWithinRate ?? false);
			const reason = end?.kind === 'refused' ? end.code : cause;
			endRequest(request, `refused-${reason}`, end?.runState);
		},
		onDone(request, result, end) {
			ledgerOf(request.workspace).counts[result === 'ok' ? 'served' : 'failed']++;
			endRequest(request, result, end?.runState);
		},
		onOutcome(instance, {service, target}, result) {
			if (policy === 'local' && result !== 'cancelled' && result !== 'shed') {
				const key = `${instance.id} ${target}`;
				const count = result === 'ok' ? 0 : (consecutiveErrors.get(key) ?? 0) + 1;
				consecutiveErrors.set(key, count % errorsUntilLocalEjection);
				if (count === errorsUntilLocalEjection) {
					recordEjection(instance, service, target, 'errors');
				}
			}
		},
		onHealthChange(instance, service, {state, target, reason}) {
			const {index} = instance;
			options.onEvent?.({kind: 'health', at: now(), instance: index, service, target, state});
			if (state === 'ejected') {
				recordEjection(instance, service, target, reason);
			}
		},
		onAdopted(instance, version) {
			options.onEvent?.({kind: 'adopted', at: now(), instance: instance.index, version});
			updateDistributionTimes(version);
		},
		isTargetLeaving: target => visibleLeavingTargets.has(target),
	};

	/** Called once per adoption. Linear in the instances. */
	function updateDistributionTimes(version: number): void {
		for (const [changedVersion, time] of changedAtByVersion) {
			const isEverywhere = instances.every(
				instance => instance.isEnded || instance.document.version >= changedVersion,
			);
			if (version >= changedVersion && isEverywhere) {
				distributionTimes.set(
					changedVersion,
					distributionTimes.get(changedVersion) ?? now() - time,
				);
			}
		}
	}

	function instanceAddress(index: number): string {
		return `10.${Math.floor(index / 62_500)}.${Math.floor(index / 250) % 250}.${(index % 250) + 1}:7400`;
	}

	const indexByAddress = new Map<string, number>();

	function indexOfAddress(to: string): number {
		return indexByAddress.get(addressOf(to)) ?? -1;
	}

	function startInstance(index: number): void {
		const address = instanceAddress(index);
		const {failureDomains} = organisation;
		const speed = 1 + drift * (2 * random() - 1);
		const clock = createManualClock({start: random() * 1e6, speed});
		const instance = createSimulatedInstance({
			id: createInstanceId(address, `p${nextIncarnation++}`),
			address,
			index,
			failureDomain: failureDomains[index % failureDomains.length]!,
			clock,
			policy,
			localRateLimiter,
			instanceCount,
			document,
			random: forkRandom(),
			environment,
			shouldMeasureProcessorTime: options.shouldMeasureProcessorTime ?? false,
			...(options.policies !== undefined && {policies: options.policies}),
		});
		instances[index] = instance;
		indexByAddress.set(address, index);
		instanceCounts[index] ??= createInstanceCounts(index);
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

		// The targets see the broken connections after the one-way delay.
		schedule(targetDelayMs, () => {
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

	function currentInstanceList(): ListedInstance[] {
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
		listHistory.push({
			at: now(),
			list: currentInstanceList(),
			leavingTargets: new Set(leavingTargets),
		});
		const visibleState =
			listHistory.findLast(({at: time}) => time <= now() - listDelay) ?? listHistory[0]!;
		listHistory = listHistory.filter(({at: time}) => time >= visibleState.at);
		visibleLeavingTargets = visibleState.leavingTargets;
		for (const instance of instances) {
			if (!instance.isEnded) {
				instance.observeInstances(visibleState.list);
			}
		}

		schedule(listIntervalMs, publishList);
	}

	function runScheduledActions(): void {
		// The last step of `advance` may be shorter than the others.
		for (const last = Math.floor(now() / step); lastStepRun < last;) {
			lastStepRun++;
			const actions = scheduledActions.get(lastStepRun) ?? [];
			scheduledActions.delete(lastStepRun);
			for (const action of actions) {
				action();
			}
		}
	}

	function pickLiveInstance(): number {
		const live = instances.filter(({isEnded, index}) => !isEnded && !leavingInstances.has(index));
		return live[Math.floor(instanceRandom() * live.length)]?.index ?? 0;
	}

	function completeWatch({callback, isCancelled}: Watch): void {
		if (!isCancelled) {
			callback(isConfigurationServiceReachable ? (overridingDocument ?? document) : undefined);
		}
	}

	function expireWatch(watch: Watch): void {
		const position = watches.indexOf(watch);
		if (position !== -1) {
			watches.splice(position, 1);
			completeWatch(watch);
		}
	}

	function completeWatches(): void {
		const completed = watches.splice(0);
		schedule(configurationDelayMs, () => {
			for (const watch of completed) {
				completeWatch(watch);
			}
		});
	}

	function changeConfiguration(change: FleetDocumentChange): number {
		document = changeDocument(document, change);
		changedAtByVersion.set(document.version, now());
		distributionTimes.set(document.version, undefined);
		createTargets();
		completeWatches();
		return document.version;
	}

	createTargets();
	for (let index = 0; index < instanceCount; index++) {
		startInstance(index);
	}

	publishList();

	return {
		now,
		random: instanceRandom,
		instances,
		targets,
		network,
		isAccepting: index => !instances[index]!.isEnded && !leavingInstances.has(index),
		get document() {
			return document;
		},
		sendRequest({
			id,
			service,
			workspace,
			instance,
			timeout = defaultTimeoutMs,
			isPoisoned = false,
			details,
		}) {
			if (timeout > maxTimeoutMs) {
				throw new RangeError(`the timeout of ${timeout} ms is above ${maxTimeoutMs} ms`);
			}

			const requestId = id ?? `r${nextRequestNumber++}`;
			const index = instance ?? pickLiveInstance();
			const isWithinRate = ledgerOf(workspace).countArrival(now());
			if (instances[index]!.isEnded) {
				// The load balancer of the platform has not noticed yet that the instance ended.
				lost++;
				const result = 'no-instance';
				options.onEvent?.({kind: 'end', at: now(), request: requestId, result, isWithinRate});
				return requestId;
			}

			arrivals.set(requestId, {at: now(), isWithinRate, instance: index});
			instances[index]!.handleRequest({
				id: requestId,
				service,
				workspace,
				timeout,
				isPoisoned,
				...(details !== undefined && {details}),
			});
			return requestId;
		},
		scheduleAt,
		advance(milliseconds) {
			network.advance(milliseconds, step, runScheduledActions);
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
				totals: sumCounts(Object.values(workspaces)),
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
				distributionTimes: new Map(distributionTimes),
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
				Object.assign(counts, createInstanceCounts(counts.index));
			}
		},

		cut(from, to) {
			network.cut(instanceAddress(from), instanceAddress(to));
		},
		partition(parts) {
			for (const part of parts) {
				for (const other of parts) {
					for (const from of part === other ? [] : part) {
						for (const to of other) {
							network.cut(instanceAddress(from), instanceAddress(to));
						}
					}
				}
			}
		},
		cutTargetLink(instance, target, direction) {
			targetCuts.add(`${instance}/${target}/${direction}`);
		},
		heal(from, to) {
			network.heal(instanceAddress(from), instanceAddress(to));
		},
		healTargetLink(instance, target, direction) {
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
		setMessageLoss(probability) {
			network.setConditions({loss: probability});
		},
		setMessageDuplication(probability) {
			network.setConditions({duplication: probability});
		},
		setListDelay(milliseconds) {
			listDelay = milliseconds;
		},
		setConfigurationServiceReachable(isReachable) {
			isConfigurationServiceReachable = isReachable;
			if (!isReachable) {
				completeWatches();
			}
		},
		overrideDocument(replacement) {
			overridingDocument = replacement;
			completeWatches();
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

/** Latencies in microseconds, up to one minute. */
function createLatencyHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000_000,
		numberOfSignificantValueDigits: 3,
	});
}

function createInstanceCounts(index: number): InstanceCounts {
	return {
		index,
		messagesSent: 0,
		messagesReceived: 0,
		bytesSent: 0,
		bytesReceived: 0,
		processorTime: 0,
	};
}

function sumCounts(workspaces: readonly WorkspaceCounts[]): WorkspaceCounts {
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
	for (const counts of workspaces) {
		for (const key of Object.keys(totals) as Array<keyof WorkspaceCounts>) {
			totals[key] += counts[key];
		}
	}

	return totals;
}
