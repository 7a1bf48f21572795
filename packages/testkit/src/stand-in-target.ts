/**
 * Fake target for tests that listens on a real socket. It echoes each request as JSON or behaves as
 * the test specifies, and records everything it receives, so that a test can search for data that
 * must not reach a target.
 */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import https from 'node:https';
import {type AddressInfo, type Socket} from 'node:net';

export type StandInTargetBehaviour =
	/** Responds 200 with method, path, headers, trailers and body of the request as JSON. */
	| {readonly kind: 'echo'}
	/** Sends the given response. */
	| {
			readonly kind: 'answer';
			readonly status?: number;
			readonly headers?: Readonly<Record<string, string>>;
			readonly body?: string;
	  }
	/** Reads the request and never responds. */
	| {readonly kind: 'stall'}
	/** Ends like a process: destroys all connections and refuses new ones until `start`. */
	| {readonly kind: 'crash'}
	/** Destroys the connection after the request has arrived, and runs on. */
	| {readonly kind: 'reset'}
	/** Sheds load: responds 503 without running the request. */
	| {readonly kind: 'shed'}
	/** Responds 200 with an empty body. */
	| {readonly kind: 'blank'}
	/**
	 * Writes `bytes` to the connection as Latin-1 text, and then closes it if `ends` is true. With
	 * `crashes`, the target ends, too, and refuses new connections until `start`.
	 */
	| {
			readonly kind: 'raw';
			readonly bytes: string;
			readonly ends?: boolean;
			readonly crashes?: boolean;
	  }
	/** Writes `head` and then repeats `piece` until the connection closes. */
	| {readonly kind: 'endless'; readonly head: string; readonly piece: string}
	/** Echoes the request once `releaseWaitingRequests` is called. */
	| {readonly kind: 'wait'}
	/** Serves a large file with support for `ETag` and `Range`. */
	| {
			readonly kind: 'file';
			/** Bytes. */
			readonly size: number;
			readonly etag?: string;
			/** Number of bytes of each response after which it stops. */
			readonly stopAfter?: number;
			/** Whether a response that stops leaves the connection open or ends it. Default: `stall`. */
			readonly stopWith?: 'stall' | 'cut';
			/** Incorrect `Content-Range` to send with status 206. */
			readonly wrongRange?: string;
			/** Whether to send the body with chunked encoding instead of a `Content-Length`. */
			readonly isChunked?: boolean;
	  };

export type ReceivedTargetRequest = {
	readonly method: string;
	readonly url: string;
	/** Alternating names and values. */
	readonly rawHeaders: readonly string[];
	rawTrailers: readonly string[];
	/** Body received so far, as Latin-1 text. */
	body: string;
	/** Whether the whole request has arrived. */
	isComplete: boolean;
	/** Whether the connection closed before the response was complete. */
	isAborted: boolean;
	/** Connection on which the request arrived. */
	readonly socket: Socket;
};

export type StandInTarget = {
	/** `ip:port`; empty before `start`. */
	readonly address: string;
	readonly requests: readonly ReceivedTargetRequest[];
	/** Number of connections accepted so far. */
	readonly connections: number;
	/** Number of connections that are open now. */
	readonly openConnections: number;
	/** Sets the behaviour for all further requests. */
	setBehaviour(behaviour: StandInTargetBehaviour): void;
	/**
	 * Queues a behaviour for each of the next requests, after which the one from `setBehaviour`
	 * applies again.
	 */
	queueBehaviours(...behaviours: StandInTargetBehaviour[]): void;
	/** Stops reading the bodies of further requests. */
	pauseReading(): void;
	/** Ends like a process; see the behaviour `crash`. */
	crash(): void;
	/** Closes each further connection as soon as it is accepted. */
	refuseConnections(): void;
	/** Sends the responses of all requests that wait because of the behaviour `wait`. */
	releaseWaitingRequests(): void;
	/** Returns all data received as one text, in which a test can search for a secret. */
	receivedText(): string;
	/** Starts to listen; after a crash, on the same port as before. */
	start(): Promise<void>;
	stop(): Promise<void>;
};

export type StandInTargetOptions = {
	/** PEM of the key and the certificate. If absent, the target uses plain HTTP. */
	readonly tls?: {readonly key: string; readonly cert: string};
};

/**
 * Bytes after which the content of the large file repeats. All bytes within a period are different,
 * so that a wrong offset is detected.
 */
const filePeriodBytes = 251;
const filePiece = Buffer.from(
	Array.from({length: filePeriodBytes * 260}, (_, index) => index % filePeriodBytes),
);

/** Returns up to `length` bytes of the large file from offset `first`, but at most 65,000. */
export function readFilePiece(first: number, length: number): Uint8Array {
	const offset = first % filePeriodBytes;
	return filePiece.subarray(offset, offset + Math.min(length, 65_000));
}

function parseRangeStart(range: string | undefined): number {
	return Number(/^bytes=(?<first>\d+)-$/.exec(range ?? '')?.groups?.first ?? 0);
}

/** Minimum size of one write of an endless response. */
const minEndlessWriteBytes = 16_384;

type FileBehaviour = Extract<StandInTargetBehaviour, {kind: 'file'}>;

