#!/usr/bin/env node
/**
 * All machines are killed while one tenant sends many times its usual. The three seeds stay without
 * power for a few seconds, the others start again at once. The requests of the tenant that run in
 * any window must stay within its allowance.
 */
/* eslint-disable camelcase -- field names of the platform's pages */
import {randomBytes} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../stand-ins-3/client.js';
import {createConfiguration, host} from '../stand-ins-3/configuration.js';
import {bounds, createFleet} from '../stand-ins-3/fleet.js';
import {createRecord} from '../stand-ins-3/record.js';
import {createStore} from '../stand-ins-3/store.js';
import {createTargetServer} from '../stand-ins-3/target-server.js';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['nord', 'sor', 'havn'];
const machineCount = 9;
const seeds = [0, 1, 2];
const others = [3, 4, 5, 6, 7, 8];
const serverCount = 12;
const tenant = {name: 'reef', api_keys: ['key-of-reef-0000'], rate_per_s: 40, burst: 40};
const usualPerSecond = 40;
/** `hot_tenant`: 7.5 times the usual for 6.5 s. */
const hotFactor = 7.5;
const hotMs = 6500;
/** `node_kill` with `power`: 3.5 s without power. */
const powerLossMs = 3500;
const restartDelayMs = 400;
const stableWindowMs = 3000;

const record = createRecord(path.join(import.meta.dirname, 'record.txt'));
const store = createStore();
const sentAt = new Map();
/** Times at which requests of the tenant were sent and began to run. */
const runs = [];
const servers = Array.from({length: serverCount}, (_, index) =>
	createTargetServer({
		id: `i-${index + 1}`,
		service: 'rota',
		zone: zones[index % zones.length],
		store,
		workMs: 20,
		onRun({request, server}) {
			runs.push({sentAt: sentAt.get(request), ranAt: record.now()});
			record.write('runs', {request, server, tenant: tenant.name});
		},
	}),
);

/** Largest number of requests that were both sent and run in one window. */
function countInWorstWindow() {
	const windowMs = bounds.quota_window_s * 1000;
	let worst = {count: 0, from: 0};
	for (const {sentAt: from} of runs) {
		const inside = runs.filter(run => run.sentAt >= from && run.ranAt < from + windowMs);
		if (inside.length > worst.count) {
			worst = {count: inside.length, from};
		}
	}

	return worst;
}

const statuses = new Map();

async function send(fleet) {
	const id = randomBytes(8).toString('hex');
	const machine = others[Math.floor(Math.random() * others.length)];
	sentAt.set(id, record.now());
	record.write('sent', {request: id, machine: machine + 1});
	const {status, isWrong} = await sendRequest({
		address: fleet.addresses[machine],
		port: fleet.ports.front,
		host,
		path: `/rota/${id.slice(0, 4)}`,
		id,
		key: tenant.api_keys[0],
		timeLimit: 2500,
	});
	statuses.set(status, (statuses.get(status) ?? 0) + 1);
	record.write('answered', {request: id, status, ...(isWrong && {wrong: true})});
}

/** Sends requests evenly for a while; does not wait for the last answers. */
async function sendFor(fleet, durationMs, perSecond) {
	const startedAt = performance.now();
	for (let sent = 0; ; sent++) {
		const dueAt = startedAt + (sent * 1000) / perSecond;
		if (dueAt - startedAt >= durationMs) {
			return;
		}

		await sleep(Math.max(0, dueAt - performance.now()));
		void send(fleet);
	}
}

async function restart(fleet, machines, delayMs) {
	await sleep(delayMs);
	fleet.placeSettings(machines);
	fleet.start(machines);
}

async function main() {
	await store.start();
	store.write(
		'op/config',
		createConfiguration({
			version: 1,
			services: ['rota'],
			routes: [{name: 'rota-lookup', prefix: '/rota/', service: 'rota', kind: 'safe'}],
			tenants: [tenant],
		}),
	);
	for (const server of servers) {
		await server.start();
	}

	const fleet = await createFleet({size: machineCount, seeds, zones, store, record});
	try {
		const all = [...seeds, ...others];
		fleet.placeSettings(all);
		fleet.start(all);
		await fleet.waitUntilReady(all, 20_000);
		fleet.setRunning();
		await sleep(stableWindowMs);
		await sendFor(fleet, 2000, usualPerSecond);
		if (hasTrouble) {
			fleet.signal(all, 'SIGKILL');
			void restart(fleet, others, restartDelayMs);
			void restart(fleet, seeds, powerLossMs);
		}

		await sendFor(fleet, hotMs, usualPerSecond * hotFactor);
		await sendFor(fleet, 2000, usualPerSecond);
		await sleep(2500);
	} finally {
		await fleet.stop();
		for (const server of servers) {
			server.stop();
		}

		store.stop();
	}

	const {rate_per_s: rate, burst} = tenant;
	const bound = rate * bounds.quota_window_s + burst;
	const allowed = bound * (1 + bounds.quota_excess) + bounds.quota_slack;
	const {count, from} = countInWorstWindow();
	const isBroken = count > allowed;
	const answers = [...statuses].map(([status, number]) => `${status}:${number}`).join(',');
	record.write('result', {count, from: from.toFixed(0), allowed, broken: isBroken, answers});
	record.save();
	console.log(JSON.stringify({count, allowed, isBroken, answers}));
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
