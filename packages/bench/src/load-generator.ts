/**
 * Two kinds of load over keep-alive connections: closed-loop, in which each connection sends its
 * next request when the last one was answered, for throughput; and open-loop, in which requests
 * arrive at a fixed rate whatever happens, for latency.
 */
import {Agent, request as sendRequest} from 'node:http';
import {build, type Histogram} from 'hdr-histogram-js';

export type LoadTarget = {
	readonly port: number;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
};

export type LoadResult = {
	readonly requests: number;
	/** Answers other than 200, and failed connections. */
	readonly failures: number;
	readonly requestsPerSecond: number;
	/** Milliseconds. */
	readonly latency: {readonly p50: number; readonly p99: number; readonly p999: number};
};

const microseconds = 1000;

async function sendOne(target: LoadTarget, agent: Agent): Promise<boolean> {
	return new Promise(resolve => {
		const request = sendRequest(
			{host: '127.0.0.1', port: target.port, path: target.path, headers: target.headers, agent},
			answer => {
				answer.resume();
				answer.once('end', () => {
					resolve(answer.statusCode === 200);
				});
				answer.once('error', () => {
					resolve(false);
				});
			},
		);
		request.once('error', () => {
			resolve(false);
		});
		request.end();
	});
}

type Tally = {readonly histogram: Histogram; requests: number; failures: number};

function createTally(): Tally {
	const histogram = build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000 * microseconds,
		numberOfSignificantValueDigits: 3,
	});
	return {histogram, requests: 0, failures: 0};
}

async function measureOne(target: LoadTarget, agent: Agent, tally: Tally, start: number) {
	const isOk = await sendOne(target, agent);
	tally.requests++;
	tally.failures += isOk ? 0 : 1;
	const elapsed = Math.round((performance.now() - start) * microseconds);
	tally.histogram.recordValue(Math.max(1, elapsed));
}

function summarise(tally: Tally, seconds: number): LoadResult {
	const at = (percentile: number) =>
		tally.histogram.getValueAtPercentile(percentile) / microseconds;
	return {
		requests: tally.requests,
		failures: tally.failures,
		requestsPerSecond: tally.requests / seconds,
		latency: {p50: at(50), p99: at(99), p999: at(99.9)},
	};
}

/** `duration` in milliseconds. */
export async function runClosedLoop(
	target: LoadTarget,
	options: {readonly connections: number; readonly duration: number},
): Promise<LoadResult> {
	const agent = new Agent({keepAlive: true, maxSockets: options.connections});
	const tally = createTally();
	const begin = performance.now();
	const end = begin + options.duration;
	await Promise.all(
		Array.from({length: options.connections}, async () => {
			while (performance.now() < end) {
				await measureOne(target, agent, tally, performance.now());
			}
		}),
	);
	agent.destroy();
	return summarise(tally, (performance.now() - begin) / 1000);
}

/** `rate` in requests per second, `duration` in milliseconds. Latency counts from the planned time. */
export async function runOpenLoop(
	target: LoadTarget,
	options: {readonly rate: number; readonly duration: number},
): Promise<LoadResult> {
	const agent = new Agent({keepAlive: true});
	const tally = createTally();
	const interval = 1000 / options.rate;
	const begin = performance.now();
	const running: Array<Promise<void>> = [];
	for (let planned = begin; planned < begin + options.duration; planned += interval) {
		const delay = planned - performance.now();
		if (delay > 0) {
			// eslint-disable-next-line no-promise-executor-return
			await new Promise(resolve => setTimeout(resolve, delay));
		}

		// Timers fire up to 1 ms late; that belongs to this process and not to the proxy.
		running.push(measureOne(target, agent, tally, Math.max(planned, performance.now())));
	}

	await Promise.all(running);
	agent.destroy();
	return summarise(tally, (performance.now() - begin) / 1000);
}
