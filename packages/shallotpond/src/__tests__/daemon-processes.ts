/**
 * Runs daemons as separate processes, as an operator does, and ends all of them. The tests run the
 * built program, so `npm run build` must have been run before.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import http, {type Agent} from 'node:http';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {reservePorts} from '@shallotpond/testkit/port-reservation';

const program = fileURLToPath(new URL('../../bin/shallotpond.js', import.meta.url));
const pollIntervalMs = 25;
const defaultTimeoutMs = 20_000;

/** As Node reports an exit: either `code` or `signal` is `null`. */
export type ProcessExit = {
	readonly code: ChildProcess['exitCode'];
	readonly signal: ChildProcess['signalCode'];
};

export type DaemonLogLine = Readonly<Record<string, unknown>> & {readonly message?: string};

export type DaemonProcess = {
	/** `ip:port` for other instances. */
	readonly peerAddress: string;
	readonly failureDomain: string;
	/** Port for callers, a free one that the daemon has chosen. */
	readonly callerPort: number;
	/** Port for operators, a free one that the daemon has chosen. */
	readonly adminPort: number;
	readonly pid: number;
	/** Everything written to standard output and standard error so far. */
	readonly output: string;
	/** The lines of `output` that are JSON. */
	readonly logs: readonly DaemonLogLine[];
	readonly isRunning: boolean;
	/** Resolves when the process has ended. */
	readonly exited: Promise<ProcessExit>;
	signal(name: NodeJS.Signals): void;
};

export type CallResponse = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
	/** Local port of the connection that carried the response. */
	readonly localPort: number | undefined;
};

export type CallOptions = {
	readonly method?: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly agent?: Agent;
	/** Milliseconds; default is 20,000. */
	readonly timeout?: number;
};

const children = new Set<ChildProcess>();

// A test run that ends early must not leave daemons running.
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/** Kills all processes that this module started and resolves when they have exited. */
export async function killAllProcesses(): Promise<void> {
	await Promise.all(
		[...children].map(async child => {
			// SIGKILL also ends processes that SIGSTOP has paused.
			child.kill('SIGKILL');
			if (child.exitCode === null && child.signalCode === null) {
				await once(child, 'exit');
			}
		}),
	);
}

/** Polls a condition. Throws with `description` if it does not become true within the timeout. */
export async function waitUntil(
	description: string,
	condition: () => boolean | Promise<boolean>,
	timeoutMs = defaultTimeoutMs,
): Promise<void> {
	const deadline = performance.now() + timeoutMs;
	while (!(await condition())) {
		if (performance.now() > deadline) {
			throw new Error(`timed out after ${timeoutMs} ms while waiting until ${description}`);
		}

		await sleep(pollIntervalMs);
	}
}

/** Sends one request to 127.0.0.1. Rejects if the connection breaks or the timeout passes. */
export async function call(port: number, options: CallOptions): Promise<CallResponse> {
	const {
		method = 'GET',
		path,
		headers = {},
		agent,
		timeout: timeoutMs = defaultTimeoutMs,
	} = options;
	return new Promise((resolve, reject) => {
		const request = http.request(
			{host: '127.0.0.1', port, method, path, headers, ...(agent && {agent})},
			response => {
				let body = '';
				const {localPort} = response.socket;
				response.setEncoding('utf8');
				response.on('data', (text: string) => {
					body += text;
				});
				response.on('error', reject);
				response.on('end', () => {
					resolve({status: response.statusCode!, headers: response.headers, body, localPort});
				});
			},
		);
		request.setTimeout(timeoutMs, () => {
			request.destroy(new Error(`no response from port ${port} within ${timeoutMs} ms`));
		});
		request.on('error', reject);
		request.end();
	});
}

/** Resolves with undefined if the daemon does not respond within the timeout. */
export async function readAdminPage(
	daemon: DaemonProcess,
	path: string,
	timeoutMs = 1000,
): Promise<CallResponse | undefined> {
	try {
		return await call(daemon.adminPort, {path, timeout: timeoutMs});
	} catch {
		return undefined;
	}
}

