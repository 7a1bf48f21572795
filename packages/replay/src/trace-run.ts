/**
 * Replays a trace on a simulated fleet, so that its outcomes can be checked. A run is reproducible:
 * the same trace gives the same run.
 */
import {createSeededRandom} from '@shallotpond/kernel/random';
import {type FakeTargetBehaviour} from './fake-target.js';
import {type FleetDocument} from './fleet-document.js';
import {
	createSimulatedFleet,
	type SimulatedFleet,
	type SimulationCounts,
	type Organisation,
} from './simulated-fleet.js';
import {type InstancePolicies} from './simulated-instance.js';
import {fjordvik, inkworks} from './organisations.js';
import {createRunRecorder, type RunRecord} from './run-record.js';
import {
	type Trace,
	type TraceEvent,
	type TraceHeader,
	type TraceNames,
	type TraceRequest,
	type TraceStream,
} from './trace-format.js';

export type TraceRun = {
	readonly trace: Trace;
	readonly organisation: Organisation;
	readonly record: RunRecord;
	/** Counted from the end of the warm-up. */
	readonly counts: SimulationCounts;
	/** Milliseconds of true time at the end of the warm-up, which is time 0 of the trace. */
	readonly startsAt: number;
	/** Runs the trace again without the events of a workspace, as a control. */
	runWithout(workspace: string): TraceRun;
};

export type TraceRunOptions = {
	/** Replaces policies, for tests of the checks that count violations. */
	readonly policies?: Partial<InstancePolicies>;
	/** Called for each event of the simulated fleet, to find the cause of a violation. */
	readonly onEvent?: (
		event: Parameters<ReturnType<typeof createRunRecorder>['onEvent']>[0],
	) => void;
};

/** Time after the end of the trace in which requests may still end. */
const drainTimeMs = 5000;
/** Time without traffic after which a connection between instances is replaced. */
const silenceTimeoutMs = 1500;
/** Transfer rate of a response, 0.8 Gbit/s. */
const bytesPerMillisecond = 100_000;
const maxAdvanceMs = 10_000;

/** The organisation of a trace, with the configuration of the header applied. */
export function organisationOf(header: TraceHeader): Organisation {
	const organisation = {fjordvik, inkworks}[header.organisation];
	const {document} = organisation;
	const {services: changes = {}, ...configuration} = header.configuration;
	const services = Object.fromEntries(
		Object.entries(document.services).map(([name, service]) => [
			name,
			{...service, ...changes[name]},
		]),
	);
	return {...organisation, document: {...document, ...configuration, services}};
}

/** The names that the events of a trace may use. */
export function traceNamesOf(header: TraceHeader): TraceNames {
	const {document, failureDomains} = organisationOf(header);
	const services = Object.values(document.services);
	return {
		instances: header.instances,
		targets: new Set(services.flatMap(({targets}) => targets.map(({id}) => id))),
		services: new Set(Object.keys(document.services)),
		workspaces: new Set(Object.keys(document.workspaces)),
		failureDomains: new Set(failureDomains),
	};
}

type RunContext = {
	readonly fleet: SimulatedFleet;
	/** Documents by version, because the configuration service may serve an old one later. */
	readonly documents: Map<number, FleetDocument>;
	readonly startsAt: number;
	readonly send: (request: Omit<TraceRequest, 'kind'>) => void;
};

type EventHandlers = {
	readonly [Kind in TraceEvent['kind']]: (
		event: TraceEvent & {readonly kind: Kind},
		context: RunContext,
	) => void;
};

function changeTargetBehaviour(
	fleet: SimulatedFleet,
	target: string,
	change: Partial<FakeTargetBehaviour>,
): void {
	fleet.targets.get(target)!.changeBehaviour(change);
}

