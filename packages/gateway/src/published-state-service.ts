/**
 * Follows what the platform publishes: reads a snapshot, then waits for changes with long polls
 * (watches), either at the store or at another instance. Also serves what it has received to other
 * instances.
 */
import {
	createPublishedListener,
	fetchPublishedChanges,
} from '@shallotpond/io-fleet/published-exchange';
import {backOffDelay} from '@shallotpond/io-platform/back-off';
import {createCallLoop} from '@shallotpond/io-platform/call-loop';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {readClockOffset, type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {ShallotpondError} from '@shallotpond/kernel/shallotpond-error';
import {type EventLog} from '@shallotpond/observability/event-log';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type ConfigurationState, type Member} from '@shallotpond/policy-fleet/fleet-message';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {createCatchUpSources} from '@shallotpond/policy-fleet/catch-up-sources';
import {createPublishedLag} from '@shallotpond/policy-fleet/published-lag';
import {createPublishedLog, type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {compareEras, comparePositions} from '@shallotpond/policy-fleet/published-position';
import {type RetainedItem, type RetainedItemsReader} from '@shallotpond/policy-fleet/retained-item';
import {
	createSyncSourceSelector,
	type SyncSource,
} from '@shallotpond/policy-fleet/sync-source-selector';

/**
 * Read access to the platform's store, from its adapter. Calls throw a `PlatformError`. The era of a
 * response is undefined if the store does not state it.
 */
export type StoreReader = {
	readAll(signal: AbortSignal): Promise<{
		readonly items: readonly PublishedItem[];
		readonly revision: number;
		readonly era?: number | undefined;
	}>;
	/** Waits up to `wait` whole milliseconds for changes after the revision. */
	watch(
		revision: number,
		wait: number,
		signal: AbortSignal,
	): Promise<
		| {
				readonly kind: 'changes';
				readonly items: readonly PublishedItem[];
				readonly revision: number;
				readonly era?: number | undefined;
		  }
		/** The store does not have the changes since the revision. */
		| {readonly kind: 'history-gone'; readonly era?: number | undefined}
	>;
};

export type PublishedItemReceiver = {
	/**
	 * Replaces all items. `away` is the preceding time without contact to any source in ms. If
	 * `isNewEra`, the items may be an older copy of those before.
	 */
	takeSnapshot(items: readonly PublishedItem[], away: number, isNewEra?: boolean): void;
	takeChange(item: PublishedItem): void;
	/** What this instance knows to hold and the reader's copy of the store may lack. */
	retainedItems(reader: RetainedItemsReader): readonly RetainedItem[];
	/** Takes what another instance knows to hold; called after the first snapshot. */
	takeRetainedItems(items: readonly RetainedItem[]): void;
	/**
	 * Records that everything published up to `at` (monotonic milliseconds) has been passed on.
	 * `clockOffset` is the result of `readClockOffset` when the source was asked.
	 */
	confirm(at: number, clockOffset: number): void;
	/** Milliseconds since the latest time that was passed to `confirm`. */
	confirmedAgo(): number;
	/** Version of the configuration in force; 0 if there is none. */
	configurationVersion(): number;
};

export type PublishedStateService = KernelService & {
	/** Revision up to which all changes are known; 0 before the first snapshot. */
	readonly revision: number;
	/** Era of the revision; undefined if unknown. */
	readonly era: number | undefined;
	/**
	 * Records the state that another instance reports. If it is newer, that instance is read soon
	 * unless this one catches up before.
	 */
	recordMemberState(state: ConfigurationState, from: Member): void;
};

export type PublishedStateServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** IP address of this instance. */
	readonly self: string;
	/** Failure domain of this instance. */
	readonly failureDomain: string;
	/** Port of the exchange, the same on all instances. */
	readonly port: number;
	readonly roster: FleetRoster;
	/** IP addresses of the instances that a new instance contacts first. Default: none. */
	readonly seeds?: () => readonly string[];
	readonly store: StoreReader;
	readonly receiver: PublishedItemReceiver;
	/**
	 * Maximum milliseconds at the start to wait until another member is known, which is then read
	 * instead of the store. Default 0: the store is read at once, because callers may be waiting.
	 */
	readonly discoveryTime?: number;
};

