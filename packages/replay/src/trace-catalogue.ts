/**
 * Builds the traces for the two organisations, with the outcomes that the design of the fleet
 * requires of each trace. The bounds are those of sections 2 and 3 of the design page. Outcomes
 * that the design only requires to be counted are `counted`.
 */
import {createSeededRandom} from '@shallotpond/kernel/random';
import {type Organisation} from './simulated-fleet.js';
import {fjordvik, inkworks} from './organisations.js';
import {type ExpectedOutcome} from './outcomes.js';
import {maxStreamRate, type TraceEventInput, type TraceHeaderInput} from './trace-format.js';

export type CatalogueTrace = {
	readonly name: string;
	readonly header: TraceHeaderInput;
	/** In order of time. */
	readonly events: readonly TraceEventInput[];
	readonly outcomes: readonly ExpectedOutcome[];
};

export type CatalogueOptions = {
	/** Number of instances at the start, and value of `maxInstances`; 48 by default. */
	readonly instances?: number;
};

type OrganisationName = TraceHeaderInput['organisation'];

/** Names and values that differ between the organisations. All else in their traces is the same. */
type Profile = {
	readonly name: OrganisationName;
	readonly organisation: Organisation;
	/** Service for lookups. */
	readonly lookups: string;
	/** Milliseconds after which callers give up a lookup. */
	readonly lookupTimeout: number;
	/** Service whose requests must run at most once. */
	readonly orders: string;
	/** Service for downloads. */
	readonly downloads: string;
	/** Size of the response to a download, bytes. */
	readonly downloadSize: number;
	/**
	 * Service for renderings; in `renderingTrace`, one of its targets has a fault and returns empty
	 * responses.
	 */
	readonly renderings: string;
	/** Names of the traces in which a fault or a repeated request concerns one of these services. */
	readonly orderTrace: string;
	readonly lookupTrace: string;
	readonly downloadTrace: string;
	readonly renderingTrace: string;
};

const profiles: readonly Profile[] = [
	{
		name: 'fjordvik',
		organisation: fjordvik,
		lookups: 'roster',
		lookupTimeout: 300,
		orders: 'swaps',
		downloads: 'handbook',
		downloadSize: 5_000_000,
		renderings: 'coverage',
		orderTrace: 'double-swap',
		lookupTrace: 'stalled-roster-lookup',
		downloadTrace: 'dropped-handbook-download',
		renderingTrace: 'blank-coverage',
	},
	{
		name: 'inkworks',
		organisation: inkworks,
		lookups: 'prices',
		lookupTimeout: 150,
		orders: 'orders',
		downloads: 'fontpacks',
		downloadSize: 2_000_000,
		renderings: 'proofs',
		orderTrace: 'resent-print-order',
		lookupTrace: 'stalled-price-lookup',
		downloadTrace: 'dropped-font-pack-download',
		renderingTrace: 'blank-proofs',
	},
];

const defaultInstanceCount = 48;
/** One second in milliseconds. */
const second = 1000;
/** Time for which a new owner refuses idempotency keys that it does not know, plus a margin. */
const idempotencyWarmUpMs = 130 * second;
/**
 * Maximum time that the design allows until a change of keys, failure domains or configuration
 * applies everywhere.
 */
const maxPropagationMs = 3 * second;
/** Maximum time that the design allows until a faulty target that gets 20 requests/s is ejected. */
const maxDetectionMs = 3 * second;
/**
 * Minimum ratio of served requests. The design states it for the worst-served workspace. The traces
 * also require it while a failure domain leaves and returns, relative to the steady state before,
 * because the design states no bound for this case.
 */
const minServedRatio = 0.95;

/** Outcomes that are required of every trace. */
const invariants: readonly ExpectedOutcome[] = [
	{name: 'duplicate-runs = 0', kind: 'duplicate-runs', equals: 0},
	{name: 'not-run-but-ran = 0', kind: 'not-run-but-ran', equals: 0},
	{name: 'in-flight-above-slots = 0', kind: 'in-flight-above-slots', equals: 0},
	{name: 'connections-above-limit = 0', kind: 'connections-above-limit', equals: 0},
	{name: 'admitted-above-rate = 0', kind: 'admitted-above-rate', equals: 0},
	{name: 'healthy capacity never below floor', kind: 'floor-violations', equals: 0},
	{name: 'no version reverts', kind: 'version-reversions', equals: 0},
	{name: 'extra load <= 0.1', kind: 'extra-load', atMost: 0.1},
	{name: 'every request is answered', kind: 'unanswered', equals: 0},
];

