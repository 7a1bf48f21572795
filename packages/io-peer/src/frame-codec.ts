/**
 * Encodes batches of messages with msgpackr. Each connection has one codec for each direction:
 * the field names of a kind of message are sent once and referred to afterwards, which keeps
 * heartbeats small. This needs frames in order, which a connection guarantees.
 */
import {Packr, Unpackr} from 'msgpackr';
import {PeerError} from './peer-error.js';

export type FrameEncoder = (messages: readonly unknown[]) => Uint8Array;
export type FrameDecoder = (frame: Uint8Array) => readonly unknown[];

export function createFrameEncoder(): FrameEncoder {
	const packr = new Packr({sequential: true, useRecords: true});
	return messages => packr.pack(messages);
}

/** Throws a `PeerError` with code `bad-frame` when a frame is not a batch of messages. */
export function createFrameDecoder(): FrameDecoder {
	const unpackr = new Unpackr({sequential: true, useRecords: true});
	return frame => {
		let value: unknown;
		try {
			value = unpackr.unpack(frame);
		} catch (error) {
			throw new PeerError('bad-frame', 'a frame could not be decoded', {cause: error});
		}

		if (!Array.isArray(value)) {
			throw new PeerError('bad-frame', 'a frame does not hold a batch of messages');
		}

		return value as readonly unknown[];
	};
}
