/**
 * Guards against notices of targets that are missed (a target that is leaving gets further
 * requests), and against notices that are believed although the response does not belong to the
 * request or comes from another process at the address.
 */
import {afterEach, expect, test} from '@jest/globals';
import {type TargetNotice} from '@shallotpond/kernel/attempt-outcome';
import {type StandInTargetBehaviour} from '@shallotpond/testkit/stand-in-target';
import {defaultDialect, readTargetNotice, type RequestDialect} from '../request-dialect.js';
import {parseRetryAfter} from '../retry-after-header.js';
import {createFixture, send, type Fixture} from './support.js';

let fixture: Fixture;
const notices: TargetNotice[] = [];

afterEach(async () => {
	notices.length = 0;
	await fixture.stop();
	expect(fixture.state.internalErrors).toEqual([]);
});

async function start(dialect: RequestDialect): Promise<void> {
	fixture = await createFixture({
		targets: 1,
		routes: [{id: 'main', pathPrefix: '/', service: 'roster', timeout: 2000, attempts: 1}],
		listener: {dialect},
		policy: {
			acquireSlot: async () => ({
				kind: 'granted',
				target: fixture.state.tables!.document.services.roster!.targets[0]!,
				signal: new AbortController().signal,
				keepsConnection: true,
				isInForce: () => true,
				recordNotice: notice => void notices.push(notice),
				release: () => undefined,
			}),
		},
	});
}

const answer = (status: number, headers: Record<string, string>): StandInTargetBehaviour => ({
	kind: 'answer',
	status,
	headers,
	body: 'x',
});

test.each([200, 404, 500, 503])('a target that is leaving says so with status %i', async status => {
	await start(defaultDialect);
	fixture.target.setBehaviour(answer(status, {'x-target-leaving': '1'}));
	await send(fixture);
	expect(notices).toEqual([{isLeaving: true, holdOff: undefined}]);
});

test('a pause is read from a 503 only, and other values of the header are no notice', async () => {
	await start(defaultDialect);
	fixture.target.queueBehaviours(
		answer(503, {'retry-after': '2.5'}),
		answer(503, {'x-shed': 'not-run', 'retry-after': '3'}),
		answer(500, {'retry-after': '2'}),
		answer(200, {'retry-after': '2', 'x-target-leaving': '0'}),
		answer(503, {'retry-after': 'Wed, 21 Oct 2026 07:28:00 GMT'}),
	);
	for (let index = 0; index < 5; index++) {
		await send(fixture);
	}

	expect(notices).toEqual([
		{isLeaving: false, holdOff: 2500},
		{isLeaving: false, holdOff: 3000},
	]);
});

test('the notice of a response to another request, or of another process, is not believed', async () => {
	await start({
		...defaultDialect,
		requestIdHeader: 'x-id',
		readShed: ({statusCode}) =>
			statusCode === 421 ? {retryAfter: undefined, isMisdirected: true} : undefined,
		readNotice: response => readTargetNotice(response, 'x-target-leaving'),
	});
	fixture.target.queueBehaviours(
		answer(200, {'x-target-leaving': '1', 'x-id': 'other'}),
		answer(503, {'retry-after': '9'}),
		answer(421, {'x-target-leaving': '1', 'x-id': 'mine'}),
		answer(200, {'x-target-leaving': '1', 'x-id': 'mine'}),
	);
	for (let index = 0; index < 4; index++) {
		await send(fixture, {headers: {'x-api-key': 'secret-key-of-reed', 'x-id': 'mine'}});
	}

	expect(notices).toEqual([{isLeaving: true, holdOff: undefined}]);
});

test.each([
	['0.25', 250],
	['3', 3000],
	['999999999', 999_999_999_000],
	['0', undefined],
	['-1', undefined],
	['+1', undefined],
	['1e3', undefined],
	['0x10', undefined],
	['1,5', undefined],
	['.5', undefined],
	['Infinity', undefined],
	['9999999999', undefined],
	['', undefined],
	[' ', undefined],
	['1 2', undefined],
])('Retry-After %j is %j ms', (value, expected) => {
	expect(parseRetryAfter(value)).toBe(expected);
});
