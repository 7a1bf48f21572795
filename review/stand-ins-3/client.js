/**
 * Stand-in for a client that sends one request at a time and checks its answer.
 */
import http from 'node:http';
import {sealOf} from './target-server.js';

/**
 * Sends a request on a new connection. Resolves with the status, or with 0 if there was no answer;
 * `isWrong` says that a success is not the whole answer of a server to this request, and `code` why a
 * machine refused the request.
 */
export async function sendRequest({address, port, host, path, method = 'GET', id, key, timeLimit}) {
	return new Promise(resolve => {
		const headers = {
			host,
			'x-shallotpond-request-id': id,
			'x-shallotpond-deadline-ms': String(timeLimit),
			...(key === undefined ? {} : {'x-shallotpond-credential': key}),
		};
		const request = http.request(
			{host: address, port, path, method, headers, agent: false},
			response => {
				let body = '';
				response.setEncoding('utf8');
				response.on('data', chunk => {
					body += chunk;
				});
				response.on('end', () => {
					const {'x-shallotpond-request-id': echoed, 'x-shallotpond-response-seal': seal} =
						response.headers;
					const isSuccess = response.statusCode === 200;
					const isWrong = isSuccess && (echoed !== id || seal !== sealOf(body));
					const code = /"code":"(?<code>[a-z-]+)"/.exec(body)?.groups.code;
					resolve({status: response.statusCode, isWrong, code});
				});
				response.on('error', () => {
					resolve({status: 0, isWrong: false});
				});
			},
		);
		request.setTimeout(timeLimit, () => {
			request.destroy();
		});
		request.once('error', () => {
			resolve({status: 0, isWrong: false});
		});
		request.end();
	});
}
