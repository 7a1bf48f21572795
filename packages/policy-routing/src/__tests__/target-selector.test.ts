/**
 * Guards against requests to targets that fail, are cold, full or out of service, and to other
 * failure domains without need. Also guards against the opposite: targets that recovered or are new
 * get no requests, because those with recent successes look better, so the load narrows to these.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createTargetSelector, type TargetSelectorOptions} from '../target-selector.js';
import {type KnownTarget} from '../target-directory.js';

function target(
	id: string,
	values: Partial<KnownTarget> = {},
	failureDomain = 'near',
): KnownTarget {
	return {
		definition: {id, address: '10.0.0.1:80', failureDomain},
		incarnation: `${id}@1`,
		service: 'roster',
		slots: 4,
		coldUntil: 0,
		listedAt: 0,
		...values,
	};
}

const healthy = {failureRisk: 0.03, slowness: 1, busyness: 0, isUnreachable: false};

type CountOptions = Partial<TargetSelectorOptions> & {readonly floor?: number};

/** How often each target is selected for 1,000 requests. */
function countSelections(
	candidates: readonly KnownTarget[],
	{floor = 0.7, ...options}: CountOptions = {},
) {
	const permitRandom = createSeededRandom(8);
	const selector = createTargetSelector({
		failureDomain: 'near',
		conditionOf: () => healthy,
		inFlight: () => 0,
		fleetLoad: () => 0,
		unusedFor: () => 0,
		hasConnection: () => false,
		isInActiveDomain: () => true,
		mayUseCold: () => permitRandom() < 0.1,
		random: createSeededRandom(7),
		...options,
	});
	const counts: Record<string, number> = {};
	for (let index = 0; index < 1000; index++) {
		const chosen = selector.choose({
			service: 'roster',
			candidates,
			excluded: [],
			isRepeatable: false,
			responseBytes: 2000,
			floor,
			now: 1000,
		});
		const name = chosen?.definition.id ?? 'none';
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

describe('selection of a target', () => {
	test('a target that failed recently gets almost no request that must not run twice', () => {
		const counts = countSelections([target('failing'), target('a'), target('b')], {
			conditionOf: ({definition}) =>
				definition.id === 'failing' ? {...healthy, failureRisk: 0.5} : healthy,
		});
		expect(counts.failing ?? 0).toBeLessThan(10);
	});

	test('a target without data is tried soon, although others have recent successes', () => {
		const candidates = [target('unproven'), target('a'), target('b')];
		const options = (unusedFor: number): Partial<TargetSelectorOptions> => ({
			conditionOf: ({definition}) =>
				definition.id === 'unproven'
					? {...healthy, failureRisk: 0.061}
					: {...healthy, failureRisk: 0.013},
			unusedFor: ({definition}) => (definition.id === 'unproven' ? unusedFor : 0),
		});
		expect(countSelections(candidates, options(200)).unproven ?? 0).toBeLessThan(100);
		expect(countSelections(candidates, options(1500)).unproven).toBeGreaterThan(300);
	});

	test('a target that failed moments ago is not tried while the floor is kept', () => {
		const candidates = ['failing', 'a', 'b', 'c', 'd'].map(id => target(id));
		const counts = countSelections(candidates, {
			conditionOf: ({definition}) =>
				definition.id === 'failing' ? {...healthy, failureRisk: 0.5} : healthy,
			unusedFor: ({definition}) => (definition.id === 'failing' ? 2500 : 0),
		});
		expect(counts.failing ?? 0).toBeLessThan(10);
	});

	test('below the floor the least suspected of the unused targets are tried', () => {
		const candidates = ['worst', 'bad', 'used'].map(id => target(id));
		const risks: Record<string, number> = {worst: 0.7, bad: 0.6, used: 0.02};
		const options: Partial<TargetSelectorOptions> = {
			conditionOf: ({definition}) => ({...healthy, failureRisk: risks[definition.id] ?? 0.02}),
			unusedFor: ({definition}) => (definition.id.startsWith('used') ? 0 : 2500),
		};
		// With three targets the floor requires all of them, so each gets a tenth of the requests or
		// more.
		const counts = countSelections(candidates, options);
		expect(Math.min(counts.bad!, counts.worst!)).toBeGreaterThan(100);
		// Of six targets the floor requires five: the four in use and one of the others.
		const inUse = ['used too', 'used as well', 'used', 'used last'].map(id => target(id));
		const countsOfSix = countSelections([...inUse, target('bad'), target('worst')], options);
		expect(countsOfSix.bad).toBeGreaterThan(50);
		expect(countsOfSix.worst ?? 0).toBe(0);
	});

	test('suspected targets of a service without a floor are not tried', () => {
		const candidates = ['worst', 'bad', 'used'].map(id => target(id));
		const risks: Record<string, number> = {worst: 0.7, bad: 0.6, used: 0.02};
		const counts = countSelections(candidates, {
			conditionOf: ({definition}) => ({...healthy, failureRisk: risks[definition.id]!}),
			unusedFor: ({definition}) => (definition.id === 'used' ? 0 : 2500),
			floor: 0,
		});
		expect(counts).toEqual({used: 1000});
	});

	test('equal targets share the load, so that instances do not all choose the same one', () => {
		const counts = countSelections([target('a'), target('b'), target('c')]);
		expect(Math.min(counts.a!, counts.b!, counts.c!)).toBeGreaterThan(250);
	});

	test('a target in another domain gets fewer requests than a local one, until the local one is full', () => {
		const candidates = [target('near'), target('far', {}, 'elsewhere')];
		expect(countSelections(candidates).far ?? 0).toBeLessThan(400);
		const busy = countSelections(candidates, {
			inFlight: ({definition}) => (definition.id === 'near' ? 8 : 0),
		});
		expect(busy.far).toBeGreaterThan(900);
	});

	test('cold targets get only permitted requests, even if there are no others', () => {
		const cold = (id: string) => target(id, {coldUntil: 5000});
		expect(countSelections([cold('cold'), target('warm')]).cold ?? 0).toBeLessThan(100);
		const counts = countSelections([cold('a'), cold('b')]);
		expect(counts.none).toBeGreaterThan(700);
	});

	test('a failure domain that is out of service gets no requests', () => {
		const counts = countSelections([target('out'), target('in')], {
			isInActiveDomain: ({definition}) => definition.id !== 'out',
		});
		expect(counts).toEqual({in: 1000});
	});

	test('many targets in other domains do not draw more requests than one of them does', () => {
		const candidates = [
			...Array.from({length: 8}, (_, index) => target(`near-${index}`)),
			...Array.from({length: 24}, (_, index) => target(`far-${index}`, {}, 'far')),
		];
		const counts = countSelections(candidates);
		const far = Object.entries(counts).filter(([id]) => id.startsWith('far'));
		// Each of them weighs exp(-0.0596 / 0.03) times one of this domain; there are three times as many.
		expect(far.reduce((sum, [, count]) => sum + count, 0)).toBeLessThan(180);
	});

	test('targets in other domains do not look idle because their load is not reported', () => {
		const candidates = [
			...Array.from({length: 8}, (_, index) => target(`near-${index}`)),
			...Array.from({length: 8}, (_, index) => target(`far-${index}`, {}, 'far')),
		];
		const counts = countSelections(candidates, {
			inFlight: ({definition}) => (definition.failureDomain === 'near' ? 5 : 0),
			fleetLoad: () => 5,
		});
		const far = Object.entries(counts).filter(([id]) => id.startsWith('far'));
		expect(far.reduce((sum, [, count]) => sum + count, 0)).toBeLessThan(180);
	});

	test('a full domain sends requests to one with free slots', () => {
		const candidates = [
			...Array.from({length: 8}, (_, index) => target(`near-${index}`)),
			...Array.from({length: 8}, (_, index) => target(`far-${index}`, {}, 'far')),
		];
		const counts = countSelections(candidates, {
			inFlight: ({definition}) => (definition.failureDomain === 'near' ? 8 : 0),
			fleetLoad: ({definition}) => (definition.failureDomain === 'near' ? 8 : 1),
		});
		const far = Object.entries(counts).filter(([id]) => id.startsWith('far'));
		expect(far.reduce((sum, [, count]) => sum + count, 0)).toBeGreaterThan(900);
	});

	test('a target at which the fleet has more requests than elsewhere gets fewer', () => {
		const counts = countSelections([target('crowded'), target('a'), target('b')], {
			fleetLoad: ({definition}) => (definition.id === 'crowded' ? 10 : 2),
		});
		expect(counts.crowded).toBeLessThan(220);
		expect(counts.crowded).toBeGreaterThan(50);
	});
});
