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
import {type EventLog} from '@shallotpond/observability/event-log';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type ConfigurationState, type Member} from '@shallotpond/policy-fleet/fleet-message';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {createPublishedLog, type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {
	createSyncSourceSelector,
	type SyncSource,
} from '@shallotpond/policy-fleet/sync-source-selector';

/** Read access to the platform's store, from its adapter. Calls throw a `PlatformError`. */
export type StoreReader = {
	readAll(
		signal: AbortSignal,
	): Promise<{readonly items: readonly PublishedItem[]; readonly revision: number}>;
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
		  }
		/** The store has discarded the changes since the revision. */
		| {readonly kind: 'history-gone'}
	>;
};

export type PublishedItemReceiver = {
	/** Replaces all items. `away` is the preceding time without contact to any source in ms. */
	takeSnapshot(items: readonly PublishedItem[], away: number): void;
	takeChange(item: PublishedItem): void;
	/**
	 * Records that everything published up to `at` (monotonic milliseconds) has been passed on.
	 * `clockOffset` is the result of `readClockOffset` when the source was asked.
	 */
	confirm(at: number, clockOffset: number): void;
	/** Milliseconds since the latest time that was passed to `confirm`. */
	confirmedAgo(): number;
};

export type PublishedStateService = KernelService & {
	/** Revision up to which all changes are known; 0 before the first snapshot. */
	readonly revision: number;
	/**
	 * Records the state that another instance reports. If its revision is higher, that instance is
	 * read soon unless this one catches up before.
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
	/** Port of the exchange, the same on all instances. */
	readonly port: number;
	readonly roster: FleetRoster;
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
 * How long this instance may lag behind another one before the other is read in addition to the
 * current source.
 */
const catchUpDelayMs = 250;
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

export function createPublishedStateService(
	options: PublishedStateServiceOptions,
): PublishedStateService {
	const {clock, random, log, metrics, store, receiver, discoveryTime = 0} = options;
	const published = createPublishedLog();
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
	});
	const discoveryEnd = clock.monotonic() + random() * discoveryTime;
	let lastContactAt = clock.monotonic();
	let isStoreLost = false;
	let isHistoryGone = false;
	let isCatchingUp = false;
	/** Whether the last read of the store returned changes. */
	let hasStoreChanges = false;

	function takeSnapshot(items: readonly PublishedItem[], revision: number): void {
		if (published.replace(items, revision)) {
			receiver.takeSnapshot(items, clock.monotonic() - lastContactAt);
			listener.notify();
		}
	}

	function takeChanges(items: readonly PublishedItem[], revision: number): void {
		const added = published.add(items, revision);
		for (const item of added) {
			receiver.takeChange(item);
		}

		if (added.length > 0) {
			listener.notify();
		}
	}

	function recordContact(confirmedAt: number, clockOffset: number): void {
		lastContactAt = clock.monotonic();
		receiver.confirm(confirmedAt, clockOffset);
	}

	async function readStore(signal: AbortSignal): Promise<void> {
		const startedAt = clock.monotonic();
		const clockOffset = readClockOffset(clock);
		const {revision} = published;
		if (revision === undefined || isHistoryGone || isStoreLost) {
			const snapshot = await store.readAll(signal);
			takeSnapshot(snapshot.items, snapshot.revision);
			isHistoryGone = false;
			recordContact(startedAt, clockOffset);
			return;
		}

		// The older the last confirmation that nothing has changed, the sooner the next one is needed.
		const wait = Math.ceil(Math.max(minStoreWaitMs, storeWaitMs - receiver.confirmedAgo()));
		const changes = await store.watch(revision, wait, signal);
		if (changes.kind === 'history-gone') {
			isHistoryGone = true;
			return;
		}

		takeChanges(changes.items, changes.revision);
		hasStoreChanges = changes.items.length > 0;
		// A response without changes that arrives after the full wait counts as sent at the end of the
		// wait. Any other response confirms only the time of the request.
		const isWaitOver = clock.monotonic() - startedAt >= wait;
		const isUnchangedAtEnd = changes.items.length === 0 && isWaitOver;
		recordContact(isUnchangedAtEnd ? startedAt + wait : startedAt, clockOffset);
	}

	async function readMember(address: string, wait: number, signal: AbortSignal): Promise<void> {
		const startedAt = clock.monotonic();
		const clockOffset = readClockOffset(clock);
		const after = published.revision;
		const response = await fetchPublishedChanges({
			member: {host: address, port: options.port},
			after,
			wait,
			timeout: wait + memberSlackMs,
			clock,
			signal,
		});
		if (response.kind === 'snapshot') {
			takeSnapshot(response.items, response.revision);
		} else {
			takeChanges(response.items, response.revision);
		}

		if (response.confirmedAgo > maxMemberAgeMs || response.revision < (published.revision ?? 0)) {
			throw new PlatformError(
				'stale-answer',
				`the member is out of date; it was last confirmed ${response.confirmedAgo} ms ago`,
			);
		}

		// The member held the request for `waited` ms, so it responded at `startedAt + waited` or
		// later; the time that the response took to arrive is unknown.
		recordContact(startedAt + response.waited - response.confirmedAgo, clockOffset);
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
			await readMember(source.address, memberWaitMs, signal);
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

	const callLoop = createCallLoop({
		clock,
		async call(signal) {
			if (published.revision === undefined) {
				await waitForMembers();
			}

			const source = sourceSelector.choose(clock.monotonic());
			hasStoreChanges = false;
			try {
				await read(source, signal);
			} catch (error) {
				sourceSelector.recordFailure(source, clock.monotonic());
				if (source.kind === 'store') {
					recordStoreState(true, String(error));
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

	/** Reads from another instance that reported `revision`, if this instance is still behind it. */
	async function catchUp(address: string, revision: number): Promise<void> {
		if (isCatchingUp || (published.revision ?? 0) >= revision) {
			return;
		}

		isCatchingUp = true;
		try {
			await readMember(address, 0, stopping.signal);
		} catch (error) {
			metrics.count('published-read-failures', 1, {
				code: error instanceof PlatformError ? error.code : 'failed',
			});
		} finally {
			isCatchingUp = false;
		}
	}

	return {
		get revision() {
			return published.revision ?? 0;
		},
		recordMemberState(state, from) {
			sourceSelector.recordConfirmation(from.address, state.confirmedAgo, clock.monotonic());
			if (state.revision > (published.revision ?? 0)) {
				clock.after(catchUpDelayMs, () => {
					void catchUp(from.address, state.revision);
				});
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
