/**
 * The promises of the platform's pages, checked on what callers and targets saw. Each check returns
 * the cases in which its promise was broken. Pure, so that every check has a test of its own.
 */
import {type Change, type Observations, type SentRequest, type TargetRun} from './observations.js';

export type Bounds = {
	/** Milliseconds for which an instance must have been undisturbed before bounds in time hold. */
	readonly stableWindow: number;
	/** Milliseconds until a configuration, a leaving target, a withdrawn key, a domain is in force. */
	readonly configuration: number;
	readonly leaving: number;
	readonly withdrawal: number;
	readonly evacuation: number;
	/** Milliseconds after which a newer configuration that had effect may not be forgotten. */
	readonly revert: number;
	/** Milliseconds from the signal to stop until the process is killed. */
	readonly grace: number;
	/** Milliseconds that a request may be on its way to a process that closes the connection. */
	readonly loss: number;
	/** Milliseconds over which a rate holds, and how far it may be exceeded. */
	readonly rateWindow: number;
	readonly rateExcess: number;
	readonly rateSlack: number;
	/** Requests per second at a cold target, with the excess that is allowed. */
	readonly coldRate: number;
	/** Requests per second and burst by workspace, without those that have no limit. */
	readonly rates: Readonly<Record<string, {readonly rate: number; readonly burst: number}>>;
};

export type Violation = {
	readonly promise: string;
	readonly detail: string;
	readonly at: number;
};

type Finding = Omit<Violation, 'promise'>;
type Check = (observations: Observations, bounds: Bounds) => Finding[];

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const millisecondsPerSecond = 1000;

function runsById(observations: Observations): Map<string, TargetRun[]> {
	const byId = new Map<string, TargetRun[]>();
	for (const run of observations.runs) {
		byId.set(run.id, [...(byId.get(run.id) ?? []), run]);
	}

	return byId;
}

/** Whether the instance was undisturbed from the stable window before `from` until `until`. */
function isInTouch(
	{disturbances}: Observations,
	bounds: Bounds,
	span: {readonly instance: number; readonly from: number; readonly until: number},
): boolean {
	return !disturbances.some(
		({instance, from, until}) =>
			(instance === undefined || instance === span.instance) &&
			from <= span.until &&
			until >= span.from - bounds.stableWindow,
	);
}

function changesOf<Kind extends Change['kind']>(
	{changes}: Observations,
	kind: Kind,
): Array<Extract<Change, {kind: Kind}>> {
	return changes.filter(change => change.kind === kind) as Array<Extract<Change, {kind: Kind}>>;
}

/** Runs of requests that in-touch instances had taken, with the request. */
function* heldRuns(
	observations: Observations,
	bounds: Bounds,
): Generator<{readonly run: TargetRun; readonly request: SentRequest}> {
	for (const run of observations.runs) {
		const request = observations.sent.get(run.id);
		if (request === undefined) {
			continue;
		}

		const span = {instance: request.instance, from: request.at, until: run.at};
		if (isInTouch(observations, bounds, span)) {
			yield {run, request};
		}
	}
}

/** The most events within any span of `window` milliseconds. */
function mostWithin(times: readonly number[], window: number): {count: number; at: number} {
	const sorted = [...times].sort((first, second) => first - second);
	let most = {count: 0, at: 0};
	let first = 0;
	for (const [index, at] of sorted.entries()) {
		while (sorted[first]! <= at - window) {
			first++;
		}

		if (index - first + 1 > most.count) {
			most = {count: index - first + 1, at};
		}
	}

	return most;
}

