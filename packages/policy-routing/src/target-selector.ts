/**
 * Selects the target of one attempt. Each candidate gets an expected loss: the risk that the
 * request fails, the wait behind other requests, the cost of crossing to another failure domain,
 * and penalties for a target that is slow, busy (it rejects requests), cold (it can serve only few
 * requests, as after a start), unreachable or without an open connection. The selection is random,
 * with weights that fall exponentially with the loss (softmax), because instances that all took the
 * best target would overload it together.
 *
 * While a target gets no requests, its estimated health returns only to the estimate for a target
 * without data, which is worse than the estimate for a target with recent successes. The load would
 * therefore narrow to the targets with recent successes. To prevent this, unused targets are
 * explored: the estimated loss of a target shrinks slightly while it gets no requests. A target
 * without data is tried within about a second, while one that failed waits until its estimate has
 * decayed.
 *
 * While fewer targets are in use than the floor of the service requires (a minimum fraction of its
 * targets), the unused targets with the lowest estimated loss are tried even if they failed or are
 * in another failure domain, because simultaneous failures of so many targets usually have an
 * external cause. Suspected targets, whose estimated loss is high, wait longer for this trial.
 */
import {drawWeighted, type Random} from '@shallotpond/kernel/random';
import {minTargetsInUse} from './targets-in-use.js';
import {type KnownTarget} from './target-directory.js';
import {type TargetCondition} from './target-evidence.js';

