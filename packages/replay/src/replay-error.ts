/**
 * Errors of a replay: of its input files, and of a run that does not end.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

/** A file cannot be read, or a trace or a file of outcomes is invalid. */
export class ReplayError extends ShallotpondError {}

/** A run was aborted because an instance sends messages to itself endlessly. */
export class EndlessTurnError extends ShallotpondError {}
