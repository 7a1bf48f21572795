/**
 * The command line of the daemon, run as a process of its own: what it prints, how it ends, what it
 * never shows, and what it does on SIGHUP.
 */
import {execFile} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import tls from 'node:tls';
import {promisify} from 'node:util';
import {afterAll, afterEach, beforeAll, describe, expect, test} from '@jest/globals';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {environmentName} from '@shallotpond/kernel/settings';
import {
	createStandInConfigurationService,
	type StandInConfigurationService,
} from '@shallotpond/testkit/stand-in-configuration-service';
import {daemonSettings, environmentPrefix} from '../daemon-settings.js';
import {startCountingTarget} from './counting-target.js';
import {
	call,
	endAllProcesses,
	findFreePort,
	isReady,
	readAdminPage,
	startDaemon,
	startProgram,
	waitUntil,
} from './daemon-processes.js';
import {createFleetDocument, keys, type FleetTargets} from './fleet-document.js';

const testLimit = 40_000;
const stackLine = /^\s+at /m;
const usageCode = 2;
const failureCode = 1;

let folder: string;
let targets: FleetTargets;
let service: StandInConfigurationService;

beforeAll(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'shallotpond-main-'));
	targets = {
		work: [await startCountingTarget('work0', 'north')],
		files: [await startCountingTarget('files0', 'north')],
		narrow: [await startCountingTarget('narrow0', 'north')],
	};
	service = await createStandInConfigurationService(createFleetDocument(targets, 2));
});

afterEach(async () => {
	await endAllProcesses();
});

afterAll(async () => {
	await Promise.all(
		Object.values(targets)
			.flat()
			.map(async target => target.stop()),
	);
	await service.close();
	await rm(folder, {recursive: true});
});

async function runToEnd(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string>> = {},
) {
	const run = startProgram(commandLine, environment);
	await waitUntil('the program has ended', () => run.child.exitCode !== null);
	const {code} = await run.exited;
	return {code, output: run.output()};
}

describe('the command line', () => {
	// Guards against settings that operators cannot find out about.
	test('--help names every flag, its variable and what is allowed', async () => {
		const {code, output} = await runToEnd(['--help']);
		expect(code).toBe(0);
		for (const [flag, {allowed}] of Object.entries(daemonSettings)) {
			expect(output).toContain(`--${flag}`);
			expect(output).toContain(environmentName(environmentPrefix, flag));
			expect(output).toContain(allowed);
		}

		expect(output).toContain('shallotpond demo');
	});

	// Guards against help that cannot be had while the rest of the command line is wrong.
	test('--help works beside wrong settings', async () => {
		const {code, output} = await runToEnd(['--listen', 'nowhere', '--help']);
		expect([code, output.includes('Usage:')]).toEqual([0, true]);
	});

	test('--version prints the version of the package', async () => {
		const text = await readFile(new URL('../../package.json', import.meta.url), 'utf8');
		const {version} = JSON.parse(text) as {version: string};
		expect(await runToEnd(['--version'])).toEqual({code: 0, output: `${version}\n`});
	});

	// Guards against an operator who repairs settings one start at a time.
	test('every wrong flag is reported at once, with its value and what is allowed', async () => {
		const wrong = {
			listen: 'localhost:8080',
			'peer-listen': '127.0.0.1',
			'admin-listen': '127.0.0.1:65536',
			'failure-domain': '',
			'configuration-service': 'ftp://127.0.0.1',
			peers: '127.0.0.1:1,everywhere',
			'peer-secret': '',
			'peer-secret-file': '',
			'peer-tls-certificate': '',
			'peer-tls-key': '',
			'peer-tls-authority': '',
			'tls-certificate': '',
			'tls-key': '',
			'target-tls-authority': '',
			'drain-grace': 'soon',
			'drain-limit': '-1',
			'log-format': 'xml',
			'log-level': 'loud',
			'trace-endpoint': '127.0.0.1:4318',
			'trace-ratio': '2',
		} as const satisfies Partial<Record<keyof typeof daemonSettings, string>>;
		const flags = Object.entries(wrong).map(([flag, value]) => `--${flag}=${value}`);
		const {code, output} = await runToEnd([...flags, '--colour=blue']);
		expect(code).toBe(usageCode);
		for (const [flag, value] of Object.entries(wrong)) {
			const {allowed} = daemonSettings[flag as keyof typeof wrong];
			expect(output).toContain(
				`--${flag}: ${JSON.stringify(value)} is not allowed; must be ${allowed}\n`,
			);
		}

		expect(output).toContain('--colour: is not a setting');
		expect(output).not.toMatch(stackLine);
		expect(Object.keys(wrong).sort()).toEqual(
			Object.keys(daemonSettings)
				.filter(flag => flag !== 'help' && flag !== 'version')
				.sort(),
		);
	});

	test('a wrong variable is reported under its own name', async () => {
		const environment = {SHALLOTPOND_LISTEN: 'here', SHALLOTPOND_TRACE_RATIO: 'half'};
		const {code, output} = await runToEnd([], environment);
		expect(code).toBe(usageCode);
		expect(output).toContain('--listen (from SHALLOTPOND_LISTEN): "here" is not allowed; must be ');
		expect(output).toContain(
			'--trace-ratio (from SHALLOTPOND_TRACE_RATIO): "half" is not allowed; must be ',
		);
		expect(output).not.toMatch(stackLine);
	});

	test('settings that do not fit together are reported at once', async () => {
		const {code, output} = await runToEnd([
			'--tls-certificate=certificate.pem',
			'--peer-tls-key=key.pem',
		]);
		expect(code).toBe(usageCode);
		expect(output).toContain('--tls-certificate, --tls-key: must be given together');
		expect(output).toContain(
			'--peer-tls-certificate, --peer-tls-key, --peer-tls-authority: must be given together',
		);
		expect(output).toContain('--peer-secret, --peer-secret-file: exactly one of them is required');
		expect(output).not.toMatch(stackLine);
	});

	test('an unknown command is refused', async () => {
		const {code, output} = await runToEnd(['demonstrate']);
		expect([code, output]).toEqual([
			usageCode,
			'demonstrate: unknown command; the only command is demo\n',
		]);
	});

	test('a file that cannot be read ends the daemon with its name', async () => {
		const missing = path.join(folder, 'missing');
		const {code, output} = await runToEnd(['--peer-secret-file', missing]);
		expect(code).toBe(failureCode);
		expect(output).toContain(`cannot read "${missing}"`);
		expect(output).not.toMatch(stackLine);
	});

	// Guards against a daemon that hangs half started, or that shows only a stack trace.
	test.each(['listen', 'peer-listen', 'admin-listen'] as const)(
		'a port in use by --%s ends the daemon with a clear message',
		async flag => {
			const server = createServer();
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const place = `127.0.0.1:${(server.address() as AddressInfo).port}`;
			const free = {listen: '127.0.0.1:0', 'admin-listen': '127.0.0.1:0'};
			const addresses = {
				...free,
				'peer-listen': `127.0.0.1:${await findFreePort()}`,
				[flag]: place,
			};
			try {
				const {code, output} = await runToEnd(
					Object.entries(addresses).map(([name, address]) => `--${name}=${address}`),
					{
						SHALLOTPOND_PEER_SECRET: 'main-test-secret',
						SHALLOTPOND_CONFIGURATION_SERVICE: service.url,
					},
				);
				expect(code).toBe(failureCode);
				expect(output).toContain(`cannot listen on ${place}`);
				expect(output).toContain('EADDRINUSE');
				expect(output).not.toMatch(stackLine);
			} finally {
				server.close();
			}
		},
		testLimit,
	);
});

