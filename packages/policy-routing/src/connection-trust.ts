/**
 * Decides whether idle connections to the targets of a service may be reused. Guards against
 * targets that drop connections after a short idle time: the next request on such a connection is
 * reset, and a request that must not run twice is lost. The targets themselves are healthy, so
 * these failures do not count against them; instead, only recently used connections of the service
 * are reused.
 */
export type StaleConnection = {
	readonly service: string;
	/** Id of the target. */
	readonly target: string;
	readonly failureDomain: string;
};

export type ConnectionTrust = {
	/** Records that an idle connection was reset as soon as it was used. */
	recordStale(connection: StaleConnection, now: number): void;
	/** Whether several targets of the service recently dropped idle connections. */
	isDistrusted(service: string, now: number): boolean;
	/** Milliseconds for which a reused connection may have been idle; undefined for no limit. */
	maxIdleTime(service: string, now: number): number | undefined;
};

/**
 * Minimum numbers of targets with stale connections, and of their failure domains, for which the
 * connections of a service are distrusted. A single failure domain is not enough, because a domain
 * that recovers from an outage has dropped its connections as well.
 */
const doubtfulTargets = 3;
const doubtfulDomains = 2;
/** Stale connections within this time count together. */
const memory = 3000;
/** Targets drop idle connections for several seconds. */
const doubtTime = 6000;
/** Targets drop connections that were idle for a few hundred milliseconds. */
const freshTime = 100;

type Sighting = {readonly connection: StaleConnection; readonly at: number};

export function createConnectionTrust(): ConnectionTrust {
	const sightings = new Map<string, Sighting[]>();
	const doubtedUntil = new Map<string, number>();

	function isDoubted(service: string, now: number): boolean {
		return now < (doubtedUntil.get(service) ?? 0);
	}

	return {
		recordStale(connection, now) {
			const {service} = connection;
			const recent = (sightings.get(service) ?? []).filter(({at}) => now - at < memory);
			recent.push({connection, at: now});
			sightings.set(service, recent);
			const targets = new Set(recent.map(sighting => sighting.connection.target));
			const domains = new Set(recent.map(sighting => sighting.connection.failureDomain));
			if (targets.size >= doubtfulTargets && domains.size >= doubtfulDomains) {
				doubtedUntil.set(service, now + doubtTime);
			}
		},
		isDistrusted: isDoubted,
		maxIdleTime: (service, now) => (isDoubted(service, now) ? freshTime : undefined),
	};
}
