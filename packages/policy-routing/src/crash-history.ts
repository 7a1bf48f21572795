/**
 * Records which requests crashed the targets that ran them, as observed by the whole fleet. Guards
 * against a caller that repeats such a request through any instance: each copy takes another target
 * down for seconds. A request is identified by a digest of workspace, method, path and body,
 * because each copy has its own request id.
 *
 * A single crash proves nothing: a target that crashes breaks the connections of all its requests.
 * Only a request at which `maxCrashes` targets crashed is refused. All of these may have crashed for
 * other reasons, too, so a few trials of a refused request follow, and any response ends the
 * refusal. Each `now` is in milliseconds of the monotonic clock.
 */
export type TargetCrash = {
	readonly fingerprint: string;
	/** Id of the target that crashed before it responded. */
	readonly target: string;
};

/** What an instance remembers of one request at which two or more targets crashed. */
export type SuspectRequest = {
	readonly fingerprint: string;
	/** Ids of these targets, at most `maxCrashes` and one for each trial. */
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
	 * Whether a target crashed at any request, or another instance refuses one. While neither is so,
	 * no digest of a request needs to be computed.
	 */
	readonly hasSuspects: boolean;
	/** Whether to refuse the request: `maxCrashes` (three) targets crashed at it. */
	isRefused(fingerprint: string, now: number): boolean;
	/**
	 * Whether a request that is refused may be tried once more, because the next trial is due. To be
	 * called only while this instance has the turn among all instances; true starts the trial.
	 */
	takeTrial(fingerprint: string, now: number): boolean;
	/** Records that this instance refused the request. */
	recordRefusal(fingerprint: string, now: number): void;
	/** Requests that this instance refused within the last `reportWindowMs`, at most the newest 16. */
	recentlyRefused(now: number): readonly string[];
	/**
	 * Adds requests that another instance refuses. If this instance has one of them run to a response,
	 * it reports the request as cleared, although it does not suspect the request itself.
	 */
	mergeRefused(fingerprints: readonly string[], now: number): void;
	/**
	 * Crashes that this instance observed within the last `reportWindowMs`, at most the newest
	 * `maxReportedCrashes`. Every report to other instances contains them, because a report may be
	 * lost.
	 */
	recent(now: number): readonly TargetCrash[];
	/** Removes what is kept for longer than its retention. Linear in the number of requests kept. */
	prune(now: number): void;
};

/**
 * Number of targets that a request may crash before it is refused; the platform allows three and
 * requires that no more follow.
 */
const maxCrashes = 3;
/**
 * Milliseconds after the latest crash at which each trial of a refused request is due. The platform
 * allows three more copies of a request that crashes targets.
 */
const trialDelaysMs = [20_000, 60_000, 180_000];
/** Milliseconds after which a trial counts as ended without a crash and without a response. */
const trialTimeoutMs = 10_000;
/**
 * Milliseconds for which a request at which two or more targets crashed is remembered after the
 * latest of these crashes.
 */
const retentionMs = 600_000;
/**
 * Milliseconds for which a request at which only one target crashed is remembered; it was usually
 * there by coincidence.
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
/** Crashes of fewer targets are mostly coincidence and are not passed on. */
const minPassedOnCrashes = 2;
/**
 * Maximum number of remembered requests. If there are more, the request whose crash was recorded or
 * reported longest ago is dropped.
 */
const maxSuspects = 2000;
/** Maximum number of requests known to be refused by other instances. */
const maxRefusedElsewhere = 1000;
/** Milliseconds for which a refusal by another instance is remembered. */
const refusalRetentionMs = 10_000;

/** A request at which at least one target crashed. */
type Suspect = {
	/** Ids of the targets. */
	readonly targets: Set<string>;
	/** Time until which the request is remembered. */
	expiresAt: number;
	/** Start of the latest trial by this instance. */
	triedAt: number;
};

export function createCrashHistory(): CrashHistory {
	/** By fingerprint, in the order in which a crash of the request was last recorded or reported. */
	const suspects = new Map<string, Suspect>();
	let observedCrashes: Array<{readonly crash: TargetCrash; readonly at: number}> = [];
	let cleared: Array<{readonly fingerprint: string; readonly at: number}> = [];
	/** When this instance last refused a request, the latest refusal last. */
	const refusals = new Map<string, number>();
	/** When another instance last reported that it refuses a request, the latest report last. */
	const refusedElsewhere = new Map<string, number>();

	function setLatest(times: Map<string, number>, fingerprint: string, now: number): void {
		times.delete(fingerprint);
		times.set(fingerprint, now);
		if (times.size > maxRefusedElsewhere) {
			times.delete(times.keys().next().value!);
		}
	}

	function forget(fingerprint: string): boolean {
		observedCrashes = observedCrashes.filter(({crash}) => crash.fingerprint !== fingerprint);
		refusals.delete(fingerprint);
		const wasRefusedElsewhere = refusedElsewhere.delete(fingerprint);
		return suspects.delete(fingerprint) || wasRefusedElsewhere;
	}

	/** Returns whether the crash is new: this request at this target was not known yet. */
	function addCrash({fingerprint, target}: TargetCrash, now: number): boolean {
		const known = suspects.get(fingerprint);
		const targets = known?.targets ?? new Set();
		const isNew = !targets.has(target);
		targets.add(target);
		suspects.delete(fingerprint);
		const ttl = targets.size > 1 ? retentionMs : singleCrashRetentionMs;
		suspects.set(fingerprint, {
			targets,
			expiresAt: isNew ? now + ttl : known!.expiresAt,
			triedAt: known?.triedAt ?? Number.NEGATIVE_INFINITY,
		});
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
			if (forget(fingerprint)) {
				cleared.push({fingerprint, at: now});
			}
		},
		mergeCleared(fingerprints) {
			for (const fingerprint of fingerprints) {
				forget(fingerprint);
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
					targets: [...targets].slice(0, maxCrashes + trialDelaysMs.length),
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
			return suspects.size > 0 || refusedElsewhere.size > 0;
		},
		isRefused(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			return suspect !== undefined && now < suspect.expiresAt && suspect.targets.size >= maxCrashes;
		},
		takeTrial(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			const delay = trialDelaysMs[(suspect?.targets.size ?? 0) - maxCrashes];
			if (suspect === undefined || delay === undefined) {
				return false;
			}

			const crashedAt = suspect.expiresAt - retentionMs;
			const isDue = now - crashedAt >= delay && now - suspect.triedAt >= trialTimeoutMs;
			if (isDue) {
				suspect.triedAt = now;
			}

			return isDue;
		},
		recordRefusal(fingerprint, now) {
			setLatest(refusals, fingerprint, now);
		},
		recentlyRefused(now) {
			for (const [fingerprint, at] of refusals) {
				if (now - at >= reportWindowMs) {
					refusals.delete(fingerprint);
				}
			}

			return [...refusals.keys()].slice(-maxReportedCrashes);
		},
		mergeRefused(fingerprints, now) {
			for (const fingerprint of fingerprints) {
				setLatest(refusedElsewhere, fingerprint, now);
			}
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

			for (const [fingerprint, at] of refusedElsewhere) {
				if (now - at >= refusalRetentionMs) {
					refusedElsewhere.delete(fingerprint);
				}
			}
		},
	};
}
