/**
 * A target that counts what it runs: each request by its id, with the time of its arrival, and the
 * most requests that were in progress at once. Its answers follow from the request alone, so a test
 * can tell whether an answer is complete and belongs to the request.
 *
 * The path of a request is `/<route>/<workspace>/<id>`. The kind of work is the first part of the
 * id: `quick-…` is answered after a few milliseconds, `hold-…` when the test releases it, and
 * `download-…` is a long body sent in pieces.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

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
	/** Requests in progress at the moment when they were most. */
	readonly peakInFlight: readonly TargetRun[];
	readonly inFlight: number;
	/** Answers every `hold` request, now and from now on. */
	release(): void;
	stop(): Promise<void>;
};

/** Bytes of a download, and of one piece of it. */
const downloadSize = 8 * 1024 * 1024;
const pieceSize = 64 * 1024;
/** Milliseconds between two pieces, so that a download takes longer than the 4 s term of a grant. */
const pieceInterval = 36;
const shortestWork = 10;
const workRange = 40;
const largestFill = 20_000;

/** A number below `range` that is the same for the same text in each run. */
function numberFrom(text: string, range: number): number {
	return createHash('sha256').update(text).digest().readUInt32BE() % range;
}

function downloadPiece(id: string, index: number): Uint8Array {
	return Buffer.alloc(pieceSize, `${id}/${index};`);
}

/** The one right body of the answer to a request. */
export function expectedBody(method: string, path: string, requestBody: string): Uint8Array {
	const id = path.slice(path.lastIndexOf('/') + 1);
	if (id.startsWith('download-')) {
		const pieces = Array.from({length: downloadSize / pieceSize}, (_, index) =>
			downloadPiece(id, index),
		);
		return Buffer.concat(pieces);
	}

	const fill = 'x'.repeat(numberFrom(path, largestFill));
	return Buffer.from(`${method} ${path} ${requestBody} ${fill} end of ${id}`);
}

/** Resolves when the response takes bytes again or its connection is gone. */
async function untilDrained(response: ServerResponse): Promise<void> {
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
	response.writeHead(200, {'content-length': downloadSize});
	for (let index = 0; index < downloadSize / pieceSize && !response.destroyed; index++) {
		const isTaken = response.write(downloadPiece(id, index));
		if (!isTaken) {
			await untilDrained(response);
		}

		await sleep(pieceInterval);
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
	const held = new Set<() => void>();
	let isReleased = false;
	const inFlight = new Set<TargetRun>();
	let mostInFlight: readonly TargetRun[] = [];

	async function work(request: IncomingMessage, response: ServerResponse, runId: string) {
		const body = await readBody(request);
		if (runId.startsWith('download-')) {
			await sendDownload(response, runId);
			return;
		}

		if (runId.startsWith('hold-') && !isReleased) {
			await new Promise<void>(resolve => {
				held.add(resolve);
			});
		} else {
			await sleep(shortestWork + numberFrom(runId, workRange));
		}

		const answer = expectedBody(request.method!, request.url!, body);
		response.writeHead(200, {'content-length': answer.length});
		response.end(answer);
	}

	async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [workspace = '', runId = ''] = request.url!.split('/').slice(2);
		const run = {id: runId, method: request.method!, workspace, arrivedAt: performance.now()};
		runs.push(run);
		inFlight.add(run);
		if (inFlight.size > mostInFlight.length) {
			mostInFlight = [...inFlight];
		}

		// A request is over with the last byte of its answer or with its connection.
		const end = () => {
			inFlight.delete(run);
		};

		response.once('close', end);
		try {
			await work(request, response, runId);
			end();
		} catch {
			// The connection broke while the body arrived; `close` ends the count.
			response.destroy();
		}
	}

	const server = http.createServer((request, response) => {
		void serve(request, response);
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
			return mostInFlight;
		},
		get inFlight() {
			return inFlight.size;
		},
		release() {
			isReleased = true;
			for (const resolve of held) {
				resolve();
			}

			held.clear();
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