/**
 * Maximum wait of a watch at the store. A response without changes proves that no key was
 * withdrawn, so it must come well before the time limit within which a withdrawn key must stop
 * working.
 */
const storeWaitMs = 1800;
/** Minimum wait of a watch; a shorter one would hardly differ from a plain read. */
const minStoreWaitMs = 50;
/**
 * Wait of a watch at another instance. It is shorter than at the store, because a silent instance
 * must be noticed sooner.
 */
const memberWaitMs = 800;
/** Time after the wait within which the response of another instance must have arrived. */
const memberSlackMs = 400;
/**
 * A response of an instance that was last confirmed to be up to date longer ago than this counts as
 * a failure.
 */
const maxMemberAgeMs = 2400;
/**
 * Time within which a member must say what the store may lack. A new instance waits for that at its
 * start, but only until the first of the members has answered.
 */
const retainedTimeoutMs = 250;
/** Members that a new instance asks for what the store may lack; one of them may be frozen. */
const maxRetainedSources = 3;
/** Interval of the checks whether another member is known. */
const discoveryCheckMs = 25;
/** Bounds of the delay after the second and further failed reads in a row, in milliseconds. */
const backOff = {initialDelay: 100, maxDelay: 800} as const;
/**
 * Delay before the next watch of the store after one that returned changes. In a large fleet the
 * targets change several times a second, and each change would cost a call of each reader.
 */
const changeCollectionMs = 200;
/** An older confirmation that no key was withdrawn is renewed without that delay. */
const maxCollectionAgeMs = 1000;
/** Delay after a first failed read, before a source is chosen again. */
const switchDelayMs = 20;
/** Lag behind a state that another instance reported from which it is logged. */
const loggedLagMs = 1000;
/** Name of the store as a source, in logs. */
const storeName = 'store';

/** Leaves out the changes that a later one of the same item supersedes. */
function newestChanges(items: readonly PublishedItem[]): Iterable<PublishedItem> {
	return new Map(items.map(item => [item.key, item])).values();
}

