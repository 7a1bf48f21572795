/**
 * Tracks the peers and their states from the platform's instance list and from heartbeats. The list
 * lags behind the fleet, so a peer becomes a member only through heartbeats; the list determines
 * which addresses to contact, which failure domain an instance is in and which instances are
 * leaving.
 */
import {addressOf, type InstanceId} from '@shallotpond/kernel/instance-id';
import {type ConfigurationReport, type Heartbeat} from './heartbeat.js';
import {type ViewDigest} from './rendezvous.js';
import {leaseDuration} from './timing.js';

/** An entry of the platform's instance list; the address is `<ip>:<peer port>`. */
export type ListedInstance = {
	readonly address: string;
	readonly failureDomain: string;
	readonly state: 'live' | 'leaving';
};

/**
 * `two-way`: heartbeats arrive in both directions. `hears-us-not`: heartbeats of the peer arrive,
 * but echo none that this instance sent within the last `leaseDuration`. `silent`: no heartbeat of
 * the peer has arrived for `leaseDuration`. `leaving`: its heartbeats or the platform's list say
 * so. `gone`: another process has replaced it. `unknown`: the address is listed, but no process at
 * it is known.
 */
export type PeerState = 'unknown' | 'two-way' | 'hears-us-not' | 'silent' | 'leaving' | 'gone';

/** One process at an address. An address has several only while a process is being replaced. */
export type Peer = {
	readonly id: InstanceId;
	readonly address: string;
	/**
	 * Sequence of the first heartbeat that this instance sent after it had received one of the peer.
	 */
	readonly firstOwnSequence: number;
	/** Highest sequence of the heartbeats received from the peer. */
	lastSequence: number;
	/** When the heartbeat with `lastSequence` was received. Monotonic milliseconds. */
	heardAt: number;
	/** Highest sequence of this instance that the peer has echoed. */
	confirmedSequence: number;
	/** Monotonic milliseconds until which heartbeats count as arriving in both directions. */
	twoWayUntil: number;
	/**
	 * Number of successive heartbeats of the peer that each echoed a heartbeat that this instance
	 * sent within the last `leaseDuration`. Returns to 0 after a heartbeat without such an echo, or
	 * once `twoWayUntil` has passed.
	 */
	consecutiveEchoes: number;
	isMember: boolean;
	/**
	 * A heartbeat of the peer reported that the peer is leaving and has given up the shares that were
	 * lent to it.
	 */
	hasRelinquished: boolean;
	/**
	 * The platform's list changed the state of the peer's address to `leaving` after the peer had
	 * become known, and has not listed the address as live since.
	 */
	isListedLeaving: boolean;
	isReplaced: boolean;
	/** The views that the peer's latest heartbeat announces. */
	views: readonly ViewDigest[];
	/**
	 * By digest of a view that heartbeats announce: the sequence of the first heartbeat that carried
	 * the members of the view to this peer.
	 */
	readonly membersFirstSequence: Map<ViewDigest, number>;
	configuration: ConfigurationReport;
};

export type PeerStatus = {
	readonly address: string;
	readonly id: InstanceId | undefined;
	readonly state: PeerState;
};

export type Roster = {
	/** Applies the complete instance list of the platform. */
	observeInstances(list: readonly ListedInstance[]): void;
	/**
	 * Records a heartbeat of a peer. `echoSentAt` is when this instance sent the heartbeat that the
	 * peer echoes, `undefined` if the peer echoes no recent one. `nextSequence` is the sequence of
	 * the next heartbeat of this instance. Returns `undefined` for a heartbeat that is a duplicate or
	 * out of order.
	 */
	recordHeartbeat(
		heartbeat: Heartbeat,
		echoSentAt: number | undefined,
		nextSequence: number,
		now: number,
	): Peer | undefined;
	/**
	 * Removes peers without two-way contact from the members, and forgets peers that have been silent
	 * for `forgetAfterMs`. Linear in the peers.
	 */
	refresh(now: number): void;
	/** Peers that are members of the view. Linear in the peers. */
	members(): InstanceId[];
	peer(id: InstanceId): Peer | undefined;
	peers(): Iterable<Peer>;
	/** Addresses that are listed as live but have no process with two-way contact. */
	unresponsiveAddresses(now: number): string[];
	/** `undefined` while the platform does not list the address. */
	failureDomainOf(id: InstanceId): string | undefined;
	/** Number of instances that the platform lists as live, without this one. */
	liveCount(): number;
	statuses(now: number): PeerStatus[];
	/** Increases with every change of `members`. */
	readonly revision: number;
};

/**
 * Consecutive echoes after which a peer becomes a member, so that a flapping link does not change
 * the views with every heartbeat.
 */
const minEchoesToJoin = 3;

/**
 * Milliseconds without a heartbeat after which a peer is forgotten. Longer than any lease, because
 * the lender needs the time of the last heartbeat until the leases of the peer have ended.
 */
const forgetAfterMs = 10_000;

