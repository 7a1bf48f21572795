/**
 * Stated outcomes of a replay: exact counts and bounds on figures of the run. Each kind of outcome
 * has a handler that takes its figure from the run.
 */
import {z} from 'zod';
import {ReplayError} from './replay-error.js';
import {type Delivery} from './run-record.js';
import {type TraceRun} from './trace-run.js';
import {describeIssues, type TraceEvent} from './trace-format.js';

type OutcomeHandler = {
	/** Fields besides the name, the kind and the bound. */
	readonly parameters: z.ZodRawShape;
	readonly figure: (run: TraceRun, parameters: Record<string, unknown>) => number;
};

const name = z.string().min(1);
const milliseconds = z.number().min(0);

function createHandler<Shape extends z.ZodRawShape>(
	parameters: Shape,
	figure: (run: TraceRun, parameters: z.output<z.ZodObject<Shape>>) => number,
): OutcomeHandler {
	return {parameters, figure: figure as OutcomeHandler['figure']};
}

function createCount(figure: (run: TraceRun) => number): OutcomeHandler {
	return createHandler({}, figure);
}

/** Time of the first event that matches. Throws a `ReplayError` when the trace has none. */
function timeOf(run: TraceRun, what: string, matches: (event: TraceEvent) => boolean): number {
	const event = run.trace.events.find(candidate => matches(candidate));
	if (event === undefined) {
		throw new ReplayError('invalid-outcomes', `the trace has no event for ${what}`);
	}

	return event.at;
}

/** Runs beyond the first of each request that must not run twice. */
function countDuplicates({record}: TraceRun): number {
	const runsByGroup = new Map<string, number>();
	for (const {group, isIdempotent, runs} of record.deliveries) {
		if (!isIdempotent) {
			runsByGroup.set(group, (runsByGroup.get(group) ?? 0) + runs);
		}
	}

	let duplicates = 0;
	for (const runs of runsByGroup.values()) {
		duplicates += Math.max(0, runs - 1);
	}

	return duplicates;
}

/** Refusals that the caller brought about although its rate allowed the request. */
const ownFault = /^refused-(?:idempotency-key-used|crashing-request|unknown-key)$/;

function isRefusedWithinRate({end}: Delivery): boolean {
	return (
		end !== undefined &&
		end.isWithinRate &&
		end.result.startsWith('refused-') &&
		!ownFault.test(end.result)
	);
}

function count(run: TraceRun, matches: (delivery: Delivery) => boolean): number {
	return run.record.deliveries.filter(delivery => matches(delivery)).length;
}

/** Part of the requests that arrived in a window and got a good answer; 1 when none arrived. */
function servedPart(run: TraceRun, from: number, until: number): number {
	const arrived = run.record.deliveries.filter(
		({arrivedAt}) => arrivedAt >= from && arrivedAt < until,
	);
	const served = arrived.filter(({end}) => end?.result === 'ok').length;
	return arrived.length === 0 ? 1 : served / arrived.length;
}

/** Milliseconds from the start of a state to the last run in it; 0 without a run. */
function lastRunAfter(
	run: TraceRun,
	isMatch: (target: string) => boolean,
	from: number,
	until: number,
): number {
	const later = run.record.runs.filter(
		({at, target}) => at > from && at < until && isMatch(target),
	);
	return later.length === 0 ? 0 : later.at(-1)!.at - from;
}

/** Milliseconds from a time to the latest of some times; 0 when none is later. */
function latestAfter(times: readonly number[], from: number): number {
	let latest = 0;
	for (const at of times) {
		latest = Math.max(latest, at - from);
	}

	return latest;
}

function endOf(run: TraceRun, matches: (event: TraceEvent) => boolean, from: number): number {
	const event = run.trace.events.find(candidate => candidate.at > from && matches(candidate));
	return event?.at ?? Number.POSITIVE_INFINITY;
}

function domainsByTarget({organisation}: TraceRun): ReadonlyMap<string, string> {
	const services = Object.values(organisation.document.services);
	const targets = services.flatMap(service => service.targets);
	return new Map(targets.map(({id, failureDomain}) => [id, failureDomain]));
}

function servedOf(run: TraceRun, workspace: string): number {
	return count(run, ({workspace: own, end}) => own === workspace && end?.result === 'ok');
}

const faults: ReadonlySet<string> = new Set([
	'target-slow',
	'target-fail',
	'target-blank',
	'target-stall',
	'target-flap',
]);

