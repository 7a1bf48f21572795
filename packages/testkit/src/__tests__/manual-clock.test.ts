/**
 * Guards against timers that run in another order or at another time than those of a real process,
 * and against timers that run while a simulated process is paused.
 */
import {expect, test} from '@jest/globals';
import {createManualClock} from '../manual-clock.js';

test('timers run in order of their due times, and see the time at which they are due', () => {
	const clock = createManualClock();
	const seen: string[] = [];
	clock.after(30, () => void seen.push(`b${clock.monotonic()}`));
	clock.after(10, () => void seen.push(`a${clock.monotonic()}`));
	const cancel = clock.every(20, () => void seen.push(`t${clock.monotonic()}`));
	clock.advance(40);
	cancel();
	clock.advance(40);
	expect(seen).toEqual(['a10', 't20', 'b30', 't40']);
});

test('a paused clock runs no timers, and overdue timers see the time of resumption', () => {
	const clock = createManualClock();
	const seen: number[] = [];
	clock.after(10, () => void seen.push(clock.monotonic()));
	clock.pause();
	clock.advance(5000);
	expect(seen).toEqual([]);
	clock.resume();
	expect(seen).toEqual([5000]);
});
