/**
 * Errors of the kernel: a service that is missing, registered twice or fails to start or stop.
 */
import {ShallotpondError} from './shallotpond-error.js';

export class KernelError extends ShallotpondError {}
