/**
 * Compares the coordinated policy with the local baseline for both organisations, with the same
 * seed, requests and faults. Prints one table and writes `reports/compare.json` and
 * `reports/compare.svg`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {isMainThread, parentPort, Worker, workerData} from 'node:worker_threads';
import {plotComparison} from './comparison-plot.js';
import {type CoordinationPolicy} from './simulated-instance.js';
import {
	measureFaultDetection,
	measureGreedyWorkspace,
	countEjectionsWithoutFault,
	measureScenario,
	countEjectionsDuringSlowdown,
	type MeasurementOptions,
	type ScenarioResult,
	type GreedyWorkspaceResult,
} from './measurements.js';
import {organisations} from './organisations.js';
import {scenarios, type ScenarioName} from './scenarios.js';

type Settings = {
	readonly seed: number;
	readonly instances: number;
	/** Duration of the measurement without faults; 0 skips it. */
	readonly noiseMinutes: number;
	readonly scenarios: readonly ScenarioName[];
};

export type OrganisationResults = {
	readonly organisation: string;
	readonly policy: CoordinationPolicy;
	readonly scenarios: readonly ScenarioResult[];
	/** Milliseconds until a target 10 times slower is ejected; undefined if not within 20 s. */
	readonly slowDetection: number | undefined;
	/**
	 * Milliseconds until a target that fails half of its requests is ejected; undefined if not
	 * within 20 s.
	 */
	readonly failureDetection: number | undefined;
	/** Number of ejections while all targets are three times slower. */
	readonly slowServiceEjections: number;
	/** Number of ejections without a fault; undefined if not measured. */
	readonly noiseEjections: number | undefined;
	readonly greedyTenant: GreedyWorkspaceResult;
};

/**
 * A row of the printed table. `target` is the value that the design requires, or `-` if it requires
 * none.
 */
export type ComparisonRow = {
	readonly organisation: string;
	readonly measure: string;
	readonly target: string;
	readonly fleet: string;
	readonly local: string;
	readonly fleetMeets: 'yes' | 'no' | 'not run' | '-';
};

const policies: readonly CoordinationPolicy[] = ['fleet', 'local'];

function compareOrganisation(index: number, settings: Settings): OrganisationResults[] {
	const organisation = organisations[index]!;
	return policies.map(policy => {
		const {seed, instances, noiseMinutes} = settings;
		const options: MeasurementOptions = {organisation, policy, seed, instances};
		const results = settings.scenarios.map(name => {
			const result = measureScenario(name, options);
			// Output of the worker itself would appear only once its event loop is idle.
			parentPort!.postMessage(`${organisation.name} ${policy} ${name} done`);
			return result;
		});
		return {
			organisation: organisation.name,
			policy,
			scenarios: results,
			slowDetection: measureFaultDetection('slow', options),
			failureDetection: measureFaultDetection('failing', options),
			slowServiceEjections: countEjectionsDuringSlowdown(options),
			greedyTenant: measureGreedyWorkspace(options),
			noiseEjections:
				noiseMinutes > 0 ? countEjectionsWithoutFault(options, noiseMinutes) : undefined,
		};
	});
}

function sumOf(results: readonly ScenarioResult[], key: keyof ScenarioResult): number {
	return results.reduce((sum, result) => sum + Number(result[key] ?? 0), 0);
}

/**
 * Divides the requests served in each of the first 10 s of a fault by those served in the same
 * second of the run without a fault, and returns the minimum. Undefined if the scenario was not
 * run.
 */
function lowestServedRatio(
	comparison: OrganisationResults,
	name: ScenarioName,
): number | undefined {
	const steady = comparison.scenarios.find(({scenario}) => scenario === 'no-fault');
	const faulty = comparison.scenarios.find(({scenario}) => scenario === name);
	const ratios = faulty?.servedBySecond
		.slice(0, 10)
		.map((served, second) => served / (steady?.servedBySecond[second] ?? Number.NaN));
	return ratios && Math.min(...ratios);
}

