/**
 * The interface of a check of a valid document. The checks are listed in tables by their codes.
 */
import {type ConfigurationDocument} from './document-schema.js';

/** An `error` must not be sent; a `warning` may be intended. */
export type FindingSeverity = 'error' | 'warning';

export type Observation = {
	/** Path of the field, for example `routes[3].pathPrefix`. */
	readonly place: string;
	/** Names the values that were found, but no whole key digest. */
	readonly message: string;
};

export type DocumentCheck = {
	readonly severity: FindingSeverity;
	find(document: ConfigurationDocument): readonly Observation[];
};
