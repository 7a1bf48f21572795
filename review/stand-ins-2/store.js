/* eslint-disable camelcase -- names of the platform */
/**
 * Stand-in of the platform's store: items with revisions, reads of a range and waiting watches. It
 * answers as the pages say. In a drill it is away for a moment and comes back from an older copy.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const answerDelayMs = 4;
const maxWaitMs = 30_000;

export async function startStore({host}) {
	const items = new Map();
	const history = [];
	const watches = new Set();
	let revision = 100;
	let era = 1;
	let isAway = false;
	let copy;

	function record(event) {
		history.push(event);
		for (const watch of watches) {
			watch.answer();
		}
	}

	function reply(response, status, body) {
		setTimeout(() => {
			if (isAway) {
				response.destroy();
				return;
			}

			response.writeHead(status, {'content-type': 'application/json', 'store-era': era});
			response.end(JSON.stringify(body));
		}, answerDelayMs);
	}

	const handlers = {
		'/api/kv-range'(query, response) {
			const prefix = query.get('prefix') ?? '';
			const after = query.get('after') ?? '';
			const found = [...items.values()]
				.filter(({key}) => key.startsWith(prefix) && key > after)
				.toSorted((first, second) => (first.key < second.key ? -1 : 1));
			reply(response, 200, {items: found, has_more: false, as_of: revision});
		},
		'/api/kv-watch'(query, response) {
			const prefix = query.get('prefix') ?? '';
			const after = Number(query.get('after'));
			if (after > revision) {
				reply(response, 410, {});
				return;
			}

			const eventsAfter = () =>
				history.filter(event => event.revision > after && event.key.startsWith(prefix));
			const watch = {
				answer() {
					const events = eventsAfter();
					if (events.length > 0) {
						finish(events);
					}
				},
			};
			const timer = setTimeout(
				() => {
					finish([]);
				},
				Math.min(Number(query.get('wait_ms') ?? 0), maxWaitMs),
			);

			function finish(events) {
				clearTimeout(timer);
				watches.delete(watch);
				reply(response, 200, {events, as_of: revision});
			}

			watches.add(watch);
			response.once('close', () => {
				clearTimeout(timer);
				watches.delete(watch);
			});
			watch.answer();
		},
	};

	const server = http.createServer((request, response) => {
		if (isAway) {
			request.destroy();
			return;
		}

		const url = new URL(request.url, `http://${host}`);
		const handler = handlers[url.pathname];
		if (handler === undefined) {
			reply(response, 404, {});
		} else {
			handler(url.searchParams, response);
		}
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		/** Writes an item; the time of the return is that of the ack. */
		put(key, content) {
			revision++;
			const item = {
				key,
				value: Buffer.from(JSON.stringify(content)).toString('base64'),
				revision,
				created: items.get(key)?.created ?? revision,
				lease: 0,
			};
			items.set(key, item);
			record(item);
		},
		remove(key) {
			if (items.delete(key)) {
				revision++;
				record({key, revision, deleted: true});
			}
		},
		/** Keeps a copy of what is stored now. */
		keepCopy() {
			copy = {items: new Map(items), revision, length: history.length};
		},
		leave() {
			isAway = true;
			server.closeAllConnections();
			watches.clear();
		},
		/** Comes back from the copy: what was written since is gone, and the era rises. */
		returnFromCopy() {
			items.clear();
			for (const [key, item] of copy.items) {
				items.set(key, item);
			}

			history.length = copy.length;
			({revision} = copy);
			era++;
			isAway = false;
		},
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}
