#!/usr/bin/env node
/**
 * Clients send a few safe requests before the first is answered. Some servers answer now and then
 * without a length, so that the end of the connection is the end of the answer. Each request that
 * was passed on to a sound server must be answered.
 */
/* eslint-disable camelcase -- field names of the platform's pages */
import {randomBytes} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfiguration, host} from '../stand-ins-3/configuration.js';
import {createFleet} from '../stand-ins-3/fleet.js';
import {sendPipelined} from '../stand-ins-3/pipelining-client.js';
import {createRecord} from '../stand-ins-3/record.js';
import {createStore} from '../stand-ins-3/store.js';
import {createTargetServer, sealOf} from '../stand-ins-3/target-server.js';

const hasTrouble = process.env.TROUBLE !== '0';
/** `garble` with `unframed`: half of the servers leave the length out of 1 in 20 answers, for 5 s. */
const unframedShare = 0.05;
const unframedFromMs = 2000;
const unframedForMs = 5000;
const zones = ['suva-a', 'suva-b'];
const serverCount = 4;
const clientCount = 8;
const requestsPerConnection = 4;
const durationMs = 9000;
/** Requests that the machines may leave without an answer. */
const maxUnanswered = 3;
const stableWindowMs = 3000;

const record = createRecord(path.join(import.meta.dirname, 'record.txt'));
const store = createStore();
const runs = new Map();
let trafficFrom = Number.POSITIVE_INFINITY;

function isDisturbance() {
	const time = performance.now() - trafficFrom - unframedFromMs;
	return time >= 0 && time < unframedForMs;
}

const servers = Array.from({length: serverCount}, (_, index) => {
	const isDisturbed = hasTrouble && index >= serverCount / 2;
	return createTargetServer({
		id: `i-${isDisturbed ? 'disturbed' : 'sound'}-${index + 1}`,
		service: 'ratebook',
		zone: zones[index % zones.length],
		store,
		workMs: 60,
		isUnframed: () => isDisturbed && isDisturbance() && Math.random() < unframedShare,
		onRun({request, server}) {
			runs.set(request, server);
			record.write('runs', {request, server});
		},
	});
});

function formatRequest(id) {
	return [
		`GET /rates/${id.slice(0, 4)} HTTP/1.1`,
		`Host: ${host}`,
		`X-Shallotpond-Request-Id: ${id}`,
		'X-Shallotpond-Deadline-Ms: 2500',
		'',
		'',
	].join('\r\n');
}

const counts = {sent: 0, answered: 0, unansweredAtSound: 0, notPassedOn: 0, otherwise: 0, wrong: 0};

function judge(ids, {answers, end}) {
	for (const [index, id] of ids.entries()) {
		counts.sent++;
		const answer = answers[index];
		const server = runs.get(id);
		if (answer !== undefined) {
			counts.answered++;
			const isRight =
				answer.status !== 200 ||
				(answer.headers['x-shallotpond-request-id'] === id &&
					answer.headers['x-shallotpond-response-seal'] === sealOf(answer.body));
			counts.wrong += Number(!isRight);
			record.write('answered', {request: id, status: answer.status});
		} else if (server === undefined) {
			counts.notPassedOn++;
			record.write('unanswered', {request: id, end, passedOn: 'no'});
		} else if (end === 'time-limit' || !server.startsWith('i-sound')) {
			counts.otherwise++;
			record.write('unanswered', {request: id, end, passedOn: server});
		} else {
			counts.unansweredAtSound++;
			record.write('unanswered', {request: id, end, passedOn: server, counts: 'LOST'});
		}
	}
}

async function runClient(address, port, endAt) {
	while (performance.now() < endAt) {
		const ids = Array.from({length: requestsPerConnection}, () => randomBytes(8).toString('hex'));
		for (const id of ids) {
			record.write('sent', {request: id, machine: address});
		}

		const requests = ids.map(id => formatRequest(id));
		const result = await sendPipelined({address, port, requests, timeoutMs: 3000});
		judge(ids, result);
		await sleep(50);
	}
}

async function main() {
	await store.start();
	store.write(
		'op/config',
		createConfiguration({
			version: 1,
			services: ['ratebook'],
			routes: [
				{name: 'rate-lookup', prefix: '/rates/', service: 'ratebook', kind: 'safe', public: true},
			],
			tenants: [{name: 'reef', api_keys: ['key-of-reef-0000'], rate_per_s: 0, burst: 0}],
		}),
	);
	for (const server of servers) {
		await server.start();
	}

	const fleet = await createFleet({size: 2, seeds: [0, 1], zones, store, record});
	try {
		const machines = [0, 1];
		fleet.placeSettings(machines);
		fleet.start(machines);
		await fleet.waitUntilReady(machines, 15_000);
		await sleep(stableWindowMs);
		trafficFrom = performance.now();
		const endAt = trafficFrom + durationMs;
		const clients = Array.from({length: clientCount}, (_, index) =>
			runClient(fleet.addresses[index % 2], fleet.ports.front, endAt),
		);
		await Promise.all(clients);
	} finally {
		await fleet.stop();
		for (const server of servers) {
			server.stop();
		}

		store.stop();
	}

	const isBroken = counts.unansweredAtSound > maxUnanswered;
	record.write('result', {...counts, allowed: maxUnanswered, broken: isBroken});
	record.save();
	console.log(JSON.stringify({...counts, isBroken}));
	return isBroken ? 1 : 0;
}

try {
	process.exit(await main());
} catch (error) {
	console.error(error);
	record.write('failed', {error: String(error)});
	record.save();
	process.exit(2);
}
