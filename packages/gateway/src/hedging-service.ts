/**
 * Hedges late idempotent requests: connects the decisions of `policy-routing` with the selection of
 * targets and with the request path, and counts what becomes of the hedges.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type HedgingPolicy, type SlotRequest} from '@shallotpond/io-http/request-policy';
import {type Metrics} from '@shallotpond/observability/metrics';
import {
	createHedgeDecisions,
	type HedgeRefusal,
	type HedgeRequest,
} from '@shallotpond/policy-routing/hedge-decisions';
import {type HedgeLimitOptions} from '@shallotpond/policy-routing/hedge-limit';
import {type LocalRetryBudget} from '@shallotpond/policy-routing/local-retry-budget';
import {type RoutingService} from './routing-service.js';

export type HedgingService = HedgingPolicy & {
	/** Counts a request of a caller; the limit grows with this count. */
	countRequest(service: string): void;
	/** Records how long an attempt took to respond, or for how long it waited in vain. */
	recordLatency(request: SlotRequest, milliseconds: number, end: 'response' | 'given-up'): void;
};

export type HedgingServiceOptions = HedgeLimitOptions & {
	readonly clock: Clock;
	readonly metrics: Pick<Metrics, 'count'>;
	readonly routing: Pick<RoutingService, 'acquireHedge'>;
	readonly retryBudget: Pick<LocalRetryBudget, 'takeSpare'>;
};

function hedgeRequestOf({service, route}: SlotRequest): HedgeRequest {
	return {service, kind: route.isDownload === true ? 'download' : 'other'};
}

export function createHedgingService(options: HedgingServiceOptions): HedgingService {
	const {clock, metrics, routing} = options;
	const decisions = createHedgeDecisions(options);

	function count(service: string, result: string): void {
		metrics.count('hedges', 1, {service, result});
	}

	function refuse(service: string, reason: HedgeRefusal) {
		count(service, reason);
		return {kind: 'refused', reason} as const;
	}

	return {
		countRequest(service) {
			decisions.countRequest(service, clock.monotonic());
		},
		recordLatency(request, milliseconds, end) {
			// Only latencies of requests that can be hedged are compared with each other.
			if (!request.isIdempotent) {
				return;
			}

			const hedgeRequest = hedgeRequestOf(request);
			if (end === 'response') {
				decisions.recordLatency(hedgeRequest, milliseconds, clock.monotonic());
			} else {
				decisions.recordGivenUp(hedgeRequest, milliseconds, clock.monotonic());
			}
		},
		delay: request => decisions.delay(hedgeRequestOf(request), clock.monotonic()),
		acquire(request) {
			const {service} = request;
			const now = clock.monotonic();
			const refusal = decisions.checkLate(hedgeRequestOf(request), request.deadline, now);
			if (refusal !== undefined) {
				return refuse(service, refusal);
			}

			let reason: HedgeRefusal | undefined = 'hedge-no-room';
			const grant = routing.acquireHedge(request, () => {
				reason = decisions.take(service, now);
				return reason === undefined;
			});
			if (grant === undefined) {
				return refuse(service, reason);
			}

			count(service, 'started');
			return grant;
		},
		recordEnd: count,
	};
}
