/**
 * Guards against members that do not find each other, reports that do not reach every member or are
 * counted twice, and members that are still counted after they stopped or were cut off. Seeds may
 * be gone, each report reaches other failure domains through a relay, and processes restart at the
 * same address.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createFleetMember, type FleetMember} from '../fleet-member.js';
import {
	type FleetMessage,
	type Member,
	type SuspectRequest,
	type TargetReport,
} from '../fleet-message.js';

type Instance = {
	readonly self: Member;
	readonly member: FleetMember;
	readonly received: TargetReport[];
	readonly admitted: Map<string, number>;
	readonly joined: string[];
	/** Targets reported as leaving. */
	readonly leaving: string[];
	/** Fingerprints of requests that other members remember. */
	readonly learned: string[];
	readonly content: {
		suspects?: SuspectRequest[];
		isLeaving?: boolean;
		leavingTargets?: string[];
		targets: TargetReport[];
		workspaces: Map<string, {asked: number; admitted: number}>;
	};
	messagesSent: number;
	/** Messages sent by kind. */
	readonly sentByKind: Map<string, number>;
	/** Reports that came directly from members of the same failure domain. */
	nearReports: number;
};

const domains = ['north', 'south', 'west'];

function createFleet(size: number, seeds: readonly string[]) {
	const random = createSeededRandom(17);
	const instances = new Map<string, Instance>();
	let now = 0;
	/** Whether a datagram arrives. */
	let isDelivered = (_from: string, _to: string) => true;

	function add(address: string, startedAt: number): Instance {
		const self = {
			address,
			failureDomain: domains[instances.size % domains.length]!,
			startedAt,
		};
		const received: TargetReport[] = [];
		const joined: string[] = [];
		const leaving: string[] = [];
		const learned: string[] = [];
		const admitted = new Map<string, number>();
		const content: Instance['content'] = {targets: [], workspaces: new Map()};
		const member = createFleetMember({
			self,
			seeds: () => seeds,
			random,
			takeContent: () => ({
				targets: content.targets.splice(0),
				inFlight: [],
				workspaces: content.workspaces,
				crashes: [],
				leavingTargets: content.leavingTargets ?? [],
				clearedRequests: [],
				configuration: {version: 1, revision: 1, confirmedAgo: 0},
				isLeaving: content.isLeaving ?? false,
			}),
			onTargets: reports => void received.push(...reports),
			onLoad: () => undefined,
			onUsage(total) {
				admitted.set(total.workspace, (admitted.get(total.workspace) ?? 0) + total.admitted);
			},
			onCrashes: () => undefined,
			onClearedRequests: () => undefined,
			suspects: () => content.suspects ?? [],
			onSuspects: suspects => void learned.push(...suspects.map(({fingerprint}) => fingerprint)),
			onLeavingTargets: incarnations => void leaving.push(...incarnations),
			onConfiguration: () => undefined,
			onJoined: ({address: other}) => void joined.push(other),
		});
		const instance: Instance = {
			self,
			member,
			received,
			joined,
			leaving,
			learned,
			admitted,
			content,
			sentByKind: new Map(),
			messagesSent: 0,
			nearReports: 0,
		};
		instances.set(address, instance);
		return instance;
	}

	for (let index = 0; index < size; index++) {
		add(`10.0.0.${index}`, 1);
	}

	function deliver(from: Instance, outgoing: ReturnType<FleetMember['tick']>): void {
		for (const {to, message} of outgoing) {
			from.messagesSent++;
			from.sentByKind.set(message.kind, (from.sentByKind.get(message.kind) ?? 0) + 1);
			const receiver = instances.get(to);
			if (receiver !== undefined && isDelivered(from.self.address, to)) {
				const isOwn = message.from.address === from.self.address;
				const isNear = from.self.failureDomain === receiver.self.failureDomain;
				receiver.nearReports += Number(message.kind === 'report' && isOwn && isNear);
				deliver(receiver, receiver.member.receive(message, now));
			}
		}
	}

	return {
		instances,
		add,
		setDelivery(next: typeof isDelivered) {
			isDelivered = next;
		},
		run(milliseconds: number) {
			for (const end = now + milliseconds; now < end; now += 50) {
				for (const instance of instances.values()) {
					deliver(instance, instance.member.tick(now));
				}
			}
		},
		/** Number of messages of the kind that each instance has sent. */
		countSent: (kind: FleetMessage['kind']) =>
			[...instances.values()].map(({sentByKind}) => sentByKind.get(kind) ?? 0),
		reachableRatio: (address: string) => instances.get(address)!.member.roster.reachableRatio(now),
	};
}

const failure: TargetReport = {
	incarnation: 't@1',
	good: 0,
	bad: 1,
	busy: 0,
	stale: 0,
	unreached: 0,
	latency: 0,
};

