/**
 * Combines the services into the one policy object that the request path calls.
 */
import {type RequestPolicy} from '@shallotpond/io-http/request-policy';
import {type Clock} from '@shallotpond/kernel/clock';
import {type CurrentConfiguration} from './current-configuration.js';
import {type MembershipService} from './membership-service.js';
import {type RateLimitService} from './rate-limit-service.js';
import {type RequestGuardService} from './request-guard-service.js';
import {type SlotDispatchService} from './slot-dispatch-service.js';

export type RequestPolicyOptions = {
	readonly clock: Clock;
	readonly configuration: CurrentConfiguration;
	readonly membership: MembershipService;
	readonly rates: RateLimitService;
	readonly slots: SlotDispatchService;
	readonly requests: RequestGuardService;
};

export function createRequestPolicy(options: RequestPolicyOptions): RequestPolicy {
	const {clock, configuration, membership, rates, slots, requests} = options;
	return {
		tables: () => configuration.tables,
		isIsolated: () => membership.membership.isIsolated(clock.monotonic()),
		admit: async request => rates.admit(request),
		acquireSlot: async request => slots.acquire(request),
		claimIdempotencyKey: async request => requests.claimIdempotencyKey(request),
		acquireAttemptPermit: async (fingerprint, deadline) =>
			requests.acquireAttemptPermit(fingerprint, deadline),
		countRequest() {
			requests.countRequest();
		},
		takeRetry: () => requests.takeRetry(),
	};
}
