/**
 * Puts the decisions of the gateway together to the one object that the request path asks. Every
 * answer is given at once: what cannot be served now is refused with the time after which another
 * try makes sense.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {type RequestPolicy} from '@shallotpond/io-http/request-policy';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type RetryAllowance} from '@shallotpond/policy-routing/retry-allowance';
import {type ServiceSplit} from '@shallotpond/policy-routing/service-split';
import {
	type AllowanceDecision,
	type WorkspaceAllowance,
	type WorkspaceRate,
} from '@shallotpond/policy-routing/workspace-allowance';
import {type ConfigurationService} from './configuration-service.js';
import {type RoutingService} from './routing-service.js';

export type GatewayPolicyOptions = {
	readonly clock: Clock;
	readonly configuration: ConfigurationService;
	readonly routing: RoutingService;
	readonly allowance: WorkspaceAllowance;
	readonly retries: RetryAllowance;
	readonly split: ServiceSplit;
	readonly roster: FleetRoster;
};

/** Digits after the point that a reader of the log needs. */
function round(value: number): number {
	return Math.round(value * 100) / 100;
}

function refuseRate(rate: WorkspaceRate, decision: AllowanceDecision, contact: number): Refusal {
	return {
		kind: 'refused',
		code: 'rate-exceeded',
		status: 429,
		detail: 'The workspace has used up its rate',
		runState: 'not-run',
		retryAfter: decision.retryAfter,
		basis: {rate: rate.rate, tokens: round(decision.tokens), contact: round(contact)},
	};
}

export function createGatewayPolicy(options: GatewayPolicyOptions): RequestPolicy {
	const {clock, configuration, routing, allowance, retries, split, roster} = options;
	return {
		tables: () => configuration.tables,
		isIsolated: configuration.isUncertain,
		chooseService: route => split.choose(route),
		isTargetOffered: target => routing.isOffered(target),
		async admit({workspace}) {
			const rate = configuration.tables?.document.workspaces[workspace];
			if (rate === undefined) {
				return {kind: 'admitted'};
			}

			const now = clock.monotonic();
			const decision = allowance.admit(workspace, rate, now);
			return decision.isAdmitted
				? {kind: 'admitted'}
				: refuseRate(rate, decision, roster.contact(now));
		},
		acquireSlot: async request => routing.acquire(request),
		claimIdempotencyKey: async () => ({
			kind: 'claimed',
			startBefore: Number.POSITIVE_INFINITY,
			settle() {
				// The platform knows no idempotency keys.
			},
		}),
		clearFingerprint: async () => ({
			kind: 'allowed',
			async reportCrash() {
				// The broken connection is evidence against the target; requests are not remembered.
			},
			finish() {
				// Nothing waits for the end of an attempt.
			},
		}),
		countRequest(service) {
			retries.countRequest(service, clock.monotonic());
		},
		takeRetry: service => retries.take(service, clock.monotonic()),
	};
}
