/**
 * Errors of the daemon: files that cannot be read and settings that do not fit together.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export class DaemonError extends ShallotpondError {}