/** Schedules each request of a stream only when the previous one is sent. */
function startStream(stream: TraceStream, context: RunContext): void {
	const {rate, duration, spacing, instances, hasIdempotencyKeys, seed, ...requestFields} = stream;
	const random = createSeededRandom(seed);
	const interval = 1000 / rate;
	let nextAt = stream.at;
	let requestNumber = 0;

	function drawInterval(): number {
		return spacing === 'even' ? interval : -Math.log(1 - random()) * interval;
	}

	function sendAndSchedule(): void {
		const instance = instances?.[Math.floor(random() * instances.length)];
		context.send({
			...requestFields,
			at: nextAt,
			...(instance !== undefined && {instance}),
			...(hasIdempotencyKeys === true && {idempotencyKey: `stream-${seed}-${requestNumber}`}),
		});
		requestNumber++;
		scheduleNext();
	}

	function scheduleNext(): void {
		nextAt += drawInterval();
		if (nextAt < stream.at + duration) {
			context.fleet.scheduleAt(context.startsAt + nextAt, sendAndSchedule);
		}
	}

	scheduleNext();
}

function changeConfiguration({fleet, documents}: RunContext, change: Partial<FleetDocument>): void {
	fleet.changeConfiguration(change);
	documents.set(fleet.document.version, fleet.document);
}

function setDomainOut(context: RunContext, failureDomain: string, isOut: boolean): void {
	const others = context.fleet.document.domainsOut.filter(domain => domain !== failureDomain);
	changeConfiguration(context, {domainsOut: isOut ? [...others, failureDomain] : others});
}

const handlers: EventHandlers = {
	request(event, {send}) {
		send(event);
	},
	stream: startStream,
	'target-slow'({target, factor}, {fleet}) {
		changeTargetBehaviour(fleet, target, {slowFactor: factor});
	},
	'target-fail'({target, rate}, {fleet}) {
		changeTargetBehaviour(fleet, target, {failRate: rate});
	},
	'target-blank'({target, rate}, {fleet}) {
		changeTargetBehaviour(fleet, target, {blankRate: rate});
	},
	'target-stall'({target, rate}, {fleet}) {
		changeTargetBehaviour(fleet, target, {stallRate: rate});
	},
	'target-flap'({target, period}, {fleet}) {
		changeTargetBehaviour(fleet, target, {flapPeriod: period});
	},
	'target-cold'({target}, {fleet}) {
		fleet.targets.get(target)!.restartWarmUp();
	},
	'target-crash'({target, downFor}, {fleet}) {
		fleet.targets.get(target)!.crash(downFor);
	},
	'target-leave'({target}, {fleet}) {
		fleet.setTargetLeaving(target, true);
	},
	'target-return'({target}, {fleet}) {
		fleet.setTargetLeaving(target, false);
	},
	'link-cut'({from, to}, {fleet}) {
		fleet.cut(from, to);
	},
	'link-heal'({from, to}, {fleet}) {
		fleet.heal(from, to);
	},
	'link-silence'({from, to}, {fleet}) {
		fleet.cut(from, to);
		fleet.cut(to, from);
		fleet.scheduleAt(fleet.now() + silenceTimeoutMs, () => {
			fleet.heal(from, to);
			fleet.heal(to, from);
		});
	},
	'target-link-cut'({instance, target, direction}, {fleet}) {
		fleet.cutTargetLink(instance, target, direction);
	},
	'target-link-heal'({instance, target, direction}, {fleet}) {
		fleet.healTargetLink(instance, target, direction);
	},
	'link-delay'({part, delay}, {fleet}) {
		fleet.network.setConditions({longDelayProbability: part, longDelay: delay});
	},
	partition({parts}, {fleet}) {
		fleet.partition(parts);
	},
	heal(_event, {fleet}) {
		fleet.healAll();
	},
	'instance-pause'({instance, duration}, {fleet}) {
		fleet.pause(instance, duration);
	},
	'instance-crash'({instance, replaceAfter}, {fleet}) {
		fleet.crash(instance, replaceAfter);
	},
	'instance-stop'({instance, grace, replaceAfter}, {fleet}) {
		fleet.stop(instance, grace, replaceAfter);
	},
	'service-away'(_event, {fleet}) {
		fleet.setConfigurationServiceReachable(false);
	},
	'service-back'(_event, {fleet}) {
		fleet.setConfigurationServiceReachable(true);
		fleet.overrideDocument(undefined);
	},
	'service-stale'({version}, {fleet, documents}) {
		fleet.setConfigurationServiceReachable(true);
		fleet.overrideDocument(documents.get(version));
	},
	'key-withdrawn'({key}, context) {
		const {withdrawnKeys = []} = context.fleet.document;
		changeConfiguration(context, {withdrawnKeys: [...withdrawnKeys, key]});
	},
	'patch-rate'({workspace, rate, burst}, context) {
		const {workspaces} = context.fleet.document;
		changeConfiguration(context, {workspaces: {...workspaces, [workspace]: {rate, burst}}});
	},
	'domain-out'({failureDomain}, context) {
		setDomainOut(context, failureDomain, true);
	},
	'domain-in'({failureDomain}, context) {
		setDomainOut(context, failureDomain, false);
	},
};