const noColdSlotExcess: ExpectedOutcome = {
	name: 'in-flight-above-cold-slots = 0',
	kind: 'in-flight-above-cold-slots',
	equals: 0,
};
const noFalseEjections: ExpectedOutcome = {
	name: 'no false ejections',
	kind: 'false-ejections',
	equals: 0,
};
const noEjections: ExpectedOutcome = {name: 'no ejections', kind: 'ejections', equals: 0};
const refusedCounted: ExpectedOutcome = {
	name: 'refused-within-rate',
	kind: 'refused-within-rate',
	counted: true,
};
/** Required of traces in which nothing fails; a planned stop of an instance is not a failure. */
const refusedRarely: ExpectedOutcome = {
	name: 'refused-within-rate <= 1 in 1,000',
	kind: 'refused-within-rate-part',
	atMost: 0.001,
};
const servedCounted: ExpectedOutcome = {
	name: 'served part of the whole trace',
	kind: 'served-part',
	from: 0,
	until: 86_400_000,
	counted: true,
};

type LoadOptions = {
	/** Ratio of the load of each workspace to its rate. */
	readonly rateRatio: number;
	/** Milliseconds. */
	readonly duration: number;
	/** Fraction of the requests for each service; proportional to its capacity by default. */
	readonly serviceRatios?: Readonly<Record<string, number>>;
	/** Whether requests that must run at most once have idempotency keys. */
	readonly hasIdempotencyKeys?: boolean;
	readonly excludedWorkspaces?: readonly string[];
};

/** Capacity of each service, as a fraction of the capacity of all services. */
function capacityRatiosOf({organisation}: Profile): Record<string, number> {
	const capacities = Object.entries(organisation.document.services).map(
		([name, {targets, slots}]) =>
			[name, (targets.length * slots) / organisation.behaviour[name]!.serviceTime] as const,
	);
	const total = capacities.reduce((sum, [, capacity]) => sum + capacity, 0);
	return Object.fromEntries(capacities.map(([name, capacity]) => [name, capacity / total]));
}

/**
 * Fraction of the requests for each service: `serviceRatio` for one, and the rest divided among the
 * other services in proportion to their capacity.
 */
function serviceRatiosWith(
	profile: Profile,
	service: string,
	serviceRatio: number,
): Record<string, number> {
	const ratios = capacityRatiosOf(profile);
	const rest = 1 - ratios[service]!;
	return Object.fromEntries(
		Object.entries(ratios).map(([name, ratio]) => [
			name,
			name === service ? serviceRatio : (ratio / rest) * (1 - serviceRatio),
		]),
	);
}

/** One stream per workspace and service. */
function createStreams(profile: Profile, options: LoadOptions): TraceEventInput[] {
	const {workspaces} = profile.organisation.document;
	const ratios = options.serviceRatios ?? capacityRatiosOf(profile);
	const events: TraceEventInput[] = [];
	for (const [workspace, {rate}] of Object.entries(workspaces)) {
		for (const [service, ratio] of Object.entries(ratios)) {
			if (options.excludedWorkspaces?.includes(workspace)) {
				continue;
			}

			const isOrder = service === profile.orders;
			events.push({
				kind: 'stream',
				at: 0,
				workspace,
				service,
				method: isOrder ? 'POST' : 'GET',
				idempotent: !isOrder,
				rate: Math.round(rate * ratio * options.rateRatio * 1000) / 1000,
				duration: options.duration,
				seed: events.length + 1,
				...(service === profile.downloads && {size: profile.downloadSize}),
				...(service === profile.lookups && {timeout: profile.lookupTimeout}),
				...(isOrder && options.hasIdempotencyKeys && {hasIdempotencyKeys: true}),
			});
		}
	}

	return events;
}

type TraceContent = {
	/** Milliseconds. */
	readonly duration: number;
	/** Milliseconds; 10,000 by default, which the trace format sets. */
	readonly warmUp?: number;
	readonly events: readonly TraceEventInput[];
	readonly outcomes: readonly ExpectedOutcome[];
};

