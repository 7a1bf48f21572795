/**
 * Guards against checks that report no violation whatever happens, with which a soak run would pass
 * although a promise is broken, and against checks that report a violation without one.
 */
import {describe, expect, test} from '@jest/globals';
import {
	createObservations,
	type CallerOutcome,
	type Observations,
	type SentRequest,
	type TargetRun,
} from '../observations.js';
import {checkPromises, promiseNames, type PromiseBounds} from '../promise-checks.js';

const bounds: PromiseBounds = {
	stableWindow: 3000,
	maxConfigurationDelay: 2000,
	maxLeavingDelay: 2000,
	maxWithdrawalDelay: 5000,
	maxEvacuationDelay: 5000,
	reversionTolerance: 250,
	stopTimeout: 6000,
	transitTolerance: 200,
	rateWindow: 5000,
	rateExcess: 0.25,
	rateSlack: 20,
	coldRate: 20,
	rates: {moss: {rate: 20, burst: 20}},
};

const sent: SentRequest = {
	id: 'q1',
	at: 20_000,
	instance: 1,
	incarnation: 1,
	key: 'k',
	workspace: 'reed',
	route: 'pages',
	isIdempotent: false,
};
const run: TargetRun = {
	id: 'q1',
	at: 20_010,
	target: 'i-1',
	service: 'pages-a',
	failureDomain: 'north',
	workspace: 'reed',
	hasKey: false,
};
const outcome: CallerOutcome = {
	id: 'q1',
	at: 20_050,
	status: 200,
	isWritten: true,
	hasValidBody: true,
};

type Scenario = {
	readonly sent?: ReadonlyArray<Partial<SentRequest>>;
	readonly runs?: ReadonlyArray<Partial<TargetRun>>;
	readonly outcomes?: ReadonlyArray<Partial<CallerOutcome>>;
	readonly changes?: Observations['changes'];
	readonly stops?: Observations['stops'];
	readonly disturbances?: Observations['disturbances'];
};

function createObservationsOf(scenario: Scenario): Observations {
	const observations = createObservations();
	for (const request of scenario.sent ?? [{}]) {
		const completeRequest = {...sent, ...request};
		observations.sent.set(completeRequest.id, completeRequest);
	}

	observations.runs.push(...(scenario.runs ?? [{}]).map(item => ({...run, ...item})));
	observations.outcomes.push(...(scenario.outcomes ?? [{}]).map(item => ({...outcome, ...item})));
	observations.changes.push(...(scenario.changes ?? []));
	observations.stops.push(...(scenario.stops ?? []));
	observations.disturbances.push(...(scenario.disturbances ?? []));
	return observations;
}

const brokenPromises = (scenario: Scenario) =>
	checkPromises(createObservationsOf(scenario), bounds).map(({promise}) => promise);
const flood = Array.from({length: 171}, (_, index) => ({id: `f${index}`, workspace: 'moss'}));

const violations: Readonly<Record<string, Scenario>> = {
	'whole own answer': {outcomes: [{hasValidBody: false}]},
	'at most once': {runs: [{}, {target: 'i-2'}]},
	'true refusal': {outcomes: [{status: 503, hasValidBody: false}]},
	'asked for': {runs: [{}, {id: 'q2'}]},
	'no key at targets': {runs: [{hasKey: true}]},
	'own workspace': {runs: [{workspace: 'moss'}]},
	'withdrawn key': {changes: [{kind: 'key-withdrawn', at: 14_900, key: 'k'}]},
	'workspace rate': {sent: flood, runs: flood, outcomes: []},
	'cold target': {
		sent: flood.slice(0, 21).map(({id}) => ({id})),
		runs: flood.slice(0, 21).map(({id}) => ({id})),
		outcomes: [],
		changes: [{kind: 'target-cold', at: 19_000, target: 'i-1', until: 22_000}],
	},
	'leaving target': {changes: [{kind: 'target-leaving', at: 18_000, target: 'i-1'}]},
	'domain out of service': {
		changes: [{kind: 'domain-out', at: 15_000, domain: 'north', until: 30_000}],
	},
	'configuration in force': {
		changes: [{kind: 'route-moved', at: 17_900, route: 'pages', service: 'pages-b'}],
	},
	'configuration never goes back': {
		sent: [{id: 'q0', at: 19_000}, {}],
		runs: [{id: 'q0', at: 19_010, service: 'pages-b'}, {}],
		changes: [
			{kind: 'route-moved', at: Number.NEGATIVE_INFINITY, route: 'pages', service: 'pages-a'},
			{kind: 'route-moved', at: 18_900, route: 'pages', service: 'pages-b'},
		],
	},
	'planned stop cuts nothing': {
		outcomes: [{status: undefined, hasValidBody: false}],
		stops: [{instance: 1, incarnation: 1, at: 20_020}],
	},
};

describe('promises of the soak', () => {
	test('an ordinary request violates no promise', () => {
		expect(brokenPromises({})).toEqual([]);
	});

	test.each(promiseNames.map(name => [name]))('a violation of "%s" is detected', name => {
		expect(brokenPromises(violations[name]!)).toContain(name);
	});

	test('time bounds do not apply to an instance that was disturbed, but apply to the others', () => {
		const lateRun = violations['leaving target']!;
		const brokenWhenDisturbed = (instance: number | undefined) =>
			brokenPromises({...lateRun, disturbances: [{instance, from: 17_500, until: 18_000}]});
		expect(brokenWhenDisturbed(1)).toEqual([]);
		expect(brokenWhenDisturbed(undefined)).toEqual([]);
		expect(brokenWhenDisturbed(2)).toEqual(['leaving target']);
	});

	test('a stopping process may cut requests only if it is killed before it has stopped', () => {
		const cut = violations['planned stop cuts nothing']!;
		const killed = {instance: 1, from: 20_030, until: 20_031};
		expect(brokenPromises({...cut, disturbances: [killed]})).toEqual([]);
		expect(
			brokenPromises({...cut, disturbances: [{...killed, from: 20_060, until: 20_061}]}),
		).toEqual(['planned stop cuts nothing']);
	});

	test('every instance must refuse a withdrawn key in time, disturbed or not', () => {
		const disturbances = [{instance: 1, from: 0, until: 30_000}];
		expect(brokenPromises({...violations['withdrawn key'], disturbances})).toEqual([
			'withdrawn key',
		]);
	});
});
