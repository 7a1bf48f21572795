/**
 * Membership of one instance in the fleet: combines the roster of peers, share lending and
 * heartbeats. It performs no I/O: the caller sends the messages that it returns, passes in the
 * messages that arrive, and calls `tick` every 500 ms.
 */
import {addressOf, type InstanceId} from '@shallotpond/kernel/instance-id';
import {dispatchMessage, type MessageHandlers} from '@shallotpond/kernel/message-handlers';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {
	type ConfigurationReport,
	type ShareHandover,
	type Heartbeat,
	type HeartbeatHolding,
	type MembershipMessage,
	type ViewMembers,
} from './heartbeat.js';
import {createView, type View, type ViewDigest} from './rendezvous.js';
import {createRoster, type ListedInstance, type Peer, type PeerStatus} from './roster.js';
import {type OwnerLookup, type ShareFractionLookup} from './share-fraction.js';
import {createShareLender} from './share-lender.js';
import {createShareOwner} from './share-owner.js';
import {isolationTimeout, leaseDuration} from './timing.js';

/**
 * The last configuration report of a peer with which heartbeats arrive in both directions;
 * `confirmedAgo` includes the time since the report arrived.
 */
export type PeerConfigurationReport = ConfigurationReport & {
	readonly from: InstanceId;
	readonly failureDomain: string | undefined;
};

export type MembershipStatus = {
	readonly view: View;
	/**
	 * Number of live views: the current one and earlier ones that leases may still be based on; above
	 * 1 only during a change, and 0 until this instance starts to lend (see share-lender.ts).
	 */
	readonly liveViewCount: number;
	readonly peers: readonly PeerStatus[];
	/**
	 * Number of other instances that the platform lists as live, plus 1 for this one, listed or not.
	 */
	readonly listedLive: number;
	/**
	 * Whether `listedLive` is above `fleet.maxInstances`. The list lags, so it may count instances that
	 * have already been replaced.
	 */
	readonly exceedsMaxInstances: boolean;
	readonly isLeaving: boolean;
};

export type MembershipOptions = {
	readonly self: InstanceId;
	/** Monotonic milliseconds at which this process started. */
	readonly startedAt: number;
	/** `fleet.maxInstances` of the current configuration; at least 1, the same on all instances. */
	readonly maxInstances: () => number;
	/** The configuration to report in heartbeats. */
	readonly configuration: (now: number) => ConfigurationReport;
	/** The holdings to send in the heartbeat to a peer; none by default. */
	readonly holdings?: (to: InstanceId, now: number) => readonly HeartbeatHolding[] | undefined;
	/**
	 * Called with the holdings of each heartbeat that is neither a duplicate nor out of order; with
	 * an empty list if the heartbeat has none.
	 */
	readonly onHoldings?: (
		from: InstanceId,
		holdings: readonly HeartbeatHolding[],
		now: number,
	) => void;
};

export type Membership = {
	readonly self: InstanceId;
	/**
	 * The heartbeats to send now and, after `leave`, the handovers. Called every 500 ms. Linear in
	 * the peers.
	 */
	tick(now: number): Array<OutboundMessage<MembershipMessage>>;
	/** Handles a message; returns the messages to send at once, usually none. */
	receive(message: MembershipMessage, now: number): Array<OutboundMessage<MembershipMessage>>;
	/**
	 * Applies the complete instance list of the platform, which may lag and may contain this
	 * instance.
	 */
	observeInstances(list: readonly ListedInstance[], now: number): void;
	/** Records that the configuration service has responded; see `isIsolated`. */
	recordConfigurationServiceContact(now: number): void;
	/**
	 * Starts a planned stop: gives up all shares permanently, leaves the view and returns the
	 * messages that inform the peers. `tick` must still be called until the process ends. Further
	 * calls of `leave` return nothing.
	 */
	leave(now: number): Array<OutboundMessage<MembershipMessage>>;
	readonly shareFractionOf: ShareFractionLookup;
	readonly ownerOf: OwnerLookup;
	/** The current view: this instance, unless it is leaving, and the peers that are members. */
	view(now: number): View;
	/**
	 * Whether for `isolationTimeout` (10 s) the configuration service has not responded and no peer
	 * has echoed a recent heartbeat of this instance.
	 */
	isIsolated(now: number): boolean;
	/**
	 * The last configuration reports of all peers with which heartbeats arrive in both directions.
	 */
	configurationReports(now: number): PeerConfigurationReport[];
	/** `undefined` while the platform does not list the instance. */
	failureDomainOf(instance: InstanceId): string | undefined;
	status(now: number): MembershipStatus;
};

/**
 * Number of times that each handover is sent, first at `leave` and then with each following tick,
 * in case messages are lost.
 */
const handoverTransmissions = 4;