function formatPercent(ratio: number | undefined): string {
	return ratio === undefined ? 'not run' : `${(ratio * 100).toFixed(2)}%`;
}

function formatSeconds(milliseconds: number | undefined): string {
	return milliseconds === undefined ? 'never' : `${(milliseconds / 1000).toFixed(2)} s`;
}

/** Definition of a row; a measure without a required value has no `isMet`. */
type Row = {
	readonly measure: string;
	readonly target: string;
	readonly value: (comparison: OrganisationResults) => number | undefined;
	readonly format: (value: number | undefined) => string;
	readonly isMet?: (value: number | undefined) => boolean;
	readonly wasRun?: (comparison: OrganisationResults) => boolean;
};

const formatCount = (value: number | undefined) =>
	value === undefined ? 'not run' : String(value);

function scenarioResultOf(
	comparison: OrganisationResults,
	name: ScenarioName,
): ScenarioResult | undefined {
	return comparison.scenarios.find(({scenario}) => scenario === name);
}

const hasScenario = (name: ScenarioName) => (comparison: OrganisationResults) =>
	scenarioResultOf(comparison, name) !== undefined;

function createRows(names: readonly ScenarioName[]): Row[] {
	const isAtMost = (limit: number) => (value: number | undefined) =>
		value !== undefined && value <= limit;
	const refusals = names.map((name): Row => ({
		measure: `(a) refused within the rate, ${name}`,
		target: name === 'no-fault' ? '<= 0.10%' : '-',
		value(comparison) {
			const result = scenarioResultOf(comparison, name);
			return result && result.refusedWithinRate / result.arrived;
		},
		format: formatPercent,
		isMet: name === 'no-fault' ? isAtMost(0.001) : undefined,
	}));
	return [
		...refusals,
		{
			measure: '(b) admitted above rate x time + burst, all scenarios',
			target: '0',
			value: ({scenarios: results}) => sumOf(results, 'admittedAboveRate'),
			format: formatCount,
			isMet: isAtMost(0),
		},
		{
			measure: '(c) starts above the slots, all scenarios',
			target: '0',
			value: ({scenarios: results}) => sumOf(results, 'startsAboveSlots'),
			format: formatCount,
			isMet: isAtMost(0),
		},
		{
			measure: '(c) starts above what a cold target bears',
			target: '-',
			value: ({scenarios: results}) => sumOf(results, 'startsAboveColdSlots'),
			format: formatCount,
		},
		{
			measure: '(d) detection of a target 10 times slower',
			target: '<= 3 s',
			value: ({slowDetection}) => slowDetection,
			format: formatSeconds,
			isMet: isAtMost(3000),
		},
		{
			measure: '(d) detection of a target that fails half',
			target: '<= 3 s',
			value: ({failureDetection}) => failureDetection,
			format: formatSeconds,
			isMet: isAtMost(3000),
		},
		{
			measure: '(d) ejections in ordinary noise',
			target: '0',
			value: ({noiseEjections}) => noiseEjections,
			format: formatCount,
			isMet: isAtMost(0),
			wasRun: ({noiseEjections}) => noiseEjections !== undefined,
		},
		{
			measure: '(d) ejections while the whole service slows',
			target: '0',
			value: ({slowServiceEjections}) => slowServiceEjections,
			format: formatCount,
			isMet: isAtMost(0),
		},
		{
			measure: '(e) worst-served workspace beside a tenant at 5 times its rate',
			target: '>= 95%',
			value: ({greedyTenant}) => greedyTenant.worstServed,
			format: formatPercent,
			isMet: value => value !== undefined && value >= 0.95,
		},
		{
			measure: '(f) lowest second while a domain leaves and returns',
			target: '-',
			value: comparison => lowestServedRatio(comparison, 'domain-out-and-in'),
			format: formatPercent,
		},
		{
			measure: '(g) last start on a domain after it was taken out',
			target: '<= 3 s',
			value: comparison => scenarioResultOf(comparison, 'domain-out-and-in')?.lastStartAfterOut,
			format: formatSeconds,
			isMet: isAtMost(3000),
			wasRun: hasScenario('domain-out-and-in'),
		},
		{
			measure: '(g) configuration change in force everywhere',
			target: '<= 3 s',
			value: comparison => scenarioResultOf(comparison, 'configuration-change')?.spreadTime,
			format: formatSeconds,
			isMet: isAtMost(3000),
			wasRun: hasScenario('configuration-change'),
		},
		{
			measure: '(h) one crash: requests lost',
			target: '-',
			value: comparison => scenarioResultOf(comparison, 'one-crash')?.lost,
			format: formatCount,
		},
		{
			measure: '(h) one crash: refused within the rate',
			target: '-',
			value: comparison => scenarioResultOf(comparison, 'one-crash')?.refusedWithinRate,
			format: formatCount,
		},
		{
			measure: '(h) one crash: lowest second',
			target: '-',
			value: comparison => lowestServedRatio(comparison, 'one-crash'),
			format: formatPercent,
		},
		{
			measure: '(h) crash of the owner of a rate: refused within the rate',
			target: '-',
			value: comparison => scenarioResultOf(comparison, 'rate-owner-crash')?.refusedWithinRate,
			format: formatCount,
		},
		{
			measure: '(h) crash of the owner of a rate: lowest second',
			target: '-',
			value: comparison => lowestServedRatio(comparison, 'rate-owner-crash'),
			format: formatPercent,
		},
	];
}

