/**
 * Guards against changes of a policy that break an outcome of a trace in a whole fleet, against
 * mistakes in trace and outcome files that go unnoticed, and against outcomes that hold whatever
 * the policies do: those in `violations` are computed with a policy or a trace that violates them.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, describe, expect, test} from '@jest/globals';
import {createSlotCoordinator} from '@shallotpond/policy-dispatch/slot-coordinator';
import {createSlotHolder} from '@shallotpond/policy-dispatch/slot-holder';
import {type DispatchSettings} from '@shallotpond/policy-dispatch/dispatch-settings';
import {createRateRequester} from '@shallotpond/policy-limits/rate-requester';
import {createConfigurationDistribution} from '@shallotpond/policy-membership/configuration-distribution';
import {createCrashGuard} from '@shallotpond/policy-requests/crash-guard';
import {createIdempotencyGuard} from '@shallotpond/policy-requests/idempotency-guard';
import {createRetryPolicy} from '@shallotpond/policy-requests/retry-policy';
import {type InstancePolicies} from '../simulated-instance.js';
import {evaluateOutcomes, parseOutcomes, type ExpectedOutcome} from '../outcomes.js';
import {replay} from '../replay.js';
import {createCatalogue, formatTrace} from '../trace-catalogue.js';
import {parseTrace, type TraceEventInput, type TraceHeaderInput} from '../trace-format.js';
import {traceNamesOf, runTrace} from '../trace-run.js';

const directory = mkdtempSync(join(tmpdir(), 'replay-'));

afterAll(() => {
	rmSync(directory, {recursive: true});
});

type TraceDraft = {
	readonly header?: Partial<TraceHeaderInput>;
	readonly events: readonly TraceEventInput[];
};

const instanceCount = 6;

function formatTraceLines({header, events}: TraceDraft): string {
	const first: TraceHeaderInput = {
		kind: 'header',
		format: 1,
		organisation: 'fjordvik',
		instances: instanceCount,
		seed: 1,
		duration: 10_000,
		...header,
		configuration: {maxInstances: instanceCount, ...header?.configuration},
	};
	return [first, ...events].map(line => JSON.stringify(line)).join('\n');
}

/** Replays a trace from files; returns the exit code and the printed text. */
function replayTexts(trace: string, outcomes: string) {
	const paths = [join(directory, 'trace.jsonl'), join(directory, 'trace.outcomes.json')] as const;
	writeFileSync(paths[0], trace);
	writeFileSync(paths[1], outcomes);
	const lines: string[] = [];
	const code = replay(paths, line => {
		lines.push(line);
	});
	return {code, text: lines.join('\n')};
}

function formatOutcomes(outcomes: readonly ExpectedOutcome[]): string {
	return JSON.stringify({format: 1, outcomes});
}

function figureOf(
	draft: TraceDraft,
	outcome: ExpectedOutcome,
	policies?: Partial<InstancePolicies>,
): number {
	const trace = parseTrace(formatTraceLines(draft), traceNamesOf);
	const outcomes = parseOutcomes(formatOutcomes([outcome]));
	return evaluateOutcomes(runTrace(trace, {...(policies && {policies})}), outcomes)[0]!.figure;
}

function createLookupStream(change: Partial<TraceEventInput & {readonly kind: 'stream'}> = {}) {
	const stream: TraceEventInput = {
		kind: 'stream',
		at: 0,
		workspace: 'nordstrand',
		service: 'handbook',
		method: 'GET',
		idempotent: true,
		rate: 100,
		duration: 10_000,
		seed: 1,
		...change,
	};
	return stream;
}

describe('traces of the catalogue with few instances', () => {
	const catalogue = createCatalogue({instances: instanceCount});
	const cases = [
		['fjordvik', 'key-withdrawn'],
		['fjordvik', 'failure-domain-pulled'],
		['inkworks', 'resent-print-order'],
		['inkworks', 'fleet-cut-in-two'],
		['inkworks', 'planned-stops'],
	] as const;

	// Guards against a change of a policy that breaks an invariant in a whole fleet.
	test.each(cases)('%s/%s keeps its outcomes', (organisation, name) => {
		const trace = catalogue.get(organisation)!.find(candidate => candidate.name === name)!;
		const formatted = formatTrace(trace);
		const {code, text} = replayTexts(formatted.trace, formatted.outcomes);
		expect(text).not.toContain('FAILS');
		expect(code).toBe(0);
	});
});

