/**
 * Guards against false ejections: the health of each target is evaluated four times a second, so
 * confidence bounds that are too narrow eject healthy targets by chance.
 */
import {describe, expect, test} from '@jest/globals';
import {type Random} from '@shallotpond/kernel/random';
import {ejections, typicalResponse, simulateHealth} from './health-simulation.js';

describe('target health without faults', () => {
	test.each([
		['busy', 15, 20, 0.5],
		['few requests, latencies that vary widely', 15, 5, 1],
		['few peers, as for one coordinator', 4, 10, 1],
	])('an hour of ordinary noise (%s) ejects no target', (_, targets, rate, deviation) => {
		const changes = simulateHealth({
			seed: 7,
			targets,
			seconds: 3600,
			rate,
			respond: (_target, _holder, _now, random) => typicalResponse(random, 40, deviation),
		});
		expect(ejections(changes)).toEqual([]);
	});
});
