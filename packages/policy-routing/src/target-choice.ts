/**
 * Chooses the target of one attempt. Each candidate gets an expected loss: the risk that the request
 * fails, the wait behind other requests, the detour to another failure domain, a cold or slow
 * start. The choice is drawn with weights that fall with the loss, because instances that all took
 * the best target would overload it together.
 *
 * What is believed of a target changes only with requests to it, so a belief that keeps requests away
 * would keep itself up while the load narrows to the targets that proved themselves. The loss from
 * beliefs therefore shrinks a little while nobody asks the target: one without news is tried within
 * about a second, while one that failed waits until the belief has faded. Below the floor of the
 * service the least suspected of the unused targets are tried whatever is believed of them and
 * wherever they are, because failures of so many at once mostly have a cause outside of them.
 */
import {drawWeighted, type Random} from '@shallotpond/kernel/random';
import {floorCount} from './service-coverage.js';
import {type KnownTarget} from './target-directory.js';
import {type TargetCondition} from './target-evidence.js';

export type ChoiceRequest = {
	readonly service: string;
	readonly candidates: readonly KnownTarget[];
	/** Ids that this request has tried. */
	readonly excluded: readonly string[];
	readonly isIdempotent: boolean;
	/** Expected bytes of the answer. */
	readonly responseBytes: number;
	/** Part of the open targets that must stay in use, 0 to 1; 0 where requests are too few for it. */
	readonly floor: number;
	readonly now: number;
};

export type TargetChoiceOptions = {
	/** Failure domain of this instance. */
	readonly failureDomain: string;
	readonly conditionOf: (target: KnownTarget, now: number) => TargetCondition;
	/** Requests at the target now, as far as this instance knows. */
	readonly inFlight: (target: KnownTarget, now: number) => number;
	/** Milliseconds since any instance sent the target a request. */
	readonly unusedFor: (target: KnownTarget, now: number) => number;
	/** Whether a connection to the target is likely to be open, which also proves the path. */
	readonly hasConnection: (target: KnownTarget, now: number) => boolean;
	/** Whether the target may get work: its failure domain is in service. */
	readonly isInActiveDomain: (target: KnownTarget) => boolean;
	/** Part of the fleet's requests for the service that one cold target may get, 0 to 1. */
	readonly maxColdFraction: (service: string, now: number) => number;
	readonly random: Random;
};

export type TargetChoice = {
	/** Undefined where no candidate may get the request. Linear in the targets of the service. */
	choose(request: ChoiceRequest): KnownTarget | undefined;
};

/** Losses are in parts of the value of one request. */
const losses = {
	/** A failed attempt of a request that can be repeated costs its time only. */
	failure: {repeatable: 0.6, once: 1.5},
	/** For each megabyte that crosses to another failure domain. */
	crossDomainMegabyte: 3,
	/** Most that the detour counts for; a failing target in the own domain is worse. */
	mostCrossDomain: 0.25,
	cold: 0.15,
	/** For each multiple of the mean latency above the first. */
	slowness: 0.12,
	/** For a target that turned away all recent requests. */
	busy: 0.5,
	/** For a target whose slots are just taken; targets slow down when they are nearly full. */
	occupied: 0.06,
	/** For each request that waits ahead, relative to the slots. */
	waiting: 0.3,
	/** For opening a connection. */
	connection: 0.015,
	/** For another failure domain, whose load this instance does not know. */
	elsewhere: 0.05,
	unreachable: 3,
} as const;
/** Head of request and answer on the wire, bytes. */
const headBytes = 1200;
const bytesPerMegabyte = 1_000_000;
/** The loss by which the weight of a candidate falls to 1/e. */
const temperature = 0.03;

/** How the loss from beliefs shrinks at a target that gets no requests. */
const exploration = {
	/** Milliseconds without a request that are usual for a target of a service with few requests. */
	from: 300,
	/** Loss for each millisecond after that. */
	rate: 0.075 / 1000,
	/** Most by which it shrinks: enough for a target without news, not for one that failed. */
	most: 0.1,
	/** The least that is left; below 0 an unused target goes before those in use. */
	least: -0.05,
} as const;

/**
 * Milliseconds without a request after which a target is tried to keep the floor. One that failed
 * gets longer: it counts as sound again 2 s after it has recovered, and must be in use within 2 s.
 */
const trialAfter = {trusted: 1200, suspected: 2500} as const;
/** Loss from beliefs above which a target counts as suspected here; one without news has 0.09. */
const suspectedLoss = 0.2;
/** Loss at a suspected target that is tried: instances that cannot tell each other take turns by chance. */
const suspectedTrialLoss = 0.04;

