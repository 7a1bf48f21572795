/**
 * The order of the responses on one connection of a caller. A caller may send further requests
 * before the first one is answered (pipelining), and responses are written in the order of their
 * requests. The turn of a response begins when all earlier ones have been written; before that, none
 * of its bytes can leave the process.
 *
 * Node emits no event on a response whose connection closes before its turn, so the end of each
 * response is reported here.
 */
import {type ServerResponse} from 'node:http';

/** How a response ended that was not written whole, because its connection closed. */
export type ResponseCut = {
	/** Why this instance closed the connection; undefined if the caller did. */
	readonly reason: string | undefined;
	/** Earlier responses that were unfinished as well. */
	readonly earlierResponses: number;
};

export type ResponseTurn = {
	/** Whether all earlier responses have been written, so that this one can be. */
	readonly hasBegun: boolean;
	/** Whether the response has been written or its connection has closed. */
	readonly hasEnded: boolean;
	/** Whether there is no later response on the connection yet. */
	readonly isLast: boolean;
	/** Calls back when the turn begins: at once if it has begun, never if the connection closes. */
	onBegin(callback: () => void): void;
	/** Calls back when the response has been written, or with the cut when its connection closes. */
	onEnd(callback: (cut: ResponseCut | undefined) => void): void;
};

export type ResponseOrder = {
	/** Responses that have not ended, the earliest first. */
	readonly responses: ReadonlySet<ServerResponse>;
	/** To be called for each request in the order in which the parser delivers them. */
	add(response: ServerResponse): ResponseTurn;
	/** To be called when the connection has closed; `reason` as in `ResponseCut`. */
	close(reason: string | undefined): void;
};

export function createResponseOrder(): ResponseOrder {
	const responses = new Set<ServerResponse>();
	let latest: ServerResponse | undefined;
	/** Ends each response in `responses`; in the same order. */
	const endings = new Map<ServerResponse, (cut: ResponseCut | undefined) => void>();

	return {
		responses,
		add(response) {
			latest = response;
			const callbacks: Array<(cut: ResponseCut | undefined) => void> = [];
			responses.add(response);
			endings.set(response, cut => {
				responses.delete(response);
				endings.delete(response);
				for (const callback of callbacks) {
					callback(cut);
				}
			});
			response.once('close', () => {
				endings.get(response)?.(undefined);
			});
			return {
				get hasBegun() {
					return response.socket !== null || response.writableFinished;
				},
				get hasEnded() {
					return !responses.has(response);
				},
				get isLast() {
					return response === latest;
				},
				onBegin(callback) {
					if (response.socket === null) {
						// Node emits this event when it gives the connection to the response.
						response.once('socket', callback);
					} else {
						callback();
					}
				},
				onEnd(callback) {
					callbacks.push(callback);
				},
			};
		},
		close(reason) {
			let earlierResponses = 0;
			for (const [response, end] of endings) {
				if (response.writableFinished) {
					end(undefined);
				} else {
					end({reason, earlierResponses});
					earlierResponses++;
				}
			}
		},
	};
}
