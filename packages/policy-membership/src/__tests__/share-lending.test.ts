/**
 * Guards against two owners that use the share of one lender at once, for example because they
 * measure the end of a lease differently or know different views. The lender and the owner are
 * tested at exact times, for edge cases that random schedules seldom reach.
 *
 * An owner wins a resource in a view if it has the highest rendezvous score there. The live views of
 * a lender are those in which an owner must win to use the lender's share.
 */
import {expect, test} from '@jest/globals';
import {type ShareHandover} from '../heartbeat.js';
import {createView, type View} from '../rendezvous.js';
import {createShareLender, type Borrower} from '../share-lender.js';
import {createShareOwner} from '../share-owner.js';

const resource = 'shard:roster/0';
const everyone = ['a#1', 'b#1', 'c#1'];
const winner = createView(everyone).winner(resource)!;
const others = everyone.filter(member => member !== winner);
const [second, third] = createView(others).ranking(resource) as [string, string];
const full = createView(everyone);
const reduced = createView(others);

function createOwner(self: string, maxInstances = 3, views: readonly View[] = [full, reduced]) {
	const known = new Map(views.map(view => [view.digest, view]));
	return createShareOwner({
		self,
		maxInstances: () => maxInstances,
		viewOf: digest => known.get(digest),
	});
}

function createLender(self: string, borrowers: Record<string, Borrower>, startedAt = -10_000) {
	return createShareLender({self, startedAt, borrower: id => borrowers[id]});
}

const silent = {heardAt: 0, confirmedSequence: 0, hasRelinquished: false};

test('a lender whose clock is 1% fast waits until the lease has ended for the owner (guards against lease durations that ignore clock speeds)', () => {
	const owner = createOwner(winner);
	const lender = createLender(second, {[winner]: silent, [third]: silent});
	lender.update(full, 1, 0);
	owner.recordLease(second, 2000, [full.digest], 0);
	lender.update(reduced, 2, 0);
	let reclaimedAt: number | undefined;
	for (let time = 0; time <= 2100; time++) {
		const lenderTime = time * 1.01;
		lender.update(reduced, 2, lenderTime);
		const isReclaimed = lender.ownerOf(resource, lenderTime) === second;
		const isUsed = owner.shareFractionOf(resource, time).current > 0;
		expect({time, both: isReclaimed && isUsed}).toEqual({time, both: false});
		if (isReclaimed) {
			reclaimedAt ??= time;
		}
	}

	expect(reclaimedAt).toBe(2000);
});

test('a change of view applies as soon as the borrower has confirmed it, and until then the resource is lent to no one', () => {
	const borrowers: Record<string, Borrower> = {[winner]: silent, [third]: silent};
	const lender = createLender(second, borrowers);
	lender.update(reduced, 1, 0);
	lender.update(full, 2, 0);
	expect(lender.liveViews()).toEqual([reduced, full]);
	expect(lender.ownerOf(resource, 0)).toBeUndefined();
	borrowers[third] = {...silent, confirmedSequence: 1};
	lender.update(full, 3, 10);
	expect(lender.liveViews()).toHaveLength(2);
	borrowers[third] = {...silent, confirmedSequence: 2};
	lender.update(full, 3, 20);
	expect(lender.liveViews()).toEqual([full]);
	expect(lender.ownerOf(resource, 20)).toBe(winner);
});

test('a new process lends nothing for the length of a lease (guards against lending a share twice)', () => {
	const lender = createLender(second, {}, 0);
	lender.update(full, 1, 2019);
	expect(lender.liveViews()).toEqual([]);
	expect(lender.ownerOf(resource, 2019)).toBeUndefined();
	lender.update(full, 1, 2020);
	expect(lender.ownerOf(resource, 2020)).toBe(winner);
});

test('a lease is checked against the clock at each use (guards against use after a pause)', () => {
	const owner = createOwner(winner);
	owner.recordLease(second, 2000, [full.digest], 0);
	expect(owner.shareFractionOf(resource, 1999.9).current).toBe(1 / 3);
	expect(owner.shareFractionOf(resource, 2000).current).toBe(0);
});

