/**
 * Downloads from servers of which some send additional bytes after a part of their complete answers.
 * A client must get the whole body, or see that it didn't.
 */
/* eslint-disable camelcase -- fields have the platform's names */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {callOnce, clientHeaders, digestOf, newRequestId} from '../lib/client.js';
import {bounds, createRun} from '../lib/run.js';
import {answerHeaders, configurationOf, slots} from '../lib/server.js';
import {createStore} from '../lib/store.js';

const host = 'hulo84.example';
const key = 'nn2ctnfzs989anu6wsjn';
const service = 'kafi81c';
/** Sizes of the bodies; the largest is that of the site file. */
const bodySizes = [90_000, 140_000, 200_000, 260_000, 330_000, 400_000, 470_000, 540_000];
const pieceBytes = 8000;
const serverCount = 4;
/** Half of the servers spoil one in twenty of their answers. */
const faultyServers = 2;
const spoiledInterval = 20;
const downloads = 600;
const clients = 8;
const timeLimitMs = 6000;

const run = createRun(import.meta.dirname);
const store = await createStore(run);
let spoiled = 0;

/** A body, and the same in chunks, as it goes over the wire. */
function createBody(size) {
	const whole = Buffer.alloc(size, 'season handbook ');
	const chunks = [];
	for (let begin = 0; begin < size; begin += pieceBytes) {
		const piece = whole.subarray(begin, begin + pieceBytes);
		chunks.push(Buffer.from(`${piece.length.toString(16)}\r\n`), piece, Buffer.from('\r\n'));
	}

	return {whole, chunked: Buffer.concat([...chunks, Buffer.from('0\r\n\r\n')])};
}

const bodies = bodySizes.map(size => createBody(size));

/**
 * A server of its own, because the HTTP server of Node.js doesn't send anything behind an answer. It
 * serves requests without a body, one at a time on each connection.
 */
async function createRawServer(id, isFaulty) {
	let answers = 0;

	function answer(socket, head) {
		const headers = Object.fromEntries(
			head
				.split('\r\n')
				.slice(1)
				.map(line => [line.split(': ', 1)[0].toLowerCase(), line.slice(line.indexOf(': ') + 2)]),
		);
		if (headers['x-shallotpond-target-instance'] !== id) {
			socket.write(
				`HTTP/1.1 421 Misdirected Request\r\nX-Shallotpond-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
			);
			return;
		}

		const requestId = headers['x-shallotpond-request-id'];
		run.record('server-run', {server: id, request: requestId});
		answers++;
		const isSpoiled = run.isTroubled && isFaulty && answers % spoiledInterval === 0;
		if (isSpoiled) {
			spoiled++;
			run.record('server-sends-more', {server: id, request: requestId});
		}

		const {whole, chunked} = bodies[Math.floor(Math.random() * bodies.length)];
		const lines = Object.entries({
			...answerHeaders(requestId, whole),
			'Transfer-Encoding': 'chunked',
		}).map(([name, value]) => `${name}: ${value}\r\n`);
		socket.write(
			Buffer.concat([
				Buffer.from(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`),
				chunked,
				Buffer.from(isSpoiled ? 'bytes that belong to no request\r\n' : ''),
			]),
		);
	}

	const server = net.createServer(socket => {
		let received = '';
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			received += bytes.toString('latin1');
			const end = received.indexOf('\r\n\r\n');
			if (end !== -1) {
				const head = received.slice(0, end);
				received = received.slice(end + 4);
				answer(socket, head);
			}
		});
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	run.atEnd(() => {
		server.close();
	});
	store.write(`servers/${id}`, {
		address: `127.0.0.1:${server.address().port}`,
		born: Date.now(),
		info: {service, version: 'v1', zone: 'fjordvik-nord', slots},
		status: {state: 'ready', sequence: 1, cold_remaining_ms: 0},
	});
}

for (let number = 1; number <= serverCount; number++) {
	await createRawServer(`i-handbok-${number}`, number <= faultyServers);
}

store.write(
	'op/config',
	configurationOf({
		version: 7,
		routes: [
			{
				name: 'r-handbok',
				host,
				prefix: '/cufi502/',
				kind: 'download',
				timeout_ms: 2500,
				service,
			},
		],
		services: [service],
		tenants: [{name: 'cuka620', api_keys: [key], priority: 1, rate_per_s: 0, burst: 0}],
	}),
);

const [machine] = await run.createMachines(['fjordvik-nord'], store.address);
machine.start();
await machine.untilReady();
await sleep(bounds.stable_window_ms + 1000);

async function download() {
	const id = newRequestId();
	const answer = await callOnce({
		host: machine.address,
		port: machine.callersPort,
		path: '/cufi502/2f',
		headers: clientHeaders({id, host, key, timeout: timeLimitMs}),
		timeout: timeLimitMs,
	});
	const isWhole = digestOf(answer.body) === answer.headers['x-shallotpond-response-seal'];
	run.record('client-got', {
		request: id,
		status: answer.status,
		framing: answer.headers['content-length'] ?? answer.headers['transfer-encoding'] ?? 'none',
		bytes: answer.body.length,
		ending: answer.ending,
		isWhole,
	});
	return {...answer, isWhole};
}

const results = [];
async function runClient() {
	while (results.length < downloads) {
		results.push(await download());
	}
}

await Promise.all(Array.from({length: clients}, async () => runClient()));
const successes = results.filter(({status, ending}) => status === 200 && ending === 'complete');
const wrong = successes.filter(({isWhole}) => !isWhole);
const summary = `${results.length} downloads, ${spoiled} answers followed by additional bytes; ${successes.length} complete successes to their clients, ${wrong.length} of these without the whole body`;
if (!run.isTroubled && successes.length < results.length) {
	await run.finish(2, summary);
}

await run.finish(wrong.length > 0 ? 1 : 0, summary);