describe('the replay command', () => {
	const draft: TraceDraft = {
		events: [
			createLookupStream(),
			{kind: 'target-crash', at: 2000, target: 'handbook-1', downFor: 500},
		],
	};
	const outcomes: readonly ExpectedOutcome[] = [
		{name: 'served something', kind: 'served-part', from: 0, until: 10_000, atLeast: 0.5},
		{name: 'refused', kind: 'refused-within-rate', counted: true},
	];

	// Guards against results that depend on anything but the trace.
	test('prints the same results for the same trace', () => {
		const first = replayTexts(formatTraceLines(draft), formatOutcomes(outcomes));
		expect(replayTexts(formatTraceLines(draft), formatOutcomes(outcomes))).toEqual(first);
		expect(first.code).toBe(0);
	});

	// Guards against a check that passes regardless of the run.
	test('exits with 1 and prints the figure when an outcome does not hold', () => {
		const wrong: ExpectedOutcome = {
			name: 'serves nobody',
			kind: 'served-part',
			from: 0,
			until: 10_000,
			equals: 0,
		};
		const {code, text} = replayTexts(formatTraceLines(draft), formatOutcomes([wrong]));
		expect(code).toBe(1);
		expect(text).toMatch(/^FAILS {3}serves nobody: (0\.9|1)/);
	});

	// Guards against misspelled fields that are ignored.
	test.each([
		['an unknown field', '{"kind":"heal","at":1,"whom":2}', 'line 2: Unrecognized key: "whom"'],
		[
			'a wrong value',
			'{"kind":"target-slow","at":1,"target":"handbook-1","factor":"x"}',
			'line 2, field "factor"',
		],
		['an unknown kind', '{"kind":"storm","at":1}', 'line 2, field "kind"'],
		[
			'an unknown target',
			'{"kind":"target-cold","at":1,"target":"handbook-99"}',
			'line 2, field "target"',
		],
		[
			'an instance that does not exist',
			'{"kind":"link-cut","at":1,"from":0,"to":6}',
			'line 2, field "to"',
		],
		['a time after the end', '{"kind":"heal","at":10001}', 'line 2, field "at"'],
		['text that is not JSON', '{"kind":', 'line 2: not JSON'],
	])('exits with 2 for %s', (_what, line, message) => {
		const {code, text} = replayTexts(
			`${formatTraceLines({events: []})}\n${line}`,
			formatOutcomes(outcomes),
		);
		expect(code).toBe(2);
		expect(text).toContain(message);
	});

	test.each([
		['an unknown kind', {name: 'x', kind: 'luck', equals: 0}, 'field "kind"'],
		['an unknown field', {name: 'x', kind: 'ejections', equals: 0, by: 1}, 'Unrecognized key'],
		['no bound', {name: 'x', kind: 'ejections'}, 'needs one of'],
		['a missing event', {name: 'x', kind: 'key-admission', key: 'k', atMost: 1}, 'no event for k'],
	])('exits with 2 for outcomes with %s', (_what, outcome, message) => {
		const {code, text} = replayTexts(formatTraceLines({events: []}), formatOutcomes([outcome]));
		expect(code).toBe(2);
		expect(text).toContain(message);
	});

	test('exits with 2 for events that are not in order of time', () => {
		const events: TraceEventInput[] = [
			{kind: 'heal', at: 5},
			{kind: 'heal', at: 4},
		];
		const {code, text} = replayTexts(formatTraceLines({events}), formatOutcomes(outcomes));
		expect(code).toBe(2);
		expect(text).toContain('line 3, field "at"');
	});

	test('exits with 2 for a file that does not exist', () => {
		expect(replay([join(directory, 'none'), join(directory, 'none')], () => undefined)).toBe(2);
	});
});

/** Policies with coordinators that use other service settings than those of the document. */
function createPoliciesWithServiceSettings(
	change: Partial<DispatchSettings>,
): Partial<InstancePolicies> {
	return {
		createSlotCoordinator(options) {
			const coordinator = createSlotCoordinator(options);
			return {
				...coordinator,
				configure(services, now) {
					const changed = [...services].map(
						([name, service]) => [name, {...service, ...change}] as const,
					);
					coordinator.configure(new Map(changed), now);
				},
			};
		},
	};
}

const nonAdoptingPolicies: Partial<InstancePolicies> = {
	createConfigurationDistribution: options => ({
		...createConfigurationDistribution(options),
		complete: () => false,
	}),
};

const unlimitedRatePolicies: Partial<InstancePolicies> = {
	createRateRequester: options => ({
		...createRateRequester(options),
		admit: () => ({admission: {kind: 'admitted'}, settled: [], messages: []}),
	}),
};

const availabilityIgnoringPolicies: Partial<InstancePolicies> = {
	createSlotCoordinator: options =>
		createSlotCoordinator({...options, availability: () => 'available'}),
	createSlotHolder: options => createSlotHolder({...options, availability: () => 'available'}),
};

