/**
 * Guards against bytes of a target that reach a caller as a response although their status code is
 * none (RFC 9110, section 15: 100 to 599), and against a failure of the caller's request where
 * another target could have served it.
 */
import {afterEach, expect, test} from '@jest/globals';
import {createFixture, send, type Fixture} from './support.js';

const invalidStatuses = ['000', '099', '199', '600', '601', '999', '2000', '20x', 'abc', '-20'];
/** Whether the target closes the connection behind the bytes. */
const endings = [true, false];
const cases = invalidStatuses.flatMap(status => endings.map(ends => [status, ends] as const));

let fixture: Fixture;

afterEach(async () => {
	await fixture.stop();
	expect(fixture.state.internalErrors).toEqual([]);
	expect(fixture.state.openGrants).toBe(0);
});

async function startFaultyTarget(targets: number, status: string, ends: boolean): Promise<void> {
	fixture = await createFixture({targets});
	const bytes = `HTTP/1.1 ${status} Trouble\r\nContent-Length: 2\r\n\r\nok`;
	fixture.target.setBehaviour({kind: 'raw', bytes, ends});
}

test.each(cases)(
	'a request that may be repeated is served by another target after status %s (connection ends: %s)',
	async (status, ends) => {
		await startFaultyTarget(2, status, ends);
		expect(await send(fixture)).toMatchObject({status: 200});
		expect(fixture.state.outcomes.map(({result}) => result)).toEqual(['incomplete', 'ok']);
	},
);

test.each(cases)(
	'a request that must not be repeated ends with a problem after status %s (connection ends: %s)',
	async (status, ends) => {
		await startFaultyTarget(2, status, ends);
		const response = await send(fixture, {method: 'POST', body: 'a'});
		expect(response.status).toBe(502);
		expect(JSON.parse(response.body)).toMatchObject({outcome: 'may-have-run'});
		expect(fixture.received()).toHaveLength(1);
		expect(fixture.state.outcomes).toMatchObject([{result: 'incomplete'}]);
	},
);

test.each(['200', '299', '404', '599'])('status %s of a target is passed on', async status => {
	await startFaultyTarget(1, status, true);
	const response = await send(fixture, {method: 'POST', body: 'a'});
	expect(response).toMatchObject({status: Number(status), body: 'ok'});
});
