/**
 * Finds free ports for processes whose ports must be configured before they start.
 */
import net, {type AddressInfo} from 'node:net';

/**
 * Returns a port on loopback that was free a moment ago. Another process may take it before its
 * use.
 */
export async function findFreePort(): Promise<number> {
	const server = net.createServer();
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	return port;
}