/** All figures are counts, milliseconds or parts; each is infinite when what it waits for never came. */
export const outcomeHandlers: Readonly<Record<string, OutcomeHandler>> = {
	'duplicate-runs': createCount(countDuplicates),
	'in-flight-above-slots': createCount(({counts}) => counts.startsAboveSlots),
	'in-flight-above-cold-slots': createCount(({counts}) => counts.startsAboveColdSlots),
	'connections-above-limit': createCount(({counts}) => counts.connectionsAboveLimit),
	'admitted-above-rate': createCount(({counts}) => counts.totals.admittedAboveRate),
	/** Requests that the caller was told had not run, and that a target ran. */
	'not-run-but-ran': createCount(run =>
		count(run, ({end, runs}) => end?.runState === 'not-run' && runs > 0),
	),
	'floor-violations': createCount(({record}) => record.floorViolations),
	'version-reversions': createCount(({record}) => record.reversions),
	ejections: createCount(({counts}) => counts.ejections.length),
	'false-ejections': createCount(
		({counts}) => counts.ejections.filter(({wasFaulty: wasSick}) => !wasSick).length,
	),
	/** Milliseconds from the first fault of the target to its ejection. */
	ejected: createHandler({target: name}, (run, {target}) => {
		const from = timeOf(
			run,
			target,
			event => faults.has(event.kind) && 'target' in event && event.target === target,
		);
		const ejection = run.counts.ejections.find(
			({target: ejected, at}) => ejected === target && at - run.startsAt >= from,
		);
		return ejection === undefined ? Number.POSITIVE_INFINITY : ejection.at - run.startsAt - from;
	}),
	'refused-within-rate': createCount(run => count(run, isRefusedWithinRate)),
	/** Part of all requests. */
	'refused-within-rate-part': createCount(
		run => count(run, isRefusedWithinRate) / Math.max(1, run.record.deliveries.length),
	),
	/** Served in this run over served without the named workspace; the lowest of the others. */
	'worst-workspace': createHandler({absent: name}, (run, {absent}) => {
		const control = run.runWithout(absent);
		const others = [...new Set(control.record.deliveries.map(({workspace}) => workspace))];
		const parts = others.map(workspace => {
			const served = servedOf(control, workspace);
			return served === 0 ? 1 : servedOf(run, workspace) / served;
		});
		return Math.min(...parts);
	}),
	/** Milliseconds from taking the failure domain out to the last start on one of its targets. */
	'domain-dispatch': createHandler({failureDomain: name}, (run, {failureDomain}) => {
		const isOf = (kind: string) => (event: TraceEvent) =>
			event.kind === kind && 'failureDomain' in event && event.failureDomain === failureDomain;
		const from = timeOf(run, failureDomain, isOf('domain-out'));
		const domains = domainsByTarget(run);
		const until = endOf(run, isOf('domain-in'), from);
		return lastRunAfter(run, target => domains.get(target) === failureDomain, from, until);
	}),
	/** Milliseconds from the listing of the target as leaving to its last start. */
	'leaving-dispatch': createHandler({target: name}, (run, {target}) => {
		const isOf = (kind: string) => (event: TraceEvent) =>
			event.kind === kind && 'target' in event && event.target === target;
		const from = timeOf(run, target, isOf('target-leave'));
		return lastRunAfter(run, id => id === target, from, endOf(run, isOf('target-return'), from));
	}),
	/** Milliseconds from the withdrawal to the last admission or start with the key. */
	'key-admission': createHandler({key: name}, (run, {key}) => {
		const from = timeOf(run, key, event => event.kind === 'key-withdrawn' && event.key === key);
		const starts = run.record.runs.filter(({delivery}) => delivery.key === key);
		const admitted = run.record.deliveries.filter(delivery => delivery.key === key);
		const times = [...starts.map(({at}) => at), ...admitted.map(({admittedAt = 0}) => admittedAt)];
		return latestAfter(times, from);
	}),
	/** Milliseconds from the withdrawal to the last good answer for the key. */
	'key-answer': createHandler({key: name}, (run, {key}) => {
		const from = timeOf(run, key, event => event.kind === 'key-withdrawn' && event.key === key);
		const answered = run.record.deliveries.filter(
			delivery => delivery.key === key && delivery.end?.result === 'ok',
		);
		return latestAfter(
			answered.map(({end}) => end!.at),
			from,
		);
	}),
	/** Milliseconds until every live instance had the version; the first change makes version 2. */
	'version-spread': createHandler(
		{version: z.number().int().min(2)},
		({counts}, {version}) => counts.spreadTimes.get(version) ?? Number.POSITIVE_INFINITY,
	),
	/** Targets that ran a request with this fingerprint. */
	'targets-reached': createHandler({fingerprint: name}, (run, {fingerprint}) => {
		const runs = run.record.runs.filter(({delivery}) => delivery.fingerprint === fingerprint);
		return new Set(runs.map(({target}) => target)).size;
	}),
	/** Runs of one idempotency key; states that a request was not lost altogether. */
	'runs-of-key': createHandler({workspace: name, idempotencyKey: name}, (run, parameters) => {
		const group = `${parameters.workspace}/${parameters.idempotencyKey}`;
		return run.record.runs.filter(({delivery}) => delivery.group === group).length;
	}),
	/** Part served in a window over the part served in the steady window before it. */
	'served-of-steady': createHandler(
		{from: milliseconds, until: milliseconds, steadyFrom: milliseconds, steadyUntil: milliseconds},
		(run, {from, until, steadyFrom, steadyUntil}) =>
			servedPart(run, from, until) / servedPart(run, steadyFrom, steadyUntil),
	),
	'served-part': createHandler({from: milliseconds, until: milliseconds}, (run, {from, until}) =>
		servedPart(run, from, until),
	),
	/** Runs beyond the first of each request, over all requests. */
	'extra-load': createCount(({record}) => {
		let extra = 0;
		for (const {runs} of record.deliveries) {
			extra += Math.max(0, runs - 1);
		}

		return extra / Math.max(1, record.deliveries.length);
	}),
	'interrupted-by-stop': createCount(run => {
		const stopped = new Set(
			run.trace.events
				.filter(event => event.kind === 'instance-stop')
				.map(({instance}) => instance),
		);
		return count(
			run,
			({lostWithInstance: lostWith}) => lostWith !== undefined && stopped.has(lostWith),
		);
	}),
	/** Requests without an answer although their instance lived. */
	unanswered: createCount(run =>
		count(run, ({end, lostWithInstance: lostWith}) => end === undefined && lostWith === undefined),
	),
	'configuration-reads-per-second': createCount(
		({record, counts}) => (record.configurationReads * 1000) / counts.duration,
	),
};

