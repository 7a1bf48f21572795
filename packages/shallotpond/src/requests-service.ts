/**
 * Runs the decisions on single requests: whether one may be tried again, whether it has crashed
 * targets, and whether its idempotency key was used before.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {
	type CrashPermit,
	type IdempotencyClaim,
	type IdempotencyRequest,
} from '@shallotpond/io-http/request-policy';
import {type Metrics} from '@shallotpond/observability/metrics';
import {createView} from '@shallotpond/policy-membership/rendezvous';
import {
	createCrashGuard,
	type CrashCheck,
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
	idempotencyRetention,
	type IdempotencyOwnerMessage,
} from '@shallotpond/policy-requests/idempotency-registry';
import {createRetryBudget} from '@shallotpond/policy-requests/retry-budget';
import {type ConfigurationStore} from './configuration-store.js';
import {type MembershipService} from './membership-service.js';
import {type Outbox, type PeerRouter} from './peer-router.js';

/** Tells the members that the sender is about to stop, so that they fetch the keys it remembers. */
type StopNotice = {readonly kind: 'stop-notice'};

export type RequestsService = Service & {
	claim(request: IdempotencyRequest): Promise<IdempotencyClaim | Refusal>;
	/** Asked before each attempt. */
	acquireCrashPermit(fingerprint: () => string, deadline: number): Promise<CrashPermit | Refusal>;
	countRequest(): void;
	takeRetry(): boolean;
	/** Asks the members to take over the keys that this instance remembers. */
	announceStop(): void;
};

export type RequestsServiceOptions = {
	readonly clock: Clock;
	readonly configuration: ConfigurationStore;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
};

const tickInterval = 50;
const mostCrashRecords = 10_000;

type SettledCheck = Exclude<CrashCheck, {readonly kind: 'wait'}> | {readonly kind: 'recorded'};

