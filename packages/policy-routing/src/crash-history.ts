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

/** What an instance remembers of one request that broke connections at two or more targets. */
export type SuspectRequest = {
	readonly fingerprint: string;
	/** Ids of targets at which it did, at most `maxCrashes`. */
	readonly targets: readonly string[];
	/** Milliseconds for which it is still remembered. */
	readonly expiresIn: number;
};

export type CrashHistory = {
	/** Records a crash that this instance observed; counts each target once per request. */
	record(crash: TargetCrash, now: number): void;
	/** Adds crashes that another instance reported. */
	merge(crashes: readonly TargetCrash[], now: number): void;
	/**
	 * Forgets a request that a target ran to a response: it does not crash targets, but was at targets
	 * that crashed because of others.
	 */
	clear(fingerprint: string, now: number): void;
	/** Forgets requests that another instance reported as cleared. */
	mergeCleared(fingerprints: readonly string[]): void;
	/**
	 * Requests cleared by this instance within the last `reportWindowMs`, at most the newest
	 * `maxReportedCrashes`.
	 */
	recentlyCleared(now: number): readonly string[];
	/**
	 * The requests that a new instance should know, at most the `maxPassedOnSuspects` whose crash was
	 * recorded or reported latest. Linear in the number of requests kept.
	 */
	suspects(now: number): readonly SuspectRequest[];
	/** Adds requests that another instance remembers. */
	mergeSuspects(requests: readonly SuspectRequest[], now: number): void;
	/**
	 * Whether any request is suspected, because it broke a connection. While none is, no digest of a
	 * request needs to be computed.
	 */
	readonly hasSuspects: boolean;
	/** Whether to refuse the request: it broke connections at `maxCrashes` (three) targets. */
	isRefused(fingerprint: string, now: number): boolean;
	/**
	 * Crashes that this instance observed within the last `reportWindowMs`, at most the newest
	 * `maxReportedCrashes`. Every report to other instances contains them, because a report may be
	 * lost.
	 */
	recent(now: number): readonly TargetCrash[];
	/** Removes the requests whose retention has expired. Linear in the number of requests kept. */
	prune(now: number): void;
};

/**
 * Number of targets that a request may crash before it is refused; the platform allows three and
 * requires that no more follow.
 */
const maxCrashes = 3;
/**
 * Milliseconds for which a request that broke connections at two or more targets is remembered
 * after the latest of these targets.
 */
const retentionMs = 600_000;
/**
 * Milliseconds for which a request that broke connections at only one target is remembered; it was
 * usually at that target by coincidence.
 */
const singleCrashRetentionMs = 60_000;
/**
 * Milliseconds for which a crash is repeated in reports. The other instances must know it by 3 s
 * after the crash, when the platform's limit on further copies of the request begins to apply.
 */
const reportWindowMs = 2500;
/** Maximum number of crashes in a report, so that the report fits into a datagram. */
const maxReportedCrashes = 16;
/** Maximum number of requests that a new instance is told, so that a few datagrams suffice. */
const maxPassedOnSuspects = 64;
/** Broken connections at fewer targets are mostly coincidence and are not passed on. */
const minPassedOnCrashes = 2;
/**
 * Maximum number of remembered requests. If there are more, the request whose crash was recorded or
 * reported longest ago is dropped.
 */
const maxSuspects = 2000;

/**
 * A request that broke at least one connection: the ids of the targets at which it did, and the
 * time until which it is remembered.
 */
type Suspect = {readonly targets: Set<string>; expiresAt: number};

export function createCrashHistory(): CrashHistory {
	/** By fingerprint, in the order in which a crash of the request was last recorded or reported. */
	const suspects = new Map<string, Suspect>();
	let observedCrashes: Array<{readonly crash: TargetCrash; readonly at: number}> = [];
	let cleared: Array<{readonly fingerprint: string; readonly at: number}> = [];

	/** Returns whether the crash is new: this request at this target was not known yet. */
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
		clear(fingerprint, now) {
			if (suspects.delete(fingerprint)) {
				observedCrashes = observedCrashes.filter(({crash}) => crash.fingerprint !== fingerprint);
				cleared.push({fingerprint, at: now});
			}
		},
		mergeCleared(fingerprints) {
			for (const fingerprint of fingerprints) {
				suspects.delete(fingerprint);
			}
		},
		recentlyCleared(now) {
			cleared = cleared.filter(({at}) => now - at < reportWindowMs);
			return cleared.slice(-maxReportedCrashes).map(({fingerprint}) => fingerprint);
		},
		suspects(now) {
			return [...suspects]
				.filter(([, {targets, expiresAt}]) => targets.size >= minPassedOnCrashes && now < expiresAt)
				.slice(-maxPassedOnSuspects)
				.map(([fingerprint, {targets, expiresAt}]) => ({
					fingerprint,
					targets: [...targets].slice(0, maxCrashes),
					expiresIn: Math.round(expiresAt - now),
				}));
		},
		mergeSuspects(requests, now) {
			for (const {fingerprint, targets, expiresIn} of requests) {
				const known = suspects.get(fingerprint);
				const expiresAt = Math.max(known?.expiresAt ?? now, now + Math.min(expiresIn, retentionMs));
				for (const target of targets) {
					addCrash({fingerprint, target}, now);
				}

				const suspect = suspects.get(fingerprint);
				if (suspect !== undefined) {
					suspect.expiresAt = expiresAt;
				}
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
