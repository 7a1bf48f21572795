/** Errors of the HTTP layer. Errors of sockets and parsers are kept as `cause`. */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export class HttpError extends ShallotpondError {}
