/**
 * Lookup tables for the request path. A lookup takes time independent of the number of workspaces
 * and targets. The tables are built once for each adopted version of the configuration.
 */
import {
	type ConfigurationDocument,
	type RouteDefinition,
	type TargetDefinition,
} from './document-schema.js';
import {digestKey} from './key-digest.js';

export type RouteQuery = {
	/** Host name in lower case without port. */
	readonly host: string;
	/** Decoded path without `.` and `..` segments. */
	readonly path: string;
	readonly method: string;
};

export type LookupTables = {
	readonly document: ConfigurationDocument;
	/**
	 * Returns the route with the longest prefix among those that match host, method and path; of
	 * equal prefixes, the first in the document.
	 */
	findRoute(query: RouteQuery): RouteDefinition | undefined;
	/**
	 * Returns the name of the workspace to which the key belongs. Only the digest of the key is
	 * looked up, so the time does not reveal how much of a guessed key is right.
	 */
	findWorkspace(key: string): string | undefined;
	/** Like `findWorkspace`, but takes the digest of the key, as `digestKey` returns it. */
	findWorkspaceByDigest(digest: string): string | undefined;
	/** Whether the digest is that of a key of this workspace. */
	isActiveKeyDigest(digest: string, workspace: string): boolean;
	findTarget(id: string): TargetDefinition | undefined;
	isDomainActive(failureDomain: string): boolean;
};

/** Whether the first `length` characters of the path are whole segments, as in `/a/` and `/a`. */
function endsAtSegment(path: string, length: number): boolean {
	return length === path.length || path[length] === '/' || path[length - 1] === '/';
}

function matchesHostAndMethod(route: RouteDefinition, query: RouteQuery): boolean {
	const isHostAccepted = route.hosts.length === 0 || route.hosts.includes(query.host);
	return isHostAccepted && (route.methods.length === 0 || route.methods.includes(query.method));
}

export function createLookupTables(document: ConfigurationDocument): LookupTables {
	const routesByPrefix = new Map<string, RouteDefinition[]>();
	for (const route of document.routes) {
		const routes = routesByPrefix.get(route.pathPrefix);
		if (routes === undefined) {
			routesByPrefix.set(route.pathPrefix, [route]);
		} else {
			routes.push(route);
		}
	}

	/** Lengths of the prefixes of routes, the longest first. */
	const prefixLengths = [...new Set([...routesByPrefix.keys()].map(({length}) => length))].sort(
		(first, second) => second - first,
	);

	const workspaceByDigest = new Map<string, string>();
	for (const [name, workspace] of Object.entries(document.workspaces)) {
		for (const digest of workspace.keyDigests) {
			workspaceByDigest.set(digest, name);
		}
	}

	const targets = new Map<string, TargetDefinition>();
	for (const service of Object.values(document.services)) {
		for (const target of service.targets) {
			targets.set(target.id, target);
		}
	}

	return {
		document,
		findRoute(query) {
			const {path} = query;
			// Each prefix is hashed over its length, so only those as long as a route's are looked up:
			// callers choose the paths, and the cost of all prefixes is quadratic in the length of one.
			for (const length of prefixLengths) {
				if (length > path.length || !endsAtSegment(path, length)) {
					continue;
				}

				const route = routesByPrefix
					.get(path.slice(0, length))
					?.find(candidate => matchesHostAndMethod(candidate, query));
				if (route !== undefined) {
					return route;
				}
			}

			return undefined;
		},
		findWorkspace: key => workspaceByDigest.get(digestKey(key)),
		findWorkspaceByDigest: digest => workspaceByDigest.get(digest),
		isActiveKeyDigest: (digest, workspace) => workspaceByDigest.get(digest) === workspace,
		findTarget: id => targets.get(id),
		isDomainActive: failureDomain => document.failureDomains[failureDomain]?.state === 'in',
	};
}