/** Builds a trace of one organisation for a number of instances. */
type TraceBuilder = (profile: Profile, instances: number) => TraceContent;

function sortByTime(events: readonly TraceEventInput[]): TraceEventInput[] {
	return [...events].sort((left, right) => left.at - right.at);
}

function pickInstances(count: number, instances: number, seed: number): number[] {
	const random = createSeededRandom(seed);
	const picked = new Set<number>();
	while (picked.size < Math.min(count, instances)) {
		picked.add(Math.floor(random() * instances));
	}

	return [...picked];
}

/**
 * Each order arrives three times at random instances, with delays between zero and several seconds.
 */
function createResentOrders(profile: Profile, instances: number, from: number): TraceEventInput[] {
	const random = createSeededRandom(7);
	const workspaces = Object.keys(profile.organisation.document.workspaces);
	const delays = [0, 5, 50, 300, 1500, 4000];
	const events: TraceEventInput[] = [];
	for (let order = 0; order < 40; order++) {
		const workspace = workspaces[order % workspaces.length]!;
		for (const delay of [
			0,
			delays[order % delays.length]!,
			2 * delays[(order + 2) % delays.length]!,
		]) {
			events.push({
				kind: 'request',
				at: from + order * 250 + delay,
				workspace,
				service: profile.orders,
				method: 'POST',
				idempotent: false,
				idempotencyKey: `order-${order}`,
				fingerprint: `order-${order}`,
				serviceTime: 200,
				instance: Math.floor(random() * instances),
			});
		}
	}

	return events;
}

function createOrdinaryTrace(profile: Profile): TraceContent {
	const duration = 600 * second;
	return {
		duration,
		events: createStreams(profile, {rateRatio: 0.5, duration}),
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noEjections,
			refusedRarely,
			{
				name: 'configuration reads <= 20/s',
				kind: 'configuration-reads-per-second',
				atMost: 20,
			},
		],
	};
}

function createFaultyTargetBuilder(
	fault: 'stall' | 'blank',
	service: string,
	ratio: number,
): TraceBuilder {
	return profile => {
		const duration = 25 * second;
		const target = `${service}-1`;
		const kind = `target-${fault}` as const;
		return {
			duration,
			events: [
				...createStreams(profile, {
					rateRatio: 0.9,
					duration,
					serviceRatios: serviceRatiosWith(profile, service, ratio),
				}),
				{kind, at: 8 * second, target, rate: 0.5},
			],
			outcomes: [
				...invariants,
				noColdSlotExcess,
				{name: `ejected ${target} within 3 s`, kind: 'ejected', target, atMost: maxDetectionMs},
				noFalseEjections,
				refusedCounted,
				servedCounted,
			],
		};
	};
}

function createResentOrdersTrace(profile: Profile, instances: number): TraceContent {
	const duration = 25 * second;
	const workspace = Object.keys(profile.organisation.document.workspaces)[0]!;
	return {
		duration,
		warmUp: idempotencyWarmUpMs,
		events: [
			...createStreams(profile, {rateRatio: 0.4, duration, hasIdempotencyKeys: true}),
			...createResentOrders(profile, instances, 2 * second),
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noEjections,
			refusedRarely,
			{
				name: 'order-0 runs once',
				kind: 'runs-of-key',
				workspace,
				idempotencyKey: 'order-0',
				equals: 1,
			},
		],
	};
}

function createWorkspaceAboveRateTrace(profile: Profile): TraceContent {
	const duration = 30 * second;
	const [workspace, {rate}] = Object.entries(profile.organisation.document.workspaces)[0]!;
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.7, duration, excludedWorkspaces: [workspace]}),
			...createFlood(profile, workspace, {rate: 5 * rate, duration}),
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noFalseEjections,
			{
				name: 'worst workspace >= 0.95',
				kind: 'worst-workspace',
				absent: workspace,
				atLeast: minServedRatio,
			},
			refusedCounted,
		],
	};
}

