/**
 * Generates two kinds of load over keep-alive connections: closed-loop load measures throughput, as
 * each connection sends its next request when the last one has ended; open-loop load measures
 * latency, as requests start at a fixed rate regardless of responses.
 */
import {Agent, request as sendRequest} from 'node:http';
import {build, type Histogram} from 'hdr-histogram-js';

export type LoadEndpoint = {
	readonly port: number;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
};

export type LoadResult = {
	readonly requests: number;
	/** Responses other than 200, and failed connections. */
	readonly failures: number;
	readonly requestsPerSecond: number;
	/** Percentiles in milliseconds. */
	readonly latency: {readonly p50: number; readonly p99: number; readonly p999: number};
};

const microsecondsPerMillisecond = 1000;

/** Resolves with whether the response was a complete 200. */
async function sendLoadRequest(endpoint: LoadEndpoint, agent: Agent): Promise<boolean> {
	return new Promise(resolve => {
		const request = sendRequest(
			{
				host: '127.0.0.1',
				port: endpoint.port,
				path: endpoint.path,
				headers: endpoint.headers,
				agent,
			},
			response => {
				response.resume();
				response.once('end', () => {
					resolve(response.statusCode === 200);
				});
				response.once('error', () => {
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

/** Measurements so far; the histogram holds latencies in microseconds. */
type LoadRecord = {readonly histogram: Histogram; requests: number; failures: number};

function createRecord(): LoadRecord {
	const histogram = build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: 60_000 * microsecondsPerMillisecond,
		numberOfSignificantValueDigits: 3,
	});
	return {histogram, requests: 0, failures: 0};
}

async function measureRequest(
	endpoint: LoadEndpoint,
	agent: Agent,
	record: LoadRecord,
	startedAt: number,
) {
	const isSuccess = await sendLoadRequest(endpoint, agent);
	record.requests++;
	record.failures += isSuccess ? 0 : 1;
	const elapsed = Math.round((performance.now() - startedAt) * microsecondsPerMillisecond);
	record.histogram.recordValue(Math.max(1, elapsed));
}

function summarize(record: LoadRecord, seconds: number): LoadResult {
	const percentileMs = (percentile: number) =>
		record.histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
	return {
		requests: record.requests,
		failures: record.failures,
		requestsPerSecond: record.requests / seconds,
		latency: {p50: percentileMs(50), p99: percentileMs(99), p999: percentileMs(99.9)},
	};
}

/** Runs closed-loop load for `duration` milliseconds. */
export async function runClosedLoop(
	endpoint: LoadEndpoint,
	options: {readonly connections: number; readonly duration: number},
): Promise<LoadResult> {
	const agent = new Agent({keepAlive: true, maxSockets: options.connections});
	const record = createRecord();
	const startedAt = performance.now();
	const endsAt = startedAt + options.duration;
	await Promise.all(
		Array.from({length: options.connections}, async () => {
			while (performance.now() < endsAt) {
				await measureRequest(endpoint, agent, record, performance.now());
			}
		}),
	);
	agent.destroy();
	return summarize(record, (performance.now() - startedAt) / 1000);
}

/**
 * Runs open-loop load of `rate` requests per second for `duration` milliseconds. Latency counts from
 * the planned start of a request, or from its actual start if that is later.
 */
export async function runOpenLoop(
	endpoint: LoadEndpoint,
	options: {readonly rate: number; readonly duration: number},
): Promise<LoadResult> {
	const agent = new Agent({keepAlive: true});
	const record = createRecord();
	const interval = 1000 / options.rate;
	const startedAt = performance.now();
	const pendingRequests: Array<Promise<void>> = [];
	for (let plannedAt = startedAt; plannedAt < startedAt + options.duration; plannedAt += interval) {
		const delay = plannedAt - performance.now();
		if (delay > 0) {
			// eslint-disable-next-line no-promise-executor-return
			await new Promise(resolve => setTimeout(resolve, delay));
		}

		// Timers fire up to 1 ms late, which must not count as latency of the proxy.
		pendingRequests.push(
			measureRequest(endpoint, agent, record, Math.max(plannedAt, performance.now())),
		);
	}

	await Promise.all(pendingRequests);
	agent.destroy();
	return summarize(record, (performance.now() - startedAt) / 1000);
}
