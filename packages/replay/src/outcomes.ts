/**
 * Expected outcomes of a replay: exact values or bounds of figures that are computed from the run.
 * Each kind of outcome has a handler that computes its figure.
 */
import {z} from 'zod';
import {ReplayError} from './replay-error.js';
import {type RequestArrival} from './run-record.js';
import {type TraceRun} from './trace-run.js';
import {describeIssues, type TraceEvent} from './trace-format.js';

type OutcomeHandler = {
	/** Fields of the outcome besides the name, the kind and the bound. */
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

/** A handler for a kind without parameters. */
function createPlainHandler(figure: (run: TraceRun) => number): OutcomeHandler {
	return createHandler({}, figure);
}

/** Time of the first matching event. Throws a `ReplayError` if the trace has none. */
function timeOf(run: TraceRun, subject: string, matches: (event: TraceEvent) => boolean): number {
	const event = run.trace.events.find(candidate => matches(candidate));
	if (event === undefined) {
		throw new ReplayError('invalid-outcomes', `the trace has no event for ${subject}`);
	}

	return event.at;
}

/** Runs beyond the first of each request that must not run twice. */
function countDuplicateRuns({record}: TraceRun): number {
	const runsByGroup = new Map<string, number>();
	for (const {group, isIdempotent, runs} of record.arrivals) {
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

/** Results of refusals that the caller caused, which do not count as refused within the rate. */
const callerFaultPattern = /^refused-(?:idempotency-key-used|crashing-request|unknown-key)$/;

function isRefusedWithinRate({end}: RequestArrival): boolean {
	return (
		end !== undefined &&
		end.isWithinRate &&
		end.result.startsWith('refused-') &&
		!callerFaultPattern.test(end.result)
	);
}

function countArrivals(run: TraceRun, matches: (arrival: RequestArrival) => boolean): number {
	return run.record.arrivals.filter(arrival => matches(arrival)).length;
}

/**
 * Fraction of the requests arriving in a time window that got a successful response; 1 if none
 * arrived.
 */
function servedRatio(run: TraceRun, from: number, until: number): number {
	const arrived = run.record.arrivals.filter(
		({arrivedAt}) => arrivedAt >= from && arrivedAt < until,
	);
	const served = arrived.filter(({end}) => end?.result === 'ok').length;
	return arrived.length === 0 ? 1 : served / arrived.length;
}

/**
 * Milliseconds from `from` to the last run at a matching target before `until`; 0 if there is none.
 */
function timeToLastRun(
	run: TraceRun,
	matches: (target: string) => boolean,
	from: number,
	until: number,
): number {
	const later = run.record.runs.filter(
		({at, target}) => at > from && at < until && matches(target),
	);
	return later.length === 0 ? 0 : later.at(-1)!.at - from;
}

/** Milliseconds from `from` to the latest of `times`; 0 if none is later. */
function timeToLatest(times: readonly number[], from: number): number {
	let latest = 0;
	for (const at of times) {
		latest = Math.max(latest, at - from);
	}

	return latest;
}

/** Time of the first matching event after `from`, or infinity. */
function endTimeOf(run: TraceRun, matches: (event: TraceEvent) => boolean, from: number): number {
	const event = run.trace.events.find(candidate => candidate.at > from && matches(candidate));
	return event?.at ?? Number.POSITIVE_INFINITY;
}

function failureDomainsByTarget({organisation}: TraceRun): ReadonlyMap<string, string> {
	const services = Object.values(organisation.document.services);
	const targets = services.flatMap(service => service.targets);
	return new Map(targets.map(({id, failureDomain}) => [id, failureDomain]));
}

function countServed(run: TraceRun, workspace: string): number {
	return countArrivals(
		run,
		({workspace: arrivalWorkspace, end}) => arrivalWorkspace === workspace && end?.result === 'ok',
	);
}

/** Kinds of events that give a target a fault. */
const faultKinds: ReadonlySet<string> = new Set([
	'target-slow',
	'target-fail',
	'target-blank',
	'target-stall',
	'target-flap',
]);

/**
 * Handlers by kind. Each figure is a count, a time in milliseconds or a ratio. The times to an
 * ejection and to the adoption of a version are infinite if there was none; the times to the last
 * start, admission or response are 0 if there was none.
 */
export const outcomeHandlers: Readonly<Record<string, OutcomeHandler>> = {
	'duplicate-runs': createPlainHandler(countDuplicateRuns),
	'in-flight-above-slots': createPlainHandler(({counts}) => counts.startsAboveSlots),
	'in-flight-above-cold-slots': createPlainHandler(({counts}) => counts.startsAboveColdSlots),
	'connections-above-limit': createPlainHandler(({counts}) => counts.connectionsAboveLimit),
	'admitted-above-rate': createPlainHandler(({counts}) => counts.totals.admittedAboveRate),
	/** Requests that were reported to the caller as not run although a target ran them. */
	'not-run-but-ran': createPlainHandler(run =>
		countArrivals(run, ({end, runs}) => end?.runState === 'not-run' && runs > 0),
	),
	'floor-violations': createPlainHandler(({record}) => record.floorViolations),
	'version-reversions': createPlainHandler(({record}) => record.reversions),
	ejections: createPlainHandler(({counts}) => counts.ejections.length),
	'false-ejections': createPlainHandler(
		({counts}) => counts.ejections.filter(({wasFaulty}) => !wasFaulty).length,
	),
	/** Milliseconds from the first fault of the target to its next ejection. */
	ejected: createHandler({target: name}, (run, {target}) => {
		const from = timeOf(
			run,
			target,
			event => faultKinds.has(event.kind) && 'target' in event && event.target === target,
		);
		const ejection = run.counts.ejections.find(
			({target: ejected, at}) => ejected === target && at - run.startsAt >= from,
		);
		return ejection === undefined ? Number.POSITIVE_INFINITY : ejection.at - run.startsAt - from;
	}),
	'refused-within-rate': createPlainHandler(run => countArrivals(run, isRefusedWithinRate)),
	/** Requests that were refused within the rate, as a fraction of all requests. */
	'refused-within-rate-part': createPlainHandler(
		run => countArrivals(run, isRefusedWithinRate) / Math.max(1, run.record.arrivals.length),
	),
	/**
	 * Requests served in this run divided by those served in a run without the workspace `absent`; the
	 * minimum over the other workspaces.
	 */
	'worst-workspace': createHandler({absent: name}, (run, {absent}) => {
		const control = run.runWithout(absent);
		const others = [...new Set(control.record.arrivals.map(({workspace}) => workspace))];
		const ratios = others.map(workspace => {
			const served = countServed(control, workspace);
			return served === 0 ? 1 : countServed(run, workspace) / served;
		});
		return Math.min(...ratios);
	}),
	/**
	 * Milliseconds from taking the failure domain out to the last start on one of its targets before
	 * the domain returns.
	 */
	'domain-dispatch': createHandler({failureDomain: name}, (run, {failureDomain}) => {
		const isDomainEvent = (kind: string) => (event: TraceEvent) =>
			event.kind === kind && 'failureDomain' in event && event.failureDomain === failureDomain;
		const from = timeOf(run, failureDomain, isDomainEvent('domain-out'));
		const domains = failureDomainsByTarget(run);
		const until = endTimeOf(run, isDomainEvent('domain-in'), from);
		return timeToLastRun(run, target => domains.get(target) === failureDomain, from, until);
	}),
	/**
	 * Milliseconds from `target-leave`, which lists the target as leaving, to the last start on the
	 * target before `target-return`.
	 */
	'leaving-dispatch': createHandler({target: name}, (run, {target}) => {
		const isTargetEvent = (kind: string) => (event: TraceEvent) =>
			event.kind === kind && 'target' in event && event.target === target;
		const from = timeOf(run, target, isTargetEvent('target-leave'));
		return timeToLastRun(
			run,
			id => id === target,
			from,
			endTimeOf(run, isTargetEvent('target-return'), from),
		);
	}),
	/** Milliseconds from the withdrawal of an API key to the last admission or start with it. */
	'key-admission': createHandler({key: name}, (run, {key}) => {
		const from = timeOf(run, key, event => event.kind === 'key-withdrawn' && event.key === key);
		const starts = run.record.runs.filter(({arrival}) => arrival.key === key);
		const admitted = run.record.arrivals.filter(arrival => arrival.key === key);
		const times = [...starts.map(({at}) => at), ...admitted.map(({admittedAt = 0}) => admittedAt)];
		return timeToLatest(times, from);
	}),
	/** Milliseconds from the withdrawal of an API key to the last successful response for it. */
	'key-answer': createHandler({key: name}, (run, {key}) => {
		const from = timeOf(run, key, event => event.kind === 'key-withdrawn' && event.key === key);
		const succeeded = run.record.arrivals.filter(
			arrival => arrival.key === key && arrival.end?.result === 'ok',
		);
		return timeToLatest(
			succeeded.map(({end}) => end!.at),
			from,
		);
	}),
	/**
	 * Milliseconds from the change of the configuration that created the version until every instance
	 * that had not ended had adopted it. The first change creates version 2.
	 */
	'version-spread': createHandler(
		{version: z.number().int().min(2)},
		({counts}, {version}) => counts.distributionTimes.get(version) ?? Number.POSITIVE_INFINITY,
	),
	/** Number of targets that ran a request with the fingerprint. */
	'targets-reached': createHandler({fingerprint: name}, (run, {fingerprint}) => {
		const runs = run.record.runs.filter(({arrival}) => arrival.fingerprint === fingerprint);
		return new Set(runs.map(({target}) => target)).size;
	}),
	/** Runs of the requests with one idempotency key, to check that they ran at all. */
	'runs-of-key': createHandler({workspace: name, idempotencyKey: name}, (run, parameters) => {
		const group = `${parameters.workspace}/${parameters.idempotencyKey}`;
		return run.record.runs.filter(({arrival}) => arrival.group === group).length;
	}),
	/**
	 * Fraction of the requests served from `from` to `until`, divided by the fraction served from
	 * `steadyFrom` to `steadyUntil`.
	 */
	'served-of-steady': createHandler(
		{from: milliseconds, until: milliseconds, steadyFrom: milliseconds, steadyUntil: milliseconds},
		(run, {from, until, steadyFrom, steadyUntil}) =>
			servedRatio(run, from, until) / servedRatio(run, steadyFrom, steadyUntil),
	),
	'served-part': createHandler({from: milliseconds, until: milliseconds}, (run, {from, until}) =>
		servedRatio(run, from, until),
	),
	/** Runs beyond the first of each request, divided by the number of requests. */
	'extra-load': createPlainHandler(({record}) => {
		let extra = 0;
		for (const {runs} of record.arrivals) {
			extra += Math.max(0, runs - 1);
		}

		return extra / Math.max(1, record.arrivals.length);
	}),
	/**
	 * Requests without a response because the instance that received them ended, counted for the
	 * instances that the trace stops as planned.
	 */
	'interrupted-by-stop': createPlainHandler(run => {
		const stopped = new Set(
			run.trace.events
				.filter(event => event.kind === 'instance-stop')
				.map(({instance}) => instance),
		);
		return countArrivals(
			run,
			({lostWithInstance}) => lostWithInstance !== undefined && stopped.has(lostWithInstance),
		);
	}),
	/** Requests without a response although their instance did not end. */
	unanswered: createPlainHandler(run =>
		countArrivals(
			run,
			({end, lostWithInstance}) => end === undefined && lostWithInstance === undefined,
		),
	),
	'configuration-reads-per-second': createPlainHandler(
		({record, counts}) => (record.configurationReads * 1000) / counts.duration,
	),
};

const bounds = {
	equals: z.number().optional(),
	atMost: z.number().optional(),
	atLeast: z.number().optional(),
	/** No bound: the figure is only printed, for outcomes that the design only requires to be counted. */
	counted: z.literal(true).optional(),
};

/** An expected outcome with the parameters of its kind and exactly one bound or `counted`. */
export type ExpectedOutcome = {
	readonly name: string;
	readonly kind: string;
	readonly equals?: number;
	readonly atMost?: number;
	readonly atLeast?: number;
	readonly counted?: true;
} & Readonly<Record<string, unknown>>;

export type OutcomeResult = {
	readonly outcome: ExpectedOutcome;
	/** Infinite if the ejection or the adoption that the outcome measures never happened. */
	readonly figure: number;
	readonly isMet: boolean;
};

const fileSchema = z.strictObject({
	format: z.literal(1),
	outcomes: z.array(z.looseObject({name, kind: name})).min(1),
});

function parseOutcome(
	input: {readonly name: string; readonly kind: string},
	index: number,
): ExpectedOutcome {
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

	const outcome = result.data as ExpectedOutcome;
	const statedBounds = [outcome.equals, outcome.atMost, outcome.atLeast, outcome.counted];
	if (statedBounds.filter(bound => bound !== undefined).length !== 1) {
		const message = `${place}: needs one of "equals", "atMost", "atLeast" and "counted"`;
		throw new ReplayError('invalid-outcomes', message);
	}

	return outcome;
}

/** Parses a file of outcomes. Throws a `ReplayError` that names the outcome and the field. */
export function parseOutcomes(text: string): ExpectedOutcome[] {
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

function isWithinBounds({equals, atMost, atLeast}: ExpectedOutcome, figure: number): boolean {
	return (
		(equals === undefined || figure === equals) &&
		(atMost === undefined || figure <= atMost) &&
		(atLeast === undefined || figure >= atLeast)
	);
}

/** Computes and checks the outcomes of a run. Throws a `ReplayError` if the trace lacks an event. */
export function evaluateOutcomes(
	run: TraceRun,
	outcomes: readonly ExpectedOutcome[],
): OutcomeResult[] {
	return outcomes.map(outcome => {
		const figure = outcomeHandlers[outcome.kind]!.figure(run, outcome);
		return {outcome, figure, isMet: isWithinBounds(outcome, figure)};
	});
}
