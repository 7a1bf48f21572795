/**
 * Decides how a new version of the configuration reaches this instance: whether it watches the
 * configuration service, from which peer it pulls a document, and when it polls as a fallback. Only
 * a few instances per failure domain watch, so that the load of the service does not grow with the
 * fleet. The caller carries out the decisions and reports how each ended.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {type ConfigurationReport} from './heartbeat.js';
import {createView} from './rendezvous.js';
import {lenderLeaseDuration} from './timing.js';

export type ConfigurationReadDecision =
	/** Start a long poll for a version above `after`. */
	| {readonly kind: 'watch'; readonly after: number}
	/** Cancel the long poll that is pending; no result is expected for it. */
	| {readonly kind: 'stop-watch'}
	/** Fetch the whole document from a peer. */
	| {readonly kind: 'pull'; readonly from: InstanceId; readonly version: number}
	/** Read the current document from the configuration service. */
	| {readonly kind: 'poll'};

/** `unchanged` means that the configuration service responded and has no higher version. */
export type ConfigurationReadOutcome =
	| {readonly kind: 'document'; readonly version: number; readonly digest: string}
	| {readonly kind: 'unchanged'}
	| {readonly kind: 'failed'};

/** A decision whose outcome must be reported with `complete`. */
export type ConfigurationReadRequest = Exclude<
	ConfigurationReadDecision,
	{readonly kind: 'stop-watch'}
>;

/** The last report of a peer; see `Membership.configurationReports`. */
export type DistributionPeer = ConfigurationReport & {readonly from: InstanceId};

export type DistributionInput = {
	/** Members of the view of this instance, itself included. */
	readonly members: readonly InstanceId[];
	readonly failureDomainOf: (instance: InstanceId) => string | undefined;
	readonly peers: readonly DistributionPeer[];
};

export type ConfigurationDistribution = {
	/**
	 * What to start or cancel now; called with every tick and after every `complete`. At most one
	 * watch, one pull and one poll are pending at a time. Linear in the members.
	 */
	decide(input: DistributionInput, now: number): ConfigurationReadDecision[];
	/**
	 * Records how a request ended. The caller validates a document first and reports an invalid one
	 * as `failed`. Returns whether the caller must adopt the document; if so, that version counts as
	 * adopted from then on.
	 */
	complete(
		request: ConfigurationReadRequest,
		outcome: ConfigurationReadOutcome,
		now: number,
	): boolean;
	/** The report to send in heartbeats. */
	report(now: number): ConfigurationReport;
	/**
	 * Whether a version has been adopted, a poll of the configuration service has ended (even if it
	 * failed), there was time to hear from all peers, and none of them reported a higher version. Once
	 * true, it stays true.
	 */
	isReady(): boolean;
};

export type ConfigurationDistributionOptions = {
	readonly self: InstanceId;
	/**
	 * Of this instance. Taken from the settings, because the platform's list may not show this
	 * instance yet.
	 */
	readonly failureDomain: string;
	readonly random: Random;
	/** Monotonic milliseconds. */
	readonly startedAt: number;
};

type Backoff = {
	/** Consecutive failures. */
	failures: number;
	/** Monotonic milliseconds before which the request must not be repeated. */
	notBefore: number;
};

const watchersPerDomain = 2;
const pollIntervalMs = 60_000;
/** Largest fraction of the interval by which a poll is shifted at random, earlier or later. */
const pollJitterRatio = 0.25;
/**
 * Minimum milliseconds between the starts of two watches, in case the service responds to long
 * polls at once instead of waiting for a higher version.
 */
const minWatchSpacingMs = 500;
const initialBackoffMs = 500;
const maxBackoffMs = 30_000;

