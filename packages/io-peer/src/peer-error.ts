/**
 * Errors of connections between instances, for example a port that cannot be bound or a frame that
 * cannot be decoded. Errors from sockets and codecs are kept as `cause`.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export type PeerErrorCode = 'listen-failed' | 'handshake-failed' | 'bad-frame';

export class PeerError extends ShallotpondError {
	declare readonly code: PeerErrorCode;
}