const checks: Readonly<Record<string, Check>> = {
	'whole own answer': ({outcomes}) =>
		outcomes
			.filter(({status, isGenuine}) => status !== undefined && status < 300 && !isGenuine)
			.map(({id, at, status}) => ({detail: `${id} got ${status}`, at})),
	'at most once': observations =>
		[...runsById(observations)]
			.filter(([id, runs]) => observations.sent.get(id)?.isRepeatable === false && runs.length > 1)
			.map(([id, runs]) => ({detail: `${id} ran ${runs.length}x`, at: runs[1]!.at})),
	'true refusal'(observations) {
		const runs = runsById(observations);
		return observations.outcomes
			.filter(({id, status}) => {
				const isRefused = status !== undefined && notRunStatuses.has(status);
				return isRefused && observations.sent.get(id)?.isRepeatable === false && runs.has(id);
			})
			.map(({id, at, status}) => ({detail: `${id} got ${status} and ran`, at}));
	},
	'asked for': ({runs, sent}) =>
		runs.filter(({id}) => !sent.has(id)).map(({id, at}) => ({detail: `${id} was never sent`, at})),
	'no key at targets': ({runs}) =>
		runs.filter(({hasKey}) => hasKey).map(({id, at}) => ({detail: `${id} carried its key`, at})),
	'own workspace': ({runs, sent}) =>
		runs
			.filter(({id, workspace}) => sent.has(id) && sent.get(id)!.workspace !== workspace)
			.map(({id, workspace, at}) => ({detail: `${id} ran for ${workspace}`, at})),
	'withdrawn key'(observations, bounds) {
		const withdrawnAt = new Map(
			changesOf(observations, 'key-withdrawn').map(({key, at}) => [key, at]),
		);
		return observations.runs.flatMap(({id, at}) => {
			const request = observations.sent.get(id);
			const limit = (withdrawnAt.get(request?.key ?? '') ?? Infinity) + bounds.withdrawal;
			const isLate = request !== undefined && request.at > limit;
			return isLate ? [{detail: `${id} ran ${request.at - limit} ms late`, at}] : [];
		});
	},
	'workspace rate': ({runs, sent}, bounds) =>
		Object.entries(bounds.rates).flatMap(([workspace, {rate, burst}]) => {
			const times = runs.filter(({id}) => sent.get(id)?.workspace === workspace).map(({at}) => at);
			const {count, at} = mostWithin(times, bounds.rateWindow);
			const limit = (rate * bounds.rateWindow) / millisecondsPerSecond + burst;
			const most = limit * (1 + bounds.rateExcess) + bounds.rateSlack;
			return count > most ? [{detail: `${workspace}: ${count} of at most ${most}`, at}] : [];
		}),
	'cold target': (observations, bounds) =>
		changesOf(observations, 'target-cold').flatMap(({target, at: from, until}) => {
			const times = observations.runs
				.filter(run => run.target === target && run.at >= from && run.at < until)
				.map(({at}) => at);
			const {count, at} = mostWithin(times, millisecondsPerSecond);
			return count > bounds.coldRate ? [{detail: `${target}: ${count} in a second`, at}] : [];
		}),
	'leaving target'(observations, bounds) {
		const leavingAt = new Map(
			changesOf(observations, 'target-leaving').map(({target, at}) => [target, at]),
		);
		return [...heldRuns(observations, bounds)]
			.filter(({run}) => run.at > (leavingAt.get(run.target) ?? Infinity) + bounds.leaving)
			.map(({run: {id, target, at}}) => ({detail: `${id} reached ${target}`, at}));
	},
	'domain out of service': (observations, bounds) =>
		changesOf(observations, 'domain-out').flatMap(({domain, at: from, until}) =>
			[...heldRuns(observations, bounds)]
				.filter(({run}) => run.failureDomain === domain)
				.filter(({run}) => run.at > from + bounds.evacuation && run.at < until)
				.map(({run: {id, at}}) => ({detail: `${id} reached ${domain}`, at})),
		),
	'configuration in force'(observations, bounds) {
		const moves = changesOf(observations, 'route-moved');
		return [...heldRuns(observations, bounds)].flatMap(({run, request}) => {
			const inForce = moves.filter(({route}) => route === request.route);
			const settled = inForce.findLast(({at}) => request.at > at + bounds.configuration);
			const allowed = inForce.filter(({at}) => settled === undefined || at >= settled.at);
			const isOutdated =
				settled !== undefined && allowed.every(({service}) => service !== run.service);
			return isOutdated ? [{detail: `${run.id} ran at ${run.service}`, at: run.at}] : [];
		});
	},
	'configuration never goes back'(observations, bounds) {
		const moves = changesOf(observations, 'route-moved');
		const seen = new Map<string, {version: number; at: number}>();
		const findings: Finding[] = [];
		const runs = [...observations.runs].sort((first, second) => first.at - second.at);
		for (const {id, service, at} of runs) {
			const request = observations.sent.get(id);
			if (request === undefined) {
				continue;
			}

			// Moves alternate between services; the newest one before the run that explains it counts.
			const version = moves.findLastIndex(
				move => move.route === request.route && move.service === service && move.at <= at,
			);
			const process = `${request.instance}/${request.incarnation}/${request.route}`;
			const newest = seen.get(process);
			if (newest !== undefined && version < newest.version) {
				if (request.at > newest.at + bounds.revert) {
					findings.push({detail: `${id} ran at ${service}`, at});
				}
			} else if (newest === undefined || version > newest.version) {
				seen.set(process, {version, at});
			}
		}

		return findings;
	},
	'planned stop cuts nothing'(observations, bounds) {
		const ran = runsById(observations);
		return observations.stops.flatMap(stop =>
			observations.outcomes
				.filter(({id, status, wasWritten}) => {
					const request = observations.sent.get(id);
					const isThere =
						request?.instance === stop.instance && request.incarnation === stop.incarnation;
					return isThere && status === undefined && wasWritten;
				})
				.filter(({id, at}) => {
					const sentAt = observations.sent.get(id)!.at;
					const isLost = ran.has(id) || at - sentAt > bounds.loss;
					// A request that comes in the last third may meet the end of the process.
					const isInTime = at > stop.at && sentAt < stop.at + bounds.grace / 2;
					const before = {instance: stop.instance, from: sentAt, until: stop.at - 1};
					const wasHarmed = observations.disturbances.some(
						({instance, from}) =>
							(instance === undefined || instance === stop.instance) &&
							from > stop.at &&
							from <= at,
					);
					const isHeld = isInTouch(observations, bounds, before) && !wasHarmed;
					return isLost && isInTime && isHeld;
				})
				.map(({id, at}) => ({detail: `${id} was cut`, at})),
		);
	},
};

export const promiseNames: readonly string[] = Object.keys(checks);

/** Every case in which a promise was broken. */
export function checkPromises(observations: Observations, bounds: Bounds): Violation[] {
	return Object.entries(checks).flatMap(([promise, check]) =>
		check(observations, bounds).map(finding => ({promise, ...finding})),
	);
}
