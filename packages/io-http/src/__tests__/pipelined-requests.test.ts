/**
 * Guards against requests that are sent ahead on a connection and cost another request on it its
 * response: responses are written in the order of their requests, so one that is ready, late or
 * broken before its turn must leave the others alone.
 */
import {afterEach, expect, test} from '@jest/globals';
import {type StandInTargetBehaviour} from '@shallotpond/testkit/stand-in-target';
import {defaultHttpLimits} from '../http-limits.js';
import {defaultDialect, type RequestDialect} from '../request-dialect.js';
import {type ResponseCut} from '../response-order.js';
import {
	connectCaller,
	createFixture,
	key,
	otherKey,
	waitUntil,
	type Caller,
	type Fixture,
	type FixtureOptions,
} from './support.js';

let fixture: Fixture;

const answerReserve = 200;
const first = {id: 'first', timeout: 5000, answerTimeout: 5000 + answerReserve};
const queued = {id: 'queued', timeout: 1000, answerTimeout: 1000 + answerReserve};
/** Milliseconds after which the first request is answered: beyond the time of the queued one. */
const firstWork = 3000;

async function start(options: FixtureOptions = {}): Promise<void> {
	const routes = [first, queued].map(route => ({
		...route,
		pathPrefix: `/${route.id}/`,
		service: 'roster',
		attempts: 1,
		stallTimeout: 10_000,
	}));
	fixture = await createFixture({targets: 1, routes, hasManualClock: true, ...options});
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
	expect(fixture.state.internalErrors).toEqual([]);
});

function requestFor(route: 'first' | 'queued', number = 1, callerKey = key): string {
	return `GET /${route}/${number} HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${callerKey}\r\n\r\n`;
}

/** The status codes of the responses, in the order in which they arrived. */
function statusesOf(text: string): number[] {
	return [...text.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /g)].map(({groups}) =>
		Number(groups!.status),
	);
}

const waiting: StandInTargetBehaviour = {kind: 'wait'};

/**
 * Sends a request that waits at its target, unless it has another behaviour, and behind it others
 * with the given behaviours.
 */
async function sendAhead(
	behaviours: readonly StandInTargetBehaviour[],
	firstBehaviour: StandInTargetBehaviour = waiting,
	firstKey = key,
) {
	const {received} = fixture;
	const earlier = received().length;
	const caller = connectCaller(fixture);
	fixture.target.queueBehaviours(firstBehaviour);
	caller.write(requestFor('first', 1, firstKey));
	await waitUntil(() => received().length === earlier + 1);
	for (const [index, behaviour] of behaviours.entries()) {
		fixture.target.queueBehaviours(behaviour);
		caller.write(requestFor('queued', index));
		await waitUntil(() => received().length === earlier + index + 2);
	}

	return caller;
}

const body = (bytes: number) => 'b'.repeat(bytes);
const chunkedBody = (bytes: number) =>
	'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n' +
	`${bytes.toString(16)}\r\n${body(bytes)}\r\n0\r\n\r\n`;

// Without the wait for its turn, the queued response held up its target, and the time for it reset
// the connection.
test.each<[string, StandInTargetBehaviour[]]>([
	['100 KB', [{kind: 'answer', body: body(100_000)}]],
	['600 KB', [{kind: 'answer', body: body(600_000)}]],
	['600 KB in chunks', [{kind: 'raw', bytes: chunkedBody(600_000)}]],
	['three of 30 KB', Array.from({length: 3}, () => ({kind: 'answer', body: body(30_000)}))],
])(
	'a response (%s) that is ready before its turn frees its target, and is delivered after the one before it',
	async (_what, behaviours) => {
		await start();
		const caller = await sendAhead(behaviours);
		await waitUntil(() => fixture.state.openGrants === 1);
		fixture.clock.advance(firstWork);
		expect(fixture.state.outcomes.map(({result}) => result)).toEqual(behaviours.map(() => 'ok'));
		fixture.target.releaseWaitingRequests();
		const statuses = await readAll(caller, 1 + behaviours.length);
		expect(statuses).toEqual([200, ...behaviours.map(() => 200)]);
		expect(caller.text.indexOf('"url":"/first/1"')).toBeLessThan(caller.text.indexOf('bbb'));
		expect(caller.isClosed).toBe(false);
		caller.socket.destroy();
	},
);

