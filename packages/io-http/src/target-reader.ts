/**
 * Reads one connection to a target: passes what arrives to Node's parser in small parts, only while
 * the response is read, and within the parsing time that all connections share. Node would parse
 * all that one read returns, 64 KiB, also for a response that waits for its caller. In chunks of
 * one byte these are 10,900 objects, which take a hundred times the memory of the bytes and tens of
 * milliseconds.
 */
import {type IncomingMessage} from 'node:http';
import {type Socket} from 'node:net';
import {type Clock} from '@shallotpond/kernel/clock';
import {createPartSize} from './part-size.js';
import {type ParseSchedule} from './parse-schedule.js';
import {createReadGate, isBodyUnread} from './read-gate.js';

export type TargetReader = {
	/** Bytes that were read and not parsed yet. */
	readonly unparsedBytes: number;
	/** To be called when Node has given the connection to a request. */
	beginRequest(): void;
	/** To be called when the head of its response has been parsed. */
	beginResponse(response: IncomingMessage): void;
};

export type TargetReaderOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly parseSchedule: ParseSchedule;
};

/** Bytes of the first part of a response: enough for most, and at most 680 chunks. */
const firstPartBytes = 4096;

export function createTargetReader(socket: Socket, options: TargetReaderOptions): TargetReader {
	const {clock, parseSchedule} = options;
	const partSize = createPartSize({firstBytes: firstPartBytes});
	let response: IncomingMessage | undefined;
	let unparsedBytes = 0;

	const parsingTurn = parseSchedule.open(() => {
		gate.update();
	});

	const gate = createReadGate(socket, {
		clock,
		isOpen: () => !isBodyUnread(response) && parsingTurn.request(),
		isDiscarding: () => false,
		partBytes: () => partSize.bytes,
		onHeldChange(bytes) {
			unparsedBytes += bytes;
		},
		onParsed(bytes, duration) {
			parsingTurn.record(duration);
			partSize.record(bytes, duration);
		},
	});

	socket.once('close', parsingTurn.close);
	return {
		get unparsedBytes() {
			return unparsedBytes;
		},
		beginRequest() {
			response = undefined;
			partSize.reset();
			gate.attach();
		},
		beginResponse(begun) {
			response = begun;
			begun.on('resume', gate.update);
		},
	};
}
