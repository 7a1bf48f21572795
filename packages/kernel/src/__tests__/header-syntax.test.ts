/** Guards against header lines that two parsers read differently, whatever Node's parser accepts. */
import {expect, test} from '@jest/globals';
import {checkHeaderSyntax} from '../header-syntax.js';

test('token names with visible values, tabs and obs-text are valid', () => {
	const headers = [
		'Host',
		'a:80',
		"x!#$%&'*+-.^_`|~9",
		'a\tb',
		'X-Empty',
		'',
		'X-Text',
		'caf\u00E9',
	];
	expect(checkHeaderSyntax(headers)).toBe('valid');
	expect(checkHeaderSyntax([])).toBe('valid');
});

test.each([
	'X ',
	' X',
	'',
	'X y',
	'X:',
	'X\t',
	'X(',
	'X"',
	'X/',
	'X@',
	'X\u0000',
	'X\u00E9',
	'X\u007F',
])('the name %j is malformed', name => {
	expect(checkHeaderSyntax(['Host', 'a', name, 'b'])).toBe('malformed');
});

test.each(['a\rb', 'a\nb', 'a\u0000b', 'a\u007Fb', 'a\u001Bb', 'a\u0100b'])(
	'the value %j is malformed',
	value => {
		expect(checkHeaderSyntax(['X', value])).toBe('malformed');
	},
);

test.each([
	'Content-Length ',
	'content-length\t',
	' Transfer-Encoding',
	'TRANSFER-ENCODING\u000B',
	'Content\u0000-Length',
	'Transfer-\u00A0Encoding',
])('the name %j is a near miss of a framing header, also behind another malformed one', name => {
	expect(checkHeaderSyntax([name, '1'])).toBe('ambiguous-framing');
	expect(checkHeaderSyntax(['X ', 'a', name, '1'])).toBe('ambiguous-framing');
});
