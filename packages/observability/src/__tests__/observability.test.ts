/**
 * Guards against secrets in the log, metrics and traces that standard tools cannot read, and wrong
 * status codes of the admin listener.
 */
import {createServer, type IncomingHttpHeaders} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Writable} from 'node:stream';
import {describe, expect, test} from '@jest/globals';
import {transports} from 'winston';
import {createAdminListener} from '../admin-listener.js';
import {createLogger} from '../logger.js';
import {createMetrics} from '../metrics.js';
import {contextFromTraceparent, createTracing} from '../tracing.js';

describe('logger', () => {
	test('the value of a field whose name suggests a secret is not logged', () => {
		const lines: string[] = [];
		const stream = new Writable({
			write(chunk, _encoding, callback) {
				lines.push(String(chunk));
				callback();
			},
		});
		const logger = createLogger({
			format: 'json',
			level: 'info',
			transport: new transports.Stream({stream}),
		});
		logger.info('configuration adopted', {version: 3, apiKey: 'hunter2'});
		expect(lines.join('')).toContain('"version":3');
		expect(lines.join('')).not.toContain('hunter2');
	});
});

describe('metrics', () => {
	test('counters, gauges and quantiles are rendered in the Prometheus text format', async () => {
		const metrics = createMetrics();
		metrics.count('requests', 2, {outcome: 'ok'});
		metrics.count('requests', 1, {outcome: 'refused'});
		metrics.registerGauge('members', 'Members of the view', () => 7);
		for (let milliseconds = 1; milliseconds <= 100; milliseconds++) {
			metrics.recordDuration('request-duration', milliseconds);
		}

		const page = await metrics.render();
		expect(page).toContain('shallotpond_requests_total{outcome="ok"} 2');
		expect(page).toContain('shallotpond_members 7');
		const [, p99] = /request_duration_milliseconds{quantile="0.99"} ([\d.]+)/.exec(page) ?? [];
		expect(Math.abs(Number(p99) - 99)).toBeLessThan(1.5);
		expect(await metrics.total('requests')).toBe(3);
	});
});

describe('tracing', () => {
	test('exported spans carry the trace id of the caller and the id of their parent', async () => {
		const bodies: string[] = [];
		const headers: IncomingHttpHeaders[] = [];
		const collector = createServer((request, response) => {
			const chunks: Uint8Array[] = [];
			request.on('data', (chunk: Uint8Array) => void chunks.push(chunk));
			request.on('end', () => {
				headers.push(request.headers);
				bodies.push(new TextDecoder().decode(chunks.length === 1 ? chunks[0] : undefined));
				response.writeHead(200, {'content-type': 'application/json'}).end('{}');
			});
		});
		await new Promise<void>(resolve => {
			collector.listen(0, '127.0.0.1', resolve);
		});
		const {port} = collector.address() as AddressInfo;
		const tracing = createTracing({
			endpoint: `http://127.0.0.1:${port}/v1/traces`,
			sampleRatio: 0,
			instance: 'test',
		});
		const traceId = '0af7651916cd43dd8448eb211c80319c';
		const traceparent = `00-${traceId}-b7ad6b7169203331-01`;
		const server = tracing.startSpan({name: 'request', kind: 'server', traceparent});
		const attempt = tracing.startSpan({name: 'attempt', kind: 'client', parent: server});
		expect(attempt.traceparent).toMatch(new RegExp(`^00-${traceId}-[0-9a-f]{16}-01$`));
		attempt.end('timeout');
		server.end();
		await tracing.stop();
		collector.close();
		type Exported = {
			resourceSpans: Array<{scopeSpans: Array<{spans: Array<Record<string, unknown>>}>}>;
		};
		const exported = JSON.parse(bodies[0]!) as Exported;
		const {spans} = exported.resourceSpans[0]!.scopeSpans[0]!;
		expect(spans.map(span => [span.name, span.traceId])).toEqual([
			['attempt', traceId],
			['request', traceId],
		]);
		expect(spans[0]!.parentSpanId).toBe(spans[1]!.spanId);
		expect(spans[1]!.parentSpanId).toBe('b7ad6b7169203331');
	});

	test('a malformed traceparent is ignored and a new trace starts', () => {
		const root = contextFromTraceparent(undefined);
		expect(contextFromTraceparent(`00-${'0'.repeat(32)}-b7ad6b7169203331-01`)).toBe(root);
		expect(contextFromTraceparent('00-xyz')).toBe(root);
	});
});

describe('admin listener', () => {
	test('readiness, status, metrics and drain respond, and unknown paths return 404', async () => {
		let drains = 0;
		const listener = createAdminListener({
			host: '127.0.0.1',
			port: 0,
			readiness: () => ({isReady: false, reason: 'no configuration yet'}),
			status: () => ({version: 4}),
			metrics: async () => ({contentType: 'text/plain', body: 'x 1\n'}),
			drain() {
				drains++;
			},
		});
		await listener.start();
		const send = async (path: string, method = 'GET') => {
			const response = await fetch(`http://127.0.0.1:${listener.port}${path}`, {method});
			return {status: response.status, body: await response.text()};
		};

		const ready = await send('/ready');
		expect(ready.status).toBe(503);
		expect(ready.body).toContain('no configuration yet');
		expect(await send('/live')).toMatchObject({status: 200});
		expect(await send('/status')).toEqual({status: 200, body: '{"version":4}\n'});
		expect(await send('/metrics')).toEqual({status: 200, body: 'x 1\n'});
		expect(await send('/drain')).toMatchObject({status: 404});
		expect(await send('/drain', 'POST')).toMatchObject({status: 202});
		expect(await send('/constructor')).toMatchObject({status: 404});
		expect(drains).toBe(1);
		await listener.stop();
	});
});
