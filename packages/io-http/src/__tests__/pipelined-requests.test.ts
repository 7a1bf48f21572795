/**
 * Guards against requests that are sent ahead on a connection and cost another request on it its
 * response: responses are written in the order of their requests, so one that is ready, late or
 * broken before its turn must leave the others alone.
 */
import {afterEach, expect, test} from '@jest/globals';
import {type StandInTargetBehaviour} from '@shallotpond/testkit/stand-in-target';
import {type ResponseCut} from '../response-order.js';
import {
	connectCaller,
	createFixture,
	key,
	waitUntil,
	type Caller,
	type Fixture,
	type FixtureOptions,
} from './support.js';

let fixture: Fixture;

const answerReserve = 200;
const first = {id: 'first', timeout: 5000, answerTimeout: 5000 + answerReserve};
const queued = {id: 'queued', timeout: 1000, answerTimeout: 1000 + answerReserve};

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

function requestFor(route: 'first' | 'queued', number = 1, headers = ''): string {
	return `GET /${route}/${number} HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\n${headers}\r\n`;
}

const waiting: StandInTargetBehaviour = {kind: 'wait'};

/**
 * Sends a request that waits at its target, unless it has another behaviour, and behind it others
 * with the given behaviours.
 */
async function sendAhead(
	behaviours: readonly StandInTargetBehaviour[],
	firstBehaviour: StandInTargetBehaviour = waiting,
) {
	const caller = connectCaller(fixture);
	fixture.target.queueBehaviours(firstBehaviour);
	caller.write(requestFor('first'));
	const {received} = fixture;
	await waitUntil(() => received().length === 1);
	for (const [index, behaviour] of behaviours.entries()) {
		fixture.target.queueBehaviours(behaviour);
		caller.write(requestFor('queued', index));
		await waitUntil(() => received().length === index + 2);
	}

	return caller;
}

const body = (bytes: number) => 'b'.repeat(bytes);
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
		bytes: `HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n${body(20_000)}`,
	});
	await waitUntil(() => caller.text.length > 20_000);
	close(caller);
	await waitUntil(() => ends.length === 3);
	expect(ends).toEqual(
		[0, 1, 2].map(earlierResponses => ({status: 0, cut: {reason, earlierResponses}})),
	);
});