export function createMembership(options: MembershipOptions): Membership {
	const {self, startedAt, maxInstances, configuration, holdings, onHoldings} = options;
	const ownAddress = addressOf(self);
	const roster = createRoster(self);
	const views = new Map<ViewDigest, View>();
	const owner = createShareOwner({self, maxInstances, viewOf: digest => views.get(digest)});
	const lender = createShareLender({self, startedAt, borrower: id => roster.peer(id)});
	/**
	 * Send times of the heartbeats of the last `leaseDuration`, by sequence. Monotonic milliseconds.
	 */
	const sentTimes = new Map<number, number>();
	let sequence = 0;
	let ownView = createView([self]);
	let viewRevision = roster.revision;
	let lastContact = startedAt;
	let isLeaving = false;
	let handovers: ShareHandover[] = [];
	let handoversLeft = 0;
	let ownListing: ListedInstance | undefined;

	function addView(view: View): void {
		if (!views.has(view.digest)) {
			views.set(view.digest, view);
			owner.invalidateFractions();
		}
	}

	function refreshView(): void {
		if (viewRevision !== roster.revision) {
			viewRevision = roster.revision;
			ownView = createView([...roster.members(), ...(isLeaving ? [] : [self])]);
		}
	}

	/** Updates the current view and the live views, and the lease of this instance to itself. */
	function refreshLending(now: number): void {
		refreshView();
		if (lender.update(ownView, sequence + 1, now)) {
			const live = lender.liveViews();
			for (const view of live) {
				addView(view);
			}

			// The lease to itself needs no end: while this instance is the winner in all live views, it
			// lends its share to no other instance.
			const digests = live.map(view => view.digest);
			owner.recordLease(self, Number.POSITIVE_INFINITY, digests, now);
		}
	}

	function learnViews(viewMembers: readonly ViewMembers[] | undefined): void {
		for (const {digest, members} of viewMembers ?? []) {
			if (!views.has(digest)) {
				const view = createView(members);
				// A digest that does not match its members must not decide who owns a share.
				if (view.digest === digest) {
					addView(view);
				}
			}
		}
	}

	function forgetUnusedViews(): void {
		const used = new Set<ViewDigest>(owner.referencedViews());
		for (const view of lender.liveViews()) {
			used.add(view.digest);
		}

		for (const peer of roster.peers()) {
			for (const digest of peer.views) {
				used.add(digest);
			}
		}

		for (const digest of views.keys()) {
			if (!used.has(digest)) {
				views.delete(digest);
			}
		}
	}

	function forgetOldSendTimes(now: number): void {
		for (const [sent, at] of sentTimes) {
			if (at + leaseDuration > now) {
				break;
			}

			sentTimes.delete(sent);
		}
	}

	/**
	 * The live views whose members must be sent to the peer: the peer does not announce them itself
	 * and has not confirmed that it received their members.
	 */
	function viewMembersFor(peer: Peer): ViewMembers[] {
		const missing: ViewMembers[] = [];
		for (const {digest, members} of lender.liveViews()) {
			const sentBy = peer.membersFirstSequence.get(digest);
			const isConfirmed = sentBy !== undefined && peer.confirmedSequence >= sentBy;
			if (!isConfirmed && !peer.views.includes(digest)) {
				missing.push({digest, members});
				peer.membersFirstSequence.set(digest, sentBy ?? sequence);
			}
		}

		return missing;
	}

	function forgetSentMembers(peer: Peer): void {
		for (const digest of peer.membersFirstSequence.keys()) {
			if (!lender.liveViews().some(view => view.digest === digest)) {
				peer.membersFirstSequence.delete(digest);
			}
		}
	}

	function createHeartbeat(peer: Peer, now: number): Heartbeat {
		forgetSentMembers(peer);
		const viewMembers = viewMembersFor(peer);
		const unknownViews = peer.views.filter(digest => !views.has(digest));
		const held = holdings?.(peer.id, now);
		return {
			kind: 'heartbeat',
			from: self,
			to: peer.id,
			sequence,
			echo: peer.lastSequence,
			views: lender.liveViews().map(view => view.digest),
			...(viewMembers.length > 0 && {viewMembers}),
			...(unknownViews.length > 0 && {unknownViews}),
			configuration: configuration(now),
			leaving: isLeaving,
			...(held !== undefined && held.length > 0 && {holdings: held}),
		};
	}

	/**
	 * A heartbeat to whichever process runs at a listed address with which there is no two-way
	 * contact, to make this instance known there. The heartbeat lends nothing. Its sequence of 0
	 * cannot make the receiver ignore a regular heartbeat that is sent at the same time.
	 */
	function createProbeHeartbeat(address: string, now: number): Heartbeat {
		return {
			kind: 'heartbeat',
			from: self,
			to: address,
			sequence: 0,
			echo: 0,
			views: [],
			configuration: configuration(now),
			leaving: isLeaving,
		};
	}

	function createHeartbeats(now: number): Array<OutboundMessage<MembershipMessage>> {
		sequence++;
		sentTimes.set(sequence, now);
		const messages: Array<OutboundMessage<MembershipMessage>> = [];
		for (const peer of roster.peers()) {
			messages.push({to: peer.id, message: createHeartbeat(peer, now)});
		}

		for (const address of roster.unresponsiveAddresses(now)) {
			messages.push({to: address, message: createProbeHeartbeat(address, now)});
		}

		return messages;
	}

	function prepareHandovers(now: number): ShareHandover[] {
		const lenders = owner.vestedLenders(now);
		owner.relinquish();
		isLeaving = true;
		// Makes `refreshLending` create the view without this instance.
		viewRevision = -1;
		refreshLending(now);
		const digests = new Set(lenders.flatMap(vestedLender => vestedLender.views));
		const namedViews = [...digests]
			.map(digest => views.get(digest))
			.filter(view => view !== undefined);
		const viewMembers = [ownView, ...namedViews].map(({digest, members}) => ({digest, members}));
		return ownView.members.map(to => ({
			kind: 'handover',
			from: self,
			to,
			echo: roster.peer(to)?.lastSequence ?? 0,
			successorView: ownView.digest,
			lenders,
			viewMembers,
		}));
	}

	function outboundHandovers(): Array<OutboundMessage<MembershipMessage>> {
		if (handoversLeft === 0) {
			return [];
		}

		handoversLeft--;
		return handovers.map(message => ({to: message.to, message}));
	}

	function receiveHeartbeat(message: Heartbeat, now: number) {
		const echoSentAt = message.to === self ? sentTimes.get(message.echo) : undefined;
		const wasLeaving = roster.peer(message.from)?.hasRelinquished ?? false;
		const peer = roster.recordHeartbeat(message, echoSentAt, sequence + 1, now);
		if (peer === undefined) {
			return [];
		}

		learnViews(message.viewMembers);
		for (const digest of message.unknownViews ?? []) {
			peer.membersFirstSequence.delete(digest);
		}

		const until = (echoSentAt ?? Number.NEGATIVE_INFINITY) + leaseDuration;
		owner.recordLease(peer.id, until, message.views, now);
		if (until > now) {
			lastContact = Math.max(lastContact, now);
		}

		refreshLending(now);
		onHoldings?.(peer.id, message.holdings ?? [], now);
		// Announces the new view at once, so that the shares that the leaving instance has given up
		// reach their next owners before the next tick.
		return message.leaving && !wasLeaving ? createHeartbeats(now) : [];
	}

	function receiveHandover(message: ShareHandover) {
		const echoSentAt = sentTimes.get(message.echo);
		if (message.to === self && echoSentAt !== undefined) {
			owner.acceptHandover(message, echoSentAt);
			learnViews(message.viewMembers);
		}

		return [];
	}

	const handlers: MessageHandlers<
		MembershipMessage,
		number,
		Array<OutboundMessage<MembershipMessage>>
	> = {
		heartbeat: receiveHeartbeat,
		handover: receiveHandover,
	};

	return {
		self,
		tick(now) {
			roster.refresh(now);
			refreshLending(now);
			forgetOldSendTimes(now);
			forgetUnusedViews();
			owner.prune(now);
			return [...createHeartbeats(now), ...outboundHandovers()];
		},
		receive(message, now) {
			const isAddressee = message.to === self || message.to === ownAddress;
			return isAddressee && message.from !== self ? dispatchMessage(handlers, message, now) : [];
		},
		observeInstances(list, now) {
			ownListing = list.find(({address}) => address === ownAddress);
			roster.observeInstances(list);
			refreshLending(now);
		},
		recordConfigurationServiceContact(now) {
			lastContact = Math.max(lastContact, now);
		},
		leave(now) {
			if (isLeaving) {
				return [];
			}

			handovers = prepareHandovers(now);
			handoversLeft = handoverTransmissions;
			return [...outboundHandovers(), ...createHeartbeats(now)];
		},
		shareFractionOf: owner.shareFractionOf,
		ownerOf: lender.ownerOf,
		view(now) {
			roster.refresh(now);
			refreshLending(now);
			return ownView;
		},
		isIsolated: now => now - lastContact >= isolationTimeout,
		configurationReports(now) {
			return [...roster.peers()]
				.filter(peer => peer.twoWayUntil > now && !peer.isReplaced)
				.map(peer => ({
					...peer.configuration,
					confirmedAgo: peer.configuration.confirmedAgo + now - peer.heardAt,
					from: peer.id,
					failureDomain: roster.failureDomainOf(peer.id),
				}));
		},
		failureDomainOf: instance =>
			addressOf(instance) === ownAddress
				? ownListing?.failureDomain
				: roster.failureDomainOf(instance),
		status(now) {
			const listedLive = roster.liveCount() + 1;
			return {
				view: ownView,
				liveViewCount: lender.liveViews().length,
				peers: roster.statuses(now),
				listedLive,
				exceedsMaxInstances: listedLive > maxInstances(),
				isLeaving,
			};
		},
	};
}