export function createRequestsService(options: RequestsServiceOptions): RequestsService {
	const {clock, configuration, router, metrics} = options;
	const {membership} = options.membership;
	const checks = new Map<CrashTicket, (check: SettledCheck) => void>();
	const claims = new Map<ClaimTicket, (claim: SettledClaim['claim']) => void>();
	let cancelTicks: (() => void) | undefined;

	const budget = createRetryBudget();
	const table = createCrashTable(mostCrashRecords);
	const crashRegistry = createCrashRegistry({
		self: router.self,
		table,
		members: () => membership.view(clock.monotonic()).members,
	});
	const crashTableSync = createCrashTableSync({self: router.self, table});
	const crashGuard = createCrashGuard({owner: membership.ownerOf, table});
	const idempotencyRegistry = createIdempotencyRegistry({
		fraction: membership.fraction,
		retention: () => configuration.tables?.document.idempotency.retention ?? idempotencyRetention,
		whenUnknown: () => configuration.tables?.document.idempotency.whenUnknown ?? 'refuse',
	});
	const idempotencyGuard = createIdempotencyGuard({owner: membership.ownerOf});

	function runCrash(turn: CrashEffects): void {
		for (const {ticket, check} of turn.settled) {
			const settle = checks.get(ticket);
			checks.delete(ticket);
			settle?.(check);
		}

		router.send(turn.messages);
	}

	function runClaims(turn: IdempotencyEffects): void {
		for (const {ticket, claim} of turn.settled) {
			const settle = claims.get(ticket);
			claims.delete(ticket);
			settle?.(claim);
		}

		router.send(turn.messages);
	}

	async function untilChecked(ticket: CrashTicket, turn: CrashEffects): Promise<SettledCheck> {
		const settled = new Promise<SettledCheck>(resolve => {
			checks.set(ticket, resolve);
		});
		// Registered first, because an owner on this instance answers within this call.
		runCrash(turn);
		return settled;
	}

	function clearanceOf(fingerprint: () => string, trial: CrashTicket | undefined): CrashPermit {
		return {
			kind: 'allowed',
			async reportCrash(target) {
				metrics.count('crashed-targets');
				const report = {
					fingerprint: fingerprint(),
					target,
					...(trial !== undefined && {trial}),
				};
				const turn = crashGuard.reportCrash(report, clock.monotonic());
				await untilChecked(turn.ticket, turn);
			},
			finish(hasAnswer) {
				if (trial !== undefined) {
					runCrash(crashGuard.endTrial(trial, hasAnswer, clock.monotonic()));
				}
			},
		};
	}

	/** Fetches the keys of each bucket that this instance wins when the sender is gone. */
	function takeOver(_notice: StopNotice, from: string, now: number): Outbox {
		const {members} = membership.view(now);
		const view = createView(members.filter(member => member !== from));
		const messages: Array<Outbox[number]> = [];
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			const resource = `idempotency:${bucket}`;
			if (membership.ownerOf(resource, now) === from && view.winner(resource) === router.self) {
				messages.push(...idempotencyRegistry.requestHandover(bucket, from, now));
			}
		}

		return messages;
	}

	router.register(
		['crash-report', 'crash-query', 'crash-notice-seen'],
		(message: CrashOwnerMessage, from, now) => crashRegistry.handle(message, from, now),
	);
	router.register(
		['crash-answer', 'crash-notice'],
		(message: CrashAnswer | CrashNotice, from, now) => {
			runCrash(crashGuard.handle(message, from, now));
			return undefined;
		},
	);
	router.register(
		['idempotency-claim', 'idempotency-settle', 'idempotency-handover-ask', 'idempotency-handover'],
		(message: IdempotencyOwnerMessage, from, now) => idempotencyRegistry.handle(message, from, now),
	);
	router.register(
		['idempotency-answer', 'idempotency-settled'],
		(message: IdempotencyAnswer | IdempotencySettled, from, now) => {
			runClaims(idempotencyGuard.handle(message, from, now));
			return undefined;
		},
	);
	router.register(['stop-notice'], takeOver);

	return {
		start() {
			cancelTicks = clock.every(tickInterval, () => {
				const now = clock.monotonic();
				router.send(crashTableSync.update(membership.view(now).members, now));
				router.send(crashRegistry.tick(now));
				runCrash(crashGuard.tick(now));
				runClaims(idempotencyGuard.tick(now));
			});
		},
		stop() {
			cancelTicks?.();
		},
		async claim(request) {
			const turn = idempotencyGuard.claim(request, clock.monotonic());
			const {ticket} = turn;
			const settled = new Promise<SettledClaim['claim']>(resolve => {
				claims.set(ticket, resolve);
			});
			runClaims(turn);
			const claim = await settled;
			metrics.count('idempotency-claims', 1, {
				result: claim.kind === 'refused' ? claim.code : claim.kind,
			});
			if (claim.kind === 'refused') {
				return claim;
			}

			return {
				kind: 'claimed',
				startBefore: claim.startBefore,
				settle(state) {
					runClaims(idempotencyGuard.settle(ticket, state, clock.monotonic()));
				},
			};
		},
		async acquireCrashPermit(fingerprint, deadline) {
			if (!crashGuard.hasSuspects) {
				return clearanceOf(fingerprint, undefined);
			}

			const turn = crashGuard.check(fingerprint(), deadline, clock.monotonic());
			if (turn.check.kind !== 'wait') {
				runCrash(turn);
				return turn.check.kind === 'refused'
					? turn.check
					: clearanceOf(fingerprint, turn.check.trial);
			}

			const check = await untilChecked(turn.check.ticket, turn);
			if (check.kind === 'refused') {
				metrics.count('crash-refusals');
				return check;
			}

			return clearanceOf(fingerprint, check.kind === 'allowed' ? check.trial : undefined);
		},
		countRequest() {
			budget.countRequest();
		},
		takeRetry: () => budget.take(),
		announceStop() {
			const notice: StopNotice = {kind: 'stop-notice'};
			const {members} = membership.view(clock.monotonic());
			router.send(
				members.filter(member => member !== router.self).map(to => ({to, message: notice})),
			);
		},
	};
}
