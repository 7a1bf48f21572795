/**
 * One instance of a simulated fleet: the policy objects, wired as the services of the daemon wire
 * them, with function calls in place of sockets and a manual clock in place of the system clock.
 * This makes the decisions of a whole fleet reproducible in one process.
 */
import process from 'node:process';
import {type AttemptOutcome, type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type Random} from '@shallotpond/kernel/random';
import {type AvailabilityLookup} from '@shallotpond/policy-dispatch/dispatch-settings';
import {createLocalBalancer} from '@shallotpond/policy-dispatch/local-balancer';
import {createSlotCoordinator} from '@shallotpond/policy-dispatch/slot-coordinator';
import {
	createSlotHolder,
	type HeldGrant,
	type HolderEvent,
	type HolderEffects,
} from '@shallotpond/policy-dispatch/slot-holder';
import {
	type SlotCoordinatorMessage,
	type SlotHolderMessage,
} from '@shallotpond/policy-dispatch/slot-messages';
import {type HealthChange} from '@shallotpond/policy-dispatch/target-health';
import {createRateOwner} from '@shallotpond/policy-limits/rate-owner';
import {
	createRateRequester,
	type AdmissionDecision,
	type RateEffects,
} from '@shallotpond/policy-limits/rate-requester';
import {createSingleCounter} from '@shallotpond/policy-limits/single-counter';
import {createStaticSplit} from '@shallotpond/policy-limits/static-split';
import {
	type TokenOwnerMessage,
	type TokenRequesterMessage,
} from '@shallotpond/policy-limits/token-messages';
import {createMembership, type Membership} from '@shallotpond/policy-membership/membership';
import {createView} from '@shallotpond/policy-membership/rendezvous';
import {type ListedInstance} from '@shallotpond/policy-membership/roster';
import {heartbeatInterval, lenderLeaseDuration} from '@shallotpond/policy-membership/timing';
import {
	createConfigurationDistribution,
	type ConfigurationReadDecision,
	type ConfigurationReadOutcome,
	type ConfigurationReadRequest,
	type ConfigurationDistribution,
} from '@shallotpond/policy-membership/configuration-distribution';
import {type ManualClock} from '@shallotpond/testkit/manual-clock';
import {
	createRequestPath,
	createRequestProgress,
	type RequestEnd,
	type RequestPathMessage,
	type RequestPathPolicies,
	type RequestProgress,
	type RequestDetails,
} from './request-path.js';
import {type FleetDocument} from './fleet-document.js';
import {type Envelope, type InstanceMessage} from './fleet-messages.js';
import {EndlessTurnError} from './replay-error.js';

/** With `fleet`, the instances coordinate; with `local`, each instance decides alone. */
export type CoordinationPolicy = 'fleet' | 'local';

/**
 * How the `local` policy limits rates: each instance enforces an equal part of each rate, or one
 * elected instance per workspace counts for all.
 */
export type LocalRateLimiter = 'static-split' | 'single-counter';

export type SimulatedRequest = {
	/**
	 * Unique per arrival of a request at the fleet. A request that its caller sends again has a new
	 * id.
	 */
	readonly id: string;
	readonly service: string;
	readonly workspace: string;
	/** Milliseconds from the arrival until the caller stops waiting for a response; at most 3,800. */
	readonly timeout: number;
	/** Whether every target that runs the request crashes. */
	readonly isPoisoned: boolean;
	/**
	 * With details, the request takes the steps of `request-path.ts`. Without them, the request is
	 * tried once and has no API key.
	 */
	readonly details?: RequestDetails;
};

/**
 * Why a request was refused. `rate`: by the rate limiter. `slots`: for want of a slot. `rejected`:
 * because of a fault of the caller, which is a used idempotency key, a crashing request or a
 * withdrawn API key. `guard`: for any other reason, such as an idempotency owner that does not
 * respond, an isolated instance, or a deadline that passed before the start.
 */
export type RefusalCause = 'rate' | 'slots' | 'guard' | 'rejected';

