/**
 * Requests that crashed the targets which ran them, as the whole fleet saw it. Answers the load
 * pattern in which a caller sends such a request again and again, through any instance: each copy
 * takes another target down for seconds. A request is known by a digest of workspace, method, path
 * and body, because each copy has an id of its own.
 *
 * A single broken connection is no proof, since a target that crashes breaks those of all its
 * requests, and a network that loses answers looks the same. Only a digest that broke connections
 * at several targets is refused.
 */
export type Crash = {
	readonly fingerprint: string;
	/** Id of the target whose connection broke before it answered. */
	readonly target: string;
};

export type CrashHistory = {
	/** A crash that this instance saw. */
	record(crash: Crash, now: number): void;
	/** Crashes that another instance saw. */
	merge(crashes: readonly Crash[], now: number): void;
	/** Whether any request is under suspicion; while none is, no digest needs to be computed. */
	readonly hasSuspects: boolean;
	/** Whether the request has crashed as many targets as it may. */
	isRefused(fingerprint: string, now: number): boolean;
	/** Crashes that this instance saw lately. Sent with every report, as a single one may be lost. */
	recent(now: number): readonly Crash[];
	/** Forgets what is out of date. Linear in the suspects. */
	prune(now: number): void;
};

/** Targets that a request may crash; the platform allows three and asks for no more after that. */
const mostCrashes = 3;
/** Milliseconds after the last crash for which a request is remembered. */
const retention = 600_000;
/** The same for one that broke a single connection, which is mostly chance. */
const singleRetention = 60_000;
/** Milliseconds for which a crash is reported; the bound on further copies begins after 3 s. */
const reportSpan = 2500;
/** Crashes in one report, so that it fits into a datagram. */
const mostReported = 16;
const mostSuspects = 2000;

type Suspect = {readonly targets: Set<string>; until: number};

export function createCrashHistory(): CrashHistory {
	/** In the order of their last crash. */
	const suspects = new Map<string, Suspect>();
	let reported: Array<{readonly crash: Crash; readonly at: number}> = [];

	function remember({fingerprint, target}: Crash, now: number): boolean {
		const known = suspects.get(fingerprint);
		const targets = known?.targets ?? new Set();
		const isNew = !targets.has(target);
		targets.add(target);
		suspects.delete(fingerprint);
		const life = targets.size > 1 ? retention : singleRetention;
		suspects.set(fingerprint, {targets, until: isNew ? now + life : known!.until});
		if (suspects.size > mostSuspects) {
			suspects.delete(suspects.keys().next().value!);
		}

		return isNew;
	}

	return {
		record(crash, now) {
			if (remember(crash, now)) {
				reported.push({crash, at: now});
			}
		},
		merge(crashes, now) {
			for (const crash of crashes) {
				remember(crash, now);
			}
		},
		get hasSuspects() {
			return suspects.size > 0;
		},
		isRefused(fingerprint, now) {
			const suspect = suspects.get(fingerprint);
			return suspect !== undefined && now < suspect.until && suspect.targets.size >= mostCrashes;
		},
		recent(now) {
			reported = reported.filter(({at}) => now - at < reportSpan);
			return reported.slice(-mostReported).map(({crash}) => crash);
		},
		prune(now) {
			for (const [fingerprint, {until}] of suspects) {
				if (now >= until) {
					suspects.delete(fingerprint);
				}
			}
		},
	};
}