export function createRoster(self: InstanceId): Roster {
	const ownAddress = addressOf(self);
	const peers = new Map<InstanceId, Peer>();
	let listed = new Map<string, ListedInstance>();
	let revision = 0;

	function peersAt(address: string): Peer[] {
		return [...peers.values()].filter(peer => peer.address === address);
	}

	function setMember(peer: Peer, isMember: boolean): void {
		if (peer.isMember !== isMember) {
			peer.isMember = isMember;
			revision++;
		}
	}

	function endTwoWay(peer: Peer): void {
		peer.consecutiveEchoes = 0;
		setMember(peer, false);
	}

	/**
	 * Marks the other processes at the address as replaced if `echo` proves that `peer` is the latest
	 * process there: this instance sent the echoed heartbeat after it had heard from both processes.
	 * The earlier of the two had ended by then, so its heartbeats, even delayed ones, cannot echo
	 * that heartbeat.
	 */
	function replaceOthers(peer: Peer, echo: number): void {
		if (echo < peer.firstOwnSequence) {
			return;
		}

		for (const other of peersAt(peer.address)) {
			if (other !== peer && !other.isReplaced && echo >= other.firstOwnSequence) {
				other.isReplaced = true;
				setMember(other, false);
			}
		}
	}

	function updateMember(peer: Peer): void {
		const isExcluded = peer.hasRelinquished || peer.isListedLeaving || peer.isReplaced;
		setMember(peer, peer.consecutiveEchoes >= minEchoesToJoin && !isExcluded);
	}

	function createPeer(id: InstanceId, firstOwnSequence: number, now: number): Peer {
		const peer: Peer = {
			id,
			address: addressOf(id),
			firstOwnSequence,
			lastSequence: 0,
			heardAt: now,
			confirmedSequence: 0,
			twoWayUntil: Number.NEGATIVE_INFINITY,
			consecutiveEchoes: 0,
			isMember: false,
			hasRelinquished: false,
			isListedLeaving: false,
			isReplaced: false,
			views: [],
			membersFirstSequence: new Map(),
			configuration: {version: 0, digest: '', confirmedAgo: Number.POSITIVE_INFINITY},
		};
		peers.set(id, peer);
		return peer;
	}

	function recordEcho(peer: Peer, echo: number, echoSentAt: number | undefined, now: number) {
		const twoWayUntil = (echoSentAt ?? Number.NEGATIVE_INFINITY) + leaseDuration;
		if (peer.twoWayUntil <= now || twoWayUntil <= now) {
			endTwoWay(peer);
		}

		if (echoSentAt === undefined) {
			return;
		}

		peer.confirmedSequence = Math.max(peer.confirmedSequence, echo);
		if (twoWayUntil <= now) {
			return;
		}

		peer.twoWayUntil = twoWayUntil;
		peer.consecutiveEchoes++;
		replaceOthers(peer, echo);
	}

	function stateOf(peer: Peer, now: number): PeerState {
		if (peer.isReplaced) {
			return 'gone';
		}

		if (peer.hasRelinquished || peer.isListedLeaving) {
			return 'leaving';
		}

		if (peer.heardAt + leaseDuration <= now) {
			return 'silent';
		}

		return peer.twoWayUntil > now ? 'two-way' : 'hears-us-not';
	}

	return {
		observeInstances(list) {
			const next = new Map(list.map(instance => [instance.address, instance]));
			next.delete(ownAddress);
			for (const peer of peers.values()) {
				const state = next.get(peer.address)?.state;
				const wasLeaving = listed.get(peer.address)?.state === 'leaving';
				// Only the change to `leaving` counts, because a lagging entry can still describe the
				// predecessor of a process that has started at the same address.
				if (state === 'leaving' && !wasLeaving) {
					peer.isListedLeaving = true;
				} else if (state === 'live') {
					peer.isListedLeaving = false;
				}

				updateMember(peer);
			}

			listed = next;
		},
		recordHeartbeat(heartbeat, echoSentAt, nextSequence, now) {
			const known = peers.get(heartbeat.from);
			if (known !== undefined && heartbeat.sequence <= known.lastSequence) {
				return undefined;
			}

			const peer = known ?? createPeer(heartbeat.from, nextSequence, now);
			peer.lastSequence = heartbeat.sequence;
			peer.heardAt = now;
			peer.hasRelinquished ||= heartbeat.leaving;
			peer.views = heartbeat.views;
			peer.configuration = heartbeat.configuration;
			recordEcho(peer, heartbeat.echo, echoSentAt, now);
			updateMember(peer);
			return peer;
		},
		refresh(now) {
			for (const peer of peers.values()) {
				if (peer.twoWayUntil <= now) {
					endTwoWay(peer);
				}

				if (peer.heardAt + forgetAfterMs <= now) {
					peers.delete(peer.id);
				}
			}
		},
		members: () => [...peers.values()].filter(peer => peer.isMember).map(peer => peer.id),
		peer: id => peers.get(id),
		peers: () => peers.values(),
		unresponsiveAddresses(now) {
			const responsive = new Set<string>();
			for (const peer of peers.values()) {
				if (peer.twoWayUntil > now) {
					responsive.add(peer.address);
				}
			}

			return [...listed.values()]
				.filter(({address, state}) => state === 'live' && !responsive.has(address))
				.map(({address}) => address);
		},
		failureDomainOf: id => listed.get(addressOf(id))?.failureDomain,
		liveCount: () => [...listed.values()].filter(({state}) => state === 'live').length,
		statuses(now) {
			const known = new Set([...peers.values()].map(peer => peer.address));
			const unknown = [...listed.keys()].filter(address => !known.has(address));
			return [
				...[...peers.values()].map(peer => ({
					address: peer.address,
					id: peer.id,
					state: stateOf(peer, now),
				})),
				...unknown.map(address => ({address, id: undefined, state: 'unknown' as const})),
			];
		},
		get revision() {
			return revision;
		},
	};
}
