/**
 * Guards against chunks that are lost or reordered when they are joined, and against a cost that
 * counts only their bytes.
 */
import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import {createChunkCollector} from '../chunk-collector.js';

test('joins chunks of any sizes in their order', () => {
	const sizes = [1, 1, 5000, 3, 4095, 2, 4096, 10_000, 1, 7];
	const chunks = sizes.map((size, index) => Buffer.alloc(size, index + 1));
	const collector = createChunkCollector();
	for (const chunk of chunks) {
		collector.push(chunk);
	}

	const whole = Buffer.concat(chunks);
	expect(collector.bytes).toBe(whole.length);
	expect(whole.equals(collector.take())).toBe(true);
	expect([collector.bytes, collector.cost, collector.take().length]).toEqual([0, 0, 0]);
});

test('a body of tiny chunks costs little more than its bytes', () => {
	const collector = createChunkCollector();
	for (let index = 0; index < 60_000; index++) {
		collector.push(Buffer.alloc(1));
	}

	expect(collector.cost).toBeGreaterThanOrEqual(60_000);
	expect(collector.cost).toBeLessThan(70_000);
});
