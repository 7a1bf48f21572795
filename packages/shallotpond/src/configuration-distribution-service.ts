/**
 * Distributes the configuration within the fleet. Carries out the decisions of
 * `ConfigurationDistribution`: watches or polls the configuration service, and pulls documents from
 * peers. Also sends documents to peers that request them.
 */
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {type Metrics} from '@shallotpond/observability/metrics';
import {heartbeatInterval} from '@shallotpond/policy-membership/timing';
import {
	createConfigurationDistribution,
	type ConfigurationReadDecision,
	type ConfigurationReadOutcome,
	type ConfigurationReadRequest,
} from '@shallotpond/policy-membership/configuration-distribution';
import {type Logger} from 'winston';
import {type CurrentConfiguration} from './current-configuration.js';
import {type MembershipService} from './membership-service.js';
import {type Outbox, type PeerRouter} from './peer-router.js';

type DocumentRequest = {readonly kind: 'document-request'; readonly request: number};
type DocumentAnswer = {
	readonly kind: 'document-answer';
	readonly request: number;
	/** Undefined if the sender has not adopted a document yet. */
	readonly document: unknown;
};

export type ConfigurationDistributionService = KernelService & {
	/** Handles a document that was read from the configuration service. */
	handleServedDocument(document: ConfigurationDocument): void;
	/** Called when the configuration service has responded that it has no higher version. */
	handleUnchanged(): void;
	/** Called after a failed call to the configuration service. */
	handleServiceFailure(): void;
	/**
	 * Whether the configuration service and the peers have been asked and the highest version that any
	 * of them reported has been adopted. Never becomes false again.
	 */
	readonly hasInitialConfiguration: boolean;
	/** Milliseconds since the current version was last known to be the newest. */
	confirmedAgo(now: number): number;
};

export type ConfigurationDistributionServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: CurrentConfiguration;
	readonly router: PeerRouter;
	readonly membership: MembershipService;
	readonly failureDomain: string;
	/**
	 * Called when this instance starts or stops watching the configuration service for its failure
	 * domain.
	 */
	readonly onWatching: (isWatching: boolean) => void;
	/** Called when the configuration service must be read. */
	readonly onPoll: () => void;
	readonly metrics: Metrics;
	readonly logger: Logger;
};

type Pull = {
	readonly id: number;
	readonly request: ConfigurationReadRequest;
	readonly from: InstanceId;
	readonly cancelTimeout: () => void;
};

/** Enough for a document of 20 MB over a slow link (32 Mbit/s). */
const pullTimeoutMs = 5000;

export function createConfigurationDistributionService(
	options: ConfigurationDistributionServiceOptions,
): ConfigurationDistributionService {
	const {clock, random, configuration, router, membership, metrics, logger} = options;
	const distribution = createConfigurationDistribution({
		self: router.self,
		failureDomain: options.failureDomain,
		random,
		startedAt: clock.monotonic(),
	});
	let isWatching = false;
	let hasReportedConflict = false;
	let pull: Pull | undefined;
	let lastPullId = 0;
	let cancelTicks: (() => void) | undefined;

	function adopt(document: ConfigurationDocument, source: string): void {
		if (configuration.adopt(document)) {
			metrics.count('configuration-adoptions', 1, {source});
			logger.info('configuration adopted', {version: document.version, source});
			applyDecisions();
		}
	}

	/**
	 * Returns the call to the configuration service that is in progress. The client makes one call at
	 * a time, a watch or a poll.
	 */
	function pendingServiceRequest(): ConfigurationReadRequest {
		return isWatching ? {kind: 'watch', after: configuration.version} : {kind: 'poll'};
	}

	function completeServiceCall(outcome: ConfigurationReadOutcome): boolean {
		return distribution.complete(pendingServiceRequest(), outcome, clock.monotonic());
	}

	function completePull(outcome: ConfigurationReadOutcome): boolean {
		const {request, cancelTimeout} = pull!;
		pull = undefined;
		cancelTimeout();
		return distribution.complete(request, outcome, clock.monotonic());
	}

	function startPull(request: ConfigurationReadRequest & {readonly kind: 'pull'}): void {
		const id = ++lastPullId;
		const cancelTimeout = clock.after(pullTimeoutMs, () => {
			if (pull?.id === id) {
				metrics.count('document-pulls-failed');
				completePull({kind: 'failed'});
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
		readonly [Kind in ConfigurationReadDecision['kind']]: (
			decision: Extract<ConfigurationReadDecision, {readonly kind: Kind}>,
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

	/**
	 * Logs when a peer has a different document with the current version, and when no peer has such a
	 * document any more. This conflict is an operator's mistake that no instance can resolve.
	 */
	function reportConflict(peers: ReadonlyArray<{version: number; digest: string}>): void {
		const {version, digest} = configuration;
		const hasConflict = peers.some(peer => peer.version === version && peer.digest !== digest);
		if (hasConflict !== hasReportedConflict) {
			hasReportedConflict = hasConflict;
			metrics.count('configuration-conflicts', hasConflict ? 1 : 0);
			logger.warn(
				hasConflict
					? 'a peer has a different document with the same version; publish a higher version'
					: 'no peer has a different document with the same version any more',
				{version},
			);
		}
	}

	function applyDecisions(): void {
		const now = clock.monotonic();
		const input = {
			members: membership.membership.view(now).members,
			failureDomainOf: membership.membership.failureDomainOf,
			peers: membership.membership.configurationReports(now),
		};
		reportConflict(input.peers);
		for (const decision of distribution.decide(input, now)) {
			(decisionHandlers[decision.kind] as (decision: ConfigurationReadDecision) => void)(decision);
		}
	}

	function handleDocumentRequest(message: DocumentRequest, from: InstanceId): Outbox {
		const answer: DocumentAnswer = {
			kind: 'document-answer',
			request: message.request,
			document: configuration.tables?.document,
		};
		return [{to: from, message: answer}];
	}

	function handleDocumentAnswer(message: DocumentAnswer, from: InstanceId): undefined {
		if (pull?.id !== message.request || pull.from !== from) {
			return;
		}

		let document: ConfigurationDocument;
		try {
			document = parseDocument(message.document);
		} catch {
			metrics.count('document-pulls-failed');
			completePull({kind: 'failed'});
			return;
		}

		const {version} = document;
		if (completePull({kind: 'document', version, digest: digestDocument(document)})) {
			adopt(document, 'peer');
		}
	}

	router.register(['document-request'], handleDocumentRequest);
	router.register(['document-answer'], handleDocumentAnswer);

	return {
		start() {
			cancelTicks = clock.every(heartbeatInterval, applyDecisions);
		},
		stop() {
			cancelTicks?.();
		},
		handleServedDocument(document) {
			membership.recordConfigurationServiceContact();
			const {version} = document;
			if (completeServiceCall({kind: 'document', version, digest: digestDocument(document)})) {
				adopt(document, 'configuration-service');
			}
		},
		handleUnchanged() {
			membership.recordConfigurationServiceContact();
			completeServiceCall({kind: 'unchanged'});
		},
		handleServiceFailure() {
			completeServiceCall({kind: 'failed'});
		},
		get hasInitialConfiguration() {
			return distribution.isReady();
		},
		confirmedAgo: now => distribution.report(now).confirmedAgo,
	};
}
