/**
 * Guards against floods of cold targets, which can serve only few requests: the instances of a
 * fleet choose targets alone, so that together they may exceed what a cold target bears. Also guards
 * against the opposite, a fleet that leaves cold targets unused although no other target is left.
 */
import {describe, expect, test} from '@jest/globals';
import {countMaxInWindow} from '@shallotpond/testkit/max-in-window';
import {simulateFleet, type FleetModelOptions, type ModelTarget} from './fleet-model.js';

const failureDomains = ['north', 'south', 'hall', 'port'];
/** Requests per second that a cold target bears, as in the document of the model. */
const coldRate = 10;
/**
 * Maximum requests to one cold target in any second, as on the platform: one and a half times the
 * rate and a slack of 5.
 */
const maxPerSecond = coldRate * 1.5 + 5;
const seeds = [1, 2, 3];

type TargetOptions = {
	readonly count: number;
	readonly create: (index: number) => Partial<ModelTarget>;
};

function createTargets({count, create}: TargetOptions): ModelTarget[] {
	return Array.from({length: count}, (_, index) => ({
		id: `target-${index}`,
		failureDomain: failureDomains[index % failureDomains.length]!,
		respond: () => ({result: 'ok' as const, latency: 150}),
		isHealthy: () => true,
		...create(index),
	}));
}

/** Largest number of arrivals at one target in any second, over the targets that are given. */
function worstSecond(
	attempts: ReadonlyArray<{readonly target: string; readonly at: number; readonly result: string}>,
	isCold: (target: string, at: number) => boolean,
): number {
	const arrivals = new Map<string, number[]>();
	for (const {target, at, result} of attempts) {
		if (result === 'ok' && isCold(target, at)) {
			arrivals.set(target, [...(arrivals.get(target) ?? []), at]);
		}
	}

	return Math.max(0, ...[...arrivals.values()].map(times => countMaxInWindow(times, 1000)));
}

/** Runs the simulation and returns why targets were taken for cold. */
function simulateColdReasons(options: Parameters<typeof simulate>[0]): unknown[] {
	const reasons: unknown[] = [];
	simulate({
		...options,
		log: {
			write(event, fields) {
				if (event === 'target-cold') {
					reasons.push(fields?.reason);
				}
			},
		},
	});
	return reasons;
}

function simulate(options: Partial<FleetModelOptions> & Pick<FleetModelOptions, 'targets'>) {
	return simulateFleet({
		failureDomains,
		instancesPerDomain: 6,
		rate: 100,
		isIdempotent: true,
		duration: 10_000,
		seed: 1,
		...options,
	});
}

