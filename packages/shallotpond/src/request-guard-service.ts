/**
 * Protects targets from individual requests: limits retries, refuses requests that have crashed two
 * targets, and prevents a second run under the same idempotency key.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {
	type AttemptPermit,
	type GrantedIdempotencyClaim,
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
	idempotencyRetention,
	type IdempotencyOwnerMessage,
} from '@shallotpond/policy-requests/idempotency-registry';
import {createRetryBudget} from '@shallotpond/policy-requests/retry-budget';
import {type CurrentConfiguration} from './current-configuration.js';
import {type MembershipService} from './membership-service.js';
import {type Outbox, type PeerRouter} from './peer-router.js';

/**
 * Announces that the sender is about to stop, so that the other members fetch its idempotency
 * keys.
 */
type StopNotice = {readonly kind: 'stop-notice'};

export type RequestGuardService = KernelService & {
	/**
	 * Claims the idempotency key of a request. Waits for the decision of the instance that owns the
	 * key, for at most about 2 s (`claimTimeout`) and not beyond the deadline of the request.
	 */
	claimIdempotencyKey(request: IdempotencyRequest): Promise<GrantedIdempotencyClaim | Refusal>;
	/**
	 * Must be called before each attempt. A request that broke the connection to a target is suspect
	 * for ten minutes, or until a later attempt gets a response. A suspect request waits for the
	 * permission of the instance that owns its fingerprint, which allows one attempt at a time (a
	 * trial); it is refused if no permission arrives by `deadline` (monotonic milliseconds). If a
	 * trial breaks the connection to a second target, the request is blocked: it is refused at once
	 * for ten minutes. All other requests are allowed at once.
	 */
	acquireAttemptPermit(
		fingerprint: () => string,
		deadline: number,
	): Promise<AttemptPermit | Refusal>;
	/** Counts a request of a caller; the budget for retries grows with this count. */
	countRequest(): void;
	/** Takes one retry from the budget; returns false if none is left. */
	takeRetry(): boolean;
	/** Asks the members to take over the idempotency keys that this instance remembers. */
	announceStop(): void;
};

export type RequestGuardServiceOptions = {
	readonly clock: Clock;
	readonly configuration: CurrentConfiguration;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
};

/** Interval at which unanswered messages are resent and expired waits end. */
const tickIntervalMs = 50;
/** Maximum number of suspect fingerprints, and of blocked ones, that this instance remembers. */
const maxCrashRecords = 10_000;

type SettledCheck = Exclude<CrashCheck, {readonly kind: 'wait'}> | {readonly kind: 'recorded'};

