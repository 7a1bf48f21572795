/**
 * Guards against gray failures: a target fails part of its requests while its health check passes.
 * One instance alone sees too few of these failures, so a single one that another instance reports
 * must count. Without probes, a target that recovered must become trusted again by itself.
 */
import {describe, expect, test} from '@jest/globals';
import {createTargetEvidence} from '../target-evidence.js';

const service = 'swaps';

describe('evidence on targets', () => {
	test('a single failure reported by another instance makes a target worse than its peers', () => {
		const evidence = createTargetEvidence();
		evidence.merge('failing@1', service, {good: 0, bad: 1, busy: 0, latency: 0}, 1000);
		evidence.merge('healthy@1', service, {good: 3, bad: 0, busy: 0, latency: 600}, 1000);
		const failing = evidence.conditionOf('failing@1', service, 1000);
		const healthy = evidence.conditionOf('healthy@1', service, 1000);
		expect(failing.failureRisk).toBeGreaterThan(0.4);
		expect(healthy.failureRisk).toBeLessThan(0.05);
	});

	test('a target that recovered is trusted again within seconds, without a probe', () => {
		const evidence = createTargetEvidence();
		evidence.merge('failing@1', service, {good: 0, bad: 3, busy: 0, latency: 0}, 0);
		expect(evidence.conditionOf('failing@1', service, 0).failureRisk).toBeGreaterThan(0.7);
		expect(evidence.conditionOf('failing@1', service, 15_000).failureRisk).toBeLessThan(0.1);
	});

	test('the first failure of a target that was healthy for long is enough to avoid it', () => {
		const evidence = createTargetEvidence();
		for (let now = 0; now < 10_000; now += 250) {
			evidence.merge('a@1', service, {good: 1, bad: 0, busy: 0, latency: 200}, now);
		}

		evidence.merge('a@1', service, {good: 0, bad: 1, busy: 0, latency: 0}, 10_000);
		const unknown = evidence.conditionOf('b@1', service, 10_000).failureRisk;
		const failed = evidence.conditionOf('a@1', service, 10_000).failureRisk;
		expect(failed).toBeGreaterThan(3 * unknown);
		evidence.merge('a@1', service, {good: 3, bad: 0, busy: 0, latency: 600}, 10_500);
		expect(evidence.conditionOf('a@1', service, 10_500).failureRisk).toBeLessThan(0.1);
	});

	test('a target with recent successes is trusted more than one without data', () => {
		const evidence = createTargetEvidence();
		evidence.merge('a@1', service, {good: 2, bad: 0, busy: 0, latency: 400}, 0);
		const risk = (now: number) => evidence.conditionOf('a@1', service, now).failureRisk;
		const unknown = evidence.conditionOf('b@1', service, 0).failureRisk;
		expect(risk(0)).toBeLessThan(unknown / 2);
		expect(risk(500)).toBeLessThan(unknown / 2);
		expect(risk(20_000)).toBeCloseTo(unknown, 2);
	});

	test('a restarted target starts without the history of the previous process', () => {
		const evidence = createTargetEvidence();
		evidence.merge('a@1', service, {good: 0, bad: 5, busy: 0, latency: 0}, 0);
		const restarted = evidence.conditionOf('a@2', service, 0).failureRisk;
		expect(restarted).toBe(evidence.conditionOf('unknown@1', service, 0).failureRisk);
		expect(restarted).toBeLessThan(0.07);
	});

	test('a failure to connect is a fault of the path and is not reported to the fleet', () => {
		const evidence = createTargetEvidence();
		evidence.record('a@1', service, {result: 'connection-failed', latency: 300}, 0);
		expect(evidence.conditionOf('a@1', service, 0).isUnreachable).toBe(true);
		expect(evidence.conditionOf('a@1', service, 2000).isUnreachable).toBe(false);
		expect(evidence.takeOutcomeCounts().size).toBe(0);
	});

	test('if a whole service is slow, none of its targets counts as slow', () => {
		const evidence = createTargetEvidence();
		for (const name of ['a@1', 'b@1', 'c@1']) {
			evidence.merge(name, service, {good: 10, bad: 0, busy: 0, latency: 20_000}, 0);
		}

		expect(evidence.conditionOf('a@1', service, 0).slowness).toBeCloseTo(1, 1);
		evidence.merge('d@1', service, {good: 10, bad: 0, busy: 0, latency: 100_000}, 0);
		expect(evidence.conditionOf('d@1', service, 0).slowness).toBeGreaterThan(1.5);
	});

	test('outcomes are reported only once', () => {
		const evidence = createTargetEvidence();
		evidence.record('a@1', service, {result: 'error', latency: 10}, 0);
		evidence.record('a@1', service, {result: 'ok', latency: 250}, 0);
		expect(evidence.takeOutcomeCounts().get('a@1')?.counts).toEqual({
			good: 1,
			bad: 1,
			busy: 0,
			latency: 250,
		});
		expect(evidence.takeOutcomeCounts().size).toBe(0);
	});
});
