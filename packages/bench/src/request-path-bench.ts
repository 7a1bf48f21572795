/**
 * `npm run bench`: measures the throughput and the added latency of one instance, in alternation
 * with a plain pass-through proxy and with a target itself, in one run on one machine. Prints a
 * table and writes `reports/request-path.json`. Compare only ratios within a run, because absolute
 * figures depend on the machine.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {benchKey, readResourceUsage, startRoleProcess} from './bench-role.js';
import {runClosedLoop, runOpenLoop, type LoadResult, type LoadEndpoint} from './load-generator.js';

const rounds = 5;
const throughputDurationMs = 3000;
const latencyDurationMs = 5000;
const connections = 32;
/** Requests per second at which the added latency is measured. */
const latencyRate = 200;
const targetCount = 3;
const reportPath = 'reports/request-path.json';

/** What is measured: a target itself, and the targets behind each of the two proxies. */
const subjects = ['direct', 'pass-through', 'instance'] as const;
type Subject = (typeof subjects)[number];
/** One result per round; processor time in microseconds per request. */
type Results = Record<
	Subject,
	{throughput: LoadResult[]; latency: LoadResult[]; processorTime: number[]}
>;

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)]!;
}

const targets = await Promise.all(
	Array.from({length: targetCount}, async () => startRoleProcess('target')),
);
const targetPorts = targets.map(({port}) => String(port));
const passThrough = await startRoleProcess('pass-through', targetPorts);
const instance = await startRoleProcess('instance', targetPorts);
const createLoadEndpoint = (port: number): LoadEndpoint => ({
	port,
	path: '/shifts/today',
	headers: {authorization: `Bearer ${benchKey}`},
});
const loadEndpoints: Readonly<Record<Subject, LoadEndpoint>> = {
	direct: createLoadEndpoint(targets[0]!.port),
	'pass-through': createLoadEndpoint(passThrough.port),
	instance: createLoadEndpoint(instance.port),
};

const subjectProcesses: Readonly<Record<Subject, ChildProcess>> = {
	direct: targets[0]!.childProcess,
	'pass-through': passThrough.childProcess,
	instance: instance.childProcess,
};

// Not measured, because the first requests wait until the instance has adopted its configuration
// and may use its shares of the rates and slots.
const warmUp = {rate: 20, duration: 8000};
const results: Results = {
	direct: {throughput: [], latency: [], processorTime: []},
	'pass-through': {throughput: [], latency: [], processorTime: []},
	instance: {throughput: [], latency: [], processorTime: []},
};
for (const subject of subjects) {
	await runOpenLoop(loadEndpoints[subject], warmUp);
	await runClosedLoop(loadEndpoints[subject], {connections, duration: 1000});
}

for (let round = 0; round < rounds; round++) {
	for (const subject of subjects) {
		const closedLoopOptions = {connections, duration: throughputDurationMs};
		const before = await readResourceUsage(subjectProcesses[subject]);
		const result = await runClosedLoop(loadEndpoints[subject], closedLoopOptions);
		const after = await readResourceUsage(subjectProcesses[subject]);
		results[subject].throughput.push(result);
		results[subject].processorTime.push(
			(after.processorTime - before.processorTime) / result.requests,
		);
		const openLoopOptions = {rate: latencyRate, duration: latencyDurationMs};
		results[subject].latency.push(await runOpenLoop(loadEndpoints[subject], openLoopOptions));
	}
}

const summary = Object.fromEntries(
	subjects.map(subject => {
		const {throughput, latency, processorTime} = results[subject];
		return [
			subject,
			{
				requestsPerSecond: median(throughput.map(result => result.requestsPerSecond)),
				processorMicroseconds: median(processorTime),
				p50: median(latency.map(result => result.latency.p50)),
				p99: median(latency.map(result => result.latency.p99)),
				failures: [...throughput, ...latency].reduce((sum, result) => sum + result.failures, 0),
			},
		];
	}),
) as Record<
	Subject,
	{
		requestsPerSecond: number;
		processorMicroseconds: number;
		p50: number;
		p99: number;
		failures: number;
	}
>;
const throughputRatio =
	summary.instance.requestsPerSecond / summary['pass-through'].requestsPerSecond;
const processorRatio =
	summary['pass-through'].processorMicroseconds / summary.instance.processorMicroseconds;
const addedP99Ms = summary.instance.p99 - summary.direct.p99;
const report = {
	command: 'npm run bench',
	node: process.version,
	rounds,
	connections,
	latencyRate,
	summary,
	throughputRatio,
	processorRatio,
	addedMillisecondsAtP99: addedP99Ms,
};
await mkdir('reports', {recursive: true});
await writeFile(reportPath, `${JSON.stringify(report, undefined, '\t')}\n`);
console.table(summary);
console.log(`instance / pass-through: ${throughputRatio.toFixed(2)} (at least 0.5, goal 0.8)`);
console.log(`the same ratio by processor time per request: ${processorRatio.toFixed(2)}`);
console.log(
	`added latency at p99, ${latencyRate} requests/s: ${addedP99Ms.toFixed(2)} ms (at most 6.5)`,
);
for (const {childProcess: child} of [...targets, passThrough, instance]) {
	child.kill();
}