export type TargetSelectionRequest = {
	readonly service: string;
	readonly candidates: readonly KnownTarget[];
	/** Ids of the targets that this request has already tried. */
	readonly excluded: readonly string[];
	/** Whether another attempt may follow if this one fails. */
	readonly isRepeatable: boolean;
	/** Expected size of the response in bytes. */
	readonly responseBytes: number;
	/**
	 * Fraction of the targets that must stay in use, 0 to 1; 0 while the service gets too few
	 * requests to keep its targets in use.
	 */
	readonly floor: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

export type TargetSelectorOptions = {
	/** Failure domain of this instance. */
	readonly failureDomain: string;
	readonly conditionOf: (target: KnownTarget, now: number) => TargetCondition;
	/**
	 * Requests currently at the target: those of this instance and those that other instances of its
	 * failure domain reported.
	 */
	readonly inFlight: (target: KnownTarget, now: number) => number;
	/** Estimated mean number of requests that the whole fleet lately had at the target. */
	readonly fleetLoad: (target: KnownTarget, now: number) => number;
	/**
	 * Milliseconds since any instance sent the target a request or since the target was listed,
	 * whichever is later.
	 */
	readonly unusedFor: (target: KnownTarget, now: number) => number;
	/**
	 * Whether this instance probably has an idle open connection to the target, which also shows that
	 * the path works.
	 */
	readonly hasConnection: (target: KnownTarget, now: number) => boolean;
	/** Whether the failure domain of the target is in service, so that it may get requests. */
	readonly isInActiveDomain: (target: KnownTarget) => boolean;
	/** Whether this instance may send a request to the cold target now. */
	readonly mayUseCold: (target: KnownTarget, now: number) => boolean;
	readonly random: Random;
};

export type TargetSelector = {
	/** Undefined if no candidate may get the request. Linear in the targets of the service. */
	choose(request: TargetSelectionRequest): KnownTarget | undefined;
};

/** Losses, relative to the value of one request. */
const losses = {
	/** For a failed attempt; if another attempt may follow, the failure costs only time. */
	failure: {repeatable: 0.6, once: 1.5},
	/** Per megabyte that crosses to another failure domain. */
	crossDomainMegabyte: 3,
	/**
	 * Maximum loss for crossing to another failure domain, so that a target there is preferred to a
	 * failing target in the domain of this instance.
	 */
	maxCrossDomain: 0.25,
	cold: 0.15,
	/** For each multiple of the mean latency of the service beyond the first. */
	slowness: 0.12,
	/** For a target that rejected all recent requests; proportionally less if it rejected a part. */
	busy: 0.5,
	/**
	 * For a target whose slots are all in use, with this request counted; proportionally less if a
	 * part of them is in use. Targets slow down when they are nearly full.
	 */
	occupied: 0.06,
	/** Per request above the number of slots, divided by the number of slots. */
	waiting: 0.3,
	/**
	 * Per request that the whole fleet lately had at the target. The estimate is up to a second old,
	 * so with a higher loss the instances would all move between the same targets.
	 */
	fleetLoad: 0.004,
	/** For opening a connection. */
	connection: 0.015,
	/**
	 * For a target in another failure domain: the requests that the instances of that domain have at
	 * the target are not reported to this instance.
	 */
	otherDomain: 0.05,
	unreachable: 3,
} as const;
/**
 * Number of targets in the failure domain of this instance from which the targets of other domains
 * lose weight. With fewer, the failures of a few targets would leave too little room in the domain.
 */
const minLocalTargets = 6;
/** Bytes that the headers of request and response take on the wire. */
const headerBytes = 1200;
const bytesPerMegabyte = 1_000_000;
/** Temperature of the softmax: a loss higher by this much reduces the weight to 1/e. */
const temperature = 0.03;

/** How the estimated loss of a target shrinks while it gets no requests. */
const exploration = {
	/**
	 * Milliseconds without a request until the reduction begins. Shorter gaps are normal for a target
	 * of a service with few requests.
	 */
	afterMs: 300,
	/** Reduction of the estimated loss per further millisecond. */
	rate: 0.075 / 1000,
	/** Maximum reduction: enough for a target without data to be tried, not for one that failed. */
	maxReduction: 0.1,
	/**
	 * Minimum of the estimated loss. It is below 0, so that an unused target is preferred to those in
	 * use.
	 */
	minEstimate: -0.05,
} as const;

/**
 * Milliseconds without a request after which a target is tried to keep the floor, the fraction of
 * the targets that must be in use. A suspected target may wait longer, because the floor counts a
 * target only from 2 s after its recovery, and the target must then be in use within another 2 s.
 */
const trialDelayMs = {trusted: 1200, suspected: 2500} as const;
/**
 * Estimated loss above which a target counts as suspected; a warm target without data has at most
 * 0.092.
 */
const suspectedLoss = 0.2;
/**
 * Replaces the estimated loss of a suspected target that is tried to keep the floor. It is high
 * enough to leave the trial to chance, so that instances that cannot coordinate do not all try the
 * target at once.
 */
const suspectedTrialLoss = 0.04;

type Candidate = {
	readonly target: KnownTarget;
	/** Milliseconds. */
	readonly unusedFor: number;
	/**
	 * Loss from the estimated failure risk, slowness and busyness of the target, and from being cold.
	 */
	readonly estimatedLoss: number;
	/** Loss from crossing to the failure domain of the target. */
	readonly crossDomainLoss: number;
	/** Loss from the current load of the target and from the path to it. */
	readonly pathLoss: number;
};

export function createTargetSelector(options: TargetSelectorOptions): TargetSelector {
	const {failureDomain, conditionOf, inFlight, random} = options;

	function isLocal({definition}: KnownTarget): boolean {
		return definition.failureDomain === failureDomain;
	}

	/**
	 * Factor for the weight of each target in another failure domain. All of them together weigh as
	 * much as the targets of this domain; without it, the traffic between domains would grow with the
	 * number of domains.
	 */
	function remoteWeightOf(targets: readonly KnownTarget[]): number {
		const localCount = targets.filter(target => isLocal(target)).length;
		const remoteCount = targets.length - localCount;
		return localCount < minLocalTargets ? 1 : Math.min(1, localCount / remoteCount);
	}

	/**
	 * Mean load of the targets of each other failure domain. The requests that the instances of that
	 * domain have at a single target are not reported to this instance, which would take each target
	 * there for idle.
	 */
	function meanLoadsOf(targets: readonly KnownTarget[], now: number): Map<string, number> {
		const totals = new Map<string, {load: number; count: number}>();
		for (const target of targets.filter(candidate => !isLocal(candidate))) {
			const domain = target.definition.failureDomain;
			const {load, count} = totals.get(domain) ?? {load: 0, count: 0};
			totals.set(domain, {load: load + options.fleetLoad(target, now), count: count + 1});
		}

		return new Map([...totals].map(([domain, {load, count}]) => [domain, load / count]));
	}

	function waitingLossOf(target: KnownTarget, minLoad: number, now: number): number {
		const load = (Math.max(inFlight(target, now), minLoad) + 1) / target.slots;
		return load <= 1 ? load * losses.occupied : losses.occupied + (load - 1) * losses.waiting;
	}

	function crossDomainLossOf(target: KnownTarget, responseBytes: number): number {
		if (isLocal(target)) {
			return 0;
		}

		const megabytes = (responseBytes + headerBytes) / bytesPerMegabyte;
		return Math.min(
			losses.maxCrossDomain,
			megabytes * losses.crossDomainMegabyte + losses.otherDomain,
		);
	}

	function estimatedLossOf(
		target: KnownTarget,
		condition: TargetCondition,
		request: TargetSelectionRequest,
	) {
		const failureLoss = request.isRepeatable ? losses.failure.repeatable : losses.failure.once;
		return (
			condition.failureRisk * failureLoss +
			Math.max(0, condition.slowness - 1) * losses.slowness +
			condition.busyness * losses.busy +
			(target.coldUntil > request.now ? losses.cold : 0)
		);
	}

	function createCandidate(
		target: KnownTarget,
		request: TargetSelectionRequest,
		meanLoads: ReadonlyMap<string, number>,
	): Candidate {
		const {now} = request;
		const minLoad = meanLoads.get(target.definition.failureDomain) ?? 0;
		const condition = conditionOf(target, now);
		return {
			target,
			unusedFor: options.unusedFor(target, now),
			estimatedLoss: estimatedLossOf(target, condition, request),
			crossDomainLoss: crossDomainLossOf(target, request.responseBytes),
			pathLoss:
				(condition.isUnreachable ? losses.unreachable : 0) +
				waitingLossOf(target, minLoad, now) +
				options.fleetLoad(target, now) * losses.fleetLoad +
				(options.hasConnection(target, now) ? 0 : losses.connection),
		};
	}

	/**
	 * Returns the unused candidates to try so that the floor is kept: those with the lowest estimated
	 * loss, except suspected ones that have been unused for too short a time. Sorts only while too
	 * few targets are in use.
	 */
	function selectNeededForFloor(candidates: readonly Candidate[], floor: number): Set<Candidate> {
		const unused = candidates.filter(({unusedFor}) => unusedFor >= trialDelayMs.trusted);
		const missing = minTargetsInUse(floor, candidates.length) - (candidates.length - unused.length);
		if (missing <= 0) {
			return new Set();
		}

		const needed = unused.sort((a, b) => a.estimatedLoss - b.estimatedLoss).slice(0, missing);
		return new Set(
			needed.filter(
				({estimatedLoss: estimated, unusedFor}) =>
					estimated <= suspectedLoss || unusedFor >= trialDelayMs.suspected,
			),
		);
	}

	/**
	 * Returns the expected loss of a candidate. For a target that is needed for the floor, this is
	 * one of two constants, for suspected targets and for others, plus the loss from load and path.
	 * For any other target, it is the estimated loss, reduced while the target is unused, plus the
	 * losses from its failure domain, load and path.
	 */
	function lossOf(candidate: Candidate, isNeeded: boolean): number {
		const {unusedFor, estimatedLoss: estimated, pathLoss} = candidate;
		if (isNeeded) {
			return (estimated > suspectedLoss ? suspectedTrialLoss : exploration.minEstimate) + pathLoss;
		}

		const reduction = Math.min(
			exploration.maxReduction,
			Math.max(0, unusedFor - exploration.afterMs) * exploration.rate,
		);
		return (
			Math.max(exploration.minEstimate, estimated - reduction) +
			candidate.crossDomainLoss +
			pathLoss
		);
	}

	return {
		choose(request) {
			const {now} = request;
			const targets = request.candidates.filter(
				target =>
					options.isInActiveDomain(target) &&
					!request.excluded.includes(target.definition.id) &&
					(target.coldUntil <= now || options.mayUseCold(target, now)),
			);
			if (targets.length === 0) {
				return undefined;
			}

			const meanLoads = meanLoadsOf(targets, now);
			const candidates = targets.map(target => createCandidate(target, request, meanLoads));
			const needed = selectNeededForFloor(candidates, request.floor);
			const targetLosses = candidates.map(candidate => lossOf(candidate, needed.has(candidate)));
			const minLoss = Math.min(...targetLosses);
			const remoteWeight = remoteWeightOf(targets);
			const weights = targetLosses.map(
				(loss, index) =>
					Math.exp((minLoss - loss) / temperature) * (isLocal(targets[index]!) ? 1 : remoteWeight),
			);
			return drawWeighted(targets, (_target, index) => weights[index]!, random) ?? targets.at(-1);
		},
	};
}
