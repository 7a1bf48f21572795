/**
 * Runs daemons as processes of their own, as an operator does, and ends every one of them. The
 * tests run the built program, so `npm run build` must have been run before.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import http, {type Agent} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(new URL('../../bin/shallotpond.js', import.meta.url));
const conditionInterval = 25;
const defaultLimit = 20_000;

/** As Node reports it: `null` for the one that does not apply. */
export type DaemonExit = {
	readonly code: ChildProcess['exitCode'];
	readonly signal: ChildProcess['signalCode'];
};

export type DaemonLogLine = Readonly<Record<string, unknown>> & {readonly message?: string};

export type DaemonProcess = {
	/** `ip:port` for other instances. */
	readonly peerAddress: string;
	readonly failureDomain: string;
	/** Known once the daemon listens. */
	readonly callerPort: number;
	readonly adminPort: number;
	readonly pid: number;
	/** Everything written to standard output and standard error so far. */
	readonly output: string;
	/** The lines of `output` that are JSON. */
	readonly logs: readonly DaemonLogLine[];
	readonly isRunning: boolean;
	/** Resolves when the process has ended. */
	readonly exited: Promise<DaemonExit>;
	signal(name: NodeJS.Signals): void;
};

export type CallResponse = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
	/** Local port of the connection that carried it. */
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

// A test run that ends early must not leave daemons behind.
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/** Ends every process that this module started and resolves when they are gone. */
export async function endAllProcesses(): Promise<void> {
	await Promise.all(
		[...children].map(async child => {
			// SIGKILL ends paused processes as well.
			child.kill('SIGKILL');
			if (child.exitCode === null && child.signalCode === null) {
				await once(child, 'exit');
			}
		}),
	);
}

/** Throws with `what` when the condition does not become true within `limit` milliseconds. */
export async function waitUntil(
	what: string,
	condition: () => boolean | Promise<boolean>,
	limit = defaultLimit,
): Promise<void> {
	const end = performance.now() + limit;
	while (!(await condition())) {
		if (performance.now() > end) {
			throw new Error(`not within ${limit} ms: ${what}`);
		}

		await sleep(conditionInterval);
	}
}

/** A port that was free a moment ago. */
export async function findFreePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

/** One exchange with 127.0.0.1. Rejects when the connection breaks or the limit passes. */
export async function call(port: number, options: CallOptions): Promise<CallResponse> {
	const {method = 'GET', path, headers = {}, agent, timeout: limit = defaultLimit} = options;
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
		request.setTimeout(limit, () => {
			request.destroy(new Error(`no answer from port ${port} within ${limit} ms`));
		});
		request.on('error', reject);
		request.end();
	});
}

/** Undefined when the daemon cannot be reached within the limit in milliseconds. */
export async function readAdminPage(
	daemon: DaemonProcess,
	path: string,
	limit = 1000,
): Promise<CallResponse | undefined> {
	try {
		return await call(daemon.adminPort, {path, timeout: limit});
	} catch {
		return undefined;
	}
}

export async function isReady(daemon: DaemonProcess): Promise<boolean> {
	const answer = await readAdminPage(daemon, '/ready');
	return answer?.status === 200;
}

export type ProgramRun = {
	readonly child: ChildProcess;
	readonly output: () => string;
	readonly exited: Promise<DaemonExit>;
};

/** Collects the output of a process and has it ended by `endAllProcesses`. */
export function trackProcess(child: ChildProcess): ProgramRun {
	let output = '';
	const collect = (text: string) => {
		output += text;
	};

	children.add(child);
	for (const stream of [child.stdout!, child.stderr!]) {
		stream.setEncoding('utf8');
		stream.on('data', collect);
	}

	const exited = (async () => {
		// `close` comes after the last output, `exit` may come before it.
		await once(child, 'close');
		children.delete(child);
		return {code: child.exitCode, signal: child.signalCode};
	})();
	return {child, output: () => output, exited};
}

/** Starts the program with these arguments and nothing but `environment` beside the search path. */
export function startProgram(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string>> = {},
): ProgramRun {
	return trackProcess(
		spawn(process.execPath, [program, ...commandLine], {
			env: {PATH: process.env.PATH, ...environment},
			stdio: ['ignore', 'pipe', 'pipe'],
		}),
	);
}

export type DaemonOptions = {
	readonly failureDomain: string;
	/** Base URL. */
	readonly configurationService: string;
	/** Given as a variable; without it, `flags` must name a file. */
	readonly peerSecret?: string;
	/** A free port by default. */
	readonly peerPort?: number;
	/** `ip:port` of peers to start with. */
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

/** Resolves when the daemon listens; it becomes ready later. Rejects with its output otherwise. */
export async function startDaemon(options: DaemonOptions): Promise<DaemonProcess> {
	const {failureDomain, configurationService, peerSecret, peers = [], flags = []} = options;
	const peerAddress = `127.0.0.1:${options.peerPort ?? (await findFreePort())}`;
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
	const addresses = await listening;
	if (addresses === undefined) {
		throw new Error(`the daemon ended before it listened:\n${output()}`);
	}

	return {
		peerAddress,
		failureDomain,
		callerPort: portOf(addresses.callers),
		adminPort: portOf(addresses.admin),
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
