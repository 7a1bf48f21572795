/**
 * Stand-in for the platform's store: the read calls of its protocol, in memory. It is always up and
 * answers at once.
 */
/* eslint-disable camelcase -- field names of the platform's pages */
import {Buffer} from 'node:buffer';
import http from 'node:http';

const maxPageItems = 500;

function toWire({key, value, revision, created}) {
	return value === undefined
		? {key, revision, deleted: true}
		: {key, value, revision, created, lease: 0};
}

export function createStore() {
	const items = new Map();
	const history = [];
	const waiting = new Set();
	let revision = 1;

	function send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
		response.end(JSON.stringify(body));
	}

	function sendRange(response, query) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.sort((first, second) => (first.key < second.key ? -1 : 1));
		send(response, 200, {
			items: found.slice(0, maxPageItems).map(item => toWire(item)),
			has_more: found.length > maxPageItems,
			as_of: revision,
		});
	}

	function sendEvents(response, prefix, after) {
		const events = history.filter(item => item.revision > after && item.key.startsWith(prefix));
		send(response, 200, {events: events.map(item => toWire(item)), as_of: revision});
	}

	function watch(response, query) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		if (after > revision) {
			send(response, 410, {});
			return;
		}

		if (after < revision) {
			sendEvents(response, prefix, after);
			return;
		}

		const entry = () => {
			clearTimeout(timer);
			waiting.delete(entry);
			sendEvents(response, prefix, after);
		};

		const timer = setTimeout(entry, Number(query.get('wait_ms')));
		waiting.add(entry);
		response.once('close', () => {
			clearTimeout(timer);
			waiting.delete(entry);
		});
	}

	function sendItem(response, query) {
		const item = items.get(query.get('key'));
		const status = item === undefined ? 404 : 200;
		send(response, status, {...(item && toWire(item)), as_of: revision});
	}

	const handlers = {
		'/api/kv-range': sendRange,
		'/api/kv-watch': watch,
		'/api/kv-key': sendItem,
	};
	const server = http.createServer((request, response) => {
		const url = new URL(request.url, 'http://store');
		const handler = handlers[url.pathname];
		if (handler === undefined) {
			send(response, 404, {});
		} else {
			handler(response, url.searchParams);
		}
	});

	return {
		get address() {
			return `127.0.0.1:${server.address().port}`;
		},
		async start() {
			await new Promise(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
		},
		/** Writes a value, or deletes the item if it is undefined. Acknowledged on return. */
		write(key, value) {
			revision++;
			const text = value === undefined ? undefined : JSON.stringify(value);
			const encoded = text === undefined ? undefined : Buffer.from(text).toString('base64');
			const created = items.get(key)?.created ?? revision;
			const item = {key, value: encoded, revision, created};
			history.push(item);
			if (encoded === undefined) {
				items.delete(key);
			} else {
				items.set(key, item);
			}

			for (const entry of waiting) {
				entry();
			}
		},
		stop() {
			server.closeAllConnections();
			server.close();
		},
	};
}
