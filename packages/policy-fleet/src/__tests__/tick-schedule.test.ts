/**
 * Guards against a large failure domain in which a target that begins to fail attracts requests
 * while the first failures wait to be reported, and against a number of reports that grows with the
 * number of failures.
 */
import {describe, expect, test} from '@jest/globals';
import {collectionTime, createTickSchedule, type UpdateKind} from '../tick-schedule.js';

const members = 25;
const regularInterval = 125;
/** Milliseconds until a datagram arrives in the same failure domain. */
const networkDelay = 1;

/** One member that ticks when it requested a tick, and regularly, at a random phase. */
function createModelMember(phase: number) {
	const schedule = createTickSchedule({sameDomainMembers: () => members - 1});
	let dueAt = Number.POSITIVE_INFINITY;
	let isFailurePending = false;
	const reportsAt: number[] = [];
	return {
		/** Times of the ticks that report failures. */
		reportsAt,
		update(kind: UpdateKind, now: number) {
			isFailurePending ||= kind === 'failure';
			dueAt = schedule.requestTick(kind, now) ?? dueAt;
		},
		step(now: number) {
			if (now < dueAt && (now + phase) % regularInterval !== 0) {
				return;
			}

			schedule.recordTick(now);
			dueAt = Number.POSITIVE_INFINITY;
			if (isFailurePending) {
				reportsAt.push(now);
			}

			isFailurePending = false;
		},
	};
}

const createDomain = () =>
	Array.from({length: members}, (_, index) => createModelMember((index * 37) % regularInterval));

describe('a failure domain of 25 members', () => {
	test('every member hears of a target that begins to fail within 20 ms of the first failure', () => {
		// The member with the first failure and the phase of its ticks differ from case to case.
		for (let failsFrom = 1000; failsFrom < 1000 + members * 7; failsFrom += 7) {
			const domain = createDomain();
			let heardAt = Number.POSITIVE_INFINITY;
			for (let now = 0; now < failsFrom + 200; now++) {
				for (const [index, member] of domain.entries()) {
					// Each member starts and ends requests all the time, at a different phase.
					if ((now + index * 7) % 50 === 0) {
						member.update('load', now);
					}
				}

				const isFailing = now >= failsFrom && now < heardAt && (now - failsFrom) % 10 === 0;
				if (isFailing) {
					domain[(now * 11) % members]!.update('failure', now);
				}

				for (const member of domain) {
					member.step(now);
					heardAt = Math.min(
						heardAt,
						(member.reportsAt[0] ?? Number.POSITIVE_INFINITY) + networkDelay,
					);
				}
			}

			expect(heardAt - failsFrom).toBeLessThanOrEqual(20 + networkDelay);
		}
	});

	test('the first failure of a member goes out within 20 ms, although a tick for its load is due later', () => {
		const member = createModelMember(1);
		member.update('load', 0);
		member.update('failure', 1);
		for (let now = 1; now < 200; now++) {
			member.step(now);
		}

		expect(member.reportsAt).toEqual([21]);
	});

	test('in a storm of failures at every member, reports of failures are as rare as collected updates', () => {
		const domain = createDomain();
		const duration = 10_000;
		for (let now = 0; now < duration; now++) {
			for (const [index, member] of domain.entries()) {
				if ((now + index) % 5 === 0) {
					member.update('failure', now);
				}

				member.update('load', now);
				member.step(now);
			}
		}

		// Regular ticks report what is pending; other reports are at least the collection time apart.
		const maxReports = duration / collectionTime(members - 1) + duration / regularInterval + 1;
		for (const {reportsAt} of domain) {
			expect(reportsAt.length).toBeLessThanOrEqual(maxReports);
		}
	});

	test('load alone keeps its pace', () => {
		const schedule = createTickSchedule({sameDomainMembers: () => members - 1});
		expect(schedule.requestTick('load', 1000)).toBe(1000 + collectionTime(members - 1));
		expect(schedule.requestTick('load', 1010)).toBeUndefined();
	});
});

test.each([0, 8, 24, 113])(
	'with %d other members, a failure after a quiet time waits 20 ms, one right after a report the collection time',
	others => {
		const schedule = createTickSchedule({sameDomainMembers: () => others});
		expect(schedule.requestTick('failure', 1000)).toBe(1020);
		schedule.recordTick(1020);
		expect(schedule.requestTick('failure', 1020)).toBe(1020 + collectionTime(others));
		schedule.recordTick(1020 + collectionTime(others));
		expect(schedule.requestTick('failure', 9000)).toBe(9020);
	},
);
