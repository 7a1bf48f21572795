/**
 * Decides whether idle connections to the targets of a service may be reused. Guards against
 * targets that drop connections after a short idle time: the next request on such a connection is
 * reset, and a request that must not run twice is lost. The targets themselves are healthy. Once
 * several of them have dropped connections, the caller of this module no longer counts these
 * failures against them, and only recently used connections of the service are reused. Each `now`
 * is in milliseconds of the monotonic clock.
 */
/** An idle connection that its target had dropped. */
export type StaleConnection = {
	readonly service: string;
	/** Id of the target. */
	readonly target: string;
	readonly failureDomain: string;
};

export type ConnectionReusePolicy = {
	/** Records that an idle connection was reset as soon as it was reused. */
	recordStale(connection: StaleConnection, now: number): void;
	/**
	 * Whether only recently used connections of the service may be reused, because several of its
	 * targets recently dropped idle connections.
	 */
	isReuseLimited(service: string, now: number): boolean;
	/** Milliseconds for which a reused connection may have been idle; undefined for no limit. */
	maxIdleTime(service: string, now: number): number | undefined;
};

/**
 * The reuse of the connections of a service is limited once at least this many of its targets, in
 * at least this many failure domains, had stale connections. A single failure domain is not enough,
 * because a domain that recovers from an outage has dropped its connections as well.
 */
const minStaleTargets = 3;
const minStaleDomains = 2;
/** Time within which stale connections count together. */
const observationWindowMs = 3000;
/**
 * Time for which reuse stays limited after stale connections at enough targets were last seen; a
 * fault that makes targets drop idle connections lasts several seconds.
 */
const reuseLimitMs = 6000;
/**
 * Maximum idle time of a reused connection while reuse is limited for its service; a fault that
 * makes targets drop idle connections affects those that were idle for a few hundred milliseconds.
 */
const maxIdleMs = 100;

type Observation = {readonly connection: StaleConnection; readonly at: number};

export function createConnectionReusePolicy(): ConnectionReusePolicy {
	const observations = new Map<string, Observation[]>();
	const limitedUntil = new Map<string, number>();

	function isReuseLimited(service: string, now: number): boolean {
		return now < (limitedUntil.get(service) ?? 0);
	}

	return {
		recordStale(connection, now) {
			const {service} = connection;
			const recent = (observations.get(service) ?? []).filter(
				({at}) => now - at < observationWindowMs,
			);
			recent.push({connection, at: now});
			observations.set(service, recent);
			const targets = new Set(recent.map(observation => observation.connection.target));
			const domains = new Set(recent.map(observation => observation.connection.failureDomain));
			if (targets.size >= minStaleTargets && domains.size >= minStaleDomains) {
				limitedUntil.set(service, now + reuseLimitMs);
			}
		},
		isReuseLimited,
		maxIdleTime: (service, now) => (isReuseLimited(service, now) ? maxIdleMs : undefined),
	};
}
