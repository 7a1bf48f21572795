/**
 * Guards against requests and responses of other instances that end the process, that stop it from
 * following what the platform publishes, or that put malformed items in force.
 */
import {Buffer} from 'node:buffer';
import diagnosticsChannel from 'node:diagnostics_channel';
import {createServer, type Server} from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {gzipSync} from 'node:zlib';
import {afterEach, expect, test} from '@jest/globals';
import {createPublishedLog} from '@shallotpond/policy-fleet/published-log';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createPublishedListener, fetchPublishedChanges} from '../published-exchange.js';

const clock = createSystemClock();
const item = {key: 'servers/a', value: 'e30=', revision: 3};
const valid = {kind: 'snapshot', items: [item], revision: 3, confirmedAgo: 5, waited: 0};
const cleanUps: Array<() => Promise<void>> = [];

afterEach(async () => {
	for (const cleanUp of cleanUps.splice(0)) {
		await cleanUp();
	}
});

async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}

async function fetchFrom(body: string | Uint8Array, encoding = 'identity') {
	const server = createServer((_request, response) => {
		response.setHeader('content-encoding', encoding);
		response.end(body);
	});
	cleanUps.push(async () => closeServer(server));
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return fetchPublishedChanges({
		member: {host: '127.0.0.1', port: (server.address() as AddressInfo).port},
		after: undefined,
		wait: 0,
		timeout: 5000,
		clock,
		signal: new AbortController().signal,
	});
}

async function sendLine(port: number, target: string): Promise<string> {
	return new Promise(resolve => {
		let text = '';
		const socket = net.connect(port, '127.0.0.1', () => {
			socket.write(`GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
		});
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			text += String(chunk);
		});
		socket.on('close', () => {
			resolve(text);
		});
	});
}

test.each([
	'//',
	'///published',
	'/%',
	'/published?after=x',
	'/published?after=-1',
	'/published?after=1e99',
	'/published?after=1&era=x',
	'/published?after=1&retained=-1',
])('a request for %s is refused and the listener goes on', async target => {
	const log = createPublishedLog();
	log.replace([item], 3);
	const listener = createPublishedListener({
		address: {host: '127.0.0.1', port: 0},
		clock,
		log,
		confirmedAgo: () => 5,
	});
	await listener.start();
	const {port} = listener;
	cleanUps.push(async () => listener.stop());
	expect(await sendLine(port, target)).toMatch(/^HTTP\/1\.1 40[04] /);
	expect(await sendLine(port, '/published?wait=junk')).toContain('"kind":"snapshot"');
});

test('a valid response is passed on', async () => {
	expect(await fetchFrom(JSON.stringify(valid))).toEqual(valid);
});

test.each([
	['nothing', null],
	['an unknown kind', {...valid, kind: 'other'}],
	['items that are no list', {...valid, items: {}}],
	['an item that is nothing', {...valid, items: [item, null]}],
	['an item without a key', {...valid, items: [{...item, key: 5}]}],
	['a value that is no text', {...valid, items: [{...item, value: {}}]}],
	['a revision that is too large', {...valid, revision: 1e300}],
	['an age below 0', {...valid, confirmedAgo: -1}],
	['an era of another type', {...valid, era: '2'}],
	['an era below 0', {...valid, era: -1}],
	['retained items that are no list', {...valid, retained: {}}],
	['a retained item without a state', {...valid, retained: [{key: 'a', value: ''}]}],
	['no age', {...valid, confirmedAgo: undefined}],
	['a wait of another type', {...valid, waited: '0'}],
])('a response with %s is an error of the source', async (_what, body) => {
	await expect(fetchFrom(JSON.stringify(body))).rejects.toThrow('malformed');
});

test.each(['', '['.repeat(1_000_000), '{"kind":'])(
	'a body that is not JSON is an error',
	async body => {
		await expect(fetchFrom(body)).rejects.toThrow('not JSON');
	},
);

test.each([
	['of an earlier era gets the whole state', 'after=9&era=1', {kind: 'snapshot', era: 2}],
	['that knows no era yet gets the whole state', 'after=3&era=', {kind: 'snapshot', era: 2}],
	['of a later era gets no items', 'after=1&era=3', {kind: 'changes', items: []}],
	['of this era gets the changes', 'after=2&era=2', {kind: 'changes', items: [{...item}]}],
	[
		'of an earlier version, without eras, is served',
		'after=2',
		{kind: 'changes', items: [{...item}]},
	],
	['that asks for retained items gets them', 'after=3&era=3&retained=5', {retained: [5, true]}],
])('a reader %s', async (_reader, query, expected) => {
	const log = createPublishedLog();
	log.replace([], 2, 2);
	log.add([item], 3, 2);
	const listener = createPublishedListener({
		address: {host: '127.0.0.1', port: 0},
		clock,
		log,
		confirmedAgo: () => 5,
		// The test only needs to see which reader was passed on.
		retainedItems: ({version, isOfNewerEra}) => [version, isOfNewerEra] as never,
	});
	await listener.start();
	cleanUps.push(async () => listener.stop());
	const response = await sendLine(listener.port, `/published?wait=0&${query}`);
	expect(JSON.parse(/{.*}/.exec(response)![0])).toMatchObject(expected);
});

test('a large state is compressed for the readers that decode it', async () => {
	const log = createPublishedLog();
	const large = {key: 'configuration', value: 'c2hhbGxvdHBvbmQ='.repeat(2000), revision: 3};
	log.replace([large], 3);
	const listener = createPublishedListener({
		address: {host: '127.0.0.1', port: 0},
		clock,
		log,
		confirmedAgo: () => 5,
	});
	await listener.start();
	cleanUps.push(async () => listener.stop());
	const plain = await sendLine(listener.port, '/published?wait=0');
	expect(plain).toContain(large.value);
	const encodings: unknown[] = [];
	const countEncoding = (message: unknown) => {
		const {response} = message as {response: {headers: Record<string, string>}};
		encodings.push(response.headers['content-encoding']);
	};

	diagnosticsChannel.subscribe('http.client.response.finish', countEncoding);
	const response = await fetchPublishedChanges({
		member: {host: '127.0.0.1', port: listener.port},
		after: undefined,
		wait: 0,
		timeout: 5000,
		clock,
		signal: new AbortController().signal,
	});
	diagnosticsChannel.unsubscribe('http.client.response.finish', countEncoding);
	expect(response.items).toEqual([large]);
	expect(encodings).toEqual(['gzip']);
});

test.each([
	['is cut', gzipSync(JSON.stringify(valid)).subarray(0, 40)],
	['is not compressed', JSON.stringify(valid)],
	['expands beyond the limit', gzipSync(Buffer.alloc(67_108_865))],
])('a compressed response that %s is an error of the source', async (_what, body) => {
	await expect(fetchFrom(body, 'gzip')).rejects.toThrow('cannot be decoded');
});
