/**
 * Guards against a response that reaches a caller as a success although no target can have sent it:
 * targets seal every success and never encode a body.
 */
import {type IncomingMessage} from 'node:http';
import {expect, test} from '@jest/globals';
import {platformDialect} from '../platform-dialect.js';

function isGenuine(statusCode: number, headers: Record<string, string>): boolean | undefined {
	return platformDialect.isGenuine?.({statusCode, headers} as unknown as IncomingMessage);
}

const seal = {'x-shallotpond-response-seal': '3e1b.07.5a2.600.0.c9f2a4d1'};

test('a success without a seal, or with an encoded body, is not genuine', () => {
	expect(isGenuine(200, seal)).toBe(true);
	expect(isGenuine(200, {})).toBe(false);
	expect(isGenuine(204, {})).toBe(false);
	expect(isGenuine(200, {...seal, 'content-encoding': 'gzip'})).toBe(false);
});

test('a failure needs no seal', () => {
	expect(isGenuine(500, {})).toBe(true);
	expect(isGenuine(404, {})).toBe(true);
});
