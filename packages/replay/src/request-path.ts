/**
 * The steps of a request in a simulated fleet: claim the idempotency key, check the crash registry,
 * request a slot, and decide after a failure whether to retry. The policy objects are wired as
 * `request-guard-service.ts` of the daemon wires them, with callbacks in place of promises, so that
 * a replay decides as the daemon does.
 */
import {type AttemptResult, type Refusal, type RunState} from '@shallotpond/kernel/attempt-outcome';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type HeldGrant} from '@shallotpond/policy-dispatch/slot-holder';
import {type Membership} from '@shallotpond/policy-membership/membership';
import {createView} from '@shallotpond/policy-membership/rendezvous';
import {
	createCrashGuard,
	type CrashTicket,
	type CrashEffects,
} from '@shallotpond/policy-requests/crash-guard';
import {type CrashAnswer, type CrashNotice} from '@shallotpond/policy-requests/crash-messages';
import {
	createCrashRegistry,
	type CrashOwnerMessage,
} from '@shallotpond/policy-requests/crash-registry';
import {createCrashTableSync} from '@shallotpond/policy-requests/crash-table-sync';
import {createCrashTable} from '@shallotpond/policy-requests/crash-table';
import {digestBucketCount} from '@shallotpond/policy-requests/fingerprint';
import {
	createIdempotencyGuard,
	type ClaimTicket,
	type IdempotencyEffects,
	type SettledClaim,
} from '@shallotpond/policy-requests/idempotency-guard';
import {
	type IdempotencyAnswer,
	type IdempotencySettled,
} from '@shallotpond/policy-requests/idempotency-messages';
import {
	createIdempotencyRegistry,
	type IdempotencyOwnerMessage,
} from '@shallotpond/policy-requests/idempotency-registry';
import {createRetryBudget} from '@shallotpond/policy-requests/retry-budget';
import {createRetryPolicy} from '@shallotpond/policy-requests/retry-policy';
import {type InstanceMessage} from './fleet-messages.js';

/** Properties of a request beyond its service and workspace. */
export type RequestDetails = {
	readonly method: string;
	readonly isIdempotent: boolean;
	readonly idempotencyKey?: string;
	/** Digest of workspace, method, path and body, or any text that represents them. */
	readonly fingerprint: string;
	/** Name of the caller's API key. */
	readonly key: string;
	/** Median time of a run at a target, milliseconds; by default that of the target's behaviour. */
	readonly serviceTime?: number;
};

/** State of a request between its admission and its end; created by `createRequestProgress`. */
export type RequestProgress = {
	readonly details: RequestDetails;
	readonly workspace: string;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Number of attempts that have started. */
	attempts: number;
	/** Whether the request ran, combined over all attempts so far. */
	runState: RunState;
	readonly triedTargets: string[];
	readonly triedFailureDomains: string[];
	/**
	 * The claim of the idempotency key, until the outcome of the request is reported to the owner of
	 * the key.
	 */
	claim?: ClaimTicket;
	/** Monotonic milliseconds before which attempts must start under the claim. */
	startBefore?: number;
	/**
	 * Set while the current attempt is the trial of a fingerprint that is suspected of crashing
	 * targets.
	 */
	trial?: CrashTicket;
	/** Whether the API key was withdrawn during an attempt; no retry follows then. */
	isKeyWithdrawn: boolean;
};

/** How a request ended. `code` is that of a refusal, for example `unknown-key`. */
export type RequestEnd =
	| {readonly kind: 'refused'; readonly code: string; readonly runState: RunState}
	| {readonly kind: 'done'; readonly result: AttemptResult; readonly runState: RunState};

