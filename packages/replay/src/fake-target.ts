/**
 * A simulated target: slots, service times, cold starts and faults. The target counts every run
 * itself, so the counts do not depend on what the instances know.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type Random} from '@shallotpond/kernel/random';
import {
	type DispatchSettings,
	type DispatchTarget,
} from '@shallotpond/policy-dispatch/dispatch-settings';

export type FakeTargetBehaviour = {
	/** Median of a log-normal distribution. Milliseconds. */
	readonly serviceTime: number;
	/** Standard deviation of the logarithm of the service time. */
	readonly deviation: number;
	/** Multiplies the service time; 1 without a fault. */
	readonly slowFactor: number;
	/** Fraction of the requests that fail after their service time, 0 to 1. */
	readonly failRate: number;
	/** Fraction of the requests that get an empty or incomplete response, 0 to 1. */
	readonly blankRate: number;
	/** Fraction of the requests that get no response in time, 0 to 1; 0 by default. */
	readonly stallRate?: number;
	/**
	 * Interval at which the faults alternate between absent and present. Milliseconds; 0 if they are
	 * always present.
	 */
	readonly flapPeriod: number;
};

export type TargetRequest = {
	/**
	 * Unique per arrival of a request at the fleet. All attempts that an instance makes for it have
	 * the same id.
	 */
	readonly id: string;
	/** Whether the request crashes the target for 2 s, after the median service time. */
	readonly isPoisoned: boolean;
	/** Milliseconds until the deadline, after which the target abandons the request. */
	readonly timeLeft: number;
	/** Median service time in milliseconds; by default that of the behaviour. */
	readonly serviceTime?: number;
	/** Called once, unless the run is cancelled or its instance is disconnected. */
	readonly onResult: (result: AttemptResult, generation: string) => void;
};

export type TargetCounts = {
	runs: number;
	peakInFlight: number;
	/** Starts that brought the requests in flight above the slots. */
	startsAboveSlots: number;
	/** Starts within the slots but above those that the cold target could use at that time. */
	startsAboveColdSlots: number;
	/** Maximum number of requests in flight above the slots. */
	peakExcess: number;
	peakConnections: number;
	/** Starts at which the open connections exceeded the limit. */
	connectionsAboveLimit: number;
};

export type FakeTarget = {
	readonly definition: DispatchTarget;
	readonly service: string;
	readonly counts: TargetCounts;
	readonly inFlight: number;
	readonly isDown: boolean;
	/** Number of slots that the target can use at present, fewer while it is cold. */
	readonly capacity: number;
	/**
	 * Whether the target is down, has a `slowFactor` of at least 2, or gives no complete successful
	 * response to more than 15% of its requests. A flapping target is faulty in its phases without
	 * faults too.
	 */
	readonly isFaulty: boolean;
	/**
	 * Time at which the last run started, in milliseconds of true time; negative infinity before the
	 * first run.
	 */
	readonly lastStartedAt: number;
	/**
	 * Starts a run for the instance with the id `from` and returns a function that cancels the run.
	 * While the target is down, returns undefined and reports a failed connection.
	 */
	start(
		request: TargetRequest,
		from: string,
		shouldKeepConnection: boolean,
	): (() => void) | undefined;
	changeBehaviour(behaviour: Partial<FakeTargetBehaviour>): void;
	/** Makes the target cold without a new generation. */
	restartWarmUp(): void;
	/** Breaks all runs; restarts after `downFor` milliseconds, cold and with a new generation. */
	crash(downFor: number): void;
	/** Ends the runs and connections of an instance that has ended, without reporting results. */
	disconnectInstance(from: string): void;
	resetCounts(): void;
};

export type FakeTargetOptions = {
	readonly definition: DispatchTarget;
	readonly service: string;
	readonly settings: DispatchSettings;
	readonly behaviour: FakeTargetBehaviour;
	readonly random: Random;
	/** Milliseconds of true time. */
	readonly now: () => number;
	/** Runs the action after a delay in milliseconds of true time. */
	readonly schedule: (delay: number, action: () => void) => void;
	/** Called for each run that starts. */
	readonly onRun: (request: string) => void;
};

type Run = {
	readonly from: string;
	readonly shouldKeepConnection: boolean;
	readonly onResult: TargetRequest['onResult'];
};

/** Factor by which a cold target gains slots faster than the configured warm-up assumes. */
const warmUpSpeedFactor = 2;
/** Minimum `slowFactor` of a target that counts as faulty. */
const faultySlowFactor = 2;
/**
 * Fraction of the requests without a complete successful response above which a target counts as
 * faulty.
 */
const maxHealthyFailureRate = 0.15;
/** Time for which an instance keeps an unused connection open. */
const idleConnectionTimeoutMs = 10_000;

const {cos, exp, log, sqrt} = Math;

/** Draws from a log-normal distribution with the given median. */
export function drawLogNormal(median: number, deviation: number, random: Random): number {
	return median * exp(deviation * sqrt(-2 * log(1 - random())) * cos(2 * Math.PI * random()));
}