function sendFile(request: IncomingMessage, response: ServerResponse, file: FileBehaviour): void {
	const {size, etag = '"file"', isChunked = false} = file;
	const isResumed = request.headers['if-range'] === etag;
	const first = isResumed ? parseRangeStart(request.headers.range) : 0;
	const headers: Record<string, string> = {etag, 'content-type': 'application/octet-stream'};
	if (!isChunked) {
		headers['content-length'] = String(size - first);
	}

	if (first > 0) {
		headers['content-range'] = file.wrongRange ?? `bytes ${first}-${size - 1}/${size}`;
	}

	response.writeHead(first > 0 ? 206 : 200, headers);
	let position = first;
	const end = Math.min(size, first + (file.stopAfter ?? size));

	function sendMore(): void {
		while (position < end) {
			const piece = readFilePiece(position, end - position);
			position += piece.length;
			if (!response.write(piece)) {
				response.once('drain', sendMore);
				return;
			}
		}

		if (end === size) {
			response.end();
		} else if (file.stopWith === 'cut') {
			// An orderly close, unlike a reset, delivers the bytes that were written before.
			request.socket.end();
		}
	}

	sendMore();
}

export function createStandInTarget(options: StandInTargetOptions = {}): StandInTarget {
	const requests: ReceivedTargetRequest[] = [];
	const sockets = new Set<Socket>();
	const queuedBehaviours: StandInTargetBehaviour[] = [];
	let waitingResponses: Array<() => void> = [];
	let defaultBehaviour: StandInTargetBehaviour = {kind: 'echo'};
	let connections = 0;
	let address = '';
	let isReading = true;
	let isRefusing = false;

	function echo(request: ReceivedTargetRequest, response: ServerResponse): void {
		const {method, url, rawHeaders, rawTrailers, body} = request;
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({method, url, rawHeaders, rawTrailers, body}));
	}

	type Exchange = {
		readonly request: IncomingMessage;
		readonly response: ServerResponse;
		readonly received: ReceivedTargetRequest;
	};

	const handlers: {
		[Kind in StandInTargetBehaviour['kind']]: (
			behaviour: Extract<StandInTargetBehaviour, {kind: Kind}>,
			exchange: Exchange,
		) => void;
	} = {
		echo(_behaviour, {received, response}) {
			echo(received, response);
		},
		answer({status = 200, headers = {}, body = ''}, {response}) {
			response.writeHead(status, headers);
			response.end(body);
		},
		stall() {
			// Sends no response.
		},
		crash() {
			crash();
		},
		reset(_behaviour, {request}) {
			request.socket.destroy();
		},
		shed(_behaviour, {response}) {
			response.writeHead(503, {'retry-after': '1', 'x-shed': 'not-run'});
			response.end();
		},
		blank(_behaviour, {response}) {
			response.writeHead(200, {'content-length': '0'});
			response.end();
		},
		raw({bytes, ends, crashes}, {request}) {
			request.socket.write(bytes, 'latin1');
			if (ends === true) {
				request.socket.end();
			}

			if (crashes === true) {
				server.close();
			}
		},
		endless({head, piece}, {request: {socket}}) {
			socket.write(head, 'latin1');
			const pieces = Buffer.from(
				piece.repeat(Math.ceil(minEndlessWriteBytes / piece.length)),
				'latin1',
			);
			function writeUntilFull(): void {
				while (!socket.destroyed && socket.write(pieces)) {
					// Continues until the write buffer is full.
				}
			}

			socket.on('drain', writeUntilFull);
			writeUntilFull();
		},
		wait(_behaviour, {received, response}) {
			waitingResponses.push(() => {
				echo(received, response);
			});
		},
		file(behaviour, {request, response}) {
			sendFile(request, response, behaviour);
		},
	};

	function crash(): void {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	}

	function runBehaviour(behaviour: StandInTargetBehaviour, exchange: Exchange): void {
		(handlers[behaviour.kind] as (behaviour: StandInTargetBehaviour, exchange: Exchange) => void)(
			behaviour,
			exchange,
		);
	}

	function handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const received: ReceivedTargetRequest = {
			method: request.method!,
			url: request.url!,
			rawHeaders: request.rawHeaders,
			rawTrailers: [],
			body: '',
			isComplete: false,
			isAborted: false,
			socket: request.socket,
		};
		requests.push(received);
		response.on('close', () => {
			received.isAborted = !response.writableFinished;
		});
		if (!isReading) {
			return;
		}

		request.setEncoding('latin1');
		request.on('data', (text: string) => {
			received.body += text;
		});
		request.on('error', () => undefined);
		request.on('end', () => {
			received.rawTrailers = request.rawTrailers;
			received.isComplete = true;
			runBehaviour(queuedBehaviours.shift() ?? defaultBehaviour, {request, response, received});
		});
	}

	const server =
		options.tls === undefined
			? http.createServer(handleRequest)
			: https.createServer(options.tls, handleRequest);
	// Tests count idle connections, so none may be closed because of the duration of a test.
	server.keepAliveTimeout = 3_600_000;
	server.on('connection', (socket: Socket) => {
		connections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		if (isRefusing) {
			socket.destroy();
		}
	});

	return {
		get address() {
			return address;
		},
		requests,
		get connections() {
			return connections;
		},
		get openConnections() {
			return sockets.size;
		},
		setBehaviour(behaviour) {
			defaultBehaviour = behaviour;
		},
		queueBehaviours(...behaviours) {
			queuedBehaviours.push(...behaviours);
		},
		pauseReading() {
			isReading = false;
		},
		crash,
		refuseConnections() {
			isRefusing = true;
		},
		releaseWaitingRequests() {
			for (const callback of waitingResponses.splice(0)) {
				callback();
			}

			waitingResponses = [];
		},
		receivedText: () =>
			requests
				.map(({method, url, rawHeaders, rawTrailers, body}) =>
					[method, url, ...rawHeaders, ...rawTrailers, body].join('\n'),
				)
				.join('\n'),
		async start() {
			const port = address === '' ? 0 : Number(address.split(':')[1]);
			await new Promise<void>(resolve => {
				server.listen(port, '127.0.0.1', resolve);
			});
			address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
		},
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
				for (const socket of sockets) {
					socket.destroy();
				}
			});
		},
	};
}
