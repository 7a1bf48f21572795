/**
 * One instance of a replayed fleet: the policy objects, wired as the daemon's services wire them,
 * with functions in place of sockets and a steerable clock in place of the system clock.
 */
import process from 'node:process';
import {type AttemptOutcome, type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {dispatch, type Handlers} from '@shallotpond/kernel/handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
import {type Random} from '@shallotpond/kernel/random';
import {type AvailabilityLookup} from '@shallotpond/policy-dispatch/dispatch-service';
import {createLocalBalancer} from '@shallotpond/policy-dispatch/local-balancer';
import {createSlotCoordinator} from '@shallotpond/policy-dispatch/slot-coordinator';
import {
	createSlotHolder,
	type HeldGrant,
	type HolderEvent,
	type HolderStep,
} from '@shallotpond/policy-dispatch/slot-holder';
import {
	type CoordinatorMessage,
	type HolderMessage,
} from '@shallotpond/policy-dispatch/slot-messages';
import {type HealthChange} from '@shallotpond/policy-dispatch/target-health';
import {createRateOwner} from '@shallotpond/policy-limits/rate-owner';
import {
	createRateRequester,
	type Admission,
	type RateEffects,
} from '@shallotpond/policy-limits/rate-requester';
import {createSingleCounter} from '@shallotpond/policy-limits/single-counter';
import {createStaticSplit} from '@shallotpond/policy-limits/static-split';
import {
	type OwnerBoundTokenMessage,
	type RequesterBoundTokenMessage,
} from '@shallotpond/policy-limits/token-messages';
import {createMembership, type Membership} from '@shallotpond/policy-membership/membership';
import {createView} from '@shallotpond/policy-membership/rendezvous';
import {type ListedInstance} from '@shallotpond/policy-membership/roster';
import {heartbeatInterval, lenderLeaseDuration} from '@shallotpond/policy-membership/timing';
import {
	createVersionSpread,
	type SpreadDecision,
	type SpreadOutcome,
	type SpreadRequest,
	type VersionSpread,
} from '@shallotpond/policy-membership/version-spread';
import {type SteerableClock} from '@shallotpond/testkit/steerable-clock';
import {
	createFleetCalls,
	createProgress,
	type CallEnd,
	type CallMessage,
	type CallPolicies,
	type CallProgress,
	type FleetCall,
} from './fleet-calls.js';
import {type FleetDocument} from './fleet-document.js';
import {type Envelope, type FleetMessage} from './fleet-messages.js';
import {EndlessTurnError} from './replay-error.js';

/** `fleet` coordinates; with `local`, each instance decides by itself. */
export type FleetPolicy = 'fleet' | 'local';

/** How the rates of the local policy are counted; `single-counter` elects one per workspace. */
export type LocalRate = 'static-split' | 'single-counter';

export type FleetRequest = {
	/** Unique per caller request; a repetition by the caller has the same id. */
	readonly id: string;
	readonly service: string;
	readonly workspace: string;
	/** Milliseconds from the arrival until the caller has no use for an answer; at most 3,800. */
	readonly timeout: number;
	/** Each target that runs it crashes. */
	readonly isPoisoned: boolean;
	/** Takes the steps of `fleet-calls.ts`; otherwise the request is tried once and has no key. */
	readonly call?: FleetCall;
};

/**
 * `guard` is a refusal by a registry or by an isolated instance, `rejected` one that the caller
 * brought about: a used idempotency key, a crashing request or a withdrawn key.
 */
export type RefusalCause = 'rate' | 'slots' | 'guard' | 'rejected';

/** Replaced by tests that turn a guard off. */
export type InstancePolicies = CallPolicies & {
	readonly createRateRequester: typeof createRateRequester;
	readonly createSlotCoordinator: typeof createSlotCoordinator;
	readonly createSlotHolder: typeof createSlotHolder;
	readonly createVersionSpread: typeof createVersionSpread;
};

export type InstanceHost = {
	send(envelope: Envelope): void;
	/** Runs the action after a delay in true milliseconds. */
	schedule(delay: number, action: () => void): void;
	/** Sends a request to a target; returns what sends its cancellation. */
	startRun(
		instance: FleetInstance,
		grant: HeldGrant,
		request: {
			readonly id: string;
			readonly isPoisoned: boolean;
			readonly timeLeft: number;
			readonly serviceTime?: number;
		},
		onAnswer: (result: AttemptResult, generation: string) => void,
	): () => void;
	/** The configuration service; the callback gets undefined when it cannot be reached. */
	readDocument(callback: (document: FleetDocument | undefined) => void): void;
	/** Returns what cancels the watch. */
	watchDocument(after: number, callback: (document: FleetDocument | undefined) => void): () => void;
	onAdmitted(request: FleetRequest): void;
	onRefused(request: FleetRequest, cause: RefusalCause, end?: CallEnd): void;
	onDone(request: FleetRequest, result: AttemptResult, end?: CallEnd): void;
	onOutcome(instance: FleetInstance, grant: HeldGrant, result: AttemptResult): void;
	onHealthChange(instance: FleetInstance, service: string, change: HealthChange): void;
	onAdopted(instance: FleetInstance, version: number): void;
	/** Whether a target is listed as leaving, as this instance sees it. */
	isTargetLeaving(target: string): boolean;
};

export type FleetInstance = {
	readonly id: InstanceId;
	readonly address: string;
	readonly index: number;
	readonly failureDomain: string;
	readonly clock: SteerableClock;
	readonly membership: Membership;
	readonly document: FleetDocument;
	/** Microseconds of processor time in decisions; 0 unless it is measured. */
	readonly processorTime: number;
	readonly isEnded: boolean;
	receive(envelope: Envelope): void;
	request(request: FleetRequest): void;
	observeInstances(list: readonly ListedInstance[]): void;
	/** Runs the action when the process is awake, and never after its end. */
	runWhenActive(action: () => void): void;
	pause(): void;
	resume(): void;
	/** Ends at once, without any message. */
	crash(): void;
	/** Hands over to the other instances; `crash` must follow when its requests are done. */
	leave(): void;
	/** Requests that have no answer yet. */
	readonly pendingRequests: number;
};

export type FleetInstanceOptions = {
	readonly id: InstanceId;
	readonly address: string;
	readonly index: number;
	readonly failureDomain: string;
	readonly clock: SteerableClock;
	readonly policy: FleetPolicy;
	readonly localRate: LocalRate;
	/** Number of equal parts for `static-split`. */
	readonly instances: number;
	readonly document: FleetDocument;
	readonly random: Random;
	readonly host: InstanceHost;
	readonly measuresProcessorTime: boolean;
	readonly policies?: Partial<InstancePolicies>;
};

const ownerInterval = 5;
const requesterInterval = 10;
const slotInterval = 100;
const callInterval = 50;
/** Messages to itself in one turn; more are a loop, which would otherwise hang the replay. */
const mostOwnMessages = 100_000;
const pullTimeout = 1000;
/** The instance waits a little longer than what it told the target, so that no run outlives its slot. */
const answerMargin = 20;

type OpenRequest = {
	readonly request: FleetRequest;
	readonly deadline: number;
	readonly progress?: CallProgress;
};

/** Codes of refusals that the caller brought about. */
const rejections: ReadonlySet<string> = new Set([
	'idempotency-key-used',
	'crashing-request',
	'unknown-key',
]);
type Run = {
	readonly open: OpenRequest;
	readonly grant: HeldGrant;
	readonly startedAt: number;
	cancel: (() => void) | undefined;
};

function processorMicroseconds(): number {
	const {user, system} = process.cpuUsage();
	return user + system;
}

export function createFleetInstance(options: FleetInstanceOptions): FleetInstance {
	const {id, address, clock, policy, host, random} = options;
	const policies = {
		createRateRequester,
		createSlotCoordinator,
		createSlotHolder,
		createVersionSpread,
		...options.policies,
	};
	const isFleet = policy === 'fleet';
	const exchangesHeartbeats = isFleet || options.localRate === 'single-counter';
	const startedAt = clock.monotonic();
	const now = () => clock.monotonic();
	const waitingForToken = new Map<number, OpenRequest>();
	const waitingForSlot = new Map<string, OpenRequest>();
	const runs = new Map<string, Run>();
	const calls = new Map<CallProgress, OpenRequest>();
	const delayed: Array<() => void> = [];
	const ownMessages: Envelope[] = [];
	const pulls = new Map<number, (document: FleetDocument | undefined) => void>();
	const cancelTimers: Array<() => void> = [];
	let {document} = options;
	let processorTime = 0;
	let depth = 0;
	let nextPull = 0;
	let isEnded = false;
	let cancelWatch: (() => void) | undefined;

	const limits = (workspace: string) => document.workspaces[workspace];
	const minorityFraction = () => document.minorityFraction;

	const spread: VersionSpread = policies.createVersionSpread({
		self: id,
		failureDomain: options.failureDomain,
		random,
		startedAt,
	});
	const membership = createMembership({
		self: id,
		startedAt,
		maxInstances: () => document.maxInstances,
		configuration: time => spread.report(time),
	});

	const availability: AvailabilityLookup = (_service, target) => {
		if (document.domainsOut.includes(target.failureDomain)) {
			return 'domain-out';
		}

		return host.isTargetLeaving(target.id) ? 'leaving' : 'available';
	};

	const electedOwner = (resource: string, time: number) =>
		membership.view(time).ranking(resource)[0];
	const rateOwner = isFleet
		? createRateOwner({fraction: membership.fraction, limits, minorityFraction})
		: createSingleCounter({limits});
	const ownShare = (_resource: string, time: number) =>
		time - startedAt > lenderLeaseDuration ? 1 / document.maxInstances : 0;

	function createRequester() {
		if (!isFleet && options.localRate === 'static-split') {
			return createStaticSplit({instances: options.instances, limits});
		}

		return policies.createRateRequester({
			owner: isFleet ? membership.ownerOf : electedOwner,
			ownShare: isFleet ? ownShare : () => 0,
			limits,
			minorityFraction,
		});
	}

	const requester = createRequester();
	const coordinator = policies.createSlotCoordinator({
		self: id,
		fraction: membership.fraction,
		availability,
		random,
		onHealthChange(service, change) {
			host.onHealthChange(instance, service, change);
		},
	});
	const holder = isFleet
		? policies.createSlotHolder({self: id, ownerOf: membership.ownerOf, availability, random})
		: createLocalBalancer({self: id, availability, random});

	const isKeyWithdrawn = (key: string) => document.withdrawnKeys?.includes(key) ?? false;
	const fleetCalls = createFleetCalls({
		self: id,
		membership,
		now,
		send,
		requestSlot(progress) {
			const open = calls.get(progress);
			if (open !== undefined) {
				ask(open);
			}
		},
		onEnd: endCall,
		isKeyWithdrawn,
		policies: options.policies,
	});

	function endCall(progress: CallProgress, end: CallEnd): void {
		const open = calls.get(progress);
		calls.delete(progress);
		if (open === undefined) {
			return;
		}

		if (end.kind === 'done') {
			host.onDone(open.request, end.result, end);
		} else {
			const cause = rejections.has(end.code) ? 'rejected' : 'guard';
			host.onRefused(open.request, end.code === 'slots' ? 'slots' : cause, end);
		}
	}

	function configure(): void {
		const services = new Map(Object.entries(document.services));
		coordinator.configure(services, now());
		holder.configure(services);
	}

	function send(outbox: ReadonlyArray<Outbound<FleetMessage>>): void {
		for (const {to, message} of outbox) {
			const envelope = {from: id, to, message};
			if (to === id) {
				ownMessages.push(envelope);
			} else {
				host.send(envelope);
			}
		}
	}

	function handleOwnMessages(): void {
		for (let handled = 0; ownMessages.length > 0; handled++) {
			const envelope = ownMessages.shift()!;
			if (handled > mostOwnMessages) {
				const {kind} = envelope.message;
				throw new EndlessTurnError('endless-turn', `${id} sends itself "${kind}" without end`);
			}

			handle(envelope);
		}
	}

	/** Runs decisions, then the messages of this instance to itself. */
	function enter(action: () => void): void {
		if (isEnded) {
			return;
		}

		const isOutermost = depth === 0;
		const before = isOutermost && options.measuresProcessorTime ? processorMicroseconds() : 0;
		depth++;
		action();
		if (isOutermost) {
			handleOwnMessages();
		}

		depth--;
		if (isOutermost && options.measuresProcessorTime) {
			processorTime += processorMicroseconds() - before;
		}
	}

	function whenAwake(action: () => void): void {
		if (clock.isPaused) {
			delayed.push(action);
		} else {
			enter(action);
		}
	}

	function runTurn(turn: RateEffects): void {
		for (const {request, admission} of turn.settled) {
			const open = waitingForToken.get(request);
			waitingForToken.delete(request);
			if (open !== undefined) {
				finishAdmission(open, admission);
			}
		}

		send(turn.messages);
	}

	function finishAdmission(open: OpenRequest, admission: Admission): void {
		if (admission.kind === 'refused') {
			host.onRefused(open.request, 'rate');
			return;
		}

		host.onAdmitted(open.request);
		if (open.progress === undefined) {
			ask(open);
		} else {
			calls.set(open.progress, open);
			fleetCalls.start(open.progress);
		}
	}

	function ask(open: OpenRequest): void {
		const {service, workspace} = open.request;
		const {triedTargets, triedDomains} = open.progress ?? {};
		const {request, step} = holder.ask(
			{
				service,
				workspace,
				deadline: open.deadline,
				...(triedTargets !== undefined && {
					excludedTargets: [...triedTargets],
					avoidedFailureDomains: triedDomains,
				}),
			},
			now(),
		);
		waitingForSlot.set(request, open);
		runStep(step);
	}

	function runStep({outbound, events}: HolderStep): void {
		for (const event of events) {
			handleEvent(event);
		}

		send(outbound);
	}

	function handleEvent(event: HolderEvent): void {
		if (event.kind === 'expired') {
			const run = runs.get(event.grant.grant);
			run?.cancel?.();
			finishRun(event.grant.grant, 'cancelled');
			return;
		}

		const open = waitingForSlot.get(event.request);
		waitingForSlot.delete(event.request);
		if (event.kind === 'refused') {
			refuseSlot(open);
			return;
		}

		const key = open?.progress?.call.key;
		const isKeyValid = () => key === undefined || !isKeyWithdrawn(key);
		const isUsable = open !== undefined && holder.canDispatch(event.grant, isKeyValid, now());
		const progress = open?.progress;
		if (isUsable && progress === undefined) {
			startRun(open, event.grant);
		} else if (progress !== undefined && fleetCalls.tryStart(progress, event.grant, isUsable)) {
			startRun(open!, event.grant);
		} else {
			runStep(holder.release(event.grant, undefined, now()));
			if (progress === undefined) {
				refuseSlot(open);
			}
		}
	}

	function refuseSlot(open: OpenRequest | undefined): void {
		if (open?.progress !== undefined) {
			fleetCalls.handleSlotRefusal(open.progress);
		} else if (open !== undefined) {
			host.onRefused(open.request, 'slots');
		}
	}

	function startRun(open: OpenRequest, grant: HeldGrant): void {
		const timeLeft = Math.max(1, open.deadline - now());
		const key = grant.grant;
		const run: Run = {open, grant, startedAt: now(), cancel: undefined};
		runs.set(key, run);
		const {id: requestId, isPoisoned, call} = open.request;
		run.cancel = host.startRun(
			instance,
			grant,
			{id: requestId, isPoisoned, timeLeft, serviceTime: call?.serviceTime},
			(result, generation) => {
				whenAwake(() => {
					finishRun(key, result, generation);
				});
			},
		);
		host.schedule(timeLeft + answerMargin, () => {
			whenAwake(() => {
				if (runs.has(key)) {
					run.cancel?.();
					finishRun(key, 'timeout');
				}
			});
		});
	}

	function finishRun(key: string, result: AttemptResult, generation?: string): void {
		const run = runs.get(key);
		if (run === undefined) {
			return;
		}

		runs.delete(key);
		const duration = now() - run.startedAt;
		const outcome: AttemptOutcome = {result, latency: duration, slotTime: duration, generation};
		host.onOutcome(instance, run.grant, result);
		const {progress, request} = run.open;
		if (progress === undefined) {
			host.onDone(request, result);
		}

		runStep(holder.release(run.grant, outcome, now()));
		if (progress !== undefined) {
			fleetCalls.handleAttemptEnd(progress, run.grant, result);
		}
	}

	function finishRequest(request: SpreadRequest, found: FleetDocument | undefined): void {
		const outcome: SpreadOutcome = found
			? {kind: 'document', version: found.version, digest: found.digest}
			: {kind: 'failed'};
		if (found !== undefined && request.kind !== 'pull') {
			membership.recordServiceContact(now());
		}

		const isSame = found?.version === document.version;
		const isHigher = spread.complete(
			request,
			isSame && request.kind !== 'pull' && document.version === spread.report(now()).version
				? {kind: 'unchanged'}
				: outcome,
			now(),
		);
		if (isHigher && found) {
			adopt(found);
		}
	}

	function adopt(found: FleetDocument): void {
		document = found;
		configure();
		host.onAdopted(instance, found.version);
		endWithdrawn();
	}

	/** A request in progress for a withdrawn key is reset; linear in the requests in progress. */
	function endWithdrawn(): void {
		for (const [key, run] of runs) {
			const {progress} = run.open;
			if (progress !== undefined && isKeyWithdrawn(progress.call.key)) {
				progress.isKeyWithdrawn = true;
				run.cancel?.();
				finishRun(key, 'cancelled');
			}
		}
	}

	function pull(request: SpreadRequest & {readonly kind: 'pull'}): void {
		const pullId = nextPull++;
		pulls.set(pullId, found => {
			pulls.delete(pullId);
			finishRequest(request, found);
		});
		send([{to: request.from, message: {kind: 'document-ask', id: pullId}}]);
		host.schedule(pullTimeout, () => {
			whenAwake(() => pulls.get(pullId)?.(undefined));
		});
	}

	function start(decision: SpreadDecision): void {
		if (decision.kind === 'stop-watch') {
			cancelWatch?.();
			return;
		}

		if (decision.kind === 'pull') {
			pull(decision);
			return;
		}

		const finish = (found: FleetDocument | undefined) => {
			whenAwake(() => {
				finishRequest(decision, found);
			});
		};

		if (decision.kind === 'watch') {
			cancelWatch = host.watchDocument(decision.after, finish);
		} else {
			host.readDocument(finish);
		}
	}

	function spreadVersions(): void {
		const input = {
			members: membership.view(now()).members,
			failureDomainOf: (member: InstanceId) => membership.failureDomainOf(member),
			peers: membership.configurations(now()),
		};
		for (const decision of spread.decide(input, now())) {
			start(decision);
		}
	}

	/** Each instance of the local baseline watches the configuration service by itself. */
	function watchAlone(): void {
		host.watchDocument(document.version, found => {
			whenAwake(() => {
				if (found !== undefined && found.version > document.version) {
					adopt(found);
				}

				host.schedule(500, () => {
					whenAwake(watchAlone);
				});
			});
		});
	}

	const toOwner = (message: OwnerBoundTokenMessage, from: InstanceId) => {
		send(rateOwner.handle(message, from, now()));
	};

	const toRequester = (message: RequesterBoundTokenMessage, from: InstanceId) => {
		runTurn(requester.handle(message, from, now()));
	};

	const toCoordinator = (message: CoordinatorMessage, from: InstanceId) => {
		send(coordinator.handle(message, from, now()));
	};

	const toHolder = (message: HolderMessage, from: InstanceId) => {
		runStep(holder.handle(message, from, now()));
	};

	const toMembership = (message: Parameters<Membership['receive']>[0]) => {
		send(membership.receive(message, now()));
	};

	const toCalls = (message: CallMessage, from: InstanceId) => {
		fleetCalls.handle(message, from);
	};

	const handlers: Handlers<FleetMessage, InstanceId> = {
		heartbeat: toMembership,
		handover: toMembership,
		'token-ask': toOwner,
		'token-return': toOwner,
		'token-grant': toRequester,
		'token-refusal': toRequester,
		'slot-ask': toCoordinator,
		'slot-release': toCoordinator,
		'slot-cancel': toCoordinator,
		'slot-renew': toCoordinator,
		'slot-handover': toCoordinator,
		'slot-queued': toHolder,
		'slot-grant': toHolder,
		'slot-refusal': toHolder,
		'slot-renewed': toHolder,
		'crash-report': toCalls,
		'crash-query': toCalls,
		'crash-answer': toCalls,
		'crash-notice': toCalls,
		'crash-notice-seen': toCalls,
		'idempotency-claim': toCalls,
		'idempotency-answer': toCalls,
		'idempotency-settle': toCalls,
		'idempotency-settled': toCalls,
		'idempotency-handover-ask': toCalls,
		'idempotency-handover': toCalls,
		'stop-notice': toCalls,
		'document-ask'({id: pullId}, from) {
			send([{to: from, message: {kind: 'document-answer', id: pullId, document}}]);
		},
		'document-answer'({id: pullId, document: found}) {
			pulls.get(pullId)?.(found);
		},
	};

	function handle({from, message}: Envelope): void {
		dispatch(handlers, message, from);
	}

	function every(interval: number, action: () => void): void {
		cancelTimers.push(
			// A random phase keeps the instances from acting in step.
			clock.after(random() * interval, () => {
				enter(action);
				cancelTimers.push(
					clock.every(interval, () => {
						enter(action);
					}),
				);
			}),
		);
	}

	const instance: FleetInstance = {
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
			// The connection to an earlier process on this address does not lead to this one.
			if (envelope.to === id || envelope.to === address) {
				enter(() => {
					handle(envelope);
				});
			}
		},
		request(request) {
			whenAwake(() => {
				const {call} = request;
				const deadline = now() + request.timeout;
				const progress = call && createProgress(call, request.workspace, deadline);
				const open = {request, deadline, ...(progress !== undefined && {progress})};
				if (call !== undefined && isKeyWithdrawn(call.key)) {
					const end = {kind: 'refused', code: 'unknown-key', runState: 'not-run'} as const;
					host.onRefused(request, 'rejected', end);
					return;
				}

				if (call !== undefined && membership.isIsolated(now())) {
					const end = {kind: 'refused', code: 'isolated', runState: 'not-run'} as const;
					host.onRefused(request, 'guard', end);
					return;
				}

				const turn = requester.admit(request.workspace, now());
				if (turn.admission.kind === 'wait') {
					waitingForToken.set(turn.admission.request, open);
					runTurn(turn);
				} else {
					runTurn(turn);
					finishAdmission(open, turn.admission);
				}
			});
		},
		observeInstances(list) {
			whenAwake(() => {
				membership.observeInstances(list, now());
			});
		},
		runWhenActive: whenAwake,
		pause() {
			clock.pause();
		},
		resume() {
			for (let action = delayed.shift(); action !== undefined; action = delayed.shift()) {
				enter(action);
			}
		},
		crash() {
			isEnded = true;
			for (const cancel of cancelTimers) {
				cancel();
			}
		},
		leave() {
			whenAwake(() => {
				fleetCalls.announceStop();
				// The own view still contains this instance, which would then hand over to itself.
				const others = membership.view(now()).members.filter(member => member !== id);
				const next = createView(others);
				send(coordinator.handOverShards(resource => next.winner(resource), now()));
				send(membership.leave(now()));
			});
		},
		get pendingRequests() {
			return waitingForToken.size + Math.max(calls.size, waitingForSlot.size + runs.size);
		},
	};

	configure();
	if (exchangesHeartbeats) {
		every(heartbeatInterval, () => {
			send(membership.tick(now()));
		});
		every(ownerInterval, () => {
			send(rateOwner.tick(now()));
		});
	}

	if (isFleet) {
		every(heartbeatInterval, spreadVersions);
		every(slotInterval, () => {
			send(coordinator.tick(now()));
		});
		every(callInterval, () => {
			fleetCalls.tick();
		});
	} else {
		host.schedule(1, () => {
			whenAwake(watchAlone);
		});
	}

	every(requesterInterval, () => {
		runTurn(requester.tick(now()));
	});
	every(slotInterval, () => {
		runStep(holder.tick(now()));
	});
	return instance;
}