const bounds = {
	equals: z.number().optional(),
	atMost: z.number().optional(),
	atLeast: z.number().optional(),
	/** The figure is printed and holds whatever it is, where the design page only says to count it. */
	counted: z.literal(true).optional(),
};

export type Outcome = {
	readonly name: string;
	readonly kind: string;
	readonly equals?: number;
	readonly atMost?: number;
	readonly atLeast?: number;
	readonly counted?: true;
} & Readonly<Record<string, unknown>>;

export type OutcomeResult = {
	readonly outcome: Outcome;
	/** Infinite when what the outcome waits for never came. */
	readonly figure: number;
	readonly holds: boolean;
};

const fileSchema = z.strictObject({
	format: z.literal(1),
	outcomes: z.array(z.looseObject({name, kind: name})).min(1),
});

function parseOutcome(
	input: {readonly name: string; readonly kind: string},
	index: number,
): Outcome {
	const place = `outcomes[${index}] "${input.name}"`;
	if (!Object.hasOwn(outcomeHandlers, input.kind)) {
		const message = `${place}, field "kind": "${input.kind}" is not known`;
		throw new ReplayError('invalid-outcomes', message);
	}

	const {parameters} = outcomeHandlers[input.kind]!;
	const result = z.strictObject({...parameters, ...bounds, name, kind: name}).safeParse(input);
	if (!result.success) {
		throw new ReplayError('invalid-outcomes', describeIssues(place, result.error.issues));
	}

	const outcome = result.data as Outcome;
	const stated = [outcome.equals, outcome.atMost, outcome.atLeast, outcome.counted];
	if (stated.filter(bound => bound !== undefined).length !== 1) {
		const message = `${place}: needs one of "equals", "atMost", "atLeast" and "counted"`;
		throw new ReplayError('invalid-outcomes', message);
	}

	return outcome;
}

/** Parses a file of outcomes. Throws a `ReplayError` that names outcome and field. */
export function parseOutcomes(text: string): Outcome[] {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw new ReplayError('invalid-outcomes', `not JSON: ${(error as Error).message}`);
	}

	const result = fileSchema.safeParse(value);
	if (!result.success) {
		throw new ReplayError('invalid-outcomes', describeIssues('outcomes', result.error.issues));
	}

	return result.data.outcomes.map((outcome, index) => parseOutcome(outcome, index));
}

function holds({equals, atMost, atLeast}: Outcome, figure: number): boolean {
	return (
		(equals === undefined || figure === equals) &&
		(atMost === undefined || figure <= atMost) &&
		(atLeast === undefined || figure >= atLeast)
	);
}

/** Judges a run. Throws a `ReplayError` for an outcome about something that the trace lacks. */
export function evaluateOutcomes(run: TraceRun, outcomes: readonly Outcome[]): OutcomeResult[] {
	return outcomes.map(outcome => {
		const figure = outcomeHandlers[outcome.kind]!.figure(run, outcome);
		return {outcome, figure, holds: holds(outcome, figure)};
	});
}
