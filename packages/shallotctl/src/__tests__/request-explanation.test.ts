/**
 * Guards against explanations that name the wrong cause: the log mixes the lines of several
 * instances, whose targets change state at the same time, and lines may be missing or malformed.
 */
import {describe, expect, test} from '@jest/globals';
import {parseLogLine, explainRequest} from '../request-explanation.js';

const timestampAt = (second: number) => new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
const createLine = (
	second: number,
	instance: string,
	message: string,
	fields: Record<string, unknown> = {},
) =>
	parseLogLine(
		JSON.stringify({message, instance, timestamp: timestampAt(second), level: 'info', ...fields}),
	)!;

describe('explanation of a request', () => {
	test('a request refused by the rate limit is explained with the values behind the decision', () => {
		const hops = [{hop: 'admit', result: 'refused', tokens: -2, rate: 37, contact: 1}];
		const explanation = explainRequest(
			[createLine(5, 'a', 'request', {id: 'r1', status: 429, hops})],
			'r1',
		)!;
		expect(explanation.cause).toContain('rate');
		expect(explanation.requests[0]!.hops).toEqual(hops);
	});

	test('a request that failed at a target is explained with earlier events of only this target and instance', () => {
		const hops = [
			{hop: 'queue', result: 'ok'},
			{hop: 'attempt', result: 'timeout', target: 'i-1', risk: 0.06},
		];
		const explanation = explainRequest(
			[
				createLine(1, 'a', 'target-suspected', {target: 'i-1@77', failureRisk: 0.4}),
				createLine(2, 'a', 'target-suspected', {target: 'i-2@77'}),
				createLine(2, 'b', 'target-suspected', {target: 'i-1@77'}),
				createLine(5, 'a', 'request', {id: 'r1', status: 504, hops}),
				createLine(6, 'a', 'target-trusted', {target: 'i-1@77'}),
			],
			'r1',
		)!;
		expect(explanation.cause).toContain('silent');
		expect(explanation.context).toHaveLength(1);
		expect(explanation.context[0]).toMatchObject({message: 'target-suspected', instance: 'a'});
	});

	test('a response that was cut is explained with who closed its connection, and what it waited for', () => {
		const causeOf = (fields: Record<string, unknown>) =>
			explainRequest(
				[createLine(5, 'a', 'request', {id: 'r1', status: 0, hops: [{hop: 'turn'}], ...fields})],
				'r1',
			)!.cause;
		expect(causeOf({behind: 0})).toContain('the caller disconnected');
		const cause = causeOf({closedFor: 'incomplete-answer', behind: 2});
		expect(cause).toContain('the instance closed the connection (incomplete-answer)');
		expect(cause).toContain('2 earlier responses');
	});

	test('a second attempt that was refused or lost its race does not hide the cause', () => {
		const hops = [
			{hop: 'queue', result: 'ok'},
			{hop: 'attempt', result: 'timeout', target: 'i-1'},
			{hop: 'queue', result: 'hedge-limit', hedge: 1},
		];
		const lost = [...hops, {hop: 'attempt', result: 'lost-race', target: 'i-2'}];
		for (const logged of [hops, lost]) {
			const line = createLine(5, 'a', 'request', {id: 'r1', status: 504, hops: logged});
			expect(explainRequest([line], 'r1')!.cause).toContain('silent');
		}
	});

	test('a request refused during a store outage is explained with the state changes and the count of dropped lines', () => {
		const explanation = explainRequest(
			[
				createLine(1, 'a', 'store-lost', {reason: 'reset'}),
				createLine(5, 'a', 'certainty-lost', {age: 4300}),
				createLine(6, 'a', 'request-refused', {id: 'r1', code: 'isolated'}),
				createLine(7, 'b', 'lines-dropped', {lines: 12}),
			],
			'r1',
		)!;
		expect(explanation.cause).toContain('certainty-lost');
		expect(explanation.context.map(({message}) => message)).toEqual([
			'store-lost',
			'certainty-lost',
		]);
		expect(explanation.droppedLines).toBe(12);
	});

	test('an unknown request id and lines that are not log lines cause no error', () => {
		expect(explainRequest([createLine(1, 'a', 'started')], 'r1')).toBeUndefined();
		expect(parseLogLine('  1.25 a not a log line')).toBeUndefined();
		expect(parseLogLine('{"message": 7}')).toBeUndefined();
	});
});
