/**
 * A process that is stopping must complete its requests although the signal to stop is repeated. It
 * cuts them if it removes its signal handlers after the first signal, because a signal without a
 * handler ends a process at once. The soak found this failure with seed 118.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createStandInStore, type StandInStore} from '@shallotpond/platform/stand-in-store';
import {reservePorts} from '@shallotpond/testkit/port-reservation';
import {encodeSettings} from '@shallotpond/platform/stand-in-encoding';

const program = path.join(import.meta.dirname, '../../../platform/dist/main.js');
/**
 * A loopback address that only this test uses. On 127.0.0.1, another test may take a free port
 * before the program listens on it.
 */
const address = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}.1`;
let store: StandInStore;
let directory: string;
let child: ChildProcess;
let readinessPort: number;

async function isListening(): Promise<boolean> {
	return new Promise(resolve => {
		const request = http.get({host: address, port: readinessPort, agent: false}, response => {
			response.resume();
			resolve(true);
		});
		request.on('error', () => {
			resolve(false);
		});
	});
}

beforeEach(async () => {
	store = createStandInStore({clock: createSystemClock()});
	await store.start();
	directory = await mkdtemp(path.join(tmpdir(), 'shallotpond-stop-'));
	const callersPort = await reservePorts(13);
	readinessPort = callersPort + 1;
	const internalPort = callersPort + 2;
	const settings = encodeSettings({
		name: 'instance-0',
		address,
		failureDomain: 'north',
		failureDomains: ['north'],
		callersPort,
		readinessPort,
		internalPorts: [internalPort, internalPort + 10],
		seeds: [],
		store: `127.0.0.1:${store.port}`,
		terms: {
			revocationLimit: 5000,
			stopLimit: 2000,
			retryBudget: {ratio: 0.2, reserve: 58, window: 10_000},
			rateBound: {window: 5000, excess: 0.25, slack: 20},
			coldBound: {excess: 1.5, slack: 5},
		},
	});
	const file = path.join(directory, 'settings.json');
	await writeFile(file, JSON.stringify(settings));
	child = spawn(process.execPath, [program, '--config', file], {stdio: 'ignore'});
	while (child.exitCode === null && !(await isListening())) {
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}

	expect(child.exitCode).toBeNull();
});

afterEach(async () => {
	child.kill('SIGKILL');
	await store.stop();
	await rm(directory, {recursive: true});
});

test('a process that is stopping exits with status 0 despite a second SIGTERM or SIGINT', async () => {
	const ended = once(child, 'exit');
	child.kill('SIGTERM');
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	child.kill('SIGTERM');
	child.kill('SIGINT');
	expect(await ended).toEqual([0, null]);
});
