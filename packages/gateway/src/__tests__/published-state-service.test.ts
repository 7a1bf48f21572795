/**
 * Guards the confirmation that no key was withdrawn. If a response of the store confirms a later
 * time than it can prove, a withdrawn key stays valid for too long. If the confirmation is renewed
 * too late, the instance must refuse valid keys as soon as the store fails.
 */
import {afterEach, beforeEach, describe, expect, test} from '@jest/globals';
import {fetchPublishedChanges} from '@shallotpond/io-fleet/published-exchange';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {noopEventLog} from '@shallotpond/observability/event-log';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createFleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {
	createPublishedStateService,
	type PublishedStateService,
} from '../published-state-service.js';

type Watch = {
	readonly wait: number;
	respond(items: readonly PublishedItem[], revision: number): void;
	loseHistory(): void;
	cut(): void;
};

const item = {key: 'a', value: '1', revision: 5};

describe('following the store', () => {
	let clock: ManualClock;
	let service: PublishedStateService;
	let watches: Watch[];
	let snapshotReads: number;
	let snapshot: {items: readonly PublishedItem[]; revision: number};
	let port: number;
	let taken: PublishedItem[];
	let confirmedAt: number;
	let confirmedOffset: number;
	let wallStep: number;

	async function settle(): Promise<void> {
		for (let step = 0; step < 20; step++) {
			await Promise.resolve();
		}
	}

	async function advance(milliseconds: number): Promise<void> {
		clock.advance(milliseconds);
		await settle();
	}

	beforeEach(async () => {
		const manualClock = createManualClock({start: 1000});
		wallStep = 0;
		clock = {
			...manualClock,
			wall: () => new Date(manualClock.wall().getTime() + wallStep),
			get isPaused() {
				return manualClock.isPaused;
			},
		};
		watches = [];
		snapshotReads = 0;
		snapshot = {items: [item], revision: 5};
		port = await reservePorts();
		taken = [];
		confirmedAt = Number.NEGATIVE_INFINITY;
		const self = {address: '127.0.0.1', failureDomain: 'north', startedAt: 1};
		service = createPublishedStateService({
			clock,
			random: createSeededRandom(1),
			log: noopEventLog,
			metrics: createMetrics(),
			self: self.address,
			failureDomain: self.failureDomain,
			port,
			roster: createFleetRoster({self}),
			store: {
				async readAll() {
					snapshotReads++;
					return snapshot;
				},
				watch: async (_revision, wait, signal) =>
					new Promise((resolve, reject) => {
						signal.addEventListener('abort', () => {
							reject(new Error('stopped'));
						});
						watches.push({
							wait,
							respond(items, revision) {
								resolve({kind: 'changes', items, revision});
							},
							loseHistory() {
								resolve({kind: 'history-gone'});
							},
							cut() {
								reject(new PlatformError('unreachable', 'read ECONNRESET'));
							},
						});
					}),
			},
			receiver: {
				takeSnapshot: () => undefined,
				takeChange(change) {
					taken.push(change);
				},
				retainedItems: () => [],
				takeRetainedItems: () => undefined,
				configurationVersion: () => 0,
				confirm(at, clockOffset) {
					confirmedAt = Math.max(confirmedAt, at);
					confirmedOffset = clockOffset;
				},
				confirmedAgo: () => clock.monotonic() - confirmedAt,
			},
		});
		await service.start?.();
		await settle();
	});

	afterEach(async () => {
		await service.stop?.();
	});

	test('a watch that lasts its full time confirms the time of its end', async () => {
		expect(watches).toHaveLength(1);
		await advance(1800);
		watches[0]!.respond([], 5);
		await settle();
		expect(confirmedAt).toBe(2800);
	});

	test('a watch that ends early confirms only the time at which it was requested', async () => {
		await advance(900);
		watches[0]!.respond([], 5);
		await settle();
		expect(confirmedAt).toBe(1000);
	});

	test('after a change late in a watch the confirmation is renewed soon, so that keys are still accepted if an outage follows', async () => {
		await advance(1500.25);
		watches[0]!.respond([{...item, revision: 6}], 6);
		await settle();
		expect(watches[1]!.wait).toBeLessThanOrEqual(300);
		await advance(watches[1]!.wait);
		watches[1]!.respond([], 6);
		await settle();
		expect(clock.monotonic() - confirmedAt).toBe(0);
		expect(watches[2]!.wait).toBe(1800);
		expect(watches.every(({wait}) => Number.isInteger(wait))).toBe(true);
	});

	test('changes that follow each other closely share a call, and a change does not wait long', async () => {
		for (let change = 0; change < 5; change++) {
			await advance(20);
			watches.at(-1)!.respond([{...item, revision: 6 + change}], 6 + change);
			await settle();
			expect(watches).toHaveLength(change + 1);
			await advance(200);
			expect(watches).toHaveLength(change + 2);
		}
	});

	test('of the versions that a response returns after a pause only the newest is decoded', async () => {
		const other = {key: 'b', value: '1', revision: 7};
		watches[0]!.respond([{...item, revision: 6}, other, {...item, revision: 8}], 8);
		await settle();
		expect(taken).toEqual([{...item, revision: 8}, other]);
	});

	// All watches may be cut at once; nobody read the store for 2.5 s then.
	test('after a watch was cut the store is watched on, and counts as lost after a second failure', async () => {
		watches[0]!.cut();
		await settle();
		await advance(25);
		expect(watches).toHaveLength(2);
		expect(snapshotReads).toBe(1);
		watches[1]!.cut();
		await settle();
		await advance(200);
		expect(snapshotReads).toBe(2);
	});

	// A snapshot for each reader would take the link of the instance for seconds.
	test('after the store dropped its history, other instances get the changes and no snapshot', async () => {
		snapshot = {items: [{...item, revision: 8}], revision: 9};
		watches[0]!.loseHistory();
		await settle();
		const response = await fetchPublishedChanges({
			member: {host: '127.0.0.1', port},
			after: {revision: 5},
			wait: 0,
			timeout: 5000,
			clock: createSystemClock(),
			signal: new AbortController().signal,
		});
		expect(response).toMatchObject({kind: 'changes', items: snapshot.items, revision: 9});
	});

	test('a response that was read after the machine was suspended confirms with the clocks of its request', async () => {
		await advance(1800);
		wallStep = 30_000;
		watches[0]!.respond([], 5);
		await settle();
		expect(confirmedAt).toBe(2800);
		expect(confirmedOffset).toBe(-1000);
	});
});
