/**
 * Guards against a crowd of instances that read from the first one that reports a newer state: its
 * link was busy for 2.5 s, in which it and the others kept an old configuration in force.
 */
import {expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createCatchUpSources} from '../catch-up-sources.js';
import {type ConfigurationState, type Member} from '../fleet-message.js';

const member = (address: string, failureDomain = 'north'): Member => ({
	address,
	failureDomain,
	startedAt: 1,
});
const state = (revision: number): ConfigurationState => ({version: 1, revision, confirmedAgo: 0});
const isLacking = ({revision}: ConfigurationState) => revision > 5;

function create(seed = 1) {
	return createCatchUpSources({failureDomain: 'north', random: createSeededRandom(seed)});
}

test('a member of the own failure domain goes before the others, and each of them is chosen', () => {
	const sources = create();
	sources.record({member: member('10.0.0.9', 'south'), state: state(6)});
	expect(sources.choose(isLacking)?.member.address).toBe('10.0.0.9');
	sources.record({member: member('10.0.0.1'), state: state(6)});
	sources.record({member: member('10.0.0.2'), state: state(7)});
	const chosen = Array.from({length: 50}, () => sources.choose(isLacking)?.member.address);
	expect(new Set(chosen)).toEqual(new Set(['10.0.0.1', '10.0.0.2']));
});

test('a member that could not be read, or has nothing new any more, is not chosen', () => {
	const sources = create();
	const unreachable = {member: member('10.0.0.1'), state: state(6)};
	sources.record(unreachable);
	sources.record({member: member('10.0.0.2'), state: state(5)});
	sources.forget(unreachable);
	expect(sources.choose(isLacking)).toBeUndefined();
	const later = {member: member('10.0.0.1'), state: state(7)};
	sources.record(later);
	sources.forget(unreachable);
	expect(sources.choose(isLacking)).toBe(later);
});

test('in a large failure domain, at most a tenth of the reads begin within the same 40 ms', () => {
	const delays = Array.from({length: 500}, (_, seed) => create(seed).firstDelay(48));
	for (let from = 250; from < 650; from += 10) {
		const count = delays.filter(delay => delay >= from && delay < from + 40).length;
		expect(count).toBeLessThan(100);
	}

	expect(Math.min(...delays)).toBeGreaterThanOrEqual(250);
	expect(Math.max(...delays)).toBeLessThan(650);
});
