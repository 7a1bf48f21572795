/**
 * Errors of the configuration layer. `problems` has one entry for each invalid field, for example
 * `routes[3].timeout: must be at most 600000`.
 */
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';

export type ConfigurationErrorCode =
	'invalid-document' | 'invalid-patch' | 'stale-patch' | 'digest-mismatch';

export class ConfigurationError extends ShallotpondError {
	readonly problems: readonly string[];

	constructor(code: ConfigurationErrorCode, problems: readonly string[], options?: ErrorOptions) {
		super(code, problems.join('; '), options);
		this.problems = problems;
	}
}
