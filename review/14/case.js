#!/usr/bin/env node
/**
 * Four tenants each ask for one page again and again. Twice, for some seconds, servers forget idle
 * connections; no server crashes. No tenant may be served less than a quarter as often as all.
 */
/* eslint-disable camelcase -- field names of the platform's pages */
import {randomBytes} from 'node:crypto';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../stand-ins-3/client.js';
import {createConfiguration, host} from '../stand-ins-3/configuration.js';
import {createFleet} from '../stand-ins-3/fleet.js';
import {createRecord} from '../stand-ins-3/record.js';
import {createStore} from '../stand-ins-3/store.js';
import {createTargetServer} from '../stand-ins-3/target-server.js';

const hasTrouble = process.env.TROUBLE !== '0';
const zones = ['suva-a', 'suva-b'];
const serversPerService = 8;
const services = ['ratebook', 'slotdesk', 'quotesign', 'tariffdex'];
const tenantCount = 4;
const tenants = Array.from({length: tenantCount}, (_, index) => ({
	name: `tenant-${index + 1}`,
	api_keys: [`key-of-tenant-${index + 1}`],
	rate_per_s: 40,
	burst: 40,
}));
const pollMs = 700;
const dayMs = 100_000;
/** `idle_race`: 0.6 of the servers forget connections that rested 230 ms, for 6.6 s. */
const forgetStartsMs = [2000, 15_000];
const forgetForMs = 6600;
const forgetAfterMs = 230;
const forgettingShare = 0.6;
const stableWindowMs = 3000;
/** Fraction of the share of all requests that are served. */
const minFraction = 0.25;

const record = createRecord(path.join(import.meta.dirname, 'record.txt'));
const store = createStore();
let trafficFrom = Number.POSITIVE_INFINITY;

function isDisturbance() {
	const time = performance.now() - trafficFrom;
	return hasTrouble && forgetStartsMs.some(start => time >= start && time < start + forgetForMs);
}

const servers = services.flatMap(service =>
	Array.from({length: serversPerService}, (_, index) =>
		createTargetServer({
			id: `i-${service}-${index + 1}`,
			service,
			zone: zones[index % zones.length],
			store,
			workMs: 100,
			forgetsAfterMs: () =>
				isDisturbance() && index < serversPerService * forgettingShare
					? forgetAfterMs
					: Number.POSITIVE_INFINITY,
			onRun({request, server, tenant}) {
				record.write('runs', {request, server, tenant});
			},
		}),
	),
);

const counts = new Map(tenants.map(({name}) => [name, {sent: 0, served: 0, refused: 0}]));

async function ask(fleet, index) {
	const tenant = tenants[index];
	const count = counts.get(tenant.name);
	const id = randomBytes(8).toString('hex');
	const machine = Math.floor(Math.random() * fleet.addresses.length);
	count.sent++;
	record.write('sent', {request: id, tenant: tenant.name, machine: machine + 1});
	const {status, code} = await sendRequest({
		address: fleet.addresses[machine],
		port: fleet.ports.front,
		host,
		path: `/${services[index % services.length]}/today`,
		id,
		key: tenant.api_keys[0],
		timeLimit: 2500,
	});
	count.served += Number(status === 200);
	count.refused += Number(status === 503);
	record.write('answered', {request: id, tenant: tenant.name, status, ...(code && {code})});
}

async function poll(fleet, index) {
	while (performance.now() < trafficFrom + dayMs) {
		void ask(fleet, index);
		await sleep(pollMs);
	}
}

async function main() {
	await store.start();
	store.write(
		'op/config',
		createConfiguration({
			version: 1,
			services,
			routes: services.map(service => ({
				name: `${service}-page`,
				prefix: `/${service}/`,
				service,
				kind: 'safe',
			})),
			tenants,
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
		await Promise.all(tenants.map((_, index) => poll(fleet, index)));
		await sleep(2500);
	} finally {
		await fleet.stop();
		for (const server of servers) {
			server.stop();
		}

		store.stop();
	}

	const all = {sent: 0, served: 0};
	for (const {sent, served} of counts.values()) {
		all.sent += sent;
		all.served += served;
	}

	const starved = [...counts].filter(
		([, {sent, served}]) => served / sent < (all.served / all.sent) * minFraction,
	);
	const isBroken = starved.length > 0;
	const summary = [...counts].map(
		([name, {sent, served, refused}]) => `${name}:${served}/${sent},503:${refused}`,
	);
	record.write('result', {
		summary: summary.join(';'),
		starved: starved.map(([name]) => name).join(',') || 'none',
		broken: isBroken,
	});
	record.save();
	console.log(JSON.stringify({summary, isBroken}));
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
