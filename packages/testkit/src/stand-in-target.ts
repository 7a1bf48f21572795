/**
 * A target for tests, on a real socket. Echoes each request as JSON, or behaves as the test says,
 * and keeps everything that it received, so that a test can look for what must not arrive.
 */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import https from 'node:https';
import {type AddressInfo, type Socket} from 'node:net';

export type TargetBehaviour =
	/** Answers 200 with method, path, headers, trailers and body as JSON. */
	| {readonly kind: 'echo'}
	/** Answers with the given parts. */
	| {
			readonly kind: 'answer';
			readonly status?: number;
			readonly headers?: Readonly<Record<string, string>>;
			readonly body?: string;
	  }
	/** Reads the request and never answers. */
	| {readonly kind: 'stall'}
	/** Destroys the connection when the request has arrived. */
	| {readonly kind: 'crash'}
	/** Refuses because of load, without running the request. */
	| {readonly kind: 'shed'}
	/** Answers 200 with an empty body. */
	| {readonly kind: 'blank'}
	/** Writes these bytes to the connection as they are; then closes it where `ends` is set. */
	| {readonly kind: 'raw'; readonly bytes: string; readonly ends?: boolean}
	/** Writes `head` and then `piece` again and again until the connection closes. */
	| {readonly kind: 'endless'; readonly head: string; readonly piece: string}
	/** Waits until `release` of the target is called, then echoes. */
	| {readonly kind: 'wait'}
	/** A big file of repeated bytes with `ETag` and `Range`. */
	| {
			readonly kind: 'file';
			/** Bytes. */
			readonly size: number;
			readonly etag?: string;
			/** Sends so many bytes and then nothing more, or breaks the connection. */
			readonly stopAfter?: number;
			readonly stopWith?: 'stall' | 'cut';
			/** Sent as 206 in place of the right range. */
			readonly wrongRange?: string;
			/** Whether the body is sent in chunks without a length. */
			readonly isChunked?: boolean;
	  };

export type ReceivedTargetRequest = {
	readonly method: string;
	readonly url: string;
	/** Names and values by turns. */
	readonly rawHeaders: readonly string[];
	rawTrailers: readonly string[];
	/** Latin-1 text; complete when `isComplete`. */
	body: string;
	isComplete: boolean;
	isAborted: boolean;
	/** The connection that carried it. */
	readonly socket: Socket;
};

export type StandInTarget = {
	/** `ip:port`; empty before `start`. */
	readonly address: string;
	readonly requests: readonly ReceivedTargetRequest[];
	/** Connections accepted so far. */
	readonly connections: number;
	/** Connections open now. */
	readonly openConnections: number;
	/** For all following requests. */
	behave(behaviour: TargetBehaviour): void;
	/** For the next requests, one each; then the lasting behaviour applies again. */
	behaveOnce(...behaviours: TargetBehaviour[]): void;
	/** Leaves the bodies of all following requests unread. */
	pauseReading(): void;
	/** Ends every `wait`. */
	release(): void;
	/** Everything received, as one text, to search for a secret. */
	everything(): string;
	start(): Promise<void>;
	stop(): Promise<void>;
};

export type StandInTargetOptions = {
	/** PEM of key and certificate; plain HTTP without. */
	readonly tls?: {readonly key: string; readonly cert: string};
};

/** The byte at an offset of the big file. Every offset within a period differs from the next. */
const filePeriod = 251;
const filePiece = Buffer.from(
	Array.from({length: filePeriod * 260}, (_, index) => index % filePeriod),
);

/** The bytes from `first` on, at most 64 KiB. */
export function readFilePiece(first: number, length: number): Uint8Array {
	const offset = first % filePeriod;
	return filePiece.subarray(offset, offset + Math.min(length, 65_000));
}

function parseFirst(range: string | undefined): number {
	return Number(/^bytes=(?<first>\d+)-$/.exec(range ?? '')?.groups?.first ?? 0);
}

/** Bytes of one write of an endless answer. */
const endlessWrite = 16_384;

type FileBehaviour = Extract<TargetBehaviour, {kind: 'file'}>;

function sendFile(request: IncomingMessage, response: ServerResponse, file: FileBehaviour): void {
	const {size, etag = '"file"', isChunked = false} = file;
	const isResumed = request.headers['if-range'] === etag;
	const first = isResumed ? parseFirst(request.headers.range) : 0;
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
			// An orderly end of the connection delivers what was written before it.
			request.socket.end();
		}
	}

	sendMore();
}

export function createStandInTarget(options: StandInTargetOptions = {}): StandInTarget {
	const requests: ReceivedTargetRequest[] = [];
	const sockets = new Set<Socket>();
	const next: TargetBehaviour[] = [];
	let waiting: Array<() => void> = [];
	let lasting: TargetBehaviour = {kind: 'echo'};
	let connections = 0;
	let address = '';
	let isReading = true;

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
		[Kind in TargetBehaviour['kind']]: (
			behaviour: Extract<TargetBehaviour, {kind: Kind}>,
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
			// Never answers.
		},
		crash(_behaviour, {request}) {
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
		raw({bytes, ends}, {request}) {
			request.socket.write(bytes, 'latin1');
			if (ends === true) {
				request.socket.end();
			}
		},
		endless({head, piece}, {request: {socket}}) {
			socket.write(head, 'latin1');
			const pieces = Buffer.from(piece.repeat(Math.ceil(endlessWrite / piece.length)), 'latin1');
			function go(): void {
				while (!socket.destroyed && socket.write(pieces)) {
					// Goes on until the connection takes no more for now.
				}
			}

			socket.on('drain', go);
			go();
		},
		wait(_behaviour, {received, response}) {
			waiting.push(() => {
				echo(received, response);
			});
		},
		file(behaviour, {request, response}) {
			sendFile(request, response, behaviour);
		},
	};

	function run(behaviour: TargetBehaviour, exchange: Exchange): void {
		(handlers[behaviour.kind] as (behaviour: TargetBehaviour, exchange: Exchange) => void)(
			behaviour,
			exchange,
		);
	}

	function receive(request: IncomingMessage, response: ServerResponse): void {
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
			run(next.shift() ?? lasting, {request, response, received});
		});
	}

	const server =
		options.tls === undefined
			? http.createServer(receive)
			: https.createServer(options.tls, receive);
	// Tests count idle connections; none may close because of the time that a test takes.
	server.keepAliveTimeout = 3_600_000;
	server.on('connection', (socket: Socket) => {
		connections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
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
		behave(behaviour) {
			lasting = behaviour;
		},
		behaveOnce(...behaviours) {
			next.push(...behaviours);
		},
		pauseReading() {
			isReading = false;
		},
		release() {
			for (const callback of waiting.splice(0)) {
				callback();
			}

			waiting = [];
		},
		everything: () =>
			requests
				.map(({method, url, rawHeaders, rawTrailers, body}) =>
					[method, url, ...rawHeaders, ...rawTrailers, body].join('\n'),
				)
				.join('\n'),
		async start() {
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
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
