/**
 * Runs the decisions on workspace rates: answers peers for the workspaces that this instance owns,
 * and takes a token for each request that callers bring to this instance.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {type AdmissionRequest} from '@shallotpond/io-http/request-policy';
import {type Metrics} from '@shallotpond/observability/metrics';
import {createRateOwner} from '@shallotpond/policy-limits/rate-owner';
import {
	createRateRequester,
	type Admission,
	type RateEffects,
	type WaitingId,
} from '@shallotpond/policy-limits/rate-requester';
import {
	type OwnerBoundTokenMessage,
	type RequesterBoundTokenMessage,
} from '@shallotpond/policy-limits/token-messages';
import {type ConfigurationStore} from './configuration-store.js';
import {type MembershipService} from './membership-service.js';
import {type PeerRouter} from './peer-router.js';

export type RatesService = Service & {
	admit(request: AdmissionRequest): Promise<{readonly kind: 'admitted'} | Refusal>;
};

export type RatesServiceOptions = {
	readonly clock: Clock;
	readonly configuration: ConfigurationStore;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
};

/** Milliseconds; asks and requests that wait for tokens are served with this delay at most. */
const tickInterval = 5;
/** Requests on open routes have no workspace, and their pseudo-workspaces contain a colon. */
const openRouteMark = ':';

type SettledAdmission = Exclude<Admission, {readonly kind: 'wait'}>;
type Answer = {readonly kind: 'admitted'} | Refusal;

export function createRatesService(options: RatesServiceOptions): RatesService {
	const {clock, configuration, membership, router, metrics} = options;
	const waiting = new Map<WaitingId, (admission: SettledAdmission) => void>();
	let cancelTicks: (() => void) | undefined;

	const limits = (workspace: string) => configuration.tables?.document.workspaces[workspace];
	const minorityFraction = () => configuration.tables?.document.fleet.minorityFraction ?? 0;

	const owner = createRateOwner({
		fraction: membership.membership.fraction,
		limits,
		minorityFraction,
	});
	const requester = createRateRequester({
		owner: membership.membership.ownerOf,
		// While the live views differ, an earlier owner may still count the share of this instance, so it
		// must not be used here. An instance without peers owns its resources itself.
		ownShare: () => 0,
		limits,
		minorityFraction,
	});

	function run(turn: RateEffects): void {
		for (const {request, admission} of turn.settled) {
			const settle = waiting.get(request);
			waiting.delete(request);
			settle?.(admission);
		}

		router.send(turn.messages);
	}

	function answerOf(admission: SettledAdmission): Answer {
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

	router.register(['token-ask', 'token-return'], (message: OwnerBoundTokenMessage, from, now) =>
		owner.handle(message, from, now),
	);
	router.register(
		['token-grant', 'token-refusal'],
		(message: RequesterBoundTokenMessage, from, now) => {
			run(requester.handle(message, from, now));
			return undefined;
		},
	);

	return {
		start() {
			cancelTicks = clock.every(tickInterval, () => {
				const now = clock.monotonic();
				router.send(owner.tick(now));
				run(requester.tick(now));
			});
		},
		stop() {
			cancelTicks?.();
		},
		async admit({workspace, signal}) {
			if (workspace.includes(openRouteMark)) {
				return {kind: 'admitted'};
			}

			const turn = requester.admit(workspace, clock.monotonic());
			if (turn.admission.kind !== 'wait') {
				run(turn);
				return answerOf(turn.admission);
			}

			const {request} = turn.admission;
			const admission = new Promise<SettledAdmission>(resolve => {
				waiting.set(request, resolve);
				signal.addEventListener('abort', () => {
					waiting.delete(request);
					requester.cancel(workspace, request);
					resolve({kind: 'refused', retryAfter: 0});
				});
			});
			// The answer of an owner on this very instance comes within this call.
			run(turn);
			return answerOf(await admission);
		},
	};
}
