/**
 * Decides from which member an instance reads what it lacks, and when. A report of a newer state
 * reaches all instances at almost the same time. If all of them read from the member that sent it,
 * its link is busy for seconds, none of the reads ends in time, and the member itself falls behind.
 * So the reads of a failure domain are spread over time, and over the members that have the state.
 */
import {type Random} from '@shallotpond/kernel/random';
import {type ConfigurationState, type Member} from './fleet-message.js';

export type CatchUpSource = {readonly member: Member; readonly state: ConfigurationState};

export type CatchUpSources = {
	/** Records that a member has reported a state that this instance lacks. */
	record(source: CatchUpSource): void;
	/** Forgets a report whose state was read or could not be read; a later report stays. */
	forget(source: CatchUpSource): void;
	/**
	 * Forgets the members whose state this instance no longer lacks, and returns one of the others:
	 * of its own failure domain, if there is one.
	 */
	choose(isLacking: (state: ConfigurationState) => boolean): CatchUpSource | undefined;
	/** Milliseconds until the first read after a report; `peers` is the size of the failure domain. */
	firstDelay(peers: number): number;
	/** Milliseconds until another member is read. */
	nextDelay(): number;
};

export type CatchUpSourcesOptions = {
	/** Failure domain of this instance. */
	readonly failureDomain: string;
	readonly random: Random;
};

/** Milliseconds in which the usual source of this instance may still deliver the state. */
const minDelayMs = 250;
/** Milliseconds by which the reads of a failure domain are spread, for each of its members. */
const spreadPerPeerMs = 15;
const maxSpreadMs = 400;
/** Bounds of `nextDelay`, milliseconds. */
const minRetryMs = 25;
const maxRetryMs = 150;

export function createCatchUpSources(options: CatchUpSourcesOptions): CatchUpSources {
	const {random} = options;
	const sources = new Map<string, CatchUpSource>();
	return {
		record(source) {
			sources.set(source.member.address, source);
		},
		forget(source) {
			const {address} = source.member;
			if (sources.get(address) === source) {
				sources.delete(address);
			}
		},
		choose(isLacking) {
			for (const [address, {state}] of sources) {
				if (!isLacking(state)) {
					sources.delete(address);
				}
			}

			const all = [...sources.values()];
			const near = all.filter(({member}) => member.failureDomain === options.failureDomain);
			const candidates = near.length > 0 ? near : all;
			return candidates[Math.floor(random() * candidates.length)];
		},
		firstDelay: peers => minDelayMs + random() * Math.min(maxSpreadMs, peers * spreadPerPeerMs),
		nextDelay: () => minRetryMs + random() * (maxRetryMs - minRetryMs),
	};
}
