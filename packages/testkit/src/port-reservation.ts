/**
 * Reserves ports for processes whose ports must be configured before they start. The ports lie
 * below the range from which the operating system chooses, so no other socket gets one by chance,
 * and each is held by a lock until this process ends, so no other test process reserves it.
 */
import net, {type Server} from 'node:net';

const firstPort = 15_000;
/** The ephemeral ports of Linux begin at 32,768. */
const portCount = 17_000;
/** A port counts as reserved while it is bound at this address, which no process under test uses. */
const lockAddress = '127.255.255.254';
const maxAttempts = 100;

/** Resolves with the listening server, or with undefined if the port is in use. */
async function listen(port: number, address: string): Promise<Server | undefined> {
	const server = net.createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, address, () => {
			resolve(server);
		});
	});
}

async function close(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
}

async function tryReserve(port: number, count: number): Promise<boolean> {
	const locks: Server[] = [];
	for (let offset = 0; offset < count; offset++) {
		const lock = await listen(port + offset, lockAddress);
		if (lock !== undefined) {
			locks.push(lock);
		}

		const probe = lock && (await listen(port + offset, '127.0.0.1'));
		if (probe === undefined) {
			await Promise.all(locks.map(async held => close(held)));
			return false;
		}

		await close(probe);
	}

	for (const lock of locks) {
		lock.unref();
	}

	return true;
}

/**
 * Returns the first of `count` successive ports that are free at 127.0.0.1 and stay reserved until
 * this process ends. Throws an `Error` if there are none.
 */
export async function reservePorts(count = 1): Promise<number> {
	for (let attempt = 0; attempt < maxAttempts; attempt++) {
		const port = firstPort + Math.floor(Math.random() * (portCount - count));
		if (await tryReserve(port, count)) {
			return port;
		}
	}

	throw new Error(`no ${count} free ports found in ${maxAttempts} attempts`);
}