function createCounts(): TargetCounts {
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
	const activeRuns = new Map<number, Run>();
	/** Times at which idle connections close, by instance, earliest first. */
	const idleConnections = new Map<string, number[]>();
	const counts = createCounts();
	let {behaviour} = options;
	let usableSlots = settings.slots;
	let okResponses = 0;
	let lastWarmUpStepAt = 0;
	let generation = 0;
	let isDown = false;
	let nextRunId = 0;
	let lastStart = Number.NEGATIVE_INFINITY;

	const isInFaultyPhase = () =>
		behaviour.flapPeriod === 0 || Math.floor(now() / behaviour.flapPeriod) % 2 === 1;

	function startWarmUp(): void {
		usableSlots = Math.min(settings.coldSlots, settings.slots);
		okResponses = 0;
		lastWarmUpStepAt = now();
	}

	function advanceWarmUp(): void {
		okResponses++;
		const isStepDue =
			okResponses * warmUpSpeedFactor >= settings.warmUpAnswers &&
			(now() - lastWarmUpStepAt) * warmUpSpeedFactor >= settings.warmUpStep;
		if (usableSlots < settings.slots && isStepDue) {
			usableSlots++;
			okResponses = 0;
			lastWarmUpStepAt = now();
		}
	}

	/**
	 * Draws a service time in milliseconds, which is infinite for a request that stalls. Overload, a
	 * cold cache and a slow fault increase the time.
	 */
	function drawServiceTime(serviceTime = behaviour.serviceTime): number {
		const {deviation, slowFactor, stallRate = 0} = behaviour;
		if (stallRate > 0 && isInFaultyPhase() && random() < stallRate) {
			return Number.POSITIVE_INFINITY;
		}

		const loadFactor = Math.max(1, activeRuns.size / usableSlots);
		const coldFactor = 1 + (settings.slots - usableSlots) / settings.slots;
		const faultFactor = isInFaultyPhase() ? slowFactor : 1;
		return drawLogNormal(serviceTime, deviation, random) * loadFactor * coldFactor * faultFactor;
	}

	function drawResult(): AttemptResult {
		const {failRate, blankRate} = behaviour;
		const draw = random();
		if (!isInFaultyPhase() || draw >= failRate + blankRate) {
			return 'ok';
		}

		return draw < failRate ? 'error' : 'incomplete';
	}

	function countStart(): void {
		const excess = activeRuns.size - settings.slots;
		counts.runs++;
		counts.peakInFlight = Math.max(counts.peakInFlight, activeRuns.size);
		counts.peakExcess = Math.max(counts.peakExcess, excess);
		if (excess > 0) {
			counts.startsAboveSlots++;
		} else if (activeRuns.size > usableSlots) {
			counts.startsAboveColdSlots++;
		}

		countConnections();
	}

	/** Linear in the instances with idle connections, which are few per target. */
	function countConnections(): void {
		let openConnections = activeRuns.size;
		for (const [from, closingTimes] of idleConnections) {
			const futureClosingTimes = closingTimes.filter(at => at > now());
			openConnections += futureClosingTimes.length;
			if (futureClosingTimes.length === 0) {
				idleConnections.delete(from);
			} else {
				idleConnections.set(from, futureClosingTimes);
			}
		}

		counts.peakConnections = Math.max(counts.peakConnections, openConnections);
		if (openConnections > settings.connections) {
			counts.connectionsAboveLimit++;
		}
	}

	function endRun(id: number, result: AttemptResult): void {
		const run = activeRuns.get(id);
		if (run === undefined) {
			return;
		}

		activeRuns.delete(id);
		if (run.shouldKeepConnection && (result === 'ok' || result === 'error')) {
			const closingTimes = idleConnections.get(run.from) ?? [];
			idleConnections.set(run.from, [...closingTimes, now() + idleConnectionTimeoutMs]);
		}

		if (result === 'ok') {
			advanceWarmUp();
		}

		run.onResult(result, String(generation));
	}

	function crash(downFor: number): void {
		isDown = true;
		idleConnections.clear();
		for (const id of activeRuns.keys()) {
			endRun(id, 'connection-broken');
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
			return activeRuns.size;
		},
		get isDown() {
			return isDown;
		},
		get capacity() {
			return usableSlots;
		},
		get isFaulty() {
			const {slowFactor, failRate, blankRate, stallRate = 0} = behaviour;
			const isFailing = failRate + blankRate + stallRate > maxHealthyFailureRate;
			return isDown || slowFactor >= faultySlowFactor || isFailing;
		},
		get lastStartedAt() {
			return lastStart;
		},
		start(request, from, shouldKeepConnection) {
			if (isDown) {
				request.onResult('connection-failed', String(generation));
				return undefined;
			}

			const id = nextRunId++;
			idleConnections.get(from)?.shift();
			activeRuns.set(id, {from, shouldKeepConnection, onResult: request.onResult});
			lastStart = now();
			options.onRun(request.id);
			countStart();
			if (request.isPoisoned) {
				schedule(behaviour.serviceTime, () => {
					if (activeRuns.has(id)) {
						crash(2000);
					}
				});
			} else {
				const duration = drawServiceTime(request.serviceTime);
				const result: AttemptResult = duration > request.timeLeft ? 'timeout' : drawResult();
				schedule(Math.min(duration, request.timeLeft), () => {
					endRun(id, result);
				});
			}

			return () => {
				activeRuns.delete(id);
			};
		},
		changeBehaviour(changes) {
			behaviour = {...behaviour, ...changes};
		},
		restartWarmUp: startWarmUp,
		crash,
		disconnectInstance(from) {
			idleConnections.delete(from);
			for (const [id, run] of activeRuns) {
				if (run.from === from) {
					activeRuns.delete(id);
				}
			}
		},
		resetCounts() {
			Object.assign(counts, createCounts());
		},
	};
}
