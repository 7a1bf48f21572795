/**
 * The interface between the request path and the rest of the daemon. The HTTP code does not depend
 * on leases, peers or owners: it calls the functions of one policy object and follows their
 * decisions.
 */
import {
	type AttemptOutcome,
	type Refusal,
	type RunState,
	type TargetNotice,
} from '@shallotpond/kernel/attempt-outcome';
import {
	type RouteDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type LookupTables} from '@shallotpond/configuration/lookup-tables';
import {type AbortSignalLike} from './abort-signal.js';

/** A slot: permission for one request in progress at a target, until `release` is called. */
export type SlotGrant = {
	readonly kind: 'granted';
	readonly target: TargetDefinition;
	/** Aborts when the grant could not be renewed or the target must no longer get the request. */
	readonly signal: AbortSignalLike;
	/** Whether the connection may stay open and idle after the response. */
	readonly keepsConnection: boolean;
	/** Values that led to the selection of the target, for logs and traces. */
	readonly basis?: Readonly<Record<string, number>>;
	/** Maximum idle time of a reused connection, milliseconds; undefined for no maximum. */
	readonly maxIdleTime?: number;
	/**
	 * Milliseconds without a response head after which an idempotent request may be sent to another
	 * target.
	 */
	readonly silenceTimeout?: number;
	/**
	 * Whether the grant is still in force by the clock. Checked just before the first byte of the
	 * request is written: after a pause of the process, the write may come before the timer that
	 * aborts `signal`.
	 */
	isInForce(): boolean;
	/** Called when the head of a response of the target contains a notice. */
	recordNotice?(notice: TargetNotice): void;
	/** Must be called exactly once. */
	release(outcome: AttemptOutcome): void;
};

export type AdmissionRequest = {
	readonly workspace: string;
	readonly route: RouteDefinition;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Aborts when the caller disconnects, its key is withdrawn or a stop cancels the request. */
	readonly signal: AbortSignalLike;
};

/** The request may go on. */
export type Admission = {
	readonly kind: 'admitted';
	/** Values on which the decision was based, for logs and traces. */
	readonly basis?: Readonly<Record<string, number>>;
};

export type SlotRequest = AdmissionRequest & {
	readonly service: string;
	readonly isIdempotent: boolean;
	/** Targets that this request has tried, or whose grant it could not use. */
	readonly excludedTargets: readonly string[];
	/** Failure domains to avoid where another one has a free slot. */
	readonly avoidedFailureDomains: readonly string[];
};

export type IdempotencyRequest = {
	readonly workspace: string;
	readonly key: string;
	/** Monotonic milliseconds. */
	readonly deadline: number;
};

export type GrantedIdempotencyClaim = {
	readonly kind: 'claimed';
	/**
	 * Monotonic milliseconds before which the first byte must be written to a target. Later, for
	 * example after a pause of this process, the instance that owns the key may have dropped the
	 * claim.
	 */
	readonly startBefore: number;
	/** Must be called exactly once. `not-run` frees the key for another request. */
	settle(state: RunState): void;
};

/**
 * Permits one attempt. Exactly one of its functions must be called: when the head of a response has
 * arrived, or when the attempt has ended without one.
 */
export type AttemptPermit = {
	readonly kind: 'allowed';
	/**
	 * Reports that the target crashed: the connection broke after the first byte of the request was
	 * written and before the head of a response arrived, and the target kept no new one. Resolves
	 * when the report has been recorded, or after a timeout, so that a retry by the caller is checked
	 * against the report.
	 */
	reportCrash(target: string): Promise<void>;
	/**
	 * Reports that the attempt ended in any other way, or that none was made. `hasRun` tells whether
	 * the target ran the request to a response; a refusal to run it is none.
	 */
	finish(hasRun: boolean): void;
};

/**
 * Decides when a request that is late at one target is hedged, that is sent to a second target while
 * the first attempt is still in progress.
 */
export type HedgingPolicy = {
	/**
	 * Milliseconds after the dispatch of the first attempt at which to call `acquire`; undefined if
	 * the request is not hedged. Called for idempotent requests only.
	 */
	delay(request: SlotRequest): number | undefined;
	/** Returns a slot for the hedge, which is charged to the budget, or the reason for a refusal. */
	acquire(request: SlotRequest): SlotGrant | {readonly kind: 'refused'; readonly reason: string};
	/**
	 * Reports how a granted hedge ended: its response went to the caller, that of the other attempt
	 * did, or it failed before.
	 */
	recordEnd(service: string, end: HedgeEnd): void;
};

export type HedgeEnd = 'won' | 'cancelled' | 'failed';

export type RequestPolicy = {
	/** Undefined until the first configuration has been adopted. */
	tables(): LookupTables | undefined;
	/**
	 * Whether the instance may have missed the withdrawal of a key, for example because it reaches
	 * neither the configuration service nor any peer.
	 */
	isIsolated(): boolean;
	/**
	 * Whether the target may still get requests. Checked when a slot is granted and again just before
	 * the first byte is written. Default: the configuration lists the target at this address in a
	 * failure domain that is in service.
	 */
	isTargetUsable?(target: TargetDefinition): boolean;
	/** Chooses one of the services of a route; default: the route's own service. */
	chooseService?(route: RouteDefinition): string;
	/** Takes one token from the workspace's rate limit; may wait for a short time. */
	admit(request: AdmissionRequest): Promise<Admission | Refusal>;
	/** Waits in the fair queue for a slot at a target. */
	acquireSlot(request: SlotRequest): Promise<SlotGrant | Refusal>;
	/** Claims an idempotency key for the first request that carries it. */
	claimIdempotencyKey(request: IdempotencyRequest): Promise<GrantedIdempotencyClaim | Refusal>;
	/**
	 * Called before each attempt. A request at which a target crashed is suspect; one at which several
	 * did (`maxCrashedTargets` of policy-requests) is refused. Waits while another copy of a suspect
	 * request is in progress, at most until the deadline (monotonic milliseconds). `fingerprint`
	 * computes a digest of the request; it is called only while any request is suspect, or after a
	 * crash.
	 */
	acquireAttemptPermit(
		fingerprint: () => string,
		deadline: number,
	): Promise<AttemptPermit | Refusal>;
	/** Counts a request of a caller; the budget for retries grows with this count. */
	countRequest(service: string): void;
	/** Milliseconds after which the caller should retry a request that did not run. */
	suggestRetryAfter?(route: RouteDefinition): number;
	/** Takes one retry from the budget; false if none is left. */
	takeRetry(service: string): boolean;
	/** Undefined if no request is hedged. */
	readonly hedging?: HedgingPolicy;
};
