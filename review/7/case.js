/**
 * Clients send a further safe request before the first one has been answered. The first takes longer
 * than the time of the second one's route, and less than that of its own.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {openConnection} from '../stand-ins-2/client.js';
import {createConfiguration, createRoute, createServerEntry} from '../stand-ins-2/configuration.js';
import {bounds, createSettings, findPorts, startInstance, zones} from '../stand-ins-2/instance.js';
import {hasTrouble, runCase} from '../stand-ins-2/record.js';
import {startServer} from '../stand-ins-2/server.js';
import {startStore} from '../stand-ins-2/store.js';

const instanceHosts = ['127.77.1.1', '127.77.1.2'];
const serverHost = '127.78.1.1';
const routeHost = 'hulo84.example';
const key = 'nn2ctnfzs989anu6wsjn';
const serversOfService = 8;
/** Of the two routes: prefix, milliseconds of work, bytes of the answer, timeout of the route. */
const kinds = {
	long: {prefix: '/leny950/', service: 'huvo11a', work: 3000, bytes: 1500, timeout: 5000},
	short: {prefix: '/puka111/', service: 'kafi81c', work: 110, bytes: 30_000, timeout: 2500},
};
const limitMs = 8000;
const clients = 6;
const rounds = 3;
const settleMs = 1000;
/** Lost requests of kept connections above which the rule is broken. */
const maxLost = 3;

await runCase(import.meta.dirname, async ({note, now, folder, onCleanup}) => {
	const requests = new Map();
	const store = await startStore({host: serverHost});
	onCleanup(() => {
		store.stop();
	});
	store.put(
		'op/config',
		createConfiguration({
			version: 7,
			routes: Object.entries(kinds).map(([name, {prefix, service, timeout}]) =>
				createRoute({name, host: routeHost, prefix, kind: 'safe', service, timeout}),
			),
			services: Object.values(kinds).map(({service}) => service),
			keysByTenant: {cuka620: [key]},
		}),
	);
	for (const [kind, {service, work, bytes}] of Object.entries(kinds)) {
		for (let index = 0; index < serversOfService; index++) {
			const id = `i-${kind}${index}f3a91c2`;
			const server = await startServer({
				host: serverHost,
				id,
				note(text, details) {
					note(text, details);
					requests.get(details.id)?.events.push(text);
				},
				workOf: () => ({work, body: Buffer.alloc(bytes, kind)}),
			});
			onCleanup(() => {
				server.stop();
			});
			const zone = zones[index % zones.length];
			const born = Date.now() - 60_000;
			const {address} = server;
			store.put(`servers/${id}`, createServerEntry({address, service, zone, born}));
		}
	}

	const firstPort = await findPorts(instanceHosts, 19);
	const instances = instanceHosts.map((host, index) =>
		startInstance({
			settings: createSettings({
				index: index + 1,
				host,
				zone: zones[index],
				firstPort,
				seeds: instanceHosts,
				store: store.address,
				isFirstStart: true,
			}),
			folder,
			note,
		}),
	);
	onCleanup(() => {
		for (const instance of instances) {
			instance.end();
		}
	});
	await Promise.all(instances.map(async instance => instance.waitUntilReady()));
	// From here on the machines are in touch.
	await sleep(bounds.stable_window_ms + settleMs);

	async function runClient(index) {
		let connection;
		let answersOnConnection = 0;

		function open() {
			answersOnConnection = 0;
			connection = openConnection({
				address: instances[index % instances.length].address,
				onAnswer(id, {status, headers, body}) {
					answersOnConnection++;
					const after = Math.round(now() - requests.get(id).sentAt);
					note('answered', {id, status, after, own: headers['x-shallotpond-request-id'] === id});
					Object.assign(requests.get(id), {status, bytes: body.length});
				},
				onEnd(ids, reason) {
					for (const id of ids) {
						const request = requests.get(id);
						request.cutAfter = Math.round(now() - request.sentAt);
						note('connection ends without an answer', {id, reason, after: request.cutAfter});
					}
				},
			});
		}

		async function ask(names) {
			const sent = names.map(kind => {
				const id = (requests.size + 1).toString(16).padStart(16, '0');
				requests.set(id, {id, kind, sentAt: now(), isKept: answersOnConnection > 0, events: []});
				return {path: `${kinds[kind].prefix}2f`, host: routeHost, id, key, limit: limitMs};
			});
			note('sent', {client: index, requests: sent.map(({id, path}) => `${id} ${path}`)});
			connection.send(sent);
			while (connection.waiting > 0 && connection.isUsable) {
				await sleep(10);
			}
		}

		open();
		for (let round = 0; round < rounds; round++) {
			if (!connection.isUsable) {
				open();
			}

			await ask(['short']);
			if (hasTrouble) {
				await ask(['long', 'short']);
			} else {
				await ask(['long']);
				await ask(['short']);
			}
		}

		connection.close();
	}

	await Promise.all(Array.from({length: clients}, async (_, index) => runClient(index)));
	const lost = [...requests.values()].filter(
		({kind, isKept, status, cutAfter, events}) =>
			isKept &&
			status === undefined &&
			events.includes('arrives') &&
			cutAfter < Math.min(limitMs, kinds[kind].timeout),
	);
	note('totals', {
		requests: requests.size,
		answered: [...requests.values()].filter(({status}) => status === 200).length,
		lostWithinTheirTime: lost.length,
	});
	return lost.length > maxLost ? lost.map(request => ({rule: 'LOST', ...request})) : [];
});
