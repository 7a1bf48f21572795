/**
 * Records which requests crashed the targets that ran them, as observed by the whole fleet. Guards
 * against a caller that repeats such a request through any instance: each copy takes another target
 * down for seconds. A request is identified by a digest of workspace, method, path and body,
 * because each copy has its own request id.
 *
 * A single broken connection proves nothing: a target that crashes breaks the connections of all
 * its requests, and a network that loses responses looks the same. Only a request that broke
 * connections at `maxCrashes` targets is refused. Each `now` is in milliseconds of the monotonic
 * clock.
 */
export type TargetCrash = {
	readonly fingerprint: string;
	/** Id of the target whose connection broke before it responded. */
	readonly target: string;
};

export type CrashHistory = {
	/** Records a crash that this instance observed; counts each target once per request. */
	record(crash: TargetCrash, now: number): void;
	/** Adds crashes that another instance reported. */
	merge(crashes: readonly TargetCrash[], now: number): void;
	/**
	 * Whether any request is suspected, because it broke a connection. While none is, no digest needs
	 * to be computed.
	 */
	readonly hasSuspects: boolean;
	/** Whether the request has crashed the maximum number of targets. */
	isRefused(fingerprint: string, now: number): boolean;
	/**
	 * Crashes that this instance observed recently; sent with every report, as a report may be
	 * lost.
	 */
	recent(now: number): readonly TargetCrash[];
	/** Removes expired suspects. Linear in their number. */
	prune(now: number): void;
};

/** Targets that a request may crash; the platform allows three and requires that no more follow. */
const maxCrashes = 3;
/** Milliseconds for which a request is remembered after it crashed a further target. */
const retentionMs = 600_000;
/**
 * Milliseconds for which a request that broke a single connection is remembered; this is usually a
 * coincidence.
 */
const singleCrashRetentionMs = 60_000;
/**
 * Milliseconds for which a crash is reported; the bound of the platform on further copies applies
 * after 3 s.
 */
const reportWindowMs = 2500;
/** Limits the size of a report, so that it fits into a datagram. */
const maxReportedCrashes = 16;
/**
 * Maximum number of remembered requests; the one without a crash or report for longest is dropped.
 */
const maxSuspects = 2000;

/** A request that broke at least one connection, and the ids of the targets. */
type Suspect = {readonly targets: Set<string>; expiresAt: number};

export function createCrashHistory(): CrashHistory {
	/** Ordered by the time at which a crash was last recorded or reported. */
	const suspects = new Map<string, Suspect>();
	let observedCrashes: Array<{readonly crash: TargetCrash; readonly at: number}> = [];

	/** Returns whether the crash was not known yet. */
	function addCrash({fingerprint, target}: TargetCrash, now: number): boolean {
		const known = suspects.get(fingerprint);
		const targets = known?.targets ?? new Set();
		const isNew = !targets.has(target);
		targets.add(target);
		suspects.delete(fingerprint);
		const ttl = targets.size > 1 ? retentionMs : singleCrashRetentionMs;
		suspects.set(fingerprint, {targets, expiresAt: isNew ? now + ttl : known!.expiresAt});
		if (suspects.size > maxSuspects) {
			suspects.delete(suspects.keys().next().value!);
		}

		return isNew;
	}

	return {
		record(crash, now) {
			if (addCrash(crash, now)) {
				observedCrashes.push({crash, at: now});
			}
		},
		merge(crashes, now) {
			for (const crash of crashes) {
				addCrash(crash, now);
			}
		},
		get hasSuspects() {
			return suspects.size > 0;
		},
		isRefused(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			return suspect !== undefined && now < suspect.expiresAt && suspect.targets.size >= maxCrashes;
		},
		recent(now) {
			observedCrashes = observedCrashes.filter(({at}) => now - at < reportWindowMs);
			return observedCrashes.slice(-maxReportedCrashes).map(({crash}) => crash);
		},
		prune(now) {
			for (const [fingerprint, {expiresAt}] of suspects) {
				if (now >= expiresAt) {
					suspects.delete(fingerprint);
				}
			}
		},
	};
}
