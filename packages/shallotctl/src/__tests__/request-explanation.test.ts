/** From the id of a failed request to its cause, with the lines of several instances mixed. */
import {describe, expect, test} from '@jest/globals';
import {parseLogLine, explainRequest} from '../request-explanation.js';

const at = (second: number) => new Date(Date.UTC(2026, 0, 1, 0, 0, second)).toISOString();
const line = (
	second: number,
	instance: string,
	message: string,
	fields: Record<string, unknown> = {},
) =>
	parseLogLine(
		JSON.stringify({message, instance, timestamp: at(second), level: 'info', ...fields}),
	)!;

describe('story of a request', () => {
	test('a request that the rate refused, with what the decision was based on', () => {
		const hops = [{hop: 'admit', result: 'refused', tokens: -2, rate: 37, contact: 1}];
		const story = explainRequest([line(5, 'a', 'request', {id: 'r1', status: 429, hops})], 'r1')!;
		expect(story.cause).toContain('rate');
		expect(story.requests[0]!.hops).toEqual(hops);
	});

	test('a request that a failing target answered, with what was known of that target only', () => {
		const hops = [
			{hop: 'queue', result: 'ok'},
			{hop: 'attempt', result: 'timeout', target: 'i-1', risk: 0.06},
		];
		const story = explainRequest(
			[
				line(1, 'a', 'target-suspected', {target: 'i-1@77', failureRisk: 0.4}),
				line(2, 'a', 'target-suspected', {target: 'i-2@77'}),
				line(2, 'b', 'target-suspected', {target: 'i-1@77'}),
				line(5, 'a', 'request', {id: 'r1', status: 504, hops}),
				line(6, 'a', 'target-trusted', {target: 'i-1@77'}),
			],
			'r1',
		)!;
		expect(story.cause).toContain('silent');
		expect(story.context).toHaveLength(1);
		expect(story.context[0]).toMatchObject({message: 'target-suspected', instance: 'a'});
	});

	test('a request refused while the store was away, and lines that were dropped', () => {
		const story = explainRequest(
			[
				line(1, 'a', 'store-lost', {reason: 'reset'}),
				line(5, 'a', 'certainty-lost', {age: 4300}),
				line(6, 'a', 'request-refused', {id: 'r1', code: 'isolated'}),
				line(7, 'b', 'lines-dropped', {lines: 12}),
			],
			'r1',
		)!;
		expect(story.cause).toContain('certainty-lost');
		expect(story.context.map(({message}) => message)).toEqual(['store-lost', 'certainty-lost']);
		expect(story.droppedLines).toBe(12);
	});

	test('an unknown id, and lines that are none, are no error', () => {
		expect(explainRequest([line(1, 'a', 'started')], 'r1')).toBeUndefined();
		expect(parseLogLine('  1.25 a not a log line')).toBeUndefined();
		expect(parseLogLine('{"message": 7}')).toBeUndefined();
	});
});