test('a share counts only if the owner knows all live views of the lender and wins in each', () => {
	const owner = createOwner(winner);
	owner.recordLease(second, 2000, [full.digest, reduced.digest], 0);
	owner.recordLease(third, 2000, [full.digest, 'unknown'], 0);
	expect(owner.shareFractionOf(resource, 1).current).toBe(0);
	owner.recordLease(second, 2000, [full.digest], 2);
	expect(owner.shareFractionOf(resource, 2).current).toBe(1 / 3);
});

test('lenders vest after the vesting duration and not across a gap (guards against grants of two owners)', () => {
	const owner = createOwner(winner);
	owner.recordLease(second, 6000, [full.digest], 0);
	expect(owner.shareFractionOf(resource, 4039).vested).toBe(0);
	expect(owner.shareFractionOf(resource, 4040).vested).toBe(1 / 3);
	owner.recordLease(second, 9000, [full.digest, reduced.digest], 4100);
	owner.recordLease(second, 9000, [full.digest], 4200);
	expect(owner.shareFractionOf(resource, 8000).vested).toBe(0);
	expect(owner.shareFractionOf(resource, 8240).vested).toBe(1 / 3);
	owner.recordLease(second, 20_000, [full.digest], 9001);
	expect(owner.shareFractionOf(resource, 13_000)).toMatchObject({current: 1 / 3, vested: 0});
});

test('a majority lasts while its lenders are replaced one by one, and ends with a gap', () => {
	const owner = createOwner(winner, 3);
	const forever = Number.POSITIVE_INFINITY;
	owner.recordLease(winner, forever, [full.digest], 0);
	owner.recordLease(second, 1000, [full.digest], 100);
	expect(owner.shareFractionOf(resource, 500).majoritySince).toBe(100);
	owner.recordLease(third, 5000, [full.digest], 500);
	expect(owner.shareFractionOf(resource, 900).majoritySince).toBe(100);
	expect(owner.shareFractionOf(resource, 2000).majoritySince).toBe(100);
	expect(owner.shareFractionOf(resource, 5000).majoritySince).toBeUndefined();
	owner.recordLease(third, 9000, [full.digest], 6000);
	expect(owner.shareFractionOf(resource, 6000).majoritySince).toBe(6000);
});

test('old views are forgotten, but not the start of a majority that lasts (guards against growing memory)', () => {
	const owner = createOwner(winner, 1);
	owner.recordLease(second, 1e6, [full.digest, full.digest], 0);
	owner.recordLease(second, 1e6, [full.digest], 1000);
	expect(owner.shareFractionOf(resource, 2000).majoritySince).toBe(0);
	owner.prune(180_999);
	expect([...owner.referencedViews()]).toHaveLength(3);
	owner.prune(241_000);
	expect([...owner.referencedViews()]).toHaveLength(1);
	expect(owner.shareFractionOf(resource, 241_001).majoritySince).toBe(0);
	const names = Array.from({length: 20}, (_, index) => `shard:swaps/${index}`);
	const other = names.find(name => full.winner(name) === winner)!;
	expect(owner.shareFractionOf(other, 241_001).majoritySince).toBe(1000);
});

test('a handover vests lenders at once, except for those that could have lent to another owner in between', () => {
	const predecessor = createOwner(winner);
	predecessor.recordLease(third, 6000, [full.digest], 0);
	expect(predecessor.vestedLenders(4000)).toEqual([]);
	const lenders = predecessor.vestedLenders(5000);
	predecessor.relinquish();
	expect(predecessor.shareFractionOf(resource, 5000).current).toBe(0);
	const handover: ShareHandover = {
		kind: 'handover',
		from: winner,
		to: second,
		echo: 9,
		successorView: reduced.digest,
		lenders,
		viewMembers: [],
	};
	for (const [start, vested] of [
		[5500, 1 / 3],
		[9001, 0],
	] as const) {
		const successor = createOwner(second);
		successor.acceptHandover(handover, 5000);
		successor.recordLease(third, start + 2000, [reduced.digest], start);
		expect(successor.shareFractionOf(resource, start).vested).toBe(vested);
	}

	// The handover does not vest lenders for `third`, which is the winner in its own view but not in
	// the successor view of the handover.
	const alone = createView([third]);
	const bystander = createOwner(third, 3, [full, reduced, alone]);
	bystander.acceptHandover({...handover, to: third}, 5000);
	bystander.recordLease(third, 8000, [alone.digest], 5500);
	expect(bystander.shareFractionOf(resource, 5500)).toMatchObject({current: 1 / 3, vested: 0});
});
