/**
 * The steps of a request with a method, as the request path takes them: claim the idempotency key,
 * ask the crash registry, take a slot, and decide after a failure whether to try again. Wired as
 * `requests-service.ts` of the daemon wires them, with callbacks in place of promises.
 */
import {type AttemptResult, type Refusal, type RunState} from '@shallotpond/kernel/attempt-outcome';
import {dispatch, type Handlers} from '@shallotpond/kernel/handlers';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
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
import {bucketCount} from '@shallotpond/policy-requests/fingerprint';
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
import {type FleetMessage} from './fleet-messages.js';

/** What the request path knows of a request beyond its service and workspace. */
export type FleetCall = {
	readonly method: string;
	readonly isIdempotent: boolean;
	readonly idempotencyKey?: string;
	/** Digest of workspace, method, path and body, or any text that stands for them. */
	readonly fingerprint: string;
	/** Name of the caller's key. */
	readonly key: string;
	/** Milliseconds; drawn by the target when it is absent. */
	readonly serviceTime?: number;
};

export type CallProgress = {
	readonly call: FleetCall;
	readonly workspace: string;
	readonly deadline: number;
	attempts: number;
	/** Of all attempts so far. */
	runState: RunState;
	readonly triedTargets: string[];
	readonly triedDomains: string[];
	claim?: ClaimTicket;
	startBefore?: number;
	trial?: CrashTicket;
	isKeyWithdrawn: boolean;
};

export type CallEnd =
	| {readonly kind: 'refused'; readonly code: string; readonly runState: RunState}
	| {readonly kind: 'done'; readonly result: AttemptResult; readonly runState: RunState};

export type FleetCallsOptions = {
	readonly self: InstanceId;
	readonly membership: Membership;
	readonly now: () => number;
	readonly send: (outbox: ReadonlyArray<Outbound<FleetMessage>>) => void;
	/** Asks for a slot; the caller goes on with `slotRefused`, `mayStart` or `attemptEnded`. */
	readonly requestSlot: (progress: CallProgress) => void;
	readonly onEnd: (progress: CallProgress, end: CallEnd) => void;
	readonly isKeyWithdrawn: (key: string) => boolean;
	readonly policies?: Partial<CallPolicies>;
};

/** Replaced by tests that turn a guard off. */
export type CallPolicies = {
	readonly createIdempotencyGuard: typeof createIdempotencyGuard;
	readonly createCrashGuard: typeof createCrashGuard;
	readonly createRetryPolicy: typeof createRetryPolicy;
};

export type FleetCalls = {
	start(progress: CallProgress): void;
	handleSlotRefusal(progress: CallProgress): void;
	/** Whether the first byte may be written now. When not, the call goes on or ends by itself. */
	tryStart(progress: CallProgress, grant: HeldGrant, isGrantUsable: boolean): boolean;
	handleAttemptEnd(progress: CallProgress, grant: HeldGrant, result: AttemptResult): void;
	handle(message: CallMessage, from: InstanceId): void;
	/** Must be called about every 50 ms. */
	tick(): void;
	/** Asks the members to take over the idempotency keys that this instance remembers. */
	announceStop(): void;
};

/** Tells the members that the sender is about to stop. */
export type StopNotice = {readonly kind: 'stop-notice'};

export type CallMessage =
	| CrashOwnerMessage
	| CrashAnswer
	| CrashNotice
	| IdempotencyOwnerMessage
	| IdempotencyAnswer
	| IdempotencySettled
	| StopNotice;

const mostCrashRecords = 10_000;
const defaultPolicies: CallPolicies = {createIdempotencyGuard, createCrashGuard, createRetryPolicy};

type SettledCheck = CrashEffects['settled'][number]['check'];

export function createProgress(call: FleetCall, workspace: string, deadline: number): CallProgress {
	return {
		call,
		workspace,
		deadline,
		attempts: 0,
		runState: 'not-run',
		triedTargets: [],
		triedDomains: [],
		isKeyWithdrawn: false,
	};
}

