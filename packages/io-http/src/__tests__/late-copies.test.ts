/**
 * Guards against a faulty target that writes an earlier response once more on a connection that is
 * in use again: the next caller would get an answer that is not its own, or would be told that its
 * request did not run.
 */
import {afterEach, beforeEach, describe, expect, test} from '@jest/globals';
import {defaultDialect, type RequestDialect} from '../request-dialect.js';
import {createFixture, key, send, type Fixture} from './support.js';

let fixture: Fixture;

async function start(dialect: RequestDialect): Promise<void> {
	fixture = await createFixture({
		targets: 1,
		routes: [{id: 'main', pathPrefix: '/', service: 'roster', timeout: 2000, attempts: 1}],
		listener: {dialect},
	});
}

async function post(id: string) {
	return send(fixture, {method: 'POST', headers: {'x-api-key': key, 'x-id': id}, body: 'a'});
}

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.internalErrors).toEqual([]);
});

const served = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Id: 1\r\n\r\nown';
const refused =
	'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Id: 1\r\nX-Shed: not-run\r\nRetry-After: 1\r\n\r\n';

describe('with an id that targets repeat', () => {
	beforeEach(async () => {
		await start({...defaultDialect, requestIdHeader: 'x-id'});
	});

	test.each([
		['answer', served],
		['refusal', refused],
	])('an earlier %s is not taken for the answer to the next request', async (_what, copy) => {
		fixture.target.queueBehaviours({kind: 'raw', bytes: served});
		expect(await post('1')).toMatchObject({status: 200, body: 'own'});
		fixture.target.queueBehaviours({kind: 'raw', bytes: copy});
		const response = await post('2');
		expect(response.status).toBe(502);
		expect(response.body).toContain('"outcome":"may-have-run"');
		expect(fixture.received()).toHaveLength(2);
	});
});

describe('without an id that targets repeat', () => {
	test('an earlier answer is not taken for the answer to the next request', async () => {
		await start(defaultDialect);
		fixture.target.queueBehaviours({kind: 'raw', bytes: served});
		expect(await post('1')).toMatchObject({status: 200, body: 'own'});
		fixture.target.queueBehaviours({kind: 'raw', bytes: served});
		const {body} = await post('2');
		expect(body).not.toBe('own');
	});
});

test('the connection of a refusal is not used again, so that no copy of it can follow', async () => {
	await start(defaultDialect);
	fixture.target.queueBehaviours({kind: 'raw', bytes: refused});
	expect(await post('1')).toMatchObject({status: 503});
	const [first] = fixture.received();
	fixture.target.queueBehaviours({kind: 'raw', bytes: served});
	expect(await post('2')).toMatchObject({status: 200, body: 'own'});
	expect(fixture.received()[1]!.socket).not.toBe(first!.socket);
	expect(fixture.target.connections).toBe(2);
});
