/**
 * Combines the decisions of the gateway into the policy object that the request path uses. Every
 * decision is immediate: a request that cannot be served now is refused with the delay after which
 * a retry makes sense.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {type EventLog} from '@shallotpond/observability/event-log';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type RequestPolicy} from '@shallotpond/io-http/request-policy';
import {type FleetKnowledge} from '@shallotpond/policy-fleet/fleet-knowledge';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type CrashHistory} from '@shallotpond/policy-routing/crash-history';
import {rankOf} from '@shallotpond/policy-routing/rank-admission';
import {drawRetryAfter} from '@shallotpond/policy-routing/retry-after';
import {type LocalRetryBudget} from '@shallotpond/policy-routing/local-retry-budget';
import {type TrafficSplit} from '@shallotpond/policy-routing/traffic-split';
import {
	type RateDecision,
	type WorkspaceRateLimiter,
	type WorkspaceRateLimit,
} from '@shallotpond/policy-routing/workspace-rate-limiter';
import {type CurrentConfiguration} from './current-configuration.js';
import {type HedgingService} from './hedging-service.js';
import {latencyObjectiveOf, type RoutingService} from './routing-service.js';

export type GatewayRequestPolicyOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: CurrentConfiguration;
	readonly routing: RoutingService;
	readonly rateLimiter: WorkspaceRateLimiter;
	readonly retryBudget: LocalRetryBudget;
	readonly trafficSplit: TrafficSplit;
	readonly roster: FleetRoster;
	/** As returned by `createFleetKnowledge`. */
	readonly fleetKnowledge: (now: number) => FleetKnowledge;
	readonly crashes: CrashHistory;
	/** Undefined if no request is hedged. */
	readonly hedging: HedgingService | undefined;
	readonly log: EventLog;
	readonly metrics: Metrics;
};

/** Rounds to the two decimal places that are useful in the log. */
function roundForLog(value: number): number {
	return Math.round(value * 100) / 100;
}

/** Why a request of a workspace above its rate was admitted or refused, for the log. */
function createRankBasis(rank: number, {probability}: RateDecision) {
	return {rank, probability: roundForLog(probability)};
}

function createRateRefusal(
	rate: WorkspaceRateLimit,
	rank: number,
	decision: RateDecision,
	reachableRatio: number,
): Refusal {
	return {
		kind: 'refused',
		code: 'rate-exceeded',
		status: 429,
		detail: 'The workspace has used up its rate',
		runState: 'not-run',
		retryAfter: decision.retryAfter,
		basis: {
			rate: rate.rate,
			tokens: roundForLog(decision.tokens),
			contact: roundForLog(reachableRatio),
			...createRankBasis(rank, decision),
		},
	};
}

/**
 * Number of characters of a request's digest that serve as its fingerprint; more would only make
 * reports longer.
 */
const fingerprintLength = 20;

function shorten(digest: string): string {
	return digest.slice(0, fingerprintLength);
}

const crashingRefusal: Refusal = {
	kind: 'refused',
	code: 'crashes-targets',
	status: 503,
	detail: 'The request has crashed every target that ran it',
	runState: 'not-run',
};

/** Milliseconds in which one instance may try refused requests again, before it is another's turn. */
const trialTurnMs = 4000;
/**
 * Milliseconds from the begin of a turn in which a trial may start, so that its result is known
 * before the next turn.
 */
const trialStartMs = 3000;

export function createGatewayRequestPolicy(options: GatewayRequestPolicyOptions): RequestPolicy {
	const {
		clock,
		random,
		configuration,
		routing,
		rateLimiter,
		retryBudget,
		trafficSplit,
		roster,
		crashes,
		hedging,
		log,
		metrics,
	} = options;
	/**
	 * Whether it is this instance's turn to try requests that crashed targets. Instances whose clocks
	 * or members differ may have the same turn.
	 */
	function hasTrialTurn(): boolean {
		const time = clock.wall().getTime();
		return (
			options.fleetKnowledge(clock.monotonic()) === 'whole' &&
			time % trialTurnMs < trialStartMs &&
			roster.hasTurn(Math.floor(time / trialTurnMs))
		);
	}

	function isRefusedAsCrashing(fingerprint: string): boolean {
		const now = clock.monotonic();
		if (!crashes.isRefused(fingerprint, now)) {
			return false;
		}

		if (hasTrialTurn() && crashes.takeTrial(fingerprint, now)) {
			log.write('crashing-request-tried', {fingerprint});
			return false;
		}

		crashes.recordRefusal(fingerprint, now);
		return true;
	}

	return {
		tables: () => configuration.tables,
		isIsolated: configuration.isUncertain,
		chooseService: route => trafficSplit.choose(route),
		isTargetUsable: target => routing.isUsable(target),
		async admit({workspace, route}) {
			const rate = configuration.tables?.document.workspaces[workspace];
			if (rate === undefined) {
				return {kind: 'admitted'};
			}

			const now = clock.monotonic();
			const rank = rankOf(route);
			const decision = rateLimiter.admit(workspace, rate, now, rank);
			const result = decision.isAdmitted ? 'admitted' : 'refused';
			metrics.count('rate-decisions', 1, {rank: String(rank), result});
			if (!decision.isAdmitted) {
				return createRateRefusal(rate, rank, decision, roster.reachableRatio(now));
			}

			const isAboveRate = decision.probability < 1;
			return isAboveRate
				? {kind: 'admitted', basis: createRankBasis(rank, decision)}
				: {kind: 'admitted'};
		},
		acquireSlot: async request => routing.acquire(request),
		claimIdempotencyKey: async () => ({
			kind: 'claimed',
			startBefore: Number.POSITIVE_INFINITY,
			settle() {
				// The platform has no idempotency keys.
			},
		}),
		async acquireAttemptPermit(fingerprint) {
			const needsDigest = crashes.hasSuspects;
			if (needsDigest && isRefusedAsCrashing(shorten(fingerprint()))) {
				return crashingRefusal;
			}

			return {
				kind: 'allowed',
				async reportCrash(target) {
					const crash = {fingerprint: shorten(fingerprint()), target};
					crashes.record(crash, clock.monotonic());
					log.write('request-broke-connection', crash);
				},
				finish(hasRun) {
					// Without suspects there is nothing to clear, and no digest is needed.
					if (hasRun && crashes.hasSuspects) {
						crashes.clear(shorten(fingerprint()), clock.monotonic());
					}
				},
			};
		},
		countRequest(service) {
			retryBudget.countRequest(service, clock.monotonic());
			hedging?.countRequest(service);
		},
		suggestRetryAfter: route => drawRetryAfter(latencyObjectiveOf(route), random),
		takeRetry: service => retryBudget.take(service, clock.monotonic()),
		hedging,
	};
}
