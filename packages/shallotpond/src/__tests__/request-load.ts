/**
 * Puts a steady load on several instances over keep-alive connections and records the outcome of
 * each request. Like the platform's load balancer, it sends requests only to instances whose
 * readiness check succeeds.
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
	/** Undefined if the connection broke before the end of the response. */
	readonly status: number | undefined;
	/** Code of a refusal, for example `rate-exceeded`. */
	readonly code: string | undefined;
	/** Whether the request ran, as a refusal states it. */
	readonly runState: string | undefined;
	/** Whether a 2xx response is complete and has the only correct body for this request. */
	readonly isCorrect: boolean;
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

export type WorkspaceLoad = {
	readonly name: string;
	readonly key: string;
	/** Requests per second at each instance. */
	readonly ratePerInstance: number;
};

export type RequestLoad = {
	/** Outcomes of all requests that have ended, in the order of their ends. */
	readonly outcomes: readonly RequestOutcome[];
	/** Ids of the requests that have not ended, with the peer addresses of their instances. */
	readonly inProgress: readonly string[];
	/** Adds an instance to the steady load. */
	addInstance(instance: DaemonProcess): void;
	/** Sends one request in addition to the steady load. */
	send(instance: DaemonProcess, plan: RequestPlan): Promise<RequestOutcome>;
	/** Stops sending and resolves when every request has ended. */
	stop(): Promise<void>;
};

const readinessPollIntervalMs = 100;
const connectionsPerInstance = 24;
/**
 * Below the 5 s after which an instance closes an idle connection, so that no request is sent on a
 * connection that is being closed.
 */
const idleConnectionTimeoutMs = 2000;
/** Only ends a test that would hang. */
const requestTimeoutMs = 40_000;

type ExchangeResult = Pick<RequestOutcome, 'status' | 'error'> & {readonly body: Uint8Array};

type ExchangeOptions = {
	readonly port: number;
	readonly plan: RequestPlan;
	readonly path: string;
	readonly requestBody: string;
	readonly agent: http.Agent;
};

/** Never rejects; resolves with `error` if the request fails. */
async function sendRequest(options: ExchangeOptions): Promise<ExchangeResult> {
	const {port, plan, path, requestBody, agent} = options;
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let status: number | undefined;
		const resolveExchange = (error?: string) => {
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
					resolveExchange(String(error));
				});
				response.on('end', () => {
					resolveExchange();
				});
			},
		);
		request.setTimeout(requestTimeoutMs, () => {
			request.destroy(new Error('no response within the timeout'));
		});
		request.on('error', error => {
			resolveExchange(String(error));
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

export function startRequestLoad(workspaces: readonly WorkspaceLoad[]): RequestLoad {
	const outcomes: RequestOutcome[] = [];
	const pendingExchanges = new Map<Promise<unknown>, string>();
	const agents: http.Agent[] = [];
	const loops: Array<Promise<void>> = [];
	const agentByInstance = new Map<DaemonProcess, http.Agent>();
	const readyInstances = new Set<DaemonProcess>();
	const stopController = new AbortController();
	let lastRequestNumber = 0;

	function agentFor(instance: DaemonProcess): http.Agent {
		const existingAgent = agentByInstance.get(instance);
		const agent =
			existingAgent ??
			new http.Agent({
				keepAlive: true,
				maxSockets: connectionsPerInstance,
				timeout: idleConnectionTimeoutMs,
			});
		if (existingAgent === undefined) {
			agents.push(agent);
			agentByInstance.set(instance, agent);
		}

		return agent;
	}

	async function send(instance: DaemonProcess, plan: RequestPlan): Promise<RequestOutcome> {
		const path = `/${plan.route}/${plan.workspace}/${plan.id}`;
		const requestBody = plan.method === 'POST' ? `order ${plan.id}` : '';
		const sentAt = performance.now();
		const pendingExchange = sendRequest({
			port: instance.callerPort,
			plan,
			path,
			requestBody,
			agent: agentFor(instance),
		});
		pendingExchanges.set(pendingExchange, `${plan.id} at ${instance.peerAddress}`);
		const {status, error, body} = await pendingExchange;
		pendingExchanges.delete(pendingExchange);
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
			isCorrect:
				isSuccess && Buffer.compare(body, expectedBody(plan.method, path, requestBody)) === 0,
			error,
		};
		outcomes.push(outcome);
		return outcome;
	}

	/** Sends requests of a workspace at regular intervals while the instance is ready. */
	async function sendSteadyLoad(instance: DaemonProcess, workspace: WorkspaceLoad): Promise<void> {
		const interval = 1000 / workspace.ratePerInstance;
		while (!stopController.signal.aborted && instance.isRunning) {
			if (readyInstances.has(instance)) {
				const number = ++lastRequestNumber;
				const method = number % 3 === 0 ? 'POST' : 'GET';
				const id = `quick-${number}`;
				const {name, key} = workspace;
				void send(instance, {id, method, route: 'work', workspace: name, key});
			}

			await sleep(interval);
		}
	}

	/** Polls the readiness of the instance until it exits. */
	async function trackReadiness(instance: DaemonProcess): Promise<void> {
		while (!stopController.signal.aborted && instance.isRunning) {
			if (await isReady(instance)) {
				readyInstances.add(instance);
			} else {
				readyInstances.delete(instance);
			}

			await sleep(readinessPollIntervalMs);
		}

		readyInstances.delete(instance);
	}

	return {
		outcomes,
		get inProgress() {
			return [...pendingExchanges.values()];
		},
		addInstance(instance) {
			loops.push(trackReadiness(instance));
			for (const workspace of workspaces) {
				loops.push(sendSteadyLoad(instance, workspace));
			}
		},
		send,
		async stop() {
			stopController.abort();
			await Promise.all(loops);
			await Promise.all(pendingExchanges.keys());
			for (const agent of agents) {
				agent.destroy();
			}
		},
	};
}
