/**
 * Guards against unbounded memory use: if the proxy does not pass back-pressure on, a body whose
 * receiver is slower than its sender accumulates in memory.
 */
import http from 'node:http';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {afterEach, expect, test} from '@jest/globals';
import {createFixture, key, waitUntil, type Fixture} from './support.js';

let fixture: Fixture;

afterEach(async () => {
	await fixture.stop();
});

const mebibyte = 1_048_576;

test('a download of 200 MB grows the heap and its buffers by less than 32 MiB', async () => {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	const size = 200_000_000;
	fixture = await createFixture({targets: 1});
	fixture.target.setBehaviour({kind: 'file', size});
	const measureUsedBytes = () => {
		// Buffers are freed in the background; a second collection waits for the first.
		collectGarbage();
		collectGarbage();
		const {heapUsed, arrayBuffers} = process.memoryUsage();
		return heapUsed + arrayBuffers;
	};

	const before = measureUsedBytes();
	let largestGrowth = 0;
	let bytes = 0;
	let nextSample = 0;
	await new Promise<void>((resolve, reject) => {
		const options = {host: '127.0.0.1', port: fixture.listener.port, agent: false as const};
		http
			.get({...options, headers: {'x-api-key': key}}, response => {
				response.on('data', (chunk: Uint8Array) => {
					bytes += chunk.length;
					if (bytes >= nextSample) {
						nextSample += 10_000_000;
						largestGrowth = Math.max(largestGrowth, measureUsedBytes() - before);
					}
				});
				response.on('end', resolve).on('error', reject);
			})
			.on('error', reject);
	});
	expect(bytes).toBe(size);
	console.info(`largest growth ${(largestGrowth / mebibyte).toFixed(1)} MiB`);
	expect(largestGrowth).toBeLessThan(32 * mebibyte);
});

test('a caller that reads nothing stops the target, so that no response accumulates in memory', async () => {
	fixture = await createFixture({targets: 1});
	const size = 200_000_000;
	fixture.target.setBehaviour({kind: 'file', size});
	const request = http.get({
		host: '127.0.0.1',
		port: fixture.listener.port,
		agent: false,
		headers: {'x-api-key': key},
	});
	request.on('error', () => undefined);
	request.on('response', response => {
		response.on('error', () => undefined).pause();
	});
	await waitUntil(() => fixture.received().length === 1);
	const {socket} = fixture.received()[0]!;
	const countWrittenBytes = () => socket.bytesWritten;
	let last = -1;
	let quietRounds = 0;
	await waitUntil(() => {
		quietRounds = countWrittenBytes() === last ? quietRounds + 1 : 0;
		last = countWrittenBytes();
		return quietRounds > 50;
	});
	expect(last).toBeLessThan(size / 4);
	request.destroy();
	await waitUntil(() => fixture.state.outcomes.length === 1);
});

test('a target that reads nothing stops the caller, so that no upload accumulates in memory', async () => {
	fixture = await createFixture({
		targets: 1,
		routes: [
			{
				id: 'main',
				pathPrefix: '/',
				service: 'roster',
				timeout: 600_000,
				largestRequestBody: 1_000_000_000,
			},
		],
	});
	const request = http.request({
		host: '127.0.0.1',
		port: fixture.listener.port,
		agent: false,
		method: 'POST',
		headers: {'x-api-key': key},
	});
	request.on('error', () => undefined);
	fixture.target.pauseReading();
	const writeMore = () => {
		while (request.write('x'.repeat(65_536))) {
			// Continues until all buffers on the way to the target are full.
		}
	};

	request.on('drain', writeMore);
	writeMore();
	await waitUntil(() => fixture.received().length === 1);
	let last = -1;
	let quietRounds = 0;
	await waitUntil(() => {
		const sent = request.socket!.bytesWritten;
		quietRounds = sent === last ? quietRounds + 1 : 0;
		last = sent;
		return quietRounds > 50;
	});
	expect(last).toBeLessThan(50_000_000);
	request.destroy();
	// Nothing is read from the caller while the buffers are full, so the deadline ends the request.
	fixture.clock.advance(600_000);
	await waitUntil(() => fixture.state.outcomes.length === 1);
});