describe('members of a fleet', () => {
	test('all members discover each other within 3 s, even if two of three seeds are gone', () => {
		const fleet = createFleet(30, ['10.9.9.8', '10.9.9.9', '10.0.0.4']);
		fleet.run(3000);
		for (const {member} of fleet.instances.values()) {
			expect(member.roster.size).toBe(30);
		}
	});

	test('a failure is reported to every instance of every failure domain with the next tick', () => {
		const fleet = createFleet(30, ['10.0.0.0']);
		fleet.run(4000);
		const instance = fleet.instances.get('10.0.0.7')!;
		instance.content.targets.push(failure);
		instance.member.markUrgent();
		fleet.run(100);
		for (const {self, received} of fleet.instances.values()) {
			expect(received).toEqual(self.address === '10.0.0.7' ? [] : [failure]);
		}
	});

	test('outcomes, late attempts and failures to connect that wait for the next report are added up', () => {
		const fleet = createFleet(6, ['10.0.0.0']);
		fleet.run(4000);
		const instance = fleet.instances.get('10.0.0.1')!;
		const outcome: TargetReport = {
			...failure,
			good: 2,
			stale: 1,
			unreached: 3,
			late: 4,
			latency: 50,
		};
		// The first report is due at once; the other outcomes wait for the next one.
		for (let count = 0; count < 3; count++) {
			instance.content.targets.push(outcome);
			fleet.run(50);
		}

		fleet.run(2000);
		for (const {self, received} of fleet.instances.values()) {
			const sums = (['good', 'bad', 'stale', 'unreached', 'late', 'latency'] as const).map(name =>
				received.reduce((total, report) => total + (report[name] ?? 0), 0),
			);
			const isReporter = self.address === '10.0.0.1';
			expect(sums).toEqual(isReporter ? [0, 0, 0, 0, 0, 0] : [6, 3, 3, 9, 12, 150]);
			expect(received).toHaveLength(isReporter ? 0 : 2);
		}
	});

	test('a leaving target is reported to every instance, although single datagrams are lost', () => {
		const fleet = createFleet(30, ['10.0.0.0']);
		fleet.run(4000);
		const instance = fleet.instances.get('10.0.0.7')!;
		instance.content.leavingTargets = ['t@1'];
		instance.member.markUrgent();
		let sent = 0;
		fleet.setDelivery(() => sent++ % 4 !== 0);
		fleet.run(2500);
		for (const {self, leaving} of fleet.instances.values()) {
			expect(new Set(leaving)).toEqual(new Set(self.address === '10.0.0.7' ? [] : ['t@1']));
		}
	});

	test.each([false, true])(
		'a process that started anew after its wall clock stepped back is a member soon (planned stop: %s)',
		isPlanned => {
			const fleet = createFleet(6, ['10.0.0.0']);
			const step = 5000;
			fleet.instances.delete('10.0.0.5');
			const first = fleet.add('10.0.0.5', 1 + step);
			fleet.run(4000);
			first.content.isLeaving = isPlanned;
			fleet.run(250);
			fleet.instances.delete('10.0.0.5');
			fleet.add('10.0.0.5', 1);
			fleet.run(4500);
			for (const {member, self} of fleet.instances.values()) {
				const known = member.roster.members().find(({address}) => address === '10.0.0.5');
				expect(self.address === '10.0.0.5' ? 1 : known?.startedAt).toBe(1);
			}
		},
	);

	test('every other instance counts an admission once, although reports are repeated', () => {
		const fleet = createFleet(12, ['10.0.0.0']);
		fleet.run(4000);
		const {content} = fleet.instances.get('10.0.0.5')!;
		content.workspaces.set('w', {asked: 1, admitted: 1});
		fleet.run(2500);
		content.workspaces.set('w', {asked: 5, admitted: 4});
		fleet.run(2500);
		for (const {self, admitted} of fleet.instances.values()) {
			expect(admitted.get('w') ?? 0).toBe(self.address === '10.0.0.5' ? 0 : 4);
		}
	});

	test('the first admissions of a workspace count, but not those before the receiver started', () => {
		const fleet = createFleet(12, ['10.0.0.0']);
		fleet.run(4000);
		const {content} = fleet.instances.get('10.0.0.5')!;
		content.workspaces.set('w', {asked: 60, admitted: 50});
		fleet.run(2500);
		fleet.instances.delete('10.0.0.7');
		const late = fleet.add('10.0.0.7', 2);
		fleet.run(2500);
		content.workspaces.set('w', {asked: 63, admitted: 52});
		fleet.run(2500);
		expect(fleet.instances.get('10.0.0.6')!.admitted.get('w')).toBe(52);
		expect(late.admitted.get('w')).toBe(2);
	});

	test('an instance that is cut off counts all others as unreachable, and the others count only that instance as unreachable', () => {
		const fleet = createFleet(12, ['10.0.0.0']);
		fleet.run(4000);
		fleet.setDelivery((from, to) => from !== '10.0.0.5' && to !== '10.0.0.5');
		fleet.run(5000);
		expect(fleet.reachableRatio('10.0.0.5')).toBeCloseTo(1 / 12);
		expect(fleet.reachableRatio('10.0.0.6')).toBeCloseTo(11 / 12);
	});

	test('a restarted process replaces its predecessor', () => {
		const fleet = createFleet(6, ['10.0.0.0']);
		fleet.run(4000);
		fleet.instances.delete('10.0.0.5');
		fleet.add('10.0.0.5', 2);
		fleet.run(2000);
		for (const {member} of fleet.instances.values()) {
			expect(member.roster.size).toBe(6);
		}
	});

	test('a stopping member leaves once, whatever reports follow, and its successor joins', () => {
		const fleet = createFleet(6, ['10.0.0.0']);
		fleet.run(4000);
		const stopping = fleet.instances.get('10.0.0.5')!;
		stopping.content.isLeaving = true;
		for (let report = 0; report < 20; report++) {
			stopping.content.targets.push(failure);
			stopping.member.markUrgent();
			fleet.run(100);
		}

		const other = fleet.instances.get('10.0.0.1')!;
		expect(other.member.roster.size).toBe(5);
		expect(other.received).toHaveLength(20);
		expect(other.joined.filter(address => address === '10.0.0.5')).toHaveLength(1);
		fleet.instances.delete('10.0.0.5');
		fleet.add('10.0.0.5', 2);
		fleet.run(3000);
		expect(other.member.roster.size).toBe(6);
	});

	test.each([99, 198])(
		'with %i busy instances, none gets more than 75 reports a second from its failure domain',
		size => {
			const fleet = createFleet(size, ['10.0.0.0']);
			fleet.run(4000);
			const instances = [...fleet.instances.values()];
			for (const instance of instances) {
				instance.nearReports = 0;
			}

			for (let step = 0; step < 40; step++) {
				for (const {member, content} of instances) {
					member.recordLoadChange();
					content.workspaces.set('w', {asked: step + 1, admitted: step + 1});
				}

				fleet.run(100);
			}

			for (const {nearReports, admitted} of instances) {
				expect(nearReports / 4).toBeLessThan(75);
				// All but the last second of what the others admitted is known.
				expect(admitted.get('w')).toBeGreaterThan((size - 1) * 25);
			}
		},
	);

	test('traffic of an idle instance to other failure domains does not grow with the fleet', () => {
		const sentBy = (size: number) => {
			const fleet = createFleet(size, ['10.0.0.0']);
			fleet.run(10_000);
			const instance = fleet.instances.get('10.0.0.1')!;
			const messagesSent = () => instance.messagesSent;
			instance.messagesSent = 0;
			fleet.setDelivery((_from, to) => fleet.instances.get(to)?.self.failureDomain === 'south');
			fleet.run(10_000);
			return messagesSent() / instance.member.roster.size;
		};

		expect(sentBy(60)).toBeLessThan(sentBy(15) * 1.5);
	});
});