export function createFleetCalls(options: FleetCallsOptions): FleetCalls {
	const {self, membership, now, send} = options;
	const policies = {...defaultPolicies, ...options.policies};
	const checks = new Map<CrashTicket, (check: SettledCheck) => void>();
	const claims = new Map<ClaimTicket, (claim: SettledClaim['claim']) => void>();
	const budget = createRetryBudget();
	const retries = policies.createRetryPolicy({budget});
	const table = createCrashTable(mostCrashRecords);
	const crashTableSync = createCrashTableSync({self, table});
	const crashRegistry = createCrashRegistry({
		self,
		table,
		members: () => membership.view(now()).members,
	});
	const crashGuard = policies.createCrashGuard({owner: membership.ownerOf, table});
	const idempotencyRegistry = createIdempotencyRegistry({fraction: membership.fraction});
	const idempotencyGuard = policies.createIdempotencyGuard({owner: membership.ownerOf});

	function runCrash(turn: CrashEffects): void {
		for (const {ticket, check} of turn.settled) {
			const settle = checks.get(ticket);
			checks.delete(ticket);
			settle?.(check);
		}

		send(turn.messages);
	}

	function runClaims(turn: IdempotencyEffects): void {
		for (const {ticket, claim} of turn.settled) {
			const settle = claims.get(ticket);
			claims.delete(ticket);
			settle?.(claim);
		}

		send(turn.messages);
	}

	function end(progress: CallProgress, result: CallEnd): void {
		const {claim} = progress;
		if (claim !== undefined) {
			progress.claim = undefined;
			runClaims(idempotencyGuard.settle(claim, result.runState, now()));
		}

		options.onEnd(progress, result);
	}

	function refuse(progress: CallProgress, {code, runState}: Pick<Refusal, 'code' | 'runState'>) {
		// A refusal of a later attempt does not undo an earlier one.
		const isFirst = progress.runState === 'not-run';
		end(progress, {kind: 'refused', code, runState: isFirst ? runState : progress.runState});
	}

	function finishTrial(progress: CallProgress, hasAnswer: boolean): void {
		if (progress.trial !== undefined) {
			runCrash(crashGuard.endTrial(progress.trial, hasAnswer, now()));
			progress.trial = undefined;
		}
	}

	function takeCheck(progress: CallProgress, check: SettledCheck): void {
		if (check.kind === 'refused') {
			refuse(progress, check);
			return;
		}

		progress.trial = check.kind === 'allowed' ? check.trial : undefined;
		options.requestSlot(progress);
	}

	function tryNext(progress: CallProgress): void {
		const {call, deadline} = progress;
		const turn = crashGuard.check(call.fingerprint, deadline, now());
		if (turn.check.kind === 'wait') {
			checks.set(turn.check.ticket, check => {
				takeCheck(progress, check);
			});
			runCrash(turn);
		} else {
			runCrash(turn);
			takeCheck(progress, turn.check);
		}
	}

	function takeClaim(progress: CallProgress, ticket: ClaimTicket, claim: SettledClaim['claim']) {
		if (claim.kind === 'refused') {
			refuse(progress, claim);
			return;
		}

		progress.claim = ticket;
		progress.startBefore = claim.startBefore;
		tryNext(progress);
	}

	function decideNext(progress: CallProgress, result: AttemptResult): void {
		const {call, attempts, deadline} = progress;
		const decision = retries.decide(
			{
				method: call.method,
				idempotentMethods: call.isIdempotent ? [call.method] : [],
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
			tryNext(progress);
		} else {
			end(progress, {kind: 'done', result, runState: decision.runState});
		}
	}

	/** Fetches the keys of each bucket that this instance wins when the sender is gone. */
	function takeOver(from: InstanceId): void {
		const {members} = membership.view(now());
		const view = createView(members.filter(member => member !== from));
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			const resource = `idempotency:${bucket}`;
			if (membership.ownerOf(resource, now()) === from && view.winner(resource) === self) {
				send(idempotencyRegistry.requestHandover(bucket, from, now()));
			}
		}
	}

	const toCrashOwner = (message: CrashOwnerMessage, from: InstanceId) => {
		send(crashRegistry.handle(message, from, now()));
	};

	const toCrashGuard = (message: CrashAnswer | CrashNotice, from: InstanceId) => {
		runCrash(crashGuard.handle(message, from, now()));
	};

	const toIdempotencyOwner = (message: IdempotencyOwnerMessage, from: InstanceId) => {
		send(idempotencyRegistry.handle(message, from, now()));
	};

	const toIdempotencyGuard = (
		message: IdempotencyAnswer | IdempotencySettled,
		from: InstanceId,
	) => {
		runClaims(idempotencyGuard.handle(message, from, now()));
	};

	const handlers: Handlers<CallMessage, InstanceId> = {
		'crash-report': toCrashOwner,
		'crash-query': toCrashOwner,
		'crash-notice-seen': toCrashOwner,
		'crash-answer': toCrashGuard,
		'crash-notice': toCrashGuard,
		'idempotency-claim': toIdempotencyOwner,
		'idempotency-settle': toIdempotencyOwner,
		'idempotency-handover-ask': toIdempotencyOwner,
		'idempotency-handover': toIdempotencyOwner,
		'idempotency-answer': toIdempotencyGuard,
		'idempotency-settled': toIdempotencyGuard,
		'stop-notice'(_notice, from) {
			takeOver(from);
		},
	};

	return {
		start(progress) {
			const {call, workspace, deadline} = progress;
			budget.countRequest();
			if (call.isIdempotent || call.idempotencyKey === undefined) {
				tryNext(progress);
				return;
			}

			const turn = idempotencyGuard.claim({workspace, key: call.idempotencyKey, deadline}, now());
			claims.set(turn.ticket, claim => {
				takeClaim(progress, turn.ticket, claim);
			});
			runClaims(turn);
		},
		handleSlotRefusal(progress) {
			finishTrial(progress, false);
			refuse(progress, {code: 'slots', runState: 'not-run'});
		},
		tryStart(progress, grant, isGrantUsable) {
			const {call, startBefore = Number.POSITIVE_INFINITY, deadline} = progress;
			const time = now();
			if (isGrantUsable && time < startBefore) {
				progress.attempts++;
				return true;
			}

			if (options.isKeyWithdrawn(call.key)) {
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
			progress.triedDomains.push(grant.definition.failureDomain);
			if (result !== 'connection-broken') {
				finishTrial(progress, result === 'ok' || result === 'error' || result === 'incomplete');
				decideNext(progress, result);
				return;
			}

			const {trial, call} = progress;
			progress.trial = undefined;
			const report = {
				fingerprint: call.fingerprint,
				target: grant.target,
				...(trial !== undefined && {trial}),
			};
			const turn = crashGuard.reportCrash(report, now());
			checks.set(turn.ticket, () => {
				decideNext(progress, result);
			});
			runCrash(turn);
		},
		handle(message, from) {
			dispatch(handlers, message, from);
		},
		tick() {
			const time = now();
			send(crashTableSync.update(membership.view(time).members, time));
			send(crashRegistry.tick(time));
			runCrash(crashGuard.tick(time));
			runClaims(idempotencyGuard.tick(time));
		},
		announceStop() {
			const notice: StopNotice = {kind: 'stop-notice'};
			const {members} = membership.view(now());
			send(members.filter(member => member !== self).map(to => ({to, message: notice})));
		},
	};
}
