/**
 * One connection of a caller: its requests, the memory they hold, and whether further ones may be
 * parsed. A connection whose responses stay unread, or that sends too many requests ahead, is read
 * no further until one of its responses has been read.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Cancellation} from './cancellation.js';
import {type MemoryAccount, type MemoryHolder} from './memory-account.js';
import {type ParseSchedule} from './parse-schedule.js';
import {createPartSize} from './part-size.js';
import {createReadGate, isBodyUnread} from './read-gate.js';
import {createResponseOrder, type ResponseTurn} from './response-order.js';

/** A request whose response has not ended. */
export type OpenRequest = {
	/** The place of the response among those of the connection. */
	readonly turn: ResponseTurn;
	/** Counts memory that the request newly holds, or releases if negative; estimated bytes. */
	hold(bytes: number): void;
	/** Notes that the request is passed on to a target. */
	setForwarded(): void;
	/**
	 * Notes that the connection closes behind the response, so that no further request is read. The
	 * rest of the body is read only if it is wanted.
	 */
	setClosing(options: {readonly isBodyWanted: boolean}): void;
	/**
	 * Notes whether a part of the response was written while the rest may still be cut. No further
	 * request is parsed then, because it would be lost with the connection.
	 */
	setPartial(isPartial: boolean): void;
};

export type CallerConnection = {
	readonly requests: Set<Cancellation>;
	/** Responses that have not ended, the earliest first. */
	readonly responses: ReadonlySet<ServerResponse>;
	/** Bytes that had been read and parsed when the latest response was written, or undefined. */
	readonly servedBytes: number | undefined;
	/** Whether bytes that were read wait until further requests may be parsed. */
	readonly isReadingAhead: boolean;
	/** Monotonic milliseconds. */
	readonly openedAt: number;
	/** Set when a problem closes the connection; later requests on it are ignored. */
	isClosing: boolean;
	/** To be called for each request that the parser delivers. */
	begin(request: IncomingMessage, response: ServerResponse): OpenRequest;
	/**
	 * Reads nothing more and closes the connection behind the responses to the requests in progress.
	 * Returns false if one of these requests has not arrived whole.
	 */
	closeBehindLatest(): boolean;
	/** Whether a target works on one of the requests. */
	readonly isBusy: boolean;
	/**
	 * Updates the account with the bytes of responses that the caller has not read. Returns since
	 * when (monotonic milliseconds) it has read none of them; `now` if none wait.
	 */
	countUnread(now: number): number;
	/** Why this instance closes the connection; undefined while it does not. */
	closeReason: string | undefined;
	/** To be called when the socket has closed. */
	close(): void;
};

export type CallerConnectionOptions = {
	readonly socket: Socket;
	readonly account: MemoryAccount;
	readonly parseSchedule: ParseSchedule;
	readonly clock: Pick<Clock, 'monotonic'>;
	/** Monotonic milliseconds. */
	readonly openedAt: number;
	/** Whether the instance is leaving, so that it takes no request behind one in progress. */
	readonly isLeaving: () => boolean;
	/** Requests in progress from which further ones are not parsed. */
	readonly maxPipelinedRequests: number;
	/** Closes the connection, because it holds more memory than any other. */
	readonly evict: () => void;
};

/** Estimated bytes of the objects of an open connection: 18 KiB resident, 8 of them in the heap. */
export const connectionCost = 8192;
/** Estimated bytes of the objects of a request in progress, with its attempt at a target. */
const requestCost = 12_288;
/** What a caller holds with one request in progress, its body and its response, estimated bytes. */
export const ordinaryCost = 131_072;
/**
 * Bytes of heads that are parsed at once: enough for the head of most requests, and at most a few
 * dozen of the smallest ones.
 */
const headPartBytes = 1024;
/** Bytes of the first part of a body: up to 340 chunks. */
const firstBodyPartBytes = 2048;

