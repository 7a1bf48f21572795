/**
 * The part of a configuration document that decisions need. Versions are adopted as a whole.
 */
import {type DispatchService} from '@shallotpond/policy-dispatch/dispatch-service';
import {type WorkspaceLimits} from '@shallotpond/policy-limits/workspace-limits';

export type FleetDocument = {
	readonly version: number;
	readonly digest: string;
	/** D, the bound on the instances alive at once. */
	readonly maxInstances: number;
	/** 0 to 1. */
	readonly minorityFraction: number;
	readonly services: Readonly<Record<string, DispatchService>>;
	readonly workspaces: Readonly<Record<string, WorkspaceLimits>>;
	/** Failure domains that operators have taken out. */
	readonly domainsOut: readonly string[];
	/** Names of keys that are not valid any more. */
	readonly withdrawnKeys?: readonly string[];
};

/** What a change may replace; `version` and `digest` follow from the change. */
export type FleetDocumentChange = Partial<Omit<FleetDocument, 'version' | 'digest'>>;

export function changeDocument(document: FleetDocument, change: FleetDocumentChange) {
	const version = document.version + 1;
	return {...document, ...change, version, digest: `digest-${version}`};
}
