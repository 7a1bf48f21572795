/**
 * Combines the services into the one policy object that the request path calls.
 */
import {type RequestPolicy} from '@shallotpond/io-http/request-policy';
import {type Clock} from '@shallotpond/kernel/clock';
import {type ConfigurationStore} from './configuration-store.js';
import {type MembershipService} from './membership-service.js';
import {type RatesService} from './rates-service.js';
import {type RequestsService} from './requests-service.js';
import {type SlotsService} from './slots-service.js';

export type RequestPolicyOptions = {
	readonly clock: Clock;
	readonly configuration: ConfigurationStore;
	readonly membership: MembershipService;
	readonly rates: RatesService;
	readonly slots: SlotsService;
	readonly requests: RequestsService;
};

export function createRequestPolicy(options: RequestPolicyOptions): RequestPolicy {
	const {clock, configuration, membership, rates, slots, requests} = options;
	return {
		tables: () => configuration.tables,
		isIsolated: () => membership.membership.isIsolated(clock.monotonic()),
		admit: async request => rates.admit(request),
		acquireSlot: async request => slots.acquire(request),
		claimIdempotencyKey: async request => requests.claim(request),
		acquireAttemptPermit: async (fingerprint, deadline) =>
			requests.acquireAttemptPermit(fingerprint, deadline),
		countRequest() {
			requests.countRequest();
		},
		takeRetry: () => requests.takeRetry(),
	};
}
