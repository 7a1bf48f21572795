/**
 * A back end as the fleet sees it: slots, service times, cold starts and the ways in which it turns
 * sick. It counts every run where it happens, so the counts do not depend on any instance.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type Random} from '@shallotpond/kernel/random';
import {
	type DispatchService,
	type DispatchTarget,
} from '@shallotpond/policy-dispatch/dispatch-service';

export type TargetBehaviour = {
	/** Milliseconds, the median of a log-normal distribution. */
	readonly serviceTime: number;
	/** Standard deviation of the logarithm of the service time. */
	readonly deviation: number;
	/** Factor on the service time. */
	readonly slowFactor: number;
	/** Part of the requests that fail after their service time, 0 to 1. */
	readonly failRate: number;
	/** Part of the requests that are answered blank, 0 to 1. */
	readonly blankRate: number;
	/** Part of the requests that get no answer in time, 0 to 1; 0 by default. */
	readonly stallRate?: number;
	/** Milliseconds for which the target alternates between good and sick; 0 for never. */
	readonly flapPeriod: number;
};

export type TargetRequest = {
	/** Request id, unique per caller request; a repetition by the caller has the same id. */
	readonly id: string;
	readonly isPoisoned: boolean;
	/** Milliseconds after which the target gives the request up, as it was told. */
	readonly timeLeft: number;
	/** Milliseconds, the median instead of that of the behaviour. */
	readonly serviceTime?: number;
	/** Called once unless the run is cancelled. */
	readonly finish: (result: AttemptResult, generation: string) => void;
};

export type TargetCounts = {
	runs: number;
	peakInFlight: number;
	/** Starts that brought the requests in flight above the slots. */
	startsAboveSlots: number;
	/** Starts within the slots but above what the cold target bore at that time. */
	startsAboveColdSlots: number;
	/** Highest number of requests in flight above the slots. */
	peakExcess: number;
	peakConnections: number;
	connectionsAboveLimit: number;
};

export type FakeTarget = {
	readonly definition: DispatchTarget;
	readonly service: string;
	readonly counts: TargetCounts;
	readonly inFlight: number;
	readonly isDown: boolean;
	/** Requests that the target bears at once for now. */
	readonly capacity: number;
	/** Slow, failing or blank beyond ordinary noise, or down. */
	readonly isFaulty: boolean;
	/** True milliseconds of the last start. */
	readonly lastStartedAt: number;
	/** Starts a run from an instance and returns what cancels it; undefined while down. */
	start(request: TargetRequest, from: string, keepsConnection: boolean): (() => void) | undefined;
	changeBehaviour(behaviour: Partial<TargetBehaviour>): void;
	/** Loses its warmth without a new generation. */
	restartWarmUp(): void;
	/** Breaks all runs, stays down and comes back cold with a new generation. */
	crash(downFor: number): void;
	/** Breaks the runs and connections of an instance that has ended. */
	disconnectInstance(from: string): void;
	resetCounts(): void;
};

export type FakeTargetOptions = {
	readonly definition: DispatchTarget;
	readonly service: string;
	readonly settings: DispatchService;
	readonly behaviour: TargetBehaviour;
	readonly random: Random;
	/** True milliseconds. */
	readonly now: () => number;
	/** Runs the action after a delay in true milliseconds. */
	readonly schedule: (delay: number, action: () => void) => void;
	/** Told of each run that starts. */
	readonly onRun: (request: string) => void;
};

type Run = {
	readonly from: string;
	readonly keepsConnection: boolean;
	readonly finish: TargetRequest['finish'];
};

/** Slots of a cold target come back this much faster than the configured warm-up expects. */
const warmUpLead = 2;
/** Factor from which a target counts as slow beyond ordinary noise. */
const sickFactor = 2;
/** Rate of failures from which a target counts as sick. */
const sickRate = 0.15;
/** Milliseconds for which an instance keeps a connection open that it does not use. */
const connectionIdle = 10_000;

const {cos, exp, log, sqrt} = Math;

/** Log-normal with the given median. */
export function logNormal(median: number, deviation: number, random: Random): number {
	return median * exp(deviation * sqrt(-2 * log(1 - random())) * cos(2 * Math.PI * random()));
}

function emptyCounts(): TargetCounts {
	return {
		runs: 0,
		peakInFlight: 0,
		startsAboveSlots: 0,
		startsAboveColdSlots: 0,
		peakExcess: 0,
		peakConnections: 0,
		connectionsAboveLimit: 0,
	};
}