export async function isReady(daemon: DaemonProcess): Promise<boolean> {
	const response = await readAdminPage(daemon, '/ready');
	return response?.status === 200;
}

export type TrackedProcess = {
	readonly child: ChildProcess;
	/** Returns the text written to standard output and standard error so far. */
	readonly output: () => string;
	readonly exited: Promise<ProcessExit>;
};

/** Collects the output of a process and registers it for `killAllProcesses`. */
export function trackProcess(child: ChildProcess): TrackedProcess {
	let output = '';
	const appendOutput = (text: string) => {
		output += text;
	};

	children.add(child);
	for (const stream of [child.stdout!, child.stderr!]) {
		stream.setEncoding('utf8');
		stream.on('data', appendOutput);
	}

	const exited = (async () => {
		// `close` is emitted after the last output, `exit` may be emitted before it.
		await once(child, 'close');
		children.delete(child);
		return {code: child.exitCode, signal: child.signalCode};
	})();
	return {child, output: () => output, exited};
}

/** Starts the program. Its environment contains only `environment` and the search path. */
export function startProgram(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string>> = {},
): TrackedProcess {
	return trackProcess(
		spawn(process.execPath, [program, ...commandLine], {
			env: {PATH: process.env.PATH, ...environment},
			stdio: ['ignore', 'pipe', 'pipe'],
		}),
	);
}

export type DaemonOptions = {
	readonly failureDomain: string;
	/** Base URL of the configuration service. */
	readonly configurationService: string;
	/** Passed in an environment variable; if absent, `flags` must name a file. */
	readonly peerSecret?: string;
	/** A free port by default. */
	readonly peerPort?: number;
	/** Value of `--peers`, each `ip:port`. */
	readonly peers?: readonly string[];
	readonly flags?: readonly string[];
};

function parseLogs(output: string): DaemonLogLine[] {
	const lines = output.split('\n').filter(line => line.startsWith('{') && line.endsWith('}'));
	return lines.map(line => JSON.parse(line) as DaemonLogLine);
}

function portOf(address: unknown): number {
	return Number(String(address).split(':').at(-1));
}

/** Resolves when the daemon listens; it becomes ready later. Rejects with its output if it exits. */
export async function startDaemon(options: DaemonOptions): Promise<DaemonProcess> {
	const {failureDomain, configurationService, peerSecret, peers = [], flags = []} = options;
	const peerAddress = `127.0.0.1:${options.peerPort ?? (await reservePorts())}`;
	const {child, output, exited} = startProgram(
		[
			'--listen=127.0.0.1:0',
			'--admin-listen=127.0.0.1:0',
			`--peer-listen=${peerAddress}`,
			`--failure-domain=${failureDomain}`,
			`--configuration-service=${configurationService}`,
			...(peers.length > 0 ? [`--peers=${peers.join(',')}`] : []),
			...flags,
		],
		peerSecret === undefined ? {} : {SHALLOTPOND_PEER_SECRET: peerSecret},
	);
	const lines = createInterface(child.stderr!);
	const listening = new Promise<DaemonLogLine | undefined>(resolve => {
		lines.on('line', line => {
			if (line.includes('"message":"listening"')) {
				resolve(JSON.parse(line) as DaemonLogLine);
			}
		});
		void (async () => {
			await exited;
			resolve(undefined);
		})();
	});
	const listeningLine = await listening;
	if (listeningLine === undefined) {
		throw new Error(`the daemon exited before it listened:\n${output()}`);
	}

	return {
		peerAddress,
		failureDomain,
		callerPort: portOf(listeningLine.callers),
		adminPort: portOf(listeningLine.admin),
		pid: child.pid!,
		get output() {
			return output();
		},
		get logs() {
			return parseLogs(output());
		},
		get isRunning() {
			return child.exitCode === null && child.signalCode === null;
		},
		exited,
		signal(name) {
			child.kill(name);
		},
	};
}
