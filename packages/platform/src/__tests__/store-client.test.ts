/**
 * Guards against a state that is put together from two eras of the store, and against an era that
 * is made up from a malformed header, after which all later answers would count as older.
 */
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createStoreClient} from '../store-client.js';

type Answer = {
	readonly era?: string | string[] | undefined;
	readonly key?: string;
	readonly hasMore?: boolean;
	readonly status?: number;
};

const {signal} = new AbortController();
let server: Server;
let answers: Answer[];
let malformedEras: number;

beforeEach(async () => {
	malformedEras = 0;
	server = createServer((_request, response) => {
		const {era, key = 'a', hasMore = false, status = 200} = answers.shift()!;
		response.statusCode = status;
		if (era !== undefined) {
			response.setHeader('Store-Era', era);
		}

		const items = [{key, value: 'e30=', revision: 1}];
		response.end(JSON.stringify({items, events: [], has_more: hasMore, as_of: 7}));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
});

afterEach(() => {
	server.close();
	server.closeAllConnections();
});

const createClient = () =>
	createStoreClient({
		address: () => ({host: '127.0.0.1', port: (server.address() as AddressInfo).port}),
		clock: createSystemClock(),
		countCall: () => undefined,
		onMalformedEntries: () => undefined,
		onMalformedEra() {
			malformedEras++;
		},
	});

test('all is read anew if the era changes between two pages', async () => {
	answers = [
		{era: '1', key: 'a', hasMore: true},
		{era: '2', key: 'b'},
		{era: '2', key: 'c', hasMore: true},
		{era: '2', key: 'd'},
	];
	const {items, era} = await createClient().readAll(signal);
	expect([era, ...items.map(({key}) => key)]).toEqual([2, 'c', 'd']);
});

test('a read during which the era changes again and again fails', async () => {
	answers = Array.from({length: 6}, (_, index) => ({era: String(index), hasMore: true}));
	await expect(createClient().readAll(signal)).rejects.toThrow('the era of the store changes');
});

test('the era of an answer without history is passed on', async () => {
	answers = [{era: '2', status: 410}];
	expect(await createClient().watch(7, 0, signal)).toEqual({kind: 'history-gone', era: 2});
});

test.each<[string | string[] | undefined, number | undefined, number]>([
	[undefined, undefined, 0],
	['3', 3, 0],
	['0', 0, 0],
	['', undefined, 1],
	['-1', undefined, 1],
	['1.5', undefined, 1],
	['1e3', undefined, 1],
	['two', undefined, 1],
	['9'.repeat(30), undefined, 1],
	[['1', '2'], undefined, 1],
])('the era in a header %j is %p', async (header, expected, malformed) => {
	answers = [{era: header}];
	const {kind, era} = await createClient().watch(7, 0, signal);
	expect([kind, era]).toEqual(['changes', expected]);
	expect(malformedEras).toBe(malformed);
});
