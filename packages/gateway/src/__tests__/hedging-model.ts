/**
 * Simulates a fleet that hedges late requests to one service, with a simulated clock. The selection
 * of targets, the hedging and the retry budget are the real ones; callers, targets with slots and
 * queues, and the reports between instances are modelled.
 */
import {documentSchema} from '@shallotpond/configuration/document-schema';
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {noopEventLog} from '@shallotpond/observability/event-log';
import {type SlotGrant, type SlotRequest} from '@shallotpond/io-http/request-policy';
import {createLocalRetryBudget} from '@shallotpond/policy-routing/local-retry-budget';
import {createTargetDirectory} from '@shallotpond/policy-routing/target-directory';
import {createTargetEvidence} from '@shallotpond/policy-routing/target-evidence';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {createHedgingService} from '../hedging-service.js';
import {createRoutingService} from '../routing-service.js';
import {createFixedConfiguration} from './fixed-configuration.js';

export type HedgingModelOptions = {
	/** Hedges per request; 0 turns hedging off. */
	readonly ratio: number;
	readonly seed: number;
	/** Simulated milliseconds. */
	readonly duration: number;
	/** Factor of the usual service time of a target, by its index. */
	readonly slowdown?: (target: number, now: number) => number;
	/** Fraction of the requests that a target fails, by its index. */
	readonly failureRatio?: (target: number, now: number) => number;
	/** Whether reports between two instances are lost. */
	readonly isCut?: (from: number, to: number, now: number) => boolean;
	/** When an instance is killed; another process takes its place after a second. */
	readonly killedAt?: (instance: number) => number | undefined;
};

export type HedgingModelResult = {
	/** Simulated milliseconds at which requests, hedges and retries were sent. */
	readonly requests: readonly number[];
	readonly hedges: readonly number[];
	readonly retries: readonly number[];
	/** Latency of each request that was served, with the time of its start. */
	readonly served: ReadonlyArray<{readonly at: number; readonly latency: number}>;
	/** Results of hedges and reasons of refusals, with their numbers. */
	readonly counts: ReadonlyMap<string, number>;
};

export const instanceCount = 12;
export const targetCount = 20;
export const budget = {ratio: 0.2, reserve: 48, window: 10_000} as const;
/** Requests per second of the whole fleet. */
const rate = 40;
const slots = 4;
const serviceTime = 300;
const timeout = 4000;
const maxAttempts = 3;
const step = 10;
const reportInterval = 100;
const downtime = 1000;
const service = 'rates';
const noBudgetHistory = Number.NEGATIVE_INFINITY;
const document = documentSchema.parse({
	version: 1,
	fleet: {maxInstances: 48},
	failureDomains: {north: {}},
	services: {[service]: {targets: [], slots, coldRate: 10, coldTime: 3000}},
	routes: [{id: service, pathPrefix: '/', service, open: true, latencyObjective: 1200}],
	workspaces: {},
});

type Job = {
	readonly duration: number;
	readonly end: () => void;
	cancelTimer?: () => void;
};