/** Factories of the policy objects. Tests replace some by faulty ones that checks must detect. */
export type InstancePolicies = RequestPathPolicies & {
	readonly createRateRequester: typeof createRateRequester;
	readonly createSlotCoordinator: typeof createSlotCoordinator;
	readonly createSlotHolder: typeof createSlotHolder;
	readonly createConfigurationDistribution: typeof createConfigurationDistribution;
};

/**
 * What an instance uses outside itself: the network, the targets, the configuration service, and
 * the functions that count its events.
 */
export type InstanceEnvironment = {
	send(envelope: Envelope): void;
	/** Runs the action after a delay in milliseconds of true time. */
	schedule(delay: number, action: () => void): void;
	/**
	 * Sends a request to a target. Returns a function that sends the cancellation of the request.
	 * `timeLeft` and `serviceTime` are milliseconds.
	 */
	startRun(
		instance: SimulatedInstance,
		grant: HeldGrant,
		request: {
			readonly id: string;
			readonly isPoisoned: boolean;
			readonly timeLeft: number;
			readonly serviceTime?: number;
		},
		onResult: (result: AttemptResult, generation: string) => void,
	): () => void;
	/**
	 * Reads the document of the configuration service. The callback gets undefined when the service
	 * cannot be reached.
	 */
	readDocument(callback: (document: FleetDocument | undefined) => void): void;
	/**
	 * Long poll of the configuration service for a version above `after`. The callback gets the
	 * current document after a timeout, or undefined when the service cannot be reached. Returns a
	 * function that cancels the watch.
	 */
	watchDocument(after: number, callback: (document: FleetDocument | undefined) => void): () => void;
	onAdmitted(request: SimulatedRequest): void;
	onRefused(request: SimulatedRequest, cause: RefusalCause, end?: RequestEnd): void;
	onDone(request: SimulatedRequest, result: AttemptResult, end?: RequestEnd): void;
	onOutcome(instance: SimulatedInstance, grant: HeldGrant, result: AttemptResult): void;
	onHealthChange(instance: SimulatedInstance, service: string, change: HealthChange): void;
	onAdopted(instance: SimulatedInstance, version: number): void;
	/** Whether the list that the instances see shows the target as leaving. */
	isTargetLeaving(target: string): boolean;
};

export type SimulatedInstance = {
	readonly id: InstanceId;
	readonly address: string;
	readonly index: number;
	readonly failureDomain: string;
	readonly clock: ManualClock;
	readonly membership: Membership;
	readonly document: FleetDocument;
	/** Microseconds of processor time spent on decisions; 0 unless it is measured. */
	readonly processorTime: number;
	/** Whether the process has ended. */
	readonly isEnded: boolean;
	receive(envelope: Envelope): void;
	handleRequest(request: SimulatedRequest): void;
	/** Applies the platform's list of instances, which may lag. */
	observeInstances(list: readonly ListedInstance[]): void;
	/** Runs the action now, or on resume if the process is paused. Does nothing after its end. */
	runWhenActive(action: () => void): void;
	pause(): void;
	/** Runs the actions that waited. The caller must resume the clock first. */
	resume(): void;
	/** Ends the process at once, without any message. */
	crash(): void;
	/**
	 * Hands over slots, shares and idempotency keys to the other instances. Call `crash` once the
	 * pending requests have ended.
	 */
	leave(): void;
	/** Number of requests without a response so far. */
	readonly pendingRequests: number;
};

export type SimulatedInstanceOptions = {
	readonly id: InstanceId;
	readonly address: string;
	readonly index: number;
	readonly failureDomain: string;
	readonly clock: ManualClock;
	readonly policy: CoordinationPolicy;
	readonly localRateLimiter: LocalRateLimiter;
	/** Number of equal parts into which `static-split` divides a rate. */
	readonly instanceCount: number;
	readonly document: FleetDocument;
	readonly random: Random;
	readonly environment: InstanceEnvironment;
	readonly shouldMeasureProcessorTime: boolean;
	readonly policies?: Partial<InstancePolicies>;
};

const ownerTickIntervalMs = 5;
const requesterTickIntervalMs = 10;
const slotTickIntervalMs = 100;
const requestPathTickIntervalMs = 50;
/**
 * Maximum messages of an instance to itself in one call of `runTurn`. A larger number means an
 * endless loop, which would otherwise hang the replay.
 */