describe('requests that crash targets', () => {
	const suspects = Array.from({length: 25}, (_, index) => ({
		fingerprint: `request-${index}`,
		targets: ['t-1', 't-2', 't-3'],
		expiresIn: 60_000,
	}));

	const sumOf = (counts: readonly number[]) => counts.reduce((sum, count) => sum + count, 0);

	function createInformedFleet(size: number) {
		const fleet = createFleet(size, ['10.0.0.0']);
		fleet.run(8000);
		for (const {content} of fleet.instances.values()) {
			content.suspects = suspects;
		}

		return fleet;
	}

	test('an instance that starts later learns them from a few members within 3 s, also if datagrams are lost', () => {
		const fleet = createInformedFleet(30);
		const random = createSeededRandom(3);
		fleet.setDelivery(() => random() < 0.7);
		const late = fleet.add('10.0.1.1', 8000);
		fleet.run(3000);
		expect(new Set(late.learned)).toEqual(new Set(suspects.map(({fingerprint}) => fingerprint)));
	});

	test('a member that starts asks no more than a few members, and each answer fits into packets', () => {
		const fleet = createInformedFleet(30);
		const before = fleet.countSent('suspects-answer');
		const late = fleet.add('10.0.1.1', 8000);
		fleet.run(10_000);
		expect(late.sentByKind.get('suspects-request')).toBe(2);
		// Two members answer, each with 25 requests in datagrams of 10.
		expect(sumOf(fleet.countSent('suspects-answer')) - sumOf(before)).toBe(6);
	});

	test('members that have just started themselves do not count as informed', () => {
		const fleet = createInformedFleet(4);
		const first = fleet.add('10.0.1.1', 8000);
		const second = fleet.add('10.0.1.2', 8001);
		fleet.setDelivery((from, to) => !(to === '10.0.1.2' && from.startsWith('10.0.0.')));
		fleet.run(1000);
		expect(second.learned).toEqual([]);
		fleet.setDelivery(() => true);
		fleet.run(1500);
		expect(first.learned.length).toBeGreaterThan(0);
		expect(second.learned.length).toBeGreaterThan(0);
	});

	test('a fleet that starts at once stops asking, because nobody remembers', () => {
		const fleet = createFleet(30, ['10.0.0.0']);
		fleet.run(7000);
		const counts = fleet.countSent('suspects-request');
		expect(Math.max(...counts)).toBeLessThanOrEqual(32);
		fleet.run(5000);
		expect(fleet.countSent('suspects-request')).toEqual(counts);
	});
});