describe('a running daemon', () => {
	// Guards against a secret in a place that more people read than may know it.
	test(
		'shows no secret in logs, status and metrics',
		async () => {
			const peerSecret = 'main-test-peer-secret-5d1e';
			const wrongSecret = 'main-test-other-secret-90ab';
			const unknownKey = 'main-test-unknown-key-41';
			const ports = [await findFreePort(), await findFreePort(), await findFreePort()];
			const peers = ports.map(port => `127.0.0.1:${port}`);
			const secretFile = path.join(folder, 'secret');
			await writeFile(secretFile, `${peerSecret}\n`);
			const flags = ['--log-level', 'debug', '--drain-grace', '0'];
			const common = {failureDomain: 'north', configurationService: service.url, peers, flags};
			const daemons = [
				await startDaemon({...common, peerSecret, peerPort: ports[0]!}),
				await startDaemon({
					...common,
					peerPort: ports[1]!,
					flags: [...flags, '--peer-secret-file', secretFile],
				}),
				// It fails every handshake with the others.
				await startDaemon({...common, peerSecret: wrongSecret, peerPort: ports[2]!}),
			];
			service.setInstances(
				peers.map(address => ({address, failureDomain: 'north', state: 'live'})),
			);
			for (const daemon of daemons) {
				await waitUntil('the daemon is ready', async () => isReady(daemon));
			}

			const [first, second] = daemons;
			await waitUntil('a keyed request is answered', async () => {
				const answer = await call(first!.callerPort, {
					path: '/work/steady/quick-1',
					headers: {authorization: `Bearer ${keys.steady}`},
				});
				return answer.status === 200;
			});
			for (const daemon of [first!, second!]) {
				await call(daemon.callerPort, {
					path: '/work/steady/quick-2',
					headers: {'x-api-key': keys.greedy},
				});
				await call(daemon.callerPort, {
					path: '/work/steady/quick-3',
					headers: {'x-api-key': unknownKey},
				});
				// A key in the wrong places is refused, and must not be logged on the way.
				await call(daemon.callerPort, {
					path: `/work/steady/${keys.steady}?key=${keys.steady}`,
					headers: {authorization: `Bearer ${keys.steady}`},
				});
			}

			const texts: string[] = [];
			for (const daemon of daemons) {
				for (const page of ['/status', '/metrics', '/ready']) {
					const answer = await readAdminPage(daemon, page);
					texts.push(answer!.body);
				}

				daemon.signal('SIGTERM');
			}

			for (const daemon of daemons) {
				expect(await daemon.exited).toEqual({code: 0, signal: null});
				texts.push(daemon.output);
			}

			const everything = texts.join('\n');
			expect(everything).toContain('"message":"listening"');
			const digests = Object.values(keys).map(key => digestKey(key));
			for (const secret of [
				...Object.values(keys),
				...digests,
				peerSecret,
				wrongSecret,
				unknownKey,
			]) {
				expect([secret, everything.includes(secret)]).toEqual([secret, false]);
			}
		},
		testLimit,
	);

	// Guards against `--peers` without effect: the first contact would then need the platform's list.
	test(
		'that starts while the configuration service is away gets the configuration from its peers',
		async () => {
			const ports = [await findFreePort(), await findFreePort()];
			const peers = ports.map(port => `127.0.0.1:${port}`);
			const common = {
				failureDomain: 'north',
				configurationService: service.url,
				peerSecret: 'main-test-secret',
				peers,
			};
			service.setInstances([]);
			const first = await startDaemon({...common, peerPort: ports[0]!});
			await waitUntil('the first instance is ready', async () => isReady(first));
			service.goAway('refuse');
			try {
				const second = await startDaemon({...common, peerPort: ports[1]!});
				await waitUntil('the second instance is ready', async () => isReady(second));
				expect(second.logs).toContainEqual(
					expect.objectContaining({
						message: 'configuration adopted',
						source: 'peer',
						version: 1,
					}),
				);
				await waitUntil('both instances serve', async () => {
					const answers = await Promise.all(
						[first, second].map(async ({callerPort}) =>
							call(callerPort, {
								path: '/work/steady/quick-1',
								headers: {authorization: `Bearer ${keys.steady}`},
							}),
						),
					);
					return answers.every(({status}) => status === 200);
				});
			} finally {
				service.recover();
			}
		},
		testLimit,
	);

	// Guards against a certificate that only a restart replaces, and against a reload that cuts.
	test(
		'reads its certificates again on SIGHUP',
		async () => {
			const certificate = path.join(folder, 'certificate.pem');
			const key = path.join(folder, 'key.pem');
			await makeCertificate('first', certificate, key);
			const daemon = await startDaemon({
				failureDomain: 'north',
				configurationService: service.url,
				peerSecret: 'main-test-secret',
				flags: ['--tls-certificate', certificate, '--tls-key', key, '--drain-grace', '0'],
			});
			await waitUntil('the daemon is ready', async () => isReady(daemon));
			const open = await connectSecurely(daemon.callerPort);
			expect(nameOf(open)).toBe('first');

			await makeCertificate('second', certificate, key);
			daemon.signal('SIGHUP');
			await waitUntil('new connections get the new certificate', async () => {
				const socket = await connectSecurely(daemon.callerPort);
				const name = nameOf(socket);
				socket.destroy();
				return name === 'second';
			});
			expect(await ask(open)).toContain('HTTP/1.1 401');

			await writeFile(certificate, 'not a certificate');
			daemon.signal('SIGHUP');
			await waitUntil('the failure is logged', () =>
				daemon.logs.some(({message}) => message?.startsWith('certificate reload failed')),
			);
			const after = await connectSecurely(daemon.callerPort);
			expect(nameOf(after)).toBe('second');
			expect(await ask(open)).toContain('HTTP/1.1 401');
			open.destroy();
			after.destroy();
			daemon.signal('SIGTERM');
			expect(await daemon.exited).toEqual({code: 0, signal: null});
		},
		testLimit,
	);
});

