/**
 * Errors of the observability layer, for example an admin address that cannot be bound.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export class ObservabilityError extends ShallotpondError {}
