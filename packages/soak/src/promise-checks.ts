/**
 * Checks of the promises, which are the guarantees that the platform's documentation gives, against
 * the observations of a run. Each check returns the violations of one promise. The checks are pure
 * functions, so that each can be tested separately.
 */
import {
	type DeploymentChange,
	type Observations,
	type SentRequest,
	type TargetRun,
} from './observations.js';

export type PromiseBounds = {
	/**
	 * Milliseconds for which an instance must have been undisturbed before time bounds apply to it.
	 */
	readonly stableWindow: number;
	/** Milliseconds within which a new configuration must take effect. */
	readonly maxConfigurationDelay: number;
	/** Milliseconds within which requests to a leaving target must cease. */
	readonly maxLeavingDelay: number;
	/** Milliseconds within which requests with a withdrawn key must cease. */
	readonly maxWithdrawalDelay: number;
	/** Milliseconds within which requests to a failure domain that is out of service must cease. */
	readonly maxEvacuationDelay: number;
	/**
	 * Milliseconds for which callers may still send requests that a process handles with an older
	 * configuration, after a first request that it handled with the newer one.
	 */
	readonly reversionTolerance: number;
	/** Milliseconds from SIGTERM to SIGKILL. */
	readonly stopTimeout: number;
	/**
	 * Milliseconds for which a request may be in transit to a process that closes the connection; a
	 * request that fails sooner may not have arrived.
	 */
	readonly transitTolerance: number;
	/** Milliseconds over which a rate is measured. */
	readonly rateWindow: number;
	/** Fraction by which a rate may be exceeded. */
	readonly rateExcess: number;
	/** Requests by which a rate may be exceeded in addition to `rateExcess`. */
	readonly rateSlack: number;
	/** Maximum requests in any second at a cold target, including the allowed excess. */
	readonly coldRate: number;
	/** Requests per second and burst of each workspace that has a limit. */
	readonly rates: Readonly<Record<string, {readonly rate: number; readonly burst: number}>>;
};

export type Violation = {
	/** Name of the promise, see `promiseNames`. */
	readonly promise: string;
	readonly detail: string;
	/** Monotonic milliseconds. */
	readonly at: number;
};

type Finding = Omit<Violation, 'promise'>;
type Check = (observations: Observations, bounds: PromiseBounds) => Finding[];

/** Statuses which tell the caller that the request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const millisecondsPerSecond = 1000;

function groupRunsByRequest(observations: Observations): Map<string, TargetRun[]> {
	const groups = new Map<string, TargetRun[]>();
	for (const run of observations.runs) {
		groups.set(run.id, [...(groups.get(run.id) ?? []), run]);
	}

	return groups;
}

/** Whether the instance had no disturbance from one `stableWindow` before `from` until `until`. */
function isUndisturbed(
	{disturbances}: Observations,
	bounds: PromiseBounds,
	span: {readonly instance: number; readonly from: number; readonly until: number},
): boolean {
	return !disturbances.some(
		({instance, from, until}) =>
			(instance === undefined || instance === span.instance) &&
			from <= span.until &&
			until >= span.from - bounds.stableWindow,
	);
}

function changesOf<Kind extends DeploymentChange['kind']>(
	{changes}: Observations,
	kind: Kind,
): Array<Extract<DeploymentChange, {kind: Kind}>> {
	return changes.filter(change => change.kind === kind) as Array<
		Extract<DeploymentChange, {kind: Kind}>
	>;
}

/**
 * Yields each run together with its request, unless the instance that got the request was disturbed
 * between the sending of the request and the run, or within `stableWindow` before the sending.
 */
function* undisturbedRuns(
	observations: Observations,
	bounds: PromiseBounds,
): Generator<{readonly run: TargetRun; readonly request: SentRequest}> {
	for (const run of observations.runs) {
		const request = observations.sent.get(run.id);
		if (request === undefined) {
			continue;
		}

		const span = {instance: request.instance, from: request.at, until: run.at};
		if (isUndisturbed(observations, bounds, span)) {
			yield {run, request};
		}
	}
}

/**
 * Returns the maximum number of events within any `window` milliseconds, and when it was reached.
 */
function maxCountWithin(times: readonly number[], window: number): {count: number; at: number} {
	const sorted = [...times].sort((first, second) => first - second);
	let max = {count: 0, at: 0};
	let first = 0;
	for (const [index, at] of sorted.entries()) {
		while (sorted[first]! <= at - window) {
			first++;
		}

		if (index - first + 1 > max.count) {
			max = {count: index - first + 1, at};
		}
	}

	return max;
}