export function createCallerConnection(options: CallerConnectionOptions): CallerConnection {
	const {socket, account, maxPipelinedRequests} = options;
	const requests = new Set<Cancellation>();
	const order = createResponseOrder();
	const {responses} = order;
	const forwarded = new Set<ServerResponse>();
	/** Responses of which a part was written, while the rest may still be cut. */
	const partial = new Set<ServerResponse>();
	let latestRequest: IncomingMessage | undefined;
	let latestResponse: ServerResponse | undefined;
	let servedBytes: number | undefined;
	let unreadBytes = 0;
	let heldBackBytes = 0;
	let isClosing = false;
	let closeReason: string | undefined;
	const bodyPartSize = createPartSize({firstBytes: firstBodyPartBytes});
	/** Bytes of responses that have left the process, and when that number last changed. */
	let sentBytes = 0;
	let sentAt = options.openedAt;

	// A response that is only unread is no work of a target any more.
	const isBusy = () => [...forwarded].some(response => !response.writableEnded);

	const holder: MemoryHolder = account.open({
		evict: options.evict,
		isBusy,
		onRelief() {
			gate.update();
		},
	});

	const parsingTurn = options.parseSchedule.open(() => {
		gate.update();
	});

	function mayParse(): boolean {
		// The last response on the connection of a leaving instance closes it.
		const takesOthers = !account.isLow && !options.isLeaving() && partial.size === 0;
		const maxRequests = takesOthers ? maxPipelinedRequests : 1;
		const isWithinBody = latestRequest?.complete === false;
		// The body of the latest request may arrive although no further request is parsed.
		const hasRoom = isWithinBody || responses.size < maxRequests;
		return (
			!isClosing && hasRoom && !isBodyUnread(latestRequest) && !(account.isLow && holder.isLarge)
		);
	}

	const gate = createReadGate(socket, {
		clock: options.clock,
		isOpen: () => mayParse() && parsingTurn.request(),
		isDiscarding: () => isClosing,
		partBytes: () => (latestRequest?.complete === false ? bodyPartSize.bytes : headPartBytes),
		onHeldChange(bytes) {
			heldBackBytes += bytes;
			holder.change(bytes);
		},
		onParsed(bytes, duration) {
			parsingTurn.record(duration);
			bodyPartSize.record(bytes, duration);
		},
	});

	function countUnread(): void {
		let bytes = 0;
		for (const response of responses) {
			bytes += response.writableLength;
		}

		const change = bytes - unreadBytes;
		unreadBytes = bytes;
		holder.change(change);
	}

	function unreadSince(now: number): number {
		const sent = socket.bytesWritten - socket.writableLength;
		if (socket.writableLength === 0 || sent !== sentBytes) {
			sentBytes = sent;
			sentAt = now;
		}

		return sentAt;
	}

	holder.change(connectionCost);
	return {
		requests,
		responses,
		openedAt: options.openedAt,
		get servedBytes() {
			return servedBytes;
		},
		get isReadingAhead() {
			return heldBackBytes > 0;
		},
		get isClosing() {
			return isClosing;
		},
		set isClosing(value) {
			isClosing = value;
		},
		get closeReason() {
			return closeReason;
		},
		set closeReason(value) {
			closeReason = value;
		},
		begin(request, response) {
			let heldBytes = requestCost;
			latestRequest = request;
			latestResponse = response;
			const turn = order.add(response);
			request.on('resume', gate.update);
			turn.onEnd(() => {
				forwarded.delete(response);
				partial.delete(response);
				holder.change(-heldBytes);
				countUnread();
				servedBytes = socket.bytesRead - heldBackBytes;
				gate.update();
			});
			holder.change(heldBytes);
			return {
				turn,
				hold(bytes) {
					if (!turn.hasEnded) {
						heldBytes += bytes;
						holder.change(bytes);
					}
				},
				setForwarded() {
					forwarded.add(response);
				},
				setClosing({isBodyWanted}) {
					if (isBodyWanted && !request.complete) {
						request.once('end', () => {
							isClosing = true;
						});
					} else {
						isClosing = true;
					}
				},
				setPartial(isPartial) {
					if (isPartial && !turn.hasEnded) {
						partial.add(response);
					} else if (partial.delete(response)) {
						gate.update();
					}
				},
			};
		},
		closeBehindLatest() {
			if (latestRequest?.complete !== true || latestResponse === undefined) {
				return false;
			}

			isClosing = true;
			latestResponse.shouldKeepAlive = false;
			latestResponse.once('close', () => {
				// Node does it for a response whose head was not written before.
				socket.destroySoon();
			});
			return true;
		},
		get isBusy() {
			return isBusy();
		},
		countUnread(now) {
			countUnread();
			return unreadSince(now);
		},
		close() {
			holder.close();
			parsingTurn.close();
			order.close(closeReason);
		},
	};
}
