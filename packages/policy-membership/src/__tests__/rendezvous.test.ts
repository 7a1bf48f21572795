/**
 * Guards against instances that choose different owners although they know the same members, and
 * against owners that change or gather load without need: every instance computes the winners
 * alone, and nothing else makes the results agree.
 */
import {expect, test} from '@jest/globals';
import {createView} from '../rendezvous.js';

const members = Array.from({length: 48}, (_, index) => `10.0.0.${index}:7400#${index}`);
const resources = Array.from({length: 4800}, (_, index) => `rate:workspace-${index}`);

test('instances that learned the members in another order agree (guards against two owners)', () => {
	const view = createView(members);
	const other = createView([...members, members[3]!].reverse());
	expect(other.digest).toBe(view.digest);
	for (const resource of resources.slice(0, 200)) {
		expect(other.winner(resource)).toBe(view.winner(resource));
		expect(view.ranking(resource)[0]).toBe(view.winner(resource));
	}
});

test('removing a member moves only its resources (guards against mass changes of ownership)', () => {
	const view = createView(members);
	const smaller = createView(members.slice(1));
	for (const resource of resources) {
		const before = view.winner(resource);
		const expected = before === members[0] ? view.ranking(resource)[1] : before;
		expect(smaller.winner(resource)).toBe(expected);
	}
});

test('resources spread evenly (guards against one instance that owns far more than others)', () => {
	const view = createView(members);
	const owned = new Map<string, number>();
	for (const resource of resources) {
		const winner = view.winner(resource)!;
		owned.set(winner, (owned.get(winner) ?? 0) + 1);
	}

	// The mean is 100 with a standard deviation of 10.
	expect(Math.max(...owned.values())).toBeLessThan(145);
	expect(Math.min(...members.map(member => owned.get(member) ?? 0))).toBeGreaterThan(60);
});

test('an empty view has no winner', () => {
	expect(createView([]).winner('rate:beach')).toBeUndefined();
});