/** Resolves with the status codes when the responses to all requests have been written. */
async function readAll(caller: Caller, responses: number): Promise<number[]> {
	await waitUntil(() => caller.isClosed || statusesOf(caller.text).length === responses);
	await waitUntil(() => fixture.listener.activeRequests === 0);
	return statusesOf(caller.text);
}

const cutAfter = (bytes: number): StandInTargetBehaviour => ({
	kind: 'raw',
	bytes: `HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n${body(bytes)}`,
	ends: true,
});

// Each of these reset the connection, or the one that was read in part did.
test.each<[string, StandInTargetBehaviour, number]>([
	['breaks off after 1.5 MB', cutAfter(1_500_000), 502],
	['breaks off after 20 KB', cutAfter(20_000), 502],
	['is silent until the timeout', {kind: 'stall'}, 504],
])(
	'a target that %s before the turn of its response costs no other response',
	async (_what, behaviour, status) => {
		await start({listener: {limits: {maxHeldBytes: 16_000_000}}});
		const caller = await sendAhead([behaviour, {kind: 'answer', body: body(100_000)}]);
		await waitUntil(() => fixture.state.outcomes.some(({result}) => result === 'ok'));
		fixture.clock.advance(firstWork);
		fixture.target.releaseWaitingRequests();
		expect(await readAll(caller, 3)).toEqual([200, status, 200]);
		caller.write(requestFor('queued'));
		expect(await readAll(caller, 4)).toEqual([200, status, 200, 200]);
		caller.socket.destroy();
	},
);

const size = 200_000;
const large: StandInTargetBehaviour = {kind: 'file', size};
/** A quarter of it is for responses that wait: one large one, and no second. */
const scarceMemory: FixtureOptions = {listener: {limits: {maxHeldBytes: 1_000_000}}};

test('responses that find no memory to wait in hold up their targets and are delivered whole', async () => {
	await start(scarceMemory);
	const caller = await sendAhead([large, large, large]);
	await waitUntil(() => fixture.state.openGrants === 3);
	fixture.clock.advance(queued.timeout / 2);
	fixture.target.releaseWaitingRequests();
	expect(await readAll(caller, 4)).toEqual([200, 200, 200, 200]);
	// The last bytes may be written and not read yet.
	await waitUntil(() => caller.text.length > 3 * size);
	expect(fixture.state.outcomes.every(({result}) => result === 'ok')).toBe(true);
	caller.socket.destroy();
});

// Guards against slots of targets that callers hold for longer than a request may take.
test('a response that holds up its target until its time is over gives way to a problem', async () => {
	let heads = 0;
	const dialect: RequestDialect = {
		...defaultDialect,
		readNotice() {
			heads++;
			return undefined;
		},
	};
	await start({listener: {...scarceMemory.listener, dialect}});
	const caller = await sendAhead([large, large, large]);
	// A response whose head has not arrived would end by the timeout of its attempt.
	await waitUntil(() => heads === 3 && fixture.state.openGrants === 3);
	fixture.clock.advance(queued.answerTimeout);
	await waitUntil(() => fixture.state.openGrants === 1);
	expect(fixture.state.outcomes.map(({result}) => result)).toEqual([
		'ok',
		'cancelled',
		'cancelled',
	]);
	fixture.target.releaseWaitingRequests();
	expect(await readAll(caller, 4)).toEqual([200, 200, 504, 504]);
	expect(caller.text).toContain('"code":"deadline-exceeded","outcome":"may-have-run"');
	expect(caller.isClosed).toBe(false);
	caller.socket.destroy();
});

async function leaveDuringWait(): Promise<void> {
	const caller = await sendAhead([large]);
	await waitUntil(() => fixture.state.openGrants === 1);
	caller.socket.destroy();
	await waitUntil(() => fixture.state.openGrants === 0);
	expect(fixture.listener.activeRequests).toBe(0);
}

test('a caller that leaves while responses wait for their turn gives their memory back', async () => {
	await start(scarceMemory);
	await leaveDuringWait();
	await leaveDuringWait();
	await leaveDuringWait();
});

