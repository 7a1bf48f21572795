/**
 * A stand-in for the platform's store: items under one revision counter, pages, watches, and the
 * disturbances that the pages name (slow answers, discarded history).
 */
/* eslint-disable camelcase -- fields have the platform's names */
/* eslint-disable no-unmodified-loop-condition -- callbacks modify it */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const answerMs = 4;

export async function createStore(run, {pageSize = 50} = {}) {
	const items = new Map();
	let history = [];
	let revision = 100;
	/** Watches after an earlier revision get 410. */
	let oldestRevision = 100;
	let delayMs = answerMs;
	/** Functions that wake the watches that wait. */
	const waiting = new Set();

	function send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	function range(response, query) {
		const prefix = query.get('prefix') ?? '';
		const after = query.get('after') ?? '';
		const found = [...items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.sort((a, b) => (a.key < b.key ? -1 : 1));
		const page = found.slice(0, pageSize);
		run.record('store-page', {after, items: page.length, as_of: revision});
		send(response, 200, {items: page, has_more: found.length > pageSize, as_of: revision});
	}

	async function watch(response, query) {
		const after = Number(query.get('after'));
		const prefix = query.get('prefix') ?? '';
		const deadline = performance.now() + Number(query.get('wait_ms'));
		const newer = () =>
			history.filter(item => item.revision > after && item.key.startsWith(prefix));
		while (after >= oldestRevision && newer().length === 0 && performance.now() < deadline) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiting.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, deadline - performance.now());
				waiting.add(wake);
				response.once('close', wake);
			});
			if (response.destroyed) {
				return;
			}
		}

		if (after < oldestRevision) {
			run.record('store-history-gone', {after});
			send(response, 410, {});
			return;
		}

		send(response, 200, {events: newer(), as_of: revision});
	}

	const server = http.createServer(async (request, response) => {
		const url = new URL(request.url, 'http://store');
		await sleep(delayMs);
		if (url.pathname === '/api/kv-range') {
			range(response, url.searchParams);
		} else if (url.pathname === '/api/kv-watch') {
			await watch(response, url.searchParams);
		} else {
			send(response, 404, {});
		}
	});
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	run.atEnd(() => {
		server.closeAllConnections();
		server.close();
	});

	function wakeAll() {
		for (const wake of waiting) {
			wake();
		}
	}

	return {
		address: `127.0.0.1:${server.address().port}`,
		/** Writes a value, or deletes the item if the value is undefined. Acknowledged on return. */
		write(key, value) {
			revision++;
			if (value === undefined) {
				items.delete(key);
				history.push({key, revision, deleted: true});
			} else {
				const text = Buffer.from(JSON.stringify(value)).toString('base64');
				const item = {key, value: text, revision, created: items.get(key)?.created ?? revision};
				items.set(key, {...item, lease: 0});
				history.push({...item, lease: 0});
			}

			run.record('store-acknowledged', {key, revision, deleted: value === undefined, value});
			wakeAll();
		},
		/** Sets the milliseconds that each answer takes. */
		setDelay(milliseconds) {
			delayMs = milliseconds;
			run.record('store-delay', {milliseconds});
		},
		/** Discards the history; the watches that wait are cut. */
		discardHistory() {
			history = [];
			oldestRevision = revision;
			run.record('store-history-discarded', {revision});
			server.closeAllConnections();
			wakeAll();
		},
	};
}
