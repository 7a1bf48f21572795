/**
 * Guards against requests that reach a target although the policy refuses them, slots that are not
 * released after an internal error, and responses that claim without proof that a request did not
 * run.
 */
import {type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {afterEach, expect, test} from '@jest/globals';
import {type RequestTracer} from '../request-tracer.js';
import {
	createFixture,
	key,
	otherKey,
	problemOf,
	send,
	sendRaw,
	waitUntil,
	type Fixture,
	type FixtureOptions,
} from './support.js';

let fixture: Fixture;

async function start(options?: FixtureOptions) {
	fixture = await createFixture(options);
	return fixture;
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.internalErrors).toEqual([]);
	expect(fixture.state.openGrants).toBe(0);
});

test('a request reaches a target and its response the caller, and the slot is released once', async () => {
	await start();
	const response = await send(fixture, {
		method: 'POST',
		path: '/roster/7?week=3',
		headers: {authorization: `Bearer ${key}`, 'x-kept': 'yes'},
		body: 'swap',
	});
	expect(response).toMatchObject({status: 200, error: undefined});
	expect(JSON.parse(response.body)).toMatchObject({
		method: 'POST',
		url: '/roster/7?week=3',
		body: 'swap',
	});
	expect(fixture.state.outcomes).toMatchObject([{result: 'ok', target: 't0'}]);
});

test('a request without a key or with an unknown one never reaches a target', async () => {
	await start();
	expect(problemOf(await send(fixture, {headers: {}}))).toEqual({
		code: 'missing-key',
		outcome: 'not-run',
	});
	const response = await send(fixture, {headers: {'x-api-key': 'guess'}});
	expect(response.headers['content-type']).toBe('application/problem+json');
	expect(problemOf(response)).toEqual({code: 'unknown-key', outcome: 'not-run'});
	expect(fixture.received()).toHaveLength(0);
});

test('an instance that cannot verify keys refuses keyed routes and serves open ones', async () => {
	const routes = [
		{id: 'keyed', pathPrefix: '/', service: 'roster'},
		{id: 'stubborn', pathPrefix: '/stubborn', service: 'roster', onIsolation: 'serve'},
		{id: 'open', pathPrefix: '/open', service: 'roster', open: true},
	];
	await start({routes, policy: {isIsolated: () => true}});
	const response = await send(fixture, {path: '/'});
	expect(response).toMatchObject({status: 503, headers: {'retry-after': '1'}});
	expect(problemOf(response)).toEqual({code: 'isolated', outcome: 'not-run'});
	expect(await send(fixture, {path: '/stubborn'})).toMatchObject({status: 200});
	expect(await send(fixture, {path: '/open', headers: {}})).toMatchObject({status: 200});
	fixture.state.tables = undefined;
	expect(problemOf(await send(fixture))).toEqual({code: 'not-ready', outcome: 'not-run'});
});

test('refusals of the policies reach the caller with their code, and nothing reaches a target', async () => {
	const refuse = (code: string): Refusal => ({
		kind: 'refused',
		code,
		status: 429,
		detail: 'No more',
		runState: 'not-run',
		retryAfter: 1200,
	});
	await start({
		policy: {
			admit: async ({workspace}) =>
				workspace === 'moss' ? refuse('rate-exceeded') : {kind: 'admitted'},
			claimIdempotencyKey: async () => refuse('duplicate-key'),
			acquireAttemptPermit: async () => refuse('crashes-targets'),
		},
	});
	const refused = await send(fixture, {headers: {'x-api-key': otherKey}});
	expect(refused).toMatchObject({status: 429, headers: {'retry-after': '2'}});
	expect(problemOf(refused)).toEqual({code: 'rate-exceeded', outcome: 'not-run'});
	expect(problemOf(await send(fixture)).code).toBe('crashes-targets');
	const headers = {'x-api-key': key, 'idempotency-key': 'a'};
	expect(problemOf(await send(fixture, {method: 'POST', headers})).code).toBe('duplicate-key');
	expect(fixture.received()).toHaveLength(0);
});

test('each hop has a span, and the target gets the trace of its attempt', async () => {
	const spans: string[] = [];
	const tracer: RequestTracer = {
		startRequest: ({method, route, traceparent}) => ({
			startHop: name => ({
				traceparent: `trace-of-${name}`,
				end: result => void spans.push(`${name} ${result}`),
			}),
			end: status => void spans.push(`${method} ${route} ${traceparent!} ${status}`),
		}),
	};
	await start({listener: {tracer}});
	fixture.target.setBehaviour({kind: 'crash'});
	const headers = {'x-api-key': key, traceparent: 'of-caller'};
	const response = await send(fixture, {headers});
	expect(response.body).toContain('trace-of-attempt');
	expect(response.body).not.toContain('of-caller');
	await waitUntil(() => spans.length === 7);
	expect(spans).toEqual([
		'admit admitted',
		'queue ok',
		'attempt connection-broken',
		'check down',
		'queue ok',
		'attempt delivered',
		'GET main of-caller 200',
	]);
});

test('a body behind Expect: 100-continue is requested only when the request is accepted', async () => {
	await start();
	const headers = {'x-api-key': key, expect: '100-continue'};
	const wanted = await send(fixture, {method: 'POST', headers, body: 'swap'});
	expect(JSON.parse(wanted.body)).toMatchObject({body: 'swap'});
	const text = await sendRaw(
		fixture,
		'POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n',
	);
	expect(text).toMatch(/^HTTP\/1\.1 401 /);
});

test('an error inside the instance is reported and does not claim that nothing ran', async () => {
	await start({
		policy: {
			async admit() {
				throw new Error('broken policy');
			},
		},
	});
	expect(problemOf(await send(fixture))).toEqual({
		code: 'internal-error',
		outcome: 'may-have-run',
	});
	expect(fixture.state.internalErrors.splice(0)).toHaveLength(1);
});

test('an unexpected error after a slot was granted still releases the slot', async () => {
	const tracer: RequestTracer = {
		startRequest: () => ({
			startHop(name) {
				if (name === 'attempt') {
					throw new Error('broken tracer');
				}

				return {traceparent: undefined, end: () => undefined};
			},
			end: () => undefined,
		}),
	};
	await start({listener: {tracer}});
	expect(problemOf(await send(fixture)).code).toBe('internal-error');
	expect(fixture.state.outcomes).toMatchObject([{result: 'cancelled'}]);
	expect(fixture.state.internalErrors.splice(0)).toHaveLength(1);
});