// The response was cut at its timeout, although its target had sent it long before.
test('a response that has arrived in time reaches a caller that reads it later', async () => {
	const bytes = 20_000_000;
	await start();
	fixture.target.setBehaviour({kind: 'file', size: bytes});
	const caller = connectCaller(fixture);
	caller.socket.pause();
	caller.write(requestFor('queued'));
	await waitUntil(() => fixture.state.outcomes.length === 1);
	fixture.clock.advance(firstWork);
	caller.socket.resume();
	expect(await readAll(caller, 1)).toEqual([200]);
	await waitUntil(() => caller.text.length > bytes);
	caller.socket.destroy();
});

test('a slow caller ends with the time of its response if that is too large to be kept for it', async () => {
	await start(scarceMemory);
	fixture.target.setBehaviour({kind: 'file', size: 20_000_000});
	const caller = connectCaller(fixture);
	caller.socket.once('data', () => {
		caller.socket.pause();
	});
	caller.write(requestFor('queued'));
	await waitUntil(() => caller.text !== '');
	fixture.clock.advance(queued.answerTimeout);
	await waitUntil(() => fixture.state.openGrants === 0);
	expect(fixture.state.outcomes[0]!.result).not.toBe('ok');
	caller.socket.resume();
	await waitUntil(() => caller.isClosed);
	expect(caller.text.length).toBeLessThan(20_000_000);
});

test('a key that is withdrawn ends the requests whose responses have not arrived, each in its turn', async () => {
	await start();
	const caller = await sendAhead(
		[{kind: 'answer', body: body(100_000)}, {kind: 'stall'}],
		waiting,
		otherKey,
	);
	await waitUntil(() => fixture.state.openGrants === 2);
	fixture.withdrawKey();
	fixture.clock.advance(500);
	await waitUntil(() => fixture.state.openGrants === 1);
	fixture.target.releaseWaitingRequests();
	expect(await readAll(caller, 3)).toEqual([200, 200, 401]);
	caller.socket.destroy();
});

type RequestEnd = {readonly status: number; readonly cut: ResponseCut | undefined};

// Node emits no event on a response whose connection closes before its turn.
test.each([
	['of the caller', undefined, ({socket}: Caller) => void socket.destroy()],
	['of a cut response', 'incomplete-answer', () => void fixture.received()[0]!.socket.end()],
])('requests whose connection closes because %s end their spans', async (_what, reason, close) => {
	const ends: RequestEnd[] = [];
	const startRequest = () => ({
		startHop: () => ({traceparent: undefined, end: () => undefined}),
		end: (status: number, cut: ResponseCut | undefined) => void ends.push({status, cut}),
	});
	await start({hasManualClock: false, listener: {tracer: {startRequest}}});
	const caller = await sendAhead([{kind: 'stall'}, {kind: 'stall'}], {
		kind: 'raw',
		bytes: 'HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n',
	});
	fixture.received()[0]!.socket.write(body(20_000));
	await waitUntil(() => caller.text.length > 20_000);
	close(caller);
	await waitUntil(() => ends.length === 3);
	expect(ends).toEqual(
		[0, 1, 2].map(earlierResponses => ({status: 0, cut: {reason, earlierResponses}})),
	);
});

// The reset discarded what the operating system had not sent yet.
test('a response that is cut leaves the earlier ones whole, also for a caller that has not read them', async () => {
	const bytes = 300_000;
	await start();
	fixture.target.queueBehaviours({kind: 'answer', body: body(bytes)}, cutAfter(1_500_000));
	const caller = connectCaller(fixture);
	caller.socket.pause();
	caller.write(requestFor('first') + requestFor('queued'));
	await waitUntil(() => fixture.state.counts.has('reset-answers incomplete-answer'));
	caller.socket.resume();
	await waitUntil(() => caller.isClosed);
	expect(caller.text.split('HTTP/1.1')[1]!.length).toBeGreaterThan(bytes);
});

// The first response closed the connection, although targets were at work on the others.
test('a leaving instance closes a connection behind the last response, and reads no further request', async () => {
	await start();
	const caller = await sendAhead([waiting, waiting]);
	fixture.listener.beginLeaving();
	caller.write(requestFor('queued', 9));
	fixture.target.releaseWaitingRequests();
	await waitUntil(() => caller.isClosed);
	expect(statusesOf(caller.text)).toEqual([200, 200, 200]);
	const heads = caller.text.toLowerCase().split('http/1.1 200').slice(1);
	expect(heads.map(text => text.includes('connection: close'))).toEqual([false, false, true]);
	expect(fixture.received()).toHaveLength(3);
});

