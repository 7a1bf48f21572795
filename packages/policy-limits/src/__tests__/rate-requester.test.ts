/**
 * Guards against a requester that uses tokens to which it has no right, because they expired, were
 * returned or come from an instance that it did not ask, and against requests that wait forever
 * when messages are lost or the owner changes.
 */
import {describe, expect, test} from '@jest/globals';
import {createRateRequester, type RateEffects} from '../rate-requester.js';

function createSubject(owner: string | undefined) {
	const subject = {owner};
	const requester = createRateRequester({
		ownerOf: () => subject.owner,
		ownShare: () => 1,
		limits: () => ({rate: 1000, burst: 10}),
		minorityFraction: () => 1,
	});
	return Object.assign(subject, {
		requester,
		admit: (now: number) => requester.admit('w', now).admission.kind,
		grant: (id: number, count: number, now: number) =>
			requester.handle(
				{kind: 'token-grant', id, workspace: 'w', count, validFor: 100, report: true},
				'a',
				now,
			),
		tick(until: number, from: number) {
			for (let now = from; now <= until; now += 10) {
				requester.tick(now);
			}
		},
	});
}

function describeSettled({settled}: RateEffects): string[] {
	return settled.map(({request, admission}) => `${request} ${admission.kind}`);
}

describe('own share', () => {
	test('it is unusable until the grants of its last owner have expired, and requests do not wait forever', () => {
		const subject = createSubject(undefined);
		expect(subject.admit(0)).toBe('wait');
		subject.tick(90, 10);
		expect(subject.admit(95)).toBe('wait');
		subject.tick(100, 100);
		expect(describeSettled(subject.requester.tick(103))).toEqual([]);
		expect(describeSettled(subject.requester.tick(105))).toEqual(['1 admitted', '2 admitted']);
	});

	test('it starts empty after a pause and after the share was lent', () => {
		const paused = createSubject(undefined);
		paused.admit(0);
		paused.tick(250, 10);
		expect(paused.admit(255)).toBe('admitted');
		expect(paused.admit(400)).toBe('wait');
		const lent = createSubject(undefined);
		lent.admit(0);
		lent.tick(250, 10);
		lent.owner = 'a';
		lent.tick(260, 260);
		lent.owner = undefined;
		expect(lent.admit(270)).toBe('wait');
		lent.tick(360, 280);
		expect(lent.requester.waitingCount).toBe(1);
		lent.tick(390, 370);
		expect(lent.requester.waitingCount).toBe(0);
	});
});

describe('grants', () => {
	test('requests are admitted in order, and each ends within the wait timeout', () => {
		const {admit, grant, requester} = createSubject('a');
		admit(0);
		admit(5);
		admit(10);
		expect(describeSettled(grant(1, 2, 15))).toEqual(['1 admitted', '2 admitted']);
		expect(describeSettled(requester.tick(255))).toEqual([]);
		expect(describeSettled(requester.tick(260))).toEqual(['3 refused']);
		expect(requester.waitingCount).toBe(0);
	});

	test('unused tokens are returned and not used afterwards', () => {
		const {admit, grant, requester} = createSubject('a');
		admit(0);
		grant(1, 5, 2);
		expect(requester.tick(59).messages).toEqual([]);
		const message = {kind: 'token-return', id: 1, workspace: 'w', used: 1, returned: 4};
		expect(requester.tick(60).messages).toEqual([{to: 'a', message}]);
		expect(admit(61)).toBe('wait');
	});

	test('a lost ask is resent with its id, and a new owner gets a new ask', () => {
		const subject = createSubject('a');
		subject.admit(0);
		const sent = (now: number) =>
			subject.requester.tick(now).messages.map(({to, message}) => [to, message.kind, message.id]);
		expect(sent(29)).toEqual([]);
		expect(sent(30)).toEqual([['a', 'token-ask', 1]]);
		subject.owner = 'b';
		expect(sent(31)).toEqual([['b', 'token-ask', 2]]);
	});

	test('a grant from an instance that was not asked is ignored', () => {
		const {admit, requester} = createSubject('a');
		admit(0);
		const grant = {kind: 'token-grant', id: 1, workspace: 'w', count: 1} as const;
		const effects = requester.handle({...grant, validFor: 100, report: true}, 'b', 1);
		expect(describeSettled(effects)).toEqual([]);
	});

	test('a cancelled request takes no token', () => {
		const {admit, grant, requester} = createSubject('a');
		admit(0);
		requester.cancel('w', 1);
		expect(describeSettled(grant(1, 1, 1))).toEqual([]);
		expect(admit(2)).toBe('admitted');
	});
});
