/**
 * Carries out the decisions on how configuration spreads: watches or polls the configuration
 * service, pulls documents from peers, and gives them to peers that ask.
 */
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {type Metrics} from '@shallotpond/observability/metrics';
import {heartbeatInterval} from '@shallotpond/policy-membership/timing';
import {
	createVersionSpread,
	type SpreadDecision,
	type SpreadOutcome,
	type SpreadRequest,
} from '@shallotpond/policy-membership/version-spread';
import {type Logger} from 'winston';
import {type ConfigurationStore} from './configuration-store.js';
import {type MembershipService} from './membership-service.js';
import {type Outbox, type PeerRouter} from './peer-router.js';

type DocumentRequest = {readonly kind: 'document-request'; readonly request: number};
type DocumentAnswer = {
	readonly kind: 'document-answer';
	readonly request: number;
	/** Undefined when the peer has none. */
	readonly document: unknown;
};

export type SpreadService = Service & {
	/** Takes a document that the configuration service served. */
	handleServedDocument(document: ConfigurationDocument): void;
	/** The configuration service has no higher version. */
	handleUnchanged(): void;
	handleServiceFailure(): void;
	/** Whether the service and the peers were asked and the highest version is in force. */
	readonly isSettled: boolean;
	/** Milliseconds since the version in force was last known to be the newest. */
	confirmedAgo(now: number): number;
};

export type SpreadServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: ConfigurationStore;
	readonly router: PeerRouter;
	readonly membership: MembershipService;
	readonly failureDomain: string;
	/** Told whether this instance watches the configuration service for its failure domain. */
	readonly onWatching: (isWatching: boolean) => void;
	/** Asks for a read of the configuration service. */
	readonly onPoll: () => void;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

type Pull = {
	readonly id: number;
	readonly request: SpreadRequest;
	readonly from: InstanceId;
	readonly cancelTimeout: () => void;
};

/** A document of 20 MB crosses a slow link in this time. */
const pullTimeout = 5000;

export function createSpreadService(options: SpreadServiceOptions): SpreadService {
	const {clock, random, configuration, router, membership, metrics, logger} = options;
	const spread = createVersionSpread({
		self: router.self,
		failureDomain: options.failureDomain,
		random,
		startedAt: clock.monotonic(),
	});
	let isWatching = false;
	let isInConflict = false;
	let pull: Pull | undefined;
	let lastPull = 0;
	let cancelTicks: (() => void) | undefined;

	function adopt(document: ConfigurationDocument, source: string): void {
		if (configuration.adopt(document)) {
			metrics.count('configuration-adoptions', 1, {source});
			logger.info('a configuration came into force', {version: document.version, source});
			decide();
		}
	}

	/** The configuration client makes one call at a time, in the mode that it is in. */
	function serviceRequest(): SpreadRequest {
		return isWatching ? {kind: 'watch', after: configuration.version} : {kind: 'poll'};
	}

	function completeServiceCall(outcome: SpreadOutcome): boolean {
		return spread.complete(serviceRequest(), outcome, clock.monotonic());
	}

	function endPull(outcome: SpreadOutcome): boolean {
		const {request, cancelTimeout} = pull!;
		pull = undefined;
		cancelTimeout();
		return spread.complete(request, outcome, clock.monotonic());
	}

	function startPull(request: SpreadRequest & {readonly kind: 'pull'}): void {
		const id = ++lastPull;
		const cancelTimeout = clock.after(pullTimeout, () => {
			if (pull?.id === id) {
				metrics.count('document-pulls-failed');
				endPull({kind: 'failed'});
			}
		});
		pull = {id, request, from: request.from, cancelTimeout};
		const message: DocumentRequest = {kind: 'document-request', request: id};
		router.send([{to: request.from, message}]);
	}

	function setWatching(shouldWatch: boolean): void {
		if (isWatching !== shouldWatch) {
			isWatching = shouldWatch;
			options.onWatching(shouldWatch);
		}
	}

	const decisionHandlers: {
		readonly [Kind in SpreadDecision['kind']]: (
			decision: Extract<SpreadDecision, {readonly kind: Kind}>,
		) => void;
	} = {
		watch() {
			setWatching(true);
		},
		'stop-watch'() {
			setWatching(false);
		},
		poll() {
			options.onPoll();
		},
		pull: startPull,
	};

	/** Two documents with one number are a mistake of the operators, which nothing here can settle. */
	function reportConflict(peers: ReadonlyArray<{version: number; digest: string}>): void {
		const {version, digest} = configuration;
		const hasConflict = peers.some(peer => peer.version === version && peer.digest !== digest);
		if (hasConflict !== isInConflict) {
			isInConflict = hasConflict;
			metrics.count('configuration-conflicts', hasConflict ? 1 : 0);
			logger.warn(
				hasConflict
					? 'a peer has another document with the same version; publish a higher one'
					: 'no peer has another document with the same version',
				{version},
			);
		}
	}

	function decide(): void {
		const now = clock.monotonic();
		const input = {
			members: membership.membership.view(now).members,
			failureDomainOf: membership.membership.failureDomainOf,
			peers: membership.membership.configurations(now),
		};
		reportConflict(input.peers);
		for (const decision of spread.decide(input, now)) {
			(decisionHandlers[decision.kind] as (decision: SpreadDecision) => void)(decision);
		}
	}

	function giveDocument(message: DocumentRequest, from: InstanceId): Outbox {
		const answer: DocumentAnswer = {
			kind: 'document-answer',
			request: message.request,
			document: configuration.tables?.document,
		};
		return [{to: from, message: answer}];
	}

	function takeDocument(message: DocumentAnswer, from: InstanceId): undefined {
		if (pull?.id !== message.request || pull.from !== from) {
			return;
		}

		let document: ConfigurationDocument;
		try {
			document = parseDocument(message.document);
		} catch {
			metrics.count('document-pulls-failed');
			endPull({kind: 'failed'});
			return;
		}

		const {version} = document;
		if (endPull({kind: 'document', version, digest: digestDocument(document)})) {
			adopt(document, 'peer');
		}
	}

	router.register(['document-request'], giveDocument);
	router.register(['document-answer'], takeDocument);

	return {
		start() {
			cancelTicks = clock.every(heartbeatInterval, decide);
		},
		stop() {
			cancelTicks?.();
		},
		handleServedDocument(document) {
			membership.recordServiceContact();
			const {version} = document;
			if (completeServiceCall({kind: 'document', version, digest: digestDocument(document)})) {
				adopt(document, 'configuration-service');
			}
		},
		handleUnchanged() {
			membership.recordServiceContact();
			completeServiceCall({kind: 'unchanged'});
		},
		handleServiceFailure() {
			completeServiceCall({kind: 'failed'});
		},
		get isSettled() {
			return spread.isReady();
		},
		confirmedAgo: now => spread.report(now).confirmedAgo,
	};
}
