/**
 * Guards against a fleet that nobody leads after an outage of the store: readers whose last call was
 * lost keep away from it and follow members that follow them, until what these last read is out of
 * date. Simulates the sources that the instances of a fleet choose; a call that the outage swallows
 * ends by its time limit.
 */
import {describe, expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createFleetRoster} from '../fleet-roster.js';
import {createSyncSourceSelector, type SyncSource} from '../sync-source-selector.js';

const domains = ['north', 'south', 'hall', 'port'];
const step = 10;
/** Milliseconds of a call that is not answered, of a watch, and of a question to a member. */
const callTimeout = 1500;
const watchTime = 1800;
const memberWait = 800;
/** Milliseconds after which the answer of a member counts as a failure. */
const maxMemberAge = 2400;
const outage = {from: 10_000, to: 14_150};
/** Milliseconds within which a change that the store has acknowledged must be in force everywhere. */
const maxLag = 2000;
/** Milliseconds after an outage from which that holds. */
const stableWindow = 3000;

/** A call in progress. What it confirms when it ends is undefined if it fails. */
type Call = {
	readonly source: SyncSource;
	readonly endsAt: number;
	readonly confirms: () => number | undefined;
};

type State = {confirmedAt: number; call: Call | undefined};

function createInstances(size: number, seed: number, currentTime: () => number) {
	const random = createSeededRandom(seed);
	const members = Array.from({length: size}, (_, index) => ({
		address: `10.0.0.${index}`,
		failureDomain: domains[index % domains.length]!,
		startedAt: 1,
	}));
	return members.map(self => {
		const roster = createFleetRoster({self});
		const state: State = {confirmedAt: 0, call: undefined};
		const selector = createSyncSourceSelector({
			self: self.address,
			roster,
			random,
			confirmedAgo: () => currentTime() - state.confirmedAt,
			startsFromMembers: false,
		});
		function hear(now: number): void {
			for (const member of members) {
				roster.recordMessageFrom(member, now);
			}
		}

		return {self, random, state, selector, hear};
	});
}

type Instance = ReturnType<typeof createInstances>[number];

/** Returns the largest lag of any instance behind the store, from the end of the stable window. */
function simulateOutage(size: number, seed: number): number {
	let now = 0;
	const instances = createInstances(size, seed, () => now);
	const byAddress = new Map(instances.map(instance => [instance.self.address, instance]));

	function startStoreCall({random}: Instance): Call {
		const startedAt = now;
		const isLost = startedAt >= outage.from && startedAt < outage.to;
		// A watch whose answer falls into the outage is lost, too.
		const endsAt = startedAt + (isLost ? callTimeout : watchTime * random());
		const isAnswered =
			!isLost && (endsAt < outage.from || endsAt >= outage.to || startedAt > outage.to);
		return {
			source: {kind: 'store'},
			endsAt: isAnswered || isLost ? endsAt : startedAt + watchTime + callTimeout,
			confirms: () => (isAnswered ? now : undefined),
		};
	}

	function startMemberCall(source: SyncSource & {kind: 'member'}): Call {
		return {
			source,
			endsAt: now + memberWait,
			confirms() {
				const {confirmedAt} = byAddress.get(source.address)!.state;
				return now - confirmedAt > maxMemberAge ? undefined : confirmedAt;
			},
		};
	}

	function startCall(instance: Instance): void {
		const source = instance.selector.choose(now);
		instance.state.call =
			source.kind === 'store' ? startStoreCall(instance) : startMemberCall(source);
	}

	function endCall(instance: Instance, {source, confirms}: Call): void {
		const confirmedAt = confirms();
		if (confirmedAt === undefined) {
			instance.selector.recordFailure(source, now);
		} else {
			instance.state.confirmedAt = Math.max(instance.state.confirmedAt, confirmedAt);
		}
	}

	let maxObservedLag = 0;
	for (; now < outage.to + 8000; now += step) {
		for (const instance of instances) {
			if (now % 250 === 0) {
				instance.hear(now);
				for (const {self, state} of instances) {
					instance.selector.recordConfirmation(self.address, now - state.confirmedAt, now);
				}
			}

			if (instance.state.call !== undefined && now >= instance.state.call.endsAt) {
				endCall(instance, instance.state.call);
				instance.state.call = undefined;
			}

			if (instance.state.call === undefined) {
				startCall(instance);
			}
		}

		// Changes travel from the readers to the others at once, so the newest state counts.
		const newest = Math.max(...instances.map(({state}) => state.confirmedAt));
		const isFollowed = instances.some(
			({state: {call}}) => call?.source.kind === 'store' && call.confirms() !== undefined,
		);
		if (now >= outage.to + stableWindow) {
			maxObservedLag = Math.max(maxObservedLag, isFollowed ? 0 : now - newest);
		}
	}

	return maxObservedLag;
}

describe('an outage of the store', () => {
	// Nobody read the store for up to 2.5 s after the last call that was lost.
	test.each([8, 36])('is over for a fleet of %i instances when the store is back', size => {
		for (let seed = 1; seed <= 20; seed++) {
			// The rest of the time is for the way from the reader to all others.
			expect(simulateOutage(size, seed)).toBeLessThanOrEqual(maxLag - memberWait);
		}
	});
});
