/**
 * HTTP listener for operators and the platform: `/live`, `/ready`, `/metrics`, `/status` and
 * `POST /drain`. It listens on an address of its own, not on the one for callers. Responses
 * contain no secrets, because the status object contains none.
 */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ObservabilityError} from './observability-error.js';

export type Readiness = {
	readonly isReady: boolean;
	/** `ready`, or why the process is not ready. */
	readonly reason: string;
};

export type AdminListenerOptions = {
	readonly host: string;
	/** 0 selects a free port. */
	readonly port: number;
	readonly readiness: () => Readiness;
	/** Returns a value that can be serialized as JSON. */
	readonly status: () => unknown;
	readonly metrics: () => Promise<{readonly contentType: string; readonly body: string}>;
	/** Starts a graceful shutdown; called once per `POST /drain`. If absent, the path returns 404. */
	readonly drain?: () => void;
	/** Path of the readiness check, `/ready` by default. */
	readonly readyPath?: string;
};

export type AdminListener = {
	/** Rejects with an `ObservabilityError` (`listen-failed`) if the address cannot be bound. */
	start(): Promise<void>;
	stop(): Promise<void>;
	/** The port that was bound; available after `start`. */
	readonly port: number;
};

type HandlerResult = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

const jsonResult = (status: number, value: unknown): HandlerResult => ({
	status,
	contentType: 'application/json',
	body: `${JSON.stringify(value)}\n`,
});

/** Bounds what clients can make the listener hold. Operators and balancers use a few connections. */
const maxConnections = 128;
const serverLimits = {
	maxHeaderSize: 8192,
	headersTimeout: 5000,
	requestTimeout: 5000,
	connectionsCheckingInterval: 1000,
} as const;

export function createAdminListener(options: AdminListenerOptions): AdminListener {
	const {drain, readyPath = '/ready'} = options;
	const handlers: Record<string, () => Promise<HandlerResult> | HandlerResult> = {
		'GET /live': () => jsonResult(200, {status: 'live'}),
		[`GET ${readyPath}`]() {
			const {isReady, reason} = options.readiness();
			return jsonResult(isReady ? 200 : 503, {status: isReady ? 'ready' : 'not-ready', reason});
		},
		'GET /status': () => jsonResult(200, options.status()),
		async 'GET /metrics'() {
			return {status: 200, ...(await options.metrics())};
		},
	};
	if (drain !== undefined) {
		handlers['POST /drain'] = () => {
			drain();
			return jsonResult(202, {status: 'draining'});
		};
	}

	async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (request.url ?? '/').split('?', 1)[0]!;
		const handler = Object.hasOwn(handlers, `${request.method} ${path}`)
			? handlers[`${request.method} ${path}`]
			: undefined;
		const result =
			handler === undefined ? jsonResult(404, {error: 'no such page'}) : await handler();
		response.writeHead(result.status, {
			'content-type': result.contentType,
			'content-length': String(new TextEncoder().encode(result.body).byteLength),
			'cache-control': 'no-store',
		});
		response.end(result.body);
	}

	async function handleSafely(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await handleRequest(request, response);
		} catch {
			response.destroy();
		}
	}

	const server: Server = createServer(serverLimits, (request, response) => {
		request.resume();
		void handleSafely(request, response);
	});
	server.maxConnections = maxConnections;

	return {
		async start() {
			await new Promise<void>((resolve, reject) => {
				server.once('error', error => {
					const endpoint = `${options.host}:${options.port}`;
					const message = `cannot listen on ${endpoint} for the admin listener`;
					reject(new ObservabilityError('listen-failed', message, {cause: error}));
				});
				server.listen(options.port, options.host, resolve);
			});
		},
		async stop() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		},
		get port() {
			return (server.address() as AddressInfo).port;
		},
	};
}
