/**
 * Guards against too many instances that read the platform's store, and against an instance that
 * misses changes because it keeps to a reader that fails, or to a store that rejects its calls.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createFleetRoster} from '../fleet-roster.js';
import {createSyncSourceSelector} from '../sync-source-selector.js';

const now = 1000;

function createInstances(
	size: number,
	confirmedAgo: () => number = () => 100,
	domains: readonly string[] = ['north'],
	startsFromMembers = true,
) {
	const members = Array.from({length: size}, (_, index) => ({
		address: `10.0.0.${index}`,
		failureDomain: domains[index % domains.length]!,
		startedAt: 1,
	}));
	return members.map(self => {
		const roster = createFleetRoster({self});
		for (const member of members) {
			roster.recordMessageFrom(member, now);
		}

		const selector = createSyncSourceSelector({
			self: self.address,
			roster,
			random: createSeededRandom(1),
			confirmedAgo,
			startsFromMembers,
		});
		return {self, selector};
	});
}

describe('sync source selector', () => {
	test('two instances of a failure domain read the store, and the others read from these', () => {
		const instances = createInstances(12);
		const sources = instances.map(({selector}) => selector.choose(now));
		const readers = instances
			.filter((_, index) => sources[index]!.kind === 'store')
			.map(({self}) => self.address);
		expect(readers).toHaveLength(2);
		for (const source of sources) {
			expect(source.kind === 'store' || readers.includes(source.address)).toBe(true);
		}
	});

	test.each([48, 300])(
		'of %i instances in six failure domains, one in each reads the store',
		size => {
			const domains = ['a', 'b', 'c', 'd', 'e', 'f'];
			const readers = createInstances(size, () => 100, domains).filter(
				({selector}) => selector.choose(now).kind === 'store',
			);
			expect(readers.map(({self}) => self.failureDomain).sort()).toEqual(domains);
		},
	);

	test('when all instances start at once, only the readers read the store, until a read fails', () => {
		const instances = createInstances(12, () => Number.POSITIVE_INFINITY);
		const followers = instances.filter(({selector}) => selector.choose(now).kind === 'member');
		expect(followers).toHaveLength(10);
		const {selector} = followers[0]!;
		selector.recordFailure(selector.choose(now), now);
		expect(selector.choose(now).kind).toBe('store');
	});

	test('an instance that starts while callers may be waiting reads the store at once', () => {
		const instances = createInstances(12, () => Number.POSITIVE_INFINITY, ['north'], false);
		expect(instances.every(({selector}) => selector.choose(now).kind === 'store')).toBe(true);
	});

	test('an instance whose reader fails switches to another one at once', () => {
		const {selector} = createInstances(12).find(
			instance => instance.selector.choose(now).kind === 'member',
		)!;
		const first = selector.choose(now);
		selector.recordFailure(first, now);
		const second = selector.choose(now);
		expect(second).not.toEqual(first);
	});

	test('an instance whose state is out of date reads the store itself', () => {
		for (const {selector} of createInstances(12, () => 3000)) {
			expect(selector.choose(now).kind).toBe('store');
		}
	});

	test('an instance that the store rejects reads from a member that is up to date', () => {
		const [instance] = createInstances(2, () => 3000);
		instance!.selector.recordFailure({kind: 'store'}, now);
		expect(instance!.selector.choose(now).kind).toBe('store');
		instance!.selector.recordConfirmation('10.0.0.1', 300, now);
		expect(instance!.selector.choose(now)).toEqual({kind: 'member', address: '10.0.0.1'});
	});
});
