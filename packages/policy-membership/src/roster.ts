/**
 * Peers and their states, from the platform's list and from heartbeats. The list lags behind
 * reality, so it only says whom to contact and who leaves; heartbeats decide who is a member.
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

export type PeerState = 'unknown' | 'two-way' | 'hears-us-not' | 'silent' | 'leaving' | 'gone';

/** One process on an address. An address has several only while a process is being replaced. */
export type Peer = {
	readonly id: InstanceId;
	readonly address: string;
	/** First own sequence that is sent after the peer was first heard. */
	readonly knownFrom: number;
	lastSequence: number;
	/** When `lastSequence` was heard. */
	heardAt: number;
	/** Highest own sequence that it has echoed. */
	confirmed: number;
	twoWayUntil: number;
	consecutive: number;
	isMember: boolean;
	/** Its own heartbeat says that it leaves; it has given up its shares. */
	hasRelinquished: boolean;
	/** The platform lists it as leaving. */
	isListedLeaving: boolean;
	isReplaced: boolean;
	views: readonly ViewDigest[];
	/** By digest of a live view: the first sequence that carried its members to this peer. */
	readonly membersFirstSequence: Map<ViewDigest, number>;
	configuration: ConfigurationReport;
};

export type PeerStatus = {
	readonly address: string;
	readonly id: InstanceId | undefined;
	readonly state: PeerState;
};

export type Roster = {
	/** Takes the whole list of the platform. */
	observeInstances(list: readonly ListedInstance[]): void;
	/**
	 * Takes a heartbeat. `echoSentAt` is when the echoed own heartbeat was sent, `undefined` when
	 * there is none. Returns `undefined` for a heartbeat that is a duplicate or out of order.
	 */
	recordHeartbeat(
		heartbeat: Heartbeat,
		echoSentAt: number | undefined,
		nextSequence: number,
		now: number,
	): Peer | undefined;
	/** Drops members that are no longer two-way. Linear in the peers; called once per tick. */
	refresh(now: number): void;
	/** Peers that belong to the view. Linear in the peers. */
	members(): InstanceId[];
	peer(id: InstanceId): Peer | undefined;
	peers(): Iterable<Peer>;
	/** Listed addresses at which no process is known to answer. */
	unresponsiveAddresses(now: number): string[];
	/** `undefined` while the platform does not list the address. */
	failureDomainOf(id: InstanceId): string | undefined;
	/** Instances that the platform lists as live. */
	liveCount(): number;
	statuses(now: number): PeerStatus[];
	/** Increases with every change of `members`. */
	readonly revision: number;
};

/** Keeps flapping links from changing views with every heartbeat. */
const joinAfter = 3;

/** Longer than any lease, so that the lender can still ask when the peer was last heard. */
const forgetAfter = 10_000;

export function createRoster(self: InstanceId): Roster {
	const ownAddress = addressOf(self);
	const peers = new Map<InstanceId, Peer>();
	let listed = new Map<string, ListedInstance>();
	let revision = 0;

	function atAddress(address: string): Peer[] {
		return [...peers.values()].filter(peer => peer.address === address);
	}

	function setMember(peer: Peer, isMember: boolean): void {
		if (peer.isMember !== isMember) {
			peer.isMember = isMember;
			revision++;
		}
	}

	function lapse(peer: Peer): void {
		peer.consecutive = 0;
		setMember(peer, false);
	}

	/**
	 * A process that echoes what was sent after another one on its address was first heard has
	 * outlived it. Delayed heartbeats of an earlier process cannot do that.
	 */
	function replaceOthers(peer: Peer, echo: number): void {
		if (echo < peer.knownFrom) {
			return;
		}

		for (const other of atAddress(peer.address)) {
			if (other !== peer && !other.isReplaced && echo >= other.knownFrom) {
				other.isReplaced = true;
				setMember(other, false);
			}
		}
	}

	function updateMember(peer: Peer): void {
		const isExcluded = peer.hasRelinquished || peer.isListedLeaving || peer.isReplaced;
		setMember(peer, peer.consecutive >= joinAfter && !isExcluded);
	}

	function createPeer(id: InstanceId, knownFrom: number, now: number): Peer {
		const peer: Peer = {
			id,
			address: addressOf(id),
			knownFrom,
			lastSequence: 0,
			heardAt: now,
			confirmed: 0,
			twoWayUntil: Number.NEGATIVE_INFINITY,
			consecutive: 0,
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

	function takeEcho(peer: Peer, echo: number, echoSentAt: number | undefined, now: number) {
		const twoWayUntil = (echoSentAt ?? Number.NEGATIVE_INFINITY) + leaseDuration;
		if (peer.twoWayUntil <= now || twoWayUntil <= now) {
			lapse(peer);
		}

		if (echoSentAt === undefined) {
			return;
		}

		peer.confirmed = Math.max(peer.confirmed, echo);
		if (twoWayUntil <= now) {
			return;
		}

		peer.twoWayUntil = twoWayUntil;
		peer.consecutive++;
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
				// Only the change to leaving counts, because the lagging entry can still describe the
				// predecessor of a process that has started in its place.
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
			takeEcho(peer, heartbeat.echo, echoSentAt, now);
			updateMember(peer);
			return peer;
		},
		refresh(now) {
			for (const peer of peers.values()) {
				if (peer.twoWayUntil <= now) {
					lapse(peer);
				}

				if (peer.heardAt + forgetAfter <= now) {
					peers.delete(peer.id);
				}
			}
		},
		members: () => [...peers.values()].filter(peer => peer.isMember).map(peer => peer.id),
		peer: id => peers.get(id),
		peers: () => peers.values(),
		unresponsiveAddresses(now) {
			const answered = new Set<string>();
			for (const peer of peers.values()) {
				if (peer.twoWayUntil > now) {
					answered.add(peer.address);
				}
			}

			return [...listed.values()]
				.filter(({address, state}) => state === 'live' && !answered.has(address))
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
