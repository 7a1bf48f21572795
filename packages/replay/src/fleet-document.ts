/**
 * The part of a configuration document that the decisions of a simulated instance need. An instance
 * adopts a version as a whole.
 */
import {type DispatchSettings} from '@shallotpond/policy-dispatch/dispatch-settings';
import {type WorkspaceRateLimit} from '@shallotpond/policy-limits/workspace-rate-limit';

export type FleetDocument = {
	readonly version: number;
	readonly digest: string;
	/**
	 * Maximum number of instances that run at once; `fleet.maxInstances` of the configuration
	 * document.
	 */
	readonly maxInstances: number;
	/** `fleet.minorityFraction`, 0 to 1. */
	readonly minorityFraction: number;
	readonly services: Readonly<Record<string, DispatchSettings>>;
	readonly workspaces: Readonly<Record<string, WorkspaceRateLimit>>;
	/** Failure domains that operators have taken out of service. */
	readonly domainsOut: readonly string[];
	/** Names of API keys that are no longer valid. */
	readonly withdrawnKeys?: readonly string[];
};

/** Fields to replace; `changeDocument` sets `version` and `digest`. */
export type FleetDocumentChange = Partial<Omit<FleetDocument, 'version' | 'digest'>>;

/** Returns a copy with the change and the next version. */
export function changeDocument(document: FleetDocument, change: FleetDocumentChange) {
	const version = document.version + 1;
	return {...document, ...change, version, digest: `digest-${version}`};
}
