/**
 * The task that follows what the platform publishes: reads everything once, then waits for changes,
 * at the store itself or at another instance, and passes on what is new to others that ask.
 */
import {createPublishedListener, fetchPublished} from '@shallotpond/io-fleet/published-exchange';
import {backOffDelay} from '@shallotpond/io-platform/back-off';
import {createCallTask} from '@shallotpond/io-platform/call-task';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {type EventLog} from '@shallotpond/observability/event-log';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type ConfigurationState, type Member} from '@shallotpond/policy-fleet/fleet-message';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {createPublishedLog, type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {createSourceChoice, type Source} from '@shallotpond/policy-fleet/source-choice';

/** The platform's store, as its adapter reads it. Calls throw a `PlatformError`. */
export type PublishedStore = {
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

export type PublishedReceiver = {
	/** Everything that is published. `away` is the time without contact before, in milliseconds. */
	takeSnapshot(items: readonly PublishedItem[], away: number): void;
	takeChange(item: PublishedItem): void;
	/** Everything that was published at this time (monotonic milliseconds) has been passed on. */
	confirm(at: number): void;
	/** Milliseconds since then. */
	confirmedAgo(): number;
};

export type PublishedService = Service & {
	/** Revision up to which everything is known; 0 before the first snapshot. */
	readonly revision: number;
	/** What another instance says it knows. */
	recordMemberState(state: ConfigurationState, from: Member): void;
};

export type PublishedServiceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** IP address of this instance. */
	readonly self: string;
	/** Port of the exchange, the same on all instances. */
	readonly port: number;
	readonly roster: FleetRoster;
	readonly store: PublishedStore;
	readonly receiver: PublishedReceiver;
};

/**
 * Milliseconds that a watch at the store waits. Its answer also proves that nothing has changed, so
 * it must come well before withdrawn keys have to be dead.
 */
const storeWait = 1800;
/** Milliseconds that a watch waits at least; a shorter one is a plain read. */
const shortestStoreWait = 50;
/** The same at another instance, whose silence must be noticed sooner. */
const memberWait = 800;
/** Milliseconds beyond the wait in which the answer of an instance must have come. */
const memberSlack = 400;
/** Milliseconds; an instance that was up to date longer ago is no source. */
const longestMemberAge = 2400;
/** Milliseconds for which the usual source may be behind another instance. */
const catchUpDelay = 250;
const backOff = {initialDelay: 100, maxDelay: 800} as const;
/** Milliseconds before another source is tried after a first failure. */
const switchDelay = 20;

export function createPublishedService(options: PublishedServiceOptions): PublishedService {
	const {clock, random, log, metrics, store, receiver} = options;
	const published = createPublishedLog();
	const choice = createSourceChoice({
		self: options.self,
		roster: options.roster,
		random,
		confirmedAgo: receiver.confirmedAgo,
	});
	const listener = createPublishedListener({
		address: {host: options.self, port: options.port},
		clock,
		log: published,
		confirmedAgo: receiver.confirmedAgo,
	});
	let contactAt = clock.monotonic();
	let isStoreLost = false;
	let isHistoryGone = false;
	let isCatchingUp = false;

	function takeSnapshot(items: readonly PublishedItem[], revision: number): void {
		if (published.replace(items, revision)) {
			receiver.takeSnapshot(items, clock.monotonic() - contactAt);
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

	function noteContact(currentAt: number): void {
		contactAt = clock.monotonic();
		receiver.confirm(currentAt);
	}

	async function readStore(signal: AbortSignal): Promise<void> {
		const startedAt = clock.monotonic();
		const {revision} = published;
		if (revision === undefined || isHistoryGone || isStoreLost) {
			const snapshot = await store.readAll(signal);
			takeSnapshot(snapshot.items, snapshot.revision);
			isHistoryGone = false;
			noteContact(startedAt);
			return;
		}

		// The older the last proof that nothing has changed, the sooner the next one is needed.
		const wait = Math.ceil(Math.max(shortestStoreWait, storeWait - receiver.confirmedAgo()));
		const changes = await store.watch(revision, wait, signal);
		if (changes.kind === 'history-gone') {
			isHistoryGone = true;
			return;
		}

		takeChanges(changes.items, changes.revision);
		// Only an answer that comes after the whole wait was surely written at its end.
		const isWaitOver = clock.monotonic() - startedAt >= wait;
		const isQuiet = changes.items.length === 0 && isWaitOver;
		noteContact(isQuiet ? startedAt + wait : startedAt);
	}

	async function readMember(address: string, wait: number, signal: AbortSignal): Promise<void> {
		const startedAt = clock.monotonic();
		const after = published.revision;
		const answer = await fetchPublished({
			member: {host: address, port: options.port},
			after,
			wait,
			timeout: wait + memberSlack,
			clock,
			signal,
		});
		if (answer.kind === 'snapshot') {
			takeSnapshot(answer.items, answer.revision);
		} else {
			takeChanges(answer.items, answer.revision);
		}

		if (answer.confirmedAgo > longestMemberAge || answer.revision < (published.revision ?? 0)) {
			throw new PlatformError(
				'stale-answer',
				`the member was up to date ${answer.confirmedAgo} ms ago`,
			);
		}

		// The question was answered after it had been held, whatever time the answer took.
		noteContact(startedAt + answer.waited - answer.confirmedAgo);
	}

	function noteStore(isLost: boolean, reason: string | undefined): void {
		if (isLost !== isStoreLost) {
			isStoreLost = isLost;
			const away = Math.round(clock.monotonic() - contactAt);
			log.write(isLost ? 'store-lost' : 'store-regained', {reason, away});
		}
	}

	async function read(source: Source, signal: AbortSignal): Promise<void> {
		metrics.count('published-reads', 1, {source: source.kind});
		if (source.kind === 'member') {
			await readMember(source.address, memberWait, signal);
			return;
		}

		await readStore(signal);
		noteStore(false, undefined);
	}

	const task = createCallTask({
		clock,
		async call(signal) {
			const source = choice.choose(clock.monotonic());
			try {
				await read(source, signal);
			} catch (error) {
				choice.recordFailure(source, clock.monotonic());
				if (source.kind === 'store') {
					noteStore(true, String(error));
				}

				throw error;
			}
		},
		delayAfter(failures) {
			if (failures <= 1) {
				return failures * switchDelay;
			}

			return backOffDelay(failures - 1, {...backOff, random});
		},
		onFailure(error) {
			metrics.count('published-read-failures', 1, {code: error.code});
		},
	});
	const stopping = new AbortController();

	/** Asks a neighbour that knows more, when the usual source has not said so meanwhile. */
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
			choice.recordConfirmation(from.address, state.confirmedAgo, clock.monotonic());
			if (state.revision > (published.revision ?? 0)) {
				clock.after(catchUpDelay, () => {
					void catchUp(from.address, state.revision);
				});
			}
		},
		async start() {
			await listener.start();
			task.start();
		},
		async stop() {
			stopping.abort();
			await task.stop();
			await listener.stop();
		},
	};
}