test('a refusal by a leaving instance leaves the responses behind it alone', async () => {
	await start();
	const caller = connectCaller(fixture);
	fixture.target.queueBehaviours(waiting, waiting);
	caller.write(requestFor('first') + requestFor('first', 2, 'unknown') + requestFor('queued'));
	await waitUntil(() => fixture.received().length === 2);
	fixture.listener.beginLeaving();
	fixture.withdrawKey();
	fixture.clock.advance(500);
	await waitUntil(() => caller.isClosed);
	expect(statusesOf(caller.text)).toEqual([401, 401, 401]);
});

const expectingHead =
	'POST /queued/1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n' +
	`Content-Length: 4\r\nX-Api-Key: ${key}\r\n\r\n`;

// Written before its turn, the interim response ended up in the body of the final one.
test('100 Continue for a request that was sent ahead comes before the head of its response', async () => {
	await start();
	const caller = await sendAhead([]);
	fixture.target.queueBehaviours({kind: 'answer', headers: {'content-length': '5'}, body: 'whole'});
	// A caller need not wait for the interim response before it sends the body.
	caller.write(`${expectingHead}swap`);
	await waitUntil(() => fixture.state.admitted === 2);
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	expect(caller.text).toBe('');
	fixture.target.releaseWaitingRequests();
	await waitUntil(() => caller.text.endsWith('whole'));
	const [firstResponse, interim, final] = caller.text.split(/(?=HTTP\/1\.1 )/);
	expect(firstResponse).toContain('"url":"/first/1"');
	expect(interim).toBe('HTTP/1.1 100 Continue\r\n\r\n');
	expect(final).toMatch(/^HTTP\/1\.1 200 .*\r\n\r\nwhole$/s);
	expect(fixture.received()[1]).toMatchObject({isComplete: true, body: 'swap'});
	caller.socket.destroy();
});

test('a caller that leaves while its 100 Continue waits leaves nothing behind', async () => {
	await start();
	const caller = await sendAhead([]);
	caller.write(expectingHead);
	await waitUntil(() => fixture.state.admitted === 2);
	caller.socket.destroy();
	await waitUntil(() => fixture.listener.activeRequests === 0);
	await waitUntil(() => fixture.state.openGrants === 0);
	expect(fixture.received()).toHaveLength(1);
});

test('a request whose time is over before its body can be asked for is refused as not run', async () => {
	await start();
	const caller = await sendAhead([]);
	caller.write(expectingHead);
	await waitUntil(() => fixture.state.admitted === 2);
	fixture.clock.advance(firstWork);
	fixture.target.releaseWaitingRequests();
	await waitUntil(() => caller.text.includes('100 Continue'));
	caller.write('swap');
	await waitUntil(() => caller.text.includes('"code":"deadline-exceeded","outcome":"not-run"'));
	expect(fixture.received()).toHaveLength(1);
	caller.socket.destroy();
});

// Each such request stayed in memory for good, until the process ended.
test('the keys of requests whose connection has closed are not watched any more', async () => {
	await start();
	const caller = await sendAhead([{kind: 'stall'}, {kind: 'stall'}]);
	caller.socket.destroy();
	await waitUntil(() => fixture.state.openGrants === 0);
	fixture.withdrawKey();
	const tables = fixture.state.tables!;
	let checkedKeys = 0;
	fixture.state.tables = {
		...tables,
		isActiveKeyDigest(...parameters) {
			checkedKeys++;
			return tables.isActiveKeyDigest(...parameters);
		},
	};
	fixture.clock.advance(defaultHttpLimits.keyCheckInterval);
	expect(checkedKeys).toBe(0);
});

test('a refusal that closes the connection comes behind the responses to earlier requests', async () => {
	await start();
	const caller = await sendAhead([{kind: 'answer', body: body(100_000)}]);
	caller.write('GET /queued/9 HTTP/1.1\r\n\r\n');
	await waitUntil(() => fixture.state.counts.has('refusals invalid-host'));
	caller.write(requestFor('queued', 10));
	fixture.target.releaseWaitingRequests();
	await waitUntil(() => caller.isClosed);
	expect(statusesOf(caller.text)).toEqual([200, 200, 400]);
	expect(fixture.received()).toHaveLength(2);
});

