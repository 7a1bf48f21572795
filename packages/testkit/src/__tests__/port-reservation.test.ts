/**
 * Guards against a port that another process takes between its choice and its use, so that the
 * process under test cannot start.
 */
import net, {type AddressInfo, type Server} from 'node:net';
import {expect, test} from '@jest/globals';
import {reservePorts} from '../port-reservation.js';

async function listen(port: number): Promise<Server> {
	const server = net.createServer();
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	return server;
}

async function closeAll(servers: readonly Server[]): Promise<void> {
	for (const server of servers) {
		server.close();
	}
}

test('reserved ports can be used and are reserved once', async () => {
	const ports = await Promise.all(Array.from({length: 40}, async () => reservePorts(3)));
	const all = ports.flatMap(port => [port, port + 1, port + 2]);
	expect(new Set(all).size).toBe(120);
	const servers = await Promise.all(all.map(async port => listen(port)));
	await closeAll(servers);
});

test('the operating system gives a reserved port to nobody else', async () => {
	const reserved = await reservePorts();
	const servers = await Promise.all(Array.from({length: 200}, async () => listen(0)));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	expect(ports.every(port => port >= 32_768 && port !== reserved)).toBe(true);
	await closeAll(servers);
});
