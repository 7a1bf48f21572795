/**
 * Runs the daemon as a separate process. Guards against errors that are reported without the right
 * exit code or without what an operator needs to correct them, against secrets in its output,
 * against a start that fails while the configuration service is unavailable, and against a
 * certificate reload that needs a restart or breaks connections.
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
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {daemonSettings, environmentPrefix} from '../daemon-settings.js';
import {startCountingTarget} from './counting-target.js';
import {
	call,
	killAllProcesses,
	isReady,
	readAdminPage,
	startDaemon,
	startProgram,
	waitUntil,
} from './daemon-processes.js';
import {createFleetDocument, keys, type FleetTargets} from './fleet-document.js';

const testTimeoutMs = 40_000;
const stackTraceLine = /^\s+at /m;
const usageExitCode = 2;
const failureExitCode = 1;

let temporaryFolder: string;
let targets: FleetTargets;
let configurationService: StandInConfigurationService;

beforeAll(async () => {
	temporaryFolder = await mkdtemp(path.join(tmpdir(), 'shallotpond-main-'));
	targets = {
		work: [await startCountingTarget('work0', 'north')],
		files: [await startCountingTarget('files0', 'north')],
		narrow: [await startCountingTarget('narrow0', 'north')],
	};
	configurationService = await createStandInConfigurationService(createFleetDocument(targets, 2));
});

afterEach(async () => {
	await killAllProcesses();
});

afterAll(async () => {
	await Promise.all(
		Object.values(targets)
			.flat()
			.map(async target => target.stop()),
	);
	await configurationService.close();
	await rm(temporaryFolder, {recursive: true});
});

async function runToCompletion(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string>> = {},
) {
	const run = startProgram(commandLine, environment);
	await waitUntil('the program has exited', () => run.child.exitCode !== null);
	const {code} = await run.exited;
	return {code, output: run.output()};
}

describe('the command line', () => {
	// Guards against settings that are not documented.
	test('--help lists every flag with its environment variable and allowed values', async () => {
		const {code, output} = await runToCompletion(['--help']);
		expect(code).toBe(0);
		for (const [flag, {allowed}] of Object.entries(daemonSettings)) {
			expect(output).toContain(`--${flag}`);
			expect(output).toContain(environmentName(environmentPrefix, flag));
			expect(output).toContain(allowed);
		}

		expect(output).toContain('shallotpond demo');
	});

	// Guards against help that fails while other settings are invalid.
	test('--help works next to invalid settings', async () => {
		const {code, output} = await runToCompletion(['--listen', 'nowhere', '--help']);
		expect([code, output.includes('Usage:')]).toEqual([0, true]);
	});

	test('--version prints the version of the package', async () => {
		const text = await readFile(new URL('../../package.json', import.meta.url), 'utf8');
		const {version} = JSON.parse(text) as {version: string};
		expect(await runToCompletion(['--version'])).toEqual({code: 0, output: `${version}\n`});
	});

	// Guards against a report of only the first error, so that the operator needs a start per error.
	test('all invalid flags are reported at once, with their values and what is allowed', async () => {
		const invalidValues = {
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
			'caller-memory': '0',
			'log-format': 'xml',
			'log-level': 'loud',
			'trace-endpoint': '127.0.0.1:4318',
			'trace-ratio': '2',
		} as const satisfies Partial<Record<keyof typeof daemonSettings, string>>;
		const flags = Object.entries(invalidValues).map(([flag, value]) => `--${flag}=${value}`);
		const {code, output} = await runToCompletion([...flags, '--colour=blue']);
		expect(code).toBe(usageExitCode);
		for (const [flag, value] of Object.entries(invalidValues)) {
			const {allowed} = daemonSettings[flag as keyof typeof invalidValues];
			expect(output).toContain(
				`--${flag}: ${JSON.stringify(value)} is not allowed; must be ${allowed}\n`,
			);
		}

		expect(output).toContain('--colour: is not a setting');
		expect(output).not.toMatch(stackTraceLine);
		expect(Object.keys(invalidValues).sort()).toEqual(
			Object.keys(daemonSettings)
				.filter(flag => flag !== 'help' && flag !== 'version')
				.sort(),
		);
	});

	test('an invalid environment variable is reported under its own name', async () => {
		const environment = {SHALLOTPOND_LISTEN: 'here', SHALLOTPOND_TRACE_RATIO: 'half'};
		const {code, output} = await runToCompletion([], environment);
		expect(code).toBe(usageExitCode);
		expect(output).toContain('--listen (from SHALLOTPOND_LISTEN): "here" is not allowed; must be ');
		expect(output).toContain(
			'--trace-ratio (from SHALLOTPOND_TRACE_RATIO): "half" is not allowed; must be ',
		);
		expect(output).not.toMatch(stackTraceLine);
	});

	test('all settings that do not fit together are reported at once', async () => {
		const {code, output} = await runToCompletion([
			'--tls-certificate=certificate.pem',
			'--peer-tls-key=key.pem',
		]);
		expect(code).toBe(usageExitCode);
		expect(output).toContain('--tls-certificate, --tls-key: must be given together');
		expect(output).toContain(
			'--peer-tls-certificate, --peer-tls-key, --peer-tls-authority: must be given together',
		);
		expect(output).toContain('--peer-secret, --peer-secret-file: exactly one of them is required');
		expect(output).not.toMatch(stackTraceLine);
	});

	test('an unknown command is refused', async () => {
		const {code, output} = await runToCompletion(['demonstrate']);
		expect([code, output]).toEqual([
			usageExitCode,
			'demonstrate: unknown command; the only command is demo\n',
		]);
	});

	test('a file that cannot be read is named in the error', async () => {
		const missing = path.join(temporaryFolder, 'missing');
		const {code, output} = await runToCompletion(['--peer-secret-file', missing]);
		expect(code).toBe(failureExitCode);
		expect(output).toContain(`cannot read "${missing}"`);
		expect(output).not.toMatch(stackTraceLine);
	});

	// Guards against a daemon that hangs half started, or that prints only a stack trace.
	test.each(['listen', 'peer-listen', 'admin-listen'] as const)(
		'if the port of --%s is in use, the daemon exits with an error that says so',
		async flag => {
			const server = createServer();
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const occupiedAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
			const defaultAddresses = {listen: '127.0.0.1:0', 'admin-listen': '127.0.0.1:0'};
			const addresses = {
				...defaultAddresses,
				'peer-listen': `127.0.0.1:${await reservePorts()}`,
				[flag]: occupiedAddress,
			};
			try {
				const {code, output} = await runToCompletion(
					Object.entries(addresses).map(([name, address]) => `--${name}=${address}`),
					{
						SHALLOTPOND_PEER_SECRET: 'main-test-secret',
						SHALLOTPOND_CONFIGURATION_SERVICE: configurationService.url,
					},
				);
				expect(code).toBe(failureExitCode);
				expect(output).toContain(`cannot listen on ${occupiedAddress}`);
				expect(output).toContain('EADDRINUSE');
				expect(output).not.toMatch(stackTraceLine);
			} finally {
				server.close();
			}
		},
		testTimeoutMs,
	);
});

describe('a daemon', () => {
	// Guards against secrets in logs and pages, which people without access to the secrets can read.
	test(
		'shows no secret in logs, status and metrics',
		async () => {
			const peerSecret = 'main-test-peer-secret-5d1e';
			const wrongSecret = 'main-test-other-secret-90ab';
			const unknownKey = 'main-test-unknown-key-41';
			const ports = [await reservePorts(), await reservePorts(), await reservePorts()];
			const peers = ports.map(port => `127.0.0.1:${port}`);
			const secretFile = path.join(temporaryFolder, 'secret');
			await writeFile(secretFile, `${peerSecret}\n`);
			const flags = ['--log-level', 'debug', '--drain-grace', '0'];
			const commonOptions = {
				failureDomain: 'north',
				configurationService: configurationService.url,
				peers,
				flags,
			};
			const daemons = [
				await startDaemon({...commonOptions, peerSecret, peerPort: ports[0]!}),
				await startDaemon({
					...commonOptions,
					peerPort: ports[1]!,
					flags: [...flags, '--peer-secret-file', secretFile],
				}),
				// Fails every handshake with the other daemons.
				await startDaemon({...commonOptions, peerSecret: wrongSecret, peerPort: ports[2]!}),
			];
			configurationService.setInstances(
				peers.map(address => ({address, failureDomain: 'north', state: 'live'})),
			);
			for (const daemon of daemons) {
				await waitUntil('the daemon is ready', async () => isReady(daemon));
			}

			const [first, second] = daemons;
			await waitUntil('a request with an API key succeeds', async () => {
				const response = await call(first!.callerPort, {
					path: '/work/steady/quick-1',
					headers: {authorization: `Bearer ${keys.steady}`},
				});
				return response.status === 200;
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
				// A request with its key in the path or the query is refused. The key must not be logged.
				await call(daemon.callerPort, {
					path: `/work/steady/${keys.steady}?key=${keys.steady}`,
					headers: {authorization: `Bearer ${keys.steady}`},
				});
			}

			const outputs: string[] = [];
			for (const daemon of daemons) {
				for (const page of ['/status', '/metrics', '/ready']) {
					const response = await readAdminPage(daemon, page);
					outputs.push(response!.body);
				}

				daemon.signal('SIGTERM');
			}

			for (const daemon of daemons) {
				expect(await daemon.exited).toEqual({code: 0, signal: null});
				outputs.push(daemon.output);
			}

			const allOutput = outputs.join('\n');
			expect(allOutput).toContain('"message":"listening"');
			const digests = Object.values(keys).map(key => digestKey(key));
			for (const secret of [
				...Object.values(keys),
				...digests,
				peerSecret,
				wrongSecret,
				unknownKey,
			]) {
				expect([secret, allOutput.includes(secret)]).toEqual([secret, false]);
			}
		},
		testTimeoutMs,
	);

	// Guards against `--peers` without effect, which would make a start depend on the platform's list.
	test(
		'that starts while the configuration service is unavailable gets the configuration from peers',
		async () => {
			const ports = [await reservePorts(), await reservePorts()];
			const peers = ports.map(port => `127.0.0.1:${port}`);
			const commonOptions = {
				failureDomain: 'north',
				configurationService: configurationService.url,
				peerSecret: 'main-test-secret',
				peers,
			};
			configurationService.setInstances([]);
			const first = await startDaemon({...commonOptions, peerPort: ports[0]!});
			await waitUntil('the first instance is ready', async () => isReady(first));
			configurationService.startOutage('refuse');
			try {
				const second = await startDaemon({...commonOptions, peerPort: ports[1]!});
				await waitUntil('the second instance is ready', async () => isReady(second));
				expect(second.logs).toContainEqual(
					expect.objectContaining({
						message: 'configuration adopted',
						source: 'peer',
						version: 1,
					}),
				);
				await waitUntil('both instances serve', async () => {
					const responses = await Promise.all(
						[first, second].map(async ({callerPort}) =>
							call(callerPort, {
								path: '/work/steady/quick-1',
								headers: {authorization: `Bearer ${keys.steady}`},
							}),
						),
					);
					return responses.every(({status}) => status === 200);
				});
			} finally {
				configurationService.recover();
			}
		},
		testTimeoutMs,
	);

	// Guards against certificates that only a restart replaces, and a reload that breaks connections.
	test(
		'reloads its certificates on SIGHUP',
		async () => {
			const certificate = path.join(temporaryFolder, 'certificate.pem');
			const key = path.join(temporaryFolder, 'key.pem');
			await createCertificate('first', certificate, key);
			const daemon = await startDaemon({
				failureDomain: 'north',
				configurationService: configurationService.url,
				peerSecret: 'main-test-secret',
				flags: ['--tls-certificate', certificate, '--tls-key', key, '--drain-grace', '0'],
			});
			await waitUntil('the daemon is ready', async () => isReady(daemon));
			const openSocket = await connectTls(daemon.callerPort);
			expect(commonNameOf(openSocket)).toBe('first');

			await createCertificate('second', certificate, key);
			daemon.signal('SIGHUP');
			await waitUntil('new connections get the new certificate', async () => {
				const socket = await connectTls(daemon.callerPort);
				const name = commonNameOf(socket);
				socket.destroy();
				return name === 'second';
			});
			expect(await sendRequest(openSocket)).toContain('HTTP/1.1 401');

			await writeFile(certificate, 'not a certificate');
			daemon.signal('SIGHUP');
			await waitUntil('the failure is logged', () =>
				daemon.logs.some(({message}) => message?.startsWith('certificate reload failed')),
			);
			const newSocket = await connectTls(daemon.callerPort);
			expect(commonNameOf(newSocket)).toBe('second');
			expect(await sendRequest(openSocket)).toContain('HTTP/1.1 401');
			openSocket.destroy();
			newSocket.destroy();
			daemon.signal('SIGTERM');
			expect(await daemon.exited).toEqual({code: 0, signal: null});
		},
		testTimeoutMs,
	);
});

/** Creates a self-signed certificate with OpenSSL, because Node cannot create certificates. */
async function createCertificate(name: string, certificate: string, key: string): Promise<void> {
	const request = 'req -x509 -nodes -days 1 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1';
	const files = ['-subj', `/CN=${name}`, '-keyout', key, '-out', certificate];
	await promisify(execFile)('openssl', [...request.split(' '), ...files]);
}

async function connectTls(port: number): Promise<tls.TLSSocket> {
	// The test compares common names, so the signature of the certificate does not matter.
	const socket = tls.connect({host: '127.0.0.1', port, rejectUnauthorized: false});
	await once(socket, 'secureConnect');
	return socket;
}

function commonNameOf(socket: tls.TLSSocket): string | undefined {
	const name = socket.getPeerCertificate().subject.CN;
	return Array.isArray(name) ? name[0] : name;
}

/** Sends one request without a key on an open connection and resolves with the response. */
async function sendRequest(socket: tls.TLSSocket): Promise<string> {
	let responseText = '';
	const appendResponse = (chunk: Uint8Array) => {
		responseText += String(chunk);
	};

	socket.on('data', appendResponse);
	socket.write('GET /work/steady/quick-1 HTTP/1.1\r\nHost: a\r\n\r\n');
	await waitUntil('a response arrives on the open connection', () =>
		responseText.includes('missing-key'),
	);
	socket.off('data', appendResponse);
	return responseText;
}