export type RequestPathOptions = {
	readonly self: InstanceId;
	readonly membership: Membership;
	readonly now: () => number;
	readonly send: (outbox: ReadonlyArray<OutboundMessage<InstanceMessage>>) => void;
	/**
	 * Requests a slot. The callee reports the result with `handleSlotRefusal` or `tryStart`, and the
	 * end of a started attempt with `handleAttemptEnd`.
	 */
	readonly requestSlot: (progress: RequestProgress) => void;
	/** Called once per request. */
	readonly onEnd: (progress: RequestProgress, end: RequestEnd) => void;
	readonly isKeyWithdrawn: (key: string) => boolean;
	readonly policies?: Partial<RequestPathPolicies>;
};

/** Factories of the policy objects. Tests replace some by faulty ones that checks must detect. */
export type RequestPathPolicies = {
	readonly createIdempotencyGuard: typeof createIdempotencyGuard;
	readonly createCrashGuard: typeof createCrashGuard;
	readonly createRetryPolicy: typeof createRetryPolicy;
};

export type RequestPath = {
	/** Starts an admitted request. */
	start(progress: RequestProgress): void;
	/** Ends a request for which there is no slot. */
	handleSlotRefusal(progress: RequestProgress): void;
	/**
	 * Must be called when a slot has been granted, immediately before the first byte would be
	 * written. Returns whether the attempt may start. Otherwise the request either ends or requests
	 * another slot, and the caller must release the grant.
	 */
	tryStart(progress: RequestProgress, grant: HeldGrant, isGrantUsable: boolean): boolean;
	/** Decides about a retry after an attempt that `tryStart` allowed. */
	handleAttemptEnd(progress: RequestProgress, grant: HeldGrant, result: AttemptResult): void;
	handle(message: RequestPathMessage, from: InstanceId): void;
	/** Must be called about every 50 ms. */
	tick(): void;
	/** Asks the members to take over the idempotency keys that this instance has recorded. */
	announceStop(): void;
};

/** Tells the members that the sender is about to stop. */
export type StopNotice = {readonly kind: 'stop-notice'};

export type RequestPathMessage =
	| CrashOwnerMessage
	| CrashAnswer
	| CrashNotice
	| IdempotencyOwnerMessage
	| IdempotencyAnswer
	| IdempotencySettled
	| StopNotice;

const maxCrashRecords = 10_000;
const defaultPolicies: RequestPathPolicies = {
	createIdempotencyGuard,
	createCrashGuard,
	createRetryPolicy,
};

type SettledCheck = CrashEffects['settled'][number]['check'];

export function createRequestProgress(
	details: RequestDetails,
	workspace: string,
	deadline: number,
): RequestProgress {
	return {
		details,
		workspace,
		deadline,
		attempts: 0,
		runState: 'not-run',
		triedTargets: [],
		triedFailureDomains: [],
		isKeyWithdrawn: false,
	};
}

