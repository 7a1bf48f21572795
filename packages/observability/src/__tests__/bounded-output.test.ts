/**
 * Guards against a log reader that stops reading: it must not block the process or use unbounded
 * memory. Lines that do not fit into the queue are dropped.
 */
import {expect, test} from '@jest/globals';
import {createBoundedOutput} from '../bounded-output.js';

test('while the reader is stalled, lines over the limit are dropped and counted, and queued lines are written later', () => {
	const pending: Array<() => void> = [];
	const written: string[] = [];
	let dropped = 0;
	const {stream} = createBoundedOutput({
		descriptor: 1,
		maxQueuedBytes: 100,
		onDropped() {
			dropped++;
		},
		writeBytes(bytes, done) {
			pending.push(() => {
				written.push(new TextDecoder().decode(bytes));
				done(undefined, bytes.length);
			});
		},
	});
	for (let line = 0; line < 30; line++) {
		expect(stream.write(`line ${line} of the log\n`)).toBe(true);
	}

	expect(dropped).toBeGreaterThan(20);
	expect(pending).toHaveLength(1);
	while (pending.length > 0) {
		pending.shift()!();
	}

	expect(written.join('').split('\n')[1]).toBe('line 1 of the log');
});
