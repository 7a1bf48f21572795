/**
 * Checks for entries of a valid document that can never match a request, or that nothing uses.
 */
import {type DocumentCheck, type Observation} from './document-check.js';
import {
	type ConfigurationDocument,
	type RouteDefinition,
	type ServiceDefinition,
} from './document-schema.js';
import {createLookupTables, type LookupTables} from './lookup-tables.js';

/** The form of `RouteQuery.host`: a name or an IPv6 address in brackets, in lower case. */
const hostPattern = /^(?:[a-z\d_.-]+|\[[\da-f:.]+])$/;
/** Requests whose decoded path has such a segment or a backslash are refused with status 400. */
const refusedPathPart = /\/\.{1,2}(?:;[^/]*)?(?:\/|$)|\\/;
/** Requests with these methods are refused before a route is selected. */
const refusedMethods = new Set(['TRACE', 'CONNECT']);
/**
 * Stands for any host or method that no route lists, since a listed one is never empty. Only routes
 * that accept all hosts or all methods match it.
 */
const unlisted = '';

function orUnlisted(names: readonly string[]): readonly string[] {
	return names.length === 0 ? [unlisted] : names;
}

/**
 * Returns the ids of the routes that take all requests of the given one; empty if it is reachable.
 * A longer prefix cannot take the path that equals the prefix, so only that path is looked up.
 */
function findShadowingRoutes(tables: LookupTables, route: RouteDefinition): string[] {
	const ids = new Set<string>();
	for (const host of orUnlisted(route.hosts)) {
		for (const method of orUnlisted(route.methods)) {
			const found = tables.findRoute({host, method, path: route.pathPrefix});
			if (found === undefined || found === route) {
				return [];
			}

			ids.add(found.id);
		}
	}

	return [...ids];
}

/**
 * A route that is the first of its prefix to accept one of its hosts is reachable without a look-up,
 * whose time is linear in the routes with equal prefixes: 10,000 hosts with one prefix took 4 s.
 */
function findShadowedRoutes(document: ConfigurationDocument): Observation[] {
	const tables = createLookupTables(document);
	const hostsByPrefix = new Map<string, Set<string>>();
	return document.routes.flatMap((route, index) => {
		const {id, pathPrefix} = route;
		const earlierHosts = hostsByPrefix.get(pathPrefix) ?? new Set<string>();
		hostsByPrefix.set(pathPrefix, earlierHosts);
		const hosts = orUnlisted(route.hosts);
		const isFirst = hosts.some(host => !earlierHosts.has(host) && !earlierHosts.has(unlisted));
		for (const host of hosts) {
			earlierHosts.add(host);
		}

		const shadowingIds = isFirst ? [] : findShadowingRoutes(tables, route);
		const message = `route "${id}" gets no requests: earlier routes with prefix "${pathPrefix}" take them all ("${shadowingIds.join('", "')}")`;
		return shadowingIds.length === 0 ? [] : [{place: `routes[${index}].pathPrefix`, message}];
	});
}

function inEachRoute(
	find: (route: RouteDefinition, place: string, document: ConfigurationDocument) => Observation[],
): DocumentCheck['find'] {
	return document =>
		document.routes.flatMap((route, index) => find(route, `routes[${index}]`, document));
}

function inEachService(
	find: (service: ServiceDefinition, place: string) => Observation[],
): DocumentCheck['find'] {
	return document =>
		Object.entries(document.services).flatMap(([name, service]) =>
			find(service, `services.${name}`),
		);
}

function findUnusedServices(document: ConfigurationDocument): Observation[] {
	const used = new Set(
		document.routes.flatMap(({service, split = []}) => [
			service,
			...split.filter(({weight}) => weight > 0).map(part => part.service),
		]),
	);
	return Object.keys(document.services)
		.filter(name => !used.has(name))
		.map(name => ({place: `services.${name}`, message: `no route leads to service "${name}"`}));
}