export function createRequestGuardService(
	options: RequestGuardServiceOptions,
): RequestGuardService {
	const {clock, configuration, router, metrics} = options;
	const {membership} = options.membership;
	const pendingChecks = new Map<CrashTicket, (check: SettledCheck) => void>();
	const pendingClaims = new Map<ClaimTicket, (claim: SettledClaim['claim']) => void>();
	let cancelTicks: (() => void) | undefined;

	const retryBudget = createRetryBudget();
	const crashTable = createCrashTable(maxCrashRecords);
	const crashRegistry = createCrashRegistry({
		self: router.self,
		table: crashTable,
		members: () => membership.view(clock.monotonic()).members,
	});
	const crashTableSync = createCrashTableSync({self: router.self, table: crashTable});
	const crashGuard = createCrashGuard({ownerOf: membership.ownerOf, table: crashTable});
	const idempotencyRegistry = createIdempotencyRegistry({
		shareFractionOf: membership.shareFractionOf,
		retention: () => configuration.tables?.document.idempotency.retention ?? idempotencyRetention,
		whenUnknown: () => configuration.tables?.document.idempotency.whenUnknown ?? 'refuse',
	});
	const idempotencyGuard = createIdempotencyGuard({ownerOf: membership.ownerOf});

	function applyCrashEffects(effects: CrashEffects): void {
		for (const {ticket, check} of effects.settled) {
			const resolveCheck = pendingChecks.get(ticket);
			pendingChecks.delete(ticket);
			resolveCheck?.(check);
		}

		router.send(effects.messages);
	}

	function applyIdempotencyEffects(effects: IdempotencyEffects): void {
		for (const {ticket, claim} of effects.settled) {
			const resolveClaim = pendingClaims.get(ticket);
			pendingClaims.delete(ticket);
			resolveClaim?.(claim);
		}

		router.send(effects.messages);
	}

	async function waitForCheck(ticket: CrashTicket, effects: CrashEffects): Promise<SettledCheck> {
		const settled = new Promise<SettledCheck>(resolve => {
			pendingChecks.set(ticket, resolve);
		});
		// The ticket must be in `pendingChecks` before the effects are applied, because an owner on this
		// instance replies within this call.
		applyCrashEffects(effects);
		return settled;
	}

	/**
	 * `trial` is the ticket of the attempt if it is a trial of a suspect request. The instance that
	 * owns the fingerprint must then learn how the attempt ended.
	 */
	function createAttemptPermit(
		fingerprint: () => string,
		trial: CrashTicket | undefined,
	): AttemptPermit {
		return {
			kind: 'allowed',
			async reportCrash(target) {
				metrics.count('crashed-targets');
				const report = {
					fingerprint: fingerprint(),
					target,
					...(trial !== undefined && {trial}),
				};
				const effects = crashGuard.reportCrash(report, clock.monotonic());
				await waitForCheck(effects.ticket, effects);
			},
			finish(hasResponse) {
				if (trial !== undefined) {
					applyCrashEffects(crashGuard.endTrial(trial, hasResponse, clock.monotonic()));
				}
			},
		};
	}

	/**
	 * Requests the idempotency keys that this instance will own once the sender has left. Keys are
	 * divided into buckets by their hash, and each bucket has one owner.
	 */
	function requestHandovers(_notice: StopNotice, from: string, now: number): Outbox {
		const {members} = membership.view(now);
		const view = createView(members.filter(member => member !== from));
		const messages: Array<Outbox[number]> = [];
		for (let bucket = 0; bucket < digestBucketCount; bucket++) {
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
			applyCrashEffects(crashGuard.handle(message, from, now));
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
			applyIdempotencyEffects(idempotencyGuard.handle(message, from, now));
			return undefined;
		},
	);
	router.register(['stop-notice'], requestHandovers);

	return {
		start() {
			cancelTicks = clock.every(tickIntervalMs, () => {
				const now = clock.monotonic();
				router.send(crashTableSync.update(membership.view(now).members, now));
				router.send(crashRegistry.tick(now));
				applyCrashEffects(crashGuard.tick(now));
				applyIdempotencyEffects(idempotencyGuard.tick(now));
			});
		},
		stop() {
			cancelTicks?.();
		},
		async claimIdempotencyKey(request) {
			const effects = idempotencyGuard.claim(request, clock.monotonic());
			const {ticket} = effects;
			const settled = new Promise<SettledClaim['claim']>(resolve => {
				pendingClaims.set(ticket, resolve);
			});
			applyIdempotencyEffects(effects);
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
					applyIdempotencyEffects(idempotencyGuard.settle(ticket, state, clock.monotonic()));
				},
			};
		},
		async acquireAttemptPermit(fingerprint, deadline) {
			if (!crashGuard.hasSuspects) {
				return createAttemptPermit(fingerprint, undefined);
			}

			const effects = crashGuard.check(fingerprint(), deadline, clock.monotonic());
			if (effects.check.kind !== 'wait') {
				applyCrashEffects(effects);
				return effects.check.kind === 'refused'
					? effects.check
					: createAttemptPermit(fingerprint, effects.check.trial);
			}

			const check = await waitForCheck(effects.check.ticket, effects);
			if (check.kind === 'refused') {
				metrics.count('crash-refusals');
				return check;
			}

			return createAttemptPermit(fingerprint, check.kind === 'allowed' ? check.trial : undefined);
		},
		countRequest() {
			retryBudget.countRequest();
		},
		takeRetry: () => retryBudget.take(),
		announceStop() {
			const notice: StopNotice = {kind: 'stop-notice'};
			const {members} = membership.view(clock.monotonic());
			router.send(
				members.filter(member => member !== router.self).map(to => ({to, message: notice})),
			);
		},
	};
}
