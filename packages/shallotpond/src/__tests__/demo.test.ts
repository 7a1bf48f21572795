/**
 * Runs the demo with the command of `npm start`, and in this process on free ports. Guards against
 * a first try of the program that fails: commands that do not work, or a demo that does not end.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {afterEach, expect, test} from '@jest/globals';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {startDemo, type DemoPorts} from '../demo.js';
import {
	call,
	killAllProcesses,
	trackProcess,
	waitUntil,
	type TrackedProcess,
} from './daemon-processes.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
/** Ample for a stop without requests in progress; the demo closes idle connections after 1 s. */
const stopTimeoutMs = 5000;
const testTimeoutMs = 40_000;

afterEach(async () => {
	await killAllProcesses();
});

async function findPorts(): Promise<DemoPorts> {
	const [callers, peers, admin] = [
		await reservePorts(),
		await reservePorts(),
		await reservePorts(),
	];
	return {callers, peers, admin};
}

/** Runs the command of `npm start` without npm, so that signals reach the demo directly. */
async function startByNpmScript(): Promise<TrackedProcess> {
	const text = await readFile(path.join(root, 'package.json'), 'utf8');
	const {scripts} = JSON.parse(text) as {scripts: {start: string}};
	const [command, ...commandLine] = scripts.start.split(' ');
	expect(command).toBe('node');
	return trackProcess(
		spawn(process.execPath, commandLine, {
			cwd: root,
			env: {PATH: process.env.PATH},
			stdio: ['ignore', 'pipe', 'pipe'],
		}),
	);
}

async function expectBothPortsToServe(output: string): Promise<void> {
	const key = /Bearer (?<key>[\w-]+)/.exec(output)!.groups!.key!;
	for (const port of [8080, 8081]) {
		const openResponse = await call(port, {path: '/open/hello'});
		expect([port, openResponse.status]).toEqual([port, 200]);
		const authenticated = await call(port, {
			path: '/shifts/today',
			headers: {authorization: `Bearer ${key}`},
		});
		expect([port, authenticated.status]).toEqual([port, 200]);
		expect(authenticated.body).not.toContain(key);
		const unauthenticated = await call(port, {path: '/shifts/today'});
		expect([port, unauthenticated.status]).toEqual([port, 401]);
	}
}

// Guards against printed commands that do not work, and against a demo that has to be killed.
test.each(['SIGINT', 'SIGTERM'] as const)(
	'`npm start` prints commands to try, serves both ports and exits on %s',
	async signal => {
		const demo = await startByNpmScript();
		await waitUntil('the commands are printed or the demo has exited', () => {
			const hasExited = demo.child.exitCode !== null;
			return hasExited || demo.output().includes('Stop with Ctrl-C');
		});
		expect(demo.output()).toContain('curl http://127.0.0.1:8080/open/hello');
		await expectBothPortsToServe(demo.output());
		demo.child.kill(signal);
		await waitUntil('the demo has exited', () => demo.child.exitCode !== null, stopTimeoutMs);
		expect(await demo.exited).toEqual({code: 0, signal: null});
		expect(demo.output()).not.toMatch(/^\s+at /m);
		// The demo runs `fleet.maxInstances` (two) instances. Before its configuration is adopted, the
		// maximum is unknown, and nothing must be logged about it either.
		expect(demo.output()).not.toContain('more instances are listed');
	},
	testTimeoutMs,
);

// Guards against a printed patch that has no effect.
test(
	'the printed patch takes a failure domain out on both instances',
	async () => {
		const ports = [await findPorts(), await findPorts()] as const;
		const demo = await startDemo({ports, traceRatio: 0});
		try {
			const url = /(?<url>http:\S+\/v1\/configuration)/.exec(demo.instructions)!.groups!.url!;
			const body = /-d '(?<body>[^']+)'/.exec(demo.instructions)!.groups!.body!;
			const response = await fetch(url, {
				method: 'PATCH',
				headers: {'content-type': 'application/json-patch+json', 'if-match': '"1"'},
				body,
			});
			expect(response.status).toBe(200);
			for (const {admin} of ports) {
				await waitUntil('version 2 is the current version', async () => {
					const status = await call(admin, {path: '/status'});
					return (JSON.parse(status.body) as {version: number}).version === 2;
				});
			}
		} finally {
			await demo.stop();
			await demo.stopped;
		}
	},
	testTimeoutMs,
);

// Guards against a demo that hangs, or leaves servers listening, if one of its ports is in use.
test(
	'a port in use makes the start fail and leaves no other port open',
	async () => {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		const first = await findPorts();
		const second = {...(await findPorts()), callers: port};
		try {
			await expect(startDemo({ports: [first, second], traceRatio: 0})).rejects.toMatchObject({
				cause: {code: 'listen-failed'},
			});
		} finally {
			server.close();
		}

		for (const freedPort of [first.callers, first.peers, first.admin, second.peers, second.admin]) {
			await expect(call(freedPort, {path: '/live'})).rejects.toThrow('ECONNREFUSED');
		}
	},
	testTimeoutMs,
);
