/**
 * Guards against a second copy of a response without a length that reaches the caller as a part of
 * the body, however its bytes are split, and against bodies that are refused because their text
 * looks like a response.
 */
import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createRepeatedResponseFilter} from '../repeated-response-filter.js';

const maxHeadBytes = 300;
const id = '9c41d07be2a35f68';
const earlierId = '0c41d07be2a35f60';
const headOf = (requestId: string) =>
	`HTTP/1.1 200 OK\r\nDate: today\r\nX-Id: ${requestId}\r\nSeal: 3e1b.07\r\n\r\n`;
const head = headOf(id);
const otherHead = `HTTP/1.1 200 OK\r\nx-id:${id}\r\n\r\n`;
const body = 'watch 7 of tower 3; '.repeat(60);

/** Passes the bytes on in pieces of the given sizes, the last of them repeated. */
function run(bytes: string, sizes: readonly number[] = [bytes.length]) {
	const filter = createRepeatedResponseFilter({
		idHeader: 'X-Id',
		requestId: id,
		earlierRequestIds: [earlierId],
		head,
		maxHeadBytes,
	});
	const all = Buffer.from(bytes, 'latin1');
	let passed = '';
	for (let offset = 0, piece = 0; offset < all.length; piece++) {
		const size = Math.max(1, sizes[Math.min(piece, sizes.length - 1)]!);
		passed += String(filter.push(all.subarray(offset, offset + size)));
		offset += size;
	}

	const {rest, content} = filter.end();
	return {text: passed + String(rest), content};
}

const contents: ReadonlyArray<readonly [string, string, string]> = [
	['a body alone', body, 'single'],
	['an empty body', '', 'single'],
	['a copy of the response', body + head + body, 'repeated'],
	['two copies', body + head + body + head + body, 'repeated'],
	['a copy of an empty body', head, 'repeated'],
	['a copy with other headers', body + otherHead + body, 'repeated'],
	['a copy that was cut in its body', body + head + body.slice(5), 'mixed'],
	['a copy of another body', body + head + body.replace('7', '8'), 'mixed'],
	['a copy that was cut in its head', body + head.slice(0, 40), 'mixed'],
	['a copy that was cut in its first line', body + head.slice(0, 11), 'mixed'],
	['a copy and another that was cut', body + head + body + head.slice(0, 30), 'mixed'],
	['a late response to an earlier request', body + headOf(earlierId) + body, 'mixed'],
	[
		'text like a head without an id',
		`${body}HTTP/1.1 200 OK\r\nDate: today\r\n\r\n${body}`,
		'single',
	],
	['text like a head with a foreign id', body + headOf('f'.repeat(16)) + body, 'single'],
	['the id in running text', `${body}\r\n\r\nX-Id: ${id}\r\n\r\n${body}`, 'single'],
	['the id in a broken head', `HTTP/1.1 200 OK\r\nno header\r\nX-Id: ${id}\r\n\r\n`, 'single'],
	['empty lines without end', '\r\n'.repeat(100), 'single'],
	['status lines without end', `${'HTTP/1.1 200 '.repeat(100)}.`, 'single'],
];

test.each(contents)('%s is recognized in any pieces', (_what, bytes, content) => {
	fc.assert(
		fc.property(fc.array(fc.integer({min: 1, max: 400}), {minLength: 1}), sizes => {
			const result = run(bytes, sizes);
			expect(result.content).toBe(content);
			if (content !== 'mixed') {
				expect(result.text).toBe(
					content === 'single' ? bytes : bytes.slice(0, bytes.indexOf('HTTP')),
				);
			}
		}),
		{numRuns: 30, seed: 20_261_205},
	);
	expect(run(bytes, [1]).content).toBe(content);
});

test('bytes of a body are not kept back for longer than a head can be', () => {
	const filter = createRepeatedResponseFilter({
		idHeader: 'X-Id',
		requestId: id,
		earlierRequestIds: [],
		head,
		maxHeadBytes,
	});
	expect(filter.push(Buffer.from('plain'))).toHaveLength(5);
	expect(filter.push(Buffer.from('HTTP/1.'))).toHaveLength(0);
	expect(filter.push(Buffer.alloc(maxHeadBytes))).toHaveLength(maxHeadBytes + 7);
});
