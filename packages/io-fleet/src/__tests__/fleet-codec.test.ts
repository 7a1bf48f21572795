/**
 * Guards against fields that are lost or swapped on the way to another instance, because they are
 * identified only by their position, and against datagrams that are not fleet messages, which must
 * not cause an exception.
 */
import process from 'node:process';
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {type FleetMessage} from '@shallotpond/policy-fleet/fleet-message';
import {decodeFleetMessages, encodeFleetMessage} from '../fleet-codec.js';

function decode(bytes: Uint8Array) {
	let refused = 0;
	const messages = decodeFleetMessages(bytes, () => {
		refused++;
	});
	return {messages, refused};
}

const packr = new Packr({useRecords: false});
const pack = (value: unknown): Uint8Array => packr.pack(value);
const unpack = (bytes: Uint8Array): unknown => packr.unpack(bytes);

const from = {address: '10.0.0.1', failureDomain: 'north', startedAt: 1_764_850_000_000};
const messages: readonly FleetMessage[] = [
	{kind: 'roster-request', from},
	{kind: 'roster-answer', from, members: [{...from, address: '10.0.0.2'}]},
	{
		kind: 'report',
		from,
		isRelayed: true,
		configuration: {version: 12, revision: 340, confirmedAgo: 250},
		targets: [
			{incarnation: 'i-1@5', good: 3, bad: 1, busy: 2, stale: 1, unreached: 4, latency: 640},
			{
				incarnation: 'i-2@7',
				good: 0,
				bad: 0,
				busy: 0,
				stale: 0,
				unreached: 0,
				late: 2,
				latency: 900,
			},
		],
		inFlight: [['i-1@5', 2]],
		workspaces: [{workspace: 'reed', asked: 21, admitted: 17, before: {asked: 18, admitted: 15}}],
		crashes: [{fingerprint: 'a1b2', target: 'i-1'}],
		isLeaving: false,
		leavingTargets: ['i-2@7'],
		clearedRequests: ['c3d4'],
		refusedRequests: [],
	},
	{
		kind: 'report',
		from,
		isRelayed: false,
		configuration: {version: 12, revision: 340, confirmedAgo: 250},
		targets: [],
		inFlight: [],
		workspaces: [],
		crashes: [],
		isLeaving: false,
		leavingTargets: [],
		clearedRequests: [],
		refusedRequests: ['e5f6'],
	},
	{kind: 'suspects-request', from},
	{
		kind: 'suspects-answer',
		from,
		isInformed: true,
		part: 1,
		parts: 2,
		suspects: [{fingerprint: 'a1b2', targets: ['i-1', 'i-2', 'i-3'], expiresIn: 599_000}],
	},
];

describe('codec of fleet messages', () => {
	test.each(messages)('a $kind is the same after encoding and decoding', message => {
		expect(decode(encodeFleetMessage(message))).toEqual({messages: [message], refused: 0});
	});

	test('messages that share a datagram keep their order', () => {
		const bytes = messages.flatMap(message => [...encodeFleetMessage(message)]);
		expect(decode(Uint8Array.from(bytes))).toEqual({messages, refused: 0});
	});

	test('bytes that are not a message are rejected without an exception', () => {
		for (const bytes of [
			[],
			[0xc1],
			[0x93, 1, 2, 3],
			[...'not a message'].map(character => character.codePointAt(0)!),
		]) {
			const {messages: decoded, refused} = decode(Uint8Array.from(bytes));
			expect(decoded).toEqual([]);
			expect(refused).toBeGreaterThan(0);
		}
	});

	test('a report of an instance that does not know leaving targets or cleared requests is accepted', () => {
		const report = messages[2] as FleetMessage & {kind: 'report'};
		const values = unpack(encodeFleetMessage(report)) as unknown[];
		const withoutCleared = {...report, clearedRequests: []};
		expect(decode(pack(values.slice(0, -1))).messages).toEqual([withoutCleared]);
		const bytes = pack(values.slice(0, -2));
		expect(decode(bytes).messages).toEqual([{...withoutCleared, leavingTargets: []}]);
	});

	test('the era of a report is kept, and what a later version adds after it is ignored', () => {
		const report = messages[2] as FleetMessage & {kind: 'report'};
		const withEra = {...report, configuration: {...report.configuration, era: 4}};
		const values = unpack(encodeFleetMessage(withEra)) as unknown[];
		expect(decode(pack([...values, [], 'x'])).messages).toEqual([withEra]);
		// An earlier version sends no era, so none may be made up for it.
		expect(decode(pack(values.slice(0, -1))).messages).toEqual([report]);
	});

	/** Positions of a report: 3 to 12 are its fields, 2 is the sender. */
	const faults: ReadonlyArray<readonly [string, number, unknown]> = [
		['a host name as address', 2, ['example.com', 'north', 1]],
		['an object as address', 2, [{}, 'north', 1]],
		['no sender', 2, null],
		['cleared requests that are no list', 13, 'c3d4'],
		['a cleared request that is no name', 13, [7]],
		['a flag that is a text', 3, 'yes'],
		['a version that is not a number', 4, Number.NaN],
		['a negative revision', 5, -1],
		['a number that is too large', 5, 1e300],
		['targets that are no list', 7, 5],
		['a target that is no list', 7, [5]],
		['a deeply nested target', 7, [[[[[[]]]]]]],
		['a count of another type', 7, [['i-1@5', '3', 0, 0, 0, 0]]],
		['no workspaces', 8, null],
		['a load that is no list', 10, [7]],
		['loads that are no list', 10, {}],
		['a long name', 11, [['a'.repeat(2000), 'i-1']]],
		['leaving targets that are no names', 12, [1]],
		['an era below 0', 14, -1],
		['an era of another type', 14, '2'],
	];
	test.each(faults)(
		'a report with %s is refused, and the next message is kept',
		(_what, at, value) => {
			const values = unpack(encodeFleetMessage(messages[2]!)) as unknown[];
			values[at] = value;
			const bytes = Uint8Array.from([...pack(values), ...encodeFleetMessage(messages[0]!)]);
			expect(decode(bytes)).toEqual({messages: [messages[0]], refused: 1});
		},
	);

	test('random and damaged datagrams neither cause an exception nor an incomplete message', () => {
		const runs = Number(process.env.SHALLOTPOND_TEST_RUNS ?? 2000);
		const seed = Number(process.env.SHALLOTPOND_TEST_SEED ?? 20_261_205);
		const damaged = fc
			.tuple(fc.constantFrom(...messages), fc.nat(200), fc.nat(255))
			.map(([message, at, value]) => {
				const bytes = Uint8Array.from(encodeFleetMessage(message));
				bytes[at % bytes.length] = value;
				return bytes;
			});
		const wrongFields = fc.tuple(fc.nat(9), fc.anything({maxDepth: 3})).map(([at, value]) => {
			const values = unpack(encodeFleetMessage(messages[2]!)) as unknown[];
			values[at + 3] = value;
			return pack(values);
		});
		const nested = fc.nat(60_000).map(depth => new Uint8Array(depth).fill(0x91));
		const input = fc.oneof(fc.uint8Array({maxLength: 200}), damaged, wrongFields, nested);
		fc.assert(
			fc.property(input, bytes => {
				for (const message of decode(bytes).messages) {
					expect(decode(encodeFleetMessage(message)).messages).toEqual([message]);
				}
			}),
			{numRuns: runs, seed},
		);
	});
});