/** Load of one workspace above its rate, in several streams because of `maxStreamRate`. */
function createFlood(
	profile: Profile,
	workspace: string,
	{rate, duration}: {readonly rate: number; readonly duration: number},
): TraceEventInput[] {
	const events: TraceEventInput[] = [];
	for (const [service, ratio] of Object.entries(capacityRatiosOf(profile))) {
		const parts = Math.ceil((rate * ratio) / maxStreamRate);
		for (let part = 0; part < parts; part++) {
			events.push({
				kind: 'stream',
				at: 0,
				workspace,
				service,
				method: service === profile.orders ? 'POST' : 'GET',
				idempotent: service !== profile.orders,
				rate: Math.round(((rate * ratio) / parts) * 1000) / 1000,
				duration,
				seed: 100 + events.length,
			});
		}
	}

	return events;
}

function createColdStartTrace(profile: Profile): TraceContent {
	const duration = 40 * second;
	const service = profile.renderings;
	const {targets} = profile.organisation.document.services[service]!;
	const restarted = targets.filter((_, index) => index % 3 === 0);
	return {
		duration,
		events: [
			...createStreams(profile, {
				rateRatio: 1,
				duration,
				serviceRatios: serviceRatiosWith(profile, service, 0.45),
			}),
			...restarted.map(({id}, index) => ({
				kind: 'target-crash' as const,
				at: 8 * second + index * 200,
				target: id,
				downFor: 2 * second,
			})),
		],
		outcomes: [...invariants, noColdSlotExcess, noFalseEjections, refusedCounted, servedCounted],
	};
}

/** A failure domain is taken out of service at 10 s and returns at 25 s. */
function createDomainEvents(): TraceEventInput[] {
	return [
		{kind: 'domain-out', at: 10 * second, failureDomain: 'domain-1'},
		{kind: 'domain-in', at: 25 * second, failureDomain: 'domain-1'},
	];
}

const domainOutcomes: readonly ExpectedOutcome[] = [
	{
		name: 'no dispatch to failure domain domain-1 after 3 s',
		kind: 'domain-dispatch',
		failureDomain: 'domain-1',
		atMost: maxPropagationMs,
	},
	{
		name: 'version 2 in force everywhere within 3 s',
		kind: 'version-spread',
		version: 2,
		atMost: maxPropagationMs,
	},
	{
		name: 'version 3 in force everywhere within 3 s',
		kind: 'version-spread',
		version: 3,
		atMost: maxPropagationMs,
	},
];

function createDomainPulledTrace(profile: Profile): TraceContent {
	const duration = 40 * second;
	return {
		duration,
		events: [...createStreams(profile, {rateRatio: 0.7, duration}), ...createDomainEvents()],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noEjections,
			...domainOutcomes,
			{
				name: 'served >= 0.95 of steady state while it leaves and returns',
				kind: 'served-of-steady',
				steadyFrom: 0,
				steadyUntil: 10 * second,
				from: 10 * second,
				until: 40 * second,
				atLeast: minServedRatio,
			},
			refusedCounted,
		],
	};
}

function createServiceAwayTrace(profile: Profile): TraceContent {
	const duration = 180 * second;
	const [workspace, {rate, burst}] = Object.entries(profile.organisation.document.workspaces)[0]!;
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.3, duration}),
			{kind: 'patch-rate', at: 5 * second, workspace, rate, burst: burst + 1},
			{kind: 'service-away', at: 10 * second},
			{kind: 'instance-crash', at: 30 * second, instance: 1, replaceAfter: second},
			{kind: 'service-stale', at: 100 * second, version: 1},
			{kind: 'instance-crash', at: 120 * second, instance: 2, replaceAfter: second},
			{kind: 'service-back', at: 160 * second},
			{kind: 'patch-rate', at: 165 * second, workspace, rate, burst},
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noEjections,
			{
				name: 'version 2 in force everywhere within 3 s',
				kind: 'version-spread',
				version: 2,
				atMost: maxPropagationMs,
			},
			{
				name: 'version 3 in force everywhere within 3 s',
				kind: 'version-spread',
				version: 3,
				atMost: maxPropagationMs,
			},
			{
				name: 'configuration reads <= 20/s',
				kind: 'configuration-reads-per-second',
				atMost: 20,
			},
			refusedCounted,
			servedCounted,
		],
	};
}