export function createConfigurationDistribution(
	options: ConfigurationDistributionOptions,
): ConfigurationDistribution {
	const {self, failureDomain, random, startedAt} = options;
	/** Monotonic milliseconds by which every reachable peer has sent several heartbeats. */
	const peersHeardBy = startedAt + lenderLeaseDuration;
	let version = 0;
	let digest = '';
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let isReady = false;
	let hasPolled = false;
	let nextPollAt = startedAt;
	const pending = new Set<ConfigurationReadRequest['kind']>();
	let nextWatchAt = startedAt;
	const watchBackoff: Backoff = {failures: 0, notBefore: startedAt};
	const pollBackoff: Backoff = {failures: 0, notBefore: startedAt};
	const pullBackoffs = new Map<InstanceId, Backoff>();

	/** Half of the delay is random, so that instances that failed together do not retry together. */
	function backOff(backoff: Backoff, now: number): void {
		const delay = Math.min(initialBackoffMs * 2 ** backoff.failures, maxBackoffMs);
		backoff.failures++;
		backoff.notBefore = now + (delay * (1 + random())) / 2;
	}

	function resetBackoff(backoff: Backoff): void {
		backoff.failures = 0;
		backoff.notBefore = Number.NEGATIVE_INFINITY;
	}

	function schedulePoll(now: number): void {
		nextPollAt = now + pollIntervalMs * (1 + pollJitterRatio * (2 * random() - 1));
	}

	function isWatcher({members, failureDomainOf}: DistributionInput): boolean {
		const candidates = members.filter(
			member => member !== self && failureDomainOf(member) === failureDomain,
		);
		const ranking = createView([...candidates, self]).ranking(`watch:${failureDomain}`);
		return ranking.indexOf(self) < watchersPerDomain;
	}

	function decideWatch(
		input: DistributionInput,
		now: number,
	): ConfigurationReadDecision | undefined {
		const shouldWatch = isWatcher(input);
		if (pending.has('watch')) {
			if (shouldWatch) {
				return undefined;
			}

			pending.delete('watch');
			return {kind: 'stop-watch'};
		}

		if (!shouldWatch || now < Math.max(watchBackoff.notBefore, nextWatchAt)) {
			return undefined;
		}

		nextWatchAt = now + minWatchSpacingMs;
		return {kind: 'watch', after: version};
	}

	/**
	 * Pulls from a random peer among those with the highest version, to distribute the load; peers
	 * from which a pull has just failed are left out until their back-off ends.
	 */
	function decidePull(
		{peers}: DistributionInput,
		now: number,
	): ConfigurationReadDecision | undefined {
		if (pending.has('pull')) {
			return undefined;
		}

		const usable = peers.filter(
			peer =>
				peer.version > version && now >= (pullBackoffs.get(peer.from)?.notBefore ?? startedAt),
		);
		const highest = Math.max(...usable.map(peer => peer.version));
		const sources = usable.filter(peer => peer.version === highest);
		const source = sources[Math.floor(random() * sources.length)];
		return source && {kind: 'pull', from: source.from, version: source.version};
	}

	function decidePoll(now: number): ConfigurationReadDecision | undefined {
		const isDue = now >= nextPollAt && now >= pollBackoff.notBefore;
		return isDue && !pending.has('poll') ? {kind: 'poll'} : undefined;
	}

	function recordConfirmations(peers: readonly DistributionPeer[], now: number): void {
		for (const peer of peers) {
			if (peer.version === version && peer.digest === digest) {
				confirmedAt = Math.max(confirmedAt, now - peer.confirmedAgo);
			}
		}
	}

	function updateReady(peers: readonly DistributionPeer[], now: number): void {
		const isBehind = peers.some(peer => peer.version > version);
		isReady ||= version > 0 && hasPolled && now >= peersHeardBy && !isBehind;
	}

	function forgetGonePeers(peers: readonly DistributionPeer[]): void {
		for (const peer of pullBackoffs.keys()) {
			if (!peers.some(({from}) => from === peer)) {
				pullBackoffs.delete(peer);
			}
		}
	}

	function backoffOf(request: ConfigurationReadRequest): Backoff {
		if (request.kind !== 'pull') {
			return request.kind === 'watch' ? watchBackoff : pollBackoff;
		}

		const backoff = pullBackoffs.get(request.from) ?? {failures: 0, notBefore: startedAt};
		pullBackoffs.set(request.from, backoff);
		return backoff;
	}

	function handleServiceResponse(outcome: ConfigurationReadOutcome, now: number): void {
		const servedVersion = outcome.kind === 'document' ? outcome.version : version;
		// A stale service that serves a lower version confirms nothing.
		if (servedVersion >= version) {
			confirmedAt = now;
		}

		schedulePoll(now);
	}

	/**
	 * An instance that has adopted a version polls again at the regular interval, which is longer than
	 * any back-off. An instance without a version polls again as soon as the back-off permits.
	 */
	function handlePollFailure(now: number): void {
		if (version > 0) {
			schedulePoll(now);
		}
	}

	return {
		decide(input, now) {
			recordConfirmations(input.peers, now);
			updateReady(input.peers, now);
			forgetGonePeers(input.peers);
			const decisions = [decideWatch(input, now), decidePull(input, now), decidePoll(now)].filter(
				decision => decision !== undefined,
			);
			for (const {kind} of decisions) {
				if (kind !== 'stop-watch') {
					pending.add(kind);
				}
			}

			return decisions;
		},
		complete(request, outcome, now) {
			pending.delete(request.kind);
			// The client makes one call at a time. A call that was requested as a poll and ends as a watch
			// must complete the poll as well, or the instance would wait for that poll forever.
			const isPoll =
				request.kind === 'poll' || (request.kind === 'watch' && pending.delete('poll'));
			hasPolled ||= isPoll;
			const isHigher = outcome.kind === 'document' && outcome.version > version;
			if (isHigher) {
				version = outcome.version;
				digest = outcome.digest;
				confirmedAt = Number.NEGATIVE_INFINITY;
			}

			const isAnswered = outcome.kind !== 'failed';
			if (isAnswered && request.kind !== 'pull') {
				handleServiceResponse(outcome, now);
			} else if (isPoll) {
				handlePollFailure(now);
			}

			if (isPoll && request.kind !== 'poll' && !isAnswered) {
				backOff(pollBackoff, now);
			}

			// A stale document arrives at once, so the next watch or pull must back off as after a
			// failure.
			const isStale = outcome.kind === 'document' && !isHigher && request.kind !== 'poll';
			if (isAnswered && !isStale) {
				resetBackoff(backoffOf(request));
			} else {
				backOff(backoffOf(request), now);
			}

			return isHigher;
		},
		report: now => ({version, digest, confirmedAgo: now - confirmedAt}),
		isReady: () => isReady,
	};
}
