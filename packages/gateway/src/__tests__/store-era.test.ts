/**
 * Guards against an instance that keeps the state from before the store came back from an older
 * copy, that mixes the changes of two eras, or that takes an answer of the earlier era as proof
 * that no key was withdrawn.
 */
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createMetrics, type Metrics} from '@shallotpond/observability/metrics';
import {createFleetRoster, type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {
	createPublishedStateService,
	type PublishedStateService,
	type StoreReader,
} from '../published-state-service.js';

type Snapshot = Awaited<ReturnType<StoreReader['readAll']>>;
type Watched = Awaited<ReturnType<StoreReader['watch']>>;

const item = (key: string, revision: number): PublishedItem => ({key, value: 'v', revision});

let clock: ManualClock;
let metrics: Metrics;
let service: PublishedStateService;
let snapshot: Snapshot;
let snapshotReads: number;
let answers: Array<(response: Watched) => void>;
let taken: string[];
let confirmedAt: number;
let roster: FleetRoster;
let events: unknown[];

async function settle(): Promise<void> {
	for (let step = 0; step < 40; step++) {
		await Promise.resolve();
	}
}

async function answer(response: Watched): Promise<void> {
	clock.advance(10);
	answers.at(-1)!(response);
	await settle();
}

beforeEach(async () => {
	clock = createManualClock({start: 1000});
	metrics = createMetrics();
	snapshot = {items: [item('a', 90)], revision: 100, era: 1};
	snapshotReads = 0;
	answers = [];
	events = [];
	taken = [];
	confirmedAt = 0;
	const self = {address: '127.0.0.1', failureDomain: 'north', startedAt: 1};
	roster = createFleetRoster({self});
	service = createPublishedStateService({
		clock,
		random: createSeededRandom(1),
		log: {
			write(event, fields) {
				events.push([event, fields]);
			},
		},
		metrics,
		self: self.address,
		failureDomain: self.failureDomain,
		port: 0,
		roster,
		store: {
			async readAll() {
				snapshotReads++;
				return snapshot;
			},
			watch: async (_revision, _wait, signal) =>
				new Promise((resolve, reject) => {
					answers.push(resolve);
					signal.addEventListener('abort', () => {
						reject(new Error('stopped'));
					});
				}),
		},
		receiver: {
			takeSnapshot(items, _away, isNewEra) {
				taken = [isNewEra ? 'new-era' : 'snapshot', ...items.map(({key}) => key)];
			},
			takeChange({key, revision}) {
				taken.push(`${key}:${revision}`);
			},
			retainedItems: () => [],
			takeRetainedItems: () => undefined,
			configurationVersion: () => 0,
			confirm(at) {
				confirmedAt = Math.max(confirmedAt, at);
			},
			confirmedAgo: () => clock.monotonic() - confirmedAt,
		},
	});
	await service.start?.();
	await settle();
	expect(taken).toEqual(['snapshot', 'a']);
});

afterEach(async () => {
	await service.stop?.();
});

test.each<[string, Watched]>([
	['a watch from a revision that the store does not have', {kind: 'history-gone', era: 2}],
	[
		'a watch that answers across the change',
		{kind: 'changes', items: [item('b', 101)], revision: 101, era: 2},
	],
	[
		'a watch without changes that answers across the change',
		{kind: 'changes', items: [], revision: 50, era: 2},
	],
])('after %s everything is read again, also at a lower revision', async (_case, response) => {
	snapshot = {items: [item('c', 40)], revision: 50, era: 2};
	await answer(response);
	expect(taken).toEqual(['new-era', 'c']);
	expect([service.era, service.revision]).toEqual([2, 50]);
	expect(await metrics.total('store-era-changes')).toBe(1);
	const fields = {before: 1, era: 2, revisionBefore: 100, revision: 50};
	expect(events).toEqual([['store-era-changed', fields]]);
	// A revision that was given out before is given out again.
	await answer({kind: 'changes', items: [item('a', 90)], revision: 90, era: 2});
	expect(taken).toEqual(['new-era', 'c', 'a:90']);
	expect(snapshotReads).toBe(2);
});

test.each<Watched>([
	{kind: 'changes', items: [item('a', 110)], revision: 110, era: 1},
	{kind: 'history-gone', era: 1},
])('an answer of an earlier era ($kind) confirms nothing and changes nothing', async response => {
	const current = {items: [item('c', 40)], revision: 50, era: 2};
	snapshot = current;
	await answer({kind: 'history-gone', era: 2});
	const before = confirmedAt;
	// The next reads get an earlier era as well, until the store is the same for all again.
	snapshot = {items: [item('a', 110)], revision: 110, era: 1};
	await answer(response);
	clock.advance(1000);
	await settle();
	expect(snapshotReads).toBeGreaterThan(2);
	expect(confirmedAt).toBe(before);
	expect(taken).toEqual(['new-era', 'c']);
	snapshot = current;
	clock.advance(1000);
	await settle();
	expect(confirmedAt).toBeGreaterThan(before);
	expect([service.era, service.revision]).toEqual([2, 50]);
});

test.each([
	[1, 0],
	[undefined, 0],
	[2, 1],
])(
	'while the store fails, a member whose era is %s is read in its place %i times',
	async (era, reads) => {
		snapshot = {items: [item('c', 40)], revision: 50, era: 2};
		await answer({kind: 'history-gone', era: 2});
		const member = {address: '127.0.0.9', failureDomain: 'north', startedAt: 1};
		roster.recordMessageFrom(member, clock.monotonic());
		service.recordMemberState({version: 0, revision: 1, era, confirmedAgo: 0}, member);
		// An answer of an earlier era counts as a failure of the store.
		await answer({kind: 'history-gone', era: 1});
		clock.advance(50);
		await settle();
		const rendered = await metrics.render();
		expect(rendered.split('published_reads_total{source="member"}')).toHaveLength(1 + reads);
	},
);

test('answers without an era are taken as before, also once an era is known', async () => {
	await answer({kind: 'changes', items: [item('b', 101)], revision: 101});
	expect(taken).toEqual(['snapshot', 'a', 'b:101']);
	clock.advance(300);
	await settle();
	await answer({kind: 'history-gone'});
	expect(snapshotReads).toBe(2);
	expect([service.era, service.revision]).toEqual([1, 101]);
	expect(await metrics.total('store-era-changes')).toBe(0);
});
