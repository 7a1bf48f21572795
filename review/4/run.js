/**
 * Two of the three machines of a zone are stopped at once, while clients go on sending requests that
 * take a second. No request that such a machine has read and passed on may end without an answer.
 */
/* eslint-disable camelcase -- fields have the platform's names */
/* eslint-disable unicorn/prefer-top-level-await -- these calls run beside the main sequence */
import {setTimeout as sleep} from 'node:timers/promises';
import {createBalancer} from '../lib/balancer.js';
import {callOnce, clientHeaders, digestOf, newRequestId} from '../lib/client.js';
import {bounds, createRun} from '../lib/run.js';
import {answerHeaders, configurationOf, createServer} from '../lib/server.js';
import {createStore} from '../lib/store.js';

const host = 'jepu9.example';
const key = 'nn2ctnfzs989anu6wsjn';
const service = 'wuno96b';
const workMs = 1000;
const routeTimeoutMs = 3000;
const timeLimitMs = 6000;
const requestsPerSecond = 15;
const servers = 8;
const trafficMs = 14_000;
const stopAfterMs = 4000;
const restartMs = 500;
const graceMs = bounds.grace_s * 1000;
/** A request sent this long after the SIGTERM or earlier may be cut in the last sixth of the grace. */
const excusedSendMs = 3000;

const run = createRun(import.meta.dirname);
const store = await createStore(run);
/** The run of each request id at a server. */
const runs = new Map();

for (let number = 1; number <= servers; number++) {
	const server = await createServer(run, {
		id: `i-bytte-${number}`,
		service,
		zone: 'havnelager',
		onRun({id, requestId, at}) {
			runs.set(requestId, {server: id, beganAt: at, count: (runs.get(requestId)?.count ?? 0) + 1});
		},
		async work({request, response, requestId}) {
			await sleep(workMs);
			const body = `booked ${requestId}`;
			const {remoteAddress} = request.socket;
			runs.get(requestId).endedAt = run.now();
			runs.get(requestId).isCut = response.destroyed || remoteAddress === undefined;
			response.writeHead(200, {...answerHeaders(requestId, body), 'Content-Length': body.length});
			response.end(body);
		},
	});
	store.write(server.key, server.entry());
}

store.write(
	'op/config',
	configurationOf({
		version: 7,
		routes: [
			{
				name: 'r-bytte',
				host,
				prefix: '/puka111/',
				kind: 'unsafe',
				timeout_ms: routeTimeoutMs,
				service,
			},
		],
		services: [service],
		tenants: [{name: 'cuka620', api_keys: [key], priority: 1, rate_per_s: 0, burst: 0}],
	}),
);

const machines = await run.createMachines(
	['havnelager', 'havnelager', 'havnelager'],
	store.address,
);
for (const machine of machines) {
	machine.start();
}

for (const machine of machines) {
	await machine.untilReady();
}

await sleep(2000);
const balancer = createBalancer(run, machines);
const sigtermAt = new Map();
const requests = [];

async function send() {
	const machine = balancer.choose();
	const id = newRequestId();
	const sent = {id, machine, sentAt: run.now()};
	requests.push(sent);
	run.record('client-sent', {request: id, machine: machine.name});
	const answer = await callOnce({
		host: machine.address,
		port: machine.callersPort,
		path: '/puka111/2f',
		method: 'POST',
		headers: {...clientHeaders({id, host, key, timeout: timeLimitMs}), 'Content-Length': 4},
		body: 'swap',
		timeout: timeLimitMs,
	});
	sent.endedAt = run.now();
	sent.status = answer.status;
	sent.ending = answer.ending;
	sent.isWhole =
		answer.ending === 'complete' &&
		(answer.status !== 200 ||
			digestOf(answer.body) === answer.headers['x-shallotpond-response-seal']);
	run.record('client-got', {
		request: id,
		machine: machine.name,
		after: sent.endedAt - sent.sentAt,
		status: answer.status,
		ending: answer.ending,
		error: answer.error,
	});
}

/** The platform's stop: SIGTERM, SIGKILL after the grace, and a new start. */
async function stop(machine) {
	sigtermAt.set(machine, run.now());
	machine.signal('SIGTERM');
	const timer = setTimeout(() => {
		machine.signal('SIGKILL');
	}, graceMs);
	await machine.exited();
	clearTimeout(timer);
	await sleep(restartMs);
	machine.start();
}

const started = run.now();
const open = [];
let isStopped = false;
while (run.now() - started < trafficMs) {
	open.push(send());
	if (run.isTroubled && !isStopped && run.now() - started >= stopAfterMs) {
		isStopped = true;
		void stop(machines[0]);
		void stop(machines[1]);
	}

	await sleep(1000 / requestsPerSecond);
}

await Promise.all(open);

/** Whether the rule LOST counts the request. */
function isLost({id, machine, sentAt, endedAt, isWhole}) {
	const at = sigtermAt.get(machine);
	const ran = runs.get(id);
	if (isWhole || at === undefined || ran === undefined) {
		return false;
	}

	const isAroundStop = sentAt <= at + graceMs + 1000 && endedAt >= at;
	const isExcused = sentAt - at <= excusedSendMs && endedAt - at >= (graceMs * 5) / 6;
	const isTimedOut = endedAt - sentAt >= routeTimeoutMs;
	return isAroundStop && !isExcused && !isTimedOut;
}

const lost = requests.filter(request => isLost(request));
for (const {id, machine, sentAt, endedAt, status, ending} of lost) {
	run.record('lost', {
		request: id,
		machine: machine.name,
		sentAfterSigterm: sentAt - sigtermAt.get(machine),
		cutAfterSigterm: endedAt - sigtermAt.get(machine),
		status,
		ending,
		server: runs.get(id),
	});
}

const whole = requests.filter(({isWhole, status}) => isWhole && status === 200).length;
const summary = `${requests.length} requests, ${whole} served, ${lost.length} read, passed on and cut without an answer`;
if (!run.isTroubled && whole < requests.length) {
	await run.finish(2, summary);
}

await run.finish(lost.length > 0 ? 1 : 0, summary);
