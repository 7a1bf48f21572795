/** A reader of the log that stops reading must cost dropped lines and nothing else. */
import {expect, test} from '@jest/globals';
import {createBoundedOutput} from '../bounded-output.js';

test('lines beyond the limit are dropped and counted while nobody reads, and the rest follows', () => {
	const pending: Array<() => void> = [];
	const written: string[] = [];
	let dropped = 0;
	const {stream} = createBoundedOutput({
		descriptor: 1,
		maxBytes: 100,
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
