/**
 * Guards against responses that a caller never reads and that stay in memory although the targets
 * have long completed them, and against bytes in other places than the account.
 */
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {expect, test} from '@jest/globals';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {connectionCost, createCallerConnection} from '../caller-connection.js';
import {createMemoryAccount} from '../memory-account.js';
import {createParseSchedule} from '../parse-schedule.js';

function createFixture() {
	const account = createMemoryAccount({
		limit: 1_000_000,
		ordinaryBytes: 100_000,
		idleBytes: connectionCost,
		onLowChange: () => undefined,
	});
	const stream = new Duplex({read: () => undefined, write: () => undefined});
	const socket = Object.assign(stream, {bytesWritten: 0, bytesRead: 0}) as unknown as Socket;
	const clock = createManualClock();
	const connection = createCallerConnection({
		socket,
		account,
		parseSchedule: createParseSchedule({
			clock,
			afterPoll: () => undefined,
			onDelay: () => undefined,
		}),
		clock,
		openedAt: 0,
		isLeaving: () => false,
		maxPipelinedRequests: 4,
		evict: () => undefined,
	});
	return {account, stream, connection};
}

test('tells since when a caller has read nothing, and counts from each byte that it reads', () => {
	const {stream, connection} = createFixture();
	expect(connection.countUnread(1000)).toBe(1000);
	stream.write('response');
	Object.assign(stream, {bytesWritten: 8});
	expect(connection.countUnread(2000)).toBe(1000);
	expect(connection.countUnread(30_000)).toBe(1000);
	Object.assign(stream, {bytesWritten: 9});
	expect(connection.countUnread(31_000)).toBe(31_000);
});

test('a connection counts from its start until its socket has closed', () => {
	const {account, connection} = createFixture();
	expect(account.held).toBe(connectionCost);
	connection.close();
	expect(account.held).toBe(0);
});