export function createPublishedStateService(
	options: PublishedStateServiceOptions,
): PublishedStateService {
	const {
		clock,
		random,
		log,
		metrics,
		store,
		receiver,
		discoveryTime = 0,
		seeds = () => [],
	} = options;
	const published = createPublishedLog();
	const lag = createPublishedLag();
	const catchUpSources = createCatchUpSources({failureDomain: options.failureDomain, random});
	const sourceSelector = createSyncSourceSelector({
		self: options.self,
		roster: options.roster,
		random,
		confirmedAgo: receiver.confirmedAgo,
		startsFromMembers: discoveryTime > 0,
	});
	const listener = createPublishedListener({
		address: {host: options.self, port: options.port},
		clock,
		log: published,
		confirmedAgo: receiver.confirmedAgo,
		retainedItems: reader => receiver.retainedItems(reader),
	});
	const discoveryEnd = clock.monotonic() + random() * discoveryTime;
	let lastContactAt = clock.monotonic();
	let isStoreLost = false;
	/** Whether the state does not lead on to that of the store, so that all must be read again. */
	let isSnapshotNeeded = false;
	let isCatchUpScheduled = false;
	/** Whether the last read of the store returned changes. */
	let hasStoreChanges = false;
	/** Whether the last read of the store was a watch whose connection broke. */
	let isWatchCut = false;

	const position = () => ({era: published.era, revision: published.revision ?? 0});

	function takeSnapshot(
		items: readonly PublishedItem[],
		revision: number,
		era: number | undefined,
		kind: 'replace' | 'merge' = 'replace',
	): void {
		const before = {era: published.era, revision: published.revision};
		if (!published[kind](items, revision, era)) {
			return;
		}

		const isNewEra = before.revision !== undefined && era !== before.era;
		if (isNewEra && before.era !== undefined) {
			metrics.count('store-era-changes');
			log.write('store-era-changed', {
				before: before.era,
				era,
				revisionBefore: before.revision,
				revision,
			});
		}

		receiver.takeSnapshot(items, clock.monotonic() - lastContactAt, isNewEra);
		listener.notify();
	}

	function takeChanges(
		items: readonly PublishedItem[],
		revision: number,
		era: number | undefined,
	): void {
		const added = published.add(items, revision, era) ?? [];
		for (const item of newestChanges(added)) {
			receiver.takeChange(item);
		}

		if (added.length > 0) {
			listener.notify();
		}
	}

	/**
	 * Throws if the response is of an older era than this instance knows: it proves nothing about
	 * what has been published since.
	 */
	function refuseOlderEra(era: number | undefined): void {
		if (compareEras(era, published.era) < 0) {
			throw new PlatformError('stale-answer', 'the response is of an older era of the store');
		}
	}

	function recordProgress(source: string): void {
		const caughtUpAfter = lag.recordProgress(position(), clock.monotonic());
		if (caughtUpAfter === undefined) {
			return;
		}

		metrics.recordDuration('published-lag', caughtUpAfter);
		if (caughtUpAfter > loggedLagMs) {
			log.write('published-late', {lag: Math.round(caughtUpAfter), source, ...position()});
		}
	}

	function recordContact(confirmedAt: number, clockOffset: number): void {
		lastContactAt = clock.monotonic();
		receiver.confirm(confirmedAt, clockOffset);
	}

	async function readStore(signal: AbortSignal): Promise<void> {
		const startedAt = clock.monotonic();
		const clockOffset = readClockOffset(clock);
		const {revision, era} = published;
		if (revision === undefined || isSnapshotNeeded || isStoreLost) {
			const snapshot = await store.readAll(signal);
			// A response without an era counts as one of the era that was known when it was requested.
			const snapshotEra = snapshot.era ?? era;
			refuseOlderEra(snapshotEra);
			// After an outage of the store entries may be missing that return soon; each instance has its
			// own grace for these, so readers get the whole snapshot.
			const isContinuous = revision !== undefined && !isStoreLost;
			const kind = isContinuous ? 'merge' : 'replace';
			takeSnapshot(snapshot.items, snapshot.revision, snapshotEra, kind);
			recordProgress(storeName);
			isSnapshotNeeded = false;
			if (revision === undefined) {
				await learnRetainedItems(signal);
			}

			recordContact(startedAt, clockOffset);
			return;
		}

		// The older the last confirmation that nothing has changed, the sooner the next one is needed.
		const wait = Math.ceil(Math.max(minStoreWaitMs, storeWaitMs - receiver.confirmedAgo()));
		const changes = await store.watch(revision, wait, signal);
		const changesEra = changes.era ?? era;
		refuseOlderEra(changesEra);
		// Changes after a revision of another era do not lead on from this state.
		if (changes.kind === 'history-gone' || changesEra !== era) {
			isSnapshotNeeded = true;
			return;
		}

		takeChanges(changes.items, changes.revision, changesEra);
		recordProgress(storeName);
		hasStoreChanges = changes.items.length > 0;
		// A response without changes that arrives after the full wait counts as sent at the end of the
		// wait. Any other response confirms only the time of the request.
		const isWaitOver = clock.monotonic() - startedAt >= wait;
		const isUnchangedAtEnd = changes.items.length === 0 && isWaitOver;
		recordContact(isUnchangedAtEnd ? startedAt + wait : startedAt, clockOffset);
	}

	async function readMember(
		address: string,
		limits: {readonly wait: number; readonly slack: number; readonly asksRetained: boolean},
		signal: AbortSignal,
	): Promise<void> {
		const startedAt = clock.monotonic();
		const clockOffset = readClockOffset(clock);
		const {wait, asksRetained} = limits;
		const response = await fetchPublishedChanges({
			member: {host: address, port: options.port},
			after: published.revision === undefined ? undefined : position(),
			retainedAbove: asksRetained ? receiver.configurationVersion() : undefined,
			wait,
			timeout: wait + limits.slack,
			clock,
			signal,
		});
		if (response.kind === 'snapshot') {
			takeSnapshot(response.items, response.revision, response.era);
		} else {
			takeChanges(response.items, response.revision, response.era);
		}

		recordProgress(address);
		// A member that still has the older era may know what the store lost.
		if (response.retained !== undefined && published.revision !== undefined) {
			receiver.takeRetainedItems(response.retained);
		}

		if (response.confirmedAgo > maxMemberAgeMs || comparePositions(response, position()) < 0) {
			throw new PlatformError(
				'stale-answer',
				`the member is out of date; it was last confirmed ${response.confirmedAgo} ms ago`,
			);
		}

		// The member held the request for `waited` ms, so it responded at `startedAt + waited` or
		// later; the time that the response took to arrive is unknown.
		recordContact(startedAt + response.waited - response.confirmedAgo, clockOffset);
	}

	function countFailure(error: unknown): void {
		metrics.count('published-read-failures', 1, {
			code: error instanceof PlatformError ? error.code : 'failed',
		});
	}

	function logFailure(error: unknown, source: string, startedAt: number): void {
		const code = error instanceof ShallotpondError ? error.code : 'failed';
		if (code !== 'stopped') {
			const ms = Math.round(clock.monotonic() - startedAt);
			log.write('published-read-failed', {source, code, ms});
		}
	}

	/**
	 * Asks other members, at the start, for what the store may lack because it came back from an
	 * older copy. Without their answer the state of the store is all that is known.
	 */
	async function learnRetainedItems(signal: AbortSignal): Promise<void> {
		if (published.era === undefined || discoveryTime > 0) {
			return;
		}

		const known = options.roster.sameDomainMembers(clock.monotonic());
		const addresses = new Set([...known.map(({address}) => address), ...seeds()]);
		addresses.delete(options.self);
		const limits = {wait: 0, slack: retainedTimeoutMs, asksRetained: true};
		const reads = [...addresses]
			.slice(0, maxRetainedSources)
			.map(async address => readMember(address, limits, signal));
		if (reads.length === 0) {
			return;
		}

		try {
			await Promise.any(reads);
		} catch (error) {
			countFailure(error);
		}
	}

	function recordStoreState(isLost: boolean, reason: string | undefined): void {
		if (isLost !== isStoreLost) {
			isStoreLost = isLost;
			const away = Math.round(clock.monotonic() - lastContactAt);
			log.write(isLost ? 'store-lost' : 'store-regained', {reason, away});
		}
	}

	async function read(source: SyncSource, signal: AbortSignal): Promise<void> {
		metrics.count('published-reads', 1, {source: source.kind});
		if (source.kind === 'member') {
			const asksRetained = published.revision === undefined;
			const limits = {wait: memberWaitMs, slack: memberSlackMs, asksRetained};
			await readMember(source.address, limits, signal);
			return;
		}

		await readStore(signal);
		recordStoreState(false, undefined);
	}

	/** Resolves when another member is known, at the latest at `discoveryEnd`. */
	async function waitForMembers(): Promise<void> {
		while (options.roster.size === 1 && clock.monotonic() < discoveryEnd) {
			await new Promise<void>(resolve => {
				clock.after(discoveryCheckMs, resolve);
			});
		}
	}

	function recordSourceFailure(source: SyncSource, error: unknown): void {
		sourceSelector.recordFailure(source, clock.monotonic());
		if (source.kind === 'store') {
			recordStoreState(true, String(error));
		}
	}

	/**
	 * Whether the store cut a watch, which it may do at any time. Only if the next call fails as well,
	 * the store counts as lost.
	 */
	function isFirstCut(source: SyncSource, error: unknown): boolean {
		const isWatch = published.revision !== undefined && !isSnapshotNeeded && !isStoreLost;
		const isBroken = error instanceof PlatformError && error.code === 'unreachable';
		return source.kind === 'store' && isWatch && isBroken && !isWatchCut;
	}

	const callLoop = createCallLoop({
		clock,
		async call(signal) {
			if (published.revision === undefined) {
				await waitForMembers();
			}

			const startedAt = clock.monotonic();
			const source = sourceSelector.choose(startedAt);
			hasStoreChanges = false;
			try {
				await read(source, signal);
				isWatchCut = false;
			} catch (error) {
				isWatchCut = isFirstCut(source, error);
				logFailure(error, source.kind === 'store' ? storeName : source.address, startedAt);
				if (!isWatchCut) {
					recordSourceFailure(source, error);
				}

				throw error;
			}
		},
		delayAfter(failures) {
			if (failures === 0) {
				return hasStoreChanges && receiver.confirmedAgo() < maxCollectionAgeMs
					? changeCollectionMs
					: 0;
			}

			if (failures === 1) {
				return switchDelayMs;
			}

			return backOffDelay(failures - 1, {...backOff, random});
		},
		onFailure(error) {
			metrics.count('published-read-failures', 1, {code: error.code});
		},
	});
	const stopping = new AbortController();

	/**
	 * Whether the member has what this instance lacks: a newer state, or a newer configuration that
	 * the older copy of the store does not contain.
	 */
	function isBehind(state: ConfigurationState): boolean {
		return comparePositions(state, position()) > 0 || hasRetainedConfiguration(state);
	}

	function hasRetainedConfiguration({era, version}: ConfigurationState): boolean {
		return (
			era !== undefined && published.era !== undefined && version > receiver.configurationVersion()
		);
	}

	/** Reads what this instance still lacks from one of the members that reported it. */
	async function catchUp(): Promise<void> {
		const source = catchUpSources.choose(isBehind);
		if (source === undefined) {
			return;
		}

		const {address} = source.member;
		const startedAt = clock.monotonic();
		try {
			const isMemberNewer = comparePositions(source.state, position()) > 0;
			const asksRetained = published.revision === undefined || !isMemberNewer;
			const limits = {wait: 0, slack: memberSlackMs, asksRetained};
			await readMember(address, limits, stopping.signal);
		} catch (error) {
			countFailure(error);
			logFailure(error, address, startedAt);
		}

		catchUpSources.forget(source);
	}

	function scheduleCatchUp(delay: number): void {
		isCatchUpScheduled = true;
		clock.after(delay, async () => {
			await catchUp();
			isCatchUpScheduled = false;
			if (!stopping.signal.aborted && catchUpSources.choose(isBehind) !== undefined) {
				scheduleCatchUp(catchUpSources.nextDelay());
			}
		});
	}

	return {
		get revision() {
			return published.revision ?? 0;
		},
		get era() {
			return published.era;
		},
		recordMemberState(state, from) {
			const now = clock.monotonic();
			if (published.revision !== undefined) {
				lag.recordReport(state, position(), now);
			}

			// A member of an older era cannot replace the store as a source.
			const isOlderEra = compareEras(state.era, published.era) < 0;
			const confirmedAgo = isOlderEra ? Number.POSITIVE_INFINITY : state.confirmedAgo;
			sourceSelector.recordConfirmation(from.address, confirmedAgo, now);
			if (isBehind(state)) {
				catchUpSources.record({member: from, state});
				if (!isCatchUpScheduled) {
					const peers = options.roster.sameDomainMembers(now).length;
					scheduleCatchUp(catchUpSources.firstDelay(peers));
				}
			}
		},
		async start() {
			await listener.start();
			callLoop.start();
		},
		async stop() {
			stopping.abort();
			await callLoop.stop();
			await listener.stop();
		},
	};
}