const alwaysClaimingPolicies: Partial<InstancePolicies> = {
	createIdempotencyGuard(options) {
		let ticket = 0;
		return {
			...createIdempotencyGuard(options),
			claim() {
				ticket++;
				const claim = {kind: 'claimed', startBefore: Number.POSITIVE_INFINITY} as const;
				return {ticket, messages: [], settled: [{ticket, claim}]};
			},
		};
	},
};

const unansweredClaimPolicies: Partial<InstancePolicies> = {
	createIdempotencyGuard: options => ({
		...createIdempotencyGuard(options),
		claim: () => ({ticket: -1, messages: [], settled: []}),
	}),
};

function createOrder(at: number, instance: number): TraceEventInput {
	return {
		kind: 'request',
		at,
		workspace: 'vika',
		service: 'swaps',
		method: 'POST',
		idempotent: false,
		idempotencyKey: 'swap-1',
		instance,
	};
}

function createCrashingRequest(at: number, instance: number): TraceEventInput {
	return {
		kind: 'request',
		at,
		workspace: 'vika',
		service: 'coverage',
		method: 'POST',
		idempotent: false,
		fingerprint: 'crash',
		crashesTargets: true,
		instance,
	};
}

type Violation = {
	readonly kind: string;
	readonly parameters?: Readonly<Record<string, unknown>>;
	readonly draft: TraceDraft;
	readonly policies?: Partial<InstancePolicies>;
	/** Whether the design allows the figure. */
	readonly allows: (figure: number) => boolean;
};

const isZero = (figure: number) => figure === 0;
const isWithinThreeSeconds = (figure: number) => figure <= 3000;

