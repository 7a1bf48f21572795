/**
 * Guards against hedges at targets that cannot bear them, and against hedges that load a service
 * without room.
 */
import {describe, expect, test} from '@jest/globals';
import {type TargetCondition} from '../target-evidence.js';
import {type KnownTarget} from '../target-directory.js';
import {selectHedgeTargets, type HedgeTargetState} from '../hedge-targets.js';

const now = 1000;
const sound: TargetCondition = {failureRisk: 0.02, slowness: 1, busyness: 0, isUnreachable: false};

function createState(
	id: string,
	{
		load = 1,
		coldUntil = 0,
		...condition
	}: Partial<TargetCondition & HedgeTargetState> & {
		readonly coldUntil?: number;
	} = {},
): HedgeTargetState {
	const target: KnownTarget = {
		definition: {id, address: '10.0.0.1:80', failureDomain: 'north'},
		incarnation: id,
		service: 's',
		slots: 4,
		coldUntil,
		listedAt: 0,
	};
	return {target, load, condition: {...sound, ...condition}};
}

function createStates(count: number, state: Parameters<typeof createState>[1] = {}) {
	return Array.from({length: count}, (_, index) => createState(`t${index}`, state));
}

function select(states: readonly HedgeTargetState[]): string[] {
	return selectHedgeTargets(states, now).map(({incarnation}) => incarnation);
}

describe('targets of hedges', () => {
	test.each([
		['cold', {coldUntil: now + 1}],
		['suspected', {failureRisk: 0.4}],
		['unreachable', {isUnreachable: true}],
		['slow', {slowness: 2}],
		['rejecting', {busyness: 0.2}],
		['full', {load: 4}],
	])('a %s target gets no hedge, the others do', (_name, state) => {
		const others = createStates(10);
		expect(select([...others, createState('unfit', state)])).toEqual(
			others.map(({target}) => target.incarnation),
		);
	});

	test.each([
		[
			'of which two in ten targets reject',
			[...createStates(8), ...createStates(2, {busyness: 0.2})],
		],
		['with three of four slots in use', createStates(10, {load: 3})],
		[
			'whose free targets are cold',
			[...createStates(5, {load: 3}), ...createStates(5, {load: 0, coldUntil: now + 1})],
		],
		['without targets', []],
	])('a service %s gets no hedges', (_name, states) => {
		expect(select(states)).toEqual([]);
	});
});