/** Runs the simulation; the result is deterministic for a seed. */
export function simulateHedging(options: HedgingModelOptions): HedgingModelResult {
	const {slowdown = () => 1, failureRatio = () => 0, isCut = () => false} = options;
	const clock = createManualClock({start: 0});
	const random = createSeededRandom(options.seed);
	const requests: number[] = [];
	const hedges: number[] = [];
	const retries: number[] = [];
	const served: Array<{at: number; latency: number}> = [];
	const counts = new Map<string, number>();
	const targets = Array.from({length: targetCount}, () => ({
		running: new Set<Job>(),
		waiting: [] as Job[],
	}));

	function createInstance(startedAt: number) {
		const directory = createTargetDirectory();
		const retryBudget = createLocalRetryBudget({
			...budget,
			ratio: budget.ratio * 0.9,
			fleetSize: () => instanceCount,
			startedAt,
		});
		const routing = createRoutingService({
			clock,
			random,
			log: noopEventLog,
			failureDomain: 'north',
			configuration: createFixedConfiguration(document),
			directory,
			evidence: createTargetEvidence(),
			coldBound: {excess: 1.5, slack: 5},
			fleetSize: () => instanceCount,
			fleetPosition: () => 0,
			onFailure: () => undefined,
			onLoadChange: () => undefined,
			onLatency(request, latency, end) {
				hedging?.recordLatency(request, latency, end);
			},
		});
		const metrics = {
			count(_name: string, _amount = 1, {result = ''} = {}) {
				counts.set(result, (counts.get(result) ?? 0) + 1);
			},
		};
		const hedging =
			options.ratio === 0
				? undefined
				: createHedgingService({
						clock,
						metrics,
						routing,
						retryBudget,
						ratio: options.ratio,
						hasPredecessor: startedAt !== noBudgetHistory,
					});
		for (let index = 0; index < targetCount; index++) {
			const target = {
				id: String(index),
				startTime: 1,
				service,
				address: `10.0.0.${index}:80`,
				failureDomain: 'north',
				slots,
				state: 'ready',
				coldFor: 0,
			} as const;
			directory.addOrUpdate(target, clock.monotonic());
		}

		return {routing, retryBudget, hedging, isAlive: true};
	}

	const instances = Array.from({length: instanceCount}, () => createInstance(noBudgetHistory));

	/** Starts the jobs for which the target has a free slot. */
	function fill({running, waiting}: (typeof targets)[number]): void {
		while (running.size < slots && waiting.length > 0) {
			const job = waiting.shift()!;
			running.add(job);
			job.cancelTimer = clock.after(job.duration, job.end);
		}
	}

	/** Sends an attempt; the returned function cancels it. */
	function send(
		{target, release}: SlotGrant,
		onEnd: (result: AttemptResult, latency: number) => void,
	): () => void {
		const sentAt = clock.monotonic();
		const index = Number(target.id);
		const {running, waiting} = targets[index]!;

		function leave(result: AttemptResult, hasLostRace = false): number {
			job.cancelTimer?.();
			running.delete(job);
			if (waiting.includes(job)) {
				waiting.splice(waiting.indexOf(job), 1);
			}

			fill(targets[index]!);
			const latency = clock.monotonic() - sentAt;
			release({result, latency, slotTime: latency, hasLostRace});
			return latency;
		}

		const job: Job = {
			duration: serviceTime * (0.7 + 0.6 * random()) * slowdown(index, sentAt),
			end() {
				const result = random() < failureRatio(index, sentAt) ? 'error' : 'ok';
				onEnd(result, leave(result));
			},
		};
		waiting.push(job);
		fill(targets[index]!);
		return () => {
			leave('cancelled', true);
		};
	}

	function serve(instance: ReturnType<typeof createInstance>): void {
		const {routing, retryBudget, hedging} = instance;
		const at = clock.monotonic();
		const cancels = new Map<SlotGrant, () => void>();
		const tried: string[] = [];
		let attempts = 0;
		let isOver = false;
		let hedge: SlotGrant | undefined;
		const request: SlotRequest = {
			service,
			route: document.routes[0]!,
			workspace: 'w',
			deadline: at + timeout,
			signal: new AbortController().signal,
			isIdempotent: true,
			excludedTargets: tried,
			avoidedFailureDomains: [],
		};

		function start(grant: SlotGrant): void {
			attempts++;
			tried.push(grant.target.id);
			const cancel = send(grant, result => {
				cancels.delete(grant);
				if (result === 'ok') {
					isOver = true;
					if (hedge !== undefined) {
						hedging!.recordEnd(service, grant === hedge ? 'won' : 'cancelled');
					}

					served.push({at, latency: clock.monotonic() - at});
					for (const cancelOther of cancels.values()) {
						cancelOther();
					}
				} else if (
					instance.isAlive &&
					cancels.size === 0 &&
					attempts < maxAttempts &&
					retryBudget.take(service, clock.monotonic())
				) {
					retries.push(clock.monotonic());
					startNext();
				}
			});
			cancels.set(grant, cancel);
		}

		function startNext(): void {
			const grant = routing.acquire(request);
			if (grant.kind === 'granted') {
				start(grant);
			}
		}

		requests.push(at);
		retryBudget.countRequest(service, at);
		hedging?.countRequest(service);
		const delay = hedging?.delay(request);
		startNext();
		if (delay !== undefined) {
			clock.after(delay, () => {
				const mayHedge = instance.isAlive && !isOver && cancels.size === 1;
				const grant = mayHedge ? hedging!.acquire(request) : undefined;
				if (grant?.kind === 'granted') {
					hedge = grant;
					hedges.push(clock.monotonic());
					start(grant);
				}
			});
		}
	}

	function exchangeReports(now: number): void {
		const reports = instances.map(({routing}) => routing.takeTargetReports());
		const loads = instances.map(({routing}) => routing.inFlight());
		for (const [to, {routing}] of instances.entries()) {
			for (let from = 0; from < instanceCount; from++) {
				if (from !== to && !isCut(from, to, now)) {
					const member = {address: String(from), failureDomain: 'north', startedAt: 0};
					routing.merge(reports[from]!, member, now);
					routing.recordLoad(member, loads[from]!, now);
				}
			}
		}
	}

	while (clock.monotonic() < options.duration) {
		const now = clock.monotonic();
		for (let index = 0; index < instanceCount; index++) {
			const killedAt = options.killedAt?.(index) ?? Number.POSITIVE_INFINITY;
			if (now === killedAt) {
				instances[index]!.isAlive = false;
			} else if (now === killedAt + downtime) {
				instances[index] = createInstance(now);
			}

			const isDown = now >= killedAt && now < killedAt + downtime;
			if (!isDown && random() < (rate * step) / 1000 / instanceCount) {
				serve(instances[index]!);
			}
		}

		if (now % reportInterval === 0) {
			exchangeReports(now);
		}

		clock.advance(step);
	}

	return {requests, hedges, retries, served, counts};
}