const violations: readonly Violation[] = [
	{
		kind: 'duplicate-runs',
		draft: {events: [createOrder(1000, 0), createOrder(2000, 1)]},
		policies: alwaysClaimingPolicies,
		allows: isZero,
	},
	{
		kind: 'not-run-but-ran',
		draft: {events: [createLookupStream({duration: 1000})]},
		policies: {
			createRetryPolicy: options => ({
				...createRetryPolicy(options),
				decide: () => ({action: 'give-up', runState: 'not-run', reason: 'final'}),
			}),
		},
		allows: isZero,
	},
	{
		kind: 'in-flight-above-slots',
		draft: {events: [createLookupStream({rate: 300, serviceTime: 200})]},
		policies: createPoliciesWithServiceSettings({slots: 12, coldSlots: 12}),
		allows: isZero,
	},
	{
		kind: 'in-flight-above-cold-slots',
		draft: {
			events: [
				createLookupStream({rate: 150, serviceTime: 150}),
				{kind: 'target-crash', at: 2000, target: 'handbook-1', downFor: 500},
			],
		},
		policies: createPoliciesWithServiceSettings({coldSlots: 4}),
		allows: isZero,
	},
	{
		kind: 'connections-above-limit',
		draft: {
			header: {configuration: {services: {handbook: {connections: 5}}}},
			events: [createLookupStream({rate: 200, serviceTime: 120})],
		},
		policies: createPoliciesWithServiceSettings({connections: 330}),
		allows: isZero,
	},
	{
		kind: 'admitted-above-rate',
		draft: {events: [createLookupStream({workspace: 'holmen', rate: 60})]},
		policies: unlimitedRatePolicies,
		allows: isZero,
	},
	{
		kind: 'floor-violations',
		draft: {
			header: {configuration: {services: {handbook: {floor: 0.9}}}},
			events: [
				{kind: 'target-fail', at: 0, target: 'handbook-1', rate: 0.8},
				createLookupStream({rate: 200}),
			],
		},
		policies: createPoliciesWithServiceSettings({floor: 0}),
		allows: isZero,
	},
	{
		kind: 'version-reversions',
		draft: {
			events: [
				{kind: 'patch-rate', at: 1000, workspace: 'vika', rate: 41, burst: 20},
				{kind: 'service-stale', at: 5000, version: 1},
			],
		},
		policies: {
			createConfigurationDistribution(options) {
				const distribution = createConfigurationDistribution(options);
				return {
					...distribution,
					complete(request, outcome, now) {
						distribution.complete(request, outcome, now);
						return outcome.kind === 'document';
					},
				};
			},
		},
		allows: isZero,
	},
	{
		kind: 'version-spread',
		parameters: {version: 2},
		draft: {events: [{kind: 'patch-rate', at: 1000, workspace: 'vika', rate: 41, burst: 20}]},
		policies: nonAdoptingPolicies,
		allows: isWithinThreeSeconds,
	},
	{
		kind: 'key-admission',
		parameters: {key: 'key-nordstrand'},
		draft: {
			events: [createLookupStream(), {kind: 'key-withdrawn', at: 2000, key: 'key-nordstrand'}],
		},
		policies: nonAdoptingPolicies,
		allows: isWithinThreeSeconds,
	},
	{
		kind: 'key-answer',
		parameters: {key: 'key-nordstrand'},
		draft: {
			events: [createLookupStream(), {kind: 'key-withdrawn', at: 2000, key: 'key-nordstrand'}],
		},
		policies: nonAdoptingPolicies,
		allows: isWithinThreeSeconds,
	},
	{
		kind: 'domain-dispatch',
		parameters: {failureDomain: 'domain-1'},
		draft: {
			events: [createLookupStream(), {kind: 'domain-out', at: 2000, failureDomain: 'domain-1'}],
		},
		policies: availabilityIgnoringPolicies,
		allows: isWithinThreeSeconds,
	},
	{
		kind: 'leaving-dispatch',
		parameters: {target: 'handbook-1'},
		draft: {events: [createLookupStream(), {kind: 'target-leave', at: 2000, target: 'handbook-1'}]},
		policies: availabilityIgnoringPolicies,
		allows: isWithinThreeSeconds,
	},
	{
		kind: 'targets-reached',
		parameters: {fingerprint: 'crash'},
		draft: {
			events: [0, 1, 2, 3, 4, 5, 0, 1].map((instance, index) =>
				createCrashingRequest(1000 * (index + 1), instance),
			),
		},
		policies: {
			createCrashGuard: options => ({
				...createCrashGuard(options),
				check: () => ({check: {kind: 'allowed'}, settled: [], messages: []}),
			}),
		},
		allows: figure => figure <= 2,
	},
	{
		kind: 'extra-load',
		draft: {
			events: [
				{kind: 'target-fail', at: 0, target: 'handbook-1', rate: 1},
				createLookupStream({rate: 50}),
			],
		},
		policies: {
			createRetryPolicy: options => ({
				...createRetryPolicy(options),
				decide: ({attempts}) => ({
					action: attempts < 3 ? 'retry' : 'give-up',
					runState: 'may-have-run',
				}),
			}),
		},
		allows: figure => figure <= 0.1,
	},
	{
		kind: 'unanswered',
		draft: {events: [createOrder(1000, 0)]},
		policies: unansweredClaimPolicies,
		allows: isZero,
	},
	{
		kind: 'interrupted-by-stop',
		draft: {
			events: [
				createLookupStream({duration: 3000, serviceTime: 500}),
				{kind: 'instance-stop', at: 2000, instance: 1, grace: 0},
			],
		},
		allows: isZero,
	},
	{
		kind: 'worst-workspace',
		parameters: {absent: 'nordstrand'},
		draft: {
			events: [
				createLookupStream({workspace: 'vika', rate: 30, serviceTime: 150}),
				...[2, 3, 4, 5, 6].map(seed => createLookupStream({rate: 300, seed, serviceTime: 150})),
			],
		},
		policies: {
			...unlimitedRatePolicies,
			createSlotCoordinator: options =>
				createSlotCoordinator({
					...options,
					weightOf: workspace => (workspace === 'vika' ? 0.01 : 100),
				}),
		},
		allows: figure => figure >= 0.95,
	},
	{
		kind: 'ejected',
		parameters: {target: 'handbook-1'},
		draft: {
			events: [
				createLookupStream({rate: 200}),
				{kind: 'target-fail', at: 1000, target: 'handbook-1', rate: 0.5},
			],
		},
		policies: createPoliciesWithServiceSettings({floor: 1}),
		allows: isWithinThreeSeconds,
	},
	{
		kind: 'configuration-reads-per-second',
		draft: {events: []},
		policies: {
			createConfigurationDistribution(options) {
				const distribution = createConfigurationDistribution(options);
				return {
					...distribution,
					decide: (input, now) => [
						...distribution.decide(input, now),
						...Array.from({length: 10}, () => ({kind: 'poll'}) as const),
					],
				};
			},
		},
		allows: figure => figure <= 20,
	},
];

describe('a violation is detected by the outcome', () => {
	// Guards against a figure that is within its bound whatever the policies do.
	test.each(violations)('$kind', ({kind, parameters, draft, policies, allows}) => {
		const outcome = {name: kind, kind, counted: true, ...parameters} as const;
		const figure = figureOf(draft, outcome, policies);
		expect({figure, isAllowed: allows(figure)}).toEqual({figure, isAllowed: false});
	});
});
