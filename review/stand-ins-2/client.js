/**
 * Stand-in of a client's connection. It sends requests, also several before the first is answered,
 * and matches the answers to them in order. It reads answers with a length and answers that end with
 * their connection.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';

const headEnd = '\r\n\r\n';

function parseHead(text) {
	const [statusLine, ...lines] = text.split('\r\n');
	const headers = {};
	for (const line of lines) {
		const colon = line.indexOf(':');
		headers[line.slice(0, colon).trim().toLowerCase()] = line.slice(colon + 1).trim();
	}

	return {status: Number(statusLine.split(' ')[1]), headers};
}

export function formatRequest({method = 'GET', path, host, id, key, limit, headers = {}, body}) {
	const lines = [
		`${method} ${path} HTTP/1.1`,
		`Host: ${host}`,
		`X-Shallotpond-Request-Id: ${id}`,
		`X-Shallotpond-Deadline-Ms: ${limit}`,
	];
	if (key !== undefined) {
		lines.push(`X-Shallotpond-Credential: ${key}`);
	}

	for (const [name, value] of Object.entries(headers)) {
		lines.push(`${name}: ${value}`);
	}

	if (body !== undefined) {
		lines.push(`Content-Length: ${body.length}`);
	}

	return Buffer.concat([Buffer.from([...lines, '', ''].join('\r\n')), body ?? Buffer.alloc(0)]);
}

/**
 * `onAnswer(id, answer)` is called for each complete answer, `onEnd(ids, reason)` once when the
 * connection has ended, with the ids that have no complete answer.
 */
export function openConnection({address, onAnswer, onEnd}) {
	const [host, port] = address.split(':');
	const socket = net.connect(Number(port), host);
	const waiting = [];
	let input = Buffer.alloc(0);
	let isOver = false;
	let isClosing = false;

	function finish(reason) {
		if (!isOver) {
			isOver = true;
			socket.destroy();
			onEnd([...waiting], reason);
		}
	}

	function takeAnswers() {
		for (;;) {
			const end = input.indexOf(headEnd);
			if (end === -1) {
				return;
			}

			const {status, headers} = parseHead(input.subarray(0, end).toString('latin1'));
			const bodyStart = end + headEnd.length;
			const length = headers['content-length'];
			if (length === undefined || input.length < bodyStart + Number(length)) {
				return;
			}

			const body = input.subarray(bodyStart, bodyStart + Number(length));
			input = input.subarray(bodyStart + Number(length));
			isClosing ||= headers.connection === 'close';
			onAnswer(waiting.shift(), {status, headers, body, isUnframed: false});
		}
	}

	socket.setNoDelay(true);
	socket.on('data', chunk => {
		input = Buffer.concat([input, chunk]);
		takeAnswers();
		if (isClosing && waiting.length === 0) {
			finish('closed by agreement');
		}
	});
	socket.on('end', () => {
		const end = input.indexOf(headEnd);
		if (end !== -1 && waiting.length > 0) {
			const {status, headers} = parseHead(input.subarray(0, end).toString('latin1'));
			if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
				const body = input.subarray(end + headEnd.length);
				onAnswer(waiting.shift(), {status, headers, body, isUnframed: true});
			}
		}

		finish('closed');
	});
	socket.on('error', error => {
		finish(error.code ?? String(error));
	});
	socket.on('close', () => {
		finish('closed');
	});
	return {
		/** Whether a further request may be sent. */
		get isUsable() {
			return !isOver && !isClosing;
		},
		get waiting() {
			return waiting.length;
		},
		send(requests) {
			waiting.push(...requests.map(({id}) => id));
			socket.write(Buffer.concat(requests.map(request => formatRequest(request))));
		},
		close() {
			finish('closed by the client');
		},
	};
}
