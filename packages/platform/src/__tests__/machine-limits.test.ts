/**
 * Guards against limits for callers that exceed a small machine, or that ordinary callers meet.
 */
import {expect, test} from '@jest/globals';
import {limitsOfMachine} from '../machine-limits.js';

const megabyte = 1_048_576;

test('callers get a part of the scarcer of memory and heap, and of the descriptors', () => {
	const machine = {memory: 250 * megabyte, descriptors: 4100, heap: 206 * megabyte};
	expect(limitsOfMachine(machine)).toEqual({
		maxHeldBytes: Math.floor(206 * megabyte * 0.2),
		maxTotalHeldResponseBytes: 50 * megabyte,
		maxCallerConnections: 2870,
	});
	expect(limitsOfMachine({...machine, memory: 100 * megabyte}).maxHeldBytes).toBe(20 * megabyte);
});

test('without figures of the machine the defaults hold, within the heap', () => {
	const limits = limitsOfMachine({memory: undefined, descriptors: undefined, heap: 1e12});
	expect(limits).toEqual({
		maxHeldBytes: 256 * megabyte,
		maxTotalHeldResponseBytes: 64 * megabyte,
		maxCallerConnections: 10_000,
	});
});
