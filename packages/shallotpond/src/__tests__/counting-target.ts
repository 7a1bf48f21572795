/**
 * A target that records each request that it runs, with its id and time of arrival, and the largest
 * set of requests that were in progress at once. Its responses depend on the request alone, so a
 * test can tell whether a response is complete and belongs to its request.
 *
 * The path of a request is `/<route>/<workspace>/<id>`. The prefix of the id determines the
 * response: `quick-…` gets one after a few milliseconds, `hold-…` when the test releases it, and
 * `download-…` gets a long body in chunks.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** One execution of a request by the target. */
export type TargetRun = {
	readonly id: string;
	readonly method: string;
	readonly workspace: string;
	/** Milliseconds of `performance.now()`. */
	readonly arrivedAt: number;
};

export type CountingTarget = {
	readonly id: string;
	readonly failureDomain: string;
	/** `ip:port`. */
	readonly address: string;
	/** In the order of arrival. */
	readonly runs: readonly TargetRun[];
	/** The largest set of requests that were in progress at once. */
	readonly peakInFlight: readonly TargetRun[];
	readonly inFlight: number;
	/** Responds to all `hold` requests, including those that arrive later. */
	release(): void;
	stop(): Promise<void>;
};

/** Sizes of a download and of one of its chunks. */
const downloadBytes = 8 * 1024 * 1024;
const chunkBytes = 64 * 1024;
/**
 * Interval between two chunks. Makes a download last longer than a slot grant, which ends after 4 s
 * unless renewed.
 */
const chunkIntervalMs = 36;
/** A `quick` response takes at least `minWorkMs` and less than `minWorkMs + workRangeMs`. */
const minWorkMs = 10;
const workRangeMs = 40;
/** Responses other than downloads contain padding that is shorter than this. */
const paddingRangeBytes = 20_000;

/** Returns an integer of at least 0 and less than `range` that depends on the text alone. */
function hashToNumber(text: string, range: number): number {
	return createHash('sha256').update(text).digest().readUInt32BE() % range;
}

function downloadChunk(id: string, index: number): Uint8Array {
	return Buffer.alloc(chunkBytes, `${id}/${index};`);
}

/** Returns the only correct body of the response to a request. */
export function expectedBody(method: string, path: string, requestBody: string): Uint8Array {
	const id = path.slice(path.lastIndexOf('/') + 1);
	if (id.startsWith('download-')) {
		const chunks = Array.from({length: downloadBytes / chunkBytes}, (_, index) =>
			downloadChunk(id, index),
		);
		return Buffer.concat(chunks);
	}

	const padding = 'x'.repeat(hashToNumber(path, paddingRangeBytes));
	return Buffer.from(`${method} ${path} ${requestBody} ${padding} end of ${id}`);
}

/** Resolves when the response accepts bytes again or its connection is closed. */
async function waitForDrain(response: ServerResponse): Promise<void> {
	await new Promise<void>(resolve => {
		const finish = () => {
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.once('drain', finish);
		response.once('close', finish);
	});
}

async function sendDownload(response: ServerResponse, id: string): Promise<void> {
	response.writeHead(200, {'content-length': downloadBytes});
	for (let index = 0; index < downloadBytes / chunkBytes && !response.destroyed; index++) {
		const hasBufferSpace = response.write(downloadChunk(id, index));
		if (!hasBufferSpace) {
			await waitForDrain(response);
		}

		await sleep(chunkIntervalMs);
	}

	response.end();
}

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Resolves when the target listens on a free port of 127.0.0.1. */
export async function startCountingTarget(
	id: string,
	failureDomain: string,
): Promise<CountingTarget> {
	const runs: TargetRun[] = [];
	const heldRequests = new Set<() => void>();
	let isReleased = false;
	const inFlight = new Set<TargetRun>();
	let peakInFlight: readonly TargetRun[] = [];

	async function respond(request: IncomingMessage, response: ServerResponse, runId: string) {
		const requestBody = await readBody(request);
		if (runId.startsWith('download-')) {
			await sendDownload(response, runId);
			return;
		}

		if (runId.startsWith('hold-') && !isReleased) {
			await new Promise<void>(resolve => {
				heldRequests.add(resolve);
			});
		} else {
			await sleep(minWorkMs + hashToNumber(runId, workRangeMs));
		}

		const responseBody = expectedBody(request.method!, request.url!, requestBody);
		response.writeHead(200, {'content-length': responseBody.length});
		response.end(responseBody);
	}

	async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [workspace = '', runId = ''] = request.url!.split('/').slice(2);
		const run = {id: runId, method: request.method!, workspace, arrivedAt: performance.now()};
		runs.push(run);
		inFlight.add(run);
		if (inFlight.size > peakInFlight.length) {
			peakInFlight = [...inFlight];
		}

		// A request ends with the last byte of its response or with its connection.
		const markEnded = () => {
			inFlight.delete(run);
		};

		response.once('close', markEnded);
		try {
			await respond(request, response, runId);
			markEnded();
		} catch {
			// The connection broke while the body arrived; the listener of `close` marks the end.
			response.destroy();
		}
	}

	const server = http.createServer((request, response) => {
		void handleRequest(request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});

	return {
		id,
		failureDomain,
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		runs,
		get peakInFlight() {
			return peakInFlight;
		},
		get inFlight() {
			return inFlight.size;
		},
		release() {
			isReleased = true;
			for (const resolve of heldRequests) {
				resolve();
			}

			heldRequests.clear();
		},
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
	};
}
