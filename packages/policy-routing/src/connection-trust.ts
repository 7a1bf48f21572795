/**
 * Whether idle connections to the targets of a service can be used again. Answers the fault in which
 * targets forget connections that were idle for a moment: whatever is sent next on them is reset,
 * and a request that must not run twice is lost. The targets are sound, so the failures say nothing
 * of them; instead the service's connections are used only while they are fresh.
 */
export type StaleConnection = {
	readonly service: string;
	/** Id of the target. */
	readonly target: string;
	readonly failureDomain: string;
};

export type ConnectionTrust = {
	/** A connection that had been idle was reset as soon as it was used. */
	recordStale(connection: StaleConnection, now: number): void;
	/** Whether connections of the service were forgotten lately. */
	isDistrusted(service: string, now: number): boolean;
	/** Milliseconds for which a connection may have been idle; undefined for any time. */
	maxIdleTime(service: string, now: number): number | undefined;
};

/**
 * Targets with stale connections that make the service doubtful. They must be of two failure
 * domains, because a domain that comes back from an outage has forgotten its connections as well.
 */
const doubtfulTargets = 3;
const doubtfulDomains = 2;
/** Milliseconds within which they count together. */
const memory = 3000;
/** Milliseconds for which the doubt lasts; targets forget connections for several seconds. */
const doubtTime = 6000;
/** Milliseconds; connections are forgotten after some hundred. */
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
