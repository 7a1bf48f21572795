/**
 * Guards against an account that lets callers hold more than its limit, or that closes the
 * connections of ordinary callers.
 */
import {expect, test} from '@jest/globals';
import {createMemoryAccount, type MemoryHolder} from '../memory-account.js';

function createFixture() {
	const evicted: string[] = [];
	const relieved: string[] = [];
	const changes: boolean[] = [];
	const busy = new Set<string>();
	const account = createMemoryAccount({
		limit: 1000,
		ordinaryBytes: 100,
		idleBytes: 10,
		onLowChange(isLow) {
			changes.push(isLow);
		},
	});
	const open = (name: string, bytes: number): MemoryHolder => {
		const holder = account.open({
			evict() {
				evicted.push(name);
			},
			isBusy: () => busy.has(name),
			onRelief() {
				relieved.push(name);
			},
		});
		holder.change(bytes);
		return holder;
	};

	return {account, evicted, relieved, changes, busy, open};
}

test('the holder that holds most is evicted first, and counts until it is closed', () => {
	const {account, evicted, open} = createFixture();
	open('ordinary', 90);
	const large = open('large', 600);
	open('other', 100);
	expect(evicted).toEqual(['large']);
	open('late', 180);
	expect([account.held, account.isExhausted]).toEqual([970, true]);
	expect(evicted).toEqual(['large']);
	large.close();
	expect([account.held, account.isExhausted]).toEqual([370, false]);
});

test('of holders of about the same size, the one that has held it longest is evicted', () => {
	const {evicted, open} = createFixture();
	open('idle', 10);
	for (const name of ['first', 'second', 'third', 'fourth', 'fifth', 'sixth']) {
		open(name, 130);
	}

	expect(evicted).toEqual(['first']);
});

test('a holder with work at a target is evicted last, an idle one never', () => {
	const {evicted, busy, open} = createFixture();
	busy.add('busy');
	open('idle', 10);
	open('busy', 500);
	open('small', 60);
	open('newest', 260);
	expect(evicted).toEqual(['newest']);
	open('idle too', 10);
	busy.add('small');
	open('busy too', 240);
	expect(evicted).toEqual(['newest', 'busy too']);
});

test('is low from half of the limit until it is well below, and tells the holders then', () => {
	const {account, changes, relieved, open} = createFixture();
	const first = open('first', 300);
	const second = open('second', 200);
	expect(account.isLow).toBe(true);
	second.change(-50);
	expect(account.isLow).toBe(true);
	second.change(-100);
	expect(account.isLow).toBe(false);
	expect(changes).toEqual([true, false]);
	expect(relieved).toEqual(['first', 'second']);
	expect([first.isLarge, second.isLarge]).toEqual([true, false]);
	expect(account.isExhausted).toBe(false);
});
