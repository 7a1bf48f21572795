/**
 * Chooses the target of one attempt. Each candidate gets an expected loss: the risk that the
 * request fails, the wait behind other requests, the cost of crossing to another failure domain,
 * and whether the target is cold or slow. The choice is random, with weights that fall with the
 * loss, because instances that all took the best target would overload it together.
 *
 * The estimate for a target changes only with requests to it, so a bad estimate that keeps requests
 * away would never be corrected, and the load would narrow to the targets with recent successes.
 * The estimated loss therefore shrinks slightly while a target gets no requests: a target without
 * data is tried within about a second, while one that failed waits until its estimate has decayed.
 * Below the floor of the service, the least suspected of the unused targets are tried regardless of
 * estimate and failure domain, because simultaneous failures of so many targets usually have an
 * external cause.
 */
import {drawWeighted, type Random} from '@shallotpond/kernel/random';
import {minTargetsInUse} from './service-coverage.js';
import {type KnownTarget} from './target-directory.js';
import {type TargetCondition} from './target-evidence.js';

export type ChoiceRequest = {
	readonly service: string;
	readonly candidates: readonly KnownTarget[];
	/** Ids of the targets that this request has already tried. */
	readonly excluded: readonly string[];
	readonly isIdempotent: boolean;
	/** Expected size of the response in bytes. */
	readonly responseBytes: number;
	/** Fraction of the targets that must stay in use, 0 to 1; 0 if requests are too few for it. */
	readonly floor: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

export type TargetChoiceOptions = {
	/** Failure domain of this instance. */
	readonly failureDomain: string;
	readonly conditionOf: (target: KnownTarget, now: number) => TargetCondition;
	/** Requests currently at the target, as far as this instance knows. */
	readonly inFlight: (target: KnownTarget, now: number) => number;
	/** Milliseconds since any instance sent the target a request. */
	readonly unusedFor: (target: KnownTarget, now: number) => number;
	/** Whether a connection to the target is probably open, which also shows that the path works. */
	readonly hasConnection: (target: KnownTarget, now: number) => boolean;
	/** Whether the failure domain of the target is in service, so that it may get requests. */
	readonly isInActiveDomain: (target: KnownTarget) => boolean;
	/** Fraction of the fleet's requests for the service that one cold target may get, 0 to 1. */
	readonly maxColdFraction: (service: string, now: number) => number;
	readonly random: Random;
};

export type TargetChoice = {
	/** Undefined if no candidate may get the request. Linear in the targets of the service. */
	choose(request: ChoiceRequest): KnownTarget | undefined;
};

/** Losses, relative to the value of one request. */
const losses = {
	/** A failed attempt of a request that can be repeated only costs time. */
	failure: {repeatable: 0.6, once: 1.5},
	/** Per megabyte that crosses to another failure domain. */
	crossDomainMegabyte: 3,
	/** Maximum loss for crossing; a failing target in the instance's own domain is worse. */
	maxCrossDomain: 0.25,
	cold: 0.15,
	/** Per multiple of the mean latency above the first. */
	slowness: 0.12,
	/** For a target that rejected all recent requests. */
	busy: 0.5,
	/** For a target with exactly all slots in use; targets slow down when they are nearly full. */
	occupied: 0.06,
	/** Per request that waits ahead, relative to the number of slots. */
	waiting: 0.3,
	/** For opening a connection. */
	connection: 0.015,
	/** For another failure domain, whose load this instance does not know. */
	otherDomain: 0.05,
	unreachable: 3,
} as const;
/** Headers of request and response on the wire. */
const headerBytes = 1200;
const bytesPerMegabyte = 1_000_000;
/** Temperature of the softmax: a loss higher by this much reduces the weight to 1/e. */
const temperature = 0.03;

/** How the estimated loss of a target shrinks while it gets no requests. */
const exploration = {
	/** Milliseconds without a request that are normal for a target of a service with few requests. */
	afterMs: 300,
	/** Reduction per millisecond after that. */
	rate: 0.075 / 1000,
	/** Maximum reduction: enough for a target without data to be tried, not for one that failed. */
	maxReduction: 0.1,
	/** Minimum that remains; below 0, an unused target is preferred to those in use. */
	minEstimate: -0.05,
} as const;

/**
 * Milliseconds without a request after which a target is tried to keep the floor. One that failed
 * waits longer: it counts as healthy again 2 s after its recovery, and must be in use within 2 s.
 */
const trialDelayMs = {trusted: 1200, suspected: 2500} as const;
/** Estimated loss above which a target counts as suspected; a target without data has 0.09. */
const suspectedLoss = 0.2;
/**
 * Loss of a suspected target that is tried to keep the floor. It is high enough to leave the trial
 * to chance, so that instances that cannot coordinate do not all try the target at once.
 */
const suspectedTrialLoss = 0.04;

type Candidate = {
	readonly target: KnownTarget;
	/** Milliseconds. */
	readonly unusedFor: number;
	/** Loss from the estimated state of the target, which only its further results can correct. */
	readonly estimatedLoss: number;
	/** Loss from crossing to the failure domain of the target. */
	readonly crossDomainLoss: number;
	/** Loss from the current load of the target and from the path to it. */
	readonly pathLoss: number;
};

export function createTargetChoice(options: TargetChoiceOptions): TargetChoice {
	const {failureDomain, conditionOf, inFlight, random} = options;

	function waitingLoss(target: KnownTarget, now: number): number {
		const load = (inFlight(target, now) + 1) / target.slots;
		return load <= 1 ? load * losses.occupied : losses.occupied + (load - 1) * losses.waiting;
	}

	function crossDomainLossOf(target: KnownTarget, responseBytes: number): number {
		if (target.definition.failureDomain === failureDomain) {
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
		request: ChoiceRequest,
	) {
		const failureLoss = request.isIdempotent ? losses.failure.repeatable : losses.failure.once;
		return (
			condition.failureRisk * failureLoss +
			Math.max(0, condition.slowness - 1) * losses.slowness +
			condition.busyness * losses.busy +
			(target.coldUntil > request.now ? losses.cold : 0)
		);
	}

	function createCandidate(target: KnownTarget, request: ChoiceRequest): Candidate {
		const {now} = request;
		const condition = conditionOf(target, now);
		return {
			target,
			unusedFor: options.unusedFor(target, now),
			estimatedLoss: estimatedLossOf(target, condition, request),
			crossDomainLoss: crossDomainLossOf(target, request.responseBytes),
			pathLoss:
				(condition.isUnreachable ? losses.unreachable : 0) +
				waitingLoss(target, now) +
				(options.hasConnection(target, now) ? 0 : losses.connection),
		};
	}

	/** Targets that must be tried to keep the floor. Sorts only while too few targets are in use. */
	function neededForFloor(candidates: readonly Candidate[], floor: number): Set<Candidate> {
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

	/** A target that is needed for the floor is tried regardless of estimate and failure domain. */
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

	/**
	 * Leaves cold targets out of most choices, so that the whole fleet stays below the rate that
	 * they can serve. If all targets are cold, a part of the requests gets no target.
	 */
	function eligibleTargets(
		available: readonly KnownTarget[],
		request: ChoiceRequest,
	): readonly KnownTarget[] {
		const {service, now} = request;
		const warm = available.filter(target => target.coldUntil <= now);
		if (warm.length === available.length) {
			return warm;
		}

		const coldFraction = options.maxColdFraction(service, now);
		if (warm.length === 0) {
			return random() < coldFraction * available.length ? available : [];
		}

		return available.filter(target => target.coldUntil <= now || random() < coldFraction);
	}

	return {
		choose(request) {
			const available = request.candidates.filter(
				target =>
					options.isInActiveDomain(target) && !request.excluded.includes(target.definition.id),
			);
			const targets = eligibleTargets(available, request);
			if (targets.length === 0) {
				return undefined;
			}

			const candidates = targets.map(target => createCandidate(target, request));
			const needed = neededForFloor(candidates, request.floor);
			const targetLosses = candidates.map(candidate => lossOf(candidate, needed.has(candidate)));
			const minLoss = Math.min(...targetLosses);
			const weights = targetLosses.map(loss => Math.exp((minLoss - loss) / temperature));
			return drawWeighted(targets, (_target, index) => weights[index]!, random) ?? targets.at(-1);
		},
	};
}
