/**
 * Enforces the rates of workspaces: grants tokens to peers for the workspaces whose rate this
 * instance owns, and takes a token for each request that this instance receives from a caller.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type AdmissionRequest} from '@shallotpond/io-http/request-policy';
import {type Metrics} from '@shallotpond/observability/metrics';
import {createRateOwner} from '@shallotpond/policy-limits/rate-owner';
import {
	createRateRequester,
	type AdmissionDecision,
	type RateEffects,
	type WaitingRequestId,
} from '@shallotpond/policy-limits/rate-requester';
import {
	type TokenOwnerMessage,
	type TokenRequesterMessage,
} from '@shallotpond/policy-limits/token-messages';
import {type CurrentConfiguration} from './current-configuration.js';
import {type MembershipService} from './membership-service.js';
import {type PeerRouter} from './peer-router.js';

export type RateLimitService = KernelService & {
	/**
	 * Takes a token for a request. If this instance has none left, waits for one from the instance
	 * that owns the rate, and refuses the request after about 250 ms (`tokenWaitTimeout`).
	 */
	admit(request: AdmissionRequest): Promise<{readonly kind: 'admitted'} | Refusal>;
};

export type RateLimitServiceOptions = {
	readonly clock: Clock;
	readonly configuration: CurrentConfiguration;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
};

/** Interval at which due messages are sent and requests that wait for tokens are settled. */
const tickIntervalMs = 5;
/**
 * Requests without a valid key on an open route have no rate. They are counted under a
 * pseudo-workspace, whose name contains a colon, unlike the names of configured workspaces.
 */
const pseudoWorkspaceMarker = ':';

type SettledAdmission = Exclude<AdmissionDecision, {readonly kind: 'wait'}>;
type AdmissionResult = {readonly kind: 'admitted'} | Refusal;

export function createRateLimitService(options: RateLimitServiceOptions): RateLimitService {
	const {clock, configuration, membership, router, metrics} = options;
	const pendingAdmissions = new Map<WaitingRequestId, (admission: SettledAdmission) => void>();
	let cancelTicks: (() => void) | undefined;

	const rateLimitOf = (workspace: string) => configuration.tables?.document.workspaces[workspace];
	const minorityFraction = () => configuration.tables?.document.fleet.minorityFraction ?? 0;

	const rateOwner = createRateOwner({
		shareFractionOf: membership.membership.shareFractionOf,
		limits: rateLimitOf,
		minorityFraction,
	});
	const rateRequester = createRateRequester({
		ownerOf: membership.membership.ownerOf,
		// While the views of the instances differ, an earlier owner may still count the share of this
		// instance as lent to it, so this instance must not use the share itself. An instance without
		// peers does not need its share either, because it owns all resources.
		ownShare: () => 0,
		limits: rateLimitOf,
		minorityFraction,
	});

	function applyEffects(effects: RateEffects): void {
		for (const {request, admission} of effects.settled) {
			const resolveAdmission = pendingAdmissions.get(request);
			pendingAdmissions.delete(request);
			resolveAdmission?.(admission);
		}

		router.send(effects.messages);
	}

	function resultOf(admission: SettledAdmission): AdmissionResult {
		metrics.count('admissions', 1, {result: admission.kind});
		return admission.kind === 'admitted'
			? admission
			: {
					kind: 'refused',
					code: 'rate-exceeded',
					status: 429,
					detail: 'the workspace has used its rate',
					runState: 'not-run',
					retryAfter: admission.retryAfter,
				};
	}

	router.register(['token-ask', 'token-return'], (message: TokenOwnerMessage, from, now) =>
		rateOwner.handle(message, from, now),
	);
	router.register(['token-grant', 'token-refusal'], (message: TokenRequesterMessage, from, now) => {
		applyEffects(rateRequester.handle(message, from, now));
		return undefined;
	});

	return {
		start() {
			cancelTicks = clock.every(tickIntervalMs, () => {
				const now = clock.monotonic();
				router.send(rateOwner.tick(now));
				applyEffects(rateRequester.tick(now));
			});
		},
		stop() {
			cancelTicks?.();
		},
		async admit({workspace, signal}) {
			if (workspace.includes(pseudoWorkspaceMarker)) {
				return {kind: 'admitted'};
			}

			const effects = rateRequester.admit(workspace, clock.monotonic());
			if (effects.admission.kind !== 'wait') {
				applyEffects(effects);
				return resultOf(effects.admission);
			}

			const {request} = effects.admission;
			const admission = new Promise<SettledAdmission>(resolve => {
				pendingAdmissions.set(request, resolve);
				signal.addEventListener('abort', () => {
					pendingAdmissions.delete(request);
					rateRequester.cancel(workspace, request);
					resolve({kind: 'refused', retryAfter: 0});
				});
			});
			// The request must be in `pendingAdmissions` before the effects are applied, because an owner on
			// this instance replies within this call.
			applyEffects(effects);
			return resultOf(await admission);
		},
	};
}