export function createFakeTarget(options: FakeTargetOptions): FakeTarget {
	const {settings, random, now, schedule} = options;
	const running = new Map<number, Run>();
	/** Times at which kept connections close, by instance, oldest first. */
	const kept = new Map<string, number[]>();
	const counts = emptyCounts();
	let {behaviour} = options;
	let bears = settings.slots;
	let goodAnswers = 0;
	let steppedAt = 0;
	let generation = 0;
	let isDown = false;
	let nextRun = 0;
	let lastStart = Number.NEGATIVE_INFINITY;

	const isInSickPhase = () =>
		behaviour.flapPeriod === 0 || Math.floor(now() / behaviour.flapPeriod) % 2 === 1;

	function startWarmUp(): void {
		bears = Math.min(settings.coldSlots, settings.slots);
		goodAnswers = 0;
		steppedAt = now();
	}

	function countGood(): void {
		goodAnswers++;
		const isStepDue =
			goodAnswers * warmUpLead >= settings.warmUpAnswers &&
			(now() - steppedAt) * warmUpLead >= settings.warmUpStep;
		if (bears < settings.slots && isStepDue) {
			bears++;
			goodAnswers = 0;
			steppedAt = now();
		}
	}

	/** Overload and cold caches slow the work down. */
	function drawServiceTime(serviceTime = behaviour.serviceTime): number {
		const {deviation, slowFactor, stallRate = 0} = behaviour;
		if (stallRate > 0 && isInSickPhase() && random() < stallRate) {
			return Number.POSITIVE_INFINITY;
		}

		const load = Math.max(1, running.size / bears);
		const coldness = 1 + (settings.slots - bears) / settings.slots;
		const sickness = isInSickPhase() ? slowFactor : 1;
		return logNormal(serviceTime, deviation, random) * load * coldness * sickness;
	}

	function drawResult(): AttemptResult {
		const {failRate, blankRate} = behaviour;
		const draw = random();
		if (!isInSickPhase() || draw >= failRate + blankRate) {
			return 'ok';
		}

		return draw < failRate ? 'error' : 'incomplete';
	}

	function countStart(): void {
		const excess = running.size - settings.slots;
		counts.runs++;
		counts.peakInFlight = Math.max(counts.peakInFlight, running.size);
		counts.peakExcess = Math.max(counts.peakExcess, excess);
		if (excess > 0) {
			counts.startsAboveSlots++;
		} else if (running.size > bears) {
			counts.startsAboveColdSlots++;
		}

		countConnections();
	}

	/** Linear in the instances that keep connections; a target in a test has few. */
	function countConnections(): void {
		let open = running.size;
		for (const [from, closings] of kept) {
			const later = closings.filter(at => at > now());
			open += later.length;
			if (later.length === 0) {
				kept.delete(from);
			} else {
				kept.set(from, later);
			}
		}

		counts.peakConnections = Math.max(counts.peakConnections, open);
		if (open > settings.connections) {
			counts.connectionsAboveLimit++;
		}
	}

	function end(id: number, result: AttemptResult): void {
		const run = running.get(id);
		if (run === undefined) {
			return;
		}

		running.delete(id);
		if (run.keepsConnection && (result === 'ok' || result === 'error')) {
			const closings = kept.get(run.from) ?? [];
			kept.set(run.from, [...closings, now() + connectionIdle]);
		}

		if (result === 'ok') {
			countGood();
		}

		run.finish(result, String(generation));
	}

	function crash(downFor: number): void {
		isDown = true;
		kept.clear();
		for (const id of running.keys()) {
			end(id, 'connection-broken');
		}

		schedule(downFor, () => {
			isDown = false;
			generation++;
			startWarmUp();
		});
	}

	return {
		definition: options.definition,
		service: options.service,
		counts,
		get inFlight() {
			return running.size;
		},
		get isDown() {
			return isDown;
		},
		get capacity() {
			return bears;
		},
		get isFaulty() {
			const {slowFactor, failRate, blankRate, stallRate = 0} = behaviour;
			const isFailing = failRate + blankRate + stallRate > sickRate;
			return isDown || slowFactor >= sickFactor || isFailing;
		},
		get lastStartedAt() {
			return lastStart;
		},
		start(request, from, keepsConnection) {
			if (isDown) {
				request.finish('connection-failed', String(generation));
				return undefined;
			}

			const id = nextRun++;
			kept.get(from)?.shift();
			running.set(id, {from, keepsConnection, finish: request.finish});
			lastStart = now();
			options.onRun(request.id);
			countStart();
			if (request.isPoisoned) {
				schedule(behaviour.serviceTime, () => {
					if (running.has(id)) {
						crash(2000);
					}
				});
			} else {
				const duration = drawServiceTime(request.serviceTime);
				const result: AttemptResult = duration > request.timeLeft ? 'timeout' : drawResult();
				schedule(Math.min(duration, request.timeLeft), () => {
					end(id, result);
				});
			}

			return () => {
				running.delete(id);
			};
		},
		changeBehaviour(changes) {
			behaviour = {...behaviour, ...changes};
		},
		restartWarmUp: startWarmUp,
		crash,
		disconnectInstance(from) {
			kept.delete(from);
			for (const [id, run] of running) {
				if (run.from === from) {
					running.delete(id);
				}
			}
		},
		resetCounts() {
			Object.assign(counts, emptyCounts());
		},
	};
}
