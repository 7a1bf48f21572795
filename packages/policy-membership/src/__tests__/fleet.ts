/**
 * A fleet of memberships on a fake network, for the tests of this package.
 */
import {createInstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createFakeNetwork} from '@shallotpond/testkit/fake-network';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {type MembershipMessage} from '../heartbeat.js';
import {createMembership, type Membership} from '../membership.js';
import {type ListedInstance} from '../roster.js';
import {heartbeatInterval} from '../timing.js';

export type Member = {
	readonly address: string;
	readonly clock: ManualClock;
	readonly membership: Membership;
};

export type FleetOptions = {
	readonly size: number;
	readonly seed: number;
	/** `fleet.maxInstances`; the size of the fleet by default. */
	readonly maxInstances?: number;
};

export const resources = Array.from({length: 4}, (_, index) => `shard:roster/${index}`);

/** Leases must tolerate clock speeds that differ by up to 1%. */
const speeds = [1, 1.005, 1.01];

export function createFleet({size, seed, maxInstances = size}: FleetOptions) {
	const random = createSeededRandom(seed);
	const network = createFakeNetwork<MembershipMessage>({random});
	const members = new Map<string, Member>();
	const addresses = Array.from({length: size}, (_, index) => `10.0.0.${index + 1}:7400`);
	let incarnation = 0;
	let list: ListedInstance[] = [];

	function send(from: string, messages: ReadonlyArray<OutboundMessage<MembershipMessage>>): void {
		for (const {to, message} of messages) {
			network.send(from, to.split('#', 1)[0]!, message);
		}
	}

	function start(address: string, speed = speeds[Math.floor(random() * speeds.length)]!): Member {
		const clock = createManualClock({start: Math.floor(random() * 1e6), speed});
		const membership = createMembership({
			self: createInstanceId(address, String(incarnation++)),
			startedAt: clock.monotonic(),
			maxInstances: () => maxInstances,
			configuration: () => ({version: 1, digest: 'd', confirmedAgo: 0}),
		});
		membership.observeInstances(list, clock.monotonic());
		clock.after(random() * heartbeatInterval, () => {
			send(address, membership.tick(clock.monotonic()));

			clock.every(heartbeatInterval, () => {
				send(address, membership.tick(clock.monotonic()));
			});
		});
		const member = {address, clock, membership};
		members.set(address, member);
		network.attach(address, {
			clock,
			deliver(message) {
				send(address, membership.receive(message, clock.monotonic()));
			},
		});
		return member;
	}

	function crash(address: string): void {
		network.detach(address);
		members.delete(address);
	}

	function leave(address: string): void {
		const member = members.get(address);
		if (member !== undefined) {
			send(address, member.membership.leave(member.clock.monotonic()));
		}
	}

	function updateList(): void {
		list = addresses.map(address => ({address, failureDomain: 'north', state: 'live'}));
		for (const {clock, membership} of members.values()) {
			membership.observeInstances(list, clock.monotonic());
		}
	}

	/**
	 * Shares of the resource that the running instances count as lent to them, summed; each instance
	 * reads its own clock.
	 */
	function lentShares(resource: string): number {
		let sum = 0;
		for (const {membership, clock} of members.values()) {
			sum += membership.shareFractionOf(resource, clock.monotonic()).current * maxInstances;
		}

		return Math.round(sum);
	}

	/**
	 * For each running instance that owns a part of the resource, the number of shares lent to it.
	 */
	function sharesByOwner(resource: string): number[] {
		return [...members.values()]
			.map(({membership, clock}) => membership.shareFractionOf(resource, clock.monotonic()).current)
			.filter(fraction => fraction > 0)
			.map(fraction => Math.round(fraction * maxInstances));
	}

	return {
		random,
		network,
		members,
		addresses,
		start,
		crash,
		leave,
		updateList,
		lentShares,
		sharesByOwner,
		startAll() {
			updateList();
			for (const address of addresses) {
				start(address);
			}
		},
	};
}

export type Fleet = ReturnType<typeof createFleet>;
