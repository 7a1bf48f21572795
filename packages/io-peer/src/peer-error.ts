/**
 * Errors of the connections between instances: a handshake that failed, or a frame that could not
 * be decoded. Errors of sockets and codecs are kept as `cause`.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export type PeerErrorCode = 'listen-failed' | 'handshake-failed' | 'bad-frame';

export class PeerError extends ShallotpondError {
	declare readonly code: PeerErrorCode;
}
