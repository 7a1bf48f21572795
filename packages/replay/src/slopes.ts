/**
 * Measures the cost of coordination for one instance, and its slope by the number of instances,
 * workspaces and targets. Prints tables and writes `reports/slopes.json`. Run with `--expose-gc` to
 * measure the heap.
 *
 * Processor time is that of the whole process while an instance decides: the decisions, the encoding
 * of its messages and the fakes that it calls, but no sockets and no decoding. Bytes are those of
 * msgpackr with shared record structures, one message at a time, without WebSocket and TCP headers.
 * The heap includes the fake targets and, under load, about 100 bytes that the simulated fleet keeps
 * per request.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createSimulatedFleet, type InstanceCounts, type Organisation} from './simulated-fleet.js';
import {sendTraffic} from './traffic.js';

type Size = {
	readonly instances: number;
	readonly workspaces: number;
	readonly targets: number;
	/** Requests per second at each instance. */
	readonly load: number;
};

/** Cost of one instance, as the mean over all instances. */
type Cost = Size & {
	/** Percentage of a core. */
	readonly processor: number;
	readonly bytesSentPerSecond: number;
	readonly bytesReceivedPerSecond: number;
	/** Sent messages. */
	readonly messagesPerSecond: number;
	/** KiB; undefined without `--expose-gc`. */
	readonly heap: number | undefined;
	/** Ratio of served requests during the measurement; undefined without load. */
	readonly served: number | undefined;
};

/** Line fitted by least squares to a measure as a function of one size. */
type Fit = {
	readonly measure: string;
	readonly by: keyof Size;
	readonly load: number;
	readonly slope: number;
	readonly intercept: number;
	/** Coefficient of determination; 1 for two points. */
	readonly r2: number;
};

const measures = [
	'processor',
	'bytesSentPerSecond',
	'bytesReceivedPerSecond',
	'messagesPerSecond',
	'heap',
] as const;

/** Start of the load, when the instances have heard from each other. */
const settledAtMs = 8000;
/** Start of the measurement. */
const measuredFromMs = 12_000;
const targetsPerService = 25;

function organisationOf({instances, workspaces, targets, load}: Size): Organisation {
	const services = Array.from({length: Math.ceil(targets / targetsPerService)}, (_, service) => [
		`service-${service}`,
		{
			targets: Array.from({length: targetsPerService}, (_target, index) => ({
				id: `service-${service}-${index}`,
				failureDomain: `domain-${index % 4}`,
			})),
			slots: 4,
			connections: 330,
			coldSlots: 4,
			warmUpAnswers: 20,
			warmUpStep: 2000,
			floor: 0.7,
			shardSize: 4,
		},
	]);
	const rate = Math.max(10, (2 * load * instances) / workspaces);
	const behaviour = {
		serviceTime: 30,
		deviation: 0.5,
		slowFactor: 1,
		failRate: 0.01,
		blankRate: 0,
		flapPeriod: 0,
	};
	return {
		name: 'slopes',
		failureDomains: ['domain-0', 'domain-1', 'domain-2', 'domain-3'],
		delay: [0.25, 1.5],
		instances,
		document: {
			version: 1,
			digest: 'digest-1',
			maxInstances: instances,
			minorityFraction: 0.25,
			services: Object.fromEntries(services) as Organisation['document']['services'],
			workspaces: Object.fromEntries(
				Array.from({length: workspaces}, (_, index) => [
					`workspace-${index}`,
					{rate, burst: Math.max(10, rate)},
				]),
			),
			domainsOut: [],
		},
		behaviour: Object.fromEntries(
			services.map(([name]) => [name, behaviour]),
		) as Organisation['behaviour'],
	};
}

/** Bytes of heap in use after a garbage collection; undefined without `--expose-gc`. */
function readHeapUsed(): number | undefined {
	if (globalThis.gc === undefined) {
		return undefined;
	}

	globalThis.gc();
	return process.memoryUsage().heapUsed;
}

function measureCost(size: Size, seed: number, duration: number): Cost {
	const organisation = organisationOf(size);
	const heapBefore = readHeapUsed();
	const fleet = createSimulatedFleet({
		organisation,
		seed,
		policy: 'fleet',
		step: 4,
		shouldMeasureBytes: true,
		shouldMeasureProcessorTime: true,
	});
	const workspaces = Object.keys(organisation.document.workspaces);
	const services = Object.keys(organisation.document.services);
	const until = measuredFromMs + duration;
	if (size.load > 0) {
		const loadPerWorkspace = (size.load * size.instances) / size.workspaces;
		const load = Object.fromEntries(workspaces.map(name => [name, loadPerWorkspace]));
		sendTraffic(fleet, {seed, from: settledAtMs, until, load, services});
	}

	fleet.advance(measuredFromMs);
	const processorTimesBefore = fleet.instances.map(({processorTime}) => processorTime);
	fleet.resetCounts();
	fleet.advance(duration);
	const {instances, totals} = fleet.counts();
	const heapAfter = readHeapUsed();
	const mean = (pick: (counts: InstanceCounts) => number) =>
		instances.reduce((sum, counts) => sum + pick(counts), 0) / instances.length;
	const perSecond = 1000 / duration;
	const microseconds = mean(
		({processorTime, index}) => processorTime - processorTimesBefore[index]!,
	);
	return {
		...size,
		processor: microseconds * perSecond * 1e-4,
		bytesSentPerSecond: mean(({bytesSent}) => bytesSent) * perSecond,
		bytesReceivedPerSecond: mean(({bytesReceived}) => bytesReceived) * perSecond,
		messagesPerSecond: mean(({messagesSent}) => messagesSent) * perSecond,
		heap:
			heapBefore === undefined || heapAfter === undefined
				? undefined
				: (heapAfter - heapBefore) / size.instances / 1024,
		served: totals.arrived > 0 ? totals.served / totals.arrived : undefined,
	};
}

function fitLine(costs: readonly Cost[], by: keyof Size, name: (typeof measures)[number]): Fit {
	const points = costs.map(cost => [cost[by], cost[name] ?? Number.NaN] as const);
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const sumXx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
	const sumXy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
	const sumYy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
	const slope = sumXy / sumXx;
	return {
		measure: name,
		by,
		load: costs[0]!.load,
		slope,
		intercept: meanY - slope * meanX,
		r2: sumYy === 0 ? 1 : (sumXy * sumXy) / (sumXx * sumYy),
	};
}

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		seconds: {type: 'string', default: '6'},
	},
});
const seed = Number(values.seed);
const duration = Number(values.seconds) * 1000;
const baseSize = {instances: 24, workspaces: 8, targets: 50};
const series = [
	{by: 'instances', sizes: [12, 24, 48, 96]},
	{by: 'workspaces', sizes: [8, 800, 8000]},
	{by: 'targets', sizes: [50, 500]},
] as const;
const costs: Cost[] = [];
const fits: Fit[] = [];
// Warm-up: the first run is slower, because the code has not been compiled yet.
measureCost({...baseSize, load: 20}, seed, 1000);
for (const {by, sizes} of series) {
	for (const load of [0, 20]) {
		const seriesCosts = sizes.map(value => {
			const cost = measureCost({...baseSize, [by]: value, load}, seed, duration);
			console.error(JSON.stringify(cost));
			return cost;
		});
		costs.push(...seriesCosts);
		fits.push(...measures.map(name => fitLine(seriesCosts, by, name)));
	}
}

console.table(costs);
console.table(fits);
mkdirSync('reports', {recursive: true});
writeFileSync('reports/slopes.json', JSON.stringify({seed, duration, costs, fits}, null, '\t'));
