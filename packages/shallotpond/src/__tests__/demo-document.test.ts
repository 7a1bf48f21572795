/**
 * Guards against a demo configuration with a fault that `shallotctl check` reports, and against a
 * check that reports faults of a sound configuration.
 */
import {expect, test} from '@jest/globals';
import {checkConfiguration} from '@shallotpond/configuration/configuration-check';
import {createDemoDocument} from '../demo-document.js';

test('the demo configuration has no findings', () => {
	const targets = [1, 2, 3].map(index => ({id: `echo-${index}`, address: `127.0.0.1:${index}`}));
	expect(checkConfiguration({input: createDemoDocument(targets)}).findings).toEqual([]);
});
