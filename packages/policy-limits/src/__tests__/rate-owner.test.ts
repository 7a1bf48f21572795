/**
 * Guards against an owner that grants more tokens than its shares allow, because it ignores grants
 * that may still be in use, counts copies of messages, or adds tokens for a time in which the
 * shares may have been lent elsewhere.
 */
import {describe, expect, test} from '@jest/globals';
import {type ShareFraction} from '@shallotpond/policy-membership/share-fraction';
import {createRateOwner} from '../rate-owner.js';
import {type WorkspaceRateLimit} from '../workspace-rate-limit.js';

const majority: ShareFraction = {current: 1, vested: 1, majoritySince: 0};
const half: ShareFraction = {current: 0.5, vested: 0.5, majoritySince: undefined};

function createSubject(
	limits: WorkspaceRateLimit | undefined,
	initialFraction: ShareFraction = majority,
) {
	/** With 0, a majority may use the whole rate; with 1, each owner may use its fraction. */
	const minorityFraction = initialFraction === majority ? 0 : 1;
	const subject = {fraction: initialFraction, limits};
	let lastId = 0;
	const owner = createRateOwner({
		shareFractionOf: () => subject.fraction,
		limits: () => subject.limits,
		minorityFraction: () => minorityFraction,
	});
	return Object.assign(subject, {
		/** Sends an ask, by default of a new requester; returns the tokens that it is granted. */
		ask(count: number, now: number, id = ++lastId, from = `requester ${id}`) {
			const ask = {kind: 'token-ask', id, workspace: 'w', count, waited: 0} as const;
			const answers = owner.handle(ask, from, now).filter(answer => answer.to === from);
			const [message] = answers.map(answer => answer.message);
			return message?.kind === 'token-grant' ? message.count : 0;
		},
		returnTokens(id: number, used: number, returned: number, now: number) {
			const message = {kind: 'token-return', id, workspace: 'w', used, returned} as const;
			owner.handle(message, `requester ${id}`, now);
		},
	});
}

describe('rate owner', () => {
	test('a grant blocks its tokens 1% longer than it is valid, because the clock of the requester may be slow', () => {
		const subject = createSubject({rate: 100_000, burst: 10});
		expect(subject.ask(10, 1000)).toBe(10);
		expect(subject.ask(10, 1100.9)).toBe(0);
		expect(subject.ask(10, 1102, 2)).toBe(10);
	});

	test('newly gained capacity starts empty, however much time has passed', () => {
		const subject = createSubject({rate: 100, burst: 100}, {...majority, vested: 0.6});
		expect(subject.ask(1, 3000)).toBe(1);
		subject.fraction = majority;
		expect(subject.ask(100, 3900)).toBe(60);
	});

	test('a copy of an ask gets the same answer and takes no further tokens', () => {
		const subject = createSubject({rate: 0.001, burst: 10});
		expect(subject.ask(4, 1e8, 1)).toBe(4);
		expect(subject.ask(4, 1e8, 1)).toBe(4);
		expect(subject.ask(10, 1e8, 2)).toBe(6);
	});

	test('a copy of a return does not return its tokens again', () => {
		for (const [rate, expected] of [
			[0.001, 2],
			[100_000, 6],
		] as const) {
			const subject = createSubject({rate, burst: 10});
			subject.ask(10, 1e8, 1);
			subject.returnTokens(1, 4, 2, 1e8 + 1);
			subject.returnTokens(1, 4, 2, 1e8 + 2);
			expect(subject.ask(10, 1e8 + 50, 2)).toBe(expected);
		}
	});

	test('a new majority starts with an empty bucket, because its shares may have been lent elsewhere in between', () => {
		const subject = createSubject({rate: 100, burst: 10}, half);
		for (const now of [5000, 5050, 6000]) {
			subject.ask(0.1, now, 1, 'known');
		}

		subject.limits = {rate: 0.001, burst: 10};
		subject.fraction = {...majority, majoritySince: 6500, vested: 0};
		expect(subject.ask(10, 6700)).toBe(0);
	});

	test('a majority rounds its tokens up, so that a burst of 1 is usable in an incomplete fleet', () => {
		const subject = createSubject(
			{rate: 100, burst: 1},
			{...majority, current: 0.75, vested: 0.75},
		);
		expect(subject.ask(1, 3000)).toBe(1);
	});

	test('minorities round their tokens down, so that two halves of an odd burst do not exceed it', () => {
		const subject = createSubject({rate: 100, burst: 3}, half);
		expect(subject.ask(3, 5000)).toBe(0);
		expect(subject.ask(3, 6000)).toBe(0);
		expect(subject.ask(3, 9000)).toBe(1);
	});

	test('no tokens are added for a time in which the shares are not certain', () => {
		const subject = createSubject({rate: 100, burst: 10}, half);
		subject.ask(10, 5000);
		subject.ask(10, 5500);
		expect(subject.ask(10, 20_000)).toBe(0);
	});

	test('a workspace without limits is refused, and one that is added again finds no full bucket', () => {
		const subject = createSubject({rate: 0.001, burst: 10});
		expect(subject.ask(10, 1e8)).toBe(10);
		subject.limits = undefined;
		expect(subject.ask(10, 1e8 + 50)).toBe(0);
		subject.limits = {rate: 0.001, burst: 10};
		expect(subject.ask(10, 1e8 + 500)).toBe(0);
	});
});
