/**
 * Errors that keep the daemon from starting, reported without a stack trace: a file that cannot be
 * read (`unreadable-file`) and an empty peer secret (`empty-secret`).
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export class DaemonError extends ShallotpondError {}
