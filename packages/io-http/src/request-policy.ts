/**
 * What the request path asks of the rest of the daemon. The HTTP code knows nothing of leases,
 * peers or owners: it gets one object with these functions and keeps to their answers.
 */
import {
	type AttemptOutcome,
	type Refusal,
	type RunState,
} from '@shallotpond/kernel/attempt-outcome';
import {
	type RouteDefinition,
	type TargetDefinition,
} from '@shallotpond/configuration/document-schema';
import {type LookupTables} from '@shallotpond/configuration/lookup-tables';
import {type StopSignal} from './stop-signal.js';

export type SlotGrant = {
	readonly kind: 'granted';
	readonly target: TargetDefinition;
	/** Aborts when the grant could not be renewed, or the target must not get the request any more. */
	readonly signal: StopSignal;
	/** Whether the connection may stay open and idle after the answer. */
	readonly keepsConnection: boolean;
	/** What decided the choice, for logs and traces. */
	readonly basis?: Readonly<Record<string, number>>;
	/** Milliseconds for which the connection may have been idle before; undefined for any time. */
	readonly maxIdleTime?: number;
	/** Milliseconds of silence after which an idempotent request may try another target. */
	readonly silenceTimeout?: number;
	/**
	 * Whether the grant is still in force by the clock. Asked just before the first byte is written,
	 * because a process that wakes from a pause can run this code before the timer that aborts.
	 */
	isInForce(): boolean;
	/** Must be called exactly once. */
	release(outcome: AttemptOutcome): void;
};

export type AdmissionRequest = {
	readonly workspace: string;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Aborts when the caller goes away. */
	readonly signal: StopSignal;
};

export type SlotRequest = AdmissionRequest & {
	readonly service: string;
	readonly route: RouteDefinition;
	readonly isIdempotent: boolean;
	/** Targets that this request has tried. */
	readonly excludedTargets: readonly string[];
	/** Failure domains to avoid where another has room. */
	readonly avoidedFailureDomains: readonly string[];
};

export type IdempotencyRequest = {
	readonly workspace: string;
	readonly key: string;
	readonly deadline: number;
};

export type IdempotencyClaim = {
	readonly kind: 'claimed';
	/**
	 * Monotonic milliseconds before which the first byte must be written to a target. A claim that is
	 * used later, after a pause of this process, could have been forgotten by its owner.
	 */
	readonly startBefore: number;
	/** Must be called exactly once. `not-run` frees the key for another try. */
	settle(state: RunState): void;
};

/** Leave for one attempt. Exactly one of its functions must be called when the attempt has ended. */
export type CrashPermit = {
	readonly kind: 'allowed';
	/**
	 * The connection broke after the first byte and before an answer. Resolves when the other
	 * instances know, so that a caller that sends the request again meets the new state.
	 */
	reportCrash(target: string): Promise<void>;
	/** The attempt ended in another way, or was not made. */
	finish(hasAnswer: boolean): void;
};

export type RequestPolicy = {
	/** Undefined until the first configuration has been adopted. */
	tables(): LookupTables | undefined;
	/** Whether the instance reaches neither the configuration service nor any peer. */
	isIsolated(): boolean;
	/**
	 * Whether the target may still get work, just before the first byte; default: the configuration
	 * lists it at this address in a failure domain that is in service.
	 */
	isTargetUsable?(target: TargetDefinition): boolean;
	/** Chooses among the services of a route; default: the route's own service. */
	chooseService?(route: RouteDefinition): string;
	/** Takes one token of the workspace's rate; may wait for a short time. */
	admit(request: AdmissionRequest): Promise<{readonly kind: 'admitted'} | Refusal>;
	/** Waits in the fair queue for a slot at a target. */
	acquireSlot(request: SlotRequest): Promise<SlotGrant | Refusal>;
	/** Claims an idempotency key for the first request that carries it. */
	claimIdempotencyKey(request: IdempotencyRequest): Promise<IdempotencyClaim | Refusal>;
	/**
	 * Asked before each attempt; refuses a request that has crashed targets. `fingerprint` returns a
	 * digest, which is computed only while any request is under suspicion, or after a crash. Waits
	 * while another copy of a suspect request is being tried.
	 */
	acquireCrashPermit(fingerprint: () => string, deadline: number): Promise<CrashPermit | Refusal>;
	/** Counts a real request; the budget for retries and hedges grows with these. */
	countRequest(service: string): void;
	/** Milliseconds after which the caller of a request that did not run should send it again. */
	suggestRetryAfter?(route: RouteDefinition): number;
	/** Takes one retry or hedge from the budget. */
	takeRetry(service: string): boolean;
};