describe('cold targets', () => {
	test.each(seeds)(
		'are not flooded in a rush while most attempts at other targets fail (seed %i)',
		seed => {
			const restartAt = 5000;
			// Four of eleven targets restart under a new id. Their former entries are still listed, and
			// requests to them reach the new processes, which reject them as misdirected. Connections to
			// three others are refused, and the rest reject most requests. Attempts that are misdirected
			// or get no connection are in no report.
			const outcomes: ReadonlyArray<ReturnType<ModelTarget['respond']>> = [
				{result: 'misdirected', latency: 10},
				{result: 'connection-failed', latency: 10},
				{result: 'shed', latency: 10},
			];
			const former = createTargets({
				count: 11,
				create: index => ({
					respond: now =>
						now < restartAt
							? {result: 'ok', latency: 100}
							: outcomes[Math.min(2, Math.floor(index / 4))]!,
				}),
			});
			const successors = createTargets({
				count: 4,
				create: index => ({id: `successor-${index}`, listedAt: restartAt, coldFor: 3000}),
			});
			const {attempts} = simulate({
				targets: [...former, ...successors],
				instancesPerDomain: 24,
				rate: now => (now < restartAt ? 60 : 150),
				maxAttempts: 6,
				duration: 8000,
				seed,
			});
			expect(worstSecond(attempts, target => target.startsWith('successor'))).toBeLessThanOrEqual(
				maxPerSecond,
			);
		},
	);

	test.each(seeds)('are not flooded while no other target is left (seed %i)', seed => {
		const targets = createTargets({count: 12, create: () => ({coldFor: 10_000})});
		const {attempts} = simulate({targets, rate: 300, seed});
		expect(worstSecond(attempts, () => true)).toBeLessThanOrEqual(maxPerSecond);
	});

	test.each(seeds)(
		'are not flooded while the members do not know each other yet (seed %i)',
		seed => {
			const targets = createTargets({count: 60, create: () => ({coldFor: 2000})});
			const {attempts} = simulate({
				targets,
				instancesPerDomain: 12,
				rate: 1500,
				duration: 2000,
				seed,
			});
			expect(worstSecond(attempts, () => true)).toBeLessThanOrEqual(maxPerSecond);
		},
	);

	// Each instance took itself for the whole fleet three seconds after its start.
	test.each(seeds)(
		'are not flooded by instances that have heard of nobody since their start (seed %i)',
		seed => {
			const targets = createTargets({
				count: 20,
				create: () => ({listedAt: 6000, coldFor: 6000}),
			});
			const contactAt = 9500;
			const {attempts} = simulate({
				targets,
				seed,
				rate: 1000,
				isCut: (_from, _to, now) => now < contactAt,
				duration: 12_000,
			});
			expect(worstSecond(attempts, (_target, at) => at < 12_000)).toBeLessThanOrEqual(maxPerSecond);
			expect(attempts.some(({at, result}) => at < contactAt && result === 'ok')).toBe(true);
		},
	);

	test.each(seeds)('are not flooded by a fleet without contact (seed %i)', seed => {
		const targets = createTargets({
			count: 12,
			create: () => ({listedAt: 5000, coldFor: 5000}),
		});
		const {attempts} = simulate({
			targets,
			instancesPerDomain: 25,
			rate: 300,
			isCut: (_from, _to, now) => now > 4000,
			seed,
		});
		expect(worstSecond(attempts, () => true)).toBeLessThanOrEqual(maxPerSecond);
	});

	test.each(seeds)(
		'are not flooded after an outage that their entries do not show (seed %i)',
		seed => {
			const outage = {from: 3000, until: 5000};
			const isOut = (index: number, now: number) =>
				index % 4 === 0 && now >= outage.from && now < outage.until;
			const targets = createTargets({
				count: 12,
				create: index => ({
					respond: now =>
						isOut(index, now)
							? {result: 'connection-failed', latency: 1}
							: {result: 'ok', latency: 150},
				}),
			});
			const {attempts} = simulate({targets, rate: 300, maxAttempts: 3, seed});
			const hasReturned = (target: string, at: number) =>
				isOut(Number(target.slice('target-'.length)), outage.from) &&
				at >= outage.until &&
				at < outage.until + 3000;
			expect(worstSecond(attempts, hasReturned)).toBeLessThanOrEqual(maxPerSecond);
		},
	);

	test('a target that some instances cannot reach is not taken for cold by the whole fleet', () => {
		const targets = createTargets({
			count: 8,
			create: () => ({
				respond: (now, from) =>
					from.endsWith('-0') && now % 700 < 300
						? {result: 'connection-failed', latency: 300}
						: {result: 'ok', latency: 150},
			}),
		});
		const reasons = simulateColdReasons({
			targets,
			instancesPerDomain: 9,
			rate: 60,
			maxAttempts: 3,
		});
		expect(reasons).not.toContain('out-of-reach');
		expect(reasons).toContain('connection-failed');
	});

	test.each(seeds)('a cut between two domains does not make targets cold (seed %i)', seed => {
		const isCut = (from: string, to: string, now: number) => {
			const ends = new Set([from, to].map(name => name.split('-')[0]));
			return now >= 3000 && now < 8000 && ends.has('north') && ends.has('south');
		};

		const targets = createTargets({
			count: 40,
			create: index => ({
				respond: (now, from) =>
					isCut(from, failureDomains[index % failureDomains.length]!, now)
						? {result: 'connection-failed', latency: 300}
						: {result: 'ok', latency: 150},
			}),
		});
		const reasons = simulateColdReasons({
			targets,
			instancesPerDomain: 9,
			rate: 100,
			maxAttempts: 3,
			isCut,
			seed,
		});
		expect(reasons).not.toContain('out-of-reach');
		expect(reasons).toContain('connection-failed');
	});

	test.each(seeds)('serve what they bear while no other target is left (seed %i)', seed => {
		const targets = createTargets({count: 8, create: () => ({listedAt: 5000, coldFor: 5000})});
		const {attempts} = simulate({targets, instancesPerDomain: 9, rate: 16, seed});
		const served = attempts.filter(({at, result}) => at >= 5000 && result === 'ok').length;
		// 16 requests per second are less than a third of what eight cold targets bear.
		expect(served).toBeGreaterThan(16 * 5 * 0.8);
	});
});