function findUnusedDomains(document: ConfigurationDocument): Observation[] {
	const used = new Set(
		Object.values(document.services).flatMap(({targets}) =>
			targets.map(({failureDomain}) => failureDomain),
		),
	);
	return Object.keys(document.failureDomains)
		.filter(name => !used.has(name))
		.map(name => ({
			place: `failureDomains.${name}`,
			message: `no target is in failure domain "${name}"`,
		}));
}

function findSharedAddresses(document: ConfigurationDocument): Observation[] {
	const placeByAddress = new Map<string, string>();
	const observations: Observation[] = [];
	for (const [name, {targets}] of Object.entries(document.services)) {
		for (const [index, {address}] of targets.entries()) {
			const place = `services.${name}.targets[${index}].address`;
			const earlierPlace = placeByAddress.get(address);
			if (earlierPlace === undefined) {
				placeByAddress.set(address, place);
			} else {
				const message = `"${address}" is already used at ${earlierPlace}, so its slots count twice`;
				observations.push({place, message});
			}
		}
	}

	return observations;
}

/**
 * In the order of the report. Linear in the size of the document, except `route-shadowed`, which is
 * quadratic in the number of routes that have equal prefixes and accept the same hosts.
 */
export const matchingChecks = {
	'route-shadowed': {
		severity: 'warning',
		find: findShadowedRoutes,
	},
	'prefix-unmatchable': {
		severity: 'warning',
		find: inEachRoute(({pathPrefix}, place) =>
			refusedPathPart.test(pathPrefix)
				? [
						{
							place: `${place}.pathPrefix`,
							message: `no path matches "${pathPrefix}": those with "\\" or a segment "." or ".." are refused`,
						},
					]
				: [],
		),
	},
	'host-unmatchable': {
		severity: 'warning',
		find: inEachRoute(({hosts}, place) =>
			hosts.flatMap((host, index) =>
				hostPattern.test(host)
					? []
					: [
							{
								place: `${place}.hosts[${index}]`,
								message: `no request matches "${host}"; must be a host name in lower case without port`,
							},
						],
			),
		),
	},
	'method-unmatchable': {
		severity: 'warning',
		find: inEachRoute(({methods}, place) =>
			methods.flatMap((method, index) =>
				refusedMethods.has(method)
					? [
							{
								place: `${place}.methods[${index}]`,
								message: `requests with method ${method} are always refused`,
							},
						]
					: [],
			),
		),
	},
	'split-service-missing': {
		severity: 'error',
		find: inEachRoute(({split = []}, place, {services}) =>
			split.flatMap(({service}, index) =>
				Object.hasOwn(services, service)
					? []
					: [
							{
								place: `${place}.split[${index}].service`,
								message: `"${service}" is not in services`,
							},
						],
			),
		),
	},
	'split-weight-zero': {
		severity: 'warning',
		find: inEachRoute(({split = []}, place) => {
			const isAllZero = split.every(({weight}) => weight === 0);
			return split.flatMap(({service, weight}, index) => {
				const message =
					isAllZero && index === 0
						? `all weights are 0, so service "${service}" gets every request`
						: `weight 0 gives service "${service}" no requests`;
				return weight === 0 ? [{place: `${place}.split[${index}].weight`, message}] : [];
			});
		}),
	},
	'service-unused': {severity: 'warning', find: findUnusedServices},
	'service-without-targets': {
		severity: 'warning',
		find: inEachService(({targets}, place) =>
			targets.length === 0
				? [{place: `${place}.targets`, message: 'the service has no target'}]
				: [],
		),
	},
	'address-used-twice': {severity: 'warning', find: findSharedAddresses},
	'failure-domain-unused': {severity: 'warning', find: findUnusedDomains},
	'workspace-without-keys': {
		severity: 'warning',
		find: ({workspaces}) =>
			Object.entries(workspaces)
				.filter(([, {keyDigests}]) => keyDigests.length === 0)
				.map(([name]) => ({
					place: `workspaces.${name}.keyDigests`,
					message: `workspace "${name}" has no key, so no request belongs to it`,
				})),
	},
} as const satisfies Readonly<Record<string, DocumentCheck>>;
