/**
 * Runs the membership decisions: sends heartbeats every 500 ms, feeds the platform's list in, and
 * keeps connections to all listed addresses. Other services ask it what has been lent to whom.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Heartbeat, type MembershipMessage} from '@shallotpond/policy-membership/heartbeat';
import {createMembership, type Membership} from '@shallotpond/policy-membership/membership';
import {createPauseDetector} from '@shallotpond/policy-membership/pause-detector';
import {type ListedInstance} from '@shallotpond/policy-membership/roster';
import {heartbeatInterval, lenderLeaseDuration} from '@shallotpond/policy-membership/timing';
import {type Logger} from 'winston';
import {type ConfigurationStore} from './configuration-store.js';
import {type PeerRouter} from './peer-router.js';

export type MembershipService = Service & {
	readonly membership: Membership;
	/** Takes the whole list of the platform. */
	observeInstances(list: readonly ListedInstance[]): void;
	/** Records that the configuration service confirmed the version in force. */
	recordServiceContact(): void;
	/**
	 * Gives up this instance's shares and tells the peers that it stops. `handOver` runs between the
	 * two: the owner of each resource is then already the successor, which gets the state of the
	 * resource before it learns that the shares are its own.
	 */
	leave(handOver: () => void): void;
	/** Whether the wait after a start is over, before which this instance can neither lend nor ask. */
	isLending(now: number): boolean;
};

export type MembershipServiceOptions = {
	readonly clock: Clock;
	readonly configuration: ConfigurationStore;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly seedAddresses: readonly string[];
	/** Milliseconds since the version in force was last known to be the newest. */
	readonly confirmedAgo: (now: number) => number;
};

/** Ordinary delays of a busy event loop are not pauses. */
const pauseTolerance = 500;

/** Of the peers to start with, until the list of the platform names their failure domains. */
const unknownFailureDomain = '';

export function createMembershipService(options: MembershipServiceOptions): MembershipService {
	const {clock, configuration, router, metrics, logger} = options;
	const startedAt = clock.monotonic();
	const pauseGuard = createPauseDetector({interval: heartbeatInterval, tolerance: pauseTolerance});
	let cancelTicks: (() => void) | undefined;
	let viewDigest = '';
	let isOverfull = false;

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

	function isLending(now: number): boolean {
		return now - startedAt > lenderLeaseDuration;
	}

	function reportChanges(now: number): void {
		const {view, exceedsMaxInstances, listedLive} = membership.status(now);
		if (view.digest !== viewDigest) {
			viewDigest = view.digest;
			metrics.count('view-changes');
			logger.info('the view changed', {members: view.members.length});
		}

		// Before the first configuration no limit is known that could be exceeded.
		const maxInstances = configuration.tables?.document.fleet.maxInstances;
		if (maxInstances !== undefined && exceedsMaxInstances !== isOverfull) {
			isOverfull = exceedsMaxInstances;
			const message = isOverfull
				? 'more instances are listed than fleet.maxInstances; rates and slots may be exceeded'
				: 'no more instances are listed than fleet.maxInstances';
			logger.warn(message, {listedLive, maxInstances});
		}
	}

	function tick(): void {
		const now = clock.monotonic();
		const pause = pauseGuard.tick(now);
		if (pause > 0) {
			metrics.count('pauses');
			logger.warn('the process was paused', {milliseconds: Math.round(pause)});
		}

		router.send(membership.tick(now));
		reportChanges(now);
	}

	router.register(['heartbeat', 'handover'], (message: MembershipMessage, from, now) => {
		if (message.from !== from) {
			// The connection proved another identity than the message claims.
			metrics.count('peer-messages-failed');
			return;
		}

		if (message.kind === 'heartbeat') {
			noteEcho(message, from);
		}

		return membership.receive(message, now);
	});

	function noteEcho(heartbeat: Heartbeat, from: InstanceId): void {
		if (heartbeat.echo > 0) {
			router.confirm(from);
		}
	}

	return {
		membership,
		start() {
			router.setPeers(options.seedAddresses);
			// Without an entry no peer is greeted, and the list may be out of reach at the start.
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
		recordServiceContact() {
			membership.recordServiceContact(clock.monotonic());
		},
		leave(handOver) {
			const farewell = membership.leave(clock.monotonic());
			handOver();
			router.send(farewell);
		},
		isLending,
	};
}
