/**
 * Guards against fields that are lost or swapped on the way to another instance, because they are
 * identified only by their position, and against datagrams that are not fleet messages, which must
 * not cause an exception.
 */
import {describe, expect, test} from '@jest/globals';
import {type FleetMessage} from '@shallotpond/policy-fleet/fleet-message';
import {decodeFleetMessages, encodeFleetMessage} from '../fleet-codec.js';

const from = {address: '10.0.0.1', failureDomain: 'north', startedAt: 1_764_850_000_000};
const messages: readonly FleetMessage[] = [
	{kind: 'roster-request', from},
	{kind: 'roster-answer', from, members: [{...from, address: '10.0.0.2'}]},
	{
		kind: 'report',
		from,
		isRelayed: true,
		configuration: {version: 12, revision: 340, confirmedAgo: 250},
		targets: [{incarnation: 'i-1@5', good: 3, bad: 1, busy: 2, stale: 1, latency: 640}],
		inFlight: [['i-1@5', 2]],
		workspaces: [{workspace: 'reed', asked: 21, admitted: 17, before: {asked: 18, admitted: 15}}],
		crashes: [{fingerprint: 'a1b2', target: 'i-1'}],
		isLeaving: false,
	},
];

describe('codec of fleet messages', () => {
	test.each(messages)('a $kind is the same after encoding and decoding', message => {
		expect(decodeFleetMessages(encodeFleetMessage(message))).toEqual([message]);
	});

	test('messages that share a datagram keep their order', () => {
		const bytes = messages.flatMap(message => [...encodeFleetMessage(message)]);
		expect(decodeFleetMessages(Uint8Array.from(bytes))).toEqual(messages);
	});

	test('bytes that are not a message are rejected without an exception', () => {
		for (const bytes of [
			[],
			[0xc1],
			[0x93, 1, 2, 3],
			[...'not a message'].map(character => character.codePointAt(0)!),
		]) {
			expect(decodeFleetMessages(Uint8Array.from(bytes))).toBeUndefined();
		}
	});
});