function createKeyEvents(profile: Profile, duration: number, withdrawnAt: number) {
	const [workspace] = Object.keys(profile.organisation.document.workspaces);
	const events: TraceEventInput[] = [
		{
			kind: 'stream',
			at: 0,
			workspace: workspace!,
			service: profile.downloads,
			method: 'GET',
			idempotent: true,
			rate: 4,
			duration,
			seed: 200,
			serviceTime: 2500,
			timeout: 3800,
			key: 'key-lost',
		},
		{kind: 'key-withdrawn', at: withdrawnAt, key: 'key-lost'},
	];
	return events;
}

const keyOutcomes: readonly ExpectedOutcome[] = [
	{
		name: 'key withdrawn: no admission after 3 s',
		kind: 'key-admission',
		key: 'key-lost',
		atMost: maxPropagationMs,
	},
	{
		name: 'key withdrawn: no answer on an open connection after 3 s',
		kind: 'key-answer',
		key: 'key-lost',
		atMost: maxPropagationMs,
	},
];

function createKeyWithdrawnTrace(profile: Profile): TraceContent {
	const duration = 25 * second;
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.3, duration}),
			...createKeyEvents(profile, duration, 10 * second),
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noEjections,
			...keyOutcomes,
			{
				name: 'version 2 in force everywhere within 3 s',
				kind: 'version-spread',
				version: 2,
				atMost: maxPropagationMs,
			},
		],
	};
}

/**
 * Two requests that crash targets, a GET and a POST. Each is sent up to 12 times, every 2.5 s to
 * another instance, so that one attempt has ended before the next.
 */
function createCrashingRequests(profile: Profile, instances: number): TraceEventInput[] {
	const workspace = Object.keys(profile.organisation.document.workspaces)[0]!;
	const entryInstances = pickInstances(12, instances, 11);
	return entryInstances.flatMap((instance, index) => [
		{
			kind: 'request' as const,
			at: 5 * second + index * 2500,
			workspace,
			service: profile.renderings,
			method: 'GET' as const,
			idempotent: true,
			fingerprint: 'crashing-get',
			crashesTargets: true,
			instance,
		},
		{
			kind: 'request' as const,
			at: 6 * second + index * 2500,
			workspace,
			service: profile.orders,
			method: 'POST' as const,
			idempotent: false,
			fingerprint: 'crashing-post',
			crashesTargets: true,
			instance,
		},
	]);
}

const crashOutcomes: readonly ExpectedOutcome[] = [
	{
		name: 'targets reached by crashing-get <= 2',
		kind: 'targets-reached',
		fingerprint: 'crashing-get',
		atMost: 2,
	},
	{
		name: 'targets reached by crashing-post <= 2',
		kind: 'targets-reached',
		fingerprint: 'crashing-post',
		atMost: 2,
	},
];

function createCrashingRequestTrace(profile: Profile, instances: number): TraceContent {
	const duration = 40 * second;
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.4, duration}),
			...createCrashingRequests(profile, instances),
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noFalseEjections,
			...crashOutcomes,
			refusedCounted,
			servedCounted,
		],
	};
}

function createSilentConnectionsTrace(profile: Profile, instances: number): TraceContent {
	const duration = 30 * second;
	const picked = pickInstances(16, instances, 3);
	const events: TraceEventInput[] = picked.map((from, index) => ({
		kind: 'link-silence',
		at: (5 + index / 2) * second,
		from,
		to: (from + 1 + index) % instances,
	}));
	const target = `${profile.renderings}-2`;
	for (const direction of ['requests', 'answers'] as const) {
		events.push(
			{kind: 'target-link-cut', at: 8 * second, instance: picked[0]!, target, direction},
			{kind: 'target-link-heal', at: 20 * second, instance: picked[0]!, target, direction},
		);
	}

	return {
		duration,
		events: [...createStreams(profile, {rateRatio: 0.5, duration}), ...events],
		outcomes: [...invariants, noColdSlotExcess, noEjections, refusedCounted, servedCounted],
	};
}

/** The fleet is cut in two at 10 s and healed at 25 s. */
function createPartition(instances: number): TraceEventInput[] {
	const all = Array.from({length: instances}, (_, index) => index);
	const size = Math.round(instances * 0.625);
	return [
		{kind: 'partition', at: 10 * second, parts: [all.slice(0, size), all.slice(size)]},
		{kind: 'heal', at: 25 * second},
	];
}