/** A certificate for 127.0.0.1, signed by itself. Node can read certificates but not make them. */
async function makeCertificate(name: string, certificate: string, key: string): Promise<void> {
	const request = 'req -x509 -nodes -days 1 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1';
	const files = ['-subj', `/CN=${name}`, '-keyout', key, '-out', certificate];
	await promisify(execFile)('openssl', [...request.split(' '), ...files]);
}

async function connectSecurely(port: number): Promise<tls.TLSSocket> {
	// The test compares names; it does not check the signature of the certificate.
	const socket = tls.connect({host: '127.0.0.1', port, rejectUnauthorized: false});
	await once(socket, 'secureConnect');
	return socket;
}

function nameOf(socket: tls.TLSSocket): string | undefined {
	const name = socket.getPeerCertificate().subject.CN;
	return Array.isArray(name) ? name[0] : name;
}

/** Asks once without a key on an open connection and resolves with the head of the answer. */
async function ask(socket: tls.TLSSocket): Promise<string> {
	let text = '';
	const collect = (chunk: Uint8Array) => {
		text += String(chunk);
	};

	socket.on('data', collect);
	socket.write('GET /work/steady/quick-1 HTTP/1.1\r\nHost: a\r\n\r\n');
	await waitUntil('an answer on the open connection', () => text.includes('missing-key'));
	socket.off('data', collect);
	return text;
}
