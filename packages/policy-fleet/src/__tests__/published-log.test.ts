/**
 * Guards against an instance that returns to an older state, or passes a change on twice or never:
 * a source may lag, repeat changes, or no longer keep those that a reader lacks.
 */
import {describe, expect, test} from '@jest/globals';
import {createPublishedLog, type PublishedItem} from '../published-log.js';

const item = (key: string, revision: number): PublishedItem => ({key, value: 'v', revision});

describe('published log', () => {
	test('an older snapshot does not replace a newer state', () => {
		const log = createPublishedLog();
		expect(log.replace([item('a', 7)], 9)).toBe(true);
		expect(log.replace([item('a', 3)], 5)).toBe(false);
		expect(log.since(undefined)).toEqual({kind: 'snapshot', items: [item('a', 7)], revision: 9});
	});

	test('repeated and late changes are passed on once', () => {
		const log = createPublishedLog();
		log.replace([], 1);
		expect(log.add([item('a', 2), item('a', 3)], 3)).toHaveLength(2);
		expect(log.add([item('a', 2), item('a', 3)], 3)).toEqual([]);
		expect(log.since(2)).toEqual({kind: 'changes', items: [item('a', 3)], revision: 3});
	});

	test('a deletion is among the changes and left out of snapshots', () => {
		const log = createPublishedLog();
		log.replace([item('a', 1)], 1);
		log.add([{key: 'a', value: undefined, revision: 2}], 2);
		expect(log.since(1)).toMatchObject({kind: 'changes', items: [{key: 'a', value: undefined}]});
		expect(log.since(undefined)).toMatchObject({kind: 'snapshot', items: []});
	});

	test('a reader that is behind the kept changes gets a snapshot', () => {
		const log = createPublishedLog();
		log.replace([], 1);
		for (let revision = 2; revision < 2000; revision++) {
			log.add([item(`a${revision}`, revision)], revision);
		}

		expect(log.since(1)).toMatchObject({kind: 'snapshot', revision: 1999});
		expect(log.since(1990)?.items).toHaveLength(9);
	});

	// A link of 10 Mbit/s took longer than the time limit of a read for the versions missed in 4 s.
	test('a reader that missed many versions of an item gets only the newest', () => {
		const log = createPublishedLog();
		log.replace([item('a', 1), item('b', 1)], 1);
		log.add([item('b', 2)], 2);
		for (let revision = 3; revision < 2000; revision++) {
			log.add([item('a', revision)], revision);
		}

		const changes = {kind: 'changes', revision: 1999};
		expect(log.since(1)).toEqual({...changes, items: [item('b', 2), item('a', 1999)]});
		expect(log.since(2)).toEqual({...changes, items: [item('a', 1999)]});
	});

	// A full snapshot for each of the readers would take the link of this instance for seconds.
	test('after a snapshot that closes a gap in the history, a reader gets only what it changed', () => {
		const log = createPublishedLog();
		log.replace([item('a', 1), item('b', 1), item('c', 1)], 1);
		log.add([item('a', 2)], 2);
		expect(log.merge([item('a', 2), item('b', 9), item('d', 8)], 10)).toBe(true);
		const deleted = {key: 'c', value: undefined, revision: 10};
		const merged = [deleted, item('b', 9), item('d', 8)];
		expect(log.since(2)).toEqual({kind: 'changes', items: merged, revision: 10});
		expect(log.since(1)?.items).toEqual([item('a', 2), ...merged]);
		expect(log.since(undefined)?.items).toHaveLength(3);
		expect(log.merge([item('a', 3)], 9)).toBe(false);
		expect(log.since(10)?.items).toEqual([]);
	});

	// The pages of a snapshot are read one after the other, and the position is that of the first.
	test('an item that is newer than the position of its snapshot reaches readers at that position', () => {
		const log = createPublishedLog();
		log.replace([item('a', 5), item('b', 12)], 10);
		log.add([item('b', 12)], 12);
		expect(log.since(10)).toEqual({kind: 'changes', items: [item('b', 12)], revision: 12});
	});

	test('a snapshot of another era is never merged', () => {
		const log = createPublishedLog();
		log.replace([item('a', 90)], 100, 1);
		expect(log.merge([item('b', 40)], 50, 2)).toBe(true);
		expect(log.since(100, 1)).toMatchObject({kind: 'snapshot', items: [item('b', 40)]});
	});

	test('a snapshot of a later era is taken at a lower revision, and one of an earlier era never', () => {
		const log = createPublishedLog();
		log.replace([item('a', 90)], 100, 1);
		expect(log.replace([item('a', 40)], 50, 2)).toBe(true);
		expect(log.replace([item('a', 110)], 120, 1)).toBe(false);
		expect(log.replace([item('a', 110)], 120)).toBe(false);
		expect(log.since(undefined)).toMatchObject({items: [item('a', 40)], revision: 50, era: 2});
	});

	test('revisions that are given out again in a later era are new changes', () => {
		const log = createPublishedLog();
		log.replace([item('a', 90)], 100, 1);
		log.replace([item('a', 40)], 50, 2);
		expect(log.add([item('a', 90)], 90, 2)).toEqual([item('a', 90)]);
		expect(log.since(50, 2)?.items).toEqual([item('a', 90)]);
	});

	test('changes of another era are refused, because they follow from another state', () => {
		const log = createPublishedLog();
		log.replace([], 50, 2);
		for (const era of [undefined, 1, 3]) {
			expect(log.add([item('a', 101)], 101, era)).toBeUndefined();
		}

		expect(log.since(undefined)).toMatchObject({items: [], revision: 50, era: 2});
	});

	test('a reader of an earlier era gets everything, and one of a later era nothing', () => {
		const log = createPublishedLog();
		log.replace([item('a', 40)], 50, 2);
		expect(log.since(100, 1)).toMatchObject({kind: 'snapshot', items: [item('a', 40)]});
		expect(log.since(100)).toMatchObject({kind: 'snapshot', items: [item('a', 40)]});
		expect(log.since(10, 3)).toMatchObject({kind: 'changes', items: []});
	});
});
