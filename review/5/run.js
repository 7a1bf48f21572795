/**
 * A request that crashes the servers that run it comes again and again, while the machines are
 * stopped and started in turn. Once it has crashed three servers, it must not reach more than three
 * others.
 */
/* eslint-disable camelcase -- fields have the platform's names */
/* eslint-disable unicorn/prefer-top-level-await -- these calls run beside the main sequence */
/* eslint-disable no-unmodified-loop-condition -- callbacks modify it */
import {setTimeout as sleep} from 'node:timers/promises';
import {callOnce, clientHeaders, newRequestId} from '../lib/client.js';
import {bounds, createRun} from '../lib/run.js';
import {answerHeaders, configurationOf, createServer} from '../lib/server.js';
import {createStore} from '../lib/store.js';

const host = 'hulo84.example';
const keys = {crashing: 'nn2ctnfzs989anu6wsjn', other: 'banfqasnmgkcuyj8pjbv'};
const service = 'huvo11a';
const crashingPath = '/leny950/crash';
const workMs = 300;
const servers = 8;
const serverDownMs = 3000;
const timeLimitMs = 6000;
const copyIntervalMs = 1000;
const backgroundIntervalMs = 60;
const restartMs = 500;
/** Retries that may still reach servers, by the rule. */
const maxRetries = 3;

const run = createRun(import.meta.dirname);
const store = await createStore(run);
/** Arrivals of the crashing request: time, id, server. */
const arrivals = [];
/** Requests of other callers that a crash ended. */
const brokenByCrash = [];

async function startServer(id) {
	const atWork = new Set();
	const server = await createServer(run, {
		id,
		service,
		zone: 'fjordvik-nord',
		async work({request, response, requestId}) {
			if (request.url === crashingPath) {
				arrivals.push({at: run.now(), requestId, server: id});
				run.record('server-crashed', {server: id, request: requestId, alsoAtWork: [...atWork]});
				brokenByCrash.push(...atWork);
				void crash(server);
				return;
			}

			atWork.add(requestId);
			await sleep(workMs);
			atWork.delete(requestId);
			const body = `shifts ${requestId}`;
			response.writeHead(200, {...answerHeaders(requestId, body), 'Content-Length': body.length});
			response.end(body);
		},
	});
	store.write(server.key, server.entry());
	return server;
}

/** A crash: all connections break, and the server is back after some seconds. */
async function crash(server) {
	server.leave();
	await sleep(serverDownMs);
	await startServer(server.id);
}

for (let number = 1; number <= servers; number++) {
	await startServer(`i-rota-${number}`);
}

store.write(
	'op/config',
	configurationOf({
		version: 7,
		routes: [{name: 'r-vakt', host, prefix: '/leny950/', kind: 'safe', timeout_ms: 2500, service}],
		services: [service],
		tenants: [
			{name: 'cuka620', api_keys: [keys.crashing], priority: 1, rate_per_s: 0, burst: 0},
			{name: 'belo114', api_keys: [keys.other], priority: 1, rate_per_s: 0, burst: 0},
		],
	}),
);

const machines = await run.createMachines(
	['fjordvik-nord', 'fjordvik-nord', 'fjordvik-sor', 'fjordvik-sor'],
	store.address,
);
const upSince = new Map();
async function start(machine) {
	machine.start();
	await machine.untilReady();
	upSince.set(machine, run.now());
}

await Promise.all(machines.map(async machine => start(machine)));

function isInTouch(machine) {
	return upSince.has(machine) && run.now() - upSince.get(machine) > bounds.stable_window_ms;
}

async function call(machine, path, key) {
	const id = newRequestId();
	const answer = await callOnce({
		host: machine.address,
		port: machine.callersPort,
		path,
		headers: clientHeaders({id, host, key, timeout: timeLimitMs}),
		timeout: timeLimitMs,
	});
	return {id, ...answer};
}

let isOver = false;
async function sendBackground() {
	for (let turn = 0; !isOver; turn++) {
		const machine = machines[turn % machines.length];
		if (isInTouch(machine)) {
			void call(machine, '/leny950/2f', keys.other);
		}

		await sleep(backgroundIntervalMs);
	}
}

void sendBackground();
await sleep(bounds.stable_window_ms + 1000);

/** Sends a copy of the crashing request to each machine that is in touch. */
async function sendCopies() {
	for (const machine of machines.filter(candidate => isInTouch(candidate))) {
		const before = arrivals.length;
		const {id, status, ending} = await call(machine, crashingPath, keys.crashing);
		run.record('copy-sent', {
			request: id,
			machine: machine.name,
			status,
			ending,
			reached: arrivals.slice(before).map(({server}) => server),
		});
	}
}

while (arrivals.length < 3) {
	await sendCopies();
	await sleep(copyIntervalMs);
}

const thirdCrashAt = arrivals[2].at;
run.record('third-crash', {at: thirdCrashAt});
await sleep(bounds.stable_window_ms + 1000);
const countFrom = run.now();
run.record('count-from', {at: countFrom, arrivals: arrivals.length});
for (const machine of machines) {
	if (run.isTroubled) {
		upSince.delete(machine);
		machine.signal('SIGTERM');
		await machine.exited();
		await sleep(restartMs);
		await start(machine);
	}

	await sleep(bounds.stable_window_ms + 500);
	await sendCopies();
	await sleep(copyIntervalMs);
	await sendCopies();
}

isOver = true;
await sleep(1000);
const late = arrivals.filter(({at}) => at >= countFrom);
const retries = new Set(late.map(({requestId}) => requestId));
run.record('late-arrivals', {late});
const summary = `later than stable_window_ms after the third crash, ${retries.size} copies reached and crashed ${late.length} servers (of ${arrivals.length} in all); crashes broke ${brokenByCrash.length} requests of others`;
await run.finish(retries.size > maxRetries ? 1 : 0, summary);
