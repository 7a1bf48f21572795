/**
 * Encodes and decodes batches of messages with msgpackr. Each connection has its own encoder and
 * decoder: msgpackr sends the field names of each kind of message once and then refers to them,
 * which keeps heartbeats small. Frames must arrive in order, which a connection guarantees.
 */
import {Packr, Unpackr} from 'msgpackr';
import {PeerError} from './peer-error.js';

export type FrameEncoder = (messages: readonly unknown[]) => Uint8Array;
export type FrameDecoder = (frame: Uint8Array) => readonly unknown[];

export function createFrameEncoder(): FrameEncoder {
	const packr = new Packr({sequential: true, useRecords: true});
	return messages => packr.pack(messages);
}

/** The decoder throws a `PeerError` (`bad-frame`) if a frame is not an array of messages. */
export function createFrameDecoder(): FrameDecoder {
	const unpackr = new Unpackr({sequential: true, useRecords: true});
	return frame => {
		let value: unknown;
		try {
			value = unpackr.unpack(frame);
		} catch (error) {
			throw new PeerError('bad-frame', 'cannot decode the frame as MessagePack', {cause: error});
		}

		if (!Array.isArray(value)) {
			throw new PeerError('bad-frame', 'the frame does not contain an array of messages');
		}

		return value as readonly unknown[];
	};
}