const unframed = {requestIdHeader: undefined, acceptsUnframed: true};
/** Responds without a length and ends the connection. */
const endsWithConnection: StandInTargetBehaviour = {
	kind: 'raw',
	bytes: 'HTTP/1.1 200 OK\r\n\r\nwhole',
	ends: true,
};

// Only the end of the connection ended the first response, so those behind it were lost.
test('a response without a length leaves the connection open for those behind it', async () => {
	await start({listener: {dialect: {...defaultDialect, ...unframed}}});
	const caller = connectCaller(fixture);
	fixture.target.queueBehaviours(waiting, endsWithConnection, waiting);
	caller.write(requestFor('first') + requestFor('queued', 1) + requestFor('queued', 2));
	await waitUntil(() => fixture.received().length === 3);
	fixture.target.releaseWaitingRequests();
	expect(await readAll(caller, 3)).toEqual([200, 200, 200]);
	const [, second] = caller.text.toLowerCase().split('http/1.1 200 ok').slice(1);
	expect(second).toMatch(/content-length: 5\r\n[^]*\r\n\r\nwhole$/);
	expect(caller.isClosed).toBe(false);
	caller.socket.destroy();
});

test('a response without a length and with none behind it ends with its connection', async () => {
	await start({listener: {dialect: {...defaultDialect, ...unframed}}});
	const caller = connectCaller(fixture);
	fixture.target.queueBehaviours(endsWithConnection);
	caller.write(requestFor('first'));
	await waitUntil(() => caller.isClosed);
	expect(caller.text.toLowerCase()).not.toContain('content-length');
	expect(caller.text.endsWith('whole')).toBe(true);
});

// The first chunk began the response, and its cut closed the connection with the one behind.
test('a chunked response that is cut early is replaced while others are behind it', async () => {
	await start();
	const bytes = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
	const caller = await sendAhead([{kind: 'echo'}], {kind: 'raw', bytes});
	fixture.received()[0]!.socket.end('3\r\nabc\r\n');
	expect(await readAll(caller, 2)).toEqual([502, 200]);
	expect(caller.isClosed).toBe(false);
	caller.socket.destroy();
});

test('no request is passed on behind a response that has begun and may still be cut', async () => {
	await start();
	const head = 'HTTP/1.1 200 OK\r\nContent-Length: 50000\r\nConnection: close\r\n\r\n';
	fixture.target.queueBehaviours({kind: 'raw', bytes: head + body(20_000)});
	const caller = connectCaller(fixture);
	caller.write(requestFor('first'));
	await waitUntil(() => caller.text.length > 20_000);
	caller.write(requestFor('queued'));
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	expect(fixture.received()).toHaveLength(1);
	fixture.received()[0]!.socket.end(body(30_000));
	expect(await readAll(caller, 2)).toEqual([200, 200]);
	caller.socket.destroy();
});

test('events reach the caller at once, also while others wait behind them', async () => {
	await start();
	const caller = await sendAhead([{kind: 'echo'}], {
		kind: 'raw',
		bytes:
			'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n' +
			'Transfer-Encoding: chunked\r\n\r\n',
	});
	fixture.received()[0]!.socket.write('9\r\ndata: a\n\n\r\n');
	await waitUntil(() => caller.text.includes('data: a'));
	fixture.received()[0]!.socket.write('0\r\n\r\n');
	expect(await readAll(caller, 2)).toEqual([200, 200]);
	caller.socket.destroy();
});

// The parser's error closed the connection at once, and the responses in progress were lost.
test('bytes that are no request close the connection behind the responses in progress', async () => {
	await start();
	const caller = await sendAhead([waiting]);
	caller.write('no request\r\n\r\n');
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	expect(caller.isClosed).toBe(false);
	fixture.target.releaseWaitingRequests();
	await waitUntil(() => caller.isClosed);
	expect(statusesOf(caller.text)).toEqual([200, 200]);
	const heads = caller.text.toLowerCase().split('http/1.1 200').slice(1);
	expect(heads.map(text => text.includes('connection: close'))).toEqual([false, true]);
});
