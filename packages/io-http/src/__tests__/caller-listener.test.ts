import {afterEach, expect, test} from '@jest/globals';
import {createFixture, key, problemOf, send, type Fixture, type FixtureOptions} from './support.js';

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

test('a request reaches a target and its answer the caller, and the slot is released once', async () => {
	await start();
	const answer = await send(fixture, {
		method: 'POST',
		path: '/roster/7?week=3',
		headers: {authorization: `Bearer ${key}`, 'x-kept': 'yes'},
		body: 'swap',
	});
	expect(answer).toMatchObject({status: 200, error: undefined});
	expect(JSON.parse(answer.body)).toMatchObject({
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
	const answer = await send(fixture, {headers: {'x-api-key': 'guess'}});
	expect(answer.headers['content-type']).toBe('application/problem+json');
	expect(problemOf(answer)).toEqual({code: 'unknown-key', outcome: 'not-run'});
	expect(fixture.received()).toHaveLength(0);
});