type Candidate = {
	readonly target: KnownTarget;
	/** Milliseconds. */
	readonly unusedFor: number;
	/** Loss that only news of the target can change. */
	readonly believedLoss: number;
	/** Loss from the detour to its failure domain. */
	readonly detourLoss: number;
	/** Loss from what the target has to do now, and from the path to it. */
	readonly pathLoss: number;
};

export function createTargetChoice(options: TargetChoiceOptions): TargetChoice {
	const {failureDomain, conditionOf, inFlight, random} = options;

	function waitingLoss(target: KnownTarget, now: number): number {
		const load = (inFlight(target, now) + 1) / target.slots;
		return load <= 1 ? load * losses.occupied : losses.occupied + (load - 1) * losses.waiting;
	}

	function detourLoss(target: KnownTarget, answerBytes: number): number {
		if (target.definition.failureDomain === failureDomain) {
			return 0;
		}

		const megabytes = (answerBytes + headBytes) / bytesPerMegabyte;
		return Math.min(
			losses.mostCrossDomain,
			megabytes * losses.crossDomainMegabyte + losses.elsewhere,
		);
	}

	function believedLoss(target: KnownTarget, condition: TargetCondition, request: ChoiceRequest) {
		const failureLoss = request.isIdempotent ? losses.failure.repeatable : losses.failure.once;
		return (
			condition.failureRisk * failureLoss +
			Math.max(0, condition.slowness - 1) * losses.slowness +
			condition.busyness * losses.busy +
			(target.coldUntil > request.now ? losses.cold : 0)
		);
	}

	function examine(target: KnownTarget, request: ChoiceRequest): Candidate {
		const {now} = request;
		const condition = conditionOf(target, now);
		return {
			target,
			unusedFor: options.unusedFor(target, now),
			believedLoss: believedLoss(target, condition, request),
			detourLoss: detourLoss(target, request.responseBytes),
			pathLoss:
				(condition.isUnreachable ? losses.unreachable : 0) +
				waitingLoss(target, now) +
				(options.hasConnection(target, now) ? 0 : losses.connection),
		};
	}

	/** The targets that must be tried to keep the floor. Sorts only while the floor is not kept. */
	function neededForFloor(candidates: readonly Candidate[], floor: number): Set<Candidate> {
		const unused = candidates.filter(({unusedFor}) => unusedFor >= trialAfter.trusted);
		const missing = floorCount(floor, candidates.length) - (candidates.length - unused.length);
		if (missing <= 0) {
			return new Set();
		}

		const needed = unused.sort((a, b) => a.believedLoss - b.believedLoss).slice(0, missing);
		return new Set(
			needed.filter(
				({believedLoss: believed, unusedFor}) =>
					believed <= suspectedLoss || unusedFor >= trialAfter.suspected,
			),
		);
	}

	/** Neither beliefs nor detours count at a target that is needed for the floor. */
	function lossOf(candidate: Candidate, isNeeded: boolean): number {
		const {unusedFor, believedLoss: believed, pathLoss} = candidate;
		if (isNeeded) {
			return (believed > suspectedLoss ? suspectedTrialLoss : exploration.least) + pathLoss;
		}

		const shrinkage = Math.min(
			exploration.most,
			Math.max(0, unusedFor - exploration.from) * exploration.rate,
		);
		return Math.max(exploration.least, believed - shrinkage) + candidate.detourLoss + pathLoss;
	}

	/**
	 * Cold targets are left out of most choices, so that the whole fleet stays below what they bear.
	 * Where only cold ones are left, a part of the requests gets none.
	 */
	function admitted(open: readonly KnownTarget[], request: ChoiceRequest): readonly KnownTarget[] {
		const {service, now} = request;
		const warm = open.filter(target => target.coldUntil <= now);
		if (warm.length === open.length) {
			return warm;
		}

		const share = options.maxColdFraction(service, now);
		if (warm.length === 0) {
			return random() < share * open.length ? open : [];
		}

		return open.filter(target => target.coldUntil <= now || random() < share);
	}

	return {
		choose(request) {
			const open = request.candidates.filter(
				target =>
					options.isInActiveDomain(target) && !request.excluded.includes(target.definition.id),
			);
			const targets = admitted(open, request);
			if (targets.length === 0) {
				return undefined;
			}

			const candidates = targets.map(target => examine(target, request));
			const needed = neededForFloor(candidates, request.floor);
			const targetLosses = candidates.map(candidate => lossOf(candidate, needed.has(candidate)));
			const least = Math.min(...targetLosses);
			const weights = targetLosses.map(loss => Math.exp((least - loss) / temperature));
			return drawWeighted(targets, (_target, index) => weights[index]!, random) ?? targets.at(-1);
		},
	};
}
