import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

/** A trace or a file of outcomes that cannot be used. */
export class ReplayError extends ShallotpondError {}

/** A run that cannot go on because a policy does not come to an end. */
export class EndlessTurnError extends ShallotpondError {}
