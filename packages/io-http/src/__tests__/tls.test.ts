/**
 * Guards against TLS faults: a reload that breaks open connections or adopts an invalid
 * certificate, a target whose certificate is checked against a name that the caller chooses, a
 * truncated response that looks complete to the caller, and an unfinished handshake that is taken
 * for a request that may have run.
 */
import {copyFile, mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import https from 'node:https';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import tls from 'node:tls';
import {afterEach, beforeEach, expect, test} from '@jest/globals';
import {createLookupTables} from '@shallotpond/configuration/lookup-tables';
import {createTlsContext, type TlsContext} from '../tls-context.js';
import {createFixture, key, problemOf, send, waitUntil, type Fixture} from './support.js';

// Self-signed for these tests only: `first` and `second` for 127.0.0.1, `elsewhere` for another
// name.
const certificates = fileURLToPath(new URL('certificates/', import.meta.url));
const certificateOf = async (name: string) =>
	readFile(`${certificates}${name}-certificate.pem`, 'utf8');
const keyOf = async (name: string) => readFile(`${certificates}${name}-key.pem`, 'utf8');

let folder: string;
let context: TlsContext;
let fixture: Fixture;

async function install(name: string): Promise<void> {
	await copyFile(`${certificates}${name}-certificate.pem`, path.join(folder, 'certificate.pem'));
	await copyFile(`${certificates}${name}-key.pem`, path.join(folder, 'key.pem'));
}

beforeEach(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'shallotpond-tls-'));
	await install('first');
	context = await createTlsContext({
		certificate: path.join(folder, 'certificate.pem'),
		key: path.join(folder, 'key.pem'),
	});
});

afterEach(async () => {
	await fixture.stop();
	await rm(folder, {recursive: true});
});

/** Sends one request on the connection and resolves with the text received by then. */
async function sendRequest(socket: tls.TLSSocket): Promise<string> {
	let text = '';
	const collect = (chunk: Uint8Array) => {
		text += String(chunk);
	};

	socket.on('data', collect);
	socket.write(`GET / HTTP/1.1\r\nHost: a\r\nX-Api-Key: ${key}\r\n\r\n`);
	await waitUntil(() => text.includes('\r\n\r\n'));
	socket.off('data', collect);
	return text;
}

async function connect(authority: string): Promise<tls.TLSSocket> {
	const options = {
		host: '127.0.0.1',
		port: fixture.listener.port,
		ca: await certificateOf(authority),
	};
	return new Promise((resolve, reject) => {
		const socket = tls.connect(options, () => {
			resolve(socket);
		});
		socket.on('error', reject);
	});
}

test('a new certificate serves new connections, and open ones continue', async () => {
	fixture = await createFixture({targets: 1, listener: {tls: context}});
	const open = await connect('first');
	expect(await sendRequest(open)).toMatch(/^HTTP\/1\.1 200 /);
	await install('second');
	await context.reload();
	expect(await sendRequest(open)).toMatch(/^HTTP\/1\.1 200 /);
	const fresh = await connect('second');
	expect(await sendRequest(fresh)).toMatch(/^HTTP\/1\.1 200 /);
	await expect(connect('first')).rejects.toThrow();
	expect(fixture.received()[0]!.rawHeaders).toEqual(
		expect.arrayContaining(['x-forwarded-proto', 'https']),
	);
});

test('an invalid certificate changes nothing', async () => {
	fixture = await createFixture({targets: 1, listener: {tls: context}});
	await writeFile(path.join(folder, 'key.pem'), await keyOf('second'));
	await expect(context.reload()).rejects.toMatchObject({code: 'invalid-certificate'});
	await writeFile(path.join(folder, 'certificate.pem'), 'not a certificate');
	await expect(context.reload()).rejects.toMatchObject({code: 'invalid-certificate'});
	expect(await sendRequest(await connect('first'))).toMatch(/^HTTP\/1\.1 200 /);
});

test('a cut response over TLS does not end cleanly', async () => {
	fixture = await createFixture({targets: 1, listener: {tls: context}});
	fixture.target.setBehaviour({
		kind: 'raw',
		bytes: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
		ends: true,
	});
	const error = await new Promise(resolve => {
		https
			.get(
				{
					host: '127.0.0.1',
					port: fixture.listener.port,
					agent: false,
					rejectUnauthorized: false,
					headers: {'x-api-key': key},
				},
				response => {
					response.on('error', resolve).on('end', () => {
						resolve('clean end');
					});
					response.resume();
				},
			)
			.on('error', resolve);
	});
	expect(error).toMatchObject({code: 'ECONNRESET'});
});

test('targets over TLS are verified by their address, whatever Host the caller sends', async () => {
	const target = {tls: {cert: await certificateOf('first'), key: await keyOf('first')}};
	const options = {targets: 1, target, service: {tls: true}};
	fixture = await createFixture({
		...options,
		listener: {targetTls: {authorities: await certificateOf('first')}},
	});
	expect(await send(fixture, {headers: {'x-api-key': key, host: 'elsewhere.test'}})).toMatchObject({
		status: 200,
	});
	await fixture.stop();

	fixture = await createFixture(options);
	expect(problemOf(await send(fixture)).outcome).toBe('not-run');
	expect(fixture.received()).toHaveLength(0);
	await fixture.stop();

	fixture = await createFixture({...options, listener: {targetTls: {isVerified: false}}});
	expect(await send(fixture)).toMatchObject({status: 200});
});

test('a target with a certificate for another name is refused, also when the caller names it', async () => {
	fixture = await createFixture({
		targets: 1,
		target: {tls: {cert: await certificateOf('elsewhere'), key: await keyOf('elsewhere')}},
		service: {tls: true},
		listener: {targetTls: {authorities: await certificateOf('elsewhere')}},
	});
	const response = await send(fixture, {headers: {'x-api-key': key, host: 'elsewhere.test'}});
	expect(problemOf(response).outcome).toBe('not-run');
	expect(fixture.received()).toHaveLength(0);
});

test('a POST to a target that never finishes its handshake is sent to another one', async () => {
	fixture = await createFixture({
		targets: 2,
		target: {tls: {cert: await certificateOf('first'), key: await keyOf('first')}},
		service: {tls: true},
		listener: {targetTls: {authorities: await certificateOf('first')}},
	});
	const sockets = new Set<net.Socket>();
	const silent = net.createServer(socket => void sockets.add(socket.on('error', () => undefined)));
	await new Promise<void>(resolve => {
		silent.listen(0, '127.0.0.1', resolve);
	});
	const document = structuredClone(fixture.state.tables!.document);
	const {port} = silent.address() as net.AddressInfo;
	document.services.roster!.targets[0]!.address = `127.0.0.1:${port}`;
	fixture.state.tables = createLookupTables(document);
	expect(await send(fixture, {method: 'POST', body: 'swap'})).toMatchObject({status: 200});
	const results = fixture.state.outcomes.map(({result}) => result);
	expect(results).toEqual(['connection-failed', 'ok']);
	for (const socket of sockets) {
		socket.destroy();
	}

	await new Promise(resolve => {
		silent.close(resolve);
	});
});