function removeWorkspace(trace: Trace, workspace: string): Trace {
	const events = trace.events.filter(
		event => !('workspace' in event) || event.workspace !== workspace,
	);
	return {...trace, events};
}

/**
 * Median time in milliseconds for which a target works on a request and sends its response; undefined
 * unless the trace states a service time or a size.
 */
function serviceTimeOf(
	{serviceTime, size = 0, service}: Omit<TraceRequest, 'kind'>,
	organisation: Organisation,
): number | undefined {
	if (serviceTime === undefined && size === 0) {
		return undefined;
	}

	const base = serviceTime ?? organisation.behaviour[service]!.serviceTime;
	return base + size / bytesPerMillisecond;
}

/**
 * Replays a parsed trace. The cost is linear in its duration and quadratic in the number of
 * instances.
 */
export function runTrace(trace: Trace, options: TraceRunOptions = {}): TraceRun {
	const {header} = trace;
	const organisation = organisationOf(header);
	const recorder = createRunRecorder();
	const fleet = createSimulatedFleet({
		organisation,
		instances: header.instances,
		seed: header.seed,
		policy: 'fleet',
		...(options.policies !== undefined && {policies: options.policies}),
		onEvent(event) {
			recorder.onEvent(event);
			options.onEvent?.(event);
		},
	});
	const startsAt = header.warmUp;
	recorder.attach(fleet, startsAt);
	fleet.advance(startsAt);
	fleet.resetCounts();
	let sentCount = 0;

	function send(request: Omit<TraceRequest, 'kind'>): void {
		const {workspace, service, instance, timeout, idempotencyKey} = request;
		const id = `d${sentCount++}`;
		const {key = `key-${workspace}`, fingerprint = id} = request;
		recorder.addArrival(id, {
			group: idempotencyKey === undefined ? id : `${workspace}/${idempotencyKey}`,
			workspace,
			key,
			fingerprint,
			isIdempotent: request.idempotent,
			arrivedAt: fleet.now() - startsAt,
		});
		const serviceTime = serviceTimeOf(request, organisation);
		fleet.sendRequest({
			id,
			service,
			workspace,
			...(instance !== undefined && {instance}),
			...(timeout !== undefined && {timeout}),
			isPoisoned: request.crashesTargets ?? false,
			details: {
				method: request.method,
				isIdempotent: request.idempotent,
				...(idempotencyKey !== undefined && {idempotencyKey}),
				fingerprint,
				key,
				...(serviceTime !== undefined && {serviceTime}),
			},
		});
	}

	const documents = new Map([[fleet.document.version, fleet.document]]);
	const context: RunContext = {fleet, documents, startsAt, send};
	for (const event of trace.events) {
		fleet.scheduleAt(startsAt + event.at, () => {
			(handlers[event.kind] as (event: TraceEvent, context: RunContext) => void)(event, context);
		});
	}

	for (let remaining = header.duration + drainTimeMs; remaining > 0; remaining -= maxAdvanceMs) {
		fleet.advance(Math.min(remaining, maxAdvanceMs));
	}

	return {
		trace,
		organisation,
		record: recorder.record,
		counts: fleet.counts(),
		startsAt,
		runWithout: workspace => runTrace(removeWorkspace(trace, workspace), options),
	};
}
