/**
 * A steady load on several instances over keep-alive connections, with the outcome of each request.
 * Like the platform's load balancer, it sends only to instances whose readiness check succeeds.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {expectedBody} from './counting-target.js';
import {isReady, type DaemonProcess} from './daemon-processes.js';

export type RequestOutcome = {
	readonly id: string;
	readonly method: string;
	readonly workspace: string;
	readonly instance: DaemonProcess;
	/** Milliseconds of `performance.now()`. */
	readonly sentAt: number;
	readonly endedAt: number;
	/** Undefined when the connection broke before the end of an answer. */
	readonly status: number | undefined;
	/** Of a refusal. */
	readonly code: string | undefined;
	readonly runState: string | undefined;
	/** Whether a 2xx answer is whole and the one right answer to this request. */
	readonly isExact: boolean;
	readonly error: string | undefined;
};

export type RequestPlan = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	/** First part of the path. */
	readonly route: string;
	readonly workspace: string;
	readonly key: string;
};

export type LoadedWorkspace = {
	readonly name: string;
	readonly key: string;
	/** Requests per second at each instance. */
	readonly ratePerInstance: number;
};

export type RequestLoad = {
	/** Of all requests that are over, in the order in which they ended. */
	readonly outcomes: readonly RequestOutcome[];
	/** Ids of the requests that are not over, with the ports of their instances. */
	readonly inProgress: readonly string[];
	addInstance(instance: DaemonProcess): void;
	/** Sends one request beside the steady load. */
	send(instance: DaemonProcess, plan: RequestPlan): Promise<RequestOutcome>;
	/** Stops sending and resolves when every request is over. */
	stop(): Promise<void>;
};

const readinessInterval = 100;
const connectionsPerInstance = 24;
/** Below the 5 s after which an instance closes an idle connection, so that no request meets that. */
const idleConnectionTimeout = 2000;
/** Guards against a hanging test only. */
const requestLimit = 40_000;

type Exchange = Pick<RequestOutcome, 'status' | 'error'> & {readonly body: Uint8Array};

type ExchangeOptions = {
	readonly port: number;
	readonly plan: RequestPlan;
	readonly path: string;
	readonly requestBody: string;
	readonly agent: http.Agent;
};

/** Never rejects. */
async function exchange(options: ExchangeOptions): Promise<Exchange> {
	const {port, plan, path, requestBody, agent} = options;
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let status: number | undefined;
		const finish = (error?: string) => {
			const body = Buffer.concat(chunks);
			resolve(error === undefined ? {status, error, body} : {status: undefined, error, body});
		};

		const request = http.request(
			{
				host: '127.0.0.1',
				port,
				method: plan.method,
				path,
				agent,
				headers: {
					authorization: `Bearer ${plan.key}`,
					...(plan.method === 'POST' && {'content-length': Buffer.byteLength(requestBody)}),
				},
			},
			response => {
				status = response.statusCode;
				response.on('data', (chunk: Uint8Array) => {
					chunks.push(chunk);
				});
				response.on('error', error => {
					finish(String(error));
				});
				response.on('end', () => {
					finish();
				});
			},
		);
		request.setTimeout(requestLimit, () => {
			request.destroy(new Error('no answer'));
		});
		request.on('error', error => {
			finish(String(error));
		});
		request.end(requestBody);
	});
}

type Problem = {readonly code?: string; readonly outcome?: string};

function parseProblem(body: Uint8Array): Problem {
	try {
		return JSON.parse(Buffer.from(body).toString('utf8')) as Problem;
	} catch {
		return {};
	}
}

export function startRequestLoad(workspaces: readonly LoadedWorkspace[]): RequestLoad {
	const outcomes: RequestOutcome[] = [];
	const pending = new Map<Promise<unknown>, string>();
	const agents: http.Agent[] = [];
	const loops: Array<Promise<void>> = [];
	const agentOf = new Map<DaemonProcess, http.Agent>();
	const balanced = new Set<DaemonProcess>();
	const stopping = new AbortController();
	let lastId = 0;

	function findAgent(instance: DaemonProcess): http.Agent {
		const known = agentOf.get(instance);
		const agent =
			known ??
			new http.Agent({
				keepAlive: true,
				maxSockets: connectionsPerInstance,
				timeout: idleConnectionTimeout,
			});
		if (known === undefined) {
			agents.push(agent);
			agentOf.set(instance, agent);
		}

		return agent;
	}

	async function send(instance: DaemonProcess, plan: RequestPlan): Promise<RequestOutcome> {
		const path = `/${plan.route}/${plan.workspace}/${plan.id}`;
		const requestBody = plan.method === 'POST' ? `order ${plan.id}` : '';
		const sentAt = performance.now();
		const work = exchange({
			port: instance.callerPort,
			plan,
			path,
			requestBody,
			agent: findAgent(instance),
		});
		pending.set(work, `${plan.id} at ${instance.peerAddress}`);
		const {status, error, body} = await work;
		pending.delete(work);
		const isSuccess = status !== undefined && status >= 200 && status < 300;
		const problem = status === undefined || isSuccess ? {} : parseProblem(body);
		const outcome: RequestOutcome = {
			id: plan.id,
			method: plan.method,
			workspace: plan.workspace,
			instance,
			sentAt,
			endedAt: performance.now(),
			status,
			code: problem.code,
			runState: problem.outcome,
			isExact:
				isSuccess && Buffer.compare(body, expectedBody(plan.method, path, requestBody)) === 0,
			error,
		};
		outcomes.push(outcome);
		return outcome;
	}

	/** Sends at an even pace while the balancer has the instance in its list. */
	async function loadInstance(instance: DaemonProcess, workspace: LoadedWorkspace): Promise<void> {
		const interval = 1000 / workspace.ratePerInstance;
		while (!stopping.signal.aborted && instance.isRunning) {
			if (balanced.has(instance)) {
				const number = ++lastId;
				const method = number % 3 === 0 ? 'POST' : 'GET';
				const id = `quick-${number}`;
				const {name, key} = workspace;
				void send(instance, {id, method, route: 'work', workspace: name, key});
			}

			await sleep(interval);
		}
	}

	/** Follows the readiness of the instance until it ends. */
	async function balance(instance: DaemonProcess): Promise<void> {
		while (!stopping.signal.aborted && instance.isRunning) {
			if (await isReady(instance)) {
				balanced.add(instance);
			} else {
				balanced.delete(instance);
			}

			await sleep(readinessInterval);
		}

		balanced.delete(instance);
	}

	return {
		outcomes,
		get inProgress() {
			return [...pending.values()];
		},
		addInstance(instance) {
			loops.push(balance(instance));
			for (const workspace of workspaces) {
				loops.push(loadInstance(instance, workspace));
			}
		},
		send,
		async stop() {
			stopping.abort();
			await Promise.all(loops);
			await Promise.all(pending.keys());
			for (const agent of agents) {
				agent.destroy();
			}
		},
	};
}
