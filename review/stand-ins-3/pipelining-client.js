/**
 * Stand-in for a client that sends further requests before the first one is answered. It reads the
 * answers in order, and counts as unanswered what a closed connection leaves without any byte of an
 * answer.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';

const headEnd = '\r\n\r\n';

function readHead(text) {
	const [statusLine, ...lines] = text.split('\r\n');
	const headers = Object.fromEntries(
		lines.map(line => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
		}),
	);
	return {status: Number(statusLine.split(' ')[1]), headers};
}

/** Takes the first answer out of the bytes; undefined while it is not complete. */
function takeAnswer(bytes, hasEnded) {
	const end = bytes.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const head = readHead(bytes.toString('latin1', 0, end));
	const bodyStart = end + headEnd.length;
	const {'content-length': length, 'transfer-encoding': encoding} = head.headers;
	if (head.status === 204 || head.status === 304) {
		return {...head, body: '', rest: bytes.subarray(bodyStart)};
	}

	if (length !== undefined) {
		const bodyEnd = bodyStart + Number(length);
		return bytes.length < bodyEnd
			? undefined
			: {...head, body: bytes.toString('utf8', bodyStart, bodyEnd), rest: bytes.subarray(bodyEnd)};
	}

	if (encoding === undefined) {
		return hasEnded
			? {...head, body: bytes.toString('utf8', bodyStart), rest: Buffer.alloc(0)}
			: undefined;
	}

	let body = '';
	let position = bodyStart;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', position);
		if (lineEnd === -1) {
			return undefined;
		}

		const size = Number.parseInt(bytes.toString('latin1', position, lineEnd), 16);
		const chunkEnd = lineEnd + 2 + size;
		if (bytes.length < chunkEnd + 2) {
			return undefined;
		}

		body += bytes.toString('utf8', lineEnd + 2, chunkEnd);
		position = chunkEnd + 2;
		if (size === 0) {
			return {...head, body, rest: bytes.subarray(position)};
		}
	}
}

/**
 * Sends the requests on one connection at once, and resolves when each is answered or the connection
 * has closed. An answer that says `Connection: close` is the last one.
 */
export async function sendPipelined({address, port, requests, timeoutMs}) {
	return new Promise(resolve => {
		const answers = [];
		const socket = net.connect({host: address, port});
		let bytes = Buffer.alloc(0);
		let isDone = false;

		function finish(end) {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				socket.destroy();
				resolve({answers, end});
			}
		}

		function takeAnswers(hasEnded) {
			for (let answer = takeAnswer(bytes, hasEnded); answer; answer = takeAnswer(bytes, hasEnded)) {
				answers.push(answer);
				bytes = answer.rest;
				if (answers.length === requests.length) {
					finish('answered');
					return;
				}
			}
		}

		const timer = setTimeout(finish, timeoutMs, 'time-limit');
		socket.on('connect', () => {
			socket.write(requests.join(''));
		});
		socket.on('data', chunk => {
			bytes = Buffer.concat([bytes, chunk]);
			takeAnswers(false);
		});
		socket.on('end', () => {
			takeAnswers(true);
			finish('closed');
		});
		socket.on('error', () => {
			finish('reset');
		});
	});
}