export function createRequestPath(options: RequestPathOptions): RequestPath {
	const {self, membership, now, send} = options;
	const policies = {...defaultPolicies, ...options.policies};
	const pendingChecks = new Map<CrashTicket, (check: SettledCheck) => void>();
	const pendingClaims = new Map<ClaimTicket, (claim: SettledClaim['claim']) => void>();
	const retryBudget = createRetryBudget();
	const retryPolicy = policies.createRetryPolicy({budget: retryBudget});
	const crashTable = createCrashTable(maxCrashRecords);
	const crashTableSync = createCrashTableSync({self, table: crashTable});
	const crashRegistry = createCrashRegistry({
		self,
		table: crashTable,
		members: () => membership.view(now()).members,
	});
	const crashGuard = policies.createCrashGuard({ownerOf: membership.ownerOf, table: crashTable});
	const idempotencyRegistry = createIdempotencyRegistry({
		shareFractionOf: membership.shareFractionOf,
	});
	const idempotencyGuard = policies.createIdempotencyGuard({ownerOf: membership.ownerOf});

	function applyCrashEffects(effects: CrashEffects): void {
		for (const {ticket, check} of effects.settled) {
			const settle = pendingChecks.get(ticket);
			pendingChecks.delete(ticket);
			settle?.(check);
		}

		send(effects.messages);
	}

	function applyIdempotencyEffects(effects: IdempotencyEffects): void {
		for (const {ticket, claim} of effects.settled) {
			const settle = pendingClaims.get(ticket);
			pendingClaims.delete(ticket);
			settle?.(claim);
		}

		send(effects.messages);
	}

	function endRequest(progress: RequestProgress, end: RequestEnd): void {
		const {claim} = progress;
		if (claim !== undefined) {
			progress.claim = undefined;
			applyIdempotencyEffects(idempotencyGuard.settle(claim, end.runState, now()));
		}

		options.onEnd(progress, end);
	}

	function refuse(progress: RequestProgress, {code, runState}: Pick<Refusal, 'code' | 'runState'>) {
		// A refused retry does not change whether an earlier attempt ran.
		const hasNoEarlierRun = progress.runState === 'not-run';
		endRequest(progress, {
			kind: 'refused',
			code,
			runState: hasNoEarlierRun ? runState : progress.runState,
		});
	}

	function finishTrial(progress: RequestProgress, hasResponse: boolean): void {
		if (progress.trial !== undefined) {
			applyCrashEffects(crashGuard.endTrial(progress.trial, hasResponse, now()));
			progress.trial = undefined;
		}
	}

	function handleCheck(progress: RequestProgress, check: SettledCheck): void {
		if (check.kind === 'refused') {
			refuse(progress, check);
			return;
		}

		progress.trial = check.kind === 'allowed' ? check.trial : undefined;
		options.requestSlot(progress);
	}

	function startAttempt(progress: RequestProgress): void {
		const {details, deadline} = progress;
		const effects = crashGuard.check(details.fingerprint, deadline, now());
		if (effects.check.kind === 'wait') {
			pendingChecks.set(effects.check.ticket, check => {
				handleCheck(progress, check);
			});
			applyCrashEffects(effects);
		} else {
			applyCrashEffects(effects);
			handleCheck(progress, effects.check);
		}
	}

	function handleClaim(
		progress: RequestProgress,
		ticket: ClaimTicket,
		claim: SettledClaim['claim'],
	) {
		if (claim.kind === 'refused') {
			refuse(progress, claim);
			return;
		}

		progress.claim = ticket;
		progress.startBefore = claim.startBefore;
		startAttempt(progress);
	}

	function decideAfterAttempt(progress: RequestProgress, result: AttemptResult): void {
		const {details, attempts, deadline} = progress;
		const decision = retryPolicy.decide(
			{
				method: details.method,
				idempotentMethods: details.isIdempotent ? [details.method] : [],
				result,
				isWritten: result !== 'connection-failed',
				runState: progress.runState,
				isCommitted: false,
				attempts,
				deadline,
			},
			now(),
		);
		progress.runState = decision.runState;
		if (decision.action === 'retry' && !progress.isKeyWithdrawn) {
			startAttempt(progress);
		} else {
			endRequest(progress, {kind: 'done', result, runState: decision.runState});
		}
	}

	/**
	 * Requests the recorded idempotency keys of each hash bucket that the sender owns now and that
	 * this instance will own when the sender has left.
	 */
	function takeOverKeys(from: InstanceId): void {
		const {members} = membership.view(now());
		const view = createView(members.filter(member => member !== from));
		for (let bucket = 0; bucket < digestBucketCount; bucket++) {
			const resource = `idempotency:${bucket}`;
			if (membership.ownerOf(resource, now()) === from && view.winner(resource) === self) {
				send(idempotencyRegistry.requestHandover(bucket, from, now()));
			}
		}
	}

	const passToCrashRegistry = (message: CrashOwnerMessage, from: InstanceId) => {
		send(crashRegistry.handle(message, from, now()));
	};

	const passToCrashGuard = (message: CrashAnswer | CrashNotice, from: InstanceId) => {
		applyCrashEffects(crashGuard.handle(message, from, now()));
	};

	const passToIdempotencyRegistry = (message: IdempotencyOwnerMessage, from: InstanceId) => {
		send(idempotencyRegistry.handle(message, from, now()));
	};

	const passToIdempotencyGuard = (
		message: IdempotencyAnswer | IdempotencySettled,
		from: InstanceId,
	) => {
		applyIdempotencyEffects(idempotencyGuard.handle(message, from, now()));
	};

	const handlers: MessageHandlers<RequestPathMessage, InstanceId> = {
		'crash-report': passToCrashRegistry,
		'crash-query': passToCrashRegistry,
		'crash-notice-seen': passToCrashRegistry,
		'crash-answer': passToCrashGuard,
		'crash-notice': passToCrashGuard,
		'idempotency-claim': passToIdempotencyRegistry,
		'idempotency-settle': passToIdempotencyRegistry,
		'idempotency-handover-ask': passToIdempotencyRegistry,
		'idempotency-handover': passToIdempotencyRegistry,
		'idempotency-answer': passToIdempotencyGuard,
		'idempotency-settled': passToIdempotencyGuard,
		'stop-notice'(_notice, from) {
			takeOverKeys(from);
		},
	};

	return {
		start(progress) {
			const {details, workspace, deadline} = progress;
			retryBudget.countRequest();
			if (details.isIdempotent || details.idempotencyKey === undefined) {
				startAttempt(progress);
				return;
			}

			const effects = idempotencyGuard.claim(
				{workspace, key: details.idempotencyKey, deadline},
				now(),
			);
			pendingClaims.set(effects.ticket, claim => {
				handleClaim(progress, effects.ticket, claim);
			});
			applyIdempotencyEffects(effects);
		},
		handleSlotRefusal(progress) {
			finishTrial(progress, false);
			refuse(progress, {code: 'slots', runState: 'not-run'});
		},
		tryStart(progress, grant, isGrantUsable) {
			const {details, startBefore = Number.POSITIVE_INFINITY, deadline} = progress;
			const time = now();
			if (isGrantUsable && time < startBefore) {
				progress.attempts++;
				return true;
			}

			if (options.isKeyWithdrawn(details.key)) {
				finishTrial(progress, false);
				refuse(progress, {code: 'unknown-key', runState: 'not-run'});
			} else if (time >= deadline || time >= startBefore) {
				finishTrial(progress, false);
				refuse(progress, {code: 'cancelled', runState: 'not-run'});
			} else {
				progress.triedTargets.push(grant.target);
				options.requestSlot(progress);
			}

			return false;
		},
		handleAttemptEnd(progress, grant, result) {
			progress.triedTargets.push(grant.target);
			progress.triedFailureDomains.push(grant.definition.failureDomain);
			if (result !== 'connection-broken') {
				finishTrial(progress, result === 'ok' || result === 'error' || result === 'incomplete');
				decideAfterAttempt(progress, result);
				return;
			}

			const {trial, details} = progress;
			progress.trial = undefined;
			const report = {
				fingerprint: details.fingerprint,
				target: grant.target,
				...(trial !== undefined && {trial}),
			};
			const effects = crashGuard.reportCrash(report, now());
			pendingChecks.set(effects.ticket, () => {
				decideAfterAttempt(progress, result);
			});
			applyCrashEffects(effects);
		},
		handle(message, from) {
			dispatchMessage(handlers, message, from);
		},
		tick() {
			const time = now();
			send(crashTableSync.update(membership.view(time).members, time));
			send(crashRegistry.tick(time));
			applyCrashEffects(crashGuard.tick(time));
			applyIdempotencyEffects(idempotencyGuard.tick(time));
		},
		announceStop() {
			const notice: StopNotice = {kind: 'stop-notice'};
			const {members} = membership.view(now());
			send(members.filter(member => member !== self).map(to => ({to, message: notice})));
		},
	};
}
