/**
 * Runs the membership protocol of this instance: sends heartbeats every 500 ms, applies the
 * platform's instance list, and keeps connections to all listed addresses. The result is the view:
 * the instances that this one counts as members of the fleet. Each instance lends its share of a
 * resource (such as the rate of a workspace) to one owner; other services find the owners here.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Heartbeat, type MembershipMessage} from '@shallotpond/policy-membership/heartbeat';
import {createMembership, type Membership} from '@shallotpond/policy-membership/membership';
import {createPauseDetector} from '@shallotpond/policy-membership/pause-detector';
import {type ListedInstance} from '@shallotpond/policy-membership/roster';
import {heartbeatInterval, lenderLeaseDuration} from '@shallotpond/policy-membership/timing';
import {type Logger} from 'winston';
import {type CurrentConfiguration} from './current-configuration.js';
import {type PeerRouter} from './peer-router.js';

export type MembershipService = KernelService & {
	readonly membership: Membership;
	/** Applies the complete instance list of the platform. */
	observeInstances(list: readonly ListedInstance[]): void;
	/**
	 * Records a response of the configuration service, after which this instance does not count as
	 * isolated for 10 s (`isolationTimeout`).
	 */
	recordConfigurationServiceContact(): void;
	/**
	 * Gives up this instance's shares, calls `handOver`, and then informs the peers that it is leaving.
	 * When `handOver` runs, the next owner of each resource is already in place in this instance's
	 * view. The next owner must get the state of the resource before it learns that the shares are
	 * lent to it.
	 */
	leave(handOver: () => void): void;
	/**
	 * Whether this process has run for longer than a lease lasts (2,020 ms). Until then, leases of an
	 * earlier process at this address may be in force, so this instance must not lend its shares.
	 */
	canLend(now: number): boolean;
};

export type MembershipServiceOptions = {
	readonly clock: Clock;
	readonly configuration: CurrentConfiguration;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly seedAddresses: readonly string[];
	/** Milliseconds since the current version was last known to be the newest. */
	readonly confirmedAgo: (now: number) => number;
};

/**
 * A tick that is later than this shows a pause of the process. Above the ordinary delays of a busy
 * event loop.
 */
const pauseToleranceMs = 500;

/** Failure domain of a seed peer, until the platform's list gives it one. */
const unknownFailureDomain = '';

export function createMembershipService(options: MembershipServiceOptions): MembershipService {
	const {clock, configuration, router, metrics, logger} = options;
	const startedAt = clock.monotonic();
	const pauseDetector = createPauseDetector({
		interval: heartbeatInterval,
		tolerance: pauseToleranceMs,
	});
	let cancelTicks: (() => void) | undefined;
	let lastViewDigest = '';
	let isOverMaxInstances = false;

	const membership = createMembership({
		self: router.self,
		startedAt,
		maxInstances: () => configuration.tables?.document.fleet.maxInstances ?? 1,
		configuration: now => ({
			version: configuration.version,
			digest: configuration.digest,
			confirmedAgo: options.confirmedAgo(now),
		}),
	});

	function canLend(now: number): boolean {
		return now - startedAt > lenderLeaseDuration;
	}

	function reportChanges(now: number): void {
		const {view, exceedsMaxInstances, listedLive} = membership.status(now);
		if (view.digest !== lastViewDigest) {
			lastViewDigest = view.digest;
			metrics.count('view-changes');
			logger.info('membership view changed', {members: view.members.length});
		}

		// Until the first configuration is adopted, the maximum is unknown.
		const maxInstances = configuration.tables?.document.fleet.maxInstances;
		if (maxInstances !== undefined && exceedsMaxInstances !== isOverMaxInstances) {
			isOverMaxInstances = exceedsMaxInstances;
			const message = isOverMaxInstances
				? 'more instances are listed than fleet.maxInstances; rates and slots may be exceeded'
				: 'the number of listed instances is within fleet.maxInstances again';
			logger.warn(message, {listedLive, maxInstances});
		}
	}

	function tick(): void {
		const now = clock.monotonic();
		const pause = pauseDetector.tick(now);
		if (pause > 0) {
			metrics.count('pauses');
			logger.warn('the process was paused', {milliseconds: Math.round(pause)});
		}

		router.send(membership.tick(now));
		reportChanges(now);
	}

	router.register(['heartbeat', 'handover'], (message: MembershipMessage, from, now) => {
		if (message.from !== from) {
			// The message claims another identity than the one proved on its connection.
			metrics.count('peer-messages-failed');
			return;
		}

		if (message.kind === 'heartbeat') {
			confirmConnection(message, from);
		}

		return membership.receive(message, now);
	});

	/** A heartbeat with an echo (not 0) shows that heartbeats of this instance reach the peer. */
	function confirmConnection(heartbeat: Heartbeat, from: InstanceId): void {
		if (heartbeat.echo > 0) {
			router.recordConfirmation(from);
		}
	}

	return {
		membership,
		start() {
			router.setPeers(options.seedAddresses);
			// Heartbeats go to listed peers only, and the platform's list may be unavailable at the start,
			// so the seed peers serve as the list until it has been read.
			membership.observeInstances(
				options.seedAddresses.map(address => ({
					address,
					failureDomain: unknownFailureDomain,
					state: 'live',
				})),
				clock.monotonic(),
			);
			cancelTicks = clock.every(heartbeatInterval, tick);
			tick();
		},
		stop() {
			cancelTicks?.();
		},
		observeInstances(list) {
			membership.observeInstances(list, clock.monotonic());
			const addresses = list.map(({address}) => address);
			router.setPeers([...options.seedAddresses, ...addresses]);
		},
		recordConfigurationServiceContact() {
			membership.recordConfigurationServiceContact(clock.monotonic());
		},
		leave(handOver) {
			const leaveMessages = membership.leave(clock.monotonic());
			handOver();
			router.send(leaveMessages);
		},
		canLend,
	};
}