const checks: Readonly<Record<string, Check>> = {
	/** The body of a successful response is complete, unmodified and belongs to the request. */
	'whole own answer': ({outcomes}) =>
		outcomes
			.filter(({status, hasValidBody}) => status !== undefined && status < 300 && !hasValidBody)
			.map(({id, at, status}) => ({detail: `${id} got ${status}`, at})),
	/** A request that is not idempotent runs at most once. */
	'at most once': observations =>
		[...groupRunsByRequest(observations)]
			.filter(([id, runs]) => observations.sent.get(id)?.isIdempotent === false && runs.length > 1)
			.map(([id, runs]) => ({detail: `${id} ran ${runs.length}x`, at: runs[1]!.at})),
	/** A request that is not idempotent did not run if the status of the response says so. */
	'true refusal'(observations) {
		const runs = groupRunsByRequest(observations);
		return observations.outcomes
			.filter(({id, status}) => {
				const isRefused = status !== undefined && notRunStatuses.has(status);
				return isRefused && observations.sent.get(id)?.isIdempotent === false && runs.has(id);
			})
			.map(({id, at, status}) => ({detail: `${id} got ${status} and ran`, at}));
	},
	/** Targets run only requests that were sent by a caller. */
	'asked for': ({runs, sent}) =>
		runs.filter(({id}) => !sent.has(id)).map(({id, at}) => ({detail: `${id} was never sent`, at})),
	/** The keys of callers are not forwarded to targets. */
	'no key at targets': ({runs}) =>
		runs.filter(({hasKey}) => hasKey).map(({id, at}) => ({detail: `${id} carried its key`, at})),
	/** A request runs for the workspace to which its key belongs. */
	'own workspace': ({runs, sent}) =>
		runs
			.filter(({id, workspace}) => sent.has(id) && sent.get(id)!.workspace !== workspace)
			.map(({id, workspace, at}) => ({detail: `${id} ran for ${workspace}`, at})),
	/**
	 * A request with a withdrawn key does not run if it was sent later than `maxWithdrawalDelay`
	 * after the withdrawal.
	 */
	'withdrawn key'(observations, bounds) {
		const withdrawnAt = new Map(
			changesOf(observations, 'key-withdrawn').map(({key, at}) => [key, at]),
		);
		return observations.runs.flatMap(({id, at}) => {
			const request = observations.sent.get(id);
			const limit = (withdrawnAt.get(request?.key ?? '') ?? Infinity) + bounds.maxWithdrawalDelay;
			const isLate = request !== undefined && request.at > limit;
			return isLate ? [{detail: `${id} ran ${request.at - limit} ms late`, at}] : [];
		});
	},
	/**
	 * In any `rateWindow`, a workspace does not exceed its rate and burst by more than `rateExcess`
	 * and `rateSlack`.
	 */
	'workspace rate': ({runs, sent}, bounds) =>
		Object.entries(bounds.rates).flatMap(([workspace, {rate, burst}]) => {
			const times = runs.filter(({id}) => sent.get(id)?.workspace === workspace).map(({at}) => at);
			const {count, at} = maxCountWithin(times, bounds.rateWindow);
			const limit = (rate * bounds.rateWindow) / millisecondsPerSecond + burst;
			const maxRuns = limit * (1 + bounds.rateExcess) + bounds.rateSlack;
			return count > maxRuns ? [{detail: `${workspace}: ${count} of at most ${maxRuns}`, at}] : [];
		}),
	/** In any second, a cold target gets at most `coldRate` requests. */
	'cold target': (observations, bounds) =>
		changesOf(observations, 'target-cold').flatMap(({target, at: from, until}) => {
			const times = observations.runs
				.filter(run => run.target === target && run.at >= from && run.at < until)
				.map(({at}) => at);
			const {count, at} = maxCountWithin(times, millisecondsPerSecond);
			return count > bounds.coldRate ? [{detail: `${target}: ${count} in a second`, at}] : [];
		}),
	/**
	 * A target gets no requests later than `maxLeavingDelay` after it has announced that it leaves.
	 */
	'leaving target'(observations, bounds) {
		const leavingAt = new Map(
			changesOf(observations, 'target-leaving').map(({target, at}) => [target, at]),
		);
		return [...undisturbedRuns(observations, bounds)]
			.filter(({run}) => run.at > (leavingAt.get(run.target) ?? Infinity) + bounds.maxLeavingDelay)
			.map(({run: {id, target, at}}) => ({detail: `${id} reached ${target}`, at}));
	},
	/**
	 * Targets in a failure domain get no requests from `maxEvacuationDelay` after the domain was
	 * taken out of service until the domain is back.
	 */
	'domain out of service': (observations, bounds) =>
		changesOf(observations, 'domain-out').flatMap(({domain, at: from, until}) =>
			[...undisturbedRuns(observations, bounds)]
				.filter(({run}) => run.failureDomain === domain)
				.filter(({run}) => run.at > from + bounds.maxEvacuationDelay && run.at < until)
				.map(({run: {id, at}}) => ({detail: `${id} reached ${domain}`, at})),
		),
	/**
	 * A request that is sent later than `maxConfigurationDelay` after a move of its route runs at the
	 * service of this move or of a later one.
	 */
	'configuration in force'(observations, bounds) {
		const moves = changesOf(observations, 'route-moved');
		return [...undisturbedRuns(observations, bounds)].flatMap(({run, request}) => {
			const routeMoves = moves.filter(({route}) => route === request.route);
			const latestSettled = routeMoves.findLast(
				({at}) => request.at > at + bounds.maxConfigurationDelay,
			);
			const allowed = routeMoves.filter(
				({at}) => latestSettled === undefined || at >= latestSettled.at,
			);
			const isOutdated =
				latestSettled !== undefined && allowed.every(({service}) => service !== run.service);
			return isOutdated ? [{detail: `${run.id} ran at ${run.service}`, at: run.at}] : [];
		});
	},
	/**
	 * A process does not return to an older configuration later than `reversionTolerance` after a
	 * newer one took effect.
	 */
	'configuration never goes back'(observations, bounds) {
		const moves = changesOf(observations, 'route-moved');
		const newestByProcess = new Map<string, {version: number; at: number}>();
		const findings: Finding[] = [];
		const runs = [...observations.runs].sort((first, second) => first.at - second.at);
		for (const {id, service, at} of runs) {
			const request = observations.sent.get(id);
			if (request === undefined) {
				continue;
			}

			// Moves alternate between services. The newest move before the run that leads to this service
			// is taken as the version in effect.
			const version = moves.findLastIndex(
				move => move.route === request.route && move.service === service && move.at <= at,
			);
			const processKey = `${request.instance}/${request.incarnation}/${request.route}`;
			const newest = newestByProcess.get(processKey);
			if (newest !== undefined && version < newest.version) {
				if (request.at > newest.at + bounds.reversionTolerance) {
					findings.push({detail: `${id} ran at ${service}`, at});
				}
			} else if (newest === undefined || version > newest.version) {
				newestByProcess.set(processKey, {version, at});
			}
		}

		return findings;
	},
	/** A process that is stopped completes the requests that it has received. */
	'planned stop cuts nothing'(observations, bounds) {
		const runsByRequest = groupRunsByRequest(observations);
		return observations.stops.flatMap(stop =>
			observations.outcomes
				.filter(({id, status, isWritten}) => {
					const request = observations.sent.get(id);
					const isSameProcess =
						request?.instance === stop.instance && request.incarnation === stop.incarnation;
					return isSameProcess && status === undefined && isWritten;
				})
				.filter(({id, at}) => {
					const sentAt = observations.sent.get(id)!.at;
					const hasArrived = runsByRequest.has(id) || at - sentAt > bounds.transitTolerance;
					// A request sent in the second half of the stop timeout may be cut when the process ends.
					const isCovered = at > stop.at && sentAt < stop.at + bounds.stopTimeout / 2;
					const spanBeforeStop = {instance: stop.instance, from: sentAt, until: stop.at - 1};
					const isDisturbedAfterStop = observations.disturbances.some(
						({instance, from}) =>
							(instance === undefined || instance === stop.instance) &&
							from > stop.at &&
							from <= at,
					);
					const isUndisturbedUntilEnd =
						isUndisturbed(observations, bounds, spanBeforeStop) && !isDisturbedAfterStop;
					return hasArrived && isCovered && isUndisturbedUntilEnd;
				})
				.map(({id, at}) => ({detail: `${id} was cut`, at})),
		);
	},
};

export const promiseNames: readonly string[] = Object.keys(checks);

/** Returns all violations of all promises. */
export function checkPromises(observations: Observations, bounds: PromiseBounds): Violation[] {
	return Object.entries(checks).flatMap(([promise, check]) =>
		check(observations, bounds).map(finding => ({promise, ...finding})),
	);
}