const maxMessagesToSelf = 100_000;
/** Time after which an instance gives up reading the document of a peer. */
const pullTimeoutMs = 1000;
/**
 * Time for which the instance waits for a response after the deadline of the request, at which the
 * target ends the run. The slot is thus not released before the run has ended.
 */
const responseMarginMs = 20;

type PendingRequest = {
	readonly request: SimulatedRequest;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	readonly progress?: RequestProgress;
};

/** Codes of refusals that the caller caused. */
const callerFaultCodes: ReadonlySet<string> = new Set([
	'idempotency-key-used',
	'crashing-request',
	'unknown-key',
]);

/** A request in progress at a target. */
type Run = {
	readonly pending: PendingRequest;
	readonly grant: HeldGrant;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
	cancel: (() => void) | undefined;
};

/** Microseconds of processor time that this process has used. */
function readProcessorTime(): number {
	const {user, system} = process.cpuUsage();
	return user + system;
}

export function createSimulatedInstance(options: SimulatedInstanceOptions): SimulatedInstance {
	const {id, address, clock, policy, environment, random} = options;
	const policies = {
		createRateRequester,
		createSlotCoordinator,
		createSlotHolder,
		createConfigurationDistribution,
		...options.policies,
	};
	const isCoordinated = policy === 'fleet';
	const hasHeartbeats = isCoordinated || options.localRateLimiter === 'single-counter';
	const startedAt = clock.monotonic();
	const now = () => clock.monotonic();
	const waitingForToken = new Map<number, PendingRequest>();
	const waitingForSlot = new Map<string, PendingRequest>();
	const runs = new Map<string, Run>();
	const pendingByProgress = new Map<RequestProgress, PendingRequest>();
	const delayedActions: Array<() => void> = [];
	const messagesToSelf: Envelope[] = [];
	const pendingPulls = new Map<number, (document: FleetDocument | undefined) => void>();
	const cancelTimers: Array<() => void> = [];
	let {document} = options;
	let processorTime = 0;
	let turnDepth = 0;
	let nextPullId = 0;
	let isEnded = false;
	let cancelWatch: (() => void) | undefined;

	const limits = (workspace: string) => document.workspaces[workspace];
	const minorityFraction = () => document.minorityFraction;

	const distribution: ConfigurationDistribution = policies.createConfigurationDistribution({
		self: id,
		failureDomain: options.failureDomain,
		random,
		startedAt,
	});
	const membership = createMembership({
		self: id,
		startedAt,
		maxInstances: () => document.maxInstances,
		configuration: time => distribution.report(time),
	});

	const availability: AvailabilityLookup = (_service, target) => {
		if (document.domainsOut.includes(target.failureDomain)) {
			return 'domain-out';
		}

		return environment.isTargetLeaving(target.id) ? 'leaving' : 'available';
	};

	const electedOwnerOf = (resource: string, time: number) =>
		membership.view(time).ranking(resource)[0];
	const rateOwner = isCoordinated
		? createRateOwner({shareFractionOf: membership.shareFractionOf, limits, minorityFraction})
		: createSingleCounter({limits});
	const ownShare = (_resource: string, time: number) =>
		time - startedAt > lenderLeaseDuration ? 1 / document.maxInstances : 0;

	function createSelectedRequester() {
		if (!isCoordinated && options.localRateLimiter === 'static-split') {
			return createStaticSplit({instances: options.instanceCount, limits});
		}

		return policies.createRateRequester({
			ownerOf: isCoordinated ? membership.ownerOf : electedOwnerOf,
			ownShare: isCoordinated ? ownShare : () => 0,
			limits,
			minorityFraction,
		});
	}

	const rateRequester = createSelectedRequester();
	const slotCoordinator = policies.createSlotCoordinator({
		self: id,
		shareFractionOf: membership.shareFractionOf,
		availability,
		random,
		onHealthChange(service, change) {
			environment.onHealthChange(instance, service, change);
		},
	});
	const slotHolder = isCoordinated
		? policies.createSlotHolder({self: id, ownerOf: membership.ownerOf, availability, random})
		: createLocalBalancer({self: id, availability, random});

	const isKeyWithdrawn = (key: string) => document.withdrawnKeys?.includes(key) ?? false;
	const requestPath = createRequestPath({
		self: id,
		membership,
		now,
		send,
		requestSlot(progress) {
			const pending = pendingByProgress.get(progress);
			if (pending !== undefined) {
				requestSlot(pending);
			}
		},
		onEnd: endPendingRequest,
		isKeyWithdrawn,
		policies: options.policies,
	});

	function endPendingRequest(progress: RequestProgress, end: RequestEnd): void {
		const pending = pendingByProgress.get(progress);
		pendingByProgress.delete(progress);
		if (pending === undefined) {
			return;
		}

		if (end.kind === 'done') {
			environment.onDone(pending.request, end.result, end);
		} else {
			const cause = callerFaultCodes.has(end.code) ? 'rejected' : 'guard';
			environment.onRefused(pending.request, end.code === 'slots' ? 'slots' : cause, end);
		}
	}

	function configure(): void {
		const services = new Map(Object.entries(document.services));
		slotCoordinator.configure(services, now());
		slotHolder.configure(services);
	}

	function send(outbox: ReadonlyArray<OutboundMessage<InstanceMessage>>): void {
		for (const {to, message} of outbox) {
			const envelope = {from: id, to, message};
			if (to === id) {
				messagesToSelf.push(envelope);
			} else {
				environment.send(envelope);
			}
		}
	}

	function handleMessagesToSelf(): void {
		for (let handled = 0; messagesToSelf.length > 0; handled++) {
			const envelope = messagesToSelf.shift()!;
			if (handled > maxMessagesToSelf) {
				const {kind} = envelope.message;
				throw new EndlessTurnError('endless-turn', `${id} sends itself "${kind}" without end`);
			}

			handleEnvelope(envelope);
		}
	}

	/** Runs an action, then handles the messages that this instance has sent to itself. */
	function runTurn(action: () => void): void {
		if (isEnded) {
			return;
		}

		const isOutermostCall = turnDepth === 0;
		const before = isOutermostCall && options.shouldMeasureProcessorTime ? readProcessorTime() : 0;
		turnDepth++;
		action();
		if (isOutermostCall) {
			handleMessagesToSelf();
		}

		turnDepth--;
		if (isOutermostCall && options.shouldMeasureProcessorTime) {
			processorTime += readProcessorTime() - before;
		}
	}

	function runWhenActive(action: () => void): void {
		if (clock.isPaused) {
			delayedActions.push(action);
		} else {
			runTurn(action);
		}
	}

	function applyRateEffects(effects: RateEffects): void {
		for (const {request, admission} of effects.settled) {
			const pending = waitingForToken.get(request);
			waitingForToken.delete(request);
			if (pending !== undefined) {
				finishAdmission(pending, admission);
			}
		}

		send(effects.messages);
	}

	function finishAdmission(pending: PendingRequest, admission: AdmissionDecision): void {
		if (admission.kind === 'refused') {
			environment.onRefused(pending.request, 'rate');
			return;
		}

		environment.onAdmitted(pending.request);
		if (pending.progress === undefined) {
			requestSlot(pending);
		} else {
			pendingByProgress.set(pending.progress, pending);
			requestPath.start(pending.progress);
		}
	}

	/** A retry excludes the targets that were tried and avoids their failure domains. */
	function requestSlot(pending: PendingRequest): void {
		const {service, workspace} = pending.request;
		const {triedTargets, triedFailureDomains} = pending.progress ?? {};
		const {request, effects} = slotHolder.ask(
			{
				service,
				workspace,
				deadline: pending.deadline,
				...(triedTargets !== undefined && {
					excludedTargets: [...triedTargets],
					avoidedFailureDomains: triedFailureDomains,
				}),
			},
			now(),
		);
		waitingForSlot.set(request, pending);
		applyHolderEffects(effects);
	}

	function applyHolderEffects({messages, events}: HolderEffects): void {
		for (const event of events) {
			handleHolderEvent(event);
		}

		send(messages);
	}

	function handleHolderEvent(event: HolderEvent): void {
		if (event.kind === 'expired') {
			const run = runs.get(event.grant.grant);
			run?.cancel?.();
			finishRun(event.grant.grant, 'cancelled');
			return;
		}

		const pending = waitingForSlot.get(event.request);
		waitingForSlot.delete(event.request);
		if (event.kind === 'refused') {
			refuseSlot(pending);
			return;
		}

		const key = pending?.progress?.details.key;
		const isKeyValid = () => key === undefined || !isKeyWithdrawn(key);
		const isUsable =
			pending !== undefined && slotHolder.canDispatch(event.grant, isKeyValid, now());
		const progress = pending?.progress;
		if (isUsable && progress === undefined) {
			startRun(pending, event.grant);
		} else if (progress !== undefined && requestPath.tryStart(progress, event.grant, isUsable)) {
			startRun(pending!, event.grant);
		} else {
			applyHolderEffects(slotHolder.release(event.grant, undefined, now()));
			if (progress === undefined) {
				refuseSlot(pending);
			}
		}
	}

	function refuseSlot(pending: PendingRequest | undefined): void {
		if (pending?.progress !== undefined) {
			requestPath.handleSlotRefusal(pending.progress);
		} else if (pending !== undefined) {
			environment.onRefused(pending.request, 'slots');
		}
	}

	function startRun(pending: PendingRequest, grant: HeldGrant): void {
		const timeLeft = Math.max(1, pending.deadline - now());
		const grantId = grant.grant;
		const run: Run = {pending, grant, startedAt: now(), cancel: undefined};
		runs.set(grantId, run);
		const {id: requestId, isPoisoned, details} = pending.request;
		run.cancel = environment.startRun(
			instance,
			grant,
			{id: requestId, isPoisoned, timeLeft, serviceTime: details?.serviceTime},
			(result, generation) => {
				runWhenActive(() => {
					finishRun(grantId, result, generation);
				});
			},
		);
		environment.schedule(timeLeft + responseMarginMs, () => {
			runWhenActive(() => {
				if (runs.has(grantId)) {
					run.cancel?.();
					finishRun(grantId, 'timeout');
				}
			});
		});
	}

	function finishRun(grantId: string, result: AttemptResult, generation?: string): void {
		const run = runs.get(grantId);
		if (run === undefined) {
			return;
		}

		runs.delete(grantId);
		const duration = now() - run.startedAt;
		const outcome: AttemptOutcome = {result, latency: duration, slotTime: duration, generation};
		environment.onOutcome(instance, run.grant, result);
		const {progress, request} = run.pending;
		if (progress === undefined) {
			environment.onDone(request, result);
		}

		applyHolderEffects(slotHolder.release(run.grant, outcome, now()));
		if (progress !== undefined) {
			requestPath.handleAttemptEnd(progress, run.grant, result);
		}
	}

	function finishConfigurationRead(
		request: ConfigurationReadRequest,
		received: FleetDocument | undefined,
	): void {
		const outcome: ConfigurationReadOutcome = received
			? {kind: 'document', version: received.version, digest: received.digest}
			: {kind: 'failed'};
		if (received !== undefined && request.kind !== 'pull') {
			membership.recordConfigurationServiceContact(now());
		}

		const hasSameVersion = received?.version === document.version;
		const shouldAdopt = distribution.complete(
			request,
			hasSameVersion &&
				request.kind !== 'pull' &&
				document.version === distribution.report(now()).version
				? {kind: 'unchanged'}
				: outcome,
			now(),
		);
		if (shouldAdopt && received) {
			adoptDocument(received);
		}
	}

	function adoptDocument(newDocument: FleetDocument): void {
		document = newDocument;
		configure();
		environment.onAdopted(instance, newDocument.version);
		cancelWithdrawnRuns();
	}

	/** Cancels the runs whose API key has been withdrawn. Linear in the runs. */
	function cancelWithdrawnRuns(): void {
		for (const [grantId, run] of runs) {
			const {progress} = run.pending;
			if (progress !== undefined && isKeyWithdrawn(progress.details.key)) {
				progress.isKeyWithdrawn = true;
				run.cancel?.();
				finishRun(grantId, 'cancelled');
			}
		}
	}

	function pullDocument(request: ConfigurationReadRequest & {readonly kind: 'pull'}): void {
		const pullId = nextPullId++;
		pendingPulls.set(pullId, received => {
			pendingPulls.delete(pullId);
			finishConfigurationRead(request, received);
		});
		send([{to: request.from, message: {kind: 'document-ask', id: pullId}}]);
		environment.schedule(pullTimeoutMs, () => {
			runWhenActive(() => pendingPulls.get(pullId)?.(undefined));
		});
	}

	function applyReadDecision(decision: ConfigurationReadDecision): void {
		if (decision.kind === 'stop-watch') {
			cancelWatch?.();
			return;
		}

		if (decision.kind === 'pull') {
			pullDocument(decision);
			return;
		}

		const finish = (received: FleetDocument | undefined) => {
			runWhenActive(() => {
				finishConfigurationRead(decision, received);
			});
		};

		if (decision.kind === 'watch') {
			cancelWatch = environment.watchDocument(decision.after, finish);
		} else {
			environment.readDocument(finish);
		}
	}

	function runDistribution(): void {
		const input = {
			members: membership.view(now()).members,
			failureDomainOf: (member: InstanceId) => membership.failureDomainOf(member),
			peers: membership.configurationReports(now()),
		};
		for (const decision of distribution.decide(input, now())) {
			applyReadDecision(decision);
		}
	}

	/** Used under the `local` policy: each instance watches the configuration service on its own. */
	function watchIndependently(): void {
		environment.watchDocument(document.version, received => {
			runWhenActive(() => {
				if (received !== undefined && received.version > document.version) {
					adoptDocument(received);
				}

				environment.schedule(500, () => {
					runWhenActive(watchIndependently);
				});
			});
		});
	}

	const passToRateOwner = (message: TokenOwnerMessage, from: InstanceId) => {
		send(rateOwner.handle(message, from, now()));
	};

	const passToRateRequester = (message: TokenRequesterMessage, from: InstanceId) => {
		applyRateEffects(rateRequester.handle(message, from, now()));
	};

	const passToSlotCoordinator = (message: SlotCoordinatorMessage, from: InstanceId) => {
		send(slotCoordinator.handle(message, from, now()));
	};

	const passToSlotHolder = (message: SlotHolderMessage, from: InstanceId) => {
		applyHolderEffects(slotHolder.handle(message, from, now()));
	};

	const passToMembership = (message: Parameters<Membership['receive']>[0]) => {
		send(membership.receive(message, now()));
	};

	const passToRequestPath = (message: RequestPathMessage, from: InstanceId) => {
		requestPath.handle(message, from);
	};

	const handlers: MessageHandlers<InstanceMessage, InstanceId> = {
		heartbeat: passToMembership,
		handover: passToMembership,
		'token-ask': passToRateOwner,
		'token-return': passToRateOwner,
		'token-grant': passToRateRequester,
		'token-refusal': passToRateRequester,
		'slot-ask': passToSlotCoordinator,
		'slot-release': passToSlotCoordinator,
		'slot-cancel': passToSlotCoordinator,
		'slot-renew': passToSlotCoordinator,
		'slot-handover': passToSlotCoordinator,
		'slot-queued': passToSlotHolder,
		'slot-grant': passToSlotHolder,
		'slot-refusal': passToSlotHolder,
		'slot-renewed': passToSlotHolder,
		'crash-report': passToRequestPath,
		'crash-query': passToRequestPath,
		'crash-answer': passToRequestPath,
		'crash-notice': passToRequestPath,
		'crash-notice-seen': passToRequestPath,
		'idempotency-claim': passToRequestPath,
		'idempotency-answer': passToRequestPath,
		'idempotency-settle': passToRequestPath,
		'idempotency-settled': passToRequestPath,
		'idempotency-handover-ask': passToRequestPath,
		'idempotency-handover': passToRequestPath,
		'stop-notice': passToRequestPath,
		'document-ask'({id: pullId}, from) {
			send([{to: from, message: {kind: 'document-answer', id: pullId, document}}]);
		},
		'document-answer'({id: pullId, document: received}) {
			pendingPulls.get(pullId)?.(received);
		},
	};

	function handleEnvelope({from, message}: Envelope): void {
		dispatchMessage(handlers, message, from);
	}

	function runEvery(interval: number, action: () => void): void {
		cancelTimers.push(
			// A random phase prevents the instances from acting at the same time.
			clock.after(random() * interval, () => {
				runTurn(action);
				cancelTimers.push(
					clock.every(interval, () => {
						runTurn(action);
					}),
				);
			}),
		);
	}

	const instance: SimulatedInstance = {
		id,
		address,
		index: options.index,
		failureDomain: options.failureDomain,
		clock,
		membership,
		get document() {
			return document;
		},
		get processorTime() {
			return processorTime;
		},
		get isEnded() {
			return isEnded;
		},
		receive(envelope) {
			// A message to an earlier incarnation on this address does not reach this one.
			if (envelope.to === id || envelope.to === address) {
				runTurn(() => {
					handleEnvelope(envelope);
				});
			}
		},
		handleRequest(request) {
			runWhenActive(() => {
				const {details} = request;
				const deadline = now() + request.timeout;
				const progress = details && createRequestProgress(details, request.workspace, deadline);
				const pending = {request, deadline, ...(progress !== undefined && {progress})};
				if (details !== undefined && isKeyWithdrawn(details.key)) {
					const end = {kind: 'refused', code: 'unknown-key', runState: 'not-run'} as const;
					environment.onRefused(request, 'rejected', end);
					return;
				}

				if (details !== undefined && membership.isIsolated(now())) {
					const end = {kind: 'refused', code: 'isolated', runState: 'not-run'} as const;
					environment.onRefused(request, 'guard', end);
					return;
				}

				const effects = rateRequester.admit(request.workspace, now());
				if (effects.admission.kind === 'wait') {
					waitingForToken.set(effects.admission.request, pending);
					applyRateEffects(effects);
				} else {
					applyRateEffects(effects);
					finishAdmission(pending, effects.admission);
				}
			});
		},
		observeInstances(list) {
			runWhenActive(() => {
				membership.observeInstances(list, now());
			});
		},
		runWhenActive,
		pause() {
			clock.pause();
		},
		resume() {
			for (
				let action = delayedActions.shift();
				action !== undefined;
				action = delayedActions.shift()
			) {
				runTurn(action);
			}
		},
		crash() {
			isEnded = true;
			for (const cancel of cancelTimers) {
				cancel();
			}
		},
		leave() {
			runWhenActive(() => {
				requestPath.announceStop();
				// The view still contains this instance, which must not hand over to itself.
				const others = membership.view(now()).members.filter(member => member !== id);
				const next = createView(others);
				send(slotCoordinator.handOverShards(resource => next.winner(resource), now()));
				send(membership.leave(now()));
			});
		},
		get pendingRequests() {
			// A request with details stays in `pendingByProgress` while it waits for a slot or runs; one
			// without details is never there. Exact if no request, or every one, has details.
			return (
				waitingForToken.size + Math.max(pendingByProgress.size, waitingForSlot.size + runs.size)
			);
		},
	};

	configure();
	if (hasHeartbeats) {
		runEvery(heartbeatInterval, () => {
			send(membership.tick(now()));
		});
		runEvery(ownerTickIntervalMs, () => {
			send(rateOwner.tick(now()));
		});
	}

	if (isCoordinated) {
		runEvery(heartbeatInterval, runDistribution);
		runEvery(slotTickIntervalMs, () => {
			send(slotCoordinator.tick(now()));
		});
		runEvery(requestPathTickIntervalMs, () => {
			requestPath.tick();
		});
	} else {
		environment.schedule(1, () => {
			runWhenActive(watchIndependently);
		});
	}

	runEvery(requesterTickIntervalMs, () => {
		applyRateEffects(rateRequester.tick(now()));
	});
	runEvery(slotTickIntervalMs, () => {
		applyHolderEffects(slotHolder.tick(now()));
	});
	return instance;
}
