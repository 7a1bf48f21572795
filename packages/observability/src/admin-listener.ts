/**
 * The listener for operators and the platform: `/live`, `/ready`, `/metrics`, `/status` and
 * `POST /drain`. It has an address of its own, loopback by default, and shows no secrets because
 * the status that it is given holds none.
 */
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {ObservabilityError} from './observability-error.js';

export type Readiness = {
	readonly isReady: boolean;
	/** Why not, or `ready`. */
	readonly reason: string;
};

export type AdminListenerOptions = {
	readonly host: string;
	/** 0 takes a free port. */
	readonly port: number;
	readonly readiness: () => Readiness;
	/** A value that can be written as JSON. */
	readonly status: () => unknown;
	readonly metrics: () => Promise<{readonly contentType: string; readonly body: string}>;
	/** Starts a graceful stop; called at most once for each POST. Without it there is no such page. */
	readonly drain?: () => void;
	/** Path of the readiness check, `/ready` by default. */
	readonly readyPath?: string;
};

export type AdminListener = {
	/** Throws an `ObservabilityError` when the address cannot be bound. */
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Known after `start`. */
	readonly port: number;
};

type Reply = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};

const json = (status: number, value: unknown): Reply => ({
	status,
	contentType: 'application/json',
	body: `${JSON.stringify(value)}\n`,
});

export function createAdminListener(options: AdminListenerOptions): AdminListener {
	const {drain, readyPath = '/ready'} = options;
	const pages: Record<string, () => Promise<Reply> | Reply> = {
		'GET /live': () => json(200, {status: 'live'}),
		[`GET ${readyPath}`]() {
			const {isReady, reason} = options.readiness();
			return json(isReady ? 200 : 503, {status: isReady ? 'ready' : 'not-ready', reason});
		},
		'GET /status': () => json(200, options.status()),
		async 'GET /metrics'() {
			return {status: 200, ...(await options.metrics())};
		},
	};
	if (drain !== undefined) {
		pages['POST /drain'] = () => {
			drain();
			return json(202, {status: 'draining'});
		};
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (request.url ?? '/').split('?', 1)[0]!;
		const page = Object.hasOwn(pages, `${request.method} ${path}`)
			? pages[`${request.method} ${path}`]
			: undefined;
		const reply = page === undefined ? json(404, {error: 'no such page'}) : await page();
		response.writeHead(reply.status, {
			'content-type': reply.contentType,
			'content-length': String(new TextEncoder().encode(reply.body).byteLength),
			'cache-control': 'no-store',
		});
		response.end(reply.body);
	}

	async function answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await handle(request, response);
		} catch {
			response.destroy();
		}
	}

	const server: Server = createServer((request, response) => {
		request.resume();
		void answer(request, response);
	});

	return {
		async start() {
			await new Promise<void>((resolve, reject) => {
				server.once('error', error => {
					const place = `${options.host}:${options.port}`;
					const message = `cannot listen on ${place} for the admin listener`;
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
