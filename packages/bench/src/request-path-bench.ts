/**
 * `npm run bench`: throughput and added latency of one instance beside a plain pass-through and the
 * targets themselves, interleaved in one run on one machine. Prints a table and writes
 * `reports/request-path.json`. Ratios within a run matter; absolute figures depend on the machine.
 */
import {mkdir, writeFile} from 'node:fs/promises';
import {type ChildProcess} from 'node:child_process';
import process from 'node:process';
import {benchKey, readUsage, startRole} from './bench-role.js';
import {runClosedLoop, runOpenLoop, type LoadResult, type LoadTarget} from './load-generator.js';

const rounds = 5;
const throughputDuration = 3000;
const latencyDuration = 5000;
const connections = 32;
/** Requests per second for which the added latency is stated. */
const latencyRate = 200;
const targetCount = 3;
const reportPath = 'reports/request-path.json';

const subjects = ['direct', 'pass-through', 'instance'] as const;
type Subject = (typeof subjects)[number];
type Results = Record<
	Subject,
	{throughput: LoadResult[]; latency: LoadResult[]; processorTime: number[]}
>;

function median(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)]!;
}

const targets = await Promise.all(
	Array.from({length: targetCount}, async () => startRole('target')),
);
const targetPorts = targets.map(({port}) => String(port));
const passThrough = await startRole('pass-through', targetPorts);
const instance = await startRole('instance', targetPorts);
const target = (port: number): LoadTarget => ({
	port,
	path: '/shifts/today',
	headers: {authorization: `Bearer ${benchKey}`},
});
const loadTargets: Readonly<Record<Subject, LoadTarget>> = {
	direct: target(targets[0]!.port),
	'pass-through': target(passThrough.port),
	instance: target(instance.port),
};

const processes: Readonly<Record<Subject, ChildProcess>> = {
	direct: targets[0]!.process,
	'pass-through': passThrough.process,
	instance: instance.process,
};

// The first requests wait until the instance has adopted its configuration and vested its shares.
const warmUp = {rate: 20, duration: 8000};
const results: Results = {
	direct: {throughput: [], latency: [], processorTime: []},
	'pass-through': {throughput: [], latency: [], processorTime: []},
	instance: {throughput: [], latency: [], processorTime: []},
};
for (const subject of subjects) {
	await runOpenLoop(loadTargets[subject], warmUp);
	await runClosedLoop(loadTargets[subject], {connections, duration: 1000});
}

for (let round = 0; round < rounds; round++) {
	for (const subject of subjects) {
		const throughput = {connections, duration: throughputDuration};
		const before = await readUsage(processes[subject]);
		const result = await runClosedLoop(loadTargets[subject], throughput);
		const after = await readUsage(processes[subject]);
		results[subject].throughput.push(result);
		results[subject].processorTime.push(
			(after.processorTime - before.processorTime) / result.requests,
		);
		const latency = {rate: latencyRate, duration: latencyDuration};
		results[subject].latency.push(await runOpenLoop(loadTargets[subject], latency));
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
const ratio = summary.instance.requestsPerSecond / summary['pass-through'].requestsPerSecond;
const processorRatio =
	summary['pass-through'].processorMicroseconds / summary.instance.processorMicroseconds;
const addedP99 = summary.instance.p99 - summary.direct.p99;
const report = {
	command: 'npm run bench',
	node: process.version,
	rounds,
	connections,
	latencyRate,
	summary,
	throughputRatio: ratio,
	processorRatio,
	addedMillisecondsAtP99: addedP99,
};
await mkdir('reports', {recursive: true});
await writeFile(reportPath, `${JSON.stringify(report, undefined, '\t')}\n`);
console.table(summary);
console.log(`instance / pass-through: ${ratio.toFixed(2)} (at least 0.5, goal 0.8)`);
console.log(`the same by processor time of a request: ${processorRatio.toFixed(2)}`);
console.log(`added at p99, ${latencyRate} requests/s: ${addedP99.toFixed(2)} ms (at most 6.5)`);
for (const {process: child} of [...targets, passThrough, instance]) {
	child.kill();
}