function createFleetCutTrace(profile: Profile, instances: number): TraceContent {
	const duration = 40 * second;
	return {
		duration,
		events: [...createStreams(profile, {rateRatio: 0.5, duration}), ...createPartition(instances)],
		outcomes: [...invariants, noColdSlotExcess, noEjections, refusedCounted, servedCounted],
	};
}

function createPauses(instances: number, at: number): TraceEventInput[] {
	const durations = [1500, 2100, 3000, 5000, 8000, 2500];
	return pickInstances(durations.length, instances, 5).map((instance, index) => ({
		kind: 'instance-pause',
		at: at + index * 700,
		instance,
		duration: durations[index]!,
	}));
}

function createPauseAndWakeTrace(profile: Profile, instances: number): TraceContent {
	const duration = 30 * second;
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.5, duration}),
			...createPauses(instances, 8 * second),
		],
		outcomes: [...invariants, noColdSlotExcess, noEjections, refusedCounted, servedCounted],
	};
}

function createPlannedStopsTrace(profile: Profile, instances: number): TraceContent {
	const duration = 40 * second;
	const stopped = pickInstances(4, instances, 13);
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.5, duration}),
			...stopped.map((instance, index) => ({
				kind: 'instance-stop' as const,
				at: (6 + 6 * index) * second,
				instance,
				grace: 5 * second,
				replaceAfter: second,
			})),
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noEjections,
			{name: 'no request is interrupted by a stop', kind: 'interrupted-by-stop', equals: 0},
			refusedRarely,
		],
	};
}

function createTargetLeavesOtherFlapsTrace(profile: Profile): TraceContent {
	const duration = 40 * second;
	const leaving = `${profile.lookups}-4`;
	const flapping = `${profile.lookups}-5`;
	return {
		duration,
		events: [
			...createStreams(profile, {
				rateRatio: 0.9,
				duration,
				serviceRatios: serviceRatiosWith(profile, profile.lookups, 0.5),
			}),
			{kind: 'target-leave', at: 8 * second, target: leaving},
			{kind: 'target-flap', at: 10 * second, target: flapping, period: 4 * second},
			{kind: 'target-fail', at: 10 * second, target: flapping, rate: 0.6},
			{kind: 'target-return', at: 28 * second, target: leaving},
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noFalseEjections,
			{
				name: `no dispatch to leaving ${leaving} after 3 s`,
				kind: 'leaving-dispatch',
				target: leaving,
				atMost: maxPropagationMs,
			},
			refusedCounted,
			servedCounted,
		],
	};
}

function createCutAndFloodTrace(profile: Profile, instances: number): TraceContent {
	const duration = 40 * second;
	const [workspace, {rate}] = Object.entries(profile.organisation.document.workspaces)[0]!;
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.4, duration, excludedWorkspaces: [workspace]}),
			...createFlood(profile, workspace, {rate: 3 * rate, duration}),
			...createPartition(instances),
		],
		outcomes: [...invariants, noColdSlotExcess, noFalseEjections, refusedCounted],
	};
}

function createDomainAndColdTargetsTrace(profile: Profile): TraceContent {
	const duration = 40 * second;
	const {targets} = profile.organisation.document.services[profile.renderings]!;
	const domainTargets = targets.filter(({failureDomain}) => failureDomain === 'domain-0');
	return {
		duration,
		events: [
			...createStreams(profile, {rateRatio: 0.6, duration}),
			...createDomainEvents(),
			...domainTargets.slice(0, 2).map(({id}) => ({
				kind: 'target-crash' as const,
				at: 11 * second,
				target: id,
				downFor: 2 * second,
			})),
		],
		outcomes: [
			...invariants,
			noColdSlotExcess,
			noFalseEjections,
			...domainOutcomes,
			refusedCounted,
			servedCounted,
		],
	};
}

/** Instances that may own the idempotency keys pause and crash while the orders are sent again. */
function createResentOrdersAndPausesTrace(profile: Profile, instances: number): TraceContent {
	const {events, outcomes, ...content} = createResentOrdersTrace(profile, instances);
	const crashed = pickInstances(3, instances, 17);
	return {
		...content,
		events: [
			...events,
			...createPauses(instances, 4 * second),
			...crashed.map((instance, index) => ({
				kind: 'instance-crash' as const,
				at: (3 + 3 * index) * second,
				instance,
				replaceAfter: 2 * second,
			})),
		],
		outcomes: [
			...outcomes.filter(({kind}) => !['refused-within-rate-part', 'runs-of-key'].includes(kind)),
			refusedCounted,
			servedCounted,
		],
	};
}

