/**
 * Guards against a request that is given up, without having been sent, because its attempts were
 * used up by targets to which no connection could be established; and against a search for a target
 * without end.
 */
import {afterEach, describe, expect, test} from '@jest/globals';
import {createFixture, key, problemOf, send, type Fixture} from './support.js';

let fixture: Fixture;

/** Starts five targets, of which the first ones accept no connection. */
async function start(unreachableTargets: number): Promise<void> {
	fixture = await createFixture({
		targets: 5,
		routes: [{id: 'main', pathPrefix: '/', service: 'roster', timeout: 5000, attempts: 2}],
	});
	for (const target of fixture.targets.slice(0, unreachableTargets)) {
		await target.stop();
	}
}

async function request(method: string) {
	return send(fixture, {method, headers: {authorization: `Bearer ${key}`}});
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.openGrants).toBe(0);
});

describe.each(['GET', 'POST'])('%s on a route of two attempts', method => {
	test('is served by the third target if the first two cannot be connected', async () => {
		await start(2);
		expect(await request(method)).toMatchObject({status: 200});
		expect(fixture.received()).toHaveLength(1);
	});

	test('ends as not run after four targets that cannot be connected', async () => {
		await start(4);
		const response = await request(method);
		expect(problemOf(response)).toMatchObject({code: 'target-unreachable', outcome: 'not-run'});
		expect(fixture.state.outcomes).toHaveLength(4);
	});
});