function createTable(
	comparisons: readonly OrganisationResults[],
	names: readonly ScenarioName[],
): ComparisonRow[] {
	return organisations.flatMap(({name}) => {
		const [fleet, local] = policies.map(policy =>
			comparisons.find(item => item.organisation === name && item.policy === policy)!,
		);
		return createRows(names).map(({measure, target, value, format, isMet, wasRun}) => {
			const hasRun = wasRun?.(fleet!) ?? true;
			const meets = isMet?.(value(fleet!)) ? 'yes' : 'no';
			return {
				organisation: name,
				measure,
				target,
				fleet: format(value(fleet!)),
				local: format(value(local!)),
				fleetMeets: hasRun ? (isMet === undefined ? '-' : meets) : 'not run',
			};
		});
	});
}

async function runInWorker(index: number, settings: Settings): Promise<OrganisationResults[]> {
	return new Promise((resolve, reject) => {
		const worker = new Worker(new URL(import.meta.url), {workerData: {index, settings}});
		worker.on('message', (message: string | OrganisationResults[]) => {
			if (typeof message === 'string') {
				console.error(message);
			} else {
				resolve(message);
			}
		});
		worker.once('error', reject);
	});
}

async function main(): Promise<void> {
	const {values} = parseArgs({
		options: {
			seed: {type: 'string', default: '1'},
			instances: {type: 'string', default: '48'},
			scenarios: {type: 'string', default: Object.keys(scenarios).join(',')},
			'noise-minutes': {type: 'string', default: '60'},
		},
	});
	const settings: Settings = {
		seed: Number(values.seed),
		instances: Number(values.instances),
		noiseMinutes: Number(values['noise-minutes']),
		scenarios: values.scenarios.split(',') as ScenarioName[],
	};
	const results = await Promise.all(
		organisations.map(async (_, index) => runInWorker(index, settings)),
	);
	const comparisons = results.flat();
	const table = createTable(comparisons, settings.scenarios);
	console.table(table);
	mkdirSync('reports', {recursive: true});
	writeFileSync('reports/compare.json', JSON.stringify({settings, table, comparisons}, null, '\t'));
	writeFileSync('reports/compare.svg', plotComparison(comparisons));
}

if (isMainThread) {
	await main();
} else {
	const {index, settings} = workerData as {index: number; settings: Settings};
	parentPort!.postMessage(compareOrganisation(index, settings));
}