function createKeyAndPauseTrace(profile: Profile, instances: number): TraceContent {
	const {events, outcomes, duration} = createKeyWithdrawnTrace(profile);
	const [firstPaused, secondPaused] = pickInstances(2, instances, 19);
	return {
		duration,
		events: [
			...events,
			{kind: 'instance-pause', at: 9 * second, instance: firstPaused!, duration: 2500},
			{kind: 'instance-pause', at: 9.5 * second, instance: secondPaused!, duration: 3000},
		],
		outcomes: [...outcomes, refusedCounted],
	};
}

function createCrashingRequestAndCrashTrace(profile: Profile, instances: number): TraceContent {
	const {events, outcomes, duration} = createCrashingRequestTrace(profile, instances);
	return {
		duration,
		events: [
			...events,
			...pickInstances(4, instances, 23).map((instance, index) => ({
				kind: 'instance-crash' as const,
				at: (8 + 5 * index) * second,
				instance,
				replaceAfter: 2 * second,
			})),
		],
		outcomes,
	};
}

function traceBuildersOf(profile: Profile): Readonly<Record<string, TraceBuilder>> {
	return {
		'ordinary-ten-minutes': createOrdinaryTrace,
		[profile.lookupTrace]: createFaultyTargetBuilder('stall', profile.lookups, 0.5),
		[profile.orderTrace]: createResentOrdersTrace,
		[profile.downloadTrace]: createFaultyTargetBuilder('blank', profile.downloads, 0.21),
		[profile.renderingTrace]: createFaultyTargetBuilder('blank', profile.renderings, 0.7),
		'tenant-above-rate': createWorkspaceAboveRateTrace,
		'cold-start': createColdStartTrace,
		'failure-domain-pulled': createDomainPulledTrace,
		'configuration-service-away': createServiceAwayTrace,
		'key-withdrawn': createKeyWithdrawnTrace,
		'crashing-request': createCrashingRequestTrace,
		'silent-connections': createSilentConnectionsTrace,
		'fleet-cut-in-two': createFleetCutTrace,
		'pause-and-wake': createPauseAndWakeTrace,
		'planned-stops': createPlannedStopsTrace,
		'target-leaves-other-flaps': createTargetLeavesOtherFlapsTrace,
		'cut-in-two-and-tenant-above-rate': createCutAndFloodTrace,
		'failure-domain-pulled-and-cold-targets': createDomainAndColdTargetsTrace,
		[`${profile.orderTrace}-and-pauses`]: createResentOrdersAndPausesTrace,
		'key-withdrawn-and-pauses': createKeyAndPauseTrace,
		'crashing-request-and-instance-crashes': createCrashingRequestAndCrashTrace,
	};
}

/** All traces by organisation. */
export function createCatalogue(
	options: CatalogueOptions = {},
): ReadonlyMap<OrganisationName, readonly CatalogueTrace[]> {
	const {instances = defaultInstanceCount} = options;
	return new Map(
		profiles.map(profile => [
			profile.name,
			Object.entries(traceBuildersOf(profile)).map(([name, build], index) => {
				const {events, outcomes, duration, warmUp} = build(profile, instances);
				const header: TraceHeaderInput = {
					kind: 'header',
					format: 1,
					organisation: profile.name,
					instances,
					seed: index + 1,
					duration,
					...(warmUp !== undefined && {warmUp}),
					configuration: {maxInstances: instances},
				};
				return {name, header, events: sortByTime(events), outcomes};
			}),
		]),
	);
}

/** The content of the trace file and of its file of outcomes. */
export function formatTrace({header, events, outcomes}: CatalogueTrace) {
	const lines = [header, ...events].map(line => JSON.stringify(line));
	return {
		trace: `${lines.join('\n')}\n`,
		outcomes: `${JSON.stringify({format: 1, outcomes}, undefined, '\t')}\n`,
	};
}
