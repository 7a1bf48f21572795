/**
 * The demo as its users run it, and in this process on free ports.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {afterEach, expect, test} from '@jest/globals';
import {startDemo, type DemoPorts} from '../demo.js';
import {
	call,
	endAllProcesses,
	findFreePort,
	trackProcess,
	waitUntil,
	type ProgramRun,
} from './daemon-processes.js';

const root = fileURLToPath(new URL('../../../../', import.meta.url));
/** The demo closes connections that were idle for a second, and nothing else holds it up. */
const stopLimit = 5000;
const testLimit = 40_000;

afterEach(async () => {
	await endAllProcesses();
});

async function findPorts(): Promise<DemoPorts> {
	const [callers, peers, admin] = [
		await findFreePort(),
		await findFreePort(),
		await findFreePort(),
	];
	return {callers, peers, admin};
}

/** The command of `npm start`, without npm between the signal and the demo. */
async function startByScript(): Promise<ProgramRun> {
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

async function checkBothPorts(output: string): Promise<void> {
	const key = /Bearer (?<key>[\w-]+)/.exec(output)!.groups!.key!;
	for (const port of [8080, 8081]) {
		const open = await call(port, {path: '/open/hello'});
		expect([port, open.status]).toEqual([port, 200]);
		const keyed = await call(port, {
			path: '/shifts/today',
			headers: {authorization: `Bearer ${key}`},
		});
		expect([port, keyed.status]).toEqual([port, 200]);
		expect(keyed.body).not.toContain(key);
		const refused = await call(port, {path: '/shifts/today'});
		expect([port, refused.status]).toEqual([port, 401]);
	}
}

// Guards against a demo that prints lines which do not work, or that has to be killed.
test.each(['SIGINT', 'SIGTERM'] as const)(
	'`npm start` prints the lines to try, serves both ports and ends on %s',
	async signal => {
		const demo = await startByScript();
		await waitUntil('the lines are printed or the demo has ended', () => {
			const isOver = demo.child.exitCode !== null;
			return isOver || demo.output().includes('Stop with Ctrl-C');
		});
		expect(demo.output()).toContain('curl http://127.0.0.1:8080/open/hello');
		await checkBothPorts(demo.output());
		demo.child.kill(signal);
		await waitUntil('the demo has ended', () => demo.child.exitCode !== null, stopLimit);
		expect(await demo.exited).toEqual({code: 0, signal: null});
		expect(demo.output()).not.toMatch(/^\s+at /m);
		// Two instances are within the limit of the demo, also before its configuration is known.
		expect(demo.output()).not.toContain('more instances are listed');
	},
	testLimit,
);

// Guards against a line of the instructions that takes no effect.
test(
	'the printed patch takes a failure domain out on both instances',
	async () => {
		const ports = [await findPorts(), await findPorts()] as const;
		const demo = await startDemo({ports, traceRatio: 0});
		try {
			const url = /(?<url>http:\S+\/v1\/configuration)/.exec(demo.instructions)!.groups!.url!;
			const body = /-d '(?<body>[^']+)'/.exec(demo.instructions)!.groups!.body!;
			const answer = await fetch(url, {
				method: 'PATCH',
				headers: {'content-type': 'application/json-patch+json', 'if-match': '"1"'},
				body,
			});
			expect(answer.status).toBe(200);
			for (const {admin} of ports) {
				await waitUntil('version 2 is in force', async () => {
					const status = await call(admin, {path: '/status'});
					return (JSON.parse(status.body) as {version: number}).version === 2;
				});
			}
		} finally {
			await demo.stop();
			await demo.stopped;
		}
	},
	testLimit,
);

// Guards against a demo that hangs, or leaves servers open, when one of its ports is in use.
test(
	'a port in use ends the demo with an error and leaves nothing open',
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

		for (const free of [first.callers, first.peers, first.admin, second.peers, second.admin]) {
			await expect(call(free, {path: '/live'})).rejects.toThrow('ECONNREFUSED');
		}
	},
	testLimit,
);
